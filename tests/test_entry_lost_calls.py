"""Tests of calls to the store whose connections fall silent or open late."""

from __future__ import annotations

from entry_fakes import World, configuration
from store_path import StorePath

# A change binds VMs whose path to the store has been sound for this long.
SOUND_S = 3.0
STEP_S = 0.02


def start_world():
    """Returns a world with one entry VM, whose calls to the store are real."""
    world = World()
    world.store.put("op/config", configuration(version=4))
    world.path = StorePath(world)
    world.node = world.add_node(store_path=world.path)
    world.advance(2.0)
    assert world.node.configuration_version == 4
    return world


def keep_connections(node, count):
    """Makes calls at the same time, each of which leaves a connection behind."""
    for _ in range(count):
        node.spawn(node.store.probe())


def seconds_until_in_force(world, advance):
    """Writes a version and returns the seconds until all VMs use it."""
    world.store.put("op/config", configuration(version=9))
    began_at = world.reactor.seconds()
    while any(node.configuration_version != 9 for node in world.nodes):
        advance(STEP_S)
        if world.reactor.seconds() - began_at > 2 * SOUND_S:
            break
    return world.reactor.seconds() - began_at


class TestLogOfLostCalls:
    """Guards against a log that cannot tell why a call to the store was lost."""

    def test_silent_connections(self, caplog):
        world = start_world()
        caplog.set_level("INFO")
        keep_connections(world.node, 3)
        world.advance(0.05)
        world.path.fall_silent()
        world.advance(3.0)
        lost = next(message for message in caplog.messages if "watch lost" in message)
        assert "connection=kept idle_ms=" in lost
        assert "others=" in lost
        assert "late_ms=" in lost

    def test_connection_that_does_not_open(self, caplog):
        world = start_world()
        caplog.set_level("INFO")
        world.path.cut = True
        world.path.fall_silent()
        world.advance(4.0)
        assert any("connection=not open attempt_ms=" in m for m in caplog.messages)

    def test_change_that_was_missed(self, caplog):
        world = start_world()
        world.path.fall_silent()
        caplog.set_level("INFO")
        seconds_until_in_force(world, world.advance)
        line = next(m for m in caplog.messages if "in force version=9" in m)
        assert int(line.rpartition("missed_ms=")[2]) >= 2000
