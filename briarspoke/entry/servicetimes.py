"""How long an answer may take, from the times of earlier ones."""

from __future__ import annotations

# The estimator of retransmission timeouts, RFC 6298: mean plus four times the mean
# deviation, with these weights of the latest time.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
MIN_DEVIATIONS_S = 0.1


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
