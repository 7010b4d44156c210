"""Sends a request to a server without a second copy of a large body."""

from __future__ import annotations

import collections

from twisted.internet import interfaces
from zope.interface import implementer

from briarspoke.http.transports import write_immediately

# Bodies from this size on are written block by block as the connection takes them.
MIN_STREAMED_BYTES = 512 << 10


@implementer(interfaces.IPullProducer)
class BodyProducer:
    """Writes a body block by block, each when the one before has been sent.

    :param transport: transport to the server.
    :param body: the :class:`briarspoke.entry.arriving.Body`.
    """

    def __init__(self, *, transport, body):
        self._transport = transport
        self._blocks = collections.deque(body.blocks)
        # Whether the connection ended before the transport had the whole body.
        self._is_cut_short = False
        # Bytes that the transport has been given.
        self.given_bytes = 0

    @property
    def is_finished(self):
        """Whether the transport has the whole body."""
        return not self._blocks and not self._is_cut_short

    def resumeProducing(self):
        block = bytes(self._blocks.popleft())
        self.given_bytes += len(block)
        self._transport.write(block)
        if self.is_finished:
            self._transport.unregisterProducer()

    def stopProducing(self):
        self._is_cut_short = bool(self._blocks)
        self._blocks.clear()


def write_request(transport, head, body):
    """Writes a request.

    :param head: the head in bytes.
    :param body: the :class:`briarspoke.entry.arriving.Body`.
    :returns: the :class:`BodyProducer` of a large body, or None.
    """
    if len(body) < MIN_STREAMED_BYTES:
        write_immediately(transport, head + body.join())
        return None
    write_immediately(transport, head)
    producer = BodyProducer(transport=transport, body=body)
    transport.registerProducer(producer, False)
    return producer
