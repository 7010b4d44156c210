from __future__ import annotations

import contextlib
import random
import tracemalloc
import zlib

import pytest
from twisted.internet import task

from briarspoke.links import document_sync, messages, rejections
from briarspoke.links import hub as hub_module
from briarspoke.links import link as link_module
from briarspoke.links.hub import LinkHub
from briarspoke.links.messages import (
    DocumentUpdate,
    InForce,
    MalformedMessageError,
    Resign,
)
from briarspoke.links.rejections import LinkError
from briarspoke.membership.documents import Documents
from briarspoke.membership.members import Member, Members, Status
from briarspoke.metrics import Metrics

KEY = "a-cluster-key-for-tests"


class FakeTransport:
    """One end of an in-memory connection; each write is stored as one chunk."""

    def __init__(self):
        self.chunks = []
        self.closing = False

    def write(self, data):
        self.chunks.append(bytes(data))

    def loseConnection(self):
        self.closing = True

    def abortConnection(self):
        self.chunks.clear()
        self.closing = True

    def registerProducer(self, producer, streaming):
        self.producer = producer


class Wire:
    """Connects two links; chunks written at an end in :attr:`held_ends` stay there."""

    def __init__(self, *links):
        self.links = links
        self.lost = [False, False]
        self.held_ends = set()
        for link in links:
            link.makeConnection(FakeTransport())

    def pump(self):
        moved = False
        for end, other in ((0, 1), (1, 0)):
            transport = self.links[end].transport
            while transport.chunks and end not in self.held_ends:
                chunk = transport.chunks.pop(0)
                moved = True
                if not self.lost[other]:
                    self.links[other].dataReceived(chunk)
            if transport.closing and not transport.chunks and not self.lost[end]:
                for number in (end, other):
                    if not self.lost[number]:
                        self.lost[number] = True
                        self.links[number].connectionLost()
                moved = True
        return moved


class Network:
    """Hubs that share a fake clock, and the wires that connect them."""

    def __init__(self):
        self.clock = task.Clock()
        self.hubs = {}
        self.wires = []
        self.received = []

    def hub(self, name, key=KEY):
        me = Member(
            node_id=name,
            zone="z",
            link_address=f"127.0.0.1:{1000 + ord(name[0])}",
            forward_address="127.0.0.1:1",
            instance=name.encode().ljust(8),
        )
        hub = LinkHub(
            reactor=self.clock,
            clock=self.clock.seconds,
            metrics=Metrics(node_id=name),
            members=Members(me=me),
            documents=Documents(),
            cluster_key=key,
            listen="127.0.0.1:0",
            rng=random.Random(1),
        )
        for cls in (Resign, InForce):
            hub.on(cls, lambda node_id, m: self.received.append((name, node_id, m)))
        self.hubs[name] = hub
        return hub

    def connect(self, dialler, acceptor, pump=True):
        address = self.hubs[acceptor].members.me.link_address
        wire = Wire(self.hubs[dialler].new_link(address), self.hubs[acceptor].accept())
        self.wires.append(wire)
        if pump:
            self.pump()
        return wire

    def pump(self, seconds=0.0):
        self.clock.advance(seconds)
        while sum(wire.pump() for wire in self.wires):
            self.clock.advance(0)

    def count(self, name, code):
        return self.hubs[name].metrics.value("link_results_total", code.number)


@pytest.fixture
def network():
    return Network()


def in_force(version=1):
    return InForce(node_id="a", version=version)


