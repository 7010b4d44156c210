"""Choice of a server for a request, and what a server may get from this entry VM."""

from __future__ import annotations

import math

from briarspoke.entry import shares
from briarspoke.entry.affinity import Affinity

# A request goes to another zone only if the expected wait in the own zone is longer by
# this factor. Traffic between zones is billed by the byte, so each byte of the body
# adds to the factor.
CROSS_ZONE_FACTOR = 1.25
CROSS_ZONE_FACTOR_PER_BYTE = 1 / 30_000
# Factor on the expected wait at a server that this entry VM does not prefer. With 2.5,
# a preferred server gets a second request in flight before another server gets one.
NON_PREFERRED_FACTOR = 2.5
# The expected wait at a server whose answers are all lost is multiplied by
# 1 + LOSS_FACTOR.
LOSS_FACTOR = 8.0


class ServerSelection:
    """Decides which servers of a service can take requests, and how many.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param dispatcher: the :class:`briarspoke.entry.dispatch.Dispatcher` of the service.
    """

    __slots__ = ("_affinity", "_dispatcher", "_node")

    def __init__(self, *, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher
        self._affinity = Affinity(node=node.settings.node)

    def in_flight_limit(self, server):
        """Returns how many requests this entry VM may have in flight at a server."""
        slots, vms = server.record.slots, self._node.node_count
        if self._dispatcher.keyed:
            keys_limited = self._dispatcher.gates.are_active(self._node.now())
            return shares.owner_limit(slots, vms, keys_limited=keys_limited)
        preferring_vms = None
        if self._affinity.prefers(server.record.server_id):
            preferring_vms = self._affinity.vms_per_server
        return shares.server_limit(slots, vms, preferring_vms=preferring_vms)

    def service_limit(self, usable):
        """Returns how many requests this entry VM may have in flight at all servers."""
        slots = sum(server.record.slots for server in usable)
        return shares.service_limit(slots, self._node.node_count)

    def has_capacity(self, server):
        """Returns whether this entry VM may send a request to a server now."""
        return self._has_slot(server) and self._node.rate_limits.has_permit(server)

    def _has_slot(self, server):
        return server.in_flight < self.in_flight_limit(server) and (
            server.intake.paused_until <= self._node.now()
        )

    def usable(self):
        """Returns the servers that requests may be sent to."""
        return [s for s in self._dispatcher.servers.values() if self.is_usable(s)]

    def is_usable(self, server):
        """Returns whether requests may be sent to a server."""
        if server.replaced or self._is_asked_to_pause(server):
            return False
        return self._is_usable_after_pause(server)

    def _is_asked_to_pause(self, server):
        # Requests wait for the owner of their key; others go elsewhere.
        return (
            not self._dispatcher.keyed and server.intake.asked_until > self._node.now()
        )

    def pause_ends_at(self):
        """Returns when the first server ends the pause that it has asked for.

        :returns: None if no server would be usable then.
        """
        return min(
            (
                server.intake.asked_until
                for server in self._dispatcher.servers.values()
                if self._is_asked_to_pause(server)
                and not server.replaced
                and self._is_usable_after_pause(server)
            ),
            default=None,
        )

    def _is_usable_after_pause(self, server):
        if not server.intake.is_leaving:
            return (
                not server.registration_missing
                or self._dispatcher.keyed
                or self._most_are_missing()
            )
        # A draining owner serves its keys until they have moved to another server.
        return self._dispatcher.keyed and self._node.now() < server.intake.drain_until

    def _most_are_missing(self):
        """Returns whether more than half of the servers have no registration.

        In that case the store has probably had an outage and the servers still run. A
        server that is missing while most are registered has left the service while
        this entry VM was cut off from the store.
        """
        missing_count = sum(
            server.registration_missing for server in self._dispatcher.servers.values()
        )
        return 2 * missing_count > len(self._dispatcher.servers)

    def choose(self, exchange, accepts=None):
        """Returns the best server for a request without a key, or None.

        :param exchange: the :class:`briarspoke.entry.exchange.Exchange`.
        :param accepts: function that returns whether a server may get the request, or
            None if all may.
        """
        now = self._node.now()
        zone = self._node.settings.zone
        body_bytes = len(exchange.request.body)
        cross_zone_factor = CROSS_ZONE_FACTOR + body_bytes * CROSS_ZONE_FACTOR_PER_BYTE
        usable = self.usable()
        in_flight = sum(server.in_flight for server in usable)
        if in_flight >= self.service_limit(usable):
            return None
        best = None
        best_score = math.inf
        without_permit = []
        for server in usable:
            if server in exchange.tried or not self._has_slot(server):
                continue
            if accepts is not None and not accepts(server):
                continue
            if not self._node.rate_limits.has_permit(server):
                without_permit.append(server)
                continue
            score = server.expected_s(now) * (1 + server.in_flight)
            score *= 1 + LOSS_FACTOR * server.loss_rate
            if not self._affinity.prefers(server.record.server_id):
                score *= self._non_preferred_factor()
            if server.record.zone != zone:
                score *= cross_zone_factor
            if score < best_score:
                best, best_score = server, score
        if best is not None:
            for server in without_permit:
                # A later request can use it.
                self._node.rate_limits.want_spare_permit(server)
        return best

    def _non_preferred_factor(self):
        # In a zone with few entry VMs, each VM prefers all servers of the zone, so
        # there is nothing to distinguish.
        return (
            NON_PREFERRED_FACTOR
            if self._affinity.vms_per_server < len(self._node.zone_nodes)
            else 1.0
        )

    def update_affinity(self):
        """Determines again which servers of the zone this entry VM prefers."""
        zone = self._node.settings.zone
        in_zone = sorted(
            server.record.server_id
            for server in self.usable()
            if server.record.zone == zone
        )
        self._affinity.update(self._node.zone_nodes, tuple(in_zone))
