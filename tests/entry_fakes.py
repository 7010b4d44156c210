"""In-memory platform: a store, servers and entry VMs on a clock that tests advance."""

from __future__ import annotations

import json
import math

from http_fakes import LOST, Socket
from twisted.internet import defer, error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from briarspoke.entry import settings as entry_settings
from briarspoke.entry.callers import CallerFactory
from briarspoke.entry.connections import Answer
from briarspoke.entry.httpclient import HttpClient
from briarspoke.entry.node import EntryNode
from briarspoke.entry.repeating import RepeatedCall
from briarspoke.standins.platform_server import ServerModel
from briarspoke.standins.platform_store import PendingWatch, StoreModel

STORE = ("10.0.0.1", 80)
LATENCY_S = 0.002
# Step in which connections between entry VMs carry data.
NETWORK_STEP_S = 0.02
CLOSED = Failure(error.ConnectionDone())

SETTINGS = {
    "node": "front-poa-1",
    "zone": "poa",
    "ip": "10.0.1.1",
    "caller_listen": "10.0.1.1:8000",
    "ready_listen": "10.0.1.1:8001",
    "internal_port": 9000,
    "metrics_port": 9001,
    "store": "10.0.0.1:80",
    "drain_s": "2000ms",
    "grace_s": "6s",
    "max_hold_s": "10000ms",
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "retry_window_s": "10s",
}

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1_000_000,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def route(service, *, prefix="/lookup/", route_type="safe", **changes):
    """Returns a route in the form of the operator's configuration."""
    return {
        "hostname": "shop.example",
        "prefix": prefix,
        "route_type": route_type,
        "timeout": "1000ms",
        "target_latency": "300ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


def configuration(version=4, routes=None, services=None, limits=LIMITS):
    """Returns the encoded configuration document."""
    body = {
        "config_version": f"r{version}",
        "routes": routes
        or {
            "lookup": route("stock"),
            "order": route("orders", prefix="/order/", route_type="unsafe"),
        },
        "services": services
        or {
            "stock": {"health_path": "/h", "max_conns": 110, "sharded": True},
            "orders": {"health_path": "/h", "max_conns": 110},
        },
        "limits": limits,
    }
    return json.dumps(body).encode()


def registration(service, number, *, state="ready", born=1, zone="poa", **changes):
    """Returns the encoded registration of the server ``number``."""
    body = {
        "service": service,
        "address": f"10.0.9.{number}:80",
        "zone": zone,
        "slots": 4,
        "state": state,
        "warmup_left": "0ms",
        "seq": 1,
        "born": born,
        **changes,
    }
    return json.dumps(body).encode()


class Reactor(MemoryReactorClock):
    """An in-memory reactor that also supports datagram ports."""

    def __init__(self):
        super().__init__()
        self.datagram_ports = {}

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):
        self.datagram_ports[(interface, port)] = protocol
        protocol.makeConnection(DatagramTransport(self, (interface, port)))
        return protocol


class DatagramTransport:
    """Delivers datagrams from one port to the others after ``LATENCY_S``."""

    def __init__(self, reactor, sender):
        self._reactor = reactor
        self._sender = sender

    def write(self, data, address):
        receiver = self._reactor.datagram_ports.get(address)
        if receiver is not None:
            self._reactor.callLater(
                LATENCY_S, receiver.datagramReceived, data, self._sender
            )


class Faults:
    """Faults that are injected between one entry VM and an address."""

    def __init__(self):
        # Calls do not arrive.
        self.cut = False
        # Calls are executed, but their answers are lost.
        self.answers_lost = False
        # The same for writes to the store only.
        self.write_answers_lost = False
        # Additional delay in seconds until a call arrives.
        self.late_s = 0.0
        # Time that calls wait in the queue of a network link before they arrive.
        self.transit_s = 0.0


class FakeCall:
    """A call of :class:`FakeHttp` in progress."""

    received_bytes = 0
    is_sent = True

    def __init__(self, *, deferred, is_kept):
        self.deferred = deferred
        self.is_kept = is_kept

    def describe(self):
        return ""


