"""Waiting requests of one backend server: a bounded queue per rank."""

from __future__ import annotations

import collections
import heapq

from briarspoke.configuration.resources import RANKS

# Expired entries of the deadline heap are dropped when they are more than half.
HEAP_SLACK = 64


class WaitingQueues:
    """Queues by rank, and the deadlines of all that wait.

    :param policies_by_rank: :class:`RankPolicy` per rank.
    """

    __slots__ = (
        "_deadlines",
        "_number",
        "count",
        "policies_by_rank",
        "queues_by_rank",
    )

    def __init__(self, policies_by_rank):
        self.policies_by_rank = policies_by_rank
        self.queues_by_rank = {rank: collections.OrderedDict() for rank in RANKS}
        # Requests that wait in all queues.
        self.count = 0
        self._deadlines = []
        self._number = 0

    def length(self, rank):
        """Returns how many requests of a rank wait."""
        return len(self.queues_by_rank[rank])

    def waiting_ranks(self):
        """Returns the ranks with waiting requests, the most urgent first."""
        return [rank for rank in RANKS if self.queues_by_rank[rank]]

    def holds(self, ticket):
        """Whether a ticket waits."""
        return ticket in self.queues_by_rank[ticket.rank]

    def deadline_entries(self):
        """Returns how many entries the heap of deadlines has."""
        return len(self._deadlines)

    def places(self):
        """Returns the sum of all queue bounds."""
        return sum(policy.queue for policy in self.policies_by_rank.values())

    def room(self, rank):
        """Whether a request of a rank may wait without displacing another."""
        bound = self.policies_by_rank[rank].queue
        return len(self.queues_by_rank[rank]) < bound and self.count < self.places()

    def displaced_rank(self, rank):
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

    def add(self, ticket, now):
        """Queues a ticket as the newest of its rank."""
        ticket.queued_at = now
        self.queues_by_rank[ticket.rank][ticket] = None
        self.count += 1
        self._number += 1
        heapq.heappush(self._deadlines, (ticket.deadline, self._number, ticket))
        if len(self._deadlines) > 2 * self.count + HEAP_SLACK:
            self._deadlines = [
                entry for entry in self._deadlines if self.holds(entry[2])
            ]
            heapq.heapify(self._deadlines)

    def remove(self, ticket):
        """Takes a ticket out of its queue."""
        del self.queues_by_rank[ticket.rank][ticket]
        self.count -= 1

    def newest(self, rank):
        """Returns the newest ticket of a rank."""
        return next(reversed(self.queues_by_rank[rank]))

    def pop_oldest(self, rank):
        """Takes the oldest ticket of a rank out and returns it."""
        self.count -= 1
        return self.queues_by_rank[rank].popitem(last=False)[0]

    def next_expired(self, now):
        """Returns a waiting ticket whose deadline has passed, or None."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, ticket = heapq.heappop(self._deadlines)
            if self.holds(ticket):
                return ticket
        return None
