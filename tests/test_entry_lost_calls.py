"""Tests of calls to the store whose connections fall silent or open late."""

from __future__ import annotations

import itertools
import json
import random

import pytest
from entry_fakes import RelayNetwork, World, configuration
from store_path import StorePath

from briarspoke.entry.registry import NODE_PREFIX
from briarspoke.entry.view import MAX_PROOF_INTERVAL_S

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


def register_lost_relay(world):
    """Registers VMs that do not exist, one of them the relay of the zone."""
    for number, link_mbps in ((2, 1000), (3, 10), (4, 10)):
        record = {
            "zone": "poa",
            "ip": f"10.0.1.{number}",
            "port": 9000,
            "link_mbps": link_mbps,
        }
        key = f"{NODE_PREFIX}front-poa-{number}"
        world.store.put(key, json.dumps(record).encode())


def seconds_until_in_force(world, advance):
    """Writes a version and returns the seconds until all VMs use it."""
    world.store.put("op/config", configuration(version=9))
    began_at = world.reactor.seconds()
    while any(node.configuration_version != 9 for node in world.nodes):
        advance(STEP_S)
        if world.reactor.seconds() - began_at > 2 * SOUND_S:
            break
    return world.reactor.seconds() - began_at


@pytest.fixture
def draw(monkeypatch):
    """Sets what all random delays draw, from 0 to 1."""

    def set_draw(value):
        monkeypatch.setattr(random, "random", lambda: value)

    return set_draw


def late(times_by_case):
    """Returns the cases whose time is over the bound, the longest first."""
    return {
        case: round(seconds, 2)
        for case, seconds in sorted(times_by_case.items(), key=lambda pair: -pair[1])
        if seconds > SOUND_S
    }


class TestChangeInForceAfterSilentConnections:
    """Guards against a VM that tries one silent connection after the other."""

    def test_of_one_vm(self, draw):
        times_by_case = {}
        for case in itertools.product((0.0, 0.999), (0, 2, 4, 6), (0.0, 0.4, 0.8)):
            value, kept, phase_s = case
            draw(value)
            world = start_world()
            world.advance(phase_s)
            keep_connections(world.node, kept)
            world.advance(0.05)
            world.path.fall_silent()
            times_by_case[case] = seconds_until_in_force(world, world.advance)
        assert late(times_by_case) == {}

    def test_of_a_zone_with_a_relay(self, draw):
        times_by_case = {}
        for case in itertools.product((0.0, 0.999), (0, 4), (0.0, 0.3, 0.6, 0.9)):
            value, kept, phase_s = case
            draw(value)
            world = World()
            world.store.put("op/config", configuration(version=4))
            network = RelayNetwork(world)
            for number in (1, 2, 3, 4):
                path = StorePath(world)
                world.add_node(f"front-poa-{number}", number, store_path=path)
            network.advance(8.0 + phase_s)
            assert [node.view.uses_relay for node in world.nodes] == [
                False,
                *3 * [True],
            ]
            for node in world.nodes:
                keep_connections(node, kept)
            network.advance(0.06)
            network.fall_silent()
            for node in world.nodes:
                node.store_path.fall_silent()
            times_by_case[case] = seconds_until_in_force(world, network.advance)
        assert late(times_by_case) == {}


class TestChangeInForceAfterACut:
    """Guards against a VM that waits for what began before the end of a cut."""

    CUTS_S = (0.1, 0.4, 0.9, 1.3, 2.0, 2.7, 3.4, 4.0, 5.2, 6.3, 7.6, 8.3)

    def times_by_case(self, draw, *, is_relay_lost, kept, is_silent):
        times_by_case = {}
        for case in itertools.product((0.0, 0.999), self.CUTS_S, (0.0, 0.7)):
            value, cut_s, phase_s = case
            draw(value)
            world = start_world()
            if is_relay_lost:
                register_lost_relay(world)
                world.advance(1.0)
                assert world.node.registry.relay_address() is not None
            world.advance(phase_s)
            keep_connections(world.node, kept)
            world.advance(0.05)
            if is_silent:
                world.path.fall_silent()
            world.path.cut = True
            world.advance(cut_s)
            world.path.heal()
            times_by_case[case] = seconds_until_in_force(world, world.advance)
        return times_by_case

    def test_that_delays_packets(self, draw):
        times_by_case = self.times_by_case(
            draw, is_relay_lost=False, kept=0, is_silent=False
        )
        assert late(times_by_case) == {}

    def test_that_silences_connections(self, draw):
        times_by_case = self.times_by_case(
            draw, is_relay_lost=False, kept=4, is_silent=True
        )
        assert late(times_by_case) == {}

    def test_whose_zone_has_lost_its_relay(self, draw):
        times_by_case = self.times_by_case(
            draw, is_relay_lost=True, kept=4, is_silent=True
        )
        assert late(times_by_case) == {}


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
        seconds = seconds_until_in_force(world, world.advance)
        line = next(m for m in caplog.messages if "in force version=9" in m)
        missed_s = int(line.rpartition("missed_ms=")[2]) / 1e3
        assert seconds - STEP_S <= missed_s <= seconds + MAX_PROOF_INTERVAL_S
