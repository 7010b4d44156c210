"""Requests in flight at owners of keys, and choice of servers by reported load."""

from __future__ import annotations

import json
import re
from types import SimpleNamespace

import pytest
from entry_fakes import World, answer, configuration, request
from hypothesis import given
from hypothesis import strategies as st

from briarspoke.entry import room
from briarspoke.entry.serverload import (
    MAX_AGE_S,
    LoadLevel,
    ServerLoad,
    expected_done_s,
)
from briarspoke.keyspace.allowance import Admission
from briarspoke.platform.load import MAX_COUNT, Load, decode_load
from briarspoke.platform.values import DecodeError

# Keys of the same owner.
KEYS = (7, 8, 9, 10, 11)
VMS = 34
IDLE = "Server-Load: 1,0,4"
UNUSABLE = [b"", b"1", b"1,2", b"1,2,0", b"-1,0,4", b"1,0,4,0", b"1,0,4,5,6", b"a,0,4"]


@pytest.fixture
def world():
    """A VM of 34, and an owner of keys with 4 slots."""
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(3.0)
    body = {"zone": "cwb", "ip": "10.0.3.1", "port": 9000, "link_mbps": 10}
    for number in range(VMS - 1):
        world.store.put(f"briarspoke/nodes/far-{number}", json.dumps(body).encode())
    world.advance(0.5)
    assert world.node.node_count == VMS
    return world


def send(world, key, number):
    caller = world.caller(world.node)
    caller.send(request(key=key, request_id=f"q{number}"))
    return caller


def serve(world, *, key=7, number=0, extra=IDLE, status=200, seconds=0.05):
    """Sends a request and answers it after some seconds, on a connection of its own."""
    caller = send(world, key, number)
    server, _ = world.accept()
    world.advance(seconds)
    extra = f"{extra}\r\nConnection: close" if extra else "Connection: close"
    server.send(answer(status, request_id=f"q{number}", extra=extra))
    return caller


def sent_at_once(world, keys):
    """Sends a request for each key; returns how many reach the owner at once."""
    for number, key in enumerate(keys):
        send(world, key, 100 + number)
    return len(world.reactor.tcpClients)


class TestDecodedLoad:
    @pytest.mark.parametrize(
        ("value", "numbers"),
        [
            (b"3,0,8", (3, 0, 8, 100)),
            (b" 3, 2,8 ,150", (3, 2, 8, 150)),
            (b"9" * 500 + b",0,8", (MAX_COUNT, 0, 8, 100)),
        ],
    )
    def test_usable(self, value, numbers):
        load = decode_load([(b"server-load", value)])
        assert (load.running, load.waiting, load.slots, load.percent) == numbers

    @pytest.mark.parametrize("value", UNUSABLE)
    def test_unusable(self, value):
        with pytest.raises(DecodeError):
            decode_load([(b"server-load", value)])

    def test_several_values(self):
        with pytest.raises(DecodeError):
            decode_load([(b"server-load", b"1,0,4"), (b"server-load", b"2,0,4")])

    @given(value=st.binary(max_size=20))
    def test_any_bytes(self, value):
        try:
            load = decode_load([(b"server-load", value)])
        except DecodeError:
            return
        assert load.slots >= 1
        assert load.percent >= 1

    def test_unusable_values_are_counted_and_logged_once(self, world, caplog):
        for number in range(3):
            serve(world, number=number, extra="Server-Load: none")
        assert caplog.text.count("load not usable") == 1
        assert b'loads_not_usable_total{node="front-poa-1",service="stock"} 3' in (
            world.node.metrics.render()
        )


