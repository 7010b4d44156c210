"""Requests of one node that wait until their partition has a usable owner."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.routing.handover import MAX_HANDOVER_WAIT_S, HandoverQueue

PARKABLE_CODES = frozenset(
    {codes.PARTITION_MOVING, codes.OWNER_FENCED, codes.NO_ROUTING_LEASE}
)


class ParkedRequests:
    """Parks requests, and routes them again when their owner may accept them.

    :param router: the :class:`briarspoke.http.router.Router`.
    """

    __slots__ = ("_handover_queue", "_router")

    def __init__(self, *, router):
        self._router = router
        self._handover_queue = HandoverQueue()

    def park(self, proxied, refusal):
        """Parks a request if it was refused because of an owner change.

        :param refusal: the refusal that is sent if no owner accepts the request in
            time.
        :returns: whether the request was parked.
        """
        if refusal.code not in PARKABLE_CODES or proxied.body is None:
            return False
        now = self._router.now()
        if proxied.parked_until is None:
            proxied.parked_until = min(
                now + MAX_HANDOVER_WAIT_S, proxied.classified.deadline
            )
        if proxied.parked_until <= now:
            return False
        key = _partition_of(proxied.classified)
        if not self._handover_queue.park(key, proxied, proxied.parked_until, now):
            return False
        proxied.parked_refusal = refusal
        self._router.metrics.count("handover_waits_total", refusal.code.number)
        return True

    def forget(self, proxied):
        """Removes a parked request that has ended."""
        self._handover_queue.forget(_partition_of(proxied.classified), proxied)

    def ownership_changed(self, service_name):
        """Wakes the requests that wait for partitions of a service."""
        for partition in self._handover_queue.partitions():
            if partition[0] == service_name:
                self._wake(partition)

    def partition_served(self, classified):
        """Wakes the requests that wait for the partition of an answered request."""
        partition = _partition_of(classified)
        if self._handover_queue.is_waiting(partition):
            self._wake(partition)

    def tick(self, now):
        """Retries one request per partition, and refuses expired requests."""
        to_retry, expired = self._handover_queue.tick(now)
        for proxied in to_retry:
            self._router.retry_now(proxied)
        for proxied in expired:
            proxied.refuse(proxied.parked_refusal)

    def _wake(self, partition):
        for proxied in self._handover_queue.wake(partition):
            # Deferred, because the request that caused the wake-up may still hold its
            # slot.
            self._router.reactor.callLater(0, self._router.retry_now, proxied)


def _partition_of(classified):
    return classified.service.name, classified.partition
