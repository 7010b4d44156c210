"""Slots of one backend server: which ranks hold them and may take one."""

from __future__ import annotations

import collections
import math

from briarspoke.admission.slot_limit import SlotLimit
from briarspoke.configuration.resources import RANKS

LOOKUP, BOOKING, BULK = RANKS
# Time constant of the average number of slots that lookups ask for.
DEMAND_TAU_S = 1.0
# A few lookups a second keep no slot of their own.
DEMAND_NOISE_SLOTS = 0.05


class Slots:
    """Requests that run at a server, and the limits of each rank.

    :param slots: declared slots of the server.
    :param warmup_s: seconds from one slot to the declared slots.
    """

    __slots__ = (
        "_demand_at",
        "_lookup_demand",
        "_running_by_rank",
        "in_flight",
        "limit",
    )

    def __init__(self, *, slots, warmup_s):
        self.limit = SlotLimit(slots=slots, warmup_s=warmup_s)
        self.in_flight = 0
        self._running_by_rank = {rank: collections.OrderedDict() for rank in RANKS}
        self._lookup_demand = 0.0
        self._demand_at = 0.0

    def running(self, rank):
        """Returns how many slots a rank holds."""
        return len(self._running_by_rank[rank])

    def holds(self, ticket):
        """Whether a ticket holds a slot."""
        return ticket in self._running_by_rank[ticket.rank]

    def take(self, ticket):
        """Gives a slot to a ticket."""
        self.in_flight += 1
        self._running_by_rank[ticket.rank][ticket] = None

    def give_back(self, ticket):
        """Takes the slot of a ticket back."""
        del self._running_by_rank[ticket.rank][ticket]
        self.in_flight -= 1

    def oldest(self):
        """Returns the ticket of each rank that has run longest."""
        firsts = (
            next(iter(running), None) for running in self._running_by_rank.values()
        )
        return [ticket for ticket in firsts if ticket is not None]

    def has_free(self, now):
        """Whether fewer requests run than the limit lets run now."""
        return self.in_flight < self.limit.current(now)

    def note_demand(self, now, waiting_lookups):
        """Averages the slots that lookups hold or wait for."""
        elapsed = max(0.0, now - self._demand_at)
        self._demand_at = now
        wanted = self.running(LOOKUP) + waiting_lookups
        weight = -math.expm1(-elapsed / DEMAND_TAU_S)
        self._lookup_demand += weight * (
            min(wanted, self.limit.slots) - self._lookup_demand
        )

    def may_start(self, rank, now):
        """Whether the limits of a rank let it take a slot."""
        slots = self.limit.current(now)
        if rank != LOOKUP and self.non_lookups() >= self._cap(BOOKING, slots):
            return False
        return self._held(rank) < self._cap(rank, slots)

    def leaves_room_for_lookups(self, rank, now):
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
        return self.non_lookups() < slots - min(slots - 1, kept)

    def non_lookups(self):
        """Returns the slots held by ranks other than lookup."""
        return self.in_flight - self.running(LOOKUP)

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
