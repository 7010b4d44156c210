"""The entry VMs that requests can be forwarded to."""

from __future__ import annotations

from briarspoke.configuration.snapshot import split_address
from briarspoke.membership.members import Status


class Peer:
    """Another entry VM as a gateway.

    :param forward_host: IP address for forwarded requests.
    :param forward_port: port for forwarded requests.
    """

    __slots__ = ("forward_host", "forward_port", "node_id", "zone")

    def __init__(self, *, node_id, zone, forward_host, forward_port):
        self.node_id = node_id
        self.zone = zone
        self.forward_host = forward_host
        self.forward_port = forward_port

    def __eq__(self, other):
        if not isinstance(other, Peer):
            return NotImplemented
        return self._fields() == other._fields()

    def __hash__(self):
        return hash(self._fields())

    def _fields(self):
        return self.node_id, self.zone, self.forward_host, self.forward_port


class PeerTable:
    """Caches the peers until a member changes.

    The router compares the peers 100 times a second; for objects that are equal but
    not identical, it would have to compare the fields of every peer.

    :param members: the :class:`briarspoke.membership.members.Members`.
    """

    __slots__ = ("_change_count", "_members", "_peers_by_id")

    def __init__(self, *, members):
        self._members = members
        self._change_count = None
        self._peers_by_id = {}

    def current(self):
        """Returns ``{node_id: Peer}``, the same object while nothing changes."""
        if self._change_count != self._members.change_count:
            self._change_count = self._members.change_count
            self._peers_by_id = peers_of(self._members)
        return self._peers_by_id


def peers_of(members):
    """Returns ``{node_id: Peer}`` of the members that accept forwarded requests.

    A suspect member is excluded: every request for its servers would wait for it
    until a timeout.
    """
    peers = {}
    for member in members.by_id.values():
        if (
            member is members.me
            or member.leaving
            or member.status is not Status.ALIVE
            or not member.forward_address
        ):
            continue
        host, port = split_address(member.forward_address)
        peers[member.node_id] = Peer(
            node_id=member.node_id,
            zone=member.zone,
            forward_host=host,
            forward_port=port,
        )
    return peers
