"""Bounded queues, one per rank, of the waiting requests of a backend server."""

from __future__ import annotations

import collections
import heapq

from briarspoke.configuration.resources import RANKS

# The deadline heap is cleared of stale entries when it has more entries than twice
# the number of waiting requests plus this slack.
HEAP_SLACK_ENTRIES = 64


class WaitingQueues:
    """Waiting tickets by rank, and a heap of their deadlines.

    :param policies_by_rank: :class:`RankPolicy` by rank.
    """

    __slots__ = (
        "_deadlines",
        "_sequence",
        "count",
        "policies_by_rank",
        "queues_by_rank",
    )

    def __init__(self, policies_by_rank):
        self.policies_by_rank = policies_by_rank
        self.queues_by_rank = {rank: collections.OrderedDict() for rank in RANKS}
        # Number of waiting requests of all ranks.
        self.count = 0
        self._deadlines = []
        self._sequence = 0

    def length(self, rank):
        """Returns the number of waiting requests of a rank."""
        return len(self.queues_by_rank[rank])

    def waiting_ranks(self):
        """Returns the ranks with waiting requests, most urgent first."""
        return [rank for rank in RANKS if self.queues_by_rank[rank]]

    def holds(self, ticket):
        """Returns whether a ticket is waiting."""
        return ticket in self.queues_by_rank[ticket.rank]

    def deadline_heap_size(self):
        """Returns the size of the deadline heap, including stale entries."""
        return len(self._deadlines)

    def capacity(self):
        """Returns the sum of the queue bounds of all ranks."""
        return sum(policy.queue for policy in self.policies_by_rank.values())

    def has_capacity(self, rank):
        """Returns whether a request can be queued without displacing another."""
        bound = self.policies_by_rank[rank].queue
        return len(self.queues_by_rank[rank]) < bound and self.count < self.capacity()

    def rank_to_displace(self, rank):
        """Returns the rank whose newest request is displaced by a new one, or None.

        It is the least urgent rank below the given one whose queue exceeds its
        protected capacity. If there is none, a rank below its own protected
        capacity displaces the least urgent rank above its queue bound.
        """
        for less_urgent in reversed(RANKS[RANKS.index(rank) + 1 :]):
            if len(self.queues_by_rank[less_urgent]) > self._protected_capacity(
                less_urgent
            ):
                return less_urgent
        if len(self.queues_by_rank[rank]) < self._protected_capacity(rank):
            for other in reversed(RANKS):
                bound = self.policies_by_rank[other].queue
                if len(self.queues_by_rank[other]) > bound:
                    return other
        return None

    def _protected_capacity(self, rank):
        """Returns the queue length up to which a rank is not displaced.

        Displacement below it would cost the rank part of its guaranteed share.
        """
        policy = self.policies_by_rank[rank]
        # With a lower capacity the queue is empty between arrivals, and a rank with
        # an empty queue earns no credit: with one protected request per slot, bulk
        # got 0.06 of a share of 0.1.
        return (policy.queue + 1) // 2 if policy.share else 0

    def add(self, ticket, now):
        """Appends a ticket to the queue of its rank."""
        ticket.queued_at = now
        self.queues_by_rank[ticket.rank][ticket] = None
        self.count += 1
        self._sequence += 1
        heapq.heappush(self._deadlines, (ticket.deadline, self._sequence, ticket))
        if len(self._deadlines) > 2 * self.count + HEAP_SLACK_ENTRIES:
            self._deadlines = [
                entry for entry in self._deadlines if self.holds(entry[2])
            ]
            heapq.heapify(self._deadlines)

    def remove(self, ticket):
        """Removes a ticket from its queue."""
        del self.queues_by_rank[ticket.rank][ticket]
        self.count -= 1

    def newest(self, rank):
        """Returns the newest ticket of a rank."""
        return next(reversed(self.queues_by_rank[rank]))

    def pop_oldest(self, rank):
        """Removes and returns the oldest ticket of a rank."""
        self.count -= 1
        return self.queues_by_rank[rank].popitem(last=False)[0]

    def next_expired(self, now):
        """Returns a waiting ticket whose deadline has passed, or None.

        The ticket stays in its queue; its heap entry is removed.
        """
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, ticket = heapq.heappop(self._deadlines)
            if self.holds(ticket):
                return ticket
        return None
