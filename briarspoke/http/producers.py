"""Backpressure between the connections of caller and server."""

from __future__ import annotations


class CallerProducer:
    """Pauses the caller's body while the buffer to the server is full."""

    # The transport keeps producerPaused when a producer is unregistered while it is
    # paused, so that flag is not valid for the next producer.
    __slots__ = ("_proxied", "paused")

    def __init__(self, proxied):
        self._proxied = proxied
        self.paused = False

    def pauseProducing(self):
        self.paused = True
        self._proxied.pause_caller()

    def resumeProducing(self):
        self.paused = False
        self._proxied.resume_caller()

    def stopProducing(self):
        """Does nothing, because the request is notified of a lost connection."""


class ServerProducer:
    """Pauses the server's answer while the buffer to the caller is full."""

    __slots__ = ("_proxied",)

    def __init__(self, proxied):
        self._proxied = proxied

    def pauseProducing(self):
        if self._proxied.connection is not None:
            self._proxied.connection.transport.pauseProducing()

    def resumeProducing(self):
        if self._proxied.connection is not None:
            self._proxied.connection.transport.resumeProducing()

    def stopProducing(self):
        """Does nothing, because the request is notified of a lost caller."""
