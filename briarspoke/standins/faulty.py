"""A backend stand-in that refuses, stalls or drops connections on command."""

from __future__ import annotations

import enum

from briarspoke.standins.backend import BackendStandIn


class Fault(enum.Enum):
    """What a faulty server does with requests."""

    NONE = "none"
    REFUSE = "refuse"
    STALL = "stall"
    DROP = "drop"


class FaultyBackend(BackendStandIn):
    """A backend server with a fault that can be switched while it runs."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.mode = Fault.NONE
        self.arrivals = 0

    def set_fault(self, fault):
        """Begins a fault, or ends it with ``Fault.NONE``."""
        if self.mode is Fault.STALL and fault is not Fault.STALL:
            self.thaw()
        self.mode = fault
        if fault is Fault.STALL:
            self.freeze()

    def arrived(self, connection):
        self.arrivals += 1
        if self.mode is Fault.REFUSE:
            self.shed += 1
            connection.reply(503, b"", b"Briarspoke-Shed: 1\r\n")
        elif self.mode is Fault.DROP:
            connection.transport.abortConnection()
        else:
            super().arrived(connection)

    def _ran(self, connection):
        try:
            super()._ran(connection)
        except RuntimeError:
            # uvloop closes the handle of a paused connection that its peer has
            # reset, but Twisted has not yet noticed that the peer is gone.
            self.connections.discard(connection)
