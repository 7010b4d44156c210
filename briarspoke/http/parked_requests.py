"""Requests of one node that wait for the owner of their partition."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.routing.handover import MAX_HANDOVER_WAIT_S, HandoverQueue

PARKABLE_CODES = frozenset(
    {codes.PARTITION_MOVING, codes.OWNER_FENCED, codes.NO_ROUTING_LEASE}
)


class ParkedRequests:
    """Parks relays and sends them on when their owner may be there.

    :param router: the :class:`briarspoke.http.router.Router`.
    """

    __slots__ = ("_handover_queue", "_router")

    def __init__(self, *, router):
        self._router = router
        self._handover_queue = HandoverQueue()

    def park(self, relay, refusal):
        """Lets a request wait for its owner and returns whether it does.

        :param refusal: what it is refused with when the owner does not come.
        """
        if refusal.code not in PARKABLE_CODES or relay.body is None:
            return False
        now = self._router.now()
        if relay.parked_until is None:
            relay.parked_until = min(
                now + MAX_HANDOVER_WAIT_S, relay.classified.deadline
            )
        if relay.parked_until <= now:
            return False
        key = _partition_of(relay.classified)
        if not self._handover_queue.park(key, relay, relay.parked_until, now):
            return False
        relay.parked_refusal = refusal
        self._router.metrics.count("handover_waits_total", refusal.code.number)
        return True

    def forget(self, relay):
        """Drops a parked request that has ended."""
        self._handover_queue.forget(_partition_of(relay.classified), relay)

    def ownership_changed(self, service_name):
        """Sends on what waits for partitions of a service."""
        for partition in self._handover_queue.partitions():
            if partition[0] == service_name:
                self._wake(partition)

    def partition_served(self, classified):
        """Sends on what waits for the partition of a request just answered."""
        partition = _partition_of(classified)
        if self._handover_queue.is_waiting(partition):
            self._wake(partition)

    def tick(self, now):
        """Lets one request per partition try, and refuses expired ones."""
        to_try, expired = self._handover_queue.tick(now)
        for relay in to_try:
            self._router.retry_now(relay)
        for relay in expired:
            relay.refuse(relay.parked_refusal)

    def _wake(self, partition):
        for relay in self._handover_queue.wake(partition):
            # Not inside the caller's frame, which may still hold a slot.
            self._router.reactor.callLater(0, self._router.retry_now, relay)


def _partition_of(classified):
    return classified.service.name, classified.partition
