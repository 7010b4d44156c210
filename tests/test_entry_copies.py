"""Second copies together with load reports, shares, draining and lost connections."""

from __future__ import annotations

import pytest
from entry_fakes import answer, registration, request
from test_entry_hedging import (
    accept_or_reuse,
    counted,
    entry_world,
    hedged,
    in_flight,
    status_of,
)

from briarspoke.entry.connections import Answer
from briarspoke.entry.sharenews import ShareNews
from briarspoke.platform.load import Load


def report(world, **load):
    """Records the same load as the latest report of each server."""
    for server in world.dispatcher.servers.values():
        server.load.record(Load(slots=20, **load), world.reactor.seconds())


def send(world):
    caller = world.caller(world.node)
    caller.send(request())
    first, _ = accept_or_reuse(world)
    return caller, first


class TestReportedLoad:
    """Guards against copies that ignore what servers say about their load."""

    def test_slow_machine_gets_less_time(self):
        world = entry_world()
        report(world, running=1, waiting=0, percent=1000)
        send(world)
        world.advance(0.06)
        assert len(world.reactor.tcpClients) == 1

    def test_usual_machine_gets_the_usual_time(self):
        world = entry_world()
        report(world, running=1, waiting=0)
        send(world)
        world.advance(0.06)
        assert not world.reactor.tcpClients

    def test_no_copy_to_servers_without_free_capacity(self):
        world = entry_world()
        report(world, running=15, waiting=0)
        send(world)
        world.advance(0.5)
        assert not world.reactor.tcpClients
        assert counted(world, "hedges_denied_total", "busy") == 1

    def test_one_false_report_does_not_suspend_copies(self):
        world = entry_world()
        report(world, running=1, waiting=0)
        server = world.dispatcher.servers["s-14"]
        load = Load(running=10_000, waiting=10_000, slots=1)
        server.load.record(load, world.reactor.seconds())
        hedged(world)


class TestShareOfCapacity:
    def test_no_copy_where_a_small_share_is_in_use(self, monkeypatch):
        # Guards against copies of a VM with little demand while the others need more
        # than there is: against the equal share it looks idle.
        world = entry_world()
        monkeypatch.setattr(ShareNews, "share", lambda *args: 0.0005)
        world.dispatcher.selection.update_share()
        send(world)
        world.advance(0.5)
        assert not world.reactor.tcpClients
        assert counted(world, "hedges_denied_total", "busy") == 1


class TestCopyIsNotSent:
    """Guards against a copy that has reached no server and decides the result."""

    def begin(self, world):
        """Returns the caller, the first server and the attempt that is the copy."""
        caller, first = send(world)
        world.advance(0.15)
        (exchange,) = next(c.exchanges for c in world.node.callers if c.exchanges)
        assert [attempt.is_copy for attempt in exchange.running] == [False, True]
        return caller, first, exchange.running[1]

    def assert_only_first_runs(self, world, copy):
        assert in_flight(world) == 1
        assert not copy.server.room.has_key(None)
        assert copy.exchange.attempts == 1
        assert copy.server not in copy.exchange.tried

    def test_its_server_begins_to_leave(self):
        world = entry_world()
        caller, first, copy = self.begin(world)
        number = int(copy.server.record.server_id[2:])
        value = registration("stock", number, slots=20, state="draining", seq=2)
        world.store.put(f"servers/s-{number}", value)
        world.advance(0.1)
        if world.reactor.tcpClients:
            connection, _ = world.accept()
            assert connection.take() == b""
        self.assert_only_first_runs(world, copy)
        first.send(answer())
        assert status_of(caller.take()) == 200
        assert in_flight(world) == 0

    @pytest.mark.parametrize("first_fails", [False, True])
    def test_kept_connection_is_lost(self, first_fails):
        world = entry_world()
        caller, first, copy = self.begin(world)
        world.reactor.tcpClients.clear()
        copy.upstream_request.abandon()
        copy.handle_answer(Answer(failure="reset", sent=False))
        self.assert_only_first_runs(world, copy)
        assert counted(world, "attempts_total", "unsent") == 1
        if first_fails:
            first.reset()
            first, _ = accept_or_reuse(world)
        first.send(answer())
        assert status_of(caller.take()) == 200
        assert in_flight(world) == 0
        for server in world.dispatcher.servers.values():
            assert not server.room.has_key(None)

    def test_neither_attempt_is_connected_until_the_time_limit(self):
        # Guards against 504 for a request that has reached no server.
        world = entry_world()
        caller = world.caller(world.node)
        caller.send(request())
        for _ in range(120):
            world.advance(0.01)
        assert status_of(caller.take()) == 503
        assert in_flight(world) == 0
