"""Scenarios of random faults against the real ownership code."""

from __future__ import annotations

import collections
import random

from briarspoke.benches.ownership_checks import Result, unserved_partitions
from briarspoke.benches.ownership_faults import faults_by_name
from briarspoke.benches.world import STORE, ZONES, FakeServer, World
from briarspoke.benches.world_node import FakeNode
from briarspoke.configuration.snapshot import Configuration

SERVICES = {
    "fenced-hold": {"fenced": True, "on_isolation": {"move_after_s": None}},
    "fenced-move": {"fenced": True, "on_isolation": {"move_after_s": 2.0}},
    "open-hold": {"fenced": False, "on_isolation": {"move_after_s": None}},
    "open-move": {"fenced": False, "on_isolation": {"move_after_s": 2.0}},
}
PARTITIONS = 8
SERVERS_PER_ZONE = 2
NODES_PER_ZONE = 2
START_S = 2.0
FAULTS_S = 24.0
FAULTS_PER_SCENARIO = 44
HEAL_S = 12.0
LOOKS = 3
LOOK_EVERY_S = 1.2
REQUEST_EVERY_S = 0.02
BURST_REQUESTS = 8
BURST_EVERY_S = 0.03

_RANKS = {rank: {"deadline_ms": 1500} for rank in ("lookup", "booking", "bulk")}


def configuration_json(services):
    """Returns the configuration of the virtual deployment as JSON.

    :param services: names of the services.
    """
    return {
        "zones": [{"name": zone} for zone in ZONES],
        "services": [
            {"name": name, "partitions": PARTITIONS, "ranks": _RANKS, **rules}
            for name, rules in SERVICES.items()
            if name in services
        ],
        "servers": [
            {
                "name": f"{service}-{zone}-{number}",
                "service": service,
                "zone": zone,
                "address": "127.0.0.1:1",
            }
            for service in services
            for zone in ZONES
            for number in range(SERVERS_PER_ZONE)
        ],
    }


