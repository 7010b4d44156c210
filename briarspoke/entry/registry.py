"""Entry VMs as they register in the store."""

from __future__ import annotations

import json
import logging

from briarspoke.errors import BriarspokeError

log = logging.getLogger(__name__)

NODE_PREFIX = "briarspoke/nodes/"
LEASE_S = 6.0
RENEWAL_S = 2.0


class NodeRegistry:
    """Registers this entry VM under a lease and counts the others.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._zone_by_key = {}
        self._lease = None
        self._left = False
        # The last counts hold while the store is away and leases run out.
        self.count = 1
        self.zone_count = 1
        node.view.observe(NODE_PREFIX, self._changed)

    def _changed(self, key, item):
        if item is None:
            self._zone_by_key.pop(key, None)
        else:
            try:
                self._zone_by_key[key] = json.loads(item.value)["zone"]
            except (ValueError, TypeError, KeyError) as error:
                log.warning("registry: unreadable entry key=%s: %s", key, error)
                return
        own_zone = self._node.settings.zone
        self.count = max(1, len(self._zone_by_key))
        self.zone_count = max(
            1, sum(zone == own_zone for zone in self._zone_by_key.values())
        )

    async def run(self):
        """Keeps the registration alive without end."""
        store = self._node.store
        settings = self._node.settings
        key = NODE_PREFIX + settings.node
        value = json.dumps({"zone": settings.zone, "ip": settings.ip}).encode()
        while not self._left:
            try:
                if self._lease is None:
                    lease, _ = await store.lease(LEASE_S)
                    await store.write(expected={}, puts={key: value}, lease=lease)
                    self._lease = lease
                else:
                    await store.renew_lease(self._lease)
                await self._node.sleep(RENEWAL_S)
            except BriarspokeError as error:
                log.info("registry: call failed: %s", error)
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
            log.info("registry: cannot leave: %s", error)
