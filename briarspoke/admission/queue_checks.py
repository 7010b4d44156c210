"""Invariant checks of the queue of a server."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.configuration.resources import RANKS
from briarspoke.errors import invariant

LOOKUP, _, BULK = RANKS

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


def check_offer(ticket, queues):
    """Checks that an offered ticket is neither running nor waiting."""
    invariant(
        not ticket.running and not queues.holds(ticket),
        "a ticket was offered twice",
        TICKET_STATE,
    )


def check_release(ticket, slots):
    """Checks that a released ticket holds a slot."""
    invariant(
        ticket.running and slots.holds(ticket),
        "a ticket without a slot was released",
        TICKET_STATE,
    )


def check_queue_bound(queues):
    """Checks that no more requests wait than all queue bounds together allow."""
    invariant(
        queues.count <= queues.capacity(),
        f"{queues.count} requests wait, {queues.capacity()} are allowed",
        QUEUE_BOUND_EXCEEDED,
    )


def check_start(ticket, slots, now):
    """Checks that a ticket starts in time and on a slot that its rank may hold."""
    declared = slots.limit.slots
    invariant(
        slots.in_flight <= declared,
        f"{slots.in_flight} requests run on {declared} slots",
        SLOTS_EXCEEDED,
    )
    invariant(
        declared == 1 or ticket.rank != BULK or slots.running(BULK) < declared,
        "bulk holds every slot",
        RANK_CAP_EXCEEDED,
    )
    invariant(
        declared < 3 or ticket.rank == LOOKUP or slots.non_lookup_slots() < declared,
        "no slot is left for lookups",
        RANK_CAP_EXCEEDED,
    )
    invariant(now < ticket.deadline, "a request starts after its deadline", LATE_START)
