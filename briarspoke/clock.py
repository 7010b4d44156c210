"""Monotonic time that goes on while the machine is suspended."""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic():
    """Returns seconds since boot, suspends included."""
    return time.clock_gettime(_CLOCK)