class FakeHttp:
    """Replaces ``HttpClient`` for calls of one entry VM to one address."""

    def __init__(self, world, faults, host, port):
        self._world = world
        self._faults = faults
        self._address = (host, port)
        # Process at the other end of the kept connection, or None without one.
        self._peer = None

    def take_idle(self):
        peer, self._peer = self._peer, None
        return peer

    def call(self, method, path, body=b"", **options):
        return self.start_call(method, path, body, **options).deferred

    def call_repeatedly(self, method, path, **options):
        return RepeatedCall(client=self, method=method, path=path, **options).deferred

    def now(self):
        return self._world.reactor.seconds()

    def call_later(self, delay_s, function, *args):
        return self._world.reactor.callLater(delay_s, function, *args)

    def drop_idle(self):
        self._peer = None

    def start_call(
        self,
        method,
        path,
        body=b"",
        *,
        timeout_s,
        connect_timeout_s=None,
        headers=(),
        connection=None,
        new_connection=False,
    ):
        done = defer.Deferred()
        later = self._world.reactor.callLater
        # A call takes the kept connection, and only its answer makes one available.
        expected_peer = connection
        if expected_peer is None and not new_connection:
            expected_peer = self.take_idle()
        call = FakeCall(deferred=done, is_kept=expected_peer is not None)
        timer = later(timeout_s, self._finish, done, Answer(failure="timeout"))
        lower = {name.lower(): value.decode() for name, value in headers}
        if self._faults.cut:
            return call
        arrived = self._world.reactor.seconds() + self._faults.transit_s
        delay_s = LATENCY_S + self._faults.transit_s + self._faults.late_s
        answered = not self._faults.answers_lost and not (
            self._faults.write_answers_lost and path.endswith("kv-txn")
        )

        def arrive():
            peer = self._world.peer(self._address)
            if expected_peer is not None and peer is not expected_peer:
                self._finish(done, Answer(failure="reset"), timer)
                return
            target = self._world.target(self._address)
            if target is None:
                reply = Answer(failure="refused", sent=False)
            else:
                reply = target(method.decode(), path, body, arrived, lower)
            if reply is None:
                # The server does not answer, so the call times out.
                return
            if isinstance(reply, PendingWatch):
                self._world.waiting.append((reply, done, timer, self._faults))
            elif answered and not self._faults.cut:
                if not done.called and reply.status is not None:
                    self._peer = peer
                self._finish(done, reply, timer)

        later(delay_s, arrive)
        return call

    def _finish(self, done, answer, timer=None):
        if timer is not None and timer.active():
            timer.cancel()
        if not done.called:
            done.callback(answer)


class Node(EntryNode):
    """An entry VM whose calls go to the in-memory store and servers."""

    def __init__(self, *, world, store_path=None, **options):
        self.world = world
        self.store_path = store_path
        self.faults_by_address = {}
        super().__init__(**options)

    def faults(self, address):
        return self.faults_by_address.setdefault(address, Faults())

    def http_client(self, host, port, *, keep_late=False):
        if self.store_path is not None and (host, port) == STORE:
            return HttpClient(
                reactor=self.store_path,
                clock=self.now,
                host=host,
                port=port,
                held_answers=self.held_answers,
                keep_late=keep_late,
            )
        return FakeHttp(self.world, self.faults((host, port)), host, port)


