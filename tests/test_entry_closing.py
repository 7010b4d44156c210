"""Connections whose closing has been decided: nothing more begins on them."""

from __future__ import annotations

import itertools
import re

import pytest
from entry_fakes import World, answer, configuration, request, route
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer

LOOKUP = {"key": None, "deadline": 9000}
REFUSED = {**LOOKUP, "path": "/unknown/1"}
_REQUEST_ID = re.compile(rb"(?i)\r\nrequest-id: ([^\r]*)")


def started_world():
    world = World()
    routes = {"lookup": route("stock", timeout="1500ms")}
    services = {"stock": {"health_path": "/h", "max_conns": 110}}
    world.store.put("op/config", configuration(routes=routes, services=services))
    for number in (11, 12):
        world.add_server("stock", number, slots=40)
    world.node = world.add_node()
    world.advance(1.0)
    return world


@pytest.fixture
def world():
    return started_world()


class Servers:
    """Accepts the connections to servers and answers requests when asked to.

    :ivar received: identifiers of all requests that arrived.
    """

    def __init__(self, world):
        self.received = []
        self._world = world
        self._peers = []
        self._pending = []

    def step(self):
        while self._world.reactor.tcpClients:
            self._peers.append(self._world.accept()[0])
        for peer in self._peers:
            data = peer.take()
            if data:
                request_id = _REQUEST_ID.search(data)[1].decode()
                self.received.append(request_id)
                self._pending.append((peer, request_id))

    def answer_last(self):
        if self._pending:
            peer, request_id = self._pending.pop()
            if not peer.socket.aborted:
                peer.send(answer(request_id=request_id))


def close_after(data):
    """Returns an encoded request with which its caller closes the connection."""
    return data.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)


class TestRequestsBehindAClosingAnswer:
    """Guards against requests that are sent to a server, although the connection of
    their caller is closed before they can be answered.
    """

    def check_not_sent(self, world, caller):
        servers = Servers(world)
        servers.step()
        assert "behind" not in servers.received
        assert caller.socket.write_ended

    def test_refusal_during_a_stop(self, world):
        defer.ensureDeferred(world.node.stop())
        world.advance(0.1)
        caller = world.caller(world.node)
        behind = request(request_id="behind", **LOOKUP)
        caller.send(request(request_id="first", **REFUSED) + behind)
        assert b"connection: close" in caller.take().lower()
        self.check_not_sent(world, caller)

    def test_request_with_which_its_caller_closes(self, world):
        caller = world.caller(world.node)
        first = close_after(request(request_id="first", **REFUSED))
        caller.send(first + request(request_id="behind", **LOOKUP))
        self.check_not_sent(world, caller)

    def test_pending_request_with_which_its_caller_closes(self, world):
        caller = world.caller(world.node)
        caller.send(close_after(request(request_id="first", **LOOKUP)))
        caller.send(request(request_id="behind", **LOOKUP))
        servers = Servers(world)
        servers.step()
        servers.answer_last()
        assert servers.received == ["first"]
        self.check_not_sent(world, caller)

    def test_end_of_reading_during_a_stop(self, world):
        caller = world.caller(world.node)
        caller.send(request(request_id="first", **LOOKUP))
        defer.ensureDeferred(world.node.stop())
        servers = Servers(world)
        servers.step()
        world.advance(2.4)
        caller.send(request(request_id="behind", **LOOKUP))
        servers.step()
        assert servers.received == ["first"]

    def test_head_that_is_too_large(self, world):
        caller = world.caller(world.node)
        large = request(request_id="x" * 20_000, **LOOKUP)
        caller.send(large + request(request_id="behind", **LOOKUP))
        self.check_not_sent(world, caller)


class TestRequestsThatWereSentToServers:
    """Guards against any order of input, answers and a stop in which a server has begun
    a request and the caller gets no answer to it.
    """

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        kinds=st.lists(
            st.sampled_from(("lookup", "refused", "closing", "closing-refused")),
            min_size=2,
            max_size=8,
        ),
        cuts=st.lists(st.integers(0, 1500), max_size=8),
        stop_before=st.integers(0, 9),
        waits=st.lists(st.sampled_from((0, 0.01, 0.4, 1.0)), min_size=9, max_size=9),
        answers=st.lists(st.integers(0, 3), min_size=9, max_size=9),
    )
    def test_each_is_answered(self, kinds, cuts, stop_before, waits, answers):
        world = started_world()
        servers = Servers(world)
        caller = world.caller(world.node)
        data = b""
        for number, kind in enumerate(kinds):
            options = REFUSED if "refused" in kind else LOOKUP
            encoded = request(request_id=f"r{number}", **options)
            data += close_after(encoded) if "closing" in kind else encoded
        bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        received = b""
        for step, (begin, end) in enumerate(itertools.pairwise(bounds)):
            if step == stop_before:
                defer.ensureDeferred(world.node.stop())
            if not caller.socket.disconnecting:
                caller.send(data[begin:end])
            world.advance(waits[step], 0.05)
            servers.step()
            for _ in range(answers[step]):
                servers.answer_last()
            received += caller.take()
        for _ in range(len(kinds)):
            servers.step()
            servers.answer_last()
        received += caller.take()
        answered = {found.decode() for found in _REQUEST_ID.findall(received)}
        assert set(servers.received) <= answered
