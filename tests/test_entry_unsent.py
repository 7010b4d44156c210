from __future__ import annotations

import json
import socket

import pytest
from entry_fakes import (
    LIMITS,
    ServerSocket,
    World,
    answer,
    configuration,
    request,
    route,
)
from http_fakes import LOST
from twisted.internet.error import ConnectionLost

SAFE = {"method": "GET", "path": "/lookup/1"}
BOOKING = {"method": "POST", "path": "/book/1", "body": b"two crates"}


def start_world(*, keyed, servers, **changes):
    world = World()
    routes = {
        "lookup": route("stock", **changes),
        "book": route("stock", prefix="/book/", route_type="unsafe", **changes),
    }
    services = {"stock": {"health_path": "/h", "max_conns": 110, "sharded": keyed}}
    world.store.put(
        "op/config", configuration(routes=routes, services=services, limits=LIMITS)
    )
    for number in range(11, 11 + servers):
        world.add_server("stock", number)
    world.node = world.add_node()
    world.advance(3.0)
    return world


@pytest.fixture(params=[False, True], ids=["unkeyed", "keyed"])
def world(request):
    return start_world(keyed=request.param, servers=1)


def assert_not_run(data):
    assert data.startswith(b"HTTP/1.1 503"), data
    assert json.loads(data.partition(b"\r\n\r\n")[2])["run"] == "no"


def send(world, options, request_id="r1"):
    caller = world.caller(world.node)
    caller.send(request(**{**options, "request_id": request_id}))
    return caller


def keep_connection(world, options):
    """Returns the server's side of a connection on which a request was answered."""
    caller = send(world, options, "r0")
    server, _ = world.accept()
    server.take()
    server.send(answer(request_id="r0"))
    assert caller.take().startswith(b"HTTP/1.1 200")
    return server


def refuse_until(world, seconds):
    """Refuses all connections to servers for a number of seconds."""
    for _ in range(round(seconds / 0.01)):
        world.advance(0.01)
        while world.reactor.tcpClients:
            world.refuse()


def fail_writes(server):
    """Lets the system take no further byte, as after a reset that was not read."""
    sent = server.socket
    sent.writeSomeData = lambda data: ConnectionLost()
    sent.write = lambda data: setattr(
        sent, "_tempDataLen", sent._tempDataLen + len(data)
    )


