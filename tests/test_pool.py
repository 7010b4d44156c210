from __future__ import annotations

import pytest
from http_fakes import GET, OK, World, post

from briarspoke.http import pool

BOOKING = post(b"body")


@pytest.fixture
def world():
    return World()


def serve_request(world, caller, request):
    """Sends a request on a new connection and returns the server's side."""
    caller.send(request)
    server = world.accept()
    server.send(OK)
    return server


class TestIdleCloses:
    def close_after(self, world, caller, idle_s):
        server = serve_request(world, caller, GET)
        world.advance(idle_s)
        server.disconnect()

    @pytest.mark.parametrize(("idle_s", "connects"), [(1.0, 0), (3.0, 1)])
    def test_booking_avoids_a_connection_that_may_be_closing(
        self, world, idle_s, connects
    ):
        # Guards against an unknown outcome although nothing has run.
        caller = world.caller()
        self.close_after(world, caller, 5.0)
        serve_request(world, caller, GET)
        world.advance(idle_s)
        caller.send(BOOKING)
        assert len(world.connects) == connects

    def test_lookup_uses_it(self, world):
        # Guards against a connect for requests that may be repeated.
        caller = world.caller()
        self.close_after(world, caller, 5.0)
        serve_request(world, caller, GET)
        world.advance(3.0)
        caller.send(GET)
        assert not world.connects

    def test_closes_are_forgotten(self, world):
        # Guards against a connect per booking for ever after one restart.
        caller = world.caller()
        self.close_after(world, caller, 0.001)
        world.advance(pool.CLOSE_RECORD_TTL_S + 1)
        serve_request(world, caller, GET)
        world.advance(1.0)
        caller.send(BOOKING)
        assert not world.connects

    def test_place_is_made_when_no_further_connection_is_allowed(self, world):
        # Guards against refusing a booking because of idle connections.
        caller = world.caller()
        self.close_after(world, caller, 5.0)
        idle = serve_request(world, caller, GET)
        world.router.pool_of("s-1").maximum = 1
        world.advance(3.0)
        caller.send(BOOKING)
        assert idle.socket.aborted
        assert len(world.connects) == 1