class TestLinkHub:
    def test_messages_and_documents_reach_a_linked_node(self, network):
        # Guards against messages and documents that do not arrive.
        a, b = network.hub("a"), network.hub("b")
        network.connect("a", "b")
        assert a.send("b", in_force(7))
        a.documents.offer("config", 3, b"x" * 100_000)
        network.pump()
        assert network.received == [("b", "a", in_force(7))]
        assert b.documents.by_key["config"].content == b"x" * 100_000
        assert sorted(b.members.by_id) == ["a", "b"]

    def test_reaches_members_without_a_direct_link(self, network):
        # Guards against messages that are lost or duplicated when other members forward
        # them.
        for name in "abcd":
            network.hub(name)
        for pair in ("ab", "bc", "cd", "bd"):
            network.connect(*pair)
        network.hubs["a"].broadcast(in_force())
        assert network.hubs["a"].send("d", in_force(2))
        network.pump()
        assert sorted((to, m.version) for to, _, m in network.received) == [
            ("b", 1),
            ("c", 1),
            ("d", 1),
            ("d", 2),
        ]
        assert {origin for _, origin, _ in network.received} == {"a"}
        assert not network.hubs["a"].send("nobody", in_force())

    def test_late_joiner_receives_members_and_documents(self, network):
        # Guards against a restarted node that serves from an outdated document.
        a = network.hub("a")
        a.documents.offer("config", 9, b"new")
        network.hub("b")
        network.connect("a", "b")
        c = network.hub("c")
        synced = []
        c.when_synced(5.0).addCallback(synced.append)
        network.pump()
        assert synced == []
        network.connect("c", "b")
        assert synced == [True]
        assert c.documents.version("config") == 9
        assert sorted(c.members.by_id) == ["a", "b", "c"]

    def test_isolated_nodes_become_alive_after_reconnecting(self, network):
        # Guards against nodes that still see each other as down after a network
        # partition ends.
        a, b = network.hub("a"), network.hub("b")
        network.connect("a", "b").held_ends = {0, 1}
        seen = []
        a.observe_members(lambda member, before: seen.append(member.status))
        for _ in range(14):
            network.clock.advance(hub_module.TICK_S)
            a._tick()
            b._tick()
        assert a.members.by_id["b"].status is Status.DOWN
        assert b.members.by_id["a"].status is Status.DOWN
        network.wires[0].held_ends = set()
        network.pump()
        assert a.links_by_node == b.links_by_node == {}
        network.connect("a", "b")
        assert a.members.by_id["b"].status is Status.ALIVE
        assert b.members.by_id["a"].status is Status.ALIVE
        assert seen == [Status.SUSPECT, Status.DOWN, Status.ALIVE]

    @pytest.mark.parametrize("order", ["ab", "ba"])
    def test_both_sides_keep_the_same_of_two_links(self, network, order):
        # Guards against two nodes that dial each other at the same time and each close
        # the link that the other one keeps.
        a, b = network.hub("a"), network.hub("b")
        wires = {d: network.connect(d, "ba"[d == "b"], pump=False) for d in order}
        network.pump()
        assert a.links_by_node["b"] is wires["a"].links[0]
        assert b.links_by_node["a"] is wires["a"].links[1]
        assert wires["b"].lost == [True, True]

    def test_failing_handler_leaves_the_link_up(self, network):
        # Guards against an exception in one message handler that disconnects the node.
        network.hub("a")
        network.hub("b").on(InForce, lambda node_id, message: 1 / 0)
        network.connect("a", "b")
        network.hubs["a"].send("b", in_force())
        network.pump()
        assert network.count("b", rejections.HANDLER_FAILED) == 1
        assert network.hubs["a"].links_by_node["b"].is_ready

    def test_second_process_with_the_same_node_id_is_rejected(self, network):
        # Guards against a process that is started with a node id in use and takes over
        # the links of the first process.
        network.hub("a")
        network.hub("b")
        wire = network.connect("a", "b")
        duplicate = network.hub("a")
        duplicate.members.me.instance = b"another1"
        network.connect("a", "b")
        assert network.count("b", rejections.DUPLICATE_NODE) == 1
        assert not any(wire.lost)

    def test_link_to_own_address_is_rejected(self, network):
        # Guards against a node that dials its own address and treats itself as a peer.
        a = network.hub("a")
        network.connect("a", "a")
        assert a.links_by_node == {}
        assert network.count("a", rejections.TO_SELF) >= 1


def wrong_key(network):
    network.hub("x", key="another-cluster-key")
    network.connect("x", "a")


