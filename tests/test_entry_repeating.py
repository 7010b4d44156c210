"""Tests of calls that are sent again while they are unanswered."""

from __future__ import annotations

import random

import pytest
from entry_fakes import World

from briarspoke.entry import repeating

AFTER_S = 0.4
INTERVAL_S = 0.8
TIMEOUT_S = 3.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(random, "random", lambda: 0.5)
    world = World()
    world.node = world.add_node(start=False)
    return world


@pytest.fixture
def http(world):
    return world.http_client(keep_late=True)


def call(http, **options):
    """Starts a repeated call; returns a list that gets its answer."""
    answers = []
    deferred = http.call_repeatedly(
        b"GET",
        "/first",
        repeat_path="/again",
        repeat_s=(AFTER_S, INTERVAL_S),
        timeout_s=TIMEOUT_S,
        **options,
    )
    deferred.addBoth(answers.append)
    answers.append(deferred)
    return answers


def keep(world, http, count):
    """Leaves idle connections behind and returns their peers."""
    for _ in range(count):
        http.call(b"GET", "/kept", timeout_s=1.0)
    peers = [world.accept()[0] for _ in range(count)]
    for peer in peers:
        peer.take()
        peer.send(OK + b"ok")
    return peers


class TestCopies:
    """Guards against a call that waits for one silent connection after the other."""

    def test_copy_on_a_new_connection_answers(self, world, http):
        kept = keep(world, http, 3)
        _, *answers = answers_of = call(http)
        assert not answers
        world.reactor.advance(AFTER_S + 0.01)
        server, _ = world.accept()
        assert server.take().startswith(b"GET /again")
        server.send(OK + b"ab")
        answer = answers_of[-1]
        assert (answer.status, answer.is_repeated) == (200, True)
        assert all(peer.socket.aborted for peer in kept)

    def test_first_call_may_still_answer(self, world, http):
        answers = call(http)
        first, _ = world.accept()
        world.reactor.advance(AFTER_S + 0.01)
        copy, _ = world.accept()
        first.send(OK + b"ab")
        assert answers[-1].status == 200
        assert answers[-1].age_s == pytest.approx(AFTER_S + 0.01)
        assert copy.socket.aborted

    def test_answer_that_arrives_slowly_is_awaited(self, world, http):
        # Guards against a page of items that a slow link never carries to its end.
        answers = call(http)
        server, _ = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
        for _ in range(100):
            world.reactor.advance(TIMEOUT_S / 50)
            assert len(answers) == 1
            server.send(b"x")
        assert answers[-1].status == 200
        assert world.reactor.tcpClients == []

    def test_answer_that_stops_to_arrive_is_asked_for_again(self, world, http):
        answers = call(http)
        server, _ = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
        world.reactor.advance(repeating.MAX_SILENCE_S)
        assert world.reactor.tcpClients == []
        world.reactor.advance(repeating.MAX_SILENCE_S + 0.01)
        copy, _ = world.accept()
        copy.send(OK + b"ab")
        assert answers[-1].status == 200
        assert server.socket.aborted

    def test_silence_counts_from_the_last_byte(self, world, http):
        # Guards against a watch whose answer stops early in a long wait.
        http.call_repeatedly(
            b"GET",
            "/watch",
            repeat_path="/again",
            repeat_s=(1.9, INTERVAL_S),
            timeout_s=TIMEOUT_S,
        )
        server, _ = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
        for _ in range(round(2 * repeating.MAX_SILENCE_S / 0.05) + 3):
            world.reactor.advance(0.05)
        assert len(world.reactor.tcpClients) == 1

    def test_kept_connection_that_the_peer_has_closed(self, world, http):
        [kept] = keep(world, http, 1)
        answers = call(http)
        kept.reset()
        server, _ = world.accept()
        server.send(OK + b"ab")
        assert answers[-1].status == 200

    def test_copy_that_was_sent_may_have_been_executed(self, world, http):
        # Guards against a lease that is given up though it has just been renewed.
        [kept] = keep(world, http, 1)
        answers = call(http)
        kept.reset()
        world.refuse()
        assert (answers[-1].failure, answers[-1].sent) == ("refused", True)

    def test_refusal_ends_the_call(self, world, http):
        answers = call(http)
        world.refuse()
        assert (answers[-1].failure, answers[-1].sent) == ("refused", False)
        world.reactor.advance(TIMEOUT_S)
        assert world.reactor.tcpClients == []


class TestEnd:
    """Guards against copies and timers that are left behind."""

    def test_without_an_answer(self, world, http):
        timers = len(world.reactor.getDelayedCalls())
        answers = call(http)
        first, _ = world.accept()
        for _ in range(round(TIMEOUT_S / 0.05) + 1):
            world.reactor.advance(0.05)
        assert answers[-1].failure == "timeout"
        assert answers[-1].sent
        assert first.socket.aborted
        assert len(world.reactor.getDelayedCalls()) == timers
        copies = 1 + (TIMEOUT_S - AFTER_S) / INTERVAL_S
        assert len(world.reactor.tcpClients) <= copies

    def test_cancelled(self, world, http):
        timers = len(world.reactor.getDelayedCalls())
        answers = call(http)
        first, _ = world.accept()
        world.reactor.advance(AFTER_S + 0.01)
        answers[0].cancel()
        assert first.socket.aborted
        assert len(world.reactor.getDelayedCalls()) == timers

    def test_answer_that_never_ends(self, world, http):
        answers = call(http)
        server, _ = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        for _ in range(round((TIMEOUT_S + repeating.MAX_ARRIVAL_S) / 0.1) + 1):
            server.send(b"x")
            world.reactor.advance(0.1)
        assert answers[-1].failure == "timeout"


class TestClientForServers:
    """Guards against a grant that reaches another process on a new connection."""

    def test_kept_connections_stay(self, world, http):
        http.keep_late = False
        [kept] = keep(world, http, 1)
        http.drop_idle()
        assert not kept.socket.aborted
        assert http.idle_count == 1
