from __future__ import annotations

import random

import pytest
from entry_fakes import World, answer, configuration, request, route

SAFE = {"method": "GET", "path": "/lookup/1"}
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


class Callers:
    """Sends requests one after the other and counts new connections."""

    def __init__(self, world, extra):
        self.world = world
        self.extra = extra
        self.server = None
        self.opened = 0
        self._number = 0

    def send(self, options):
        """Sends a request; returns whether it opened a connection."""
        self._number += 1
        request_id = f"r{self._number}-{len(self.extra)}"
        caller = self.world.caller(self.world.node)
        caller.send(request(**{**options, "request_id": request_id}))
        is_new = bool(self.world.reactor.tcpClients)
        if is_new:
            self.server, _ = self.world.accept()
            self.opened += 1
        assert self.server.take()
        self.server.send(answer(request_id=request_id, extra=self.extra))
        assert caller.take().startswith(b"HTTP/1.1 200")
        caller.close()
        return is_new


class TestIdleConnection:
    """Guards against new connections while a usable one is open, and against requests
    on connections that the server may have forgotten.
    """

    @pytest.mark.parametrize(
        ("extra", "options", "idle_s", "is_new"),
        [
            ("Keep-Alive: timeout=10", SAFE, 6.9, False),
            ("Keep-Alive: timeout=10", SAFE, 7.2, True),
            ("Keep-Alive: timeout=2", SAFE, 1.3, False),
            ("Keep-Alive: timeout=2", SAFE, 1.6, True),
            ("Keep-Alive: timeout=100", SAFE, 29.5, False),
            ("Keep-Alive: timeout=100", SAFE, 30.5, True),
            ("", SAFE, 3.9, False),
            ("", SAFE, 4.2, True),
            ("Keep-Alive: timeout=10", BOOKING, 0.9, False),
            ("Keep-Alive: timeout=10", BOOKING, 1.1, True),
            ("", BOOKING, 1.1, True),
            ("Keep-Alive: timeout=1", BOOKING, 0.8, True),
        ],
    )
    def test_is_used_for_a_fraction_of_the_announced_time(
        self, world, extra, options, idle_s, is_new
    ):
        callers = Callers(world, extra)
        assert callers.send(SAFE)
        world.advance(idle_s, step_s=0.05)
        assert callers.send(options) == is_new

    @pytest.mark.parametrize(
        ("extra", "idle_s"),
        [("Keep-Alive: timeout=10", 7.5), ("Keep-Alive: timeout=2", 2.0), ("", 4.5)],
    )
    def test_is_closed_when_it_is_not_used_any_more(self, world, extra, idle_s):
        callers = Callers(world, extra)
        callers.send(SAFE)
        world.advance(idle_s, step_s=0.05)
        assert callers.server.socket.aborted

    def test_new_connections_of_safe_requests(self, world, capsys):
        # A request of this VM to the server each 4 s in the mean.
        draw = random.Random(1)
        gaps = [draw.expovariate(1 / 4) for _ in range(200)]
        opened = {}
        for extra in ("", "Keep-Alive: timeout=10"):
            # Connections of before are too old then.
            world.advance(30.0, step_s=0.25)
            callers = Callers(world, extra)
            for gap in gaps:
                world.advance(gap, step_s=0.25)
                callers.send(SAFE)
            opened[extra] = callers.opened
        with capsys.disabled():
            print(f"\nnew connections in {len(gaps)} safe requests: {opened}")
        assert opened["Keep-Alive: timeout=10"] < opened[""]
