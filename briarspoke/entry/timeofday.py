"""Detects that the time of day was set while the process runs."""

from __future__ import annotations

import logging
import time

log = logging.getLogger(__name__)

# Smaller differences between two checks come from the scheduler.
MIN_STEP_S = 0.1


class TimeOfDay:
    """Compares the time of day with the monotonic clock.

    :param clock: function that returns monotonic seconds.
    :param time_of_day: function that returns seconds since the epoch.
    """

    __slots__ = ("_clock", "_offset_s", "_time_of_day", "steps")

    def __init__(self, *, clock, time_of_day=time.time):
        self._clock = clock
        self._time_of_day = time_of_day
        # Number of times that the time of day was set.
        self.steps = 0
        self._offset_s = self._read_offset_s()

    def _read_offset_s(self):
        return self._time_of_day() - self._clock()

    def check(self):
        """Logs and counts a step since the previous check."""
        offset_s = self._read_offset_s()
        step_s = offset_s - self._offset_s
        self._offset_s = offset_s
        if abs(step_s) >= MIN_STEP_S:
            self.steps += 1
            log.warning("entry: time of day set step_ms=%d", round(step_s * 1e3))
