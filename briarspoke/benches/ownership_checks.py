"""Checks a scenario for two owners, lost assignments and unserved partitions."""

from __future__ import annotations

import collections

from briarspoke.ownership.document import OwnershipDocument


class Result:
    """Counts and violations of a finished scenario.

    :param scenario: the :class:`Scenario` after its run.
    :param unserved: description of each partition, by name, that is not served after
        all faults have ended.
    """

    def __init__(self, scenario, unserved):
        world = scenario.world
        for server in world.servers_by_name.values():
            server.collect_intervals()
        nodes = [*scenario.ended_nodes, *world.nodes_by_name.values()]
        self.faults = scenario.faults
        self.overlapping_faults = scenario.overlapping_faults
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
        """Returns descriptions of overlapping grants and executions."""
        grant_intervals = [
            h for s in world.servers_by_name.values() for h in s.grant_intervals
        ]
        problems = _overlaps(grant_intervals, "grants")
        by_partition = collections.defaultdict(list)
        for execution in world.executions:
            by_partition[execution.partition].append(execution)
        for executions in by_partition.values():
            problems.extend(_executions_after_owner_change(executions))
        return problems


def unserved_partitions(world, services):
    """Returns descriptions of the partitions that are not served, by name."""
    problems = {}
    for service in services:
        entry = world.store.state.entries.get(f"ownership/{service}")
        if entry is None:
            problems[service] = "no document"
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
                problems[name] = repr(partition)
    return problems


def _overlaps(grant_intervals, label):
    by_partition = collections.defaultdict(list)
    for interval in grant_intervals:
        if interval.end > interval.begin:
            by_partition[interval.partition].append(interval)
    problems = []
    for partition, intervals in by_partition.items():
        intervals.sort(key=lambda i: i.begin)
        latest = None
        for interval in intervals:
            if (
                latest is not None
                and interval.server != latest.server
                and interval.begin < latest.end - 1e-6
            ):
                problems.append(
                    f"{label} {partition}: {latest.server}@{latest.epoch} until "
                    f"{latest.end:.3f}, {interval.server}@{interval.epoch} from "
                    f"{interval.begin:.3f}"
                )
            if latest is None or interval.end > latest.end:
                latest = interval
    return problems


def _executions_after_owner_change(executions):
    """Finds executions of an earlier owner that ended after a later owner's first."""
    problems = []
    first_by_epoch = {}
    for execution in executions:
        first = first_by_epoch.get(execution.epoch)
        if first is None or execution.begin < first.begin:
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
                problems.append(
                    f"executions {execution.partition}: "
                    f"{execution.server}@{execution.epoch} until {execution.end:.3f}, "
                    f"{later.server}@{epoch} from {later.begin:.3f}"
                )
                break
    return problems


def _lost_assignments(world, nodes, services):
    """Finds acknowledged writes that are missing from the store's history.

    Versions that skip a number or lower an epoch are reported too.
    """
    problems = []
    ids_by_service = {}
    for service in services:
        ids = ids_by_service[service] = set()
        previous = None
        for content in world.store.history_by_key[f"ownership/{service}"]:
            document = OwnershipDocument.decode(content)
            ids.add((document.version, document.write_ids[-1]))
            if previous is not None:
                consistent = document.version == previous.version + 1 and all(
                    new.epoch >= old.epoch
                    for old, new in zip(
                        previous.partitions, document.partitions, strict=True
                    )
                )
                if not consistent:
                    problems.append(f"{service}: version {document.version}")
            previous = document
    for node in nodes:
        for command in node.acknowledged:
            write = (command.document.version, command.write_id)
            if write not in ids_by_service[command.service]:
                problems.append(f"{command.service}: write {command.write_id}")
    return problems