class World:
    """A store, servers and entry VMs that share one simulated clock."""

    def __init__(self):
        self.reactor = Reactor()
        self.reactor.advance(100.0)
        self.store = StoreModel(clock=self.reactor.seconds)
        self.store.changed = self._answer_watches
        self.servers = {}
        self.nodes = []
        self.waiting = []
        self.store_down = False

    def peer(self, address):
        """Returns the process that listens at an address, or None."""
        return self.store if address == STORE else self.servers.get(address)

    def target(self, address):
        """Returns the function that handles calls to an address, or None."""
        if address == STORE:
            return self._call_store
        model = self.servers.get(address)
        if model is None:
            return None
        return lambda method, path, body, arrived, headers: self._call_server(
            model, path, body, arrived, headers
        )

    def _call_store(self, method, path, body, arrived, headers):
        if self.store_down:
            return Answer(failure="reset")
        reply = self.store.call(method, path, body)
        if isinstance(reply, PendingWatch):
            return reply
        return self._answer(reply)

    def _answer(self, reply):
        return Answer(status=reply.status, headers=reply.headers, body=reply.encode())

    def _call_server(self, model, path, body, arrived, headers):
        reply = model.call(path, body, arrived, headers.get(b"target-instance"))
        if reply is None:
            return None
        status, headers = reply
        pairs = [(n.lower().encode(), v.encode()) for n, v in headers.items()]
        return Answer(status=status, headers=pairs)

    def _answer_watches(self):
        pending = []
        for waiting, done, timer, faults in self.waiting:
            reply = None if done.called else self.store.poll_watch(waiting)
            if reply is None or faults.cut or self.store_down:
                if not done.called:
                    pending.append((waiting, done, timer, faults))
                continue
            timer.cancel()
            answer = self._answer(reply)
            self.reactor.callLater(LATENCY_S, done.callback, answer)
        self.waiting = pending

    def advance(self, seconds, step_s=0.01):
        """Advances the clock in steps, with expiry of leases and watches in each."""
        for _ in range(max(1, round(seconds / step_s))):
            self.reactor.advance(step_s)
            if not self.store_down:
                self.store.expire()
            self._answer_watches()
            for node in self.nodes:
                if node.store_path is not None:
                    node.store_path.advance()

    def http_client(self, *, keep_late=False):
        """Returns an HTTP client whose connections the test accepts."""
        return HttpClient(
            reactor=self.reactor,
            clock=self.reactor.seconds,
            host="10.0.9.99",
            port=80,
            held_answers=self.node.held_answers,
            keep_late=keep_late,
        )

    def add_server(self, service, number, **changes):
        """Registers a server and returns its :class:`ServerModel`."""
        server_id = f"s-{number}"
        model = ServerModel(server_id=server_id, clock=self.reactor.seconds)
        self.servers[(f"10.0.9.{number}", 80)] = model
        self.store.put(f"servers/{server_id}", registration(service, number, **changes))
        return model

    def add_node(
        self, name="front-poa-1", number=1, zone="poa", start=True, store_path=None
    ):
        """Adds an entry VM, started unless ``start`` is false, and returns it.

        :param store_path: the :class:`store_path.StorePath` of an entry VM whose calls
            to the store go through its own HTTP client; None for :class:`FakeHttp`.
        """
        ip = f"10.0.1.{number}"
        values = {
            **SETTINGS,
            "node": name,
            "zone": zone,
            "ip": ip,
            "caller_listen": f"{ip}:8000",
            "ready_listen": f"{ip}:8001",
        }
        node = Node(
            world=self,
            store_path=store_path,
            reactor=self.reactor,
            settings=entry_settings.parse(values, "test"),
            clock=self.reactor.seconds,
        )
        self.nodes.append(node)
        if start:
            node.start()
        return node

    def caller(self, node):
        """Connects a caller; returns its :class:`Peer`."""
        protocol = CallerFactory(node).buildProtocol(None)
        return Peer(protocol)

    def accept(self):
        """Accepts the oldest connection attempt; returns (Peer, (host, port))."""
        host, port, factory, _, _ = self.reactor.tcpClients.pop(0)
        return Peer(factory.buildProtocol(None)), (host, port)

    def accept_newest(self):
        """Accepts the newest connection attempt and returns its :class:`Peer`."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop()
        return Peer(factory.buildProtocol(None))

    def accept_stalled(self):
        """Accepts the oldest connection attempt at a peer that reads nothing."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        return Peer(factory.buildProtocol(None), stalled=True)

    def refuse(self):
        """Refuses the oldest connection attempt."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))


class Peer:
    """The remote side of a connection to an entry VM's protocol."""

    def __init__(self, protocol, *, stalled=False):
        self.protocol = protocol
        self.socket = ServerSocket()
        self.socket.stalled = stalled
        protocol.makeConnection(self.socket)

    def send(self, data):
        self.protocol.dataReceived(data)

    def take(self):
        return self.socket.take()

    def close(self, reason=CLOSED):
        self.protocol.connectionLost(reason)

    def reset(self):
        self.close(LOST)


class ServerSocket(Socket):
    """A fake socket that accepts socket options."""

    def getHandle(self):
        return self

    def getsockopt(self, level, option):
        return 0

    def setsockopt(self, level, option, value):
        pass


