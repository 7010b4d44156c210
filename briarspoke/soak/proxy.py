"""A loopback proxy that cuts, delays and resets connections."""

from __future__ import annotations

from twisted.internet import protocol

MODES = ("open", "silent", "reset", "one-way", "slow")
DELAY_S = 0.15


class _End(protocol.Protocol):
    """One end of a proxied connection; ``peer`` is the other."""

    def __init__(self, proxy, inward):
        self.peer = None
        self.closed = False
        self._proxy = proxy
        self._inward = inward
        self._held = []

    def connectionMade(self):
        self._proxy.ends.add(self)

    def join(self, peer):
        self.peer, peer.peer = peer, self
        for data in self._held:
            peer.transport.write(data)
        self._held = []

    def dataReceived(self, data):
        mode = self._proxy.mode
        if mode == "silent" or (mode == "one-way" and not self._inward):
            return
        if mode == "reset":
            self.transport.abortConnection()
        elif mode == "slow":
            self._proxy.reactor.callLater(DELAY_S, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data):
        if self.peer is None:
            self._held.append(data)
        elif not self.peer.closed:
            self.peer.transport.write(data)

    def connectionLost(self, reason):
        self.closed = True
        self._proxy.ends.discard(self)
        if self.peer is not None and not self.peer.closed:
            self.peer.transport.loseConnection()


class _Outward(protocol.ClientFactory):
    noisy = False

    def __init__(self, proxy, inward):
        self._proxy = proxy
        self._inward = inward

    def buildProtocol(self, address):
        end = _End(self._proxy, inward=False)
        if self._inward.closed:
            return None
        end.connectionMade = lambda: (self._proxy.ends.add(end), self._inward.join(end))
        return end

    def clientConnectionFailed(self, connector, reason):
        if not self._inward.closed:
            self._inward.transport.abortConnection()


class Proxy(protocol.ServerFactory):
    """Forwards connections to a port.

    :param mode: one of :data:`MODES`.
    """

    noisy = False

    def __init__(self, *, reactor, port):
        self.reactor = reactor
        self.mode = "open"
        self.ends = set()
        self._port = port
        self.listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port = self.listener.getHost().port

    def buildProtocol(self, address):
        end = _End(self, inward=True)
        self.reactor.connectTCP("127.0.0.1", self._port, _Outward(self, end))
        return end

    def set_mode(self, mode):
        """Changes what happens to data; a reset also ends open connections."""
        self.mode = mode
        if mode == "reset":
            for end in list(self.ends):
                end.transport.abortConnection()