def other_version(network):
    network.hub("x")
    hello = network.hubs["x"].hello
    network.hubs["x"].hello = lambda: _with(hello(), version=2)
    network.connect("x", "a")


def _with(message, **values):
    for name, value in values.items():
        setattr(message, name, value)
    return message


def connect_x(network):
    network.hub("x")
    return network.connect("x", "a")


def tampered(network):
    wire = connect_x(network)
    wire.links[0].send(in_force())
    chunks = wire.links[0].transport.chunks
    chunks[-1] = chunks[-1][:-1] + bytes([chunks[-1][-1] ^ 1])
    network.pump()


def replayed(network):
    wire = connect_x(network)
    wire.links[0].send(in_force())
    chunks = wire.links[0].transport.chunks
    chunks.append(chunks[-1])
    network.pump()


def reordered(network):
    wire = connect_x(network)
    wire.links[0].send(in_force(1))
    wire.links[0].send(in_force(2))
    wire.links[0].transport.chunks.reverse()
    network.pump()


def reflected(network):
    wire = connect_x(network)
    wire.links[1].send(in_force())
    frame = wire.links[1].transport.chunks.pop()[2:]
    wire.links[0]._ws.send_binary(frame)
    wire.links[0]._flush()
    network.pump()


def oversized(network):
    connect_x(network).links[0].send_payload(bytes(link_module.MAX_FRAME_BYTES))
    network.pump()


def oversized_before_proof(network):
    network.hub("x").members.me.node_id = "x" * 5000
    network.connect("x", "a")


def malformed(network):
    connect_x(network).links[0].send_payload(b"\x82\x05")
    network.pump()


def out_of_bounds(network):
    connect_x(network).links[0].send(in_force(-1))
    network.pump()


def decompression_bomb(network):
    compressed = zlib.compress(bytes(50_000_000))
    message = DocumentUpdate(key="config", version=1, compressed=compressed)
    connect_x(network).links[0].send(message)
    network.pump()


def never_finishes(network):
    wire = Wire(network.hubs["a"].accept(), network.hubs["a"].accept())
    network.wires.append(wire)
    wire.held_ends = {0, 1}
    network.pump(link_module.HANDSHAKE_TIMEOUT_S + 0.1)
    wire.held_ends = set()
    network.pump()


def no_websocket(network):
    link = network.hubs["a"].accept()
    link.makeConnection(FakeTransport())
    link.dataReceived(b"GET / HTTP/1.0\r\n\r\n")


def never_reads(network):
    connect_x(network)
    link = network.hubs["a"].links_by_node["x"]
    link.pauseProducing()
    for _ in range(40):
        link.send_payload(bytes(60_000))
    network.pump()


FAULTS_AND_CODES = [
    (wrong_key, rejections.WRONG_KEY),
    (other_version, rejections.OTHER_VERSION),
    (tampered, rejections.BAD_MAC),
    (replayed, rejections.BAD_MAC),
    (reordered, rejections.BAD_MAC),
    (reflected, rejections.BAD_MAC),
    (oversized, rejections.OVERSIZED),
    (oversized_before_proof, rejections.OVERSIZED),
    (malformed, rejections.MALFORMED),
    (out_of_bounds, rejections.MALFORMED),
    (decompression_bomb, rejections.OVERSIZED),
    (never_finishes, rejections.HANDSHAKE_TIMEOUT),
    (no_websocket, rejections.BAD_HANDSHAKE),
    (never_reads, rejections.SLOW_PEER),
]


