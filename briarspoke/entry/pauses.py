"""Pauses of loops that an event ends early."""

from __future__ import annotations

import contextlib

from twisted.internet import defer


class Pause:
    """Waits for a time or until it is ended, whichever comes first.

    :param sleep: returns a Deferred that fires after a number of seconds.
    """

    __slots__ = ("_sleep", "_sleeping")

    def __init__(self, *, sleep):
        self._sleep = sleep
        self._sleeping = None

    async def wait(self, seconds):
        """Waits for a number of seconds, or until :meth:`end` is called."""
        self._sleeping = self._sleep(seconds)
        with contextlib.suppress(defer.CancelledError):
            await self._sleeping
        self._sleeping = None

    def end(self):
        """Ends the wait, if there is one."""
        if self._sleeping is not None:
            self._sleeping.cancel()
