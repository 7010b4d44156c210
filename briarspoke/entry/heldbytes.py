"""Limits the memory of messages that are arriving."""

from __future__ import annotations

# Shares of the VM's memory for answers that arrive, for answers that wait for their
# callers, and for requests until they are answered.
ANSWERS_SHARE = 0.1
OUTPUT_SHARE = 0.1
REQUESTS_SHARE = 0.25


class HeldBytes:
    """Counts the memory of messages that are held, up to a limit.

    Peers in trouble may send without end on many connections. Beyond the limit, the
    message that has grown largest is given up, so that messages of the usual size are
    not affected.

    :param limit_bytes: limit on the memory of all messages together.
    """

    __slots__ = ("_bytes_by_holder", "limit_bytes", "total_bytes")

    def __init__(self, *, limit_bytes):
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        # Only of arriving messages; complete ones are not given up any more.
        self._bytes_by_holder = {}

    def update(self, holder, count):
        """Sets the memory of the message that arrives at a holder.

        :param holder: connection on which the message arrives.
        :param count: bytes of memory, not of the message: see
            :mod:`briarspoke.entry.arriving`.
        :returns: the holder whose message has to be given up, or None.
        """
        held = self._bytes_by_holder
        self.total_bytes += count - held.get(holder, 0)
        held[holder] = count
        if self.total_bytes <= self.limit_bytes:
            return None
        return max(held, key=held.get)

    def release(self, holder):
        """Stops counting the arriving message of a holder."""
        self.total_bytes -= self._bytes_by_holder.pop(holder, 0)

    def complete(self, holder):
        """Keeps counting the message of a holder, which has arrived completely.

        :returns: its bytes, for :meth:`release_complete`.
        """
        return self._bytes_by_holder.pop(holder, 0)

    def release_complete(self, count):
        """Stops counting a complete message."""
        self.total_bytes -= count
