"""Evacuations of availability zones, as the operator asks for them in the store.

A zone of 40 to 120 servers is closed for requests at once, and their keys, up to two
thirds of all, move to the servers of the other zones under full load.
"""

from __future__ import annotations

import logging
import math
import random

from briarspoke import codes
from briarspoke.entry import logs
from briarspoke.platform import documents

log = logging.getLogger(__name__)

# An item that a restored store lacks stays in force for this long, so that the operator
# can write it again. The bound of an evacuation is extended by as much after such
# trouble of the store.
RESTORED_HOLD_S = 5.0
# Callers of a service without any servers left come back after the time that the
# evacuation has lasted so far, but at most after this time.
MAX_RETRY_AFTER_S = 10.0
# Retry hints are spread by this factor, so that callers do not return together.
RETRY_SPREAD = 1.6


class Evacuation:
    """One evacuation of a zone.

    :param began_at: time at which this VM learned of it.
    :param bound_at: time from which no request may arrive at the zone's servers.
    :param era: era of the store in which the item was last known.
    :ivar ends_at: time at which it ends although it was not withdrawn, because a
        restored store lacks the item; None while the store has it.
    """

    __slots__ = ("began_at", "bound_at", "ends_at", "era")

    def __init__(self, *, began_at, bound_at, era):
        self.began_at = began_at
        self.bound_at = bound_at
        self.era = era
        self.ends_at = None


