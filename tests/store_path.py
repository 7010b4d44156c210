"""Path between one entry VM and the store, with connections that are lost in parts."""

from __future__ import annotations

from entry_fakes import LATENCY_S, ServerSocket
from http_fakes import LOST
from twisted.internet import error
from twisted.python.failure import Failure

from briarspoke.standins.platform_http import PlatformStoreStandIn, StandInFactory

# Seconds after its first packet at which TCP sends it again.
SYN_RETRIES_S = (1.0, 3.0)
# Data of a cut is sent again this long after its end, unless a test says otherwise.
RETRANSMISSION_S = 0.2
CHUNK_BYTES = 16_384
REFUSED = Failure(error.ConnectionRefusedError())


class StorePath:
    """Takes the place of the reactor for the HTTP client of the store.

    :param world: the :class:`entry_fakes.World`, whose store answers.
    :param queue_s: seconds for which each packet waits behind those of callers.
    :param bytes_per_s: bandwidth in each direction, or None without a bound.
    """

    def __init__(self, world, *, queue_s=0.0, bytes_per_s=None):
        self.reactor = world.reactor
        # Whether no packet passes. What is sent in a cut arrives after it.
        self.cut = False
        # Whether the store resets all connections.
        self.is_refusing = False
        self.retransmission_s = RETRANSMISSION_S
        self.queue_s = queue_s
        self._bytes_per_s = bytes_per_s
        # Time until which data fills the link, for each direction.
        self._busy_until_by_receiver = {}
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

    def transit_s(self, receiver, size_bytes):
        """Returns the seconds after which data arrives that is sent now."""
        now = self.reactor.seconds()
        transit_s = LATENCY_S + self.queue_s
        if self._bytes_per_s is not None:
            free_at = max(now, self._busy_until_by_receiver.get(receiver, 0.0))
            free_at += size_bytes / self._bytes_per_s
            self._busy_until_by_receiver[receiver] = free_at
            transit_s += free_at - now
        return transit_s

    def advance(self):
        """Delivers what has been written since the last call."""
        now = self.reactor.seconds()
        if self.cut or now < self._cut_ended_at + self.retransmission_s:
            return
        for link in list(self.links):
            if self.is_refusing:
                link.reset()
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
        # A packet there and one back.
        opening_s = LATENCY_S + 2 * path.queue_s
        delays_s = (opening_s, *(opening_s + delay for delay in SYN_RETRIES_S))
        self._timers = [later(delay_s, self._arrive) for delay_s in delays_s]
        self._timers.append(later(timeout_s, self._fail, Failure(error.TimeoutError())))

    def _arrive(self):
        if self._path.is_refusing:
            self._fail(REFUSED)
        elif not self._path.cut:
            self.disconnect()
            self._path.opened(self._factory)

    def _fail(self, failure):
        self.disconnect()
        self._factory.clientConnectionFailed(self, failure)

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
            if self.is_silent or self.is_closed:
                continue
            direction = "store" if receiver is self._server else "VM"
            for begin in range(0, len(data), CHUNK_BYTES):
                chunk = data[begin : begin + CHUNK_BYTES]
                transit_s = self._path.transit_s(direction, len(chunk))
                self._path.callLater(transit_s, self._receive, receiver, chunk)
        if self.is_closed:
            self._server.connectionLost(None)

    def reset(self):
        """Ends the connection with a reset by the store."""
        if not self.is_silent and not self.is_closed:
            self._client.transport.disconnecting = True
            self._client.connectionLost(LOST)

    def _receive(self, receiver, data):
        if not self.is_silent and not self.is_closed:
            receiver.dataReceived(data)
