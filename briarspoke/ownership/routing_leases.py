"""Routing leases: the right of an entry VM to send to unfenced servers."""

from __future__ import annotations

from briarspoke.ownership.commands import GrantRoutingLease
from briarspoke.ownership.events import RoutingLeaseRequested
from briarspoke.ownership.timing import (
    CLOCK_RATE,
    ROUTING_LEASE_S,
    ROUTING_REQUEST_EVERY_S,
    TRANSIT_S,
)

# Lets a move of an unfenced partition end within the budget of 4 s.
LONGEST_DEADLINE_S = 1.5
# A longer deadline raises the promise this long after it was last wanted.
WANTED_KEPT_S = 10.0


class _Holder:
    __slots__ = ("end_by_service", "in_flight", "version_by_service")

    def __init__(self):
        self.version_by_service = {}
        self.in_flight = frozenset()
        # service: {lowest version: (lease ends, requests under it end)}
        self.end_by_service = {}


class RoutingLeaseRegistry:
    """The controller's record of routing leases under its term."""

    __slots__ = ("_holders", "required_by_service")

    def __init__(self):
        self._holders = {}
        self.required_by_service = {}

    def require(self, service, version):
        """Notes that leases demand this version of a service's ownership."""
        if version > self.required_by_service.get(service, 0):
            self.required_by_service[service] = version

    def request(self, event, services, *, zone, term, now):
        """Returns the :class:`GrantRoutingLease` for a request.

        :param services: names of the services that the lease may cover.
        """
        key = (event.node_id, event.incarnation)
        holder = self._holders.setdefault(key, _Holder())
        holder.version_by_service = dict(event.version_by_service)
        holder.in_flight = event.in_flight
        lease_end = now + ROUTING_LEASE_S * CLOCK_RATE
        end = lease_end + event.longest_deadline_s * CLOCK_RATE + TRANSIT_S
        versions = {}
        for service in services:
            lowest = self.required_by_service.get(service, 0)
            versions[service] = lowest
            ends = holder.end_by_service.setdefault(service, {})
            known = ends.get(lowest, (0.0, 0.0))
            ends[lowest] = (max(lease_end, known[0]), max(end, known[1]))
            for version in [v for v, e in ends.items() if e[1] <= now]:
                del ends[version]
        return GrantRoutingLease(
            node_id=event.node_id,
            zone=zone,
            term=term,
            sent_at=event.sent_at,
            duration_s=ROUTING_LEASE_S,
            version_by_service=versions,
        )

    def released(self, service, name, version, now):
        """Returns whether no entry VM uses a partition's old owner any more.

        :param name: the partition as ``service/partition``.
        :param version: version of the document that made it ``moving``.
        """
        return all(
            self._released_by(holder, service, name, version, now)
            for holder in self._holders.values()
        )

    def _released_by(self, holder, service, name, version, now):
        confirmed = holder.version_by_service.get(service, 0) >= version
        if confirmed and name not in holder.in_flight:
            return True
        # Under a lease that demands the version, no request was begun.
        ends = holder.end_by_service.get(service, {})
        return all(end <= now for v, (_, end) in ends.items() if v < version)

    def forget_expired(self, now):
        """Drops entry VMs whose leases and requests have ended."""
        for key, holder in list(self._holders.items()):
            ends = holder.end_by_service.values()
            if all(end <= now for e in ends for _, end in e.values()):
                del self._holders[key]

    def last_end(self, now):
        """Returns when the last lease has expired, requests not counted."""
        return max(
            (
                lease_end
                for holder in self._holders.values()
                for ends in holder.end_by_service.values()
                for lease_end, _ in ends.values()
            ),
            default=now,
        )


class _Lease:
    __slots__ = ("longest_deadline_s", "sent_at", "term", "until", "version_by_service")

    def __init__(self, *, term, sent_at, until, longest_deadline_s, version_by_service):
        self.term = term
        self.sent_at = sent_at
        self.until = until
        self.longest_deadline_s = longest_deadline_s
        self.version_by_service = version_by_service


