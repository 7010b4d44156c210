"""A backend stand-in that refuses, stalls or drops connections on command."""

from __future__ import annotations

import enum

from briarspoke.standins.backend import BackendStandIn


class Mode(enum.Enum):
    """What a faulty server does with every request."""

    NONE = "none"
    REFUSE = "refuse"
    STALL = "stall"
    DROP = "drop"


class FaultyBackend(BackendStandIn):
    """A backend server whose mode can be switched while it runs."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.mode = Mode.NONE
        self.arrivals = 0

    def set_mode(self, mode):
        """Begins a fault, or ends it with ``Mode.NONE``."""
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
            # uvloop closes the handle of a paused connection that its peer has
            # reset, but Twisted has not yet noticed that the peer is gone.
            self.connections.discard(connection)
