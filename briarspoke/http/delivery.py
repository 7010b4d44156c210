"""What the peer of a connection has got of the data that was written to it."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

_INT = struct.Struct("i")


def unsent_bytes(transport):
    """Returns the bytes that have been written and wait in the process."""
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def unacknowledged_bytes(transport):
    """Returns the bytes that the kernel has taken and the peer has not acknowledged.

    The kernel discards them when the connection is reset. The end of the stream counts
    as one byte.
    """
    fd = transport.fileno()
    if fd < 0:
        # The connection is lost.
        return 0
    return _INT.unpack(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(_INT.size)))[0]


def undelivered_bytes(transport):
    """Returns the bytes that have been written and that the peer does not have.

    :param transport: a TCP transport of Twisted.
    """
    return unsent_bytes(transport) + unacknowledged_bytes(transport)


def hand_over(transport):
    """Gives the kernel what waits in the process, as far as it takes it.

    The kernel goes on sending after the process has ended.
    """
    _flush(transport)
    waiting = unsent_bytes(transport)
    if not waiting or transport.fileno() < 0:
        return
    handle = transport.getHandle()
    size = handle.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size + waiting)
    _flush(transport)


def _flush(transport):
    waiting = unsent_bytes(transport)
    while waiting:
        transport.doWrite()
        before, waiting = waiting, unsent_bytes(transport)
        if waiting >= before:
            return


class Delivery:
    """Follows how the peer of a connection takes what is written to it.

    :param transport: a TCP transport of Twisted.
    :ivar undelivered_bytes: bytes that the peer had not acknowledged at the last call
        of :meth:`update`, or 0 if it did not ask.
    :ivar progress_at: monotonic seconds of the last call that found fewer of them than
        the one before, or the first ones.
    """

    __slots__ = ("_transport", "progress_at", "undelivered_bytes")

    def __init__(self, *, transport):
        self._transport = transport
        self.undelivered_bytes = 0
        self.progress_at = 0.0

    def update(self, now, *, asks_kernel):
        """Looks at how much the peer has not acknowledged.

        :param now: monotonic seconds.
        :param asks_kernel: whether the kernel is asked, at the cost of a system call,
            although nothing waits in the process.
        """
        before = self.undelivered_bytes
        if asks_kernel or unsent_bytes(self._transport):
            self.undelivered_bytes = undelivered_bytes(self._transport)
        else:
            self.undelivered_bytes = 0
        if self.undelivered_bytes < before or (self.undelivered_bytes and not before):
            self.progress_at = now

    def is_stalled(self, now, timeout_s):
        """Returns whether the peer has acknowledged nothing for a time."""
        return self.undelivered_bytes > 0 and now - self.progress_at > timeout_s
