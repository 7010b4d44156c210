"""Answers on their way to a caller."""

from __future__ import annotations

from twisted.internet import interfaces
from zope.interface import implementer

from briarspoke.http import delivery
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
    :ivar delivery: the :class:`briarspoke.http.delivery.Delivery` of the answers.
    """

    __slots__ = (
        "_held_output",
        "_on_drained",
        "_transport",
        "delivery",
        "is_blocked",
    )

    def __init__(self, *, transport, held_output, on_drained):
        self.is_blocked = False
        self._transport = transport
        self._held_output = held_output
        self._on_drained = on_drained
        self.delivery = delivery.Delivery(transport=transport)
        transport.registerProducer(self, True)

    def write(self, data):
        """Writes data, directly to the socket if nothing waits."""
        write_immediately(self._transport, data)

    def count(self, waiting_bytes):
        """Counts what the answers to the caller take in memory.

        :param waiting_bytes: bytes of answers that have not been written.
        """
        count = delivery.unsent_bytes(self._transport) + waiting_bytes
        if not count:
            self._held_output.release(self)
            return
        largest = self._held_output.update(self, count)
        if largest is not None:
            largest.give_up()

    @property
    def has_undelivered(self):
        """Whether the caller does not have all answers that were written to it."""
        return delivery.undelivered_bytes(self._transport) > 0

    def hand_over(self):
        """Gives the kernel all answers, because the process ends."""
        delivery.hand_over(self._transport)

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
