"""Choice of a server for a request, and what a server may get from this entry VM."""

from __future__ import annotations

import math

from briarspoke.entry import shares
from briarspoke.entry.affinity import Affinity
from briarspoke.entry.room import OwnerLimits
from briarspoke.entry.serverload import expected_done_s

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

    __slots__ = ("_affinity", "_dispatcher", "_node", "owner_limits", "share")

    def __init__(self, *, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher
        self._affinity = Affinity(node=node.settings.node)
        # This VM's share relative to the equal one.
        self.share = 1.0
        self.owner_limits = OwnerLimits(node=node, dispatcher=dispatcher)

    def in_flight_limit(self, server):
        """Returns how many requests this entry VM may have in flight at a server."""
        if self._node.coldness.sends_one(server):
            return 1
        if self._dispatcher.keyed:
            return self.owner_limits.limit(server)[0]
        slots, vms = server.record.slots, self._node.node_count
        preferring_vms = None
        if self._affinity.prefers(server.record.server_id):
            preferring_vms = self._affinity.vms_per_server
        return shares.server_limit(
            slots, vms, preferring_vms=preferring_vms, share=self.share
        )

    def service_limit(self, usable):
        """Returns how many requests this entry VM may have in flight at all servers."""
        slots = sum(server.record.slots for server in usable)
        return shares.service_limit(slots, self._node.node_count, share=self.share)

    def has_capacity(self, server, key=None):
        """Returns whether this entry VM may send a request to a server now.

        :param key: key of the request, or None for any.
        """
        return self._has_slot(server, key) and self._node.rate_limits.has_permit(server)

    def _has_slot(self, server, key=None):
        if server.intake.paused_until > self._node.now():
            return False
        if self._dispatcher.keyed and not self._node.coldness.sends_one(server):
            return self.owner_limits.has_slot(server, key)
        return server.in_flight < self.in_flight_limit(server)

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

    def bound_at(self, server):
        """Returns the time by which requests must have arrived at a server.

        :returns: infinity unless it leaves or its zone is evacuated.
        """
        bound_at = self._node.evacuations.bound_at(server)
        if server.intake.is_leaving:
            # Others serve what has no key; an owner serves its keys until they have
            # moved to another server.
            drain_until = server.intake.drain_until
            bound_at = min(
                bound_at, drain_until if self._dispatcher.keyed else -math.inf
            )
        return bound_at

    def can_arrive(self, server, size_bytes=0, *, connects=True):
        """Returns whether a request that is sent now arrives before the bound.

        :param size_bytes: size of its head and body.
        :param connects: whether a connection may have to be opened first.
        """
        bound_at = self.bound_at(server)
        if bound_at == math.inf:
            return True
        arrival_s = self._node.link.arrival_s(size_bytes, connects=connects)
        return self._node.now() + arrival_s < bound_at

    def _is_usable_after_pause(self, server):
        if (
            server.intake.is_leaving or self._node.evacuations.is_active
        ) and not self.can_arrive(server):
            return False
        if not server.intake.is_leaving:
            return (
                not server.registration_missing
                or self._dispatcher.keyed
                or self._most_are_missing()
            )
        return True

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
        usual = self._dispatcher.load_level.usual
        for server in usable:
            if server in exchange.tried or not self._has_slot(server):
                continue
            if accepts is not None and not accepts(server):
                continue
            if not self._node.rate_limits.has_permit(server):
                without_permit.append(server)
                continue
            score = expected_done_s(server, now, usual)
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

    def update_share(self):
        """Determines again which share of the service this entry VM has."""
        node = self._node
        self.share = node.division.news.share(
            self._dispatcher.name, node.node_count, node.now()
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
