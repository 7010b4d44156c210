"""Keys, servers and a world with two entry VMs for tests of the ownership of keys."""

from __future__ import annotations

from entry_fakes import STORE, World, configuration
from twisted.internet import defer

from briarspoke.standins.platform_server import ServerModel

KEYS = tuple(range(0, 65_536, 997))
SERVERS = (11, 12, 13)


def address(number):
    return (f"10.0.9.{number}", 80)


def holders(world, key):
    return [model.server_id for model in world.servers.values() if model.holds(key)]


def controller(world):
    return next(node for node in world.nodes if node.control.is_leader)


def keyspace_world(*, start=True):
    """Returns a world with the servers of a keyed service.

    :param start: whether two entry VMs run and have divided the keys.
    """
    world = World()
    world.store.put("op/config", configuration())
    for number in SERVERS:
        world.add_server("stock", number)
    if start:
        start_nodes(world)
    return world


def start_nodes(world):
    for number, name in enumerate(("front-poa-1", "front-cwb-1"), start=1):
        world.add_node(name, number)
    world.advance(3.0)


def restore(world, copy):
    """Restores the store; the operator and the servers write again what they wrote."""
    written = {
        key: item["value"]
        for key, item in world.store.items.items()
        if key.startswith(("op/", "servers/"))
    }
    world.store.restore(copy)
    for key, value in written.items():
        world.store.put(key, value)


def cut_off(world, node):
    for target in [STORE, *world.servers]:
        node.faults(target).cut = True


def lose(world, node):
    """Ends an entry VM without a word, as a loss of power does."""
    cut_off(world, node)
    for port, protocol in list(world.reactor.datagram_ports.items()):
        if protocol is node.datagrams:
            del world.reactor.datagram_ports[port]
    for loop in [*node._loops, node.control._loop]:
        if loop.running:
            loop.stop()
    # Calls of its coroutines that go on are never answered.
    http = node.store._http
    http.call = http.call_repeatedly = lambda *args, **options: defer.Deferred()
    node.control.leadership.step_down("test")
    world.nodes.remove(node)


class Process(ServerModel):
    """One process of a server; records tokens that another process had before.

    :param highest_by_key: ``{key: (highest token, process)}`` of all processes.
    :param violations: list of (key, token, token that another process had).
    """

    def __init__(self, *, highest_by_key, violations, born, **options):
        super().__init__(**options)
        self.born = born
        self._highest_by_key = highest_by_key
        self._violations = violations

    def grant(self, body, arrived_at=None):
        status = super().grant(body, arrived_at)
        if status == 200:
            for key in KEYS:
                if body["from"] <= key <= body["target"]:
                    self._note(key, body["fence"])
        return status

    def _note(self, key, token):
        highest, process = self._highest_by_key.get(key, (0, self))
        if process is not self and token <= highest:
            self._violations.append((key, token, highest))
        if token >= highest:
            self._highest_by_key[key] = (token, self)
