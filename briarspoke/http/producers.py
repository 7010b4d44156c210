"""Backpressure between the two connections of a request."""

from __future__ import annotations


class CallerProducer:
    """Lets the server's connection pause the caller's body."""

    # The transport's own producerPaused outlives a producer that was
    # unregistered while it was paused, so it says nothing about the next one.
    __slots__ = ("_relay", "paused")

    def __init__(self, relay):
        self._relay = relay
        self.paused = False

    def pauseProducing(self):
        self.paused = True
        self._relay.pause_caller()

    def resumeProducing(self):
        self.paused = False
        self._relay.resume_caller()

    def stopProducing(self):
        """Does nothing; a lost connection is reported to the relay."""


class ServerProducer:
    """Lets the caller's connection pause the server's answer."""

    __slots__ = ("_relay",)

    def __init__(self, relay):
        self._relay = relay

    def pauseProducing(self):
        if self._relay.connection is not None:
            self._relay.connection.transport.pauseProducing()

    def resumeProducing(self):
        if self._relay.connection is not None:
            self._relay.connection.transport.resumeProducing()

    def stopProducing(self):
        """Does nothing; a lost caller is reported to the relay."""