@pytest.fixture
def closed_fd():
    """File descriptor of a connection that the peer has closed."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        peer = socket.create_connection(listening.getsockname())
        local, _ = listening.accept()
        peer.close()
        with local:
            yield local.fileno()


@pytest.mark.parametrize("options", [SAFE, BOOKING], ids=["safe", "booking"])
class TestRequestThatReachedNoServer:
    """Guards against 502 and 504 for requests that certainly have not run."""

    def test_connection_does_not_open_until_the_deadline(self, world, options):
        caller = send(world, options)
        world.advance(1.1)
        assert_not_run(caller.take())

    def test_connections_are_refused_until_the_deadline(self, world, options):
        caller = send(world, options)
        refuse_until(world, 1.1)
        assert_not_run(caller.take())

    def test_connections_time_out_until_the_deadline(self, world, options):
        caller = send(world, options)
        for _ in range(110):
            world.advance(0.01)
            for attempt in list(world.reactor.tcpClients):
                factory = attempt[2]
                if not hasattr(factory, "at"):
                    factory.at = world.reactor.seconds()
                elif world.reactor.seconds() - factory.at > 0.3:
                    world.reactor.tcpClients.remove(attempt)
                    factory.clientConnectionFailed(None, LOST)
        assert_not_run(caller.take())

    def test_request_waits_for_the_answer_to_another(self, world, options):
        first = [send(world, SAFE, f"r{number}") for number in range(20)]
        caller = send(world, options, "r-last")
        for _ in range(110):
            world.advance(0.01)
            while world.reactor.tcpClients:
                world.accept()
        got = caller.take()
        assert_not_run(got)
        assert any(other.take().startswith(b"HTTP/1.1 504") for other in first)

    def test_connection_is_not_open_when_the_process_ends(self, world, options):
        caller = send(world, options)
        for exchange in list(caller.protocol.exchanges):
            exchange.end_for_shutdown()
        assert_not_run(caller.take())

    def test_kept_connection_that_is_closed_is_not_used(
        self, world, options, closed_fd
    ):
        server = keep_connection(world, options)
        server.socket.fileno = lambda: closed_fd
        caller = send(world, options)
        assert server.take() == b"" and server.socket.aborted
        fresh, _ = world.accept()
        assert b"r1" in fresh.take()
        fresh.send(answer())
        assert caller.take().startswith(b"HTTP/1.1 200")

    @pytest.mark.parametrize("is_served", [True, False])
    def test_kept_connection_that_takes_no_byte(self, world, options, is_served):
        server = keep_connection(world, options)
        fail_writes(server)
        caller = send(world, options)
        server.reset()
        assert caller.take() == b""
        if not is_served:
            world.advance(1.1)
            assert_not_run(caller.take())
            return
        fresh, _ = world.accept()
        assert b"r1" in fresh.take()
        fresh.send(answer())
        assert caller.take().startswith(b"HTTP/1.1 200")
        assert world.node.metrics.value("attempts_total", "unsent") == 1

    @pytest.mark.parametrize("end", ["deadline", "process"])
    def test_kept_connection_that_takes_no_byte_until_the_end(
        self, world, options, end
    ):
        server = keep_connection(world, options)
        fail_writes(server)
        caller = send(world, options)
        if end == "deadline":
            world.advance(1.1)
        else:
            for exchange in list(caller.protocol.exchanges):
                exchange.end_for_shutdown()
        assert_not_run(caller.take())

    def test_server_closes_connections_as_they_open(self, world, options, closed_fd):
        caller = send(world, options)
        for _ in range(110):
            for attempt in list(world.reactor.tcpClients):
                world.reactor.tcpClients.remove(attempt)
                protocol = attempt[2].buildProtocol(None)
                end = _ClosedSocket(closed_fd)
                protocol.makeConnection(end)
                assert end.value() == b""
            world.advance(0.01)
        assert_not_run(caller.take())

    def test_new_connection_takes_no_byte(self, world, options):
        caller = send(world, options)
        for _ in range(110):
            for attempt in list(world.reactor.tcpClients):
                world.reactor.tcpClients.remove(attempt)
                protocol = attempt[2].buildProtocol(None)
                end = _FailingSocket()
                protocol.makeConnection(end)
                protocol.connectionLost(LOST)
            world.advance(0.01)
        assert_not_run(caller.take())

    def test_error_inside_the_program(self, world, options, monkeypatch, caplog):
        caller = send(world, options)

        def fail(*args):
            raise RuntimeError("a fault of the program")

        monkeypatch.setattr(type(world.node.crashes), "attempt_failed", fail)
        world.refuse()
        assert_not_run(caller.take())
        assert "cannot process an answer" in caplog.text


class _ClosedSocket(ServerSocket):
    """Socket whose peer has closed the connection already."""

    def __init__(self, fd):
        super().__init__()
        self._fd = fd

    def fileno(self):
        return self._fd


class _FailingSocket(ServerSocket):
    """Socket that takes no byte."""

    def writeSomeData(self, data):
        return ConnectionLost()

    def write(self, data):
        self._tempDataLen += len(data)


class TestRequestThatMayHaveRun:
    """Guards against a promise that a request has not run after an attempt that may
    have run.
    """

    @pytest.mark.parametrize("end", ["deadline", "reset", "process"])
    def test_written_request_has_an_unknown_outcome(self, world, end):
        caller = send(world, BOOKING)
        server, _ = world.accept()
        assert server.take()
        if end == "deadline":
            world.advance(1.1)
        elif end == "reset":
            server.reset()
        else:
            for exchange in list(caller.protocol.exchanges):
                exchange.end_for_shutdown()
        assert caller.take()[9:12] in (b"502", b"504")

    def test_retry_that_reaches_no_server(self, world):
        caller = send(world, SAFE)
        server, _ = world.accept()
        server.take()
        server.reset()
        refuse_until(world, 1.1)
        assert caller.take().startswith(b"HTTP/1.1 502")

    def test_retry_that_takes_no_byte(self, world):
        first = keep_connection(world, SAFE)
        caller = send(world, SAFE)
        assert first.take()
        first.reset()
        for _ in range(110):
            for attempt in list(world.reactor.tcpClients):
                world.reactor.tcpClients.remove(attempt)
                protocol = attempt[2].buildProtocol(None)
                protocol.makeConnection(_FailingSocket())
                protocol.connectionLost(LOST)
            world.advance(0.01)
        assert caller.take().startswith(b"HTTP/1.1 502")

    @pytest.mark.parametrize("status", [503, 429, 408])
    @pytest.mark.parametrize("extra", ["", "Not-Executed: 1"])
    def test_retry_that_a_server_refuses(self, status, extra):
        world = start_world(keyed=False, servers=2)
        caller = send(world, SAFE)
        server, _ = world.accept()
        server.take()
        server.reset()
        server, _ = world.accept()
        server.send(answer(status, signature=None, extra=extra))
        world.advance(1.1)
        assert caller.take().startswith(b"HTTP/1.1 502")

    def test_answer_of_a_retry_is_passed_on(self):
        world = start_world(keyed=False, servers=2)
        caller = send(world, SAFE)
        server, _ = world.accept()
        server.take()
        server.reset()
        server, _ = world.accept()
        server.send(answer(404, body=b"none"))
        assert caller.take().startswith(b"HTTP/1.1 404")


class TestRetryAfterAtTheDeadline:
    """Guards against a Retry-After that callers have no time to follow."""

    @pytest.mark.parametrize(("deadline", "expected"), [(1000, False), (4000, True)])
    def test_only_where_time_is_left(self, world, deadline, expected):
        caller = send(world, {**SAFE, "deadline": deadline})
        world.advance(1.1)
        got = caller.take()
        assert_not_run(got)
        assert (b"Retry-After" in got) == expected
