"""Tests of how old the copy of the store may be on a VM whose path to it is sound."""

from __future__ import annotations

import re
import zlib

import cbor2
import pytest
from entry_fakes import STORE, RelayNetwork, World, configuration, request

from briarspoke import codes
from briarspoke.entry.relays import Frame, _decode, _encode
from briarspoke.platform.keyvalue import Changes
from briarspoke.platform.values import DecodeError

# A change has to be in force this long after the store has acknowledged it.
IN_FORCE_S = 2.0
# It binds VMs whose path to the store has been sound for this long.
SOUND_S = 3.0


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration(version=4))
    world.node = world.add_node()
    world.advance(2.0)
    return world


class TestLostWatch:
    """Guards against an old configuration that is used until a lost watch times out."""

    @pytest.mark.parametrize("cut_s", [0.1, 0.3, 0.5, 0.7])
    def test_watch_that_never_arrived(self, world, cut_s):
        # The next watch follows a pause of 0.4 s after a change.
        world.store.put("op/config", configuration(version=5))
        world.advance(0.38)
        world.node.faults(STORE).cut = True
        world.advance(cut_s)
        world.node.faults(STORE).cut = False
        world.advance(SOUND_S - IN_FORCE_S)
        world.store.put("op/config", configuration(version=9))
        world.advance(IN_FORCE_S)
        assert world.node.configuration_version == 9

    def test_answer_that_was_lost(self, world):
        world.advance(0.5)
        world.store.put("op/other", b"1")
        world.advance(0.5)
        world.waiting.clear()
        world.advance(SOUND_S - IN_FORCE_S)
        world.store.put("op/config", configuration(version=9))
        world.advance(IN_FORCE_S)
        assert world.node.configuration_version == 9


class TestUnknownRoute:
    """Guards against a 404 for a route that was added in an outage of the store."""

    def status(self, world):
        """Returns the status and the result code of a request without a route."""
        caller = world.caller(world.node)
        caller.send(request(path="/added/1"))
        head = caller.take()
        code = re.search(rb"Briarspoke-Code: (\d+)", head)
        return int(head.split()[1]), int(code[1]), b"Retry-After:" in head

    def test_of_a_vm_in_touch(self, world):
        for _ in range(20):
            world.advance(0.1)
            assert self.status(world) == (404, codes.UNKNOWN_SERVICE.number, False)

    def test_of_a_vm_out_of_touch(self, world):
        world.node.faults(STORE).cut = True
        world.advance(IN_FORCE_S + 0.05)
        assert self.status(world) == (503, codes.ROUTE_UNCERTAIN.number, True)

    def test_after_the_outage(self, world):
        world.node.faults(STORE).cut = True
        world.advance(10.0)
        world.node.faults(STORE).cut = False
        world.advance(SOUND_S)
        assert self.status(world) == (404, codes.UNKNOWN_SERVICE.number, False)


class TestRelayOutOfTouch:
    """Guards against followers that take a relay for current which is not."""

    @pytest.fixture
    def zone(self, world):
        """A zone of four VMs, of which the first is the relay."""
        world.network = RelayNetwork(world)
        for number in (2, 3, 4):
            world.add_node(f"front-poa-{number}", number)
        world.network.advance(8.0)
        assert [node.view.uses_relay for node in world.nodes] == [False] + 3 * [True]
        return world

    @pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9, 1.2])
    def test_relay_that_is_cut_off_from_the_store(self, zone, offset_s):
        zone.network.advance(offset_s)
        zone.node.faults(STORE).cut = True
        zone.store.put("op/config", configuration(version=9))
        zone.network.advance(IN_FORCE_S)
        assert [node.configuration_version for node in zone.nodes[1:]] == 3 * [9]

    @pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6])
    def test_relay_whose_watch_is_lost(self, zone, offset_s):
        zone.network.advance(offset_s)
        zone.waiting.clear()
        zone.node.faults(STORE).cut = True
        zone.network.advance(0.2)
        zone.node.faults(STORE).cut = False
        zone.store.put("op/config", configuration(version=9))
        zone.network.advance(IN_FORCE_S)
        assert [node.configuration_version for node in zone.nodes] == 4 * [9]

    def test_relay_without_followers_watches_as_often_as_with_them(self, zone):
        # Guards against followers that come back to a relay which believes itself in
        # touch for as long as a VM without followers.
        zone.node.relay.view_abandoned()
        zone.network.advance(1.0)
        assert not zone.node.relay.links
        waits = []
        call = zone.store.call
        zone.store.call = lambda *args: waits.append(args[1]) or call(*args)
        zone.network.advance(1.5)
        assert any("wait_ms=8" in target or "wait_ms=7" in target for target in waits)


class TestAgeInFrames:
    """Guards against a follower that takes a relay's last proof for its own time."""

    def changes(self):
        return Changes(items=[], revision=7, era=1)

    def test_age_is_sent(self):
        frame = Frame(changes=self.changes(), whole=False, proof_age_s=1.25)
        assert _decode(_encode(frame)).proof_age_s == 1.25

    def test_frame_of_an_earlier_version_has_none(self):
        data = zlib.compress(cbor2.dumps([[], 7, 1, False]))
        assert _decode(data).proof_age_s == 0.0

    @pytest.mark.parametrize("age", ["x", None, 1e999, 10**400, float("nan")])
    def test_unreadable_age_is_refused(self, age):
        data = zlib.compress(cbor2.dumps([[], 7, 1, False, age]))
        with pytest.raises(DecodeError):
            _decode(data)
