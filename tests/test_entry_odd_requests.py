"""Requests of a valid but rare form."""

from __future__ import annotations

import re

import pytest
from entry_fakes import World, answer, configuration, request, route

BODY_BYTES = 360_000
CHUNK_BYTES = 16


@pytest.fixture
def world():
    world = World()
    routes = {"upload": route("media", prefix="/upload/", route_type="upload")}
    services = {"media": {"health_path": "/h", "max_conns": 110}}
    world.store.put("op/config", configuration(routes=routes, services=services))
    world.add_server("media", 11)
    world.node = world.add_node()
    world.advance(1.0)
    return world


def chunked_upload(body_bytes, chunk_bytes):
    """Returns an encoded upload in chunks."""
    head = request("POST", "/upload/1", deadline=9000, key=None)
    head = head.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return head + chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n"


class TestUploadInSmallChunks:
    """Guards against a proper upload that gets 431 for the size of its chunks."""

    def test_it_reaches_a_server(self, world):
        caller = world.caller(world.node)
        data = chunked_upload(BODY_BYTES, CHUNK_BYTES)
        for position in range(0, len(data), 8192):
            caller.send(data[position : position + 8192])
        assert caller.take() == b""
        server, _ = world.accept()
        assert server.take().endswith(b"x" * BODY_BYTES)


class TestUpgradeOfTheProtocol:
    """Guards against a second answer, which the caller takes for that to its next
    request.
    """

    def test_refused_request_gets_one_answer(self, world):
        caller = world.caller(world.node)
        asks = request("GET", "/unknown/1", key=None).replace(
            b"\r\n\r\n",
            b"\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            b"HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n\r\n",
        )
        caller.send(asks)
        assert caller.take().count(b"HTTP/1.1 ") == 1


class TestTrailersOfARequest:
    """Guards against trailers that replace headers, such as the identifier by which an
    answer is known.
    """

    def test_identifier_stays_that_of_the_head(self, world):
        caller = world.caller(world.node)
        data = chunked_upload(CHUNK_BYTES, CHUNK_BYTES)
        caller.send(data[:-2] + b"Request-Id: other\r\n\r\n")
        server, _ = world.accept()
        assert re.findall(rb"(?i)request-id: (\S+)", server.take()) == [b"r1"]
        server.send(answer(request_id="r1"))
        assert caller.take().startswith(b"HTTP/1.1 200")
