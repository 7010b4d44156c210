"""Assignment of the servers of an availability zone to its entry VMs."""

from __future__ import annotations

import math

from briarspoke.hashing import hash64

# Lowest number of entry VMs that prefer the same server, unless the zone has fewer.
# With three, the requests in flight of one VM are a third of the server's load, and the
# VM's connections to the server stay in use.
MIN_VMS_PER_SERVER = 3
# Lowest mean number of servers that an entry VM prefers. The ranking by hash does not
# give every VM the same number.
MIN_PREFERRED_SERVERS = 4


class Affinity:
    """Determines which servers of its zone an entry VM prefers.

    When many entry VMs share a server, the requests in flight of one VM say little
    about the server's load. So each server is preferred by only a few VMs. Every VM
    ranks all VMs of the zone for each server by the same hash (rendezvous hashing), so
    all VMs get the same result without coordination.

    :param node: name of this entry VM.
    """

    __slots__ = ("_inputs", "_node", "_preferred", "vms_per_server")

    def __init__(self, *, node):
        self._node = node
        self._inputs = None
        self._preferred = frozenset()
        # Number of entry VMs that prefer the same server.
        self.vms_per_server = 1

    def update(self, nodes, server_ids):
        """Recomputes the preferred servers if the zone's VMs or servers have changed.

        :param nodes: names of the entry VMs in the zone, as a tuple.
        :param server_ids: identifiers of the servers in the zone, as a tuple.
        """
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
        """Returns whether this entry VM prefers a server."""
        return server_id in self._preferred
