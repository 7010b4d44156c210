from __future__ import annotations

import ast
import asyncio
import select
import socket
import struct
import time
from pathlib import Path

import pytest
from twisted.internet import error, protocol, tcp

from briarspoke import loop
from briarspoke.entry.connections import Connection
from briarspoke.entry.heldbytes import HeldBytes

PACKAGE = Path(loop.__file__).parent


class TestImports:
    def test_only_this_module_imports_the_reactor(self):
        # Guards against Twisted's default reactor, whose timers follow the wall clock.
        importing = {
            file.relative_to(PACKAGE).as_posix()
            for file in PACKAGE.rglob("*.py")
            for node in ast.walk(ast.parse(file.read_text()))
            if isinstance(node, ast.ImportFrom)
            and node.module == "twisted.internet"
            and any(name.name == "reactor" for name in node.names)
        }
        assert importing == {"loop.py"}


class TestReactor:
    @pytest.fixture
    def reactor(self):
        event_loop = asyncio.new_event_loop()
        yield loop._make_reactor(event_loop)
        event_loop.close()

    def test_step_of_the_wall_clock_fires_no_timer(self, reactor, monkeypatch):
        # Guards against timers that follow the wall clock: when it is set, renewals
        # would stop, or all leases would expire.
        fired = []
        reactor.callLater(3600, fired.append, True)
        now = time.time()
        monkeypatch.setattr(time, "time", lambda: now + 7200)
        reactor.runUntilCurrent()
        assert not fired

    def test_timer_is_not_set_for_less_than_a_millisecond(self, reactor):
        # Guards against uvloop rounding a delay to zero, which caused 1,800 wake-ups a
        # second without work on an idle node.
        reactor.callLater(0.0002, lambda: None)
        assert reactor.timeout() >= loop.TIMER_RESOLUTION_S


RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n"
# What epoll reports of a reset before the kernel has shut the reading side.
RESET_EVENTS = [select.EPOLLERR, select.EPOLLERR | select.EPOLLHUP, select.EPOLLHUP]


class Handler:
    """Does nothing with the connections of a test."""

    def connection_made(self, connection):
        pass

    def connection_lost(self, connection):
        pass

    def exchange_ended(self, connection):
        pass


@pytest.fixture
def epoll_reactor():
    reactor = loop._make_epoll_reactor()
    yield reactor
    for selectable in reactor.removeAll():
        selectable.connectionLost(None)


class Ends:
    """Connections of an epoll reactor whose peers the test controls."""

    def __init__(self, reactor):
        self._reactor = reactor

    def connect(self, carried):
        """Connects a protocol; returns its transport and the peer's socket."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            ours, _ = listener.accept()
        transport = tcp.Connection(ours, carried, self._reactor)
        transport.connected = 1
        carried.makeConnection(transport)
        transport.startReading()
        return transport, peer

    def exchange(self):
        """Sends a request; returns the transport, the peer and the list of answers."""
        held = HeldBytes(limit_bytes=1 << 20)
        carried = Connection(Handler(), held)
        transport, peer = self.connect(carried)
        answers = []
        carried.exchange(b"GET / HTTP/1.1\r\n\r\n", answers.append)
        peer.recv(1 << 16)
        return transport, peer, answers

    def report(self, transport, event):
        """Handles an event as if epoll had reported it."""
        fd = transport.fileno()
        self._reactor._doReadOrWrite(transport, fd, event)

    def read(self, transport, data):
        """Lets a connection read what its peer has sent."""
        assert select.select([transport.fileno()], [], [], 5.0)[0]
        self.report(transport, select.EPOLLIN)


def reset(peer):
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()


@pytest.fixture
def ends(epoll_reactor):
    return Ends(epoll_reactor)


class TestEndOfAConnection:
    """Guards against a part of an answer without a length that is passed on as the
    whole one, because a reset was taken for the end of the stream.
    """

    @pytest.mark.parametrize("event", RESET_EVENTS)
    @pytest.mark.parametrize("body", [b"", b"x", b"x" * 1_000])
    def test_reset_makes_no_answer(self, ends, event, body):
        transport, peer, answers = ends.exchange()
        peer.sendall(HEAD + body)
        ends.read(transport, HEAD + body)
        reset(peer)
        ends.report(transport, event)
        assert [answer.failure for answer in answers] == ["reset"]

    @pytest.mark.parametrize("event", RESET_EVENTS)
    def test_reset_behind_unread_data_makes_no_answer(self, ends, event):
        transport, peer, answers = ends.exchange()
        peer.sendall(HEAD + b"x" * 1_000)
        reset(peer)
        while not answers:
            ends.report(transport, event)
        assert [answer.failure for answer in answers] == ["reset"]

    @pytest.mark.parametrize("event", [select.EPOLLIN, *RESET_EVENTS])
    @pytest.mark.parametrize("body", [b"", b"x", b"x" * 1_000])
    def test_end_of_the_stream_completes_the_answer(self, ends, event, body):
        transport, peer, answers = ends.exchange()
        peer.sendall(HEAD + body)
        peer.shutdown(socket.SHUT_WR)
        while not answers:
            ends.report(transport, event)
        found = [(answer.status, bytes(answer.body)) for answer in answers]
        assert found == [(200, body)]
        peer.close()

    def test_event_without_an_end_ends_nothing(self, ends):
        transport, peer, answers = ends.exchange()
        ends.report(transport, select.EPOLLERR)
        assert not answers and transport.connected
        peer.sendall(HEAD)
        peer.close()
        while not answers:
            ends.report(transport, select.EPOLLIN)
        assert answers[0].status == 200

    def test_reason_of_a_reset(self, ends):
        class Reasons(protocol.Protocol):
            reason = None

            def connectionLost(self, reason):
                self.reason = reason

        reasons = Reasons()
        transport, peer = ends.connect(reasons)
        reset(peer)
        ends.report(transport, select.EPOLLERR | select.EPOLLHUP)
        assert reasons.reason.check(error.ConnectionLost)
