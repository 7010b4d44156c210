"""Tests of which version's route an entry VM uses for a request."""

from __future__ import annotations

import pytest
from entry_fakes import World, answer, configuration, request, route

SERVICES = {
    "old": {"health_path": "/h", "max_conns": 110},
    "new": {"health_path": "/h", "max_conns": 110},
}
SERVERS_BY_SERVICE = {"old": ("10.0.9.11", 80), "new": ("10.0.9.21", 80)}


def version_of_route(version, service):
    routes = {"order": route(service, prefix="/order/", route_type="unsafe")}
    return configuration(version, routes=routes, services=SERVICES)


def order(request_id):
    return request("POST", "/order/1", request_id=request_id, key=None)


class TestRouteOfARequest:
    """Guards against a request that is handled by a version which is not in force."""

    @pytest.fixture
    def world(self):
        world = World()
        world.store.put("op/config", version_of_route(4, "old"))
        world.add_server("old", 11)
        world.add_server("new", 21)
        world.node = world.add_node()
        world.advance(3.0)
        return world

    def change(self, world):
        world.store.put("op/config", version_of_route(5, "new"))
        world.advance(0.5)
        assert world.node.configuration_version == 5

    def served_by(self, world, request_id):
        """Answers the request that has been sent last and returns its service."""
        peer, address = world.accept()
        assert b"request-id: " + request_id.encode() in peer.take()
        peer.send(answer(request_id=request_id))
        return next(s for s, a in SERVERS_BY_SERVICE.items() if a == address)

    def test_next_request_of_a_kept_connection(self, world):
        caller = world.caller(world.node)
        caller.send(order("a"))
        assert self.served_by(world, "a") == "old"
        assert b"200" in caller.take()
        self.change(world)
        caller.send(order("b"))
        assert self.served_by(world, "b") == "new"

    def test_request_behind_a_pending_one(self, world):
        caller = world.caller(world.node)
        caller.send(order("a"))
        first, address = world.accept()
        assert address == SERVERS_BY_SERVICE["old"]
        self.change(world)
        caller.send(order("b"))
        assert self.served_by(world, "b") == "new"
        first.send(answer(request_id="a"))
        assert caller.take().count(b"HTTP/1.1 200") == 2

    def test_request_whose_body_arrives_across_the_change(self, world):
        caller = world.caller(world.node)
        whole = request("POST", "/order/1", request_id="a", key=None, body=b"x" * 9)
        caller.send(whole[:-1])
        self.change(world)
        caller.send(whole[-1:])
        assert self.served_by(world, "a") == "new"

    def test_route_that_was_dropped(self, world):
        caller = world.caller(world.node)
        caller.send(order("a"))
        assert self.served_by(world, "a") == "old"
        caller.take()
        routes = {"other": route("old", prefix="/other/")}
        document = configuration(5, routes=routes, services=SERVICES)
        world.store.put("op/config", document)
        world.advance(0.5)
        caller.send(order("b"))
        assert caller.take().startswith(b"HTTP/1.1 404")
        assert not world.reactor.tcpClients
