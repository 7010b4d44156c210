"""Admission control for one backend server at its gateway."""

from __future__ import annotations

import math

from briarspoke import codes
from briarspoke.admission.estimates import TimeEstimate
from briarspoke.admission.queue_checks import (
    check_offer,
    check_queue_bound,
    check_release,
    check_start,
)
from briarspoke.admission.shares import ShareCredits
from briarspoke.admission.slots import Slots
from briarspoke.admission.tickets import LoadSignal, Refuse, Start, Ticket
from briarspoke.admission.waiting import WaitingQueues
from briarspoke.configuration.resources import RANKS

__all__ = ["LoadSignal", "Refuse", "ServerQueue", "Start", "Ticket"]

LOOKUP, _, BULK = RANKS
# A time in flight above this multiple of the running median indicates overload.
SLOW_FACTOR = 3.0
# Lower bound of that threshold. Below it, three times the median is within the
# jitter of an event loop.
SLOW_MIN_S = 0.010
RETRY_AFTER_MIN_MS = 100
RETRY_AFTER_MAX_MS = 30_000
# Slot time assumed for a rank until one of its requests is answered.
INITIAL_SLOT_TIME_S = 0.01


class ServerQueue:
    """Decides which request of a server starts next and which is refused.

    Each event method takes the monotonic time in seconds and returns a list of
    :class:`Start` and :class:`Refuse` commands.

    :param slots: requests that the server runs concurrently.
    :param policies_by_rank: :class:`RankPolicy` by rank.
    :param warmup_s: seconds until a new server gets all its slots.
    """

    __slots__ = ("_queues", "_slots", "estimates_by_rank", "shares")

    def __init__(self, *, slots, policies_by_rank, warmup_s=0.0):
        self._slots = Slots(slots=slots, warmup_s=warmup_s)
        self._queues = WaitingQueues(policies_by_rank)
        self.shares = ShareCredits(_shares_by_rank(policies_by_rank))
        self.estimates_by_rank = {rank: TimeEstimate() for rank in RANKS}

    @property
    def slots(self):
        """Configured number of slots of the server."""
        return self._slots.limit.slots

    @property
    def limit(self):
        """The adaptive :class:`SlotLimit` of the server."""
        return self._slots.limit

    @property
    def in_flight(self):
        """Number of requests that hold a slot."""
        return self._slots.in_flight

    @property
    def queues_by_rank(self):
        """Waiting tickets by rank, oldest first."""
        return self._queues.queues_by_rank

    def running(self, rank):
        """Returns the number of slots that a rank holds."""
        return self._slots.running(rank)

    def waiting_count(self):
        """Returns the number of waiting requests of all ranks."""
        return self._queues.count

    def deadline_heap_size(self):
        """Returns the size of the deadline heap, including stale entries."""
        return self._queues.deadline_heap_size()

    def fastest_s(self, rank):
        """Returns the shortest time in flight of a rank in seconds, 0.0 if unknown."""
        return self.estimates_by_rank[rank].fastest_s

    def reconfigure(self, *, slots, policies_by_rank, now, warmup_s=0.0):
        """Applies new slots and policies and refuses requests above the queue bounds.

        Running requests keep their slots, even if the number of slots is reduced.
        """
        self._slots.limit.reconfigure(slots=slots, warmup_s=warmup_s)
        self._queues.policies_by_rank = policies_by_rank
        self.shares.reconfigure(_shares_by_rank(policies_by_rank))
        commands = []
        for rank in reversed(RANKS):
            while self._queues.length(rank) > policies_by_rank[rank].queue:
                commands.append(self._refuse_newest(rank, codes.QUEUE_FULL, now))
        return commands + self._dispatch(now)

    def warm_up(self, now):
        """Starts the warm-up of a server that is new or was restarted."""
        self._slots.limit.warm_up(now)
        return []

    def offer(self, ticket, now):
        """Starts, queues or refuses a new request."""
        rank = ticket.rank
        check_offer(ticket, self._queues)
        if ticket.deadline <= now:
            return [Refuse(ticket, codes.DEADLINE_IN_QUEUE)]
        self._slots.update_lookup_demand(now, self._queues.length(LOOKUP))
        if not self._can_meet_deadline(ticket, now):
            return [
                Refuse(
                    ticket, codes.DEADLINE_UNREACHABLE, self._retry_after_ms(rank, now)
                )
            ]
        if self._can_start_immediately(rank, now):
            ticket.queued_at = now
            return [self._start(ticket, now)]
        commands = []
        if self._queues.has_capacity(rank):
            self._queues.add(ticket, now)
        else:
            displaced_rank = self._queues.rank_to_displace(rank)
            if displaced_rank is None:
                return [
                    Refuse(ticket, codes.QUEUE_FULL, self._retry_after_ms(rank, now))
                ]
            commands.append(self._refuse_newest(displaced_rank, codes.DISPLACED, now))
            self._queues.add(ticket, now)
        commands += self._dispatch(now)
        check_queue_bound(self._queues)
        return commands

    def release(self, ticket, now, signal=LoadSignal.OK):
        """Releases the slot of a finished attempt.

        :param signal: the :class:`LoadSignal` of the attempt.
        """
        check_release(ticket, self._slots)
        self._slots.update_lookup_demand(now, self._queues.length(LOOKUP))
        ticket.running = False
        self._slots.release(ticket)
        seconds = max(0.0, now - ticket.started_at)
        self._charge(ticket.rank, seconds - ticket.charged_s)
        if signal == LoadSignal.SHED:
            self._slots.limit.back_off(now)
        elif signal == LoadSignal.OK:
            if not self._indicates_overload(ticket, now):
                self._slots.limit.recover()
            else:
                self._slots.limit.back_off(now)
            self.estimates_by_rank[ticket.rank].add(seconds)
        return self._dispatch(now)

    def cancel(self, ticket, now):
        """Removes a ticket whose request has ended or has left this queue.

        A running ticket releases its slot.
        """
        if ticket.running:
            return self.release(ticket, now, LoadSignal.FAILED)
        if not self._queues.holds(ticket):
            return []
        self._remove(ticket)
        return self._dispatch(now)

    def tick(self, now):
        """Refuses expired waiting tickets and detects slow running requests."""
        self._slots.update_lookup_demand(now, self._queues.length(LOOKUP))
        for oldest in self._slots.oldest_running():
            if self._indicates_overload(oldest, now):
                self._slots.limit.back_off(now)
        return self._expire(now) + self._dispatch(now)

    def _can_start_immediately(self, rank, now):
        """Returns whether a request can take a free slot without being queued.

        This is the common case, and it also works with a queue bound of 0.
        """
        return (
            not self._queues.count
            and self._slots.has_free_slot(now)
            and self._slots.may_start(rank, now)
            and (
                self.shares.most_underserved([rank]) is not None
                or self._slots.keeps_lookup_reserve(rank, now)
            )
        )

    def _remove(self, ticket):
        self._queues.remove(ticket)
        if not self._queues.length(ticket.rank):
            self.shares.drop_credit(ticket.rank)

    def _refuse_newest(self, rank, code, now):
        ticket = self._queues.newest(rank)
        self._remove(ticket)
        return Refuse(ticket, code, self._retry_after_ms(rank, now))

    def _expire(self, now):
        commands = []
        while (ticket := self._queues.next_expired(now)) is not None:
            self._remove(ticket)
            commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
        return commands

    def _min_wait_s(self, rank, now):
        """Returns a lower bound of the wait of a new request, in seconds.

        More urgent requests that arrive later can only make it longer.
        """
        slots = self._slots.limit.current(now)
        own_work_s = self._queues.length(rank) * self.estimates_by_rank[rank].mean_s
        work_ahead_s = own_work_s
        for more_urgent in RANKS[: RANKS.index(rank)]:
            work_ahead_s += (
                self._queues.length(more_urgent)
                * self.estimates_by_rank[more_urgent].mean_s
            )
        share = self.shares.target(rank)
        # Its guaranteed share lets a rank overtake more urgent ranks.
        return (
            min(work_ahead_s, own_work_s / share) / slots
            if share
            else work_ahead_s / slots
        )

    def _can_meet_deadline(self, ticket, now):
        if not self._slots.in_flight:
            # An idle server accepts every request. Otherwise an estimate that is
            # too high would refuse all requests and never be corrected.
            return True
        fastest = self.estimates_by_rank[ticket.rank].fastest_s
        return now + self._min_wait_s(ticket.rank, now) + fastest <= ticket.deadline

    def _retry_after_ms(self, rank, now):
        """Returns the time until the queue is empty, in ms, for ``Retry-After``."""
        wait_ms = math.ceil(self._min_wait_s(rank, now) * 1000)
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms))

    def _indicates_overload(self, ticket, now):
        """Returns whether a ticket has been in flight unusually long.

        Bulk requests are not considered: their time depends on their size and on
        the caller's network, not on the load of the server.
        """
        if ticket.rank == BULK:
            return False
        median = self.estimates_by_rank[ticket.rank].median_s()
        if median is None:
            return False
        return now - ticket.started_at > max(SLOW_MIN_S, SLOW_FACTOR * median)

    def _next_rank(self, now):
        """Returns the rank that gets the next free slot, or None."""
        startable = [
            rank
            for rank in self._queues.waiting_ranks()
            if self._slots.may_start(rank, now)
        ]
        underserved = self.shares.most_underserved(startable)
        if underserved is not None:
            return underserved
        for rank in startable:
            if self._slots.keeps_lookup_reserve(rank, now):
                return rank
        return None

    def _dispatch(self, now):
        commands = []
        while self._queues.count and self._slots.has_free_slot(now):
            rank = self._next_rank(now)
            if rank is None:
                break
            # The rank keeps its credit even if its queue is now empty, because the
            # start is charged to that credit.
            ticket = self._queues.pop_oldest(rank)
            if ticket.deadline <= now:
                commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
            elif self._slots.in_flight and (
                now + self.estimates_by_rank[rank].fastest_s > ticket.deadline
            ):
                commands.append(
                    Refuse(
                        ticket,
                        codes.DEADLINE_UNREACHABLE,
                        self._retry_after_ms(rank, now),
                    )
                )
            else:
                commands.append(self._start(ticket, now))
        return commands

    def _start(self, ticket, now):
        rank = ticket.rank
        self._slots.acquire(ticket)
        ticket.running = True
        ticket.started_at = now
        ticket.charged_s = self._expected_slot_time_s(rank)
        self._charge(rank, ticket.charged_s)
        check_start(ticket, self._slots, now)
        return Start(ticket)

    def _expected_slot_time_s(self, rank):
        return self.estimates_by_rank[rank].mean_s or INITIAL_SLOT_TIME_S

    def _charge(self, rank, seconds):
        longest_s = max(self._expected_slot_time_s(other) for other in RANKS)
        self.shares.charge(
            rank,
            seconds,
            self._queues.waiting_ranks(),
            request_s=self._expected_slot_time_s(rank),
            longest_s=longest_s,
            slots=self.slots,
        )


def _shares_by_rank(policies_by_rank):
    return {rank: policy.share for rank, policy in policies_by_rank.items()}
