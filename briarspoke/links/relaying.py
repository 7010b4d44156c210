"""Messages to nodes without a direct link: floods and relays."""

from __future__ import annotations

from briarspoke.links import messages, rejections
from briarspoke.links.messages import Flood, MalformedMessageError, Relay
from briarspoke.links.rejections import LinkError

FLOOD_HOPS = 16
RELAY_HOPS = 32
FLOODS_REMEMBERED = 8192


class Relaying:
    """Passes messages on from node to node.

    :param hub: the :class:`briarspoke.links.hub.LinkHub`.
    """

    def __init__(self, *, hub):
        self._hub = hub
        self._flood_sequence = 0
        self._floods_seen = {}

    def send(self, node_id, message):
        """Sends a message towards a node; returns whether a link leads there."""
        relay = Relay(
            origin=self._hub.members.me.node_id,
            target=node_id,
            hops_left=RELAY_HOPS,
            payload=messages.encode(message),
        )
        return self._pass_on(relay, None)

    def flood(self, message):
        """Sends a message to all members but this node."""
        self._flood_sequence += 1
        me = self._hub.members.me
        flood = Flood(
            origin=me.node_id,
            instance=me.instance,
            sequence=self._flood_sequence,
            hops_left=FLOOD_HOPS,
            payload=messages.encode(message),
        )
        self._hub.send_all(messages.encode(flood))

    def on_flood(self, link, flood):
        """Passes a flooded message on at its first arrival."""
        key = (flood.origin, flood.instance, flood.sequence)
        if flood.origin == self._hub.members.me.node_id or key in self._floods_seen:
            return
        self._floods_seen[key] = None
        if len(self._floods_seen) > FLOODS_REMEMBERED:
            del self._floods_seen[next(iter(self._floods_seen))]
        if flood.hops_left > 0:
            flood.hops_left -= 1
            self._hub.send_all(messages.encode(flood), link.node_id)
        self._dispatch_payload(link, flood.origin, flood.payload)

    def on_relay(self, link, relay):
        """Takes a relayed message or passes it on."""
        if relay.target == self._hub.members.me.node_id:
            self._dispatch_payload(link, relay.origin, relay.payload)
            return
        if relay.hops_left > 0:
            relay.hops_left -= 1
            if self._pass_on(relay, link.node_id):
                return
        self._hub.count_link(rejections.UNROUTABLE)

    def _pass_on(self, relay, source):
        link = self._hub.links_by_node.get(relay.target)
        if link is None:
            node_id = self._hub.members.next_hop(
                relay.target, self._hub.links_by_node.keys() - {source}
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
