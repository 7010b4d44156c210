from __future__ import annotations

import pytest
from http_fakes import GET, OK, Kernel, World, post

from briarspoke import codes
from briarspoke.http import callers

_LENGTHS = b"Content-Length: 3\r\n"
_CHUNKS = b"Transfer-Encoding: chunked\r\n"


class TestMalformedRequests:
    @pytest.mark.parametrize(
        ("request_", "code"),
        [
            (b"POST /s/k HTTP/1.1\r\n" + _LENGTHS + _CHUNKS + b"\r\nabc", 4001),
            (b"POST /s/k HTTP/1.1\r\n" + _LENGTHS * 2 + b"\r\nabc", 4001),
            (b"POST /s/k HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 4001),
            (
                b"POST /s/k HTTP/1.1\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
                4001,
            ),
            (b"POST /s/k HTTP/1.1\r\n" + _CHUNKS + b"\r\nzz\r\n", 4001),
            (b"GET /s/k\r\n", 4001),
            (b"GET /s/k HTTP/1.1\r\nno colon\r\n\r\n", 4001),
            (b"GET /s/k HTTP/1.1\r\nA: " + b"x" * 20_000 + b"\r\n\r\n", 4006),
            (b"GET /s/k HTTP/1.1\r\nA: " + b"x" * 20_000, 4006),
            (b"GET /s/" + b"k" * 20_000 + b" HTTP/1.1\r\n\r\n", 4006),
            (b"GET /s/k HTTP/1.1\r\n" + b"A: 123456\r\n" * 3000 + b"\r\n", 4006),
            (b"GET /other/k HTTP/1.1\r\n\r\n", 4002),
            (b"GET /s HTTP/1.1\r\n\r\n", 4003),
            (b"GET /s/k HTTP/1.1\r\nBriarspoke-Deadline-Ms: x\r\n\r\n", 4004),
        ],
    )
    def test_malformed_request_is_rejected_with_its_code(self, request_, code):
        # Guards against exceptions, missing answers, and requests smuggled behind
        # framing that two parsers interpret differently.
        world = World()
        caller = world.caller()
        caller.send(request_)
        result = caller.result()
        assert (result["code"], result["run"]) == (code, "no")
        assert world.refusal_count(codes.by_number[code]) == 1
        assert not world.connects
        assert not world.router.proxied_requests

    def test_rest_of_a_rejected_head_is_not_a_request(self):
        # Guards against a request that is smuggled behind a malformed one.
        world = World()
        caller = world.caller()
        caller.send(b"GET bad\r\n" + GET)
        caller.send(GET)
        assert caller.socket.take().count(b"HTTP/1.1 ") == 1
        assert caller.socket.write_ended

    def test_refused_head_request_has_no_body(self):
        # Guards against a body that the caller takes for the next answer.
        caller = World().caller()
        caller.send(b"HEAD /other/k HTTP/1.1\r\n\r\n")
        assert caller.socket.take().endswith(b"\r\n\r\n")

    def test_refused_small_body_keeps_the_connection(self):
        # Guards against a new connection after each refused booking.
        caller = World().caller()
        caller.send(post(b"body").replace(b"/s/", b"/other/"))
        assert caller.result()["code"] == codes.UNKNOWN_SERVICE.number
        caller.send(GET.replace(b"/s/", b"/other/"))
        assert caller.result()["code"] == codes.UNKNOWN_SERVICE.number

    @pytest.mark.parametrize(("path", "expected"), [(b"/s/", 1), (b"/other/", 0)])
    def test_continue_is_sent_only_before_the_answer(self, path, expected):
        # Guards against 100 Continue after a final answer.
        caller = World().caller()
        request = post(b"", length=5, extra=b"Expect: 100-continue\r\n")
        caller.send(request.replace(b"/s/", path))
        assert caller.socket.take().count(b"100 Continue") == expected


def answered(world, request):
    """Sends a request that is answered; returns its caller."""
    caller = world.caller()
    caller.send(request)
    server = world.accept()
    server.send(OK)
    assert b"200 OK" in caller.socket.take()
    return caller


def refused_upload(world):
    caller = world.caller()
    caller.send(post(b"x", length=99_999).replace(b"/s/", b"/other/"))
    assert b"Briarspoke-Code" in caller.socket.take()
    return caller


def asked_to_close(world):
    return answered(world, GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))


