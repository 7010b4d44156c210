"""Slots of one backend server and the rules by which ranks take them."""

from __future__ import annotations

import collections
import math

from briarspoke.admission.slot_limit import SlotLimit
from briarspoke.configuration.resources import RANKS

LOOKUP, BOOKING, BULK = RANKS
# Time constant of the moving average of the slots that lookups demand.
DEMAND_TIME_CONSTANT_S = 1.0
# Subtracted from the demand, so that a few lookups a second reserve no slot.
DEMAND_TOLERANCE_SLOTS = 0.05


class Slots:
    """Running requests of a server and the slot limits of each rank.

    :param slots: configured slots of the server.
    :param warmup_s: seconds in which a new server goes from one slot to all slots.
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
        """Returns the number of slots that a rank holds."""
        return len(self._running_by_rank[rank])

    def holds(self, ticket):
        """Returns whether a ticket holds a slot."""
        return ticket in self._running_by_rank[ticket.rank]

    def acquire(self, ticket):
        """Assigns a slot to a ticket."""
        self.in_flight += 1
        self._running_by_rank[ticket.rank][ticket] = None

    def release(self, ticket):
        """Releases the slot of a ticket."""
        del self._running_by_rank[ticket.rank][ticket]
        self.in_flight -= 1

    def oldest_running(self):
        """Returns the longest-running ticket of each rank."""
        oldest_tickets = (
            next(iter(running), None) for running in self._running_by_rank.values()
        )
        return [ticket for ticket in oldest_tickets if ticket is not None]

    def has_free_slot(self, now):
        """Returns whether the current limit allows another request."""
        return self.in_flight < self.limit.current(now)

    def update_lookup_demand(self, now, waiting_lookups):
        """Updates the moving average of the slots that lookups hold or wait for."""
        elapsed = max(0.0, now - self._demand_at)
        self._demand_at = now
        wanted = self.running(LOOKUP) + waiting_lookups
        weight = -math.expm1(-elapsed / DEMAND_TIME_CONSTANT_S)
        self._lookup_demand += weight * (
            min(wanted, self.limit.slots) - self._lookup_demand
        )

    def may_start(self, rank, now):
        """Returns whether the limits of a rank allow it another slot."""
        slots = self.limit.current(now)
        if rank != LOOKUP and self.non_lookup_slots() >= self._max_slots(
            BOOKING, slots
        ):
            return False
        return self._held_at_or_below(rank) < self._max_slots(rank, slots)

    def keeps_lookup_reserve(self, rank, now):
        """Returns whether a start leaves the slots that lookups used recently.

        Bulk requests leave one standard deviation of Poisson arrivals more,
        because a lookup waits longest for a slot that a bulk request holds.
        """
        if rank == LOOKUP:
            return True
        slots = self.limit.current(now)
        demand = self._lookup_demand
        if rank == BULK:
            demand += math.sqrt(demand)
        reserved = math.ceil(demand - DEMAND_TOLERANCE_SLOTS)
        return self.non_lookup_slots() < slots - min(slots - 1, reserved)

    def non_lookup_slots(self):
        """Returns the number of slots held by ranks other than lookup."""
        return self.in_flight - self.running(LOOKUP)

    def _max_slots(self, rank, slots):
        """Returns the number of slots that a rank and less urgent ranks may hold."""
        if rank == LOOKUP or slots == 1:
            return slots
        if rank == BULK or slots >= 3:
            return slots - 1
        return slots

    def _held_at_or_below(self, rank):
        """Returns the number of slots held by a rank and less urgent ranks."""
        return sum(self.running(other) for other in RANKS[RANKS.index(rank) :])
