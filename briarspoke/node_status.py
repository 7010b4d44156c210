"""The status of a node, as shown by the operators' API and the metrics."""

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
        statuses = []
        for name, zone in sorted(node.router.configuration.zones_by_name.items()):
            # The version of a lease record is its store revision, which is also the
            # term.
            record = node.documents.by_key.get(RECORD_PREFIX + name)
            is_held = record is not None and bool(record.content)
            statuses.append(
                {
                    "zone": name,
                    "controller": record_holder(record.content) if is_held else None,
                    "term": record.version if is_held else None,
                    "evacuated": zone.evacuated,
                }
            )
        return statuses

    def ownership(self):
        return ownership_view(_configured_documents(self._node.router))

    def partitions_owned(self, server):
        documents = self._node.router.table.documents_by_service.values()
        return sum(p.owner == server for d in documents for p in d.partitions)

    def refusals(self):
        return refusals_view(self._node.metrics.values("refusals_total"))


def register_gauges(node):
    """Registers the gauges of a node that alarms are based on.

    :param node: the :class:`briarspoke.node.Node`.
    """
    status = RouterStatus(node=node)

    def partitions_in(state):
        return lambda: sum(view[state] for view in status.ownership().values())

    def zones_controlled():
        zones = node.router.configuration.zones_by_name
        return sum(node.control.holds(zone) for zone in zones)

    gauge = node.metrics.gauge
    gauge("partitions_unowned", partitions_in("unowned"))
    gauge("partitions_moving", partitions_in("moving"))
    gauge("zones_controlled", zones_controlled)
    gauge("members_live", lambda: len(node.members.usable()))
    gauge("store_reachable", lambda: int(node.store.is_reachable))
    gauge("requests_waiting", lambda: requests_waiting(node.router))


def requests_waiting(router):
    """Returns the number of requests waiting for a slot at this gateway, by rank."""
    queues = router.queues_by_server.values()
    return {rank: sum(len(q.queues_by_rank[rank]) for q in queues) for rank in RANKS}


def _configured_documents(router):
    """Returns the ownership document of every configured service.

    A service whose document has not been received yet is shown without owners. The
    document of a deleted service may still be stored and is left out.
    """
    known = router.table.documents_by_service
    return [
        known.get(name) or OwnershipDocument.empty(name, service.partitions)
        for name, service in sorted(router.configuration.services_by_name.items())
    ]
