"""Second copies of slow requests at an entry VM with servers in memory."""

from __future__ import annotations

import pytest
from entry_fakes import CLOSED, World, answer, configuration, request, route
from hypothesis import given, settings
from hypothesis import strategies as st

NUMBERS = (11, 12, 13, 14)
SHARE = 0.2


def entry_world(*, share=SHARE, max_attempts=2, route_type="safe", sharded=False):
    """Returns a world with one service, whose entry VM knows its answer times."""
    world = World()
    lookup = route("stock", route_type=route_type, max_attempts=max_attempts)
    service = {"health_path": "/h", "max_conns": 110, "sharded": sharded}
    world.store.put(
        "op/config",
        configuration(routes={"lookup": lookup}, services={"stock": service}),
    )
    for number in NUMBERS:
        world.add_server("stock", number, slots=20)
    world.node = world.add_node()
    world.node.settings.hedge_share = share
    world.advance(3.0)
    world.dispatcher = world.node.dispatcher("stock")
    if not sharded:
        warm_up(world)
    return world


def warm_up(world, count=40):
    for number in range(count):
        caller = world.caller(world.node)
        caller.send(request(request_id=f"w{number}"))
        server, _ = accept_or_reuse(world)
        # Two of 40 are slow; they come before the answer times count as known.
        world.advance(0.08 if number in (5, 10) else 0.04)
        server.send(answer(request_id=f"w{number}"))
        assert caller.take().startswith(b"HTTP/1.1 200")
        # Each request opens a connection of its own.
        for known in world.dispatcher.servers.values():
            known.close()


def accept_or_reuse(world):
    assert world.reactor.tcpClients, "no request was sent"
    server, address = world.accept()
    server.take()
    return server, address


def hedged(world, *, request_id="r1", wait_s=0.15):
    """Sends a request that gets a copy; returns (caller, first, copy) and addresses."""
    caller = world.caller(world.node)
    caller.send(request(request_id=request_id))
    first, first_address = accept_or_reuse(world)
    world.advance(wait_s)
    copy, copy_address = accept_or_reuse(world)
    assert first_address != copy_address
    return caller, first, copy


def in_flight(world):
    return sum(server.in_flight for server in world.dispatcher.servers.values())


def counted(world, name, label):
    text = world.node.metrics.render()
    text = text[1] if isinstance(text, tuple) else text
    text = text.decode() if isinstance(text, bytes) else text
    for line in text.splitlines():
        if name in line and f'"{label}"' in line:
            return float(line.rsplit(" ", 1)[1])
    return 0.0


def status_of(data):
    return int(data.split(b" ", 2)[1])


def refusal(status=503):
    return answer(status, signature=None, extra="Not-Executed: 1")


class TestCopy:
    def test_copy_answers_first(self):
        # Guards against a slow server that decides how long the caller waits, and that
        # goes on working for nobody.
        world = entry_world()
        caller, first, copy = hedged(world)
        assert in_flight(world) == 2
        copy.send(answer(body=b"copy"))
        assert caller.take().endswith(b"copy")
        assert first.socket.aborted
        assert in_flight(world) == 0
        first.send(answer(body=b"first"))
        assert caller.take() == b""
        assert counted(world, "hedges_total", "won") == 1

    def test_first_answers_first(self):
        world = entry_world()
        caller, first, copy = hedged(world)
        first.send(answer(body=b"first"))
        assert caller.take().endswith(b"first")
        assert copy.socket.aborted
        assert in_flight(world) == 0
        assert counted(world, "hedges_total", "lost") == 1

    def test_fast_request_gets_none(self):
        world = entry_world()
        caller = world.caller(world.node)
        caller.send(request())
        first, _ = accept_or_reuse(world)
        world.advance(0.06)
        first.send(answer())
        world.advance(0.5)
        assert not world.reactor.tcpClients

    def test_one_copy_only(self):
        world = entry_world(max_attempts=4)
        hedged(world)
        world.advance(0.6)
        assert not world.reactor.tcpClients

    def test_abandoned_server_is_not_failing_but_slower(self):
        # Guards against a server that never answers and that keeps its good times, as
        # its requests are all answered by copies.
        world = entry_world()
        before = {n: s.latency_s for n, s in world.dispatcher.servers.items()}
        caller, _, copy = hedged(world)
        copy.send(answer())
        assert caller.take()
        slower = [
            s for n, s in world.dispatcher.servers.items() if s.latency_s > before[n]
        ]
        assert slower
        for server in world.dispatcher.servers.values():
            assert server.failures == 0 and server.loss_rate == 0

    def test_caller_that_leaves_ends_both(self):
        world = entry_world()
        caller, first, copy = hedged(world)
        caller.close()
        assert first.socket.aborted and copy.socket.aborted
        assert in_flight(world) == 0

    def test_time_limit_ends_both(self):
        world = entry_world()
        caller, first, copy = hedged(world)
        world.advance(1.0)
        assert status_of(caller.take()) == 504
        assert first.socket.aborted and copy.socket.aborted
        assert in_flight(world) == 0


