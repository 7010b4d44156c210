"""Scenarios of random faults against the real ownership code."""

from __future__ import annotations

import collections
import random

from briarspoke.configuration.snapshot import Configuration
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.standins.world import STORE, FakeServer, World
from briarspoke.standins.world_node import FakeNode

ZONES = ("poa", "cwb")
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

faults_by_name = {}


def fault(function):
    """Registers a fault; the function returns what ends it, or None."""
    faults_by_name[function.__name__.replace("_", "-")] = function
    return function


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
        unserved = _unserved(self.world, self.services)
        for _ in range(LOOKS):
            if not unserved:
                break
            # A partition may be on the move for balance at one look, which ends
            # within BUSY_MOVE_S; it has to be served at one of them.
            scheduler.run_until(scheduler.now + LOOK_EVERY_S)
            found = _unserved(self.world, self.services)
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


# Faults.


@fault
def entry_vm_restarted(scenario):
    node = scenario.controller_node()
    if node is None:
        return None
    node.kill()
    return lambda: scenario._replace(node)


@fault
def entry_vm_replaced(scenario):
    node = scenario.controller_node()
    if node is None:
        return None
    node.kill()
    scenario.world.list_vm(node.name, "terminated")
    scenario.ended_nodes.append(node)
    del scenario.world.nodes_by_name[node.name]
    base = node.name.split(".")[0]
    name = f"{base}.{next(scenario.world.boots)}"
    scenario.world.scheduler.call_later(
        scenario.random.uniform(0.2, 2.0), scenario.start_node, name, node.zone
    )
    return None


def _pause(scenario, node):
    if node is None or node.paused or not node.alive:
        return None
    node.pause(clock_stops=scenario.clocks_stop)
    return lambda: node.resume() if node.paused else None


@fault
def entry_vm_paused(scenario):
    return _pause(scenario, scenario.controller_node())


@fault
def controller_paused_in_move(scenario):
    server = scenario.server()
    _set_state(scenario, server.name, "draining")
    scenario.configure()
    ends = []
    give_up_at = scenario.world.scheduler.now + 1.0

    def pause_when_moving():
        for node in list(scenario.world.nodes_by_name.values()):
            if _moves_from(node, server):
                scenario.world.counts["paused-in-move"] += 1
                ends.append(_pause(scenario, node))
                return
        if scenario.world.scheduler.now < give_up_at:
            scenario.world.scheduler.call_later(0.002, pause_when_moving)

    pause_when_moving()

    def finish():
        for end in ends:
            if end is not None:
                end()
        _set_state(scenario, server.name, "active")
        scenario.configure()

    return finish


def _moves_from(node, server):
    """Whether a running controller is moving partitions off a server."""
    controller = node.controllers[server.zone]
    return (
        node.alive
        and not node.paused
        and controller.active
        and controller.moves_from(server.name)
    )


def _cut(scenario, test):
    scenario.world.cut(test)
    return lambda: scenario.world.mend(test)


@fault
def entry_vm_partitioned(scenario):
    node = scenario.controller_node()
    return _cut(scenario, lambda one, other: one == node.name) if node else None


@fault
def entry_vm_without_store(scenario):
    node = scenario.controller_node()
    if node is None:
        return None
    return _cut(scenario, lambda one, other: one == node.name and other == STORE)


@fault
def entry_vm_without_server(scenario):
    node, server = scenario.controller_node(), scenario.server()
    if node is None:
        return None
    return _cut(scenario, lambda one, other: one == node.name and other == server.name)


@fault
def zone_partitioned(scenario):
    zone = scenario.random.choice(ZONES)
    zones = scenario.world.zone_by_name
    return _cut(
        scenario,
        lambda one, other: zones.get(one) == zone and zones.get(other) != zone,
    )


@fault
def controller_and_server_partitioned(scenario):
    node, server = scenario.controller_node(), scenario.server()
    if node is None:
        return None
    inside = {node.name, server.name}
    return _cut(scenario, lambda one, other: (one in inside) and (other not in inside))


@fault
def server_killed(scenario):
    server = scenario.server()
    server.kill()
    return server.restart


@fault
def server_declared_terminated(scenario):
    server = scenario.server()
    server.kill()
    _set_state(scenario, server.name, "terminated")
    scenario.configure()

    def end():
        server.restart()
        _set_state(scenario, server.name, "active")
        scenario.configure()

    return end


@fault
def server_frozen(scenario):
    server = scenario.server()
    if not server.alive:
        return None
    server.freeze()
    return server.thaw


@fault
def store_down(scenario):
    scenario.world.store.down = True

    def end():
        scenario.world.store.down = False

    return end


@fault
def store_slow(scenario):
    scenario.world.store.extra_s = scenario.random.uniform(0.1, 1.5)

    def end():
        scenario.world.store.extra_s = 0.0

    return end


@fault
def store_answers_lost(scenario):
    scenario.world.store.lose_answers = 0.5

    def end():
        scenario.world.store.lose_answers = 0.0

    return end


@fault
def lease_lapses_early(scenario):
    state = scenario.world.store.state
    if state.leases and not scenario.world.store.down:
        state.revoke(scenario.random.choice(sorted(state.leases)))
    return None


@fault
def candidates_race(scenario):
    state = scenario.world.store.state
    zone = scenario.random.choice(ZONES)
    entry = state.entries.get(f"controllers/{zone}")
    if entry is not None:
        state.revoke(entry.lease)
    for node in list(scenario.world.nodes_by_name.values()):
        if node.alive and not node.paused:
            candidate = node.candidates[zone]
            candidate.record_seen(None, node.clock() - 5.0)
    return None


