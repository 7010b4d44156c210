"""A backend stand-in that refuses, stalls or drops connections on command."""

from __future__ import annotations

import enum

from briarspoke.standins.backend import BackendStandIn


class Mode(enum.Enum):
    """What a faulty server does with each request that arrives."""

    NONE = "none"
    REFUSE = "refuse"
    STALL = "stall"
    DROP = "drop"


class FaultyBackend(BackendStandIn):
    """A backend server whose fault mode can be changed while it runs."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.mode = Mode.NONE
        self.arrivals = 0

    def set_mode(self, mode):
        """Starts a fault; ``Mode.NONE`` ends the current one."""
        if self.mode is Mode.STALL and mode is not Mode.STALL:
            self.thaw()
        self.mode = mode
        if mode is Mode.STALL:
            self.freeze()

    def request_received(self, connection):
        self.arrivals += 1
        if self.mode is Mode.REFUSE:
            self.shed += 1
            connection.reply(503, b"", b"Briarspoke-Shed: 1\r\n")
        elif self.mode is Mode.DROP:
            connection.transport.abortConnection()
        else:
            super().request_received(connection)

    def _request_finished(self, connection):
        try:
            super()._request_finished(connection)
        except RuntimeError:
            # When the peer resets a paused connection, uvloop closes the handle
            # before Twisted has seen the disconnect, and the call fails.
            self.connections.discard(connection)