class TestNoCopy:
    """Guards against copies of requests, and to servers, that must not get one."""

    def assert_none(self, world, **changes):
        caller = world.caller(world.node)
        caller.send(request(**changes))
        accept_or_reuse(world)
        world.advance(0.5)
        assert not world.reactor.tcpClients

    @pytest.mark.parametrize("route_type", ["unsafe", "upload"])
    def test_of_a_request_that_must_not_run_twice(self, route_type):
        world = entry_world(route_type=route_type)
        self.assert_none(world, method="POST", body=b"x")
        assert counted(world, "hedges_total", "sent") == 0

    def test_where_the_operator_allows_none(self):
        self.assert_none(entry_world(share=0.0))

    def test_of_a_request_with_an_owner(self):
        self.assert_none(entry_world(sharded=True))

    def test_beyond_the_attempts(self):
        self.assert_none(entry_world(max_attempts=1))

    def test_beyond_the_share(self):
        world = entry_world()
        for number in range(20):
            caller = world.caller(world.node)
            caller.send(request(request_id=f"r{number}"))
            accept_or_reuse(world)
        world.advance(0.3)
        # Of 40 answered and 20 slow requests at a fifth; three quarters of the retry
        # budget with its margin allow 7, the saved copies 4.
        assert 1 <= len(world.reactor.tcpClients) <= 4

    def test_to_a_cold_or_paused_server(self):
        world = entry_world()
        for number, server in enumerate(world.dispatcher.servers.values()):
            if number % 2:
                server.warmed_up_at = world.reactor.seconds() + 60
            else:
                server.pause(60)
        caller = world.caller(world.node)
        world.dispatcher.servers["s-11"].intake.end_pause()
        caller.send(request())
        accept_or_reuse(world)
        # The one cold server that is not paused may have got the request itself.
        for server in world.dispatcher.servers.values():
            if not server.in_flight:
                server.warmed_up_at = world.reactor.seconds() + 60
        world.advance(0.5)
        assert not world.reactor.tcpClients
        assert counted(world, "hedges_denied_total", "no-server") == 1

    def test_to_the_same_address(self):
        world = entry_world()
        for server in world.dispatcher.servers.values():
            server.record.host = "10.0.9.11"
        self.assert_none(world)

    def test_of_a_request_under_which_a_server_may_have_ended(self):
        world = entry_world(max_attempts=4)
        caller = world.caller(world.node)
        caller.send(request())
        first, _ = accept_or_reuse(world)
        world.advance(0.01)
        first.reset()
        accept_or_reuse(world)
        world.advance(0.02)
        sent = len(world.reactor.tcpClients)
        world.advance(0.4)
        # What is opened after the reset is the test whether the server still runs.
        probes = [c for c in world.reactor.tcpClients[sent:] if c[3] == 0.6]
        assert len(world.reactor.tcpClients[sent:]) == len(probes)
        assert counted(world, "hedges_total", "sent") == 0

    def test_while_the_process_stops(self):
        world = entry_world()
        caller = world.caller(world.node)
        caller.send(request())
        accept_or_reuse(world)
        world.node.stopping = True
        world.advance(0.3)
        assert not world.reactor.tcpClients
        assert counted(world, "hedges_denied_total", "stopping") == 1

    def test_after_a_server_was_full(self, caplog):
        caplog.set_level("INFO")
        world = entry_world()
        world.dispatcher.copies.record_rejection()
        self.assert_none(world)
        assert "hedging: suspended service=stock reason=rejected" in caplog.text
        world.advance(1.0)
        for caller in list(world.node.callers):
            caller.connectionLost(CLOSED)
        hedged(world, request_id="r2")
        assert "hedging: resumed service=stock reason=-" in caplog.text
        assert counted(world, "hedges_denied_total", "rejected") == 1


