"""Which entry VM stands in front of each server."""

from __future__ import annotations

from briarspoke.hashing import rendezvous

# Until membership has noticed a lost peer, each request would pay the connect
# timeout again.
AVOIDED_S = 1.0
# Hashing all 440 nodes took 0.9 ms per server after each change of members, and
# their order 3.6 kB; the nodes of one zone and a few candidates are enough.
CANDIDATES_KEPT = 4


class Gateways:
    """Chooses gateways by rendezvous hashing over the live entry VMs.

    The choice per server is kept until :meth:`refresh` sees other peers, because
    hashing over hundreds of nodes for each request would take about 1 ms.

    :param node_id: this node.
    :param zone: availability zone of this node.
    """

    __slots__ = ("_avoided_until", "_order_by_server", "_seen", "node_id", "zone")

    def __init__(self, *, node_id, zone):
        self.node_id = node_id
        self.zone = zone
        self._seen = {}
        self._order_by_server = {}
        self._avoided_until = {}

    def refresh(self, peers_by_id):
        """Drops the choices if the peers have changed."""
        if peers_by_id != self._seen:
            self._seen = dict(peers_by_id)
            self._order_by_server.clear()

    def avoid(self, node_id, now):
        """Passes over a peer that could not be reached, for a while."""
        self._avoided_until[node_id] = now + AVOIDED_S

    def choose(self, server, now):
        """Returns the gateway's peer object, or None for this node.

        :param server: the :class:`Server` resource.
        """
        if not self._seen:
            return None
        order = self._order_by_server.get(server.name)
        if order is None:
            order = self._order_by_server[server.name] = self._order(server)
        for node_id in order:
            if node_id == self.node_id:
                return None
            until = self._avoided_until.get(node_id)
            if until is None:
                return self._seen[node_id]
            if until <= now:
                del self._avoided_until[node_id]
                return self._seen[node_id]
        return None

    def _order(self, server):
        zones_by_id = {node_id: peer.zone for node_id, peer in self._seen.items()}
        zones_by_id[self.node_id] = self.zone
        near = [i for i, zone in zones_by_id.items() if zone == server.zone]
        order = _ranked(server.name, near)
        if len(order) < CANDIDATES_KEPT:
            order += _ranked(server.name, zones_by_id.keys() - set(near))
        return order[:CANDIDATES_KEPT]


def _ranked(key, node_ids):
    return rendezvous(key, dict.fromkeys(node_ids, 1.0))[:CANDIDATES_KEPT]
