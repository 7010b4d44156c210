"""A reactor that simulates network cuts between loopback address prefixes."""

from __future__ import annotations

from twisted.internet import address, error
from twisted.protocols import policies
from twisted.python.failure import Failure
from zope.interface import directlyProvides, providedBy


class _CuttableProtocol(policies.ProtocolWrapper):
    """Drops data in both directions while its remote host is cut off.

    Once data was dropped, the connection stays broken.
    """

    host = ""
    broken = False

    def dataReceived(self, data):
        # Data that follows dropped bytes would corrupt the stream.
        self.broken = self.broken or self.factory.network.is_cut(self.host)
        if not self.broken:
            super().dataReceived(data)

    def write(self, data):
        self.broken = self.broken or self.factory.network.is_cut(self.host)
        if not self.broken:
            super().write(data)

    def writeSequence(self, data):
        self.write(b"".join(data))

    def connectionLost(self, reason):
        self.factory.network.connections.discard(self)
        super().connectionLost(reason)


class _CuttableFactory(policies.WrappingFactory):
    protocol = _CuttableProtocol
    noisy = False

    def __init__(self, network, host, wrapped):
        super().__init__(wrapped)
        self.network = network
        self.host = host

    def buildProtocol(self, address):
        wrapper = super().buildProtocol(address)
        if wrapper is not None:
            wrapper.host = self.host
            self.network.connections.add(wrapper)
        return wrapper


class _TimingOutConnector:
    """A connector whose attempt times out, as if the packets were dropped."""

    def __init__(self, reactor, host, port, factory, timeout_s):
        self._address = address.IPv4Address("TCP", host, port)
        self._factory = factory
        factory.doStart()
        factory.startedConnecting(self)
        self._timer = reactor.callLater(timeout_s, self._fail)

    def _fail(self):
        self._factory.clientConnectionFailed(self, Failure(error.TimeoutError()))
        self._factory.doStop()

    def stopConnecting(self):
        if self._timer.active():
            self._timer.cancel()
            self._factory.clientConnectionFailed(self, Failure(error.UserError()))
            self._factory.doStop()

    def disconnect(self):
        self.stopConnecting()

    def getDestination(self):
        return self._address


class CuttableReactor:
    """Wraps a reactor so that outgoing connections can be cut.

    Only outgoing connections are checked. A cut between entry VMs still applies
    in both directions, because each end of a link uses such a reactor.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._cut_prefixes = ()
        self.connections = set()
        directlyProvides(self, providedBy(reactor))

    def __getattr__(self, name):
        return getattr(self._reactor, name)

    def is_cut(self, host):
        """Returns whether an IP address is cut off."""
        return host.startswith(self._cut_prefixes) if self._cut_prefixes else False

    def cut(self, prefixes):
        """Cuts off all IP addresses that start with one of the prefixes."""
        self._cut_prefixes = tuple(prefixes)

    def heal(self):
        """Ends the cut and aborts the connections that dropped data."""
        self._cut_prefixes = ()
        for connection in list(self.connections):
            if connection.broken:
                connection.transport.abortConnection()

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Connects, or times out if the host is cut off."""
        if self.is_cut(host):
            return _TimingOutConnector(self._reactor, host, port, factory, timeout)
        return self._reactor.connectTCP(
            host,
            port,
            _CuttableFactory(self, host, factory),
            timeout,
            bindAddress,
        )