class TestOneAttemptFails:
    """Guards against a failure of one attempt that ends the other one."""

    FAILURES = (
        refusal(503),
        refusal(429),
        answer(421, signature=None, extra="Not-Executed: 1"),
        answer(408),
        answer(500),
        answer(200, signature=None),
        answer(404, signature=None),
        b"garbage\r\n\r\n",
        None,
    )

    @pytest.mark.parametrize("data", FAILURES)
    @pytest.mark.parametrize("fails_first", [0, 1])
    def test_the_other_one_answers(self, data, fails_first):
        world = entry_world()
        caller, *servers = hedged(world)
        failing, other = servers[fails_first], servers[1 - fails_first]
        if data is None:
            failing.reset()
        else:
            failing.send(data)
        assert caller.take() == b""
        assert not other.socket.aborted
        other.send(answer(body=b"good"))
        got = caller.take()
        assert status_of(got) == 200 and got.endswith(b"good")
        assert in_flight(world) == 0

    def test_connection_of_the_copy_is_refused(self):
        world = entry_world()
        caller = world.caller(world.node)
        caller.send(request())
        first, _ = accept_or_reuse(world)
        world.advance(0.15)
        world.refuse()
        assert caller.take() == b"" and in_flight(world) == 1
        first.send(answer())
        assert status_of(caller.take()) == 200

    def test_both_refuse(self):
        world = entry_world()
        caller, first, copy = hedged(world)
        first.send(refusal())
        copy.send(refusal())
        assert status_of(caller.take()) == 503

    @pytest.mark.parametrize("refuses", [0, 1])
    @pytest.mark.parametrize(
        "data", [refusal(), refusal(429), answer(429), answer(408), answer(503)]
    )
    def test_refusal_does_not_claim_what_the_other_one_may_have_done(
        self, refuses, data
    ):
        # Guards against "not run" while one of two attempts may have run.
        world = entry_world()
        caller, *servers = hedged(world)
        servers[1 - refuses].reset()
        servers[refuses].send(data)
        assert status_of(caller.take()) == 502

    def test_unsigned_answer_is_given_if_the_other_one_fails(self):
        world = entry_world()
        caller, first, copy = hedged(world)
        first.send(answer(404, signature=None))
        copy.reset()
        assert status_of(caller.take()) == 404

    def test_answer_breaks_off_between_both_answers(self):
        # Guards against part of one answer in front of the other one's.
        world = entry_world()
        caller, first, copy = hedged(world)
        copy.send(answer(body=b"copy")[:-2])
        assert caller.take() == b""
        copy.reset()
        assert caller.take() == b"" and in_flight(world) == 1
        first.send(answer(body=b"first"))
        got = caller.take()
        assert status_of(got) == 200 and got.endswith(b"\r\n\r\nfirst")
        assert in_flight(world) == 0

    def test_link_of_both_is_lost(self):
        world = entry_world()
        caller, first, copy = hedged(world)
        copy.send(answer(body=b"copy")[:-2])
        first.reset()
        copy.reset()
        assert status_of(caller.take()) == 502
        assert in_flight(world) == 0


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "send",
                "wait",
                "answer",
                "refuse",
                "misdirect",
                "reset",
                "error",
                "leave",
                "send slow",
                "accept",
                "connection refused",
                "pause",
                "part",
            ]
        ),
        st.integers(0, 30),
    ),
    max_size=60,
)


class TestAnyOrderOfEvents:
    """Guards against attempts that are counted twice or never, and against a caller
    that gets two answers or none.
    """

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_attempts_answers_and_limits_are_kept(self, events):
        world = entry_world(max_attempts=3)
        callers, servers, sent = [], [], 0
        for event, number in events:
            if event.startswith("send"):
                sent += 1
                caller = world.caller(world.node)
                caller.send(request(request_id=f"r{sent}"))
                callers.append(caller)
                if event == "send slow":
                    world.advance(0.12)
            elif event == "wait":
                world.advance(0.01 + 0.01 * number)
            elif event == "accept":
                while world.reactor.tcpClients:
                    servers.append(world.accept()[0])
            elif event == "connection refused":
                if world.reactor.tcpClients:
                    world.refuse()
            elif event == "leave":
                if callers and not callers[number % len(callers)].socket.aborted:
                    caller = callers.pop(number % len(callers))
                    caller.close()
            elif event == "pause":
                known = list(world.dispatcher.servers.values())
                known[number % len(known)].pause(0.2)
            elif servers:
                self._answer(servers, number, event)
            self._check(world, sent)
        for _ in range(30):
            world.advance(0.1)
            while world.reactor.tcpClients:
                servers.append(world.accept()[0])
        assert in_flight(world) == 0
        for caller in callers:
            assert caller.take().count(b"HTTP/1.1 ") == 1

    def _answer(self, servers, number, event):
        server = servers[number % len(servers)]
        # Connections that only test whether a server runs have no listener.
        if not getattr(server.protocol, "listener", None) or server.socket.aborted:
            return
        echo = server.protocol._echo_value.decode()
        replies = {
            "answer": answer(request_id=echo),
            "refuse": answer(503, request_id=echo, extra="Not-Executed: 1"),
            "misdirect": answer(421, request_id=echo, extra="Not-Executed: 1"),
            "error": answer(500, request_id=echo),
            "part": answer(request_id=echo)[:-3],
        }
        if event == "reset":
            server.reset()
        else:
            server.send(replies[event])

    def _check(self, world, sent):
        running = {}
        for caller in world.node.callers:
            for exchange in caller.exchanges:
                assert len(exchange.running) <= 2
                assert len({id(a.server) for a in exchange.running}) == len(
                    exchange.running
                )
                assert exchange.attempts <= 3
                for attempt in exchange.running:
                    running[id(attempt.server)] = running.get(id(attempt.server), 0) + 1
        for server in world.dispatcher.servers.values():
            assert server.in_flight == running.get(id(server), 0)
        copies = counted(world, "hedges_total", "sent")
        assert copies <= SHARE * (40 + sent)
