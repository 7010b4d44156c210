"""Sends messages to nodes without a direct link, as floods and relays."""

from __future__ import annotations

from briarspoke.links import messages, rejections
from briarspoke.links.messages import Flood, MalformedMessageError, Relay
from briarspoke.links.rejections import LinkError

MAX_FLOOD_HOPS = 16
MAX_RELAY_HOPS = 32
MAX_REMEMBERED_FLOODS = 8192


class Relaying:
    """Sends and forwards floods and relays, so that messages reach distant nodes.

    :param hub: the :class:`briarspoke.links.hub.LinkHub`.
    """

    def __init__(self, *, hub):
        self._hub = hub
        self._flood_sequence = 0
        self._seen_floods = {}

    def send(self, node_id, message):
        """Sends a message to a node over other nodes.

        :returns: whether a link to a next hop exists; delivery is not confirmed.
        """
        relay = Relay(
            origin=self._hub.members.me.node_id,
            target=node_id,
            hops_left=MAX_RELAY_HOPS,
            payload=messages.encode(message),
        )
        return self._forward(relay, None)

    def flood(self, message):
        """Sends a message to all members but this node."""
        self._flood_sequence += 1
        me = self._hub.members.me
        flood = Flood(
            origin=me.node_id,
            instance=me.instance,
            sequence=self._flood_sequence,
            hops_left=MAX_FLOOD_HOPS,
            payload=messages.encode(message),
        )
        self._hub.send_all(messages.encode(flood))

    def on_flood(self, link, flood):
        """Forwards and dispatches a flooded message unless it was seen before.

        :raises LinkError: if the payload is malformed.
        """
        key = (flood.origin, flood.instance, flood.sequence)
        if flood.origin == self._hub.members.me.node_id or key in self._seen_floods:
            return
        self._seen_floods[key] = None
        if len(self._seen_floods) > MAX_REMEMBERED_FLOODS:
            del self._seen_floods[next(iter(self._seen_floods))]
        if flood.hops_left > 0:
            flood.hops_left -= 1
            self._hub.send_all(messages.encode(flood), link.node_id)
        self._dispatch_payload(link, flood.origin, flood.payload)

    def on_relay(self, link, relay):
        """Dispatches a relayed message to this node, or forwards it to the next hop.

        :raises LinkError: if the payload is malformed.
        """
        if relay.target == self._hub.members.me.node_id:
            self._dispatch_payload(link, relay.origin, relay.payload)
            return
        if relay.hops_left > 0:
            relay.hops_left -= 1
            if self._forward(relay, link.node_id):
                return
        self._hub.count_link(rejections.UNROUTABLE)

    def _forward(self, relay, received_from):
        link = self._hub.links_by_node.get(relay.target)
        if link is None:
            node_id = self._hub.members.next_hop(
                relay.target, self._hub.links_by_node.keys() - {received_from}
            )
            link = self._hub.links_by_node.get(node_id)
        if link is None:
            return False
        link.send(relay)
        return True

    def _dispatch_payload(self, link, origin, payload):
        try:
            message = messages.decode(payload)
        except MalformedMessageError as error:
            raise LinkError(rejections.MALFORMED, str(error)) from error
        if message is None:
            self._hub.count_link(rejections.UNKNOWN_TYPE)
        else:
            self._hub.dispatch(origin, message)
