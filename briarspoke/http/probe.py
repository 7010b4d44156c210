"""Detects closed connections that the event loop has not reported."""

from __future__ import annotations

import select

_RESET_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL
_CLOSED_EVENTS = _RESET_EVENTS | select.POLLRDHUP

_READABLE_EVENTS = select.POLLIN | _CLOSED_EVENTS


def is_idle(transport):
    """Returns whether neither unread data nor a close by the peer is pending."""
    fd = transport.fileno()
    if fd < 0:
        return True
    poll = select.poll()
    poll.register(fd, select.POLLIN | select.POLLRDHUP)
    return not any(revents & _READABLE_EVENTS for _, revents in poll.poll(0))


def lost_transports(callers, upstreams):
    """Returns the transports whose peer has closed or reset the connection.

    The event loop does not read a paused connection, so it does not notice that the
    peer closed it. If the connection was reset while it was paused, uvloop does not
    report this even after it is resumed.

    :param callers: transports that count as lost once the peer has closed its
        sending direction.
    :param upstreams: transports that count as lost only after a reset. The peer may
        have sent a complete answer before it closed its sending direction.
    """
    poll = select.poll()
    transports_by_fd = {}
    for transports, events in ((callers, select.POLLRDHUP), (upstreams, 0)):
        for transport in transports:
            fd = transport.fileno()
            if fd >= 0:
                transports_by_fd[fd] = transport
                poll.register(fd, events)
    # poll() also reports POLLERR and POLLHUP, although they are not requested.
    return [
        transports_by_fd[fd] for fd, revents in poll.poll(0) if revents & _CLOSED_EVENTS
    ]
