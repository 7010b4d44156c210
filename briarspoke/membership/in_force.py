"""Which configuration version each node has in force."""

from __future__ import annotations

from briarspoke.links.messages import InForce, InForceRequest


class InForceVersions:
    """Asks the other nodes only when an operator wants to know.

    Announcing each change to all would cost each of 440 nodes about 0.5 MB a
    change, most of the bytes it may spend on control.

    :param links: the :class:`briarspoke.links.hub.LinkHub`.
    :param version: function that returns this node's version in force.
    """

    def __init__(self, *, links, node_id, version):
        self._links = links
        self._node_id = node_id
        self._version = version
        self._version_by_node = {}
        # Nodes that asked; they hear of later changes until they stop asking.
        links.on(InForceRequest, self._on_request)
        links.on(InForce, self._on_in_force)
        self._askers = set()

    def request_versions(self):
        """Asks every node; the answers are seen by later reads."""
        self._links.broadcast(InForceRequest())

    def notify_changed(self):
        """Tells the nodes that asked since the last change."""
        askers, self._askers = self._askers, set()
        for node_id in askers:
            self._answer(node_id)

    def version_of(self, node_id):
        """Returns the version in force at a node, None while unknown."""
        if node_id == self._node_id:
            return self._version()
        return self._version_by_node.get(node_id)

    def _answer(self, node_id):
        self._links.send(
            node_id, InForce(node_id=self._node_id, version=self._version())
        )

    def _on_request(self, node_id, message):
        self._askers.add(node_id)
        self._answer(node_id)

    def _on_in_force(self, node_id, message):
        known = self._version_by_node.get(message.node_id, 0)
        self._version_by_node[message.node_id] = max(known, message.version)
