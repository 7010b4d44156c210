"""Slots and queues of one backend server at its gateway."""

from __future__ import annotations

import collections
import heapq
import math

from briarspoke import codes
from briarspoke.admission.estimates import TimeEstimate
from briarspoke.admission.shares import Shares
from briarspoke.admission.slot_limit import SlotLimit
from briarspoke.configuration.resources import RANKS
from briarspoke.errors import invariant

SLOTS_EXCEEDED = codes.register(
    7201,
    "slots-exceeded",
    codes.Kind.INTERNAL,
    500,
    "More requests would run at a server than it has slots.",
)
QUEUE_BOUND_EXCEEDED = codes.register(
    7202,
    "queue-bound-exceeded",
    codes.Kind.INTERNAL,
    500,
    "More requests would wait at a server than its queues allow.",
)
TICKET_STATE = codes.register(
    7203,
    "ticket-state",
    codes.Kind.INTERNAL,
    500,
    "A ticket was offered twice, or released without a slot.",
)
RANK_CAP_EXCEEDED = codes.register(
    7204,
    "rank-cap-exceeded",
    codes.Kind.INTERNAL,
    500,
    "A rank would hold a slot that is kept free for more urgent ranks.",
)
LATE_START = codes.register(
    7205,
    "late-start",
    codes.Kind.INTERNAL,
    500,
    "A request would start after its deadline.",
)

