"""Monotonic time that goes on while the machine is suspended."""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic():
    """Returns seconds since boot, suspends included."""
    return time.clock_gettime(_CLOCK)


class PauseDetector:
    """Notices gaps between two visits of the event loop.

    :param threshold_s: a longer gap between two observations is a pause.
    """

    __slots__ = ("_last", "threshold_s")

    def __init__(self, *, threshold_s=0.2):
        self.threshold_s = threshold_s
        self._last = None

    def observe(self, now, interval_s=0.0):
        """Returns the length of the pause that just ended, or 0.0.

        :param now: monotonic time in seconds.
        :param interval_s: the planned time since the last observation.
        """
        last, self._last = self._last, now
        if last is None:
            return 0.0
        gap = now - last - interval_s
        return gap if gap > self.threshold_s else 0.0