class TestOwnerWithRoom:
    def test_another_key_does_not_wait_for_a_request_of_the_same_vm(self, world):
        # Guards against a request in ten that waits for another one of its own VM at
        # an owner that uses a quarter of its slots.
        serve(world)
        assert sent_at_once(world, KEYS) == room.MAX_AT_FREE_OWNER

    def test_without_news_the_share_is_equal(self, world):
        serve(world, extra="")
        assert sent_at_once(world, KEYS) == 1

    def test_old_news_is_not_used(self, world):
        serve(world)
        world.advance(MAX_AGE_S + 0.1)
        assert sent_at_once(world, KEYS) == 1

    def test_a_sudden_hot_key_gets_the_equal_share(self, world):
        # Guards against an owner that gets several requests of each of 34 VMs before
        # any of them can know that a key has become hot.
        serve(world, extra="Server-Load: 2,0,4")
        assert sent_at_once(world, [7] * 5) == 1

    def test_a_request_for_the_same_key_does_not_hold_up_others(self, world):
        serve(world, extra="Server-Load: 2,0,4")
        assert sent_at_once(world, [7, 7, 8]) == 2

    def test_requests_for_the_same_key_follow_each_other(self, world):
        serve(world, extra="Server-Load: 2,0,4")
        assert sent_at_once(world, [7, 7, 7]) == 1
        for _ in range(2):
            server, _ = world.accept()
            request_id = re.search(rb"(?i)request-id: (\S+)", server.take())[1].decode()
            server.send(answer(request_id=request_id, extra="Connection: close"))
            assert len(world.reactor.tcpClients) == 1

    def test_few_vms_keep_their_limit(self):
        world = World()
        world.store.put("op/config", configuration())
        world.add_server("stock", 11)
        world.node = world.add_node()
        world.advance(3.0)
        server = world.node.dispatcher("stock").servers["s-11"]
        serve(world)
        assert server.load.current(world.node.now()) is not None
        selection = world.node.dispatcher("stock").selection
        assert selection.in_flight_limit(server) == 8
        assert selection.owner_limits.limit(server)[1] == room.FEW_VMS


class TestOwnerThatLacksRoom:
    def reason(self, world):
        dispatcher = world.node.dispatcher("stock")
        limit, reason = dispatcher.selection.owner_limits.limit(
            dispatcher.servers["s-11"]
        )
        assert limit == 1
        return reason

    def check_closed_for(self, world, reason, seconds):
        """Checks that the limit is the equal share for some seconds, then more."""
        world.advance(0.1)
        assert self.reason(world) == reason
        world.advance(seconds - 0.3)
        serve(world, number=50)
        assert self.reason(world) == reason
        world.advance(0.3)
        serve(world, number=51)
        dispatcher = world.node.dispatcher("stock")
        assert dispatcher.selection.in_flight_limit(dispatcher.servers["s-11"]) > 1

    def test_requests_wait_at_the_server(self, world):
        serve(world, extra="Server-Load: 4,1,4")
        self.check_closed_for(world, room.QUEUE, room.CLOSED_S)

    def test_all_slots_are_taken(self, world):
        serve(world, extra="Server-Load: 4,0,4")
        assert self.reason(world) == room.FULL

    def test_rejection(self, world):
        serve(world)
        serve(world, number=1, status=503, extra="Not-Executed: 1\r\n" + IDLE)
        world.advance(0.1)
        retry, _ = world.accept()
        retry.send(answer(request_id="q1", extra=f"{IDLE}\r\nConnection: close"))
        self.check_closed_for(world, room.REJECTED, room.CLOSED_S)

    def test_timeout(self, world):
        serve(world)
        send(world, 7, 1)
        world.accept()
        world.advance(1.01)
        serve(world, number=2)
        assert self.reason(world) == room.LOST

    def test_a_request_that_is_overdue_closes_before_its_timeout(self, world):
        # Guards against further requests to a server that hangs.
        for number in range(20):
            serve(world, number=number)
        send(world, 7, 30)
        world.accept()
        world.advance(0.5)
        assert self.reason(world) == room.OVERDUE

    def test_a_caller_that_gives_up_on_a_server_that_hangs(self, world):
        for number in range(20):
            serve(world, number=number)
        caller = send(world, 7, 30)
        world.accept()
        world.advance(0.5)
        caller.close()
        serve(world, number=31)
        assert self.reason(world) == room.OVERDUE

    def test_slow_answers(self, world):
        for number in range(4):
            serve(world, number=number)
        for number in range(2):
            serve(world, number=10 + number, seconds=0.12)
        assert self.reason(world) == room.SLOW

    def test_rate_limit_keeps_the_equal_share(self, world):
        serve(world, extra=f"{IDLE}\r\nServer-Limit: 4")
        assert self.reason(world) == room.RATE_LIMITED

    def test_limited_keys_have_their_own_limit(self, world):
        serve(world)
        world.node.announce_allowances(
            "stock", Admission(by_key={7: 0.5}, by_server={})
        )
        dispatcher = world.node.dispatcher("stock")
        owner_limits = dispatcher.selection.owner_limits
        assert owner_limits.limit(dispatcher.servers["s-11"]) == (2, room.KEYS_LIMITED)

    def test_reasons_are_on_the_metrics_page(self, world):
        serve(world)
        page = world.node.metrics.render()
        assert b'owner_limits{node="front-poa-1",reason="free"} 1' in page
        assert b'owner_limits{node="front-poa-1",reason="rejected"} 0' in page


