"""Ownership of keys whose owner starts again and cannot get them after all."""

from __future__ import annotations

import pytest
from entry_fakes import STORE, registration
from keyspace_fakes import KEYS, SERVERS, address, controller, holders, keyspace_world

from briarspoke.standins.platform_server import ServerModel

NUMBER = SERVERS[0]


@pytest.fixture
def world():
    return keyspace_world()


def register(world, number, *, born, state="ready"):
    value = registration("stock", number, born=born, state=state)
    world.store.put(f"servers/s-{number}", value)


def restart(world, number):
    """Starts a new process of a server, which accepts renewals before it registers."""
    model = ServerModel(server_id=f"s-{number}", clock=world.reactor.seconds)
    world.servers[address(number)] = model
    world.advance(2.0)
    assert any(model.holds(key) for key in KEYS)
    return model


def advance_checked(world, seconds):
    for _ in range(round(seconds / 0.1)):
        world.advance(0.1)
        for key in KEYS:
            assert len(holders(world, key)) <= 1, (key, holders(world, key))


class TestNewProcessThatLeavesBeforeTheMapIsWritten:
    """Guards against two owners: a new process holds keys by renewals for the former
    one, and they are granted to another server because the map could not be written
    while the new process was ready.
    """

    def lose_writes(self, world, lost):
        for node in world.nodes:
            node.faults(STORE).write_answers_lost = lost

    def check_the_keys_move(self, world):
        advance_checked(world, 0.2)
        self.lose_writes(world, False)
        advance_checked(world, 10.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def begin(self, world):
        restart(world, NUMBER)
        self.lose_writes(world, True)
        register(world, NUMBER, born=2)
        advance_checked(world, 0.6)

    def test_it_drains(self, world):
        self.begin(world)
        register(world, NUMBER, born=2, state="draining")
        self.check_the_keys_move(world)

    def test_its_entry_lapses(self, world):
        self.begin(world)
        world.store.delete(f"servers/s-{NUMBER}")
        self.check_the_keys_move(world)

    def test_it_starts_again_and_drains(self, world):
        self.begin(world)
        world.servers[address(NUMBER)] = ServerModel(
            server_id=f"s-{NUMBER}", clock=world.reactor.seconds
        )
        register(world, NUMBER, born=3)
        advance_checked(world, 0.6)
        register(world, NUMBER, born=3, state="draining")
        self.check_the_keys_move(world)

    def test_it_becomes_unreachable(self, world):
        self.begin(world)
        for node in world.nodes:
            node.faults(address(NUMBER)).cut = True
        advance_checked(world, 0.2)
        register(world, NUMBER, born=2, state="draining")
        self.check_the_keys_move(world)

    def test_a_renewal_for_the_former_process_arrives_late(self, world):
        # The new process releases the keys, and then a renewal without an answer that
        # was meant for the former one gives them back to it.
        model = ServerModel(server_id=f"s-{NUMBER}", clock=world.reactor.seconds)
        faults = controller(world).faults(address(NUMBER))
        faults.answers_lost = True
        faults.late_s = 1.5
        world.servers[address(NUMBER)] = model
        world.advance(1.5)
        self.lose_writes(world, True)
        register(world, NUMBER, born=2)
        faults.answers_lost = False
        faults.late_s = 0.0
        advance_checked(world, 0.3)
        register(world, NUMBER, born=2, state="draining")
        self.check_the_keys_move(world)

    def test_keys_are_served_again_at_once(self, world):
        # The price of the wait is paid only where the new process may hold the keys.
        self.begin(world)
        register(world, NUMBER, born=2, state="draining")
        self.lose_writes(world, False)
        advance_checked(world, 2.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
