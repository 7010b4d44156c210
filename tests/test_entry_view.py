from __future__ import annotations

import zlib

import cbor2
import pytest
from entry_fakes import STORE, ServerSocket, World, configuration, route

from briarspoke.entry.relays import Relay, RelayFollower
from briarspoke.platform.keyvalue import Changes, Item


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration(version=4))
    world.node = world.add_node()
    world.advance(1.0)
    return world


def relayed(world, version):
    """Returns what a relay that has seen a version would send."""
    world.store.put("op/config", configuration(version=version))
    items = [
        Item(key=item["key"], value=item["value"], revision=item["rev"])
        for item in world.store.items.values()
    ]
    return Changes(items=items, revision=world.store.revision)


class TestOutage:
    def test_versions_reach_a_vm_after_an_outage(self, world):
        world.store_down = True
        world.advance(5.0)
        world.store.put("op/config", configuration(version=9))
        world.store_down = False
        world.advance(2.0)
        assert world.node.routing_table.version == 9

    def test_silent_connection_is_noticed(self, world):
        # Guards against a watch that waits on a connection which is gone.
        world.node.faults(STORE).cut = True
        world.advance(0.5)
        world.node.faults(STORE).cut = False
        world.store.put("op/config", configuration(version=9))
        world.advance(5.0)
        assert world.node.routing_table.version == 9

    def test_lost_history_is_read_again(self, world):
        world.node.faults(STORE).cut = True
        world.store.put("op/config", configuration(version=9))
        world.store.delete("briarspoke/nodes/front-poa-1")
        world.store.forget_history()
        world.node.faults(STORE).cut = False
        world.advance(5.0)
        assert world.node.routing_table.version == 9

    def test_backlog_of_an_outage_is_not_fetched(self, world):
        # Guards against a VM that never catches up: the changes of an outage were
        # more than its link carries within the timeout of a watch.
        world.store_down = True
        world.advance(5.0)
        for number in range(50):
            world.store.put("op/other", b"%d" % number)
        asked = []
        call = world.store.call
        world.store.call = lambda *args: asked.append(args[1]) or call(*args)
        world.store_down = False
        world.advance(1.0)
        watches = [target for target in asked if "kv-watch" in target]
        first = int(watches[0].partition("after=")[2].partition("&")[0])
        assert first >= world.store.revision - 5
        assert any("kv-range" in target for target in asked)

    def test_older_versions_are_not_taken(self, world):
        world.store.put("op/config", configuration(version=3))
        world.advance(1.0)
        assert world.node.routing_table.version == 4


class TestRelay:
    def test_view_that_was_fed_goes_back_to_the_store(self, world):
        # Guards against a follower that keeps an old configuration: it lost its
        # relay while the store turned it away, and did not ask again.
        view = world.node.view
        view.feed(relayed(world, 5))
        world.advance(4.0)
        assert world.node.routing_table.version == 5
        world.store_down = True
        view.end_feed()
        world.advance(9.0)
        assert not view.reachable
        world.store.put("op/config", configuration(version=9))
        world.store_down = False
        world.advance(2.0)
        assert world.node.routing_table.version == 9

    def test_feed_that_ends_during_a_watch(self, world):
        view = world.node.view
        view.feed(relayed(world, 5))
        world.advance(0.5)
        view.end_feed()
        view.feed(relayed(world, 6))
        world.advance(0.5)
        view.end_feed()
        world.store.put("op/config", configuration(version=9))
        world.advance(4.0)
        assert world.node.routing_table.version == 9


class TestRelayLink:
    """A follower and a relay that are joined by the test."""

    def join(self, world):
        """Returns the follower's link after the relay has sent its view."""
        other = world.add_node("front-poa-2", 2)
        world.advance(1.0)
        relay_link = Relay(view=world.node.view).buildProtocol(None)
        relay_link.makeConnection(ServerSocket())
        follower = RelayFollower(node=other)
        link = follower.buildProtocol(None)
        link.makeConnection(ServerSocket())
        return other, follower, link, relay_link.transport.take()

    def test_view_comes_over_the_link(self, world):
        other, _follower, link, data = self.join(world)
        link.dataReceived(data)
        assert other.view.is_fed
        assert other.view.items.keys() == world.node.view.items.keys()

    def test_silent_relay_is_left(self, world):
        # Guards against a follower of a relay that stands still.
        other, follower, link, data = self.join(world)
        link.dataReceived(data)
        world.advance(1.5)
        follower.check()
        assert not other.view.is_fed
        world.store.put("op/config", configuration(version=9))
        world.advance(1.0)
        assert other.routing_table.version == 9

    def test_large_frame_on_a_slow_link_is_not_silence(self, world):
        # Guards against a follower that leaves its relay while a configuration of
        # many routes is arriving, and then reads it all again from the store.
        _other, follower, link, data = self.join(world)
        link.dataReceived(data)
        frame = zlib.compress(cbor2.dumps([[], world.store.revision]))
        for byte in len(frame).to_bytes(4) + frame:
            link.dataReceived(bytes([byte]))
            world.advance(0.2)
            follower.check()
        assert follower.connected

    def test_relay_without_a_revision_says_nothing(self, world):
        # Guards against a fault in the followers while their relay reads all items
        # again, because the store has forgotten its history.
        other, _follower, link, data = self.join(world)
        link.dataReceived(data)
        relay = Relay(view=world.node.view)
        relay_link = relay.buildProtocol(None)
        relay_link.makeConnection(ServerSocket())
        relay_link.transport.take()
        world.node.view.revision = None
        relay.alive()
        link.dataReceived(relay_link.transport.take())
        assert other.view.is_fed

    def test_many_routes_are_small_on_the_link(self, world):
        # Guards against 404 for a new route: 350 kB for each of 9 followers took
        # longer than the time within which a configuration has to be in force.
        routes = {
            f"lookup-{number}": route("stock", prefix=f"/lookup/{number}/")
            for number in range(1_300)
        }
        document = configuration(5, routes=routes)
        world.store.put("op/config", document)
        world.advance(1.0)
        other, _follower, link, data = self.join(world)
        assert len(data) < len(document) / 10
        link.dataReceived(data)
        assert other.routing_table.version == 5

    def test_frames_of_a_link_that_was_left_are_passed_over(self, world):
        # Guards against a fault on the second frame of a relay that knows less.
        other, _follower, link, data = self.join(world)
        world.store.put("op/config", configuration(version=9))
        other.view.revision = world.store.revision + 10
        link.dataReceived(data + data)
        assert not other.view.is_fed