class TestUnansweredConnection:
    @pytest.mark.parametrize("gives_up", [False, True])
    def test_is_never_used_again(self, world, gives_up):
        # Guards against a request on a connection on which a server, after one that it
        # could not queue, answers nothing any more.
        send(world, 7, 1)
        server, _ = world.accept()
        server.take()
        server.send(answer(request_id="q1"))
        caller = send(world, 7, 2)
        assert server.take()
        if gives_up:
            caller.close()
        else:
            world.advance(1.1)
        assert server.socket.aborted
        world.advance(0.5)
        send(world, 7, 3)
        world.advance(0.1)
        assert not server.take()
        assert len(world.reactor.tcpClients) == 1


def server_of(*, latency_s=0.4, in_flight=0, load=None, age_s=0.0, sent_since=0):
    server = SimpleNamespace(
        in_flight=in_flight, load=ServerLoad(), expected_s=lambda now: latency_s
    )
    if load is not None:
        server.load.record(load, 10.0 - age_s)
    for _ in range(sent_since):
        server.load.request_sent()
    return server


def done_s(*, usual=0.5, **options):
    return expected_done_s(server_of(**options), 10.0, usual)


class TestExpectedDone:
    @given(
        latency_s=st.floats(0.001, 10.0),
        in_flight=st.integers(0, 20),
        age_s=st.floats(MAX_AGE_S * 1.001, 100.0),
    )
    def test_without_a_usable_report_only_own_requests_count(
        self, latency_s, in_flight, age_s
    ):
        # Guards against other choices in deployments whose servers report nothing.
        own_s = latency_s * (1 + in_flight)
        plain = server_of(latency_s=latency_s, in_flight=in_flight)
        assert expected_done_s(plain, 10.0, 0.5) == own_s
        assert expected_done_s(plain, 10.0, None) == own_s
        load = Load(running=9, waiting=9, slots=1)
        assert own_s == done_s(
            latency_s=latency_s, in_flight=in_flight, load=load, age_s=age_s
        )

    @given(
        running=st.integers(0, 30),
        waiting=st.integers(0, 30),
        slots=st.integers(1, 30),
        percent=st.integers(1, MAX_COUNT),
        age_s=st.floats(0.0, MAX_AGE_S),
        in_flight=st.integers(0, 10),
    )
    def test_more_requests_never_make_a_server_look_better(
        self, running, waiting, slots, percent, age_s, in_flight
    ):
        def score(more_running, more_sent):
            load = Load(
                running=running + more_running,
                waiting=waiting,
                slots=slots,
                percent=percent,
            )
            return done_s(
                load=load, age_s=age_s, in_flight=in_flight, sent_since=more_sent
            )

        assert 0 < score(0, 0) <= score(1, 0)
        assert score(0, 0) <= score(0, 1)

    def test_idle_server_before_one_that_other_vms_have_filled(self):
        full = Load(running=6, waiting=3, slots=6)
        idle = Load(running=0, waiting=0, slots=6)
        assert done_s(load=idle) < done_s() < done_s(load=full)
        assert done_s(load=full) > 2 * done_s(load=idle)

    def test_usually_loaded_server_counts_like_one_without_a_report(self):
        # Guards against requests to another zone for a server that is as idle as all.
        level = LoadLevel()
        idle = Load(running=1, waiting=0, slots=6)
        level.record(idle)
        assert done_s(load=idle, usual=level.usual) == pytest.approx(done_s())

    def test_own_requests_since_the_report_count(self):
        idle = Load(running=0, waiting=0, slots=6)
        scores = [done_s(load=idle, sent_since=count) for count in range(10)]
        assert scores == sorted(set(scores))

    def test_speed_of_the_machine_counts_while_it_is_new(self):
        slow = Load(running=1, waiting=0, slots=6, percent=300)
        usual = Load(running=1, waiting=0, slots=6)
        assert done_s(load=slow) == pytest.approx(3 * done_s(load=usual))
        assert done_s(load=slow, age_s=0.5) == done_s(load=usual, age_s=0.5)

    def test_server_that_reports_too_little_is_measured(self):
        # Guards against a server that attracts requests with a false report.
        false = Load(running=0, waiting=0, slots=1000, percent=1)
        assert done_s(load=false, latency_s=4.0) > done_s()
        assert done_s(load=false, latency_s=0.4, in_flight=3) > 0

    def test_server_that_reports_too_much_is_tried_again(self):
        false = Load(running=MAX_COUNT, waiting=MAX_COUNT, slots=1, percent=MAX_COUNT)
        assert done_s(load=false, age_s=MAX_AGE_S + 0.01) == done_s()
