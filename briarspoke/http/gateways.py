"""The choice of the entry VM that is gateway of each server."""

from __future__ import annotations

from briarspoke.hashing import rendezvous

# How long an unreachable peer is not chosen. Otherwise each request would wait for
# the connect timeout until membership has detected the lost peer.
AVOID_DURATION_S = 1.0
# Hashing all of 440 nodes took 0.9 ms per server after each change of members, and
# storing their order 3.6 kB; the nodes of one zone and a few candidates are enough.
MAX_CANDIDATES = 4


class Gateways:
    """Chooses gateways by rendezvous hashing over the live entry VMs.

    The candidates of a server are cached until :meth:`refresh` detects a change of
    peers, because hashing hundreds of nodes for each request would take about 1 ms.

    :param node_id: name of this node.
    :param zone: availability zone of this node.
    """

    __slots__ = (
        "_avoided_until",
        "_candidates_by_server",
        "_peers_by_id",
        "node_id",
        "zone",
    )

    def __init__(self, *, node_id, zone):
        self.node_id = node_id
        self.zone = zone
        self._peers_by_id = {}
        self._candidates_by_server = {}
        self._avoided_until = {}

    def refresh(self, peers_by_id):
        """Clears the cached candidates if the peers have changed."""
        if peers_by_id != self._peers_by_id:
            self._peers_by_id = dict(peers_by_id)
            self._candidates_by_server.clear()

    def avoid(self, node_id, now):
        """Excludes a peer from the choice for ``AVOID_DURATION_S``."""
        self._avoided_until[node_id] = now + AVOID_DURATION_S

    def choose(self, server, now):
        """Returns the peer that is gateway of a server, or None for this node.

        :param server: the :class:`Server` resource.
        :param now: monotonic seconds.
        """
        if not self._peers_by_id:
            return None
        candidates = self._candidates_by_server.get(server.name)
        if candidates is None:
            candidates = self._candidates_by_server[server.name] = (
                self._choose_candidates(server)
            )
        for node_id in candidates:
            if node_id == self.node_id:
                return None
            avoided_until = self._avoided_until.get(node_id)
            if avoided_until is None:
                return self._peers_by_id[node_id]
            if avoided_until <= now:
                del self._avoided_until[node_id]
                return self._peers_by_id[node_id]
        return None

    def _choose_candidates(self, server):
        zones_by_id = {
            node_id: peer.zone for node_id, peer in self._peers_by_id.items()
        }
        zones_by_id[self.node_id] = self.zone
        same_zone_ids = [
            node_id for node_id, zone in zones_by_id.items() if zone == server.zone
        ]
        candidates = _best_candidates(server.name, same_zone_ids)
        if len(candidates) < MAX_CANDIDATES:
            candidates += _best_candidates(
                server.name, zones_by_id.keys() - set(same_zone_ids)
            )
        return candidates[:MAX_CANDIDATES]


def _best_candidates(key, node_ids):
    return rendezvous(key, dict.fromkeys(node_ids, 1.0))[:MAX_CANDIDATES]