LOOKUP, BOOKING, BULK = RANKS
# A time in flight above this multiple of the running median is overload.
SLOW_FACTOR = 3.0
# Below this, three times the median is within the jitter of an event loop.
SLOW_MIN_S = 0.010
RETRY_AFTER_MIN_MS = 100
RETRY_AFTER_MAX_MS = 30_000
# Time constant of the average number of slots that lookups ask for.
DEMAND_TAU_S = 1.0
# A few lookups a second keep no slot of their own.
DEMAND_NOISE_SLOTS = 0.05
# Expired entries of the deadline heap are dropped when they are more than half.
HEAP_SLACK = 64
# Slot time assumed for a rank until one of its requests was answered.
FIRST_ESTIMATE_S = 0.01


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
    :param warmup_s: seconds until a new server gets all its slots.
    """

    __slots__ = (
        "_deadlines",
        "_demand_at",
        "_lookup_demand",
        "_number",
        "_running_by_rank",
        "estimates_by_rank",
        "in_flight",
        "limit",
        "policies_by_rank",
        "queues_by_rank",
        "shares",
    )

    def __init__(self, *, slots, policies_by_rank, warmup_s=0.0):
        self.limit = SlotLimit(slots=slots, warmup_s=warmup_s)
        self.policies_by_rank = policies_by_rank
        self.shares = Shares(_shares(policies_by_rank))
        self.in_flight = 0
        self.queues_by_rank = {rank: collections.OrderedDict() for rank in RANKS}
        self.estimates_by_rank = {rank: TimeEstimate() for rank in RANKS}
        self._running_by_rank = {rank: collections.OrderedDict() for rank in RANKS}
        self._deadlines = []
        self._number = 0
        self._lookup_demand = 0.0
        self._demand_at = 0.0

    @property
    def slots(self):
        """Declared slots of the server."""
        return self.limit.slots

    def running(self, rank):
        """Returns how many slots a rank holds."""
        return len(self._running_by_rank[rank])

    def waiting(self):
        """Returns how many requests wait in all queues."""
        return sum(len(queue) for queue in self.queues_by_rank.values())

    def fastest_s(self, rank):
        """Returns the least time in flight observed for a rank, 0.0 if none."""
        return self.estimates_by_rank[rank].fastest_s

    # Events.

    def reconfigure(self, *, slots, policies_by_rank, now, warmup_s=0.0):
        """Takes new slots and policies; refuses what no longer fits.

        Requests that hold a slot beyond a lower number keep it to their end.
        """
        self.limit.reconfigure(slots=slots, warmup_s=warmup_s)
        self.policies_by_rank = policies_by_rank
        self.shares.reconfigure(_shares(policies_by_rank))
        commands = []
        for rank in reversed(RANKS):
            queue = self.queues_by_rank[rank]
            while len(queue) > policies_by_rank[rank].queue:
                commands.append(self._refuse_newest(rank, codes.QUEUE_FULL, now))
        return commands + self._dispatch(now)

    def warm_up(self, now):
        """Notes that the server is new or was restarted."""
        self.limit.warm_up(now)
        return []

    def offer(self, ticket, now):
        """Takes a new request: starts, queues or refuses it."""
        rank = ticket.rank
        invariant(
            not ticket.running and ticket not in self.queues_by_rank[rank],
            "a ticket was offered twice",
            TICKET_STATE,
        )
        if ticket.deadline <= now:
            return [Refuse(ticket, codes.DEADLINE_IN_QUEUE)]
        self._note_demand(now)
        if not self._reachable(ticket, now):
            return [Refuse(ticket, codes.DEADLINE_UNREACHABLE, self._hint(rank, now))]
        commands = []
        if self._room(rank) or self._starts_at_once(rank, now):
            self._enqueue(ticket, now)
        else:
            displaced = self._displaced_rank(rank)
            if displaced is None:
                return [Refuse(ticket, codes.QUEUE_FULL, self._hint(rank, now))]
            commands.append(self._refuse_newest(displaced, codes.DISPLACED, now))
            self._enqueue(ticket, now)
        commands += self._dispatch(now)
        invariant(
            self.waiting() <= self._places(),
            f"{self.waiting()} requests wait in {self._places()} places",
            QUEUE_BOUND_EXCEEDED,
        )
        return commands

    def release(self, ticket, now, signal=Signal.OK):
        """Gives back the slot of a running ticket."""
        invariant(
            ticket.running and ticket in self._running_by_rank[ticket.rank],
            "a ticket without a slot was released",
            TICKET_STATE,
        )
        self._note_demand(now)
        ticket.running = False
        del self._running_by_rank[ticket.rank][ticket]
        self.in_flight -= 1
        seconds = max(0.0, now - ticket.started_at)
        self._spend(ticket.rank, seconds - ticket.charged_s)
        if signal == Signal.SHED:
            self.limit.overloaded(now)
        elif signal == Signal.OK:
            if not self._is_slow(ticket, now):
                self.limit.succeeded()
            else:
                self.limit.overloaded(now)
            self.estimates_by_rank[ticket.rank].add(seconds)
        return self._dispatch(now)

    def cancel(self, ticket, now):
        """Forgets a ticket whose caller has gone, queued or running."""
        if ticket.running:
            return self.release(ticket, now, Signal.FAILED)
        if ticket not in self.queues_by_rank[ticket.rank]:
            return []
        self._remove(ticket, now)
        return self._dispatch(now)

    def tick(self, now):
        """Refuses queued tickets whose deadline has passed."""
        self._note_demand(now)
        for running in self._running_by_rank.values():
            oldest = next(iter(running), None)
            if oldest is not None and self._is_slow(oldest, now):
                self.limit.overloaded(now)
        return self._expire(now) + self._dispatch(now)

    # Queues.

    def _places(self):
        return sum(policy.queue for policy in self.policies_by_rank.values())

    def _room(self, rank):
        bound = self.policies_by_rank[rank].queue
        return (
            len(self.queues_by_rank[rank]) < bound and self.waiting() < self._places()
        )

    def _starts_at_once(self, rank, now):
        """A queue bound of 0 still lets a request take a free slot."""
        return (
            not self.waiting()
            and self.in_flight < self.limit.current(now)
            and self._may_start(rank, now)
        )

    def _displaced_rank(self, rank):
        """Returns the rank that gives up a place to a rank, or None.

        It is the least urgent one that has more than its protected places. A
        rank short of those takes them back from one above its own bound.
        """
        for lower in reversed(RANKS[RANKS.index(rank) + 1 :]):
            if len(self.queues_by_rank[lower]) > self._protected(lower):
                return lower
        if len(self.queues_by_rank[rank]) < self._protected(rank):
            for other in reversed(RANKS):
                bound = self.policies_by_rank[other].queue
                if len(self.queues_by_rank[other]) > bound:
                    return other
        return None

    def _protected(self, rank):
        """Places a rank keeps, so that displacement cannot take its share."""
        policy = self.policies_by_rank[rank]
        # With fewer places the queue runs empty between arrivals, and an empty
        # queue earns nothing: with one place per slot bulk got 0.06 of 0.1.
        return (policy.queue + 1) // 2 if policy.share else 0

    def _enqueue(self, ticket, now):
        ticket.queued_at = now
        self.queues_by_rank[ticket.rank][ticket] = None
        self._number += 1
        heapq.heappush(self._deadlines, (ticket.deadline, self._number, ticket))
        if len(self._deadlines) > 2 * self.waiting() + HEAP_SLACK:
            self._deadlines = [
                entry for entry in self._deadlines if self._is_queued(entry[2])
            ]
            heapq.heapify(self._deadlines)

    def _is_queued(self, ticket):
        return ticket in self.queues_by_rank[ticket.rank]

    def _remove(self, ticket, now):
        queue = self.queues_by_rank[ticket.rank]
        del queue[ticket]
        if not queue:
            self.shares.idle(ticket.rank)

    def _refuse_newest(self, rank, code, now):
        ticket = next(reversed(self.queues_by_rank[rank]))
        self._remove(ticket, now)
        return Refuse(ticket, code, self._hint(rank, now))

    def _expire(self, now):
        commands = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, ticket = heapq.heappop(self._deadlines)
            if self._is_queued(ticket):
                self._remove(ticket, now)
                commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
        return commands

    # Estimates.

    def _wait_s(self, rank, now):
        """Returns the least time that a new request of a rank would wait.

        Later and more urgent requests only make it longer.
        """
        slots = self.limit.current(now)
        own = len(self.queues_by_rank[rank]) * self.estimates_by_rank[rank].mean_s
        ahead = own
        for urgent in RANKS[: RANKS.index(rank)]:
            queue = self.queues_by_rank[urgent]
            ahead += len(queue) * self.estimates_by_rank[urgent].mean_s
        share = self.shares.target(rank)
        # The guaranteed share overtakes the more urgent ranks.
        return min(ahead, own / share) / slots if share else ahead / slots

    def _reachable(self, ticket, now):
        if not self.in_flight:
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

    def _note_demand(self, now):
        """Averages the slots that lookups hold or wait for."""
        elapsed = max(0.0, now - self._demand_at)
        self._demand_at = now
        wanted = self.running(LOOKUP) + len(self.queues_by_rank[LOOKUP])
        weight = -math.expm1(-elapsed / DEMAND_TAU_S)
        self._lookup_demand += weight * (min(wanted, self.slots) - self._lookup_demand)

    # Slots.

    def _cap(self, rank, slots):
        """Returns the slots that a rank and all less urgent ones may hold."""
        if rank == LOOKUP or slots == 1:
            return slots
        if rank == BULK or slots >= 3:
            return slots - 1
        return slots

    def _held(self, rank):
        """Returns the slots held by a rank and by the less urgent ones."""
        return sum(self.running(other) for other in RANKS[RANKS.index(rank) :])

    def _may_start(self, rank, now):
        slots = self.limit.current(now)
        if rank != LOOKUP and self._non_lookups() >= self._cap(BOOKING, slots):
            return False
        return self._held(rank) < self._cap(rank, slots)

    def _non_lookups(self):
        return self.in_flight - self.running(LOOKUP)

    def _leaves_room_for_lookups(self, rank, now):
        """Whether a start leaves the slots that lookups have lately used.

        Bulk leaves one standard deviation of Poisson arrivals more, because a
        lookup that finds no slot waits longest for a bulk request.
        """
        if rank == LOOKUP:
            return True
        slots = self.limit.current(now)
        demand = self._lookup_demand
        if rank == BULK:
            demand += math.sqrt(demand)
        kept = math.ceil(demand - DEMAND_NOISE_SLOTS)
        return self._non_lookups() < slots - min(slots - 1, kept)

    def _next_rank(self, now):
        """Returns the rank that gets the next slot, or None."""
        waiting = [rank for rank in RANKS if self.queues_by_rank[rank]]
        startable = [rank for rank in waiting if self._may_start(rank, now)]
        behind = self.shares.furthest_behind(startable)
        if behind is not None:
            return behind
        for rank in startable:
            if self._leaves_room_for_lookups(rank, now):
                return rank
        return None

    def _dispatch(self, now):
        commands = []
        while self.in_flight < self.limit.current(now):
            rank = self._next_rank(now)
            if rank is None:
                break
            # Credit is kept here, since the start is about to be charged to it.
            ticket, _ = self.queues_by_rank[rank].popitem(last=False)
            if ticket.deadline <= now:
                commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
            elif self.in_flight and (
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
        self.in_flight += 1
        self._running_by_rank[rank][ticket] = None
        ticket.running = True
        ticket.started_at = now
        ticket.charged_s = self._expected_s(rank)
        self._spend(rank, ticket.charged_s)
        self._check_start(ticket, now)
        return Start(ticket)

    def _check_start(self, ticket, now):
        invariant(
            self.in_flight <= self.slots,
            f"{self.in_flight} requests run on {self.slots} slots",
            SLOTS_EXCEEDED,
        )
        invariant(
            self.slots == 1 or ticket.rank != BULK or self.running(BULK) < self.slots,
            "bulk holds every slot",
            RANK_CAP_EXCEEDED,
        )
        invariant(
            self.slots < 3 or ticket.rank == LOOKUP or self._non_lookups() < self.slots,
            "no slot is left for lookups",
            RANK_CAP_EXCEEDED,
        )
        invariant(now < ticket.deadline, "a request starts late", LATE_START)

    def _expected_s(self, rank):
        return self.estimates_by_rank[rank].mean_s or FIRST_ESTIMATE_S

    def _spend(self, rank, seconds):
        waiting = [other for other in RANKS if self.queues_by_rank[other]]
        longest_s = max(self._expected_s(other) for other in RANKS)
        self.shares.spend(
            rank,
            seconds,
            waiting,
            own_s=self._expected_s(rank),
            longest_s=longest_s,
            slots=self.slots,
        )


def _shares(policies_by_rank):
    return {rank: policy.share for rank, policy in policies_by_rank.items()}
