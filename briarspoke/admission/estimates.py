"""Running estimates of the time that a server takes for a request."""

from __future__ import annotations

import bisect
import collections

MEDIAN_WINDOW_SAMPLES = 31
# With fewer samples a single slow request can double the median.
MEDIAN_MIN_SAMPLES = 8
MEAN_WEIGHT = 0.1
# The minimum grows with each sample so that it follows a server that becomes
# permanently slower.
FASTEST_GROWTH_FACTOR = 1.02


class TimeEstimate:
    """Mean, median and fastest time in flight of one rank at one server.

    Memory and the time to add a sample are bounded by
    ``MEDIAN_WINDOW_SAMPLES``.
    """

    __slots__ = ("_recent", "_sorted", "fastest_s", "mean_s")

    def __init__(self):
        self.mean_s = 0.0
        self.fastest_s = 0.0
        self._recent = collections.deque()
        self._sorted = []

    def add(self, seconds):
        """Adds the time in flight of an answered request.

        :param seconds: time in flight.
        """
        if self._recent:
            self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)
            self.fastest_s = min(self.fastest_s * FASTEST_GROWTH_FACTOR, seconds)
        else:
            self.mean_s = self.fastest_s = seconds
        self._recent.append(seconds)
        bisect.insort(self._sorted, seconds)
        if len(self._recent) > MEDIAN_WINDOW_SAMPLES:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def median_s(self):
        """Returns the running median in seconds, or None with too few samples."""
        if len(self._sorted) < MEDIAN_MIN_SAMPLES:
            return None
        return self._sorted[len(self._sorted) // 2]
