"""Slots and queues of one backend server at its gateway."""

from __future__ import annotations

import math

from briarspoke import codes
from briarspoke.admission.estimates import TimeEstimate
from briarspoke.admission.queue_checks import (
    check_offer,
    check_places,
    check_release,
    check_start,
)
from briarspoke.admission.shares import Shares
from briarspoke.admission.slots import Slots
from briarspoke.admission.tickets import LoadSignal, Refuse, Start, Ticket
from briarspoke.admission.waiting import WaitingQueues
from briarspoke.configuration.resources import RANKS

__all__ = ["LoadSignal", "Refuse", "ServerQueue", "Start", "Ticket"]

LOOKUP, _, BULK = RANKS
# A time in flight above this multiple of the running median is overload.
SLOW_FACTOR = 3.0
# Below this, three times the median is within the jitter of an event loop.
SLOW_MIN_S = 0.010
RETRY_AFTER_MIN_MS = 100
RETRY_AFTER_MAX_MS = 30_000
# Slot time assumed for a rank until one of its requests was answered.
FIRST_ESTIMATE_S = 0.01


class ServerQueue:
    """Decides which request of a server starts next and which is refused.

    All methods take the monotonic time and return a list of commands.

    :param slots: requests that the server runs at once.
    :param policies_by_rank: :class:`RankPolicy` per rank.
    :param warmup_s: seconds until a new server gets all its slots.
    """

    __slots__ = ("_queues", "_slots", "estimates_by_rank", "shares")

    def __init__(self, *, slots, policies_by_rank, warmup_s=0.0):
        self._slots = Slots(slots=slots, warmup_s=warmup_s)
        self._queues = WaitingQueues(policies_by_rank)
        self.shares = Shares(_shares(policies_by_rank))
        self.estimates_by_rank = {rank: TimeEstimate() for rank in RANKS}

    @property
    def slots(self):
        """Declared slots of the server."""
        return self._slots.limit.slots

    @property
    def limit(self):
        """The :class:`SlotLimit` of the server."""
        return self._slots.limit

    @property
    def in_flight(self):
        """Number of requests that hold a slot."""
        return self._slots.in_flight

    @property
    def queues_by_rank(self):
        """Waiting tickets per rank, the oldest first."""
        return self._queues.queues_by_rank

    def running(self, rank):
        """Returns how many slots a rank holds."""
        return self._slots.running(rank)

    def waiting(self):
        """Returns how many requests wait in all queues."""
        return self._queues.count

    def deadline_entries(self):
        """Returns how many deadlines are kept, of waiting and former requests."""
        return self._queues.deadline_entries()

    def fastest_s(self, rank):
        """Returns the least time in flight observed for a rank, 0.0 if none."""
        return self.estimates_by_rank[rank].fastest_s

    # Events.

    def reconfigure(self, *, slots, policies_by_rank, now, warmup_s=0.0):
        """Takes new slots and policies; refuses what no longer fits.

        Requests that hold a slot beyond a lower number keep it to their end.
        """
        self._slots.limit.reconfigure(slots=slots, warmup_s=warmup_s)
        self._queues.policies_by_rank = policies_by_rank
        self.shares.reconfigure(_shares(policies_by_rank))
        commands = []
        for rank in reversed(RANKS):
            while self._queues.length(rank) > policies_by_rank[rank].queue:
                commands.append(self._refuse_newest(rank, codes.QUEUE_FULL, now))
        return commands + self._dispatch(now)

    def warm_up(self, now):
        """Notes that the server is new or was restarted."""
        self._slots.limit.warm_up(now)
        return []

    def offer(self, ticket, now):
        """Takes a new request: starts, queues or refuses it."""
        rank = ticket.rank
        check_offer(ticket, self._queues)
        if ticket.deadline <= now:
            return [Refuse(ticket, codes.DEADLINE_IN_QUEUE)]
        self._slots.note_demand(now, self._queues.length(LOOKUP))
        if not self._reachable(ticket, now):
            return [Refuse(ticket, codes.DEADLINE_UNREACHABLE, self._hint(rank, now))]
        if self._starts_at_once(rank, now):
            ticket.queued_at = now
            return [self._start(ticket, now)]
        commands = []
        if self._queues.room(rank):
            self._queues.add(ticket, now)
        else:
            displaced = self._queues.displaced_rank(rank)
            if displaced is None:
                return [Refuse(ticket, codes.QUEUE_FULL, self._hint(rank, now))]
            commands.append(self._refuse_newest(displaced, codes.DISPLACED, now))
            self._queues.add(ticket, now)
        commands += self._dispatch(now)
        check_places(self._queues)
        return commands

    def release(self, ticket, now, signal=LoadSignal.OK):
        """Gives back the slot of a running ticket."""
        check_release(ticket, self._slots)
        self._slots.note_demand(now, self._queues.length(LOOKUP))
        ticket.running = False
        self._slots.give_back(ticket)
        seconds = max(0.0, now - ticket.started_at)
        self._spend(ticket.rank, seconds - ticket.charged_s)
        if signal == LoadSignal.SHED:
            self._slots.limit.overloaded(now)
        elif signal == LoadSignal.OK:
            if not self._is_slow(ticket, now):
                self._slots.limit.succeeded()
            else:
                self._slots.limit.overloaded(now)
            self.estimates_by_rank[ticket.rank].add(seconds)
        return self._dispatch(now)

    def cancel(self, ticket, now):
        """Forgets a ticket whose caller has gone, queued or running."""
        if ticket.running:
            return self.release(ticket, now, LoadSignal.FAILED)
        if not self._queues.holds(ticket):
            return []
        self._remove(ticket)
        return self._dispatch(now)

    def tick(self, now):
        """Refuses queued tickets whose deadline has passed."""
        self._slots.note_demand(now, self._queues.length(LOOKUP))
        for oldest in self._slots.oldest():
            if self._is_slow(oldest, now):
                self._slots.limit.overloaded(now)
        return self._expire(now) + self._dispatch(now)

    # Queues.

    def _starts_at_once(self, rank, now):
        """Whether a request takes a free slot without a place in the queue.

        That is the usual case, and a queue bound of 0 allows it too.
        """
        return (
            not self._queues.count
            and self._slots.has_free(now)
            and self._slots.may_start(rank, now)
            and (
                self.shares.furthest_behind([rank]) is not None
                or self._slots.leaves_room_for_lookups(rank, now)
            )
        )

    def _remove(self, ticket):
        self._queues.remove(ticket)
        if not self._queues.length(ticket.rank):
            self.shares.idle(ticket.rank)

    def _refuse_newest(self, rank, code, now):
        ticket = self._queues.newest(rank)
        self._remove(ticket)
        return Refuse(ticket, code, self._hint(rank, now))

    def _expire(self, now):
        commands = []
        while (ticket := self._queues.next_expired(now)) is not None:
            self._remove(ticket)
            commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
        return commands

    # Estimates.

    def _wait_s(self, rank, now):
        """Returns the least time that a new request of a rank would wait.

        Later and more urgent requests only make it longer.
        """
        slots = self._slots.limit.current(now)
        own = self._queues.length(rank) * self.estimates_by_rank[rank].mean_s
        ahead = own
        for urgent in RANKS[: RANKS.index(rank)]:
            ahead += self._queues.length(urgent) * self.estimates_by_rank[urgent].mean_s
        share = self.shares.target(rank)
        # The guaranteed share overtakes the more urgent ranks.
        return min(ahead, own / share) / slots if share else ahead / slots

    def _reachable(self, ticket, now):
        if not self._slots.in_flight:
            # An idle server always gets a request; otherwise an estimate that
            # is too high could never be corrected.
            return True
        fastest = self.estimates_by_rank[ticket.rank].fastest_s
        return now + self._wait_s(ticket.rank, now) + fastest <= ticket.deadline

    def _hint(self, rank, now):
        """Returns the Retry-After in milliseconds: until the queue is empty."""
        wait_ms = math.ceil(self._wait_s(rank, now) * 1000)
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms))

    def _is_slow(self, ticket, now):
        """Whether the time in flight is a sign of overload.

        The time of a bulk request depends on its size and on its caller's
        network, so it says nothing about the server.
        """
        if ticket.rank == BULK:
            return False
        median = self.estimates_by_rank[ticket.rank].median_s()
        if median is None:
            return False
        return now - ticket.started_at > max(SLOW_MIN_S, SLOW_FACTOR * median)

    # Scheduling.

    def _next_rank(self, now):
        """Returns the rank that gets the next slot, or None."""
        startable = [
            rank
            for rank in self._queues.waiting_ranks()
            if self._slots.may_start(rank, now)
        ]
        behind = self.shares.furthest_behind(startable)
        if behind is not None:
            return behind
        for rank in startable:
            if self._slots.leaves_room_for_lookups(rank, now):
                return rank
        return None

    def _dispatch(self, now):
        commands = []
        while self._queues.count and self._slots.has_free(now):
            rank = self._next_rank(now)
            if rank is None:
                break
            # Credit is kept here, since the start is about to be charged to it.
            ticket = self._queues.pop_oldest(rank)
            if ticket.deadline <= now:
                commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
            elif self._slots.in_flight and (
                now + self.estimates_by_rank[rank].fastest_s > ticket.deadline
            ):
                commands.append(
                    Refuse(ticket, codes.DEADLINE_UNREACHABLE, self._hint(rank, now))
                )
            else:
                commands.append(self._start(ticket, now))
        return commands

    def _start(self, ticket, now):
        rank = ticket.rank
        self._slots.take(ticket)
        ticket.running = True
        ticket.started_at = now
        ticket.charged_s = self._expected_s(rank)
        self._spend(rank, ticket.charged_s)
        check_start(ticket, self._slots, now)
        return Start(ticket)

    def _expected_s(self, rank):
        return self.estimates_by_rank[rank].mean_s or FIRST_ESTIMATE_S

    def _spend(self, rank, seconds):
        longest_s = max(self._expected_s(other) for other in RANKS)
        self.shares.spend(
            rank,
            seconds,
            self._queues.waiting_ranks(),
            own_s=self._expected_s(rank),
            longest_s=longest_s,
            slots=self.slots,
        )


def _shares(policies_by_rank):
    return {rank: policy.share for rank, policy in policies_by_rank.items()}
