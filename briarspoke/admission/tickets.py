"""Requests in the queue of a server, and what the queue decides for them."""

from __future__ import annotations


class Ticket:
    """A request that waits for, or holds, a slot.

    :param rank: name of the rank.
    :param deadline: monotonic time in seconds after which it must not start.
    :param context: the caller's own object; not looked at here.
    """

    __slots__ = (
        "charged_s",
        "context",
        "deadline",
        "queued_at",
        "rank",
        "running",
        "started_at",
    )

    def __init__(self, *, rank, deadline, context=None):
        self.rank = rank
        self.deadline = deadline
        self.context = context
        self.queued_at = 0.0
        self.started_at = 0.0
        self.running = False
        self.charged_s = 0.0


class Start:
    """Command: send the request of this ticket now."""

    __slots__ = ("ticket",)

    def __init__(self, ticket):
        self.ticket = ticket


class Refuse:
    """Command: refuse the request of this ticket; it was not sent."""

    __slots__ = ("code", "retry_after_ms", "ticket")

    def __init__(self, ticket, code, retry_after_ms=None):
        self.ticket = ticket
        self.code = code
        self.retry_after_ms = retry_after_ms


class LoadSignal:
    """How a finished attempt looked to the gateway."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    NOT_SENT = "not-sent"
