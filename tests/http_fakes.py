"""Fake sockets and a fake reactor for tests of request processing."""

from __future__ import annotations

import fcntl
import json
import socket
import struct
import termios

from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from briarspoke.configuration.snapshot import Configuration
from briarspoke.http.callers import CallerFactory
from briarspoke.http.peers import PeerFactory
from briarspoke.http.router import Router
from briarspoke.metrics import Metrics
from briarspoke.standins.demo import static_ownership

LOST = Failure(error.ConnectionLost())


class Socket(StringTransport):
    """A transport that accepts all data immediately."""

    dataBuffer = b""
    _tempDataBuffer = ()
    connected = True
    producerPaused = False
    write_ended = False
    aborting = False
    # Number that the test's kernel knows the socket by.
    fd = -1
    # Whether the peer reads nothing, so that what is written waits.
    stalled = False
    offset = 0
    _tempDataLen = 0
    bufferSize = 65_536

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        # A pull producer is asked for more whenever the socket has sent everything.
        while not streaming and self.producer is not None and not self.stalled:
            producer.resumeProducing()

    def write(self, data):
        if self.write_ended:
            return
        super().write(data)
        if self.stalled:
            self._tempDataLen += len(data)
            self._tempDataBuffer = (*self._tempDataBuffer, data)
            if self.streaming and self._tempDataLen > self.bufferSize:
                self.producer.pauseProducing()

    def drain(self):
        """Lets the peer read all that waits."""
        self._tempDataLen = 0
        self._tempDataBuffer = ()
        if self.producer is not None and self.streaming:
            self.producer.resumeProducing()

    def writeSomeData(self, data):
        if self.stalled:
            return 0
        self.write(bytes(data))
        return len(data)

    def fileno(self):
        return self.fd

    def setTcpNoDelay(self, enabled):
        pass

    def loseWriteConnection(self):
        self.write_ended = True

    @property
    def paused(self):
        return self.producerState == "paused"

    @property
    def aborted(self):
        return bool(self.disconnected or self.aborting)

    @property
    def closed(self):
        """Whether it is closed after what was written, and not reset."""
        return self.disconnecting and not self.aborted

    def take(self):
        """Returns the data written since the last call."""
        data = self.value()
        self.clear()
        return data


class Kernel:
    """Send buffers of sockets, whose peers read as slowly as a test wants.

    :param monkeypatch: pytest's fixture, by which the program asks this kernel.
    """

    def __init__(self, monkeypatch):
        self.bytes_by_fd = {}
        # Open sockets, whose numbers the fake ones have.
        self._pairs = []
        monkeypatch.setattr(fcntl, "ioctl", self._ioctl)

    def hold(self, sock, count):
        """Lets the peer of a socket acknowledge all but a number of bytes."""
        if sock.fd < 0:
            self._pairs.append(socket.socketpair())
            sock.fd = self._pairs[-1][0].fileno()
        self.bytes_by_fd[sock.fd] = count

    def _ioctl(self, fd, request, argument):
        assert request == termios.TIOCOUTQ
        return struct.pack("i", self.bytes_by_fd[fd])


class Endpoint:
    """A protocol under test with its fake socket, which the test controls."""

    def __init__(self, protocol):
        self.protocol = protocol
        self.socket = Socket()
        protocol.makeConnection(self.socket)

    def send(self, data):
        self.protocol.dataReceived(data)

    def disconnect(self):
        self.protocol.connectionLost(LOST)

    def result(self):
        """Returns the JSON body of a result made by briarspoke."""
        return json.loads(self.socket.take().partition(b"\r\n\r\n")[2])


class World(task.Clock):
    """A router with the service ``s`` of one server, and the router's fake reactor."""

    def __init__(self, *, slots=2, peers=(), **service):
        super().__init__()
        self.connects = []
        self.router = Router(
            reactor=self,
            clock=self.seconds,
            metrics=Metrics(node_id="n1"),
            node_id="n1",
            zone="z1",
            cluster_key="a key for tests only",
        )
        problems = []
        configuration = Configuration.from_json(
            {
                "zones": [{"name": "z1"}],
                "services": [{"name": "s", "warmup_s": 0, **service}],
                "servers": [
                    {
                        "name": "s-1",
                        "service": "s",
                        "zone": "z1",
                        "address": "127.0.0.1:1",
                        "slots": slots,
                    }
                ],
            },
            problems,
            version=1,
        )
        assert not problems
        self.router.apply_configuration(configuration)
        service = configuration.services_by_name["s"]
        for _ in range(100):
            # The retry budget allows retries, as after earlier requests.
            self.router.budget_of(service).earn()
        self.router.table.apply(static_ownership(configuration, service))
        self.router.peers_by_id = {peer.node_id: peer for peer in peers}
        self.router.tick()

    def connectTCP(self, host, port, factory, timeout=30):
        self.connects.append((port, factory))

    def caller(self, factory=CallerFactory):
        return Endpoint(factory(router=self.router).buildProtocol(None))

    def peer(self):
        return self.caller(PeerFactory)

    def accept(self):
        """Accepts the oldest connection attempt and returns the server's side."""
        _, factory = self.connects.pop(0)
        return Endpoint(factory.buildProtocol(None))

    def refuse_connect(self):
        """Refuses the oldest connection attempt."""
        _, factory = self.connects.pop(0)
        factory.clientConnectionFailed(None, LOST)

    def wait(self, seconds):
        self.advance(seconds)
        self.router.tick()

    def refusal_count(self, code):
        return self.router.metrics.value("refusals_total", code.number)


GET = b"GET /s/k HTTP/1.1\r\nHost: x\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def post(body, *, length=None, extra=b""):
    """Returns a POST request.

    :param length: declared length, if it differs from that of the body.
    :param extra: further header lines in bytes.
    """
    size = len(body) if length is None else length
    head = b"POST /s/k HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%b\r\n"
    return head % (size, extra) + body


def chunked(*chunks, end=True):
    head = b"POST /s/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + body + (b"0\r\n\r\n" if end else b"")
