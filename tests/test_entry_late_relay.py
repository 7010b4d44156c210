"""Tests of followers whose relay's frames arrive late, while nothing else is wrong."""

from __future__ import annotations

import random

import pytest
from entry_fakes import RelayNetwork, World, configuration, request

from briarspoke.entry.relays import Frame, RelayClock
from briarspoke.platform.keyvalue import Changes

# A change has to be in force this long after the store has acknowledged it.
IN_FORCE_S = 2.0
STEP_S = 0.02


@pytest.fixture
def zone():
    """A zone of four VMs, of which the first is the relay."""
    world = World()
    world.store.put("op/config", configuration(version=4))
    world.network = RelayNetwork(world)
    for number in (1, 2, 3, 4):
        world.add_node(f"front-poa-{number}", number)
    world.network.advance(8.0)
    assert [node.view.uses_relay for node in world.nodes] == [False] + 3 * [True]
    return world


def grow_delay(network, delay_s, *, step_s=0.1, interval_s=0.3):
    """Lets the delay of the relay's frames grow, as a queue does that fills."""
    while network.delay_s < delay_s:
        network.delay_s += step_s
        network.advance(interval_s)


def seconds_until_in_force(zone, version):
    """Writes a version and returns the seconds until all VMs use it."""
    zone.store.put("op/config", configuration(version=version))
    began_at = zone.reactor.seconds()
    while any(node.configuration_version != version for node in zone.nodes):
        zone.network.advance(STEP_S)
        if zone.reactor.seconds() - began_at > 10.0:
            break
    return zone.reactor.seconds() - began_at


class TestFramesThatArriveLate:
    """Guards against a follower that takes late frames of its relay for news."""

    @pytest.mark.parametrize("delay_s", [0.5, 1.0, 2.0, 3.0, 5.0, 8.0])
    def test_change_is_in_force_in_time(self, zone, delay_s):
        grow_delay(zone.network, delay_s)
        assert seconds_until_in_force(zone, 9) <= IN_FORCE_S

    @pytest.mark.parametrize("delay_s", [0.5, 1.0, 2.0, 3.0, 5.0, 8.0])
    def test_change_while_the_delay_grows(self, zone, delay_s):
        grow_delay(zone.network, delay_s / 2)
        zone.store.put("op/config", configuration(version=9))
        written_at = zone.reactor.seconds()
        while zone.reactor.seconds() < written_at + IN_FORCE_S:
            zone.network.delay_s = min(delay_s, zone.network.delay_s + 0.04)
            zone.network.advance(0.1)
        assert [node.configuration_version for node in zone.nodes] == 4 * [9]

    @pytest.mark.parametrize("delay_s", [2.0, 5.0])
    def test_connection_that_begins_with_the_delay(self, zone, delay_s):
        # The least difference of the clocks that such a connection sees has the delay.
        zone.network.delay_s = delay_s
        for node in zone.nodes[1:]:
            node.relay_follower._disconnect()
        zone.network.advance(8.0)
        assert seconds_until_in_force(zone, 9) <= IN_FORCE_S

    def test_frame_that_arrives_byte_by_byte(self, zone):
        zone.network.bytes_per_s = 50
        zone.network.advance(4.0)
        assert seconds_until_in_force(zone, 9) <= IN_FORCE_S

    def test_unknown_route_is_not_denied(self, zone):
        # A VM that cannot know whether a route was added answers 503 and not 404.
        for node in zone.nodes[1:]:
            node.faults(("10.0.0.1", 80)).cut = True
        grow_delay(zone.network, 3.0)
        caller = zone.caller(zone.nodes[1])
        caller.send(request(path="/added/1"))
        assert caller.take().startswith(b"HTTP/1.1 503")


class TestRelayThatRecovers:
    """Guards against a late relay that costs watches of its followers for good."""

    @pytest.mark.parametrize("delay_s", [1.0, 3.0])
    def test_followers_return(self, zone, delay_s):
        grow_delay(zone.network, delay_s)
        zone.network.delay_s = 0.0
        zone.network.advance(8.0)
        assert all(node.view.uses_relay for node in zone.nodes[1:])

    def test_whole_view_is_not_sent_again(self, zone):
        # On a full link, the whole view would fill it further.
        zone.network.frames.clear()
        grow_delay(zone.network, 3.0)
        assert not any(node.view.uses_relay for node in zone.nodes[1:])
        assert max(len(data) for _, data in zone.network.frames) < 300

    def test_late_frame_does_not_bring_back_what_was_removed(self, zone):
        grow_delay(zone.network, 3.0)
        zone.store.put("op/other", b"1")
        zone.network.advance(1.0)
        zone.store.delete("op/other")
        zone.network.advance(1.0)
        assert all("op/other" not in node.view.items for node in zone.nodes)
        zone.network.advance(6.0)
        assert all("op/other" not in node.view.items for node in zone.nodes)


class TestTransitOfAFrame:
    """Guards against a frame that looks younger than it is."""

    @pytest.mark.parametrize("seed", range(40))
    def test_bound_holds_for_any_delays_and_clocks(self, seed):
        draw = random.Random(seed)
        offset_s = draw.uniform(-500.0, 500.0)
        drift = draw.uniform(-5e-4, 5e-4)

        def relay_clock(now):
            return offset_s + now * (1 + drift)

        changes = Changes(items=[], revision=7, era=1)
        now = 100.0
        clock = RelayClock(attempted_at=now)
        least_s = draw.choice((0.0, 0.01, 1.0, 4.0))
        arrived_at = now
        for number in range(200):
            pinged_at = now if number and draw.random() < 0.4 else None
            sent_at = now + draw.choice((least_s, draw.uniform(0.0, 3.0)))
            transit_s = draw.choice((least_s, draw.uniform(least_s, 6.0)))
            arrived_at = max(arrived_at, sent_at + transit_s)
            frame = Frame(
                changes=changes,
                whole=False,
                sent_at=relay_clock(sent_at),
                pinged_at=pinged_at,
            )
            bound_s = clock.transit_s(frame, arrived_at)
            assert bound_s >= (arrived_at - sent_at) * (1 - 1e-3) - 1e-6
            now = arrived_at + draw.uniform(0.0, 2.0)

    def test_quick_ping_shows_a_quick_frame(self):
        # Guards against a follower that never relies on a relay to which it connected
        # over a full link.
        changes = Changes(items=[], revision=7, era=1)
        clock = RelayClock(attempted_at=100.0)
        first = Frame(changes=changes, whole=True, sent_at=502.0)
        assert clock.transit_s(first, 104.0) == pytest.approx(4.0, abs=0.01)
        pong = Frame(changes=changes, whole=False, sent_at=510.01, pinged_at=110.0)
        assert clock.transit_s(pong, 110.02) == pytest.approx(0.02, abs=1e-3)
        frame = Frame(changes=changes, whole=False, sent_at=511.0)
        assert clock.transit_s(frame, 111.0) == pytest.approx(0.01, abs=2e-3)
