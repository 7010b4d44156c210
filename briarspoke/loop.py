"""Installs the event loop: Twisted's asyncio reactor on uvloop."""

from __future__ import annotations

import asyncio
import sys
import time

TIMER_STEP_S = 0.001


def _make_reactor(event_loop):
    from twisted.internet import main
    from twisted.internet.asyncioreactor import AsyncioSelectorReactor

    class Reactor(AsyncioSelectorReactor):
        """A reactor that survives sockets whose handle uvloop has closed.

        uvloop closes the handle of a reset socket before Twisted's own callback
        runs. Until then ``add_writer`` raises RuntimeError, which would surface
        in the code of an unrelated connection that writes to this one.
        """

        # Twisted takes the wall clock by default; a step of it would fire every
        # timer at once or hold all of them back.
        seconds = staticmethod(time.monotonic)

        def timeout(self):
            """Returns the seconds to the next timer, rounded up for uvloop.

            uvloop rounds to milliseconds; a timer that fires early would be
            set again and again with a delay of zero.
            """
            timeout_s = super().timeout()
            return timeout_s + TIMER_STEP_S if timeout_s else timeout_s

        def addReader(self, reader):
            try:
                super().addReader(reader)
            except RuntimeError:
                self._handle_closed(reader, True)

        def addWriter(self, writer):
            try:
                super().addWriter(writer)
            except RuntimeError:
                self._handle_closed(writer, False)

        def _handle_closed(self, selectable, is_read):
            self.callLater(0, self._report_lost, selectable, is_read)

        def _report_lost(self, selectable, is_read):
            # Twisted's own callback may have come first.
            if selectable.connected:
                self._disconnectSelectable(selectable, main.CONNECTION_LOST, is_read)

    return Reactor(event_loop)


def install():
    """Installs the reactor and returns it; a second call returns the same."""
    if "twisted.internet.reactor" not in sys.modules:
        import uvloop
        from twisted.internet.main import installReactor

        event_loop = uvloop.new_event_loop()
        asyncio.set_event_loop(event_loop)
        installReactor(_make_reactor(event_loop))
    from twisted.internet import reactor

    return reactor
