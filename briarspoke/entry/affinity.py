"""Which servers of its availability zone an entry VM prefers."""

from __future__ import annotations

import math

from briarspoke.hashing import hash64

# Entry VMs that prefer one server. Each sees a third of its load as its own requests
# in flight, and keeps its connections in use.
MIN_VMS_PER_SERVER = 3
# An entry VM prefers at least about this many servers.
MIN_PREFERRED_SERVERS = 4


class Affinity:
    """Divides the servers of a zone among its entry VMs, without coordination.

    With many entry VMs, requests in flight of one VM say little about a server. Every
    VM ranks all VMs of the zone for each server by the same hash.

    :param node: name of the own entry VM.
    """

    __slots__ = ("_inputs", "_node", "_preferred", "vms_per_server")

    def __init__(self, *, node):
        self._node = node
        self._inputs = None
        self._preferred = frozenset()
        # Entry VMs that prefer the same server.
        self.vms_per_server = 1

    def update(self, nodes, server_ids):
        """Takes the names of the zone's entry VMs and servers as they are now."""
        inputs = (nodes, server_ids)
        if inputs == self._inputs:
            return
        self._inputs = inputs
        needed = math.ceil(MIN_PREFERRED_SERVERS * len(nodes) / max(1, len(server_ids)))
        self.vms_per_server = max(1, min(len(nodes), max(MIN_VMS_PER_SERVER, needed)))
        self._preferred = frozenset(
            server_id
            for server_id in server_ids
            if self._is_preferred(server_id, nodes)
        )

    def _is_preferred(self, server_id, nodes):
        ranked = sorted(nodes, key=lambda name: hash64(server_id, name))
        return self._node in ranked[: self.vms_per_server]

    def prefers(self, server_id):
        """Returns whether the entry VM is one of those that prefer a server."""
        return server_id in self._preferred
