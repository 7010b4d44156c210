"""Tickets of requests at a server's queue, and the commands of the queue."""

from __future__ import annotations


class Ticket:
    """A request that waits for a slot or holds one.

    :param rank: name of the rank.
    :param deadline: monotonic time in seconds from which it must not start.
    :param context: object for use by the creator of the ticket.
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
    """Command to send the request of a ticket to the server."""

    __slots__ = ("ticket",)

    def __init__(self, ticket):
        self.ticket = ticket


class Refuse:
    """Command to refuse the request of a ticket, which was not sent.

    :param code: result code of the refusal.
    :param retry_after_ms: delay suggested to the caller, or None.
    """

    __slots__ = ("code", "retry_after_ms", "ticket")

    def __init__(self, ticket, code, retry_after_ms=None):
        self.ticket = ticket
        self.code = code
        self.retry_after_ms = retry_after_ms


class LoadSignal:
    """What a finished attempt indicates about the load of its server."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    NOT_SENT = "not-sent"
