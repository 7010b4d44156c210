"""Running estimates of how long a server takes per request."""

from __future__ import annotations

import bisect
import collections

MEDIAN_WINDOW = 31
# Fewer samples give a median that a single slow request can double.
MEDIAN_MIN_SAMPLES = 8
MEAN_WEIGHT = 0.1
# Lets the fastest time rise again when a server becomes slower for good.
FASTEST_GROWTH = 1.02


class TimeEstimate:
    """Mean, median and fastest time in flight of one rank at one server.

    Memory and time per sample are bounded by ``MEDIAN_WINDOW``.
    """

    __slots__ = ("_recent", "_sorted", "fastest_s", "mean_s")

    def __init__(self):
        self.mean_s = 0.0
        self.fastest_s = 0.0
        self._recent = collections.deque()
        self._sorted = []

    def add(self, seconds):
        """Takes the time in flight of a request that was answered."""
        if self._recent:
            self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)
            self.fastest_s = min(self.fastest_s * FASTEST_GROWTH, seconds)
        else:
            self.mean_s = self.fastest_s = seconds
        self._recent.append(seconds)
        bisect.insort(self._sorted, seconds)
        if len(self._recent) > MEDIAN_WINDOW:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def median_s(self):
        """Returns the running median, or None with too few samples."""
        if len(self._sorted) < MEDIAN_MIN_SAMPLES:
            return None
        return self._sorted[len(self._sorted) // 2]
