"""Checks of a scenario: two owners, lost assignments, unserved partitions."""

from __future__ import annotations

import collections

from briarspoke.ownership.document import OwnershipDocument


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


def unserved_partitions(world, services):
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
