"""Installs an event loop whose timers do not follow the time of day."""

from __future__ import annotations

import asyncio
import sys
import time

from briarspoke import clock

TIMER_RESOLUTION_S = 0.001


def _make_reactor(event_loop):
    from twisted.internet import main
    from twisted.internet.asyncioreactor import AsyncioSelectorReactor

    class Reactor(AsyncioSelectorReactor):
        """A reactor that tolerates sockets whose handle uvloop has already closed.

        uvloop closes the handle of a reset socket before Twisted's own callback
        runs. Until then ``add_writer`` raises RuntimeError in the code of whatever
        unrelated connection writes to this one.
        """

        # Twisted uses the wall clock by default. Setting that clock would make all
        # timers fire immediately or delay all of them.
        seconds = staticmethod(time.monotonic)

        def timeout(self):
            """Returns the seconds until the next timer, plus uvloop's resolution.

            uvloop rounds delays to milliseconds. A timer that fires early would be
            scheduled repeatedly with a delay of zero.
            """
            timeout_s = super().timeout()
            return timeout_s + TIMER_RESOLUTION_S if timeout_s else timeout_s

        def addReader(self, reader):
            try:
                super().addReader(reader)
            except RuntimeError:
                self._schedule_connection_lost(reader, True)

        def addWriter(self, writer):
            try:
                super().addWriter(writer)
            except RuntimeError:
                self._schedule_connection_lost(writer, False)

        def _schedule_connection_lost(self, selectable, is_read):
            self.callLater(0, self._report_connection_lost, selectable, is_read)

        def _report_connection_lost(self, selectable, is_read):
            # Twisted's own callback may already have reported the loss.
            if selectable.connected:
                self._disconnectSelectable(selectable, main.CONNECTION_LOST, is_read)

    return Reactor(event_loop)


def _make_uvloop_reactor():
    import uvloop

    event_loop = uvloop.new_event_loop()
    asyncio.set_event_loop(event_loop)
    return _make_reactor(event_loop)


def _make_epoll_reactor():
    from twisted.internet.epollreactor import EPollReactor

    class Reactor(EPollReactor):
        """Twisted's epoll reactor, which reads a connection before it reports its end.

        Twisted reports an orderly end when epoll reports an error or a hang-up without
        input. A reset looks like that for a moment: its error is set before the reading
        side is shut. Only a read tells the end of the stream from a reset.
        """

        # Timers on the monotonic clock.
        seconds = staticmethod(clock.monotonic)

        def _doReadOrWrite(self, selectable, fd, event):
            if event & self._POLL_DISCONNECTED and fd in self._reads:
                event |= self._POLL_IN
            super()._doReadOrWrite(selectable, fd, event)

    return Reactor()


def _install(make_reactor):
    if "twisted.internet.reactor" not in sys.modules:
        from twisted.internet.main import installReactor

        installReactor(make_reactor())
    from twisted.internet import reactor

    return reactor


def install():
    """Returns Twisted's asyncio reactor on uvloop, which the first call installs."""
    return _install(_make_uvloop_reactor)


def install_epoll():
    """Returns Twisted's epoll reactor, which the first call installs.

    Entry VMs use it, since uvloop is not among the libraries that they install.
    """
    return _install(_make_epoll_reactor)