class Scenario:
    """One run of random faults and its checks.

    :param seed: seed of every random choice.
    :param kinds: names of the faults to draw from, all if None.
    :param services: names of the services that take part, all if None.
    :param clocks_stop: whether clocks may stop with a paused process. The only
        guard of unfenced servers is the entry VMs' clock, so they take no part.
    """

    def __init__(self, *, seed, kinds=None, clocks_stop=False, services=None):
        self.world = World(seed=seed)
        self.clocks_stop = clocks_stop
        self.services = [
            name
            for name, rules in SERVICES.items()
            if name in (services or SERVICES) and (rules["fenced"] or not clocks_stop)
        ]
        self.random = random.Random(seed + 1_000_003)
        self.kinds = sorted(kinds or faults_by_name)
        self.value = configuration_json(self.services)
        self.version = 1
        self.faults = collections.Counter()
        self.pairs = 0
        self.ended_nodes = []
        self.configuration = Configuration.from_json(self.value, [], version=1)
        self._active = collections.Counter()
        self.documents = {}
        self.world.document_observers.append(self._document_accepted)
        for name, server in self.configuration.servers_by_name.items():
            service = self.configuration.services_by_name[server.service]
            self.world.servers_by_name[name] = FakeServer(
                world=self.world, name=name, zone=server.zone, fenced=service.fenced
            )
            self.world.zone_by_name[name] = server.zone
        for zone in ZONES:
            for number in range(NODES_PER_ZONE):
                self.start_node(f"{zone}-{number}", zone)

    # Parts of the deployment.

    def start_node(self, name, zone):
        """Starts a process on an entry VM."""
        self.world.zone_by_name[name] = zone
        self.world.vm_state_by_id[name] = "live"
        self.world.nodes_by_name[name] = FakeNode(
            world=self.world, name=name, zone=zone, configuration=self.configuration
        )

    def configure(self):
        """Puts the changed configuration into force where it is reachable."""
        self.version += 1
        problems = []
        self.configuration = Configuration.from_json(
            self.value, problems, version=self.version
        )
        self._spread(self.configuration)

    def _spread(self, configuration):
        for node in list(self.world.nodes_by_name.values()):
            self.world.scheduler.call_later(
                self.random.uniform(0.01, 0.5), self._apply, node, configuration
            )

    def _apply(self, node, configuration):
        if configuration.version <= node.configuration.version:
            return
        if self.world.is_cut(node.name, STORE):
            self.world.scheduler.call_later(0.5, self._apply, node, configuration)
        else:
            node.deliver(node.configure, configuration)

    def live_node(self):
        """Returns a random live entry VM."""
        nodes = [n for n in self.world.nodes_by_name.values() if n.alive]
        return self.random.choice(nodes) if nodes else None

    def controller_node(self):
        """Returns an entry VM that controls a zone, if there is one."""
        nodes = [
            node
            for node in self.world.nodes_by_name.values()
            if node.alive and any(c.active for c in node.controllers.values())
        ]
        return self.random.choice(nodes) if nodes else self.live_node()

    def server(self):
        """Returns a random backend server."""
        return self.random.choice(list(self.world.servers_by_name.values()))

    # The run.

    def run(self):
        """Runs the scenario and returns its :class:`Result`."""
        scheduler = self.world.scheduler
        scheduler.call_later(1.0, self._traffic)
        scheduler.run_until(START_S)
        for number in range(FAULTS_PER_SCENARIO):
            at = START_S + FAULTS_S * (number + self.random.random()) / (
                FAULTS_PER_SCENARIO
            )
            scheduler.call_at(at, self._inject)
        scheduler.run_until(START_S + FAULTS_S)
        self._heal()
        scheduler.run_until(START_S + FAULTS_S + HEAL_S)
        unserved = unserved_partitions(self.world, self.services)
        for _ in range(LOOKS):
            if not unserved:
                break
            # A partition may be on the move for balance at one look, which ends
            # within BUSY_MOVE_S; it has to be served at one of them.
            scheduler.run_until(scheduler.now + LOOK_EVERY_S)
            found = unserved_partitions(self.world, self.services)
            unserved = {name: found[name] for name in unserved if name in found}
        return Result(self, unserved)

    def _traffic(self):
        scheduler = self.world.scheduler
        scheduler.call_later(REQUEST_EVERY_S, self._traffic)
        node = self.live_node()
        if node is not None:
            service = self.random.choice(self.services)
            node.request(service, self.random.randrange(PARTITIONS))

    def _document_accepted(self, document):
        """Sends requests where an owner changes: there, two could work."""
        known = self.documents.get(document.service)
        if known is not None and known.version >= document.version:
            return
        self.documents[document.service] = document
        if known is None:
            return
        changed = [
            number
            for number, (old, new) in enumerate(
                zip(known.partitions, document.partitions, strict=True)
            )
            if old != new
        ]
        for count in range(BURST_REQUESTS):
            self.world.scheduler.call_later(
                count * BURST_EVERY_S, self._burst, document.service, changed
            )

    def _burst(self, service, numbers):
        for node in list(self.world.nodes_by_name.values()):
            for number in numbers:
                node.request(service, number)

    def _inject(self):
        name = self.random.choice(self.kinds)
        end = faults_by_name[name](self)
        self.faults[name] += 1
        if sum(self._active.values()):
            self.pairs += 1
        if end is not None:
            self._active[name] += 1
            lasts_s = self.random.uniform(0.3, 5.0)
            self.world.scheduler.call_later(lasts_s, self._end, name, end)

    def _end(self, name, end):
        if self._active[name] > 0:
            self._active[name] -= 1
        end()

    def _heal(self):
        world = self.world
        world._cuts.clear()
        world.store.down = False
        world.store.extra_s = world.store.lose_answers = world.delayed_calls = 0.0
        world.vm_lag_s = 1.0
        for server in world.servers_by_name.values():
            server.restart()
            server.thaw()
        for node in list(world.nodes_by_name.values()):
            if node.paused:
                node.resume()
            if not node.alive:
                self._replace(node)
        self.value = configuration_json(self.services)
        self.configure()

    def _replace(self, node):
        if self.world.nodes_by_name.get(node.name) is node:
            self.ended_nodes.append(node)
            del self.world.nodes_by_name[node.name]
            self.start_node(node.name, node.zone)
