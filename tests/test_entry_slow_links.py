"""Connections to the store over a link whose queue is longer than their timeout."""

from __future__ import annotations

import pytest
from entry_fakes import World
from twisted.internet import error
from twisted.python.failure import Failure

from briarspoke.entry.httpclient import (
    CONNECT_TIMEOUT_S,
    LATE_CONNECT_TIMEOUT_S,
    MAX_ATTEMPT_AGE_S,
    MAX_LATE_ATTEMPTS,
)


@pytest.fixture
def world():
    world = World()
    world.node = world.add_node(start=False)
    return world


def probe(http, *, timeout_s=2.2):
    """Starts a call; returns a list that gets its answer."""
    answers = []
    http.call(b"GET", "/watch", timeout_s=timeout_s).addCallback(answers.append)
    return answers


def answer(server):
    """Answers the call that has arrived at a server."""
    assert server.take().startswith(b"GET /watch")
    server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class TestLateConnection:
    def test_it_serves_the_next_call(self, world):
        # Guards against a VM on a full link that gives up each connection to the store
        # just before it opens, and hears of no change until the link is free.
        http = world.http_client(keep_late=True)
        first = probe(http)
        world.reactor.advance(CONNECT_TIMEOUT_S + 0.01)
        assert [(a.failure, a.sent) for a in first] == [("connect", False)]
        second = probe(http)
        assert len(world.reactor.connectors) == 1
        world.reactor.advance(0.4)
        server, _ = world.accept()
        assert server.take().startswith(b"GET /watch")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert [a.status for a in second] == [200]

    def test_it_is_kept_idle_between_calls(self, world):
        http = world.http_client(keep_late=True)
        probe(http, timeout_s=0.3)
        world.reactor.advance(0.9)
        server, _ = world.accept()
        assert server.take() == b""
        answers = probe(http)
        assert server.take().startswith(b"GET /watch")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert [a.status for a in answers] == [200]

    def test_an_attempt_in_an_outage_ends_by_itself(self, world):
        # Guards against a connector that is left behind by each call in an outage.
        http = world.http_client(keep_late=True)
        for _ in range(3 * MAX_LATE_ATTEMPTS):
            probe(http)
            world.reactor.advance(CONNECT_TIMEOUT_S + 0.01)
            attempts = [c for c in world.reactor.connectors if not c._disconnected]
            assert len(attempts) <= MAX_LATE_ATTEMPTS
        assert {client[3] for client in world.reactor.tcpClients} == {
            LATE_CONNECT_TIMEOUT_S
        }
        count = len(world.reactor.connectors)
        for _, _, factory, *_ in world.reactor.tcpClients:
            factory.clientConnectionFailed(None, Failure(error.TimeoutError()))
        answers = probe(http)
        assert len(world.reactor.connectors) == count + 1
        assert answers == []

    def test_a_lost_first_packet_delays_no_call(self, world):
        # Guards against a call that waits until TCP sends the packet of another again.
        http = world.http_client(keep_late=True)
        first = probe(http)
        world.reactor.advance(MAX_ATTEMPT_AGE_S + 0.01)
        second = probe(http)
        assert len(world.reactor.connectors) == 2
        answer(world.accept_newest())
        assert [a.status for a in second] == [200]
        assert [(a.failure, a.sent) for a in first] == [("connect", False)]

    def test_first_open_connection_serves_the_oldest_call(self, world):
        http = world.http_client(keep_late=True)
        first, second = probe(http), probe(http)
        answer(world.accept_newest())
        assert [a.status for a in first] == [200]
        assert second == []
        server, _ = world.accept()
        answer(server)
        assert [a.status for a in second] == [200]

    def test_calls_to_servers_stop_their_attempt(self, world):
        # Guards against a grant that is written long after its call has ended.
        http = world.http_client(keep_late=False)
        probe(http, timeout_s=0.3)
        world.reactor.advance(0.31)
        probe(http)
        assert len(world.reactor.connectors) == 2
