"""Scenarios that inject random faults into the production ownership code."""

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
MAX_SERVED_CHECKS = 3
SERVED_CHECK_INTERVAL_S = 1.2
REQUEST_EVERY_S = 0.02
BURST_REQUESTS = 8
BURST_EVERY_S = 0.03

_RANKS = {rank: {"deadline_ms": 1500} for rank in ("lookup", "booking", "bulk")}


def configuration_json(services):
    """Returns the configuration of the simulated deployment as JSON.

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
    """A run with random faults, followed by its checks.

    :param seed: seed of every random choice.
    :param fault_names: names of the faults to draw from; None for all.
    :param services: names of the services to simulate; None for all.
    :param clocks_stop: whether the clock of a paused process stops. Unfenced servers
        are protected only by the entry VMs' clocks, so their services are left out.
    """

    def __init__(self, *, seed, fault_names=None, clocks_stop=False, services=None):
        self.world = World(seed=seed)
        self.clocks_stop = clocks_stop
        self.services = [
            name
            for name, rules in SERVICES.items()
            if name in (services or SERVICES) and (rules["fenced"] or not clocks_stop)
        ]
        self.random = random.Random(seed + 1_000_003)
        self.fault_names = sorted(fault_names or faults_by_name)
        self.resources = configuration_json(self.services)
        self.version = 1
        self.faults = collections.Counter()
        self.overlapping_faults = 0
        self.ended_nodes = []
        self.configuration = Configuration.from_json(self.resources, [], version=1)
        self._active = collections.Counter()
        self.documents_by_service = {}
        self.world.document_observers.append(self._on_document_accepted)
        for name, server in self.configuration.servers_by_name.items():
            service = self.configuration.services_by_name[server.service]
            self.world.servers_by_name[name] = FakeServer(
                world=self.world, name=name, zone=server.zone, fenced=service.fenced
            )
            self.world.zone_by_name[name] = server.zone
        for zone in ZONES:
            for number in range(NODES_PER_ZONE):
                self.start_node(f"{zone}-{number}", zone)

    def start_node(self, name, zone):
        """Starts an entry VM's process and lists the VM as live."""
        self.world.zone_by_name[name] = zone
        self.world.vm_state_by_id[name] = "live"
        self.world.nodes_by_name[name] = FakeNode(
            world=self.world, name=name, zone=zone, configuration=self.configuration
        )

    def configure(self):
        """Distributes the changed resources as a new configuration version.

        Entry VMs that cannot reach the store apply it after the partition heals.
        """
        self.version += 1
        problems = []
        self.configuration = Configuration.from_json(
            self.resources, problems, version=self.version
        )
        self._distribute(self.configuration)

    def _distribute(self, configuration):
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
        """Returns a random live entry VM, or None."""
        nodes = [n for n in self.world.nodes_by_name.values() if n.alive]
        return self.random.choice(nodes) if nodes else None

    def controller_node(self):
        """Returns a random entry VM that controls a zone, or else any live one."""
        nodes = [
            node
            for node in self.world.nodes_by_name.values()
            if node.alive and any(c.active for c in node.controllers.values())
        ]
        return self.random.choice(nodes) if nodes else self.live_node()

    def server(self):
        """Returns a random backend server."""
        return self.random.choice(list(self.world.servers_by_name.values()))

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
        self._heal_faults()
        scheduler.run_until(START_S + FAULTS_S + HEAL_S)
        unserved = unserved_partitions(self.world, self.services)
        for _ in range(MAX_SERVED_CHECKS):
            if not unserved:
                break
            # Balancing may be moving a partition during a check. A move ends within
            # BUSY_MOVE_S, so each partition must be served in at least one check.
            scheduler.run_until(scheduler.now + SERVED_CHECK_INTERVAL_S)
            still_unserved = unserved_partitions(self.world, self.services)
            unserved = {n: still_unserved[n] for n in unserved if n in still_unserved}
        return Result(self, unserved)

    def _traffic(self):
        scheduler = self.world.scheduler
        scheduler.call_later(REQUEST_EVERY_S, self._traffic)
        node = self.live_node()
        if node is not None:
            service = self.random.choice(self.services)
            node.request(service, self.random.randrange(PARTITIONS))

    def _on_document_accepted(self, document):
        """Sends requests to partitions whose owner changed.

        During an owner change two servers could execute requests of one key.
        """
        previous = self.documents_by_service.get(document.service)
        if previous is not None and previous.version >= document.version:
            return
        self.documents_by_service[document.service] = document
        if previous is None:
            return
        changed = [
            number
            for number, (old, new) in enumerate(
                zip(previous.partitions, document.partitions, strict=True)
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
        name = self.random.choice(self.fault_names)
        end = faults_by_name[name](self)
        self.faults[name] += 1
        if sum(self._active.values()):
            self.overlapping_faults += 1
        if end is not None:
            self._active[name] += 1
            duration_s = self.random.uniform(0.3, 5.0)
            self.world.scheduler.call_later(duration_s, self._end, name, end)

    def _end(self, name, end):
        if self._active[name] > 0:
            self._active[name] -= 1
        end()

    def _heal_faults(self):
        world = self.world
        world._cuts.clear()
        world.store.down = False
        world.store.extra_s = world.store.lost_share = world.delayed_call_share = 0.0
        world.vm_list_lag_s = 1.0
        for server in world.servers_by_name.values():
            server.restart()
            server.thaw()
        for node in list(world.nodes_by_name.values()):
            if node.paused:
                node.resume()
            if not node.alive:
                self._replace(node)
        self.resources = configuration_json(self.services)
        self.configure()

    def _replace(self, node):
        if self.world.nodes_by_name.get(node.name) is node:
            self.ended_nodes.append(node)
            del self.world.nodes_by_name[node.name]
            self.start_node(node.name, node.zone)
