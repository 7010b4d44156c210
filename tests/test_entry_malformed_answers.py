from __future__ import annotations

import pytest
from entry_fakes import CLOSED, World, answer, configuration, request, route
from http_fakes import LOST

SAFE = {"method": "GET", "path": "/lookup/1"}
BOOKING = {"method": "POST", "path": "/book/1", "body": b"two crates"}
# Written in one piece, and block by block.
UPLOAD_BYTES = [300_000, 6_000_000]
INVALID = [b"000", b"001", b"099", b"101", b"600", b"700", b"999"]
INTERIM = [b"100", b"102", b"103", b"150", b"199"]


def head(status, extra=b"", *, request_id="r1"):
    return b"HTTP/1.1 %b X\r\nRequest-Id: %b\r\n%b\r\n" % (
        status,
        request_id.encode(),
        extra,
    )


@pytest.fixture
def world():
    world = World()
    routes = {
        "lookup": route("stock", max_attempts=1),
        "book": route("stock", prefix="/book/", route_type="unsafe"),
    }
    services = {"stock": {"health_path": "/h", "max_conns": 110}}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 8_000_000,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    world.store.put(
        "op/config", configuration(routes=routes, services=services, limits=limits)
    )
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def send(world, options, *, is_first=True):
    """Sends a request; returns (caller, server's side, request identifier)."""
    caller = world.caller(world.node)
    if is_first:
        caller.send(request(**options))
        server, _ = world.accept()
        server.take()
        return caller, server, "r1"
    caller.send(request(**{**options, "request_id": "r0"}))
    server, _ = world.accept()
    server.take()
    server.send(answer(request_id="r0"))
    assert caller.take().startswith(b"HTTP/1.1 200")
    caller.send(request(**options))
    assert server.take()
    return caller, server, "r1"


@pytest.mark.parametrize("is_first", [True, False], ids=["first", "later"])
@pytest.mark.parametrize("options", [SAFE, BOOKING], ids=["safe", "booking"])
class TestStatusOutsideOfHttp:
    """Guards against a request that is held for its route's whole timeout after an
    answer that cannot become valid.
    """

    @pytest.mark.parametrize("status", INVALID)
    @pytest.mark.parametrize("body", [b"", b"Content-Length: 5\r\n"])
    def test_attempt_ends_at_once(self, world, options, is_first, status, body):
        caller, server, _ = send(world, options, is_first=is_first)
        server.send(head(status, body))
        assert caller.take().startswith(b"HTTP/1.1 502")
        assert server.socket.aborted

    @pytest.mark.parametrize("status", INVALID)
    def test_attempt_ends_after_an_interim_answer(
        self, world, options, is_first, status
    ):
        caller, server, _ = send(world, options, is_first=is_first)
        server.send(head(b"100"))
        assert caller.take() == b""
        server.send(head(status))
        assert caller.take().startswith(b"HTTP/1.1 502")
        assert server.socket.aborted

    @pytest.mark.parametrize("status", INVALID)
    def test_upgrade_headers_change_nothing(self, world, options, is_first, status):
        caller, server, _ = send(world, options, is_first=is_first)
        server.send(head(status, b"Connection: upgrade\r\nUpgrade: x\r\n") + b"data")
        assert caller.take().startswith(b"HTTP/1.1 502")
        assert server.socket.aborted

    @pytest.mark.parametrize("status", INVALID)
    @pytest.mark.parametrize("apart", [False, True], ids=["together", "apart"])
    def test_complete_answer_before_it_stays_valid(
        self, world, options, is_first, status, apart
    ):
        caller, server, _ = send(world, options, is_first=is_first)
        pieces = [answer(body=b"own"), head(status)]
        for piece in pieces if apart else [b"".join(pieces)]:
            server.send(piece)
        got = caller.take()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"own")
        assert server.socket.aborted or server.socket.disconnecting
        caller.send(request(**{**options, "request_id": "r2"}))
        fresh, _ = world.accept()
        assert b"r2" in fresh.take()

    @pytest.mark.parametrize("status", INVALID)
    def test_head_of_another_request_does_not_extend_the_attempt(
        self, world, options, is_first, status
    ):
        caller, server, _ = send(world, options, is_first=is_first)
        server.send(head(status, request_id="r-other"))
        assert caller.take().startswith(b"HTTP/1.1 502")

    @pytest.mark.parametrize("status", [*INVALID, *INTERIM])
    @pytest.mark.parametrize("end", [CLOSED, LOST], ids=["orderly", "broken"])
    @pytest.mark.parametrize("cut", [8, 12, 20, None])
    def test_end_of_the_connection_makes_no_answer(
        self, world, options, is_first, status, end, cut
    ):
        caller, server, _ = send(world, options, is_first=is_first)
        server.send(head(status)[:cut])
        if not server.socket.aborted:
            assert caller.take() == b""
            server.close(end)
        assert caller.take().startswith(b"HTTP/1.1 502")

    @pytest.mark.parametrize("status", INTERIM)
    def test_interim_answers_are_skipped(self, world, options, is_first, status):
        caller, server, _ = send(world, options, is_first=is_first)
        server.send(head(status) + head(b"100"))
        server.send(head(status))
        assert caller.take() == b""
        server.send(answer(body=b"own"))
        got = caller.take()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"own")


