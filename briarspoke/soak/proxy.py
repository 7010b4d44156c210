"""Loopback proxy that can drop or delay data and reset connections."""

from __future__ import annotations

from twisted.internet import protocol

MODES = ("open", "silent", "reset", "one-way", "slow")
SLOW_DELAY_S = 0.15


class _ProxyConnection(protocol.Protocol):
    """One side of a proxied connection; ``peer`` is the other side.

    :param from_client: whether this side was opened by the client.
    """

    def __init__(self, proxy, from_client):
        self.peer = None
        self.closed = False
        self._proxy = proxy
        self._from_client = from_client
        self._buffered = []

    def connectionMade(self):
        self._proxy.connections.add(self)

    def pair_with(self, peer):
        self.peer, peer.peer = peer, self
        for data in self._buffered:
            peer.transport.write(data)
        self._buffered = []

    def dataReceived(self, data):
        mode = self._proxy.mode
        if mode == "silent" or (mode == "one-way" and not self._from_client):
            return
        if mode == "reset":
            self.transport.abortConnection()
        elif mode == "slow":
            self._proxy.reactor.callLater(SLOW_DELAY_S, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data):
        if self.peer is None:
            self._buffered.append(data)
        elif not self.peer.closed:
            self.peer.transport.write(data)

    def connectionLost(self, reason):
        self.closed = True
        self._proxy.connections.discard(self)
        if self.peer is not None and not self.peer.closed:
            self.peer.transport.loseConnection()


class _TargetFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, proxy, client):
        self._proxy = proxy
        self._client = client

    def buildProtocol(self, address):
        connection = _ProxyConnection(self._proxy, from_client=False)
        if self._client.closed:
            return None
        connection.connectionMade = lambda: (
            self._proxy.connections.add(connection),
            self._client.pair_with(connection),
        )
        return connection

    def clientConnectionFailed(self, connector, reason):
        if not self._client.closed:
            self._client.transport.abortConnection()


class Proxy(protocol.ServerFactory):
    """Forwards connections to a port on loopback.

    :ivar mode: one of :data:`MODES`. ``silent`` drops all data, ``one-way`` drops the
        data to the client, ``reset`` resets connections, and ``slow`` delays all data.
    """

    noisy = False

    def __init__(self, *, reactor, port):
        self.reactor = reactor
        self.mode = "open"
        self.connections = set()
        self._target_port = port
        self.listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port = self.listener.getHost().port

    def buildProtocol(self, address):
        connection = _ProxyConnection(self, from_client=True)
        self.reactor.connectTCP(
            "127.0.0.1", self._target_port, _TargetFactory(self, connection)
        )
        return connection

    def set_mode(self, mode):
        """Changes the mode; ``reset`` also resets the open connections."""
        self.mode = mode
        if mode == "reset":
            for connection in list(self.connections):
                connection.transport.abortConnection()
