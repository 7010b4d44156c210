"""Bounds on arrivals at servers that leave: age of the news, and time on the link."""

from __future__ import annotations

import pytest
from entry_fakes import (
    SETTINGS,
    RelayNetwork,
    World,
    configuration,
    registration,
    request,
    route,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from briarspoke.entry.arrival import (
    FIRST_WINDOW_BYTES,
    MAX_QUEUE_S,
    ROUND_TRIP_S,
    OwnLink,
)
from briarspoke.entry.relays import Frame, _encode
from briarspoke.platform.keyvalue import Changes

DRAIN_S = 2.0
UPLOAD_BYTES = 360_000


class Fifo:
    """The network link itself: bytes leave in the order in which they were written."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    def write(self, now, size_bytes):
        """Writes bytes; returns the time at which the last one has left."""
        self.free_at = max(now, self.free_at) + size_bytes / self.bytes_per_s
        return self.free_at


class TestOwnLink:
    """Guards against a request that arrives after the bound on a narrow link."""

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(
        mbps=st.sampled_from([5, 10, 100]),
        writes=st.lists(
            st.tuples(st.floats(0.0, 0.4), st.integers(200, UPLOAD_BYTES)),
            max_size=30,
        ),
        slack_s=st.floats(0.0, 1.5),
        connects=st.booleans(),
    )
    def test_admitted_requests_arrive_in_time(self, mbps, writes, slack_s, connects):
        now = 10.0
        link = OwnLink(mbps=mbps, clock=lambda: now)
        fifo = Fifo(mbps)
        for pause_s, size_bytes in writes:
            now += pause_s
            if max(0.0, fifo.free_at - now) > MAX_QUEUE_S:
                # The operating system does not hold as much.
                continue
            expected = now + link.arrival_s(size_bytes, connects=connects)
            is_sent = expected < now + slack_s
            if not is_sent:
                continue
            bound = now + slack_s
            start = now + connects * ROUND_TRIP_S
            # Bytes of later requests do not delay earlier ones.
            arrived = fifo.write(start, size_bytes) + ROUND_TRIP_S / 2
            window, rounds = FIRST_WINDOW_BYTES, 0
            while window < size_bytes:
                window, rounds = 2 * window + FIRST_WINDOW_BYTES, rounds + 1
            assert arrived + rounds * ROUND_TRIP_S <= bound
            link.record_write(size_bytes)

    def test_small_requests_are_sent_until_shortly_before(self):
        # Guards against a margin that closes owners long before the bound.
        link = OwnLink(mbps=5, clock=lambda: 10.0)
        assert link.arrival_s(600, connects=True) < 0.25
        assert 0.7 < link.arrival_s(UPLOAD_BYTES, connects=True) < 1.2

    def test_queue_ends(self):
        now = 10.0
        link = OwnLink(mbps=5, clock=lambda: now)
        for _ in range(100):
            link.record_write(1_000_000)
        assert link.queue_s == MAX_QUEUE_S
        now += MAX_QUEUE_S
        assert link.queue_s == 0.0


class TestAgeOfNews:
    """Guards against a bound that counts from when a VM learned of a change."""

    @pytest.fixture
    def world(self):
        world = World()
        world.store.put("op/config", configuration())
        for number in (1, 2, 3, 4):
            world.add_node(f"front-poa-{number}", number)
        world.network = RelayNetwork(world)
        world.network.advance(8.0)
        assert [node.view.uses_relay for node in world.nodes] == [False] + 3 * [True]
        return world

    def test_change_is_never_younger_than_taken(self, world):
        seen = []
        for node in world.nodes:
            node.view.observe("op/x", self._observer(node, seen))
        age_s = []
        for number in range(40):
            world.store.put("op/x", b"%d" % number)
            acknowledged_at = world.reactor.seconds()
            world.network.advance(0.06 + 0.037 * number)
            for since, learned_at in seen:
                assert since <= acknowledged_at <= learned_at
                age_s.append(learned_at - since)
            seen.clear()
        assert len(age_s) > 100
        # The view of a zone with a relay is proven current every 0.8 s.
        assert max(age_s) <= 1.6

    def _observer(self, node, seen):
        def observe(key, item):
            seen.append((node.view.changes_since, node.now()))

        return observe

    def test_delayed_frame(self, world):
        # Guards against a follower that takes the time in which a frame was on its
        # way for no time at all.
        follower = world.nodes[1]
        world.advance(0.5)
        view, now = follower.view, world.reactor.seconds()
        changes = Changes(items=[], revision=view.revision, era=view.era)
        frame = Frame(changes=changes, whole=False, sent_at=now - 0.3)
        link = follower.relay_follower._link
        follower.relay_follower.frame_received(link, _encode(frame))
        assert view.proof_age_s() == pytest.approx(0.3, abs=0.01)

    def test_first_view_has_no_age(self, world):
        world.store.put("servers/s-9", registration("stock", 9, state="draining"))
        world.network.advance(3.0)
        node = world.add_node("front-gru-9", 9, zone="gru")
        world.network.advance(2.0)
        server = node.dispatcher("stock").servers["s-9"]
        assert not node.dispatcher("stock").selection.is_usable(server)


class TestDrainingOwner:
    """Guards against a request that reaches a leaving server after the bound."""

    @pytest.fixture
    def world(self, monkeypatch):
        monkeypatch.setitem(SETTINGS, "link_mbps", 5)
        world = World()
        routes = {"put": route("stock", prefix="/put/", route_type="upload")}
        world.store.put("op/config", configuration(routes=routes))
        world.add_server("stock", 11)
        world.node = world.add_node()
        world.advance(3.0)
        # Without a controller the owner keeps its keys.
        world.node.control._tick = lambda: None
        # Writes to the store end pauses of the view, as on a busy deployment.
        for sequence in range(5):
            world.store.put("servers/s-11", registration("stock", 11, seq=sequence))
            world.advance(0.3)
        return world

    def drain(self, world):
        draining = registration("stock", 11, state="draining", seq=9)
        world.store.put("servers/s-11", draining)
        return world.reactor.seconds()

    def upload(self, world, number, size_bytes):
        caller = world.caller(world.node)
        data = request(
            "POST", "/put/1", request_id=f"u{number}", body=b"x" * size_bytes
        )
        caller.send(data)
        return caller

    @pytest.mark.parametrize("size_bytes", [100, 60_000, UPLOAD_BYTES])
    def test_last_request_arrives_in_time(self, world, size_bytes):
        drained_at = self.drain(world)
        # What was written before the VM learned of it cannot be taken back.
        world.advance(0.45)
        assert world.node.dispatcher("stock").servers["s-11"].intake.is_leaving
        fifo = Fifo(5)
        written, arrived = [], []
        for number in range(60):
            self.upload(world, number, size_bytes)
            world.advance(0.02)
            while world.reactor.tcpClients:
                peer, _ = world.accept()
                data = peer.take()
                if data:
                    now = world.reactor.seconds()
                    written.append(now)
                    arrived.append(fifo.write(now, len(data)))
                peer.reset()
            world.advance(0.02)
        assert written
        assert max(arrived) <= drained_at + DRAIN_S

    def test_connection_that_is_ready_too_late(self, world):
        # Guards against a request that was checked before its connection was opened.
        self.drain(world)
        world.advance(0.5)
        server = world.node.dispatcher("stock").servers["s-11"]
        bound_at = server.intake.drain_until
        before_s = world.node.link.arrival_s(100, connects=True) + 0.03
        world.advance(bound_at - before_s - world.reactor.seconds())
        self.upload(world, 1, 100)
        assert len(world.reactor.tcpClients) == 1
        world.advance(0.2)
        peer, _ = world.accept()
        assert peer.take() == b""

    def test_server_that_is_gone(self, world):
        self.upload(world, 1, 100)
        world.store.delete("servers/s-11")
        world.advance(0.5)
        peer, _ = world.accept()
        assert peer.take() == b""
