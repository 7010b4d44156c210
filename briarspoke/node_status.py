"""What a node tells its operators' API."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.http.admin_status import NodeStatus


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
        node.in_force.ask()
        return [
            {
                "node": member.node_id,
                "zone": member.zone,
                "status": member.status.name.lower(),
                "configuration_version": node.in_force.version_of(member.node_id),
            }
            for _, member in sorted(node.members.by_id.items())
        ]

    def ownership(self):
        documents = self._node.router.table.documents_by_service
        return {
            name: _summary(document) for name, document in sorted(documents.items())
        }

    def partitions_owned(self, server):
        documents = self._node.router.table.documents_by_service.values()
        return sum(p.owner == server for d in documents for p in d.partitions)

    def refusals(self):
        counts = self._node.metrics.values("refusals_total")
        return [
            {
                "code": number,
                "name": codes.by_number[number].name,
                "class": codes.by_number[number].kind.value,
                "count": count,
            }
            for number, count in sorted(counts.items())
        ]


def _summary(document):
    counts = {}
    for partition in document.partitions:
        counts[partition.owner] = counts.get(partition.owner, 0) + 1
    unowned = counts.pop(None, 0)
    return {
        "version": document.version,
        "partitions": dict(sorted(counts.items())),
        "unowned": unowned,
        "moving": sum(bool(partition.state) for partition in document.partitions),
    }
