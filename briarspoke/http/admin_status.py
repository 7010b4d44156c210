"""Status that the operators' API reads from its node."""

from __future__ import annotations

import collections

from briarspoke import codes
from briarspoke.ownership.document import State


class NodeStatus:
    """Read interface of a node, subclassed by the node and by test fakes.

    Every method returns a JSON value and does no I/O.
    """

    __slots__ = ()

    def ready(self):
        """Returns whether the node serves callers."""
        return True

    def nodes(self):
        """Returns a list of the entry VMs that this node knows.

        Each is ``{"node", "zone", "status", "configuration_version"}``. The version
        is None if it is unknown.
        """
        return []

    def zones(self):
        """Returns a list of ``{"zone", "controller", "term", "evacuated"}``.

        Controller and term are None while no controller of the zone is known.
        """
        return []

    def ownership(self):
        """Returns a summary of the partitions of each service, by its name.

        Each is ``{"version", "partitions": {server: count}, "unowned", "moving"}``.
        """
        return {}

    def partitions_owned(self, server):
        """Returns the number of partitions that a server owns, in all services."""
        return 0

    def refusals(self):
        """Returns a list of ``{"code", "name", "class", "count"}`` of refusals."""
        return []


def ownership_view(documents):
    """Returns the JSON value of :meth:`NodeStatus.ownership`.

    :param documents: the :class:`OwnershipDocument` of each service.
    """
    view = {}
    for document in documents:
        owners = collections.Counter(p.owner for p in document.partitions)
        unowned = owners.pop(None, 0)
        view[document.service] = {
            "version": document.version,
            "partitions": dict(sorted(owners.items())),
            "unowned": unowned,
            "moving": sum(p.state is State.MOVING for p in document.partitions),
        }
    return view


def refusals_view(counts):
    """Returns the JSON value of :meth:`NodeStatus.refusals`.

    :param counts: count by the number of the result code.
    """
    code_counts = [(codes.by_number[int(number)], n) for number, n in counts.items()]
    return [
        {
            "code": code.number,
            "name": code.name,
            "class": code.kind.value,
            "count": count,
        }
        for code, count in sorted(code_counts, key=lambda pair: pair[0].number)
    ]
