from __future__ import annotations

import itertools

import http_fakes
import pytest
from entry_fakes import CLOSED, World, answer, configuration, request, route

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nX-Hint: a\r\n\r\n"
# Answers to earlier requests, which are skipped.
OTHER = answer(request_id="older", body=b"older")
OTHER_EMPTY = b"HTTP/1.1 204 No Content\r\nRequest-Id: older\r\n\r\n"
BEFORE = {
    "first": b"",
    "interim": INTERIM,
    "two-interim": INTERIM + HINTS,
    "skipped": OTHER,
    "skipped-empty": OTHER_EMPTY,
    "skipped-interim": OTHER + INTERIM,
}
FRAMINGS = {
    "length": b"Content-Length: 5\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "until-close": b"",
}


def heads(signature=b"Response-Signature: s\r\n"):
    return {
        name: b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + signature + framing + b"\r\n"
        for name, framing in FRAMINGS.items()
    }


CASES = [
    pytest.param(before, head, id=f"{before_name}-{head_name}")
    for (before_name, before), (head_name, head) in itertools.product(
        BEFORE.items(), heads().items()
    )
]


@pytest.fixture(scope="module")
def world():
    world = World()
    routes = {
        "book": route("stock", prefix="/book/", route_type="unsafe"),
        "lookup": route("stock", max_attempts=1),
    }
    services = {"stock": {"health_path": "/h", "max_conns": 110}}
    world.store.put("op/config", configuration(routes=routes, services=services))
    world.add_server("stock", 11, slots=200)
    world.node = world.add_node()
    world.advance(3.0)
    return world


class TestHeadThatStopsInTheMiddle:
    @pytest.mark.parametrize("method", ["POST", "GET", "HEAD"])
    @pytest.mark.parametrize(("before", "head"), CASES)
    def test_is_no_success_wherever_it_stops(self, world, method, before, head):
        for length in range(len(head)):
            status, body = self._cut(world, method, before + head[:length])
            assert status == 502
            assert b"response-signature" not in body.lower()

    def _cut(self, world, method, data):
        caller = world.caller(world.node)
        path = "/book/1" if method == "POST" else "/lookup/1"
        body = b"x" if method == "POST" else b""
        caller.send(request(method, path, body=body, key=None))
        server, _ = world.accept()
        server.send(data)
        if not server.socket.aborted:
            server.close()
        got = caller.take()
        caller.close()
        while world.reactor.tcpClients:
            world.refuse()
        return int(got.split(b" ", 2)[1]), got


class TestHeadThatStopsInTheMiddleAtServe:
    @pytest.mark.parametrize("before", [b"", INTERIM, INTERIM + HINTS])
    @pytest.mark.parametrize("head", heads().values(), ids=heads())
    def test_is_no_success_wherever_it_stops(self, before, head):
        for length in range(len(head)):
            world = http_fakes.World()
            caller = world.caller()
            caller.send(http_fakes.post(b"x"))
            server = world.accept()
            server.send(before + head[:length])
            server.protocol.connectionLost(CLOSED)
            got = caller.socket.take()
            assert got.startswith(b"HTTP/1.1 502")
            assert b"response-signature" not in got.lower()
