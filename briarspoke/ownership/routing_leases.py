"""Routing leases, which allow an entry VM to send requests to unfenced servers."""

from __future__ import annotations

from briarspoke.ownership.commands import GrantRoutingLease
from briarspoke.ownership.events import RoutingLeaseRequested
from briarspoke.ownership.timing import (
    MAX_CLOCK_RATIO,
    ROUTING_LEASE_S,
    ROUTING_REQUEST_EVERY_S,
    TRANSIT_S,
)

# Short enough that an unfenced partition moves within the time limit of 4 s.
DEFAULT_MAX_DEADLINE_S = 1.5
# A request with a longer deadline raises the maximum for this time.
RAISED_DEADLINE_KEPT_S = 10.0


class _Holder:
    __slots__ = ("end_by_service", "in_flight", "version_by_service")

    def __init__(self):
        self.version_by_service = {}
        self.in_flight = frozenset()
        # {service: {minimum version: (expiry of the lease, end of its requests)}}
        self.end_by_service = {}


class RoutingLeaseRegistry:
    """The routing leases that a controller has granted under its term."""

    __slots__ = ("_holders", "min_version_by_service")

    def __init__(self):
        self._holders = {}
        self.min_version_by_service = {}

    def require_version(self, service, version):
        """Raises the minimum ownership version of a service for new leases."""
        if version > self.min_version_by_service.get(service, 0):
            self.min_version_by_service[service] = version

    def request(self, event, services, *, zone, term, now):
        """Returns the :class:`GrantRoutingLease` that answers a request.

        :param event: the :class:`events.RoutingLeaseRequested`.
        :param services: names of the services that the lease may cover.
        """
        key = (event.node_id, event.incarnation)
        holder = self._holders.setdefault(key, _Holder())
        holder.version_by_service = dict(event.version_by_service)
        holder.in_flight = event.in_flight
        expires_at = now + ROUTING_LEASE_S * MAX_CLOCK_RATIO
        end = expires_at + event.max_deadline_s * MAX_CLOCK_RATIO + TRANSIT_S
        versions = {}
        for service in services:
            min_version = self.min_version_by_service.get(service, 0)
            versions[service] = min_version
            ends = holder.end_by_service.setdefault(service, {})
            known = ends.get(min_version, (0.0, 0.0))
            ends[min_version] = (max(expires_at, known[0]), max(end, known[1]))
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
        """Returns whether no entry VM sends requests to a partition's old owner.

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
        # A lease that requires the version allows no request to the old owner, so only
        # the requests under leases with a lower minimum have to end.
        ends = holder.end_by_service.get(service, {})
        return all(end <= now for v, (_, end) in ends.items() if v < version)

    def forget_expired(self, now):
        """Removes entry VMs whose leases have expired and whose requests have ended."""
        for key, holder in list(self._holders.items()):
            ends = holder.end_by_service.values()
            if all(end <= now for e in ends for _, end in e.values()):
                del self._holders[key]

    def last_expiry(self, now):
        """Returns when the last lease expires; its requests may end later."""
        return max(
            (
                expires_at
                for holder in self._holders.values()
                for ends in holder.end_by_service.values()
                for expires_at, _ in ends.values()
            ),
            default=now,
        )


class _Lease:
    __slots__ = (
        "expires_at",
        "max_deadline_s",
        "sent_at",
        "term",
        "version_by_service",
    )

    def __init__(
        self, *, term, sent_at, expires_at, max_deadline_s, version_by_service
    ):
        self.term = term
        self.sent_at = sent_at
        self.expires_at = expires_at
        self.max_deadline_s = max_deadline_s
        self.version_by_service = version_by_service


class RoutingLeaseHolder:
    """An entry VM's routing leases, one per zone.

    :param node_id: identifier of this entry VM.
    :param incarnation: incarnation of this process.
    :param max_deadline_s: seconds after a lease within which the requests sent under
        it end, unless requests with longer deadlines have arrived.
    """

    __slots__ = (
        "_due_at_by_zone",
        "_in_flight_count",
        "_leases_by_zone",
        "_max_deadlines_by_zone",
        "_raised_deadline",
        "_term_by_zone",
        "incarnation",
        "max_deadline_s",
        "node_id",
    )

    def __init__(
        self, *, node_id, incarnation=0, max_deadline_s=DEFAULT_MAX_DEADLINE_S
    ):
        self.node_id = node_id
        self.incarnation = incarnation
        self.max_deadline_s = max_deadline_s
        self._leases_by_zone = {}
        self._term_by_zone = {}
        self._due_at_by_zone = {}
        self._max_deadlines_by_zone = {}
        self._in_flight_count = {}
        self._raised_deadline = (0.0, 0.0)

    def is_due(self, zone, now):
        """Returns whether a zone's routing lease should be requested now."""
        return now >= self._due_at_by_zone.get(zone, 0.0)

    def request(self, zone, version_by_service, now):
        """Returns the :class:`RoutingLeaseRequested` to send to the controller.

        :param version_by_service: ownership versions in force at this entry VM.
        """
        self._due_at_by_zone[zone] = now + ROUTING_REQUEST_EVERY_S
        raised_s, raised_at = self._raised_deadline
        max_deadline_s = self.max_deadline_s
        if now - raised_at < RAISED_DEADLINE_KEPT_S:
            max_deadline_s = max(max_deadline_s, raised_s)
        max_deadlines = self._max_deadlines_by_zone.setdefault(zone, {})
        max_deadlines[now] = max_deadline_s
        for sent_at in [t for t in max_deadlines if t + ROUTING_LEASE_S <= now]:
            del max_deadlines[sent_at]
        return RoutingLeaseRequested(
            node_id=self.node_id,
            incarnation=self.incarnation,
            sent_at=now,
            version_by_service=dict(version_by_service),
            in_flight=frozenset(self._in_flight_count),
            max_deadline_s=max_deadline_s,
        )

    def granted(self, *, zone, term, sent_at, duration_s, version_by_service):
        """Stores a routing lease; returns False if it is stale or of an earlier term.

        :param sent_at: sending time of the request that the lease answers.
        """
        max_deadline_s = self._max_deadlines_by_zone.get(zone, {}).get(sent_at)
        if max_deadline_s is None or term < self._term_by_zone.get(zone, 0):
            return False
        known = self._leases_by_zone.get(zone)
        if known is not None and known.term == term and known.sent_at >= sent_at:
            return False
        self._term_by_zone[zone] = term
        self._leases_by_zone[zone] = _Lease(
            term=term,
            sent_at=sent_at,
            expires_at=sent_at + min(duration_s, ROUTING_LEASE_S),
            max_deadline_s=max_deadline_s,
            version_by_service=dict(version_by_service),
        )
        return True

    def may_send(self, *, zone, service, version, deadline_s, now):
        """Returns whether a request may be sent to a server of the zone.

        :param version: ownership version by which the request is routed.
        :param deadline_s: seconds until the deadline of the request.
        """
        if deadline_s > self.max_deadline_s:
            raised_s, raised_at = self._raised_deadline
            if now - raised_at >= RAISED_DEADLINE_KEPT_S or deadline_s >= raised_s:
                self._raised_deadline = (deadline_s, now)
        lease = self._leases_by_zone.get(zone)
        if lease is None or now >= lease.expires_at:
            return False
        min_version = lease.version_by_service.get(service)
        if min_version is None or version < min_version:
            return False
        return now + deadline_s <= lease.expires_at + lease.max_deadline_s

    def request_started(self, name):
        """Adds a request in flight.

        :param name: the partition as ``service/partition``.
        """
        self._in_flight_count[name] = self._in_flight_count.get(name, 0) + 1

    def request_ended(self, name):
        """Removes a request in flight."""
        left = self._in_flight_count.get(name, 0) - 1
        if left > 0:
            self._in_flight_count[name] = left
        else:
            self._in_flight_count.pop(name, None)
