"""Path between one entry VM and the store, with connections that are lost in parts."""

from __future__ import annotations

from entry_fakes import LATENCY_S, ServerSocket
from twisted.internet import error
from twisted.python.failure import Failure

from briarspoke.standins.platform_http import PlatformStoreStandIn, StandInFactory

# Seconds after its first packet at which TCP sends it again.
SYN_RETRIES_S = (1.0, 3.0)
# Data of a cut is sent again this long after its end.
RETRANSMISSION_S = 0.2


class StorePath:
    """Takes the place of the reactor for the HTTP client of the store.

    :param world: the :class:`entry_fakes.World`, whose store answers.
    """

    def __init__(self, world):
        self.reactor = world.reactor
        # Whether no packet passes. What is sent in a cut arrives after it.
        self.cut = False
        self._cut_ended_at = 0.0
        self._stand_in = PlatformStoreStandIn(reactor=world.reactor, model=world.store)
        self._factory = StandInFactory(self._stand_in.handle)
        self.attempts = []
        self.links = []

    def callLater(self, delay_s, function, *args):
        return self.reactor.callLater(delay_s, function, *args)

    def connectTCP(self, host, port, factory, timeout):
        attempt = Attempt(path=self, factory=factory, timeout_s=timeout)
        self.attempts.append(attempt)
        return attempt

    def opened(self, client_factory):
        """Connects both ends, since a first packet has arrived."""
        self.links.append(Link(self, client_factory, self._factory))

    def fall_silent(self):
        """Loses the state of all open connections; new ones work."""
        for link in self.links:
            link.is_silent = True

    def heal(self):
        """Ends a cut."""
        self.cut = False
        self._cut_ended_at = self.reactor.seconds()

    def advance(self):
        """Delivers what has been written since the last call."""
        now = self.reactor.seconds()
        if self.cut or now < self._cut_ended_at + RETRANSMISSION_S:
            return
        for link in list(self.links):
            link.deliver()
            if link.is_closed:
                self.links.remove(link)


class Attempt:
    """A connection that is being opened, as Twisted's connector.

    :param timeout_s: seconds after which the attempt fails.
    """

    def __init__(self, *, path, factory, timeout_s):
        self._path = path
        self._factory = factory
        later = path.callLater
        delays_s = (LATENCY_S, *(LATENCY_S + delay for delay in SYN_RETRIES_S))
        self._timers = [later(delay_s, self._arrive) for delay_s in delays_s]
        self._timers.append(later(timeout_s, self._fail))

    def _arrive(self):
        if not self._path.cut:
            self.disconnect()
            self._path.opened(self._factory)

    def _fail(self):
        self.disconnect()
        self._factory.clientConnectionFailed(self, Failure(error.TimeoutError()))

    def disconnect(self):
        """Stops the attempt without a word to the factory."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()


class Link:
    """An open connection between the VM and the store."""

    def __init__(self, path, client_factory, server_factory):
        self._path = path
        self.is_silent = False
        self._client = client_factory.buildProtocol(None)
        self._server = server_factory.buildProtocol(None)
        for end in (self._server, self._client):
            end.makeConnection(ServerSocket())

    @property
    def is_closed(self):
        """Whether the VM has closed the connection."""
        transport = self._client.transport
        return transport.disconnecting or transport.aborted

    def deliver(self):
        """Passes on what both ends have written."""
        for sender, receiver in (
            (self._client, self._server),
            (self._server, self._client),
        ):
            data = sender.transport.take()
            if data and not self.is_silent and not self.is_closed:
                self._path.callLater(LATENCY_S, self._receive, receiver, data)
        if self.is_closed:
            self._server.connectionLost(None)

    def _receive(self, receiver, data):
        if not self.is_silent and not self.is_closed:
            receiver.dataReceived(data)
