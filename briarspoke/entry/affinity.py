"""Which servers of its availability zone an entry VM prefers."""

from __future__ import annotations

import math

from briarspoke.hashing import hash64

# Entry VMs that prefer one server. Each sees a third of its load as its own requests
# in flight, and keeps its connections in use.
SHARERS = 3
# An entry VM prefers at least about this many servers.
LEAST_PREFERRED = 4


class Affinity:
    """Divides the servers of a zone among its entry VMs, without coordination.

    With many entry VMs, requests in flight of one VM say little about a server. Every
    VM ranks all VMs of the zone for each server by the same hash.

    :param node: name of the own entry VM.
    """

    __slots__ = ("_basis", "_node", "_preferred", "sharers")

    def __init__(self, *, node):
        self._node = node
        self._basis = None
        self._preferred = frozenset()
        # Entry VMs that prefer the same server.
        self.sharers = 1

    def update(self, nodes, server_ids):
        """Takes the names of the zone's entry VMs and servers as they are now."""
        basis = (nodes, server_ids)
        if basis == self._basis:
            return
        self._basis = basis
        wanted = math.ceil(LEAST_PREFERRED * len(nodes) / max(1, len(server_ids)))
        self.sharers = max(1, min(len(nodes), max(SHARERS, wanted)))
        self._preferred = frozenset(
            server_id for server_id in server_ids if self._is_sharer(server_id, nodes)
        )

    def _is_sharer(self, server_id, nodes):
        ranked = sorted(nodes, key=lambda name: hash64(server_id, name))
        return self._node in ranked[: self.sharers]

    def prefers(self, server_id):
        """Returns whether the entry VM is one of those that prefer a server."""
        return server_id in self._preferred
