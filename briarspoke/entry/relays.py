"""One entry VM of a zone watches the store for the others.

Every watch counts as calls to the store, so their number must not grow with the
entry VMs. The first entry VM of a zone by name is its relay: it passes changes on to
the others over a connection. A VM that does not hear from its relay watches itself.
"""

from __future__ import annotations

import logging
import zlib

import cbor2
from twisted.internet import protocol
from twisted.protocols import basic

from briarspoke.platform.keyvalue import Changes, Item

log = logging.getLogger(__name__)

# Zones with fewer entry VMs do without a relay.
LEAST_NODES = 4
# A relay tells that it is in contact with the store this often.
ALIVE_S = 0.4
# Without a word for this long, a follower watches itself; changes have to be in
# force within 2 s.
SILENCE_S = 1.0
# A follower that lost its relay watches itself for this long at least.
RETURN_S = 3.0
CONNECT_TIMEOUT_S = 0.5
# A VM that starts asks its relay for this long, since all items of the store take
# seconds on a slow link; they come compressed from the relay.
INTRODUCTION_S = 0.7
INTRODUCTION_RETRY_S = 0.1
MAX_FRAME_BYTES = 16 << 20
# A configuration of 1,300 routes takes a second on a link of 5 Mbit/s and a tenth of
# that compressed; the lowest level is within 2 ms of processor time for it.
COMPRESSION_LEVEL = 1


def _encode(items, revision):
    rows = [[item.key, item.value, item.revision] for item in items]
    return zlib.compress(cbor2.dumps([rows, revision]), COMPRESSION_LEVEL)


def _decode(data):
    rows, revision = cbor2.loads(zlib.decompress(data))
    items = [Item(key=key, value=value, revision=rev) for key, value, rev in rows]
    return Changes(items=items, revision=revision)


class FollowerLink(basic.Int32StringReceiver):
    """The relay's side of a connection."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, relay):
        self._relay = relay

    def connectionMade(self):
        self._relay.follower_came(self)

    def connectionLost(self, reason):
        self._relay.links.discard(self)

    def stringReceived(self, string):
        """Followers have nothing to say."""


class Relay(protocol.ServerFactory):
    """Passes the view of this entry VM on while it is in contact with the store.

    :param view: the :class:`briarspoke.entry.view.StoreView`.
    """

    noisy = False

    def __init__(self, *, view):
        self.links = set()
        self._view = view
        view.listeners.append(self)

    def buildProtocol(self, address):
        return FollowerLink(self)

    def follower_came(self, link):
        """Sends the whole view, or closes a connection that cannot be served."""
        view = self._view
        if not view.reachable or view.revision is None or view.is_fed:
            link.transport.loseConnection()
            return
        self.links.add(link)
        link.sendString(_encode(view.items.values(), view.revision))

    def changed(self, changes):
        """Passes changes on; none show that the store is in contact."""
        if self.links:
            data = _encode(changes.items, changes.revision)
            for link in self.links:
                link.sendString(data)

    def alive(self):
        """Tells the followers that the view is current.

        It is not while all items are read again, since the history is gone.
        """
        if self._view.revision is not None:
            self.changed(Changes(items=[], revision=self._view.revision))

    def lost(self):
        """Sends the followers to the store."""
        for link in list(self.links):
            link.transport.loseConnection()
        self.links.clear()


class RelayLink(basic.Int32StringReceiver):
    """The follower's side of a connection."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, follower):
        self._follower = follower

    def dataReceived(self, data):
        # A large frame on a slow link arrives for longer than a relay may be silent.
        self._follower.heard(self)
        super().dataReceived(data)

    def stringReceived(self, string):
        self._follower.received(self, string)

    def connectionLost(self, reason):
        self._follower.connection_lost(self)


class RelayFollower(protocol.ClientFactory):
    """Follows the relay of the zone, if there is one.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    noisy = False

    def __init__(self, *, node):
        self._node = node
        self._link = None
        self._host = None
        self._connecting = False
        self._heard_at = 0.0
        self._not_before = 0.0

    @property
    def connected(self):
        """Whether there is a connection to the relay."""
        return self._link is not None

    def check(self):
        """Connects to the relay, or leaves one that is silent."""
        now = self._node.now()
        if self.connected:
            if now - self._heard_at > SILENCE_S:
                log.warning("relays: silent host=%s", self._host)
                self._leave()
            return
        address = self._node.registry.relay_address()
        if address is None or self._connecting or now < self._not_before:
            return
        self._connecting = True
        self._host, port = address
        self._node.reactor.connectTCP(self._host, port, self, timeout=CONNECT_TIMEOUT_S)

    async def introduce(self):
        """Finds the relay before all items are read, and waits for its view.

        :raises BriarspokeError: if the store does not answer.
        """
        node = self._node
        await node.view.read(node.registry.prefix)
        give_up_at = node.now() + INTRODUCTION_S
        while not node.view.is_fed and node.registry.relay_address() is not None:
            if self.connected:
                # Its frames may take long; silence ends the connection.
                if node.now() - self._heard_at > SILENCE_S:
                    self._leave()
            elif node.now() >= give_up_at:
                return
            elif not self._connecting:
                self._not_before = 0.0
                self.check()
            await node.sleep(INTRODUCTION_RETRY_S)

    def buildProtocol(self, address):
        self._connecting = False
        self._heard_at = self._node.now()
        self._link = RelayLink(self)
        return self._link

    def clientConnectionFailed(self, connector, reason):
        self._connecting = False
        self._not_before = self._node.now() + RETURN_S

    def heard(self, link):
        """Notes that bytes of the relay have arrived."""
        if link is self._link:
            self._heard_at = self._node.now()

    def received(self, link, data):
        """Takes changes from the relay; the first are the whole view."""
        if link is not self._link:
            # More frames of a connection that was just left.
            return
        changes = _decode(data)
        view = self._node.view
        if view.is_fed:
            view.take_changes(changes)
        elif view.revision is None or changes.revision >= view.revision:
            log.info(
                "relays: follows host=%s revision=%d", self._host, changes.revision
            )
            view.feed(changes)
        else:
            # The relay knows less than this VM does.
            self._leave()

    def connection_lost(self, link):
        """Goes back to the store."""
        if link is self._link:
            self._leave()

    def _leave(self):
        link, self._link = self._link, None
        self._not_before = self._node.now() + RETURN_S
        if link.transport is not None:
            link.transport.abortConnection()
        if self._node.view.is_fed:
            log.info("relays: left host=%s", self._host)
            self._node.view.end_feed()
