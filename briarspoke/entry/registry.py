"""Entry VMs as they register in the store."""

from __future__ import annotations

import json
import logging

from briarspoke.entry.relays import LEAST_NODES
from briarspoke.errors import BriarspokeError

log = logging.getLogger(__name__)

NODE_PREFIX = "briarspoke/nodes/"
LEASE_S = 6.0
RENEWAL_S = 2.0


class NodeEntry:
    """Registration of an entry VM."""

    __slots__ = ("host", "link_mbps", "port", "zone")

    def __init__(self, *, zone, host, port, link_mbps):
        self.zone = zone
        self.host = host
        self.port = port
        self.link_mbps = link_mbps


class NodeRegistry:
    """Registers this entry VM under a lease and counts the others.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._entry_by_key = {}
        self._lease = None
        self._left = False
        # The last counts hold while the store is away and leases run out.
        self.count = 1
        # Names of the entry VMs in the own availability zone.
        self.zone_nodes = ()
        node.view.observe(NODE_PREFIX, self._changed)

    def _changed(self, key, item):
        if item is None:
            self._entry_by_key.pop(key, None)
        else:
            try:
                value = json.loads(item.value)
                self._entry_by_key[key] = NodeEntry(
                    zone=value["zone"],
                    host=value["ip"],
                    port=value["port"],
                    link_mbps=value.get("link_mbps", 0),
                )
            except (ValueError, TypeError, KeyError) as error:
                log.warning(
                    "registry: unreadable entry key=%s error=%r", key, str(error)
                )
                return
        own_zone = self._node.settings.zone
        self.count = max(1, len(self._entry_by_key))
        self.zone_nodes = tuple(
            key.removeprefix(NODE_PREFIX)
            for key, entry in sorted(self._entry_by_key.items())
            if entry.zone == own_zone
        )

    @property
    def prefix(self):
        """What the keys of all registrations begin with."""
        return NODE_PREFIX

    def relay_address(self):
        """Returns (host, port) of the zone's relay, or None if this VM watches."""
        own_zone = self._node.settings.zone
        in_zone = [
            (-entry.link_mbps, key)
            for key, entry in self._entry_by_key.items()
            if entry.zone == own_zone
        ]
        if len(in_zone) < LEAST_NODES:
            return None
        # A relay sends everything as often as it has followers.
        _, key = min(in_zone)
        if key == NODE_PREFIX + self._node.settings.node:
            return None
        entry = self._entry_by_key[key]
        return (entry.host, entry.port)

    def addresses(self):
        """Returns [(host, port)] of all other entry VMs."""
        own_key = NODE_PREFIX + self._node.settings.node
        return [
            (entry.host, entry.port)
            for key, entry in self._entry_by_key.items()
            if key != own_key
        ]

    async def run(self):
        """Keeps the registration alive without end."""
        store = self._node.store
        settings = self._node.settings
        key = NODE_PREFIX + settings.node
        entry = {
            "zone": settings.zone,
            "ip": settings.ip,
            "port": settings.internal_port,
            "link_mbps": settings.link_mbps,
        }
        value = json.dumps(entry).encode()
        while not self._left:
            try:
                if self._lease is None:
                    lease, _ = await store.create_lease(LEASE_S)
                    await store.write(expected={}, puts={key: value}, lease=lease)
                    self._lease = lease
                else:
                    await store.renew_lease(self._lease)
                await self._node.sleep(RENEWAL_S)
            except BriarspokeError as error:
                log.info("registry: call failed error=%r", str(error))
                if not getattr(error, "unknown", False):
                    self._lease = None
                await self._node.sleep(RENEWAL_S / 4)

    async def leave(self):
        """Ends the registration."""
        self._left = True
        if self._lease is None:
            return
        try:
            await self._node.store.end_lease(self._lease)
        except BriarspokeError as error:
            log.info("registry: cannot leave error=%r", str(error))
