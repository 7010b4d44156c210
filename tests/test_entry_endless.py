"""Bytes without end, from servers and callers, and limits on held bodies."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path

import memory_probe
import pytest
from entry_fakes import ServerSocket, World, answer, configuration, request
from test_entry_requests import ORDER, status_of
from twisted.internet.testing import StringTransport

from briarspoke.entry import status
from briarspoke.entry.arriving import BLOCK_BYTES, ArrivingBody
from briarspoke.entry.heldbytes import HeldBytes

MB = 1 << 20
PROBE = Path(memory_probe.__file__)
# Bytes that a peer may send before its connection is closed, in the tests of endless
# heads.
MOST_FRAMING_BYTES = 256 << 10


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("orders", 21)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def send_until_closed(peer, data, most_bytes):
    """Sends data again and again until the other side closes; returns the bytes."""
    sent = 0
    while not peer.socket.aborted and not peer.socket.write_ended:
        assert sent < most_bytes, f"not closed after {sent} bytes"
        peer.send(data)
        sent += len(data)
    return sent


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ("begin", "rest"),
        [
            (b"HTTP/1.1 200 ", b"x" * 4096),
            (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4096),
            (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 1000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
                b"x" * 4096,
            ),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
                b"x" * 4096,
            ),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"2\r\nxx\r\n" * 600,
            ),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                b"X: y\r\n" * 1000,
            ),
        ],
        ids=[
            "reason",
            "line",
            "lines",
            "interim",
            "extension",
            "trailer",
            "small-chunks",
            "trailers",
        ],
    )
    def test_head_without_end_is_cut_off(self, world, begin, rest):
        # Guards against a process that fills its memory with what is no answer.
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        server.send(begin)
        send_until_closed(server, rest, MOST_FRAMING_BYTES)
        assert status_of(caller.take()) == 502

    @pytest.mark.parametrize(
        "begin",
        [
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n",
        ],
        ids=["until-close", "chunked", "answer-to-another-request"],
    )
    def test_body_without_end_is_cut_off(self, world, begin):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        server.send(begin)
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        send_until_closed(server, chunk, 80 * MB)
        assert status_of(caller.take()) == 502
        assert world.node.held_answers.total_bytes == 0

    def test_twenty_endless_bodies_stay_within_the_limit(self, world):
        # Guards against a limit per answer that many connections exceed together.
        callers, servers = [], []
        for number in range(20):
            caller = world.caller(world.node)
            caller.send(request(**{**ORDER, "request_id": f"r{number}"}))
            callers.append(caller)
        while world.reactor.tcpClients:
            server, _ = world.accept()
            server.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            servers.append(server)
        assert len(servers) >= 8
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        held = world.node.held_answers
        for _ in range(2000):
            if all(server.socket.aborted for server in servers):
                break
            for server in servers:
                if not server.socket.aborted:
                    server.send(chunk)
                    assert held.total_bytes <= held.limit_bytes + len(chunk)
        assert all(server.socket.aborted for server in servers)
        assert held.total_bytes == 0

    def test_small_answers_pass_while_another_has_no_end(self, world):
        endless = world.caller(world.node)
        endless.send(request(**{**ORDER, "request_id": "endless"}))
        server, _ = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        for number in range(600):
            if not server.socket.aborted:
                server.send(chunk)
            caller = world.caller(world.node)
            caller.send(request(**{**ORDER, "request_id": f"r{number}"}))
            peer, _ = world.accept()
            peer.send(answer(request_id=f"r{number}", extra="Connection: close"))
            assert status_of(caller.take()) == 200
        assert server.socket.aborted


class TestEndlessRequests:
    @pytest.mark.parametrize(
        ("begin", "rest"),
        [
            (b"", b"x" * 4096),
            (b"GET /", b"x" * 4096),
            (b"POST /order/1 HTTP/1.1\r\nX: ", b"x" * 4096),
            (
                b"POST /order/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
                b"x" * 4096,
            ),
            (
                b"POST /order/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
                b"x" * 4096,
            ),
            (
                b"POST /order/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"2\r\nxx\r\n" * 600,
            ),
        ],
        ids=["garbage", "target", "header", "extension", "trailer", "small-chunks"],
    )
    def test_head_without_end_is_cut_off(self, world, begin, rest):
        caller = world.caller(world.node)
        caller.send(begin + rest)
        send_until_closed(caller, rest, MOST_FRAMING_BYTES)
        assert 400 <= status_of(caller.take()) < 500

    def test_bodies_together_stay_within_the_limit(self, world):
        # Guards against uploads that fill the memory of the VM together, although each
        # of them is within the operator's limit.
        world.node.held_requests.limit_bytes = 3 * MB
        head = (
            b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1000000"
            b"\r\n\r\n"
        )
        callers = []
        for _ in range(10):
            caller = world.caller(world.node)
            caller.send(head + b"x" * 900_000)
            callers.append(caller)
        rejected = [c for c in callers if c.socket.write_ended]
        assert len(rejected) >= 7
        for caller in rejected:
            got = caller.take()
            assert status_of(got) == 503
            assert b"Retry-After" in got
        assert world.node.held_requests.total_bytes <= 3 * MB

    def test_a_body_counts_until_its_request_ends(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        held = world.node.held_requests
        # The head counts too.
        assert 0 < held.total_bytes - len(ORDER["body"]) < 2_000
        server, _ = world.accept()
        server.send(answer())
        assert held.total_bytes == 0
        caller.send(request(**ORDER))
        caller.close()
        assert held.total_bytes == 0

    def test_a_rejected_request_behind_another_is_never_sent(self, world):
        # Guards against a request that runs although its caller sends it again: the
        # connection closes after the answer to the request before it.
        held = world.node.held_requests
        held.limit_bytes = 1_000_000
        caller = world.caller(world.node)
        head = (
            b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r2\r\n"
            b"Content-Length: 700000\r\n\r\n"
        )
        caller.send(request(**ORDER) + head + b"x" * 600_000)
        other = world.caller(world.node)
        other.send(head.replace(b"r2", b"r3") + b"x" * 450_000)
        assert held.total_bytes < 500_000
        caller.send(b"x" * 100_000)
        server, _ = world.accept()
        assert not world.reactor.tcpClients
        server.send(answer())
        got = caller.take()
        assert status_of(got) == 200
        assert b"Connection: close" in got
        assert 0 < held.total_bytes - 450_000 < 2_000

    def test_a_body_that_stalls_is_given_up(self, world):
        # Guards against uploads that hold memory for as long as their caller likes.
        caller = world.caller(world.node)
        caller.send(request(**ORDER)[:-3])
        world.advance(14.0)
        assert not caller.socket.write_ended
        world.advance(2.0)
        assert status_of(caller.take()) == 408


class TestArrivingBody:
    @pytest.mark.parametrize("size", [1, 2, 1000, 40_000, 70_000])
    def test_pieces_of_any_size_become_blocks(self, size):
        arriving, expected = ArrivingBody(), b""
        for number in range(max(3, 300_000 // size)):
            piece = bytes([number % 256]) * size
            arriving.append(piece)
            expected += piece
        body = arriving.body()
        assert body.join() == expected
        assert len(body) == len(expected)
        assert len(body.blocks) <= 2 + 2 * len(expected) // BLOCK_BYTES
        assert arriving.held_bytes <= 1.3 * len(expected) + 200

    def test_one_piece_is_not_copied(self):
        arriving, piece = ArrivingBody(), b"x" * 1000
        arriving.append(piece)
        assert arriving.body().join() is piece


class TestHeldBytes:
    def test_the_largest_body_is_given_up(self):
        held = HeldBytes(limit_bytes=100)
        assert held.update("a", 60) is None
        assert held.update("b", 30) is None
        assert held.update("b", 50) == "a"
        held.release("a")
        assert held.total_bytes == 50

    def test_complete_bodies_are_not_given_up(self):
        held = HeldBytes(limit_bytes=100)
        held.update("a", 90)
        count = held.complete("a")
        assert held.update("b", 20) == "b"
        held.release_complete(count)
        assert held.total_bytes == 20


class TestOtherPorts:
    """Guards against bytes without end at ports that are not for callers."""

    def test_body_to_a_page_is_dropped(self):
        site = status.site(b"/metrics", lambda: (200, b"page"))
        channel = site.buildProtocol(None)
        channel.makeConnection(StringTransport())
        channel.dataReceived(
            b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
        )
        channel.dataReceived(b"x" * 900_000)
        content = channel._channel.requests[0].content
        assert isinstance(content, io.BytesIO)
        assert content.getvalue() == b""

    def test_data_to_a_relay_is_dropped(self, world):
        link = world.node.relay.buildProtocol(None)
        link.makeConnection(ServerSocket())
        for _ in range(100):
            link.dataReceived(b"\x00\xff\xff\xff" + b"x" * 65_536)
        assert len(link._unprocessed) == 0


class TestMemoryOfTheProcess:
    """Guards against bounds that count the bytes of messages and not what they take in
    memory: a body in chunks of two bytes took 28 times its size.
    """

    MEMORY_MB = 64

    @pytest.mark.parametrize("play", sorted(memory_probe.PLAYS))
    def test_peers_that_send_without_end(self, play):
        run = subprocess.run(
            [sys.executable, str(PROBE), play, str(self.MEMORY_MB)],
            capture_output=True,
            text=True,
            check=True,
        )
        # A quarter of the memory for requests is the largest share; the rest is for
        # data that is being parsed.
        assert int(run.stdout) < 0.4 * self.MEMORY_MB * MB


class TestCopiesOfALargeBody:
    """Guards against a copy of a body for each server to which it was sent: servers
    that reject uploads early and read on slowly took a VM over its memory.
    """

    BODY_BYTES = 900_000

    def upload(self, world):
        caller = world.caller(world.node)
        data = request(**{**ORDER, "body": b"xy" * (self.BODY_BYTES // 2)})
        for begin in range(0, len(data), 9_999):
            caller.send(data[begin : begin + 9_999])
        return caller

    def test_little_of_it_waits_at_a_server_that_reads_nothing(self, world):
        self.upload(world)
        server = world.accept_stalled()
        assert len(server.take()) < 2 * BLOCK_BYTES

    def test_nothing_waits_after_an_early_rejection(self, world):
        caller = self.upload(world)
        server = world.accept_stalled()
        server.send(answer(503, extra="Not-Executed: 1"))
        assert server.socket.aborted
        world.advance(1.5)
        assert status_of(caller.take()) == 503

    def test_the_whole_body_arrives(self, world):
        caller = self.upload(world)
        server, _ = world.accept()
        head, _, body = server.take().partition(b"\r\n\r\n")
        assert b"content-length: %d" % self.BODY_BYTES in head.lower()
        assert body == b"xy" * (self.BODY_BYTES // 2)
        server.send(answer())
        assert status_of(caller.take()) == 200
        assert not server.socket.aborted
