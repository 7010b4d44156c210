"""What the operators' API reads from its node."""

from __future__ import annotations


class NodeStatus:
    """Read interface of a node, subclassed by the node and by test fakes.

    Every method returns a JSON value and does no I/O.
    """

    __slots__ = ()

    def ready(self):
        """Returns whether the node serves callers."""
        return True

    def nodes(self):
        """Returns a list of entry VMs as this node knows them.

        Each is ``{"node", "zone", "status", "configuration_version"}``; the
        version is None while unknown.
        """
        return []

    def ownership(self):
        """Returns ``{service: {"version", "partitions": {server: count},
        "unowned", "moving"}}``."""
        return {}

    def refusals(self):
        """Returns a list of ``{"code", "name", "class", "count"}``."""
        return []
