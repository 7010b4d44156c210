"""Answers on their way to a caller."""

from __future__ import annotations

from twisted.internet import interfaces
from zope.interface import implementer

from briarspoke.http.transports import write_immediately


@implementer(interfaces.IPushProducer)
class CallerOutput:
    """Writes answers to a caller, who may read them slowly or not at all.

    The output is blocked while more than the buffer size of the transport waits.

    :param transport: transport to the caller.
    :param held_output: the :class:`briarspoke.entry.heldbytes.HeldBytes` of all answers
        that wait for their callers.
    :param on_drained: called without arguments when the output is not blocked any more.
    :ivar is_blocked: whether no further answer should be written.
    """

    __slots__ = (
        "_held_output",
        "_on_drained",
        "_stalled_since",
        "_transport",
        "_unsent_bytes_before",
        "is_blocked",
    )

    def __init__(self, *, transport, held_output, on_drained):
        self.is_blocked = False
        self._transport = transport
        self._held_output = held_output
        self._on_drained = on_drained
        self._unsent_bytes_before = 0
        self._stalled_since = 0.0
        transport.registerProducer(self, True)

    def write(self, data):
        """Writes data, directly to the socket if nothing waits."""
        write_immediately(self._transport, data)

    @property
    def unsent_bytes(self):
        """Bytes that have been written and wait in the transport."""
        transport = self._transport
        return len(transport.dataBuffer) - transport.offset + transport._tempDataLen

    def count(self, waiting_bytes):
        """Counts what the answers to the caller take in memory.

        :param waiting_bytes: bytes of answers that have not been written.
        """
        count = self.unsent_bytes + waiting_bytes
        if not count:
            self._held_output.release(self)
            return
        largest = self._held_output.update(self, count)
        if largest is not None:
            largest.give_up()

    def is_stalled(self, now, timeout_s):
        """Returns whether the caller has read nothing for a time.

        It is asked periodically.

        :param now: monotonic seconds.
        """
        unsent_bytes = self.unsent_bytes
        if not self._unsent_bytes_before or unsent_bytes < self._unsent_bytes_before:
            self._stalled_since = now
        self._unsent_bytes_before = unsent_bytes
        return unsent_bytes > 0 and now - self._stalled_since > timeout_s

    def give_up(self):
        """Resets the connection, since its answers take too much memory."""
        self._held_output.release(self)
        self._transport.abortConnection()

    def end(self):
        """Lets the transport close after what has been written."""
        self._transport.unregisterProducer()

    def release(self):
        """Stops counting, because the connection is lost."""
        self._held_output.release(self)

    def pauseProducing(self):
        self.is_blocked = True

    def resumeProducing(self):
        self.is_blocked = False
        self._on_drained()

    def stopProducing(self):
        self.is_blocked = True
