"""Connections to the store over a link whose queue is longer than their timeout."""

from __future__ import annotations

import pytest
from entry_fakes import World
from twisted.internet import error
from twisted.python.failure import Failure

from briarspoke.entry.httpclient import (
    CONNECT_TIMEOUT_S,
    LATE_CONNECT_TIMEOUT_S,
    HttpClient,
)


@pytest.fixture
def world():
    world = World()
    world.node = world.add_node(start=False)
    return world


def client(world, *, keep_late):
    return HttpClient(
        reactor=world.reactor,
        clock=world.reactor.seconds,
        host="10.0.9.99",
        port=80,
        held_answers=world.node.held_answers,
        keep_late=keep_late,
    )


def probe(http, *, timeout_s=2.2):
    """Starts a call; returns a list that gets its answer."""
    answers = []
    http.call(b"GET", "/watch", timeout_s=timeout_s).addCallback(answers.append)
    return answers


class TestLateConnection:
    def test_it_serves_the_next_call(self, world):
        # Guards against a VM on a full link that gives up each connection to the store
        # just before it opens, and hears of no change until the link is free.
        http = client(world, keep_late=True)
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
        http = client(world, keep_late=True)
        probe(http, timeout_s=0.3)
        world.reactor.advance(0.9)
        server, _ = world.accept()
        assert server.take() == b""
        answers = probe(http)
        assert server.take().startswith(b"GET /watch")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert [a.status for a in answers] == [200]

    def test_the_attempt_ends_by_itself(self, world):
        # Guards against a connector that is left behind by each call in an outage.
        http = client(world, keep_late=True)
        for _ in range(3):
            probe(http)
            world.reactor.advance(CONNECT_TIMEOUT_S + 0.01)
        assert len(world.reactor.connectors) == 1
        factory, timeout_s = world.reactor.tcpClients[0][2:4]
        assert timeout_s == LATE_CONNECT_TIMEOUT_S
        factory.clientConnectionFailed(None, Failure(error.TimeoutError()))
        answers = probe(http)
        assert len(world.reactor.connectors) == 2
        assert answers == []

    def test_calls_to_servers_stop_their_attempt(self, world):
        # Guards against a grant that is written long after its call has ended.
        http = client(world, keep_late=False)
        probe(http, timeout_s=0.3)
        world.reactor.advance(0.31)
        probe(http)
        assert len(world.reactor.connectors) == 2
