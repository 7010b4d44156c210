"""Finds connections whose loss the event loop has not reported."""

from __future__ import annotations

import select

_RESET = select.POLLERR | select.POLLHUP | select.POLLNVAL
_CLOSED = _RESET | select.POLLRDHUP

_READABLE = select.POLLIN | _CLOSED


def is_idle(transport):
    """Returns whether neither data nor a close of the other side is waiting."""
    fd = transport.fileno()
    if fd < 0:
        return True
    poll = select.poll()
    poll.register(fd, select.POLLIN | select.POLLRDHUP)
    return not any(found & _READABLE for _, found in poll.poll(0))


def lost_transports(callers, upstreams):
    """Returns the transports whose other side is gone.

    A connection that is paused is not read, so its end goes unnoticed; and on
    uvloop a socket that was reset while it was paused is not reported after it
    is resumed either.

    :param callers: transports that count as lost when the other side has
        closed its writing direction.
    :param upstreams: transports that count as lost after a reset only, because
        a closed direction may have a whole answer before it.
    """
    poll = select.poll()
    transports_by_fd = {}
    for transports, events in ((callers, select.POLLRDHUP), (upstreams, 0)):
        for transport in transports:
            fd = transport.fileno()
            if fd >= 0:
                transports_by_fd[fd] = transport
                poll.register(fd, events)
    # POLLERR and POLLHUP are reported whether they are asked for or not.
    return [transports_by_fd[fd] for fd, found in poll.poll(0) if found & _CLOSED]