class TestExtraAnswerInTheSameData:
    """Guards against an answer that gets the status of another one behind it."""

    @pytest.mark.parametrize("extra", [b"200", b"503", b"100", b"204"])
    @pytest.mark.parametrize("status", [200, 404, 500])
    def test_caller_gets_the_status_of_its_own_answer(self, world, status, extra):
        caller, server, _ = send(world, BOOKING)
        behind = head(extra, b"Response-Signature: sig\r\n")
        server.send(answer(status, body=b"own") + behind)
        got = caller.take()
        assert got.startswith(b"HTTP/1.1 %d" % status) and got.endswith(b"own")


def send_upload(world, size):
    """Sends a booking of a size to a server that reads nothing."""
    caller = world.caller(world.node)
    caller.send(request(**{**BOOKING, "body": bytes(size)}))
    return caller, world.accept_stalled()


def end_connection(server, reason):
    """Ends a connection as a real transport does, which stops its producer first."""
    if server.socket.producer is not None:
        server.socket.producer.stopProducing()
    server.close(reason)


@pytest.mark.parametrize("size", UPLOAD_BYTES)
class TestUploadThatIsStillBeingWritten:
    """Guards against a part of an answer that is taken for the whole one."""

    @pytest.mark.parametrize("status", INVALID)
    def test_malformed_status_ends_the_attempt(self, world, size, status):
        caller, server = send_upload(world, size)
        server.send(head(status))
        assert caller.take().startswith(b"HTTP/1.1 502")
        assert server.socket.aborted

    @pytest.mark.parametrize("end", [CLOSED, LOST], ids=["orderly", "broken"])
    @pytest.mark.parametrize("body", [b"", b"half of the bo"])
    def test_success_without_length_is_not_complete(self, world, size, end, body):
        caller, server = send_upload(world, size)
        server.send(head(b"200", b"Response-Signature: sig\r\n") + body)
        assert caller.take() == b""
        end_connection(server, end)
        assert caller.take().startswith(b"HTTP/1.1 502")

    def test_refusal_without_length_is_passed_on(self, world, size):
        caller, server = send_upload(world, size)
        server.send(head(b"413") + b"too large")
        end_connection(server, CLOSED)
        assert caller.take().startswith(b"HTTP/1.1 413")

    def test_success_with_its_length_is_passed_on(self, world, size):
        caller, server = send_upload(world, size)
        server.send(answer(body=b"own"))
        got = caller.take()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"own")
        assert server.socket.aborted

    def test_success_without_length_after_the_upload_is_complete(self, world, size):
        caller, server = send_upload(world, size)
        server.socket.stalled = False
        server.socket.drain()
        while server.socket.producer is not None:
            server.socket.producer.resumeProducing()
        server.send(head(b"200", b"Response-Signature: sig\r\n") + b"own")
        end_connection(server, CLOSED)
        got = caller.take()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"own")