def stopped_behind_its_answer(world):
    world.router.drain(5.0)
    return answered(world, GET)


def stopped_while_idle(world):
    caller = answered(world, GET)
    world.router.drain(5.0)
    world.wait(callers.CLOSING_GRACE_S + 2)
    return caller


class TestCallerThatReadsFromTheKernel:
    """Guards against a reset that discards the part of an answer that the kernel has
    taken and the caller has not read.
    """

    @pytest.mark.parametrize(
        "end",
        [refused_upload, asked_to_close, stopped_behind_its_answer, stopped_while_idle],
    )
    def test_its_connection_is_not_reset(self, monkeypatch, end):
        kernel, world = Kernel(monkeypatch), World()
        caller = end(world)
        for count in range(9_000, 0, -1_000):
            kernel.hold(caller.socket, count)
            world.wait(1.0)
            assert caller.socket.write_ended
            assert not caller.socket.aborted
            assert not caller.socket.disconnecting
        kernel.hold(caller.socket, 0)
        world.wait(callers.LINGER_S + 2)
        assert caller.socket.closed

    def test_it_is_reset_if_it_reads_nothing(self, monkeypatch):
        kernel, world = Kernel(monkeypatch), World()
        caller = refused_upload(world)
        kernel.hold(caller.socket, 9_000)
        world.wait(1)
        world.wait(callers.IDLE_TIMEOUT_S - 2)
        assert not caller.socket.aborted
        world.wait(4)
        assert caller.socket.aborted


class TestStalls:
    def test_slow_head_times_out(self):
        # Guards against a connection kept open forever by single bytes.
        world = World()
        caller = world.caller()
        caller.send(b"GET /s/k HTTP/1.1\r\n")
        for _ in range(4):
            world.wait(callers.HEAD_TIMEOUT_S / 3)
            caller.send(b"A: b\r\n")
        assert caller.result()["code"] == codes.REQUEST_TIMEOUT.number
        world.wait(callers.LINGER_S + 1)
        assert caller.socket.closed

    def test_stalled_body_times_out(self):
        # Guards against a request that its caller never completes.
        world = World(ranks={"booking": {"deadline_ms": 3_600_000}})
        caller = world.caller()
        caller.send(post(b"x", length=5))
        world.wait(callers.BODY_STALL_TIMEOUT_S + 2)
        assert caller.result()["code"] == codes.REQUEST_TIMEOUT.number

    def test_paused_body_does_not_time_out(self):
        # Guards against a timeout of the caller that a slow server has caused.
        world = World(ranks={"booking": {"deadline_ms": 3_600_000}})
        caller = world.caller()
        caller.send(post(b"x" * 70_000, length=100_000))
        world.accept().socket.producer.pauseProducing()
        world.wait(callers.BODY_STALL_TIMEOUT_S + 2)
        assert not caller.socket.take()

    def test_deadline_before_the_body_is_complete(self):
        # Guards against a slow body that is reported as a wait in the queue.
        world = World()
        caller = world.caller()
        caller.send(post(b"x", length=5))
        world.wait(11)
        assert caller.result()["code"] == codes.DEADLINE_PASSED.number

    def test_idle_connection_is_closed(self):
        # Guards against idle connections that stay open forever.
        world = World()
        caller = world.caller()
        world.wait(callers.IDLE_TIMEOUT_S + 2)
        world.wait(callers.LINGER_S + 2)
        assert caller.socket.closed