@fault
def vm_list_late(scenario):
    scenario.world.vm_lag_s = scenario.random.uniform(2.0, 8.0)

    def end():
        scenario.world.vm_lag_s = 1.0

    return end


@fault
def control_calls_delayed(scenario):
    scenario.world.delayed_calls = 0.3

    def end():
        scenario.world.delayed_calls = 0.0

    return end


def _set_state(scenario, name, state):
    for entry in scenario.value["servers"]:
        if entry["name"] == name:
            entry["state"] = state


@fault
def server_drained(scenario):
    name = scenario.server().name
    _set_state(scenario, name, "draining")
    scenario.configure()

    def end():
        _set_state(scenario, name, "active")
        scenario.configure()

    return end


@fault
def zone_evacuated(scenario):
    zone = scenario.random.choice(scenario.value["zones"])
    zone["evacuated"] = True
    scenario.configure()

    def end():
        zone["evacuated"] = False
        scenario.configure()

    return end


@fault
def isolation_rule_changed(scenario):
    service = scenario.random.choice(scenario.value["services"])
    before = service["on_isolation"]
    after = None if before["move_after_s"] else 2.0
    service["on_isolation"] = {"move_after_s": after}
    scenario.configure()
    return None


class Result:
    """What a scenario has shown.

    :param scenario: the :class:`Scenario` after its run.
    :param unserved: description of each partition that is not served although
        everything has healed, by name.
    """

    def __init__(self, scenario, unserved):
        world = scenario.world
        for server in world.servers_by_name.values():
            server.collect()
        nodes = [*scenario.ended_nodes, *world.nodes_by_name.values()]
        self.faults = scenario.faults
        self.pairs = scenario.pairs
        self.counts = collections.Counter(world.counts)
        for node in nodes:
            for controller in node.controllers.values():
                self.counts.update(controller.counts)
        self.executions = len(world.executions)
        self.two_owners = self._two_owners(world)
        self.lost = _lost_assignments(world, nodes, scenario.services)
        self.unserved = [f"{name}: {text}" for name, text in unserved.items()]

    @staticmethod
    def _two_owners(world):
        """Returns a description of each moment with two owners."""
        held = [h for s in world.servers_by_name.values() for h in s.held]
        found = _overlaps(held, "grants")
        by_partition = collections.defaultdict(list)
        for execution in world.executions:
            by_partition[execution.partition].append(execution)
        for executions in by_partition.values():
            found.extend(_out_of_epoch(executions))
        return found


def _unserved(world, services):
    """Returns what is wrong with each partition that is not served, by name."""
    found = {}
    for service in services:
        entry = world.store.state.entries.get(f"ownership/{service}")
        if entry is None:
            found[service] = "no document"
            continue
        document = OwnershipDocument.decode(entry.value)
        for number, partition in enumerate(document.partitions):
            server = world.servers_by_name.get(partition.owner)
            name = f"{service}/{number}"
            if (
                server is None
                or partition.state
                or (server.fenced and not server.table.holds(name, partition.epoch))
            ):
                found[name] = repr(partition)
    return found


def _overlaps(held, what):
    by_partition = collections.defaultdict(list)
    for interval in held:
        if interval.end > interval.begin:
            by_partition[interval.partition].append(interval)
    found = []
    for partition, intervals in by_partition.items():
        intervals.sort(key=lambda i: i.begin)
        latest = None
        for interval in intervals:
            if (
                latest is not None
                and interval.server != latest.server
                and interval.begin < latest.end - 1e-6
            ):
                found.append(
                    f"{what} {partition}: {latest.server}@{latest.epoch} until "
                    f"{latest.end:.3f}, {interval.server}@{interval.epoch} from "
                    f"{interval.begin:.3f}"
                )
            if latest is None or interval.end > latest.end:
                latest = interval
    return found


def _out_of_epoch(executions):
    """Finds executions of an owner that began or went on under a later one."""
    found = []
    first_by_epoch = {}
    for execution in executions:
        known = first_by_epoch.get(execution.epoch)
        if known is None or execution.begin < known.begin:
            first_by_epoch[execution.epoch] = execution
    epochs = sorted(first_by_epoch)
    for execution in executions:
        for epoch in epochs:
            later = first_by_epoch[epoch]
            if (
                epoch > execution.epoch
                and later.server != execution.server
                and execution.end > later.begin + 1e-6
            ):
                found.append(
                    f"executions {execution.partition}: "
                    f"{execution.server}@{execution.epoch} until {execution.end:.3f}, "
                    f"{later.server}@{epoch} from {later.begin:.3f}"
                )
                break
    return found


def _lost_assignments(world, nodes, services):
    """Finds acknowledged writes that the store's history does not keep."""
    found = []
    ids_by_service = {}
    for service in services:
        ids = ids_by_service[service] = set()
        before = None
        for content in world.store.history_by_key[f"ownership/{service}"]:
            document = OwnershipDocument.decode(content)
            ids.add((document.version, document.write_ids[-1]))
            if before is not None:
                kept = document.version == before.version + 1 and all(
                    new.epoch >= old.epoch
                    for old, new in zip(
                        before.partitions, document.partitions, strict=True
                    )
                )
                if not kept:
                    found.append(f"{service}: version {document.version}")
            before = document
    for node in nodes:
        for command in node.acknowledged:
            key = (command.document.version, command.write_id)
            if key not in ids_by_service[command.service]:
                found.append(f"{command.service}: write {command.write_id}")
    return found
