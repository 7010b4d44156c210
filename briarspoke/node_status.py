"""What a node tells its operators' API and its metrics."""

from __future__ import annotations

from briarspoke.configuration.resources import RANKS
from briarspoke.http.admin_status import NodeStatus, ownership_view, refusals_view
from briarspoke.ownership.candidate import record_holder
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.ownership.runner import RECORD_PREFIX


class RouterStatus(NodeStatus):
    """Reads the status from a running node.

    :param node: the :class:`briarspoke.node.Node`.
    """

    __slots__ = ("_node",)

    def __init__(self, *, node):
        self._node = node

    def ready(self):
        return self._node.ready

    def nodes(self):
        node = self._node
        node.in_force.request_versions()
        return [
            {
                "node": member.node_id,
                "zone": member.zone,
                "status": member.status.name.lower(),
                "configuration_version": node.in_force.version_of(member.node_id),
            }
            for _, member in sorted(node.members.by_id.items())
        ]

    def zones(self):
        node = self._node
        found = []
        for name, zone in sorted(node.router.configuration.zones_by_name.items()):
            # The version of a lease record is the revision that is its term.
            record = node.documents.by_key.get(RECORD_PREFIX + name)
            is_held = record is not None and bool(record.content)
            found.append(
                {
                    "zone": name,
                    "controller": record_holder(record.content) if is_held else None,
                    "term": record.version if is_held else None,
                    "evacuated": zone.evacuated,
                }
            )
        return found

    def ownership(self):
        return ownership_view(_documents(self._node.router))

    def partitions_owned(self, server):
        documents = self._node.router.table.documents_by_service.values()
        return sum(p.owner == server for d in documents for p in d.partitions)

    def refusals(self):
        return refusals_view(self._node.metrics.values("refusals_total"))


def register_gauges(node):
    """Registers the gauges that operators are alarmed by.

    :param node: the :class:`briarspoke.node.Node`.
    """
    status = RouterStatus(node=node)

    def partitions(state):
        return lambda: sum(view[state] for view in status.ownership().values())

    def zones_controlled():
        zones = node.router.configuration.zones_by_name
        return sum(node.control.holds(zone) for zone in zones)

    gauge = node.metrics.gauge
    gauge("partitions_unowned", partitions("unowned"))
    gauge("partitions_moving", partitions("moving"))
    gauge("zones_controlled", zones_controlled)
    gauge("members_live", lambda: len(node.members.usable()))
    gauge("store_reachable", lambda: int(node.store.is_reachable))
    gauge("requests_waiting", lambda: requests_waiting(node.router))


def requests_waiting(router):
    """Returns how many requests wait for a slot at this gateway, by rank."""
    queues = router.queues_by_server.values()
    return {rank: sum(len(q.queues_by_rank[rank]) for q in queues) for rank in RANKS}


def _documents(router):
    """Returns the ownership document of every service that is configured.

    A service whose document is not known yet has no owners here, and one that was
    deleted may leave a document behind.
    """
    known = router.table.documents_by_service
    return [
        known.get(name) or OwnershipDocument.empty(name, service.partitions)
        for name, service in sorted(router.configuration.services_by_name.items())
    ]
