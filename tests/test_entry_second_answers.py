from __future__ import annotations

import pytest
from entry_fakes import World, answer, configuration, request, route

BOOKING = {"method": "POST", "path": "/book/1", "body": b"two crates"}


@pytest.fixture
def world():
    world = World()
    routes = {
        "lookup": route("stock"),
        "book": route("stock", prefix="/book/", route_type="unsafe"),
    }
    world.store.put("op/config", configuration(routes=routes))
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def refusal(status):
    return answer(status, signature=None, extra="Not-Executed: 1")


def await_repeat(world, server):
    """Waits until a request is sent again.

    :param server: the server's side of the connection with the first send.
    :returns: the server's side of the connection with the second one.
    """
    for _ in range(50):
        world.advance(0.01)
        if world.reactor.tcpClients:
            return world.accept()[0]
        if server.take():
            return server
    raise AssertionError("the request was not sent again")


class TestRefusalIsWrittenTwice:
    @pytest.mark.parametrize("status", [503, 429, 421])
    def test_repeat_that_runs_is_not_answered_with_the_first_refusal(
        self, world, status
    ):
        caller = world.caller(world.node)
        caller.send(request(**BOOKING))
        server, _ = world.accept()
        server.send(refusal(status))
        server.take()
        repeat = await_repeat(world, server)
        if not server.socket.aborted:
            server.send(refusal(status))
        assert caller.take() == b""
        repeat.send(answer(body=b"booked"))
        got = caller.take()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"booked")

    def test_identifier_that_a_caller_uses_again_gets_a_new_connection(self, world):
        first = world.caller(world.node)
        first.send(request(**BOOKING))
        server, _ = world.accept()
        server.take()
        server.send(answer(body=b"first"))
        second = world.caller(world.node)
        second.send(request(**BOOKING))
        assert server.take() == b""
        other, _ = world.accept()
        other.send(answer(body=b"second"))
        assert second.take().endswith(b"second")

    def test_other_requests_share_the_connection(self, world):
        first = world.caller(world.node)
        first.send(request(**BOOKING))
        server, _ = world.accept()
        server.take()
        server.send(answer(body=b"first"))
        second = world.caller(world.node)
        second.send(request(request_id="r2"))
        assert b"r2" in server.take()
        assert not world.reactor.tcpClients

    def test_connection_is_not_kept_for_ever(self, world):
        # The identifiers that a connection has carried take memory.
        caller = world.caller(world.node)
        server = None
        for number in range(1_001):
            caller.send(request(request_id=f"r{number}"))
            if world.reactor.tcpClients:
                assert number in (0, 1_000)
                server, _ = world.accept()
            server.take()
            server.send(answer(request_id=f"r{number}"))
            assert caller.take().startswith(b"HTTP/1.1 200")
        assert number == 1_000 and not world.reactor.tcpClients


class TestExtraAnswerThatBreaksOff:
    """Guards against a late extra answer that breaks off and lends its status to the
    next answer: a booking that has run was answered with 503, or sent again.
    """

    @pytest.mark.parametrize("status", [200, 429, 503])
    def test_its_status_is_not_that_of_the_next_answer(self, world, status):
        extra = answer(status, request_id="r1", extra="Not-Executed: 1")
        caller, server = world.caller(world.node), None
        for cut in range(1, len(extra) + 1):
            first, second = f"r{cut}-1", f"r{cut}-2"
            caller.send(request(**{**BOOKING, "request_id": first}))
            server = world.accept()[0] if world.reactor.tcpClients else server
            server.take()
            server.send(answer(request_id=first))
            assert caller.take().startswith(b"HTTP/1.1 200")
            caller.send(request(**{**BOOKING, "request_id": second}))
            assert server.take()
            server.send(extra[:cut] + answer(request_id=second, body=b"booked"))
            if not server.socket.aborted:
                world.advance(1.1)
            got = caller.take()
            assert not server.take()
            assert got.startswith((b"HTTP/1.1 200", b"HTTP/1.1 502", b"HTTP/1.1 504"))
            if got.startswith(b"HTTP/1.1 200"):
                assert got.endswith(b"booked")
            if not server.socket.aborted:
                server.close()
