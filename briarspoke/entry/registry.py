"""Registration of entry VMs in the store."""

from __future__ import annotations

import hashlib
import json
import logging

from briarspoke.entry import logs
from briarspoke.entry.pauses import Pause
from briarspoke.entry.relays import MIN_NODES
from briarspoke.errors import BriarspokeError

log = logging.getLogger(__name__)

NODE_PREFIX = "briarspoke/nodes/"
# A VM that ends without leaving is counted for up to this time. Until then the others
# leave its part of the retry budget and of the servers' slots unused, and the followers
# of a lost relay watch the store themselves. Each renewal is a call to the store. The
# interval leaves three attempts within the lease, each with a timeout of 1 s.
LEASE_S = 10.0
RENEWAL_INTERVAL_S = 4.5
# Time for which a lower number of registered VMs must last before it counts.
COUNT_MEMORY_S = 5.0
# Interval of checks whether the registration has disappeared from the store, and delay
# before a failed call is retried.
CHECK_INTERVAL_S = 0.5
# Longest delay of the retry while the view of the store is not current either: the view
# asks by itself, and the retry follows at once when it is current again.
OUTAGE_RETRY_S = 1.5


class NodeRecord:
    """Registration of an entry VM.

    :param port: its internal port, TCP for the relay and UDP for datagrams.
    :param link_mbps: bandwidth of its network link in Mbit/s, or 0 if unknown.
    """

    __slots__ = ("host", "link_mbps", "port", "zone")

    def __init__(self, *, zone, host, port, link_mbps):
        self.zone = zone
        self.host = host
        self.port = port
        self.link_mbps = link_mbps


