from __future__ import annotations

import socket

import pytest
from http_fakes import GET, OK, World, post

from briarspoke.http import pool

BOOKING = post(b"body")


@pytest.fixture
def world():
    return World()


def serve_request(world, caller, request):
    """Sends and answers a request on a new connection.

    :returns: the server's side.
    """
    caller.send(request)
    server = world.accept()
    server.send(OK)
    return server


class TestIdleCloseHistory:
    def close_after(self, world, caller, idle_s):
        server = serve_request(world, caller, GET)
        world.advance(idle_s)
        server.disconnect()

    @pytest.mark.parametrize(("idle_s", "connects"), [(1.0, 0), (3.0, 1)])
    def test_booking_avoids_a_connection_that_may_be_closing(
        self, world, idle_s, connects
    ):
        # Guards against an unknown outcome because the server closes an idle
        # connection while the request is written to it.
        caller = world.caller()
        self.close_after(world, caller, 5.0)
        serve_request(world, caller, GET)
        world.advance(idle_s)
        caller.send(BOOKING)
        assert len(world.connects) == connects

    def test_lookup_uses_a_connection_that_may_be_closing(self, world):
        # Guards against a new connection for a request that may be retried.
        caller = world.caller()
        self.close_after(world, caller, 5.0)
        serve_request(world, caller, GET)
        world.advance(3.0)
        caller.send(GET)
        assert not world.connects

    def test_records_of_closes_expire(self, world):
        # Guards against a new connection for each booking long after a restart.
        caller = world.caller()
        self.close_after(world, caller, 0.001)
        world.advance(pool.CLOSE_RECORD_TTL_S + 1)
        serve_request(world, caller, GET)
        world.advance(1.0)
        caller.send(BOOKING)
        assert not world.connects

    def test_idle_connection_is_replaced_at_the_connection_limit(self, world):
        # Guards against refusing a booking because idle connections use up the limit.
        caller = world.caller()
        self.close_after(world, caller, 5.0)
        idle = serve_request(world, caller, GET)
        world.router.pool_of("s-1").maximum = 1
        world.advance(3.0)
        caller.send(BOOKING)
        assert idle.socket.aborted
        assert len(world.connects) == 1


class TestConnectionThatTheServerHasClosed:
    def test_is_not_given_to_a_booking_that_waits(self, world):
        # Guards against an unknown outcome because the event loop reports a close late.
        lookup, booking = world.caller(), world.caller()
        lookup.send(GET)
        server = world.accept()
        booking.send(BOOKING)
        local, remote = socket.socketpair()
        with local:
            server.socket.fileno = local.fileno
            remote.close()
            server.send(OK)
        assert b"200 OK" in lookup.socket.take()
        assert BOOKING[-4:] not in server.socket.take()
        world.accept().send(OK)
        assert b"200 OK" in booking.socket.take()
