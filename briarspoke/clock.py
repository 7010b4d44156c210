"""Monotonic time that includes the time for which the machine is suspended."""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic():
    """Returns the seconds since boot, including the time suspended."""
    return time.clock_gettime(_CLOCK)