class TestRejections:
    @pytest.mark.parametrize(
        ("fault", "code"),
        FAULTS_AND_CODES,
        ids=[fault.__name__ for fault, _ in FAULTS_AND_CODES],
    )
    def test_closes_only_that_link(self, network, fault, code):
        # Guards against a faulty or hostile peer that is accepted, that is rejected
        # without a result code, or that affects the links to other nodes.
        a = network.hub("a")
        network.hub("b")
        good = network.connect("a", "b")
        fault(network)
        assert network.count("a", code) >= 1
        assert list(a.links_by_node) == ["b"]
        assert good.lost == [False, False]
        network.received.clear()
        network.hubs["b"].send("a", in_force(5))
        network.pump()
        assert network.received == [("a", "b", in_force(5))]
        assert "config" not in a.documents.by_key

    def test_unknown_type_is_ignored(self, network):
        # Guards against links that close during a rolling upgrade because a newer
        # release sends a message of an unknown type.
        network.hub("a")
        wire = connect_x(network)
        wire.links[0].send_payload(messages.cbor2.dumps([999, "new"]))
        wire.links[0].send(in_force())
        network.pump()
        assert network.count("a", rejections.UNKNOWN_TYPE) == 1
        assert network.received == [("a", "x", in_force())]

    def test_silent_link_is_closed(self, network):
        # Guards against a link to a frozen peer that stays open and prevents a new one.
        a = network.hub("a")
        connect_x(network).held_ends = {0, 1}
        for _ in range(13):
            network.clock.advance(hub_module.TICK_S)
            a._tick()
        assert network.count("a", rejections.SILENT) == 1

    def test_silent_link_to_a_reachable_node_is_closed(self, network):
        # Guards against a dead link that stays open because the peer, which others
        # still reach, refutes every suspicion.
        a = network.hub("a")
        connect_x(network).held_ends = {0, 1}
        for number in range(13):
            network.clock.advance(hub_module.TICK_S)
            a._tick()
            x = a.members.by_id["x"]
            if x.status is Status.SUSPECT:
                event = hub_module._update_of_member(x)
                event.incarnation, event.status = 50 + number, 0
                a._on_member_update("b", event)
        assert x.status is Status.ALIVE
        assert network.count("a", rejections.SILENT) == 1

    def test_decompression_is_bounded(self):
        # Guards against a small frame that exhausts the memory when it is decompressed.
        compressed = zlib.compress(bytes(200_000_000))
        tracemalloc.start()
        try:
            with pytest.raises(LinkError):
                document_sync.decompress(compressed)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < 10 * messages.MAX_CONTENT_BYTES

    def test_unauthenticated_links_are_limited(self, network):
        # Guards against connections that never authenticate and exhaust the memory.
        a = network.hub("a")
        links = [a.accept() for _ in range(hub_module.MAX_UNAUTHENTICATED + 1)]
        assert links[-1] is None
        assert network.count("a", rejections.TOO_MANY_LINKS) == 1


class TestMessages:
    def test_round_trip_of_every_class(self):
        # Guards against a message class that rejects its own encoding.
        samples = {
            messages.Uint: 3,
            messages.Seconds: 1.5,
            messages.Text: "t",
            messages.Address: "127.0.0.1:80",
            messages.MapOf: {"k": 4},
            messages.ListOf: [],
        }
        for cls in messages.classes_by_number.values():
            values = {
                name: bytes(field.minimum)
                if isinstance(field, messages.Bytes)
                else samples[type(field)]
                for name, field in cls.FIELDS.items()
            }
            assert messages.decode(messages.encode(cls(**values))) == cls(**values)

    @pytest.mark.parametrize(
        "value",
        [
            [19, "a", True],
            [19, "a", 2**70],
            [19, "a" * 300, 1],
            [19, "", 1],
            [19, "a"],
            [19, "a", 1, 1],
            [16, "z", 1, float("nan")],
            [16, "z", 1, float("inf")],
            [3, 1, 1, {1: 1}],
            {"a": 1},
            [],
            ["a"],
        ],
    )
    def test_invalid_values_are_rejected(self, value):
        # Guards against invalid values that reach a handler unchecked.
        with pytest.raises(MalformedMessageError):
            messages.decode(messages.cbor2.dumps(value))

    def test_random_bytes_raise_only_malformed_message_error(self):
        # Guards against input from the network that raises an unexpected exception.
        rng = random.Random(5)
        for _ in range(3000):
            with contextlib.suppress(MalformedMessageError):
                messages.decode(b"\x83" + rng.randbytes(rng.randrange(30)))