class RelayNetwork:
    """Carries the connections between relays and their followers.

    Connections to a VM that does not exist time out.
    """

    def __init__(self, world):
        self.world = world
        # Data that relays have sent, each with the follower's link.
        self.frames = []
        # Seconds that the data of relays is on its way, as in a queue.
        self.delay_s = 0.0
        # Bandwidth of each connection from a relay, or None without a bound.
        self.bytes_per_s = None
        # Whether no packet passes. What is sent in a cut arrives after it.
        self.cut = False
        self._pairs = []
        self._silent_pairs = []

    def fall_silent(self):
        """Loses the state of all open connections; new ones work."""
        self._silent_pairs += self._pairs
        self._pairs = []

    def advance(self, seconds):
        for _ in range(round(seconds / NETWORK_STEP_S)):
            self.world.advance(NETWORK_STEP_S)
            self._connect()
            for pair in list(self._pairs):
                self._deliver(pair)

    def _connect(self):
        clients = self.world.reactor.tcpClients
        for attempt in [attempt for attempt in clients if attempt[1] == 9000]:
            clients.remove(attempt)
            host, _, factory, timeout_s = attempt[:4]
            relays = [n.relay for n in self.world.nodes if n.settings.ip == host]
            if not relays or self.cut:
                self.world.reactor.callLater(
                    timeout_s,
                    factory.clientConnectionFailed,
                    None,
                    Failure(error.TimeoutError()),
                )
                continue
            pair = RelayPair(relays[0].buildProtocol(None), factory.buildProtocol(None))
            self._pairs.append(pair)

    def _deliver(self, pair):
        now = self.world.reactor.seconds()
        pair.take(now + self.delay_s)
        if not self.cut:
            pair.answer()
            data = pair.arrived(now, self.bytes_per_s)
            if data and not pair.link.transport.disconnecting:
                self.frames.append((pair.link, data))
                pair.link.dataReceived(data)
        if any(end.transport.disconnecting for end in pair.ends):
            self._pairs.remove(pair)
            for end in pair.ends:
                end.connectionLost(CLOSED)


class RelayPair:
    """Both ends of a connection between a relay and a follower."""

    def __init__(self, relay_link, link):
        self.link = link
        self.ends = (relay_link, link)
        self._relay_link = relay_link
        # [time of arrival, data], in the order of sending.
        self._pieces = []
        for end in self.ends:
            end.makeConnection(ServerSocket())

    def take(self, arrives_at):
        """Puts what the relay has written behind what is on its way."""
        data = self._relay_link.transport.take()
        if data:
            if self._pieces:
                arrives_at = max(arrives_at, self._pieces[-1][0])
            self._pieces.append([arrives_at, data])

    def answer(self):
        """Passes what the follower has written to the relay."""
        data = self.link.transport.take()
        if data and not self._relay_link.transport.disconnecting:
            self._relay_link.dataReceived(data)

    def arrived(self, now, bytes_per_s):
        """Returns the data that arrives at the follower in this step."""
        most = math.inf
        if bytes_per_s is not None:
            most = max(1, round(bytes_per_s * NETWORK_STEP_S))
        arrived = b""
        while self._pieces and self._pieces[0][0] <= now and len(arrived) < most:
            piece = self._pieces[0]
            size = min(len(piece[1]), most - len(arrived))
            arrived, piece[1] = arrived + piece[1][:size], piece[1][size:]
            if not piece[1]:
                del self._pieces[0]
        return arrived


def request(
    method="GET", path="/lookup/1", *, request_id="r1", deadline=2000, body=b"", key=7
):
    """Returns the encoded request of a caller."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline}",
    ]
    if key is not None:
        lines.append(f"Shard-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def answer(
    status=200,
    *,
    request_id="r1",
    body=b"hello",
    signature="sig",
    extra="",
    length=None,
):
    """Returns the encoded answer of a server."""
    lines = [f"HTTP/1.1 {status} X", f"Request-Id: {request_id}"]
    if signature:
        lines.append(f"Response-Signature: {signature}")
    if extra:
        lines.append(extra)
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode() + body
