"""How long an answer may take, from the times of earlier ones."""

from __future__ import annotations

import bisect
import collections

# The estimator of retransmission timeouts, RFC 6298: mean plus four times the mean
# deviation, with these weights of the latest time.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
MIN_DEVIATIONS_S = 0.1

# Times from which quantiles are taken. The 98th percentile of 200 times is the fifth
# largest, so that a single one does not decide it.
MAX_RECENT_TIMES = 200
# Older times may be those of another load. An entry VM that gets two requests a second
# keeps 120 times.
RECENT_TIMES_MAX_AGE_S = 60.0


class ServiceTime:
    """Mean and mean deviation of the times in which requests were answered.

    :param assumed_s: time in seconds that is assumed until the first answer.
    """

    __slots__ = ("_deviation_s", "_is_assumed", "_mean_s")

    def __init__(self, *, assumed_s):
        self._mean_s = assumed_s
        self._deviation_s = assumed_s / 2
        self._is_assumed = True

    def record(self, seconds):
        """Records the time of an answer."""
        if self._is_assumed:
            self._is_assumed = False
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        deviation_s = abs(seconds - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (deviation_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (seconds - self._mean_s)

    @property
    def upper_s(self):
        """Time in seconds within which nearly all answers come."""
        return self._mean_s + max(MIN_DEVIATIONS_S, DEVIATIONS * self._deviation_s)


class RecentTimes:
    """The latest times of answers, for quantiles.

    Memory is bounded by :data:`MAX_RECENT_TIMES`, age by
    :data:`RECENT_TIMES_MAX_AGE_S`.
    """

    __slots__ = ("_recorded", "_sorted", "_sum_s")

    def __init__(self):
        # Pairs of the monotonic time of the record and the time recorded.
        self._recorded = collections.deque()
        self._sorted = []
        self._sum_s = 0.0

    def __len__(self):
        return len(self._sorted)

    def record(self, seconds, now):
        """Records the time of an answer."""
        self.expire(now)
        if len(self._recorded) >= MAX_RECENT_TIMES:
            self._remove_oldest()
        self._recorded.append((now, seconds))
        bisect.insort(self._sorted, seconds)
        self._sum_s += seconds

    def expire(self, now):
        """Removes times that are too old."""
        while self._recorded and now - self._recorded[0][0] > RECENT_TIMES_MAX_AGE_S:
            self._remove_oldest()

    def _remove_oldest(self):
        _, seconds = self._recorded.popleft()
        del self._sorted[bisect.bisect_left(self._sorted, seconds)]
        # The rounding errors of the sum do not accumulate beyond an empty window.
        self._sum_s = self._sum_s - seconds if self._sorted else 0.0

    @property
    def mean_s(self):
        """Mean of the times in seconds; 0 without any."""
        return self._sum_s / len(self._sorted) if self._sorted else 0.0

    def quantile_s(self, fraction):
        """Returns the time in seconds that a fraction of the answers did not exceed.

        :param fraction: 0 to 1.
        """
        return self._sorted[min(len(self._sorted) - 1, int(fraction * len(self)))]