class Evacuations:
    """Knows which zones are evacuated and which servers are closed because of it.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :ivar on_ended: functions that are called with (zone) when an evacuation ends.
    """

    def __init__(self, *, node):
        self.on_ended = []
        self._node = node
        self._by_zone = {}
        # Services whose servers are all in evacuated zones, as last logged.
        self._emptied_services = set()
        # Applied before the servers that arrive with it, so that nothing that waits is
        # sent to a server of an evacuated zone in between.
        node.view.observe(documents.EVACUATION_PREFIX, self._changed, first=True)

    @property
    def is_active(self):
        """Whether any zone is evacuated."""
        return bool(self._by_zone)

    def is_evacuated(self, zone):
        """Returns whether a zone is evacuated."""
        return zone in self._by_zone

    def zones(self):
        """Returns the names of the evacuated zones, sorted."""
        return sorted(self._by_zone)

    def began_at(self, zone):
        """Returns when this VM learned of the evacuation of a zone, or None."""
        evacuation = self._by_zone.get(zone)
        return None if evacuation is None else evacuation.began_at

    def bound_at(self, server):
        """Returns the time by which requests must have arrived at a server.

        :returns: minus infinity if it gets none, infinity without an evacuation.
        """
        evacuation = self._by_zone.get(server.record.zone)
        if evacuation is None:
            return math.inf
        if not self._node.dispatcher(server.record.service).keyed:
            return -math.inf
        return evacuation.bound_at

    def closes(self, server):
        """Returns whether a server must not get any request now."""
        if not self.is_active:
            return False
        arrival_s = self._node.link.arrival_s(0, connects=True)
        return self._node.now() + arrival_s >= self.bound_at(server)

    def leaves_no_server(self, dispatcher):
        """Returns whether all servers of a service that do not leave are evacuated."""
        if not self._by_zone:
            return False
        zones = {
            server.record.zone
            for server in dispatcher.servers.values()
            if not server.replaced and not server.intake.is_leaving
        }
        return bool(zones) and zones <= self._by_zone.keys()

    def refuse(self, exchange):
        """Refuses a request because all servers of its service are evacuated.

        Nobody knows when the evacuation ends. It is expected to last as long again as
        it has lasted so far.
        """
        now = self._node.now()
        zones = {s.record.zone for s in exchange.dispatcher.servers.values()}
        since = max(e.began_at for z, e in self._by_zone.items() if z in zones)
        lasted_s = min(MAX_RETRY_AFTER_S, now - since)
        retry_after_s = max(self._node.RETRY_AFTER_UNAVAILABLE_S, lasted_s)
        exchange.refuse(
            codes.ZONE_EVACUATED, retry_after_s * random.uniform(1, RETRY_SPREAD)
        )

    def _changed(self, key, item):
        zone = key.removeprefix(documents.EVACUATION_PREFIX)
        known = self._by_zone.get(zone)
        if item is None:
            self._item_removed(zone, known)
        elif known is not None:
            # Written again. The bound of the first item counts.
            known.era, known.ends_at = self._node.view.era, None
        else:
            self._begin(zone)

    def _begin(self, zone):
        node = self._node
        settings = node.settings
        bound_s = settings.evacuation_s
        if bound_s is None:
            bound_s = settings.drain_s
        now = node.now()
        bound_at = node.view.changes_since + bound_s
        self._by_zone[zone] = Evacuation(
            began_at=now, bound_at=bound_at, era=node.view.era
        )
        servers = self._servers(zone)
        log.warning(
            "evacuations: begins zone=%s servers=%d age_ms=%s open_ms=%s",
            logs.field(zone),
            len(servers),
            _ms(now - node.view.changes_since),
            _ms(max(0.0, bound_at - now)),
        )
        if not servers:
            log.warning("evacuations: zone without servers zone=%s", logs.field(zone))
        else:
            node.metrics.count("evacuations_total", "begins")
        for dispatcher, server in servers:
            if self.closes(server):
                server.withdraw_unsent()
                dispatcher.on_pause_asked(server)
        self._log_emptied_services()
        node.wake_control()

    def _item_removed(self, zone, known):
        if known is None:
            return
        node = self._node
        if known.era != node.view.era:
            # The restored store may have lost the item.
            known.ends_at = node.now() + RESTORED_HOLD_S
            log.warning(
                "evacuations: missing in the restored store zone=%s hold_ms=%s",
                logs.field(zone),
                _ms(RESTORED_HOLD_S),
            )
            return
        self._end(zone)

    def _end(self, zone):
        node = self._node
        evacuation = self._by_zone.pop(zone)
        servers = self._servers(zone)
        log.warning(
            "evacuations: ends zone=%s servers=%d lasted_ms=%s",
            logs.field(zone),
            len(servers),
            _ms(node.now() - evacuation.began_at),
        )
        if servers:
            node.metrics.count("evacuations_total", "ends")
        self._log_emptied_services()
        for function in self.on_ended:
            function(zone)
        node.wake_control()
        for dispatcher in node.dispatchers():
            dispatcher.dispatch_waiting()

    def _servers(self, zone):
        """Returns [(dispatcher, server)] of the servers of a zone."""
        return [
            (dispatcher, server)
            for dispatcher in self._node.dispatchers()
            for server in list(dispatcher.servers.values())
            if server.record.zone == zone
        ]

    def _log_emptied_services(self):
        emptied = {
            dispatcher.name
            for dispatcher in self._node.dispatchers()
            if self.leaves_no_server(dispatcher)
        }
        for service in sorted(emptied - self._emptied_services):
            log.warning(
                "evacuations: no server left service=%s zones=%s",
                logs.field(service),
                logs.field(",".join(self.zones())),
            )
        self._emptied_services = emptied

    def tick(self, now):
        """Ends the evacuations whose items a restored store still lacks.

        :param now: current time of the node's clock, in seconds.
        """
        if not self._by_zone:
            return
        items = self._node.view.items
        for zone, evacuation in list(self._by_zone.items()):
            item = items.get(documents.EVACUATION_PREFIX + zone)
            if item is not None:
                # Nobody is told of an item that a restored store still has.
                evacuation.era = item.era
            if evacuation.ends_at is not None and now >= evacuation.ends_at:
                self._end(zone)
        # Servers come and go during an evacuation.
        self._log_emptied_services()

    def zones_with_servers(self):
        """Returns the number of evacuated zones that have servers."""
        return sum(bool(self._servers(zone)) for zone in self._by_zone)

    def keys_to_move(self):
        """Returns ``{service: keys that servers of evacuated zones own}``."""
        counts = {}
        for service, key_map in self._node.key_maps.by_service.items():
            if not self._node.knows_service(service):
                continue
            servers = self._node.dispatcher(service).servers
            counts[service] = sum(
                last - first + 1
                for first, last, owner in key_map.ranges()
                if owner.server_id in servers
                and self.is_evacuated(servers[owner.server_id].record.zone)
            )
        return counts


def _ms(seconds):
    """Returns whole milliseconds for the log; "-" for an unknown time."""
    return str(round(seconds * 1e3)) if math.isfinite(seconds) else "-"
