"""Configuration versions in force at the other nodes."""

from __future__ import annotations

from briarspoke.links.messages import InForce, InForceRequest


class InForceVersions:
    """Requests the versions of other nodes only when an operator reads them.

    If each node announced each change to all, a change would cost each of 440 nodes
    about 0.5 MB, which is most of the bytes it may use for control.

    :param links: the :class:`briarspoke.links.hub.LinkHub`.
    :param node_id: id of this node.
    :param version: function that returns this node's version in force.
    """

    def __init__(self, *, links, node_id, version):
        self._links = links
        self._node_id = node_id
        self._version = version
        self._version_by_node = {}
        links.on(InForceRequest, self._on_request)
        links.on(InForce, self._on_in_force)
        # Nodes that sent a request since the last change. They get the next change.
        self._subscribers = set()

    def request_versions(self):
        """Requests the versions of all nodes; later reads return the answers."""
        self._links.broadcast(InForceRequest())

    def notify_changed(self):
        """Sends this node's version to the nodes that asked since the last change."""
        subscribers, self._subscribers = self._subscribers, set()
        for node_id in subscribers:
            self._send_version(node_id)

    def version_of(self, node_id):
        """Returns the version in force at a node, or None while it is unknown."""
        if node_id == self._node_id:
            return self._version()
        return self._version_by_node.get(node_id)

    def _send_version(self, node_id):
        self._links.send(
            node_id, InForce(node_id=self._node_id, version=self._version())
        )

    def _on_request(self, node_id, message):
        self._subscribers.add(node_id)
        self._send_version(node_id)

    def _on_in_force(self, node_id, message):
        known = self._version_by_node.get(message.node_id, 0)
        self._version_by_node[message.node_id] = max(known, message.version)