class RoutingLeaseHolder:
    """An entry VM's routing leases, one per zone.

    :param node_id: this entry VM.
    :param incarnation: incarnation of this process.
    :param longest_deadline_s: the promise made without longer requests.
    """

    __slots__ = (
        "_due_at_by_zone",
        "_leases_by_zone",
        "_promise_by_request",
        "_running",
        "_term_by_zone",
        "_wanted",
        "incarnation",
        "longest_deadline_s",
        "node_id",
    )

    def __init__(
        self, *, node_id, incarnation=0, longest_deadline_s=LONGEST_DEADLINE_S
    ):
        self.node_id = node_id
        self.incarnation = incarnation
        self.longest_deadline_s = longest_deadline_s
        self._leases_by_zone = {}
        self._term_by_zone = {}
        self._due_at_by_zone = {}
        self._promise_by_request = {}
        self._running = {}
        self._wanted = (0.0, 0.0)

    # Requests to the controller.

    def is_due(self, zone, now):
        """Returns whether a routing lease should be requested."""
        return now >= self._due_at_by_zone.get(zone, 0.0)

    def request(self, zone, version_by_service, now):
        """Returns the :class:`RoutingLeaseRequested` to send to the controller.

        :param version_by_service: ownership versions in force here.
        """
        self._due_at_by_zone[zone] = now + ROUTING_REQUEST_EVERY_S
        wanted, wanted_at = self._wanted
        promise = self.longest_deadline_s
        if now - wanted_at < WANTED_KEPT_S:
            promise = max(promise, wanted)
        promises = self._promise_by_request.setdefault(zone, {})
        promises[now] = promise
        for sent_at in [t for t in promises if t + ROUTING_LEASE_S <= now]:
            del promises[sent_at]
        return RoutingLeaseRequested(
            node_id=self.node_id,
            incarnation=self.incarnation,
            sent_at=now,
            version_by_service=dict(version_by_service),
            in_flight=frozenset(self._running),
            longest_deadline_s=promise,
        )

    def granted(self, *, zone, term, sent_at, duration_s, version_by_service):
        """Takes a routing lease; returns False if it is stale or of an old term."""
        promise = self._promise_by_request.get(zone, {}).get(sent_at)
        if promise is None or term < self._term_by_zone.get(zone, 0):
            return False
        known = self._leases_by_zone.get(zone)
        if known is not None and known.term == term and known.sent_at >= sent_at:
            return False
        self._term_by_zone[zone] = term
        self._leases_by_zone[zone] = _Lease(
            term=term,
            sent_at=sent_at,
            until=sent_at + min(duration_s, ROUTING_LEASE_S),
            longest_deadline_s=promise,
            version_by_service=dict(version_by_service),
        )
        return True

    # Requests to servers.

    def may_send(self, *, zone, service, version, deadline_s, now):
        """Returns whether a request may be sent to a server of the zone.

        :param version: ownership version by which the request is routed.
        :param deadline_s: time that the request has left.
        """
        if deadline_s > self.longest_deadline_s:
            wanted, wanted_at = self._wanted
            if now - wanted_at >= WANTED_KEPT_S or deadline_s >= wanted:
                self._wanted = (deadline_s, now)
        lease = self._leases_by_zone.get(zone)
        if lease is None or now >= lease.until:
            return False
        lowest = lease.version_by_service.get(service)
        if lowest is None or version < lowest:
            return False
        return now + deadline_s <= lease.until + lease.longest_deadline_s

    def request_started(self, name):
        """Notes a request in flight; ``name`` is ``service/partition``."""
        self._running[name] = self._running.get(name, 0) + 1

    def request_ended(self, name):
        """Notes that a request in flight has ended."""
        left = self._running.get(name, 0) - 1
        if left > 0:
            self._running[name] = left
        else:
            self._running.pop(name, None)
