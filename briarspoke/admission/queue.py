"""Slots and queues of one backend server at its gateway."""

from __future__ import annotations

import collections

from briarspoke import codes
from briarspoke.configuration.resources import RANKS
from briarspoke.errors import invariant

SLOTS_EXCEEDED = codes.register(
    7201,
    "slots-exceeded",
    codes.Kind.INTERNAL,
    500,
    "More requests would run at a server than it has slots.",
)


class Ticket:
    """A request that waits for, or holds, a slot.

    :param rank: name of the rank.
    :param deadline: monotonic time in seconds after which it must not start.
    :param context: the caller's own object; not looked at here.
    """

    __slots__ = ("context", "deadline", "queued_at", "rank", "running", "started_at")

    def __init__(self, *, rank, deadline, context=None):
        self.rank = rank
        self.deadline = deadline
        self.context = context
        self.queued_at = 0.0
        self.started_at = 0.0
        self.running = False


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


class Signal:
    """How a finished attempt looked to the gateway."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    NOT_SENT = "not-sent"


class ServerQueue:
    """Decides which request of a server starts next and which is refused.

    All methods take the monotonic time and return a list of commands.

    :param slots: requests that the server runs at once.
    :param policies_by_rank: :class:`RankPolicy` per rank.
    """

    __slots__ = ("in_flight", "policies_by_rank", "queues_by_rank", "slots")

    def __init__(self, *, slots, policies_by_rank):
        self.slots = slots
        self.policies_by_rank = policies_by_rank
        self.in_flight = 0
        self.queues_by_rank = {rank: collections.deque() for rank in RANKS}

    def offer(self, ticket, now):
        """Takes a new request: starts, queues or refuses it."""
        queue = self.queues_by_rank[ticket.rank]
        if len(queue) >= self.policies_by_rank[ticket.rank].queue:
            return [Refuse(ticket, codes.QUEUE_FULL)]
        ticket.queued_at = now
        queue.append(ticket)
        return self._dispatch(now)

    def release(self, ticket, now, signal=Signal.OK):
        """Gives back the slot of a running ticket."""
        invariant(ticket.running, "a ticket without a slot was released")
        ticket.running = False
        self.in_flight -= 1
        return self._dispatch(now)

    def cancel(self, ticket, now):
        """Forgets a ticket whose caller has gone, queued or running."""
        if ticket.running:
            return self.release(ticket, now, Signal.FAILED)
        try:
            self.queues_by_rank[ticket.rank].remove(ticket)
        except ValueError:
            return []
        return self._dispatch(now)

    def tick(self, now):
        """Refuses queued tickets whose deadline has passed."""
        commands = []
        for queue in self.queues_by_rank.values():
            expired = [ticket for ticket in queue if ticket.deadline <= now]
            for ticket in expired:
                queue.remove(ticket)
                commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
        return commands + self._dispatch(now)

    def _dispatch(self, now):
        commands = []
        for queue in self.queues_by_rank.values():
            while queue and self.in_flight < self.slots:
                ticket = queue.popleft()
                if ticket.deadline <= now:
                    commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
                    continue
                commands.append(self._start(ticket, now))
        return commands

    def _start(self, ticket, now):
        self.in_flight += 1
        invariant(
            self.in_flight <= self.slots,
            f"{self.in_flight} requests run on {self.slots} slots",
            SLOTS_EXCEEDED,
        )
        ticket.running = True
        ticket.started_at = now
        return Start(ticket)