class NodeRegistry:
    """Registers this entry VM under a lease and tracks the others.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._record_by_key = {}
        self._lease = None
        self._stopping = False
        self._own_key = NODE_PREFIX + node.settings.node
        # Number of registered entry VMs. A lower number counts only after a time.
        self._count = 1
        self._lower_since = None
        # Time at which a registration was last removed, by key.
        self._removed_at_by_key = {}
        # Names of the entry VMs in this VM's availability zone, sorted.
        self.zone_nodes = ()
        self._pause = Pause(sleep=node.sleep)
        node.view.observe(NODE_PREFIX, self._changed)
        node.store.era_observers.append(self._era_rose)

    def _era_rose(self):
        # The lease of the old era may be another VM's now.
        self._lease = None
        self._pause.end()

    def _changed(self, key, item):
        if item is None:
            self._record_by_key.pop(key, None)
            self._note_removed(key)
            if key == self._own_key:
                # The lease may have expired during an outage of the store.
                self._lease = None
        else:
            try:
                value = json.loads(item.value)
                self._record_by_key[key] = NodeRecord(
                    zone=str(value["zone"]),
                    host=str(value["ip"]),
                    port=int(value["port"]),
                    link_mbps=float(value.get("link_mbps", 0)),
                )
            except (ValueError, TypeError, KeyError) as error:
                log.warning(
                    "registry: unreadable entry key=%s error=%r",
                    logs.field(key),
                    str(error),
                )
                return
        own_zone = self._node.settings.zone
        registered = len(self._record_by_key)
        if registered >= self._count:
            self._count = registered
            self._lower_since = None
        elif self._lower_since is None:
            self._lower_since = self._node.now()
        self.zone_nodes = tuple(
            key.removeprefix(NODE_PREFIX)
            for key, record in sorted(self._record_by_key.items())
            if record.zone == own_zone
        )

    @property
    def count(self):
        """Number of entry VMs that share the retry budget and the servers.

        Registrations may disappear for a short time, for example when leases have
        expired during an outage of the store. VMs that then took larger shares would
        exceed the budget together.
        """
        if (
            self._lower_since is not None
            and self._node.now() - self._lower_since >= COUNT_MEMORY_S
        ):
            self._count = max(1, len(self._record_by_key))
            self._lower_since = None
        return self._count

    @property
    def is_registered(self):
        """Whether this VM's registration is in its view of the store."""
        return self._own_key in self._record_by_key

    def others(self):
        """Returns ``{name: NodeRecord}`` of all other entry VMs."""
        return {
            key.removeprefix(NODE_PREFIX): record
            for key, record in self._record_by_key.items()
            if key != self._own_key
        }

    def _note_removed(self, key):
        now = self._node.now()
        self._removed_at_by_key = {
            known: removed_at
            for known, removed_at in self._removed_at_by_key.items()
            if removed_at > now - COUNT_MEMORY_S
        }
        self._removed_at_by_key[key] = now

    def lately_registered(self):
        """Returns the names of other entry VMs that are or were just registered."""
        since = self._node.now() - COUNT_MEMORY_S
        keys = self._record_by_key.keys() | {
            key
            for key, removed_at in self._removed_at_by_key.items()
            if removed_at > since
        }
        return {key.removeprefix(NODE_PREFIX) for key in keys - {self._own_key}}

    @property
    def prefix(self):
        """Prefix of the keys of all registrations."""
        return NODE_PREFIX

    def is_relay(self):
        """Returns whether this VM is the relay of its zone."""
        zone = self._node.settings.zone
        in_zone = sum(r.zone == zone for r in self._record_by_key.values())
        return in_zone >= MIN_NODES and self.relay_address() is None

    def relay_address(self):
        """Returns (host, port) of the zone's relay.

        :returns: None if this VM watches the store itself, because it is the relay or
            the zone has fewer than ``MIN_NODES`` entry VMs.
        """
        own_zone = self._node.settings.zone
        in_zone = [
            (-record.link_mbps, key)
            for key, record in self._record_by_key.items()
            if record.zone == own_zone
        ]
        if len(in_zone) < MIN_NODES:
            return None
        # A relay sends every change once per follower, so the VM with the highest
        # bandwidth is chosen, and the first by name among equals.
        _, key = min(in_zone)
        if key == self._own_key:
            return None
        record = self._record_by_key[key]
        return (record.host, record.port)

    def wider_fraction(self):
        """Returns the fraction of the entry VMs with a wider link than this VM.

        :returns: 1 for the relay of a zone, whose link and processor serve followers.
        """
        if self.is_relay():
            return 1.0
        own = self._node.settings.link_mbps
        wider = sum(r.link_mbps > own for r in self._record_by_key.values())
        return wider / max(1, len(self._record_by_key))

    def is_first_for(self, value):
        """Returns whether this VM has the highest rendezvous hash of a value in bytes.

        The registered entry VMs agree on one of them without a message.
        """
        own = self._node.settings.node
        names = {key.removeprefix(NODE_PREFIX) for key in self._record_by_key}
        return own == max(
            names | {own},
            key=lambda name: hashlib.blake2b(
                value + name.encode(), digest_size=8
            ).digest(),
        )

    def addresses(self):
        """Returns [(host, port)] of all other entry VMs."""
        return [
            (record.host, record.port)
            for key, record in self._record_by_key.items()
            if key != self._own_key
        ]

    async def run(self):
        """Registers this VM and renews the lease until :meth:`leave` is called."""
        store = self._node.store
        settings = self._node.settings
        registration = {
            "zone": settings.zone,
            "ip": settings.ip,
            "port": settings.internal_port,
            "link_mbps": settings.link_mbps,
        }
        value = json.dumps(registration).encode()
        while not self._stopping:
            era = store.era
            try:
                if self._lease is None:
                    lease, _ = await store.create_lease(LEASE_S)
                    await store.write(
                        expected={}, puts={self._own_key: value}, lease=lease
                    )
                    self._lease = lease
                else:
                    await store.renew_lease(self._lease)
                await self._wait_for_renewal()
            except BriarspokeError as error:
                log.info("registry: call failed error=%r", str(error))
                if not getattr(error, "outcome_unknown", False):
                    self._lease = None
                if store.era == era:
                    await self._wait_for_retry()
            except Exception:
                log.exception("registry: unexpected error")
                await self._node.sleep(CHECK_INTERVAL_S)

    async def _wait_for_renewal(self):
        renew_at = self._node.now() + RENEWAL_INTERVAL_S
        while self._lease is not None and self._node.now() < renew_at:
            await self._pause.wait(CHECK_INTERVAL_S)

    async def _wait_for_retry(self):
        retry_at = self._node.now() + OUTAGE_RETRY_S
        await self._pause.wait(CHECK_INTERVAL_S)
        while (
            not self._node.view.reachable
            and not self._stopping
            and self._node.now() < retry_at
        ):
            await self._pause.wait(CHECK_INTERVAL_S)

    async def leave(self):
        """Removes the registration by ending its lease."""
        self._stopping = True
        if self._lease is None:
            return
        try:
            await self._node.store.end_lease(self._lease)
        except BriarspokeError as error:
            log.info("registry: cannot leave error=%r", str(error))
