from __future__ import annotations

import json
import zlib

import cbor2
import pytest
from entry_fakes import STORE, ServerSocket, World, configuration, route
from twisted.internet import defer

from briarspoke.entry.relays import Frame, Relay, RelayFollower, _encode
from briarspoke.platform.keyvalue import Changes, Item


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration(version=4))
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(1.0)
    return world


def relayed(world, version):
    """Returns the :class:`Changes` that a relay with a configuration version sends."""
    world.store.put("op/config", configuration(version=version))
    era = world.store.era
    items = [
        Item(key=item["key"], value=item["value"], revision=item["rev"], era=era)
        for item in world.store.items.values()
    ]
    return Changes(items=items, revision=world.store.revision, era=era)


def switch_to_relay(view, changes):
    """Lets a view take all items of a relay and rely on it."""
    view.replace(changes)
    view.rely_on_relay()


class TestRegistration:
    def test_it_returns_soon_after_it_has_disappeared(self, world):
        # Guards against a VM that the others do not count until its next renewal,
        # after its lease expired during an outage of the store.
        key = "briarspoke/nodes/front-poa-1"
        assert key in world.store.items
        world.store.delete(key)
        world.advance(1.0)
        assert key in world.store.items

    def test_vms_that_vanish_for_a_moment_still_count(self, world):
        # Guards against VMs that each take a larger part of the retry budget while the
        # others have to register again after an outage of the store.
        keys = [f"briarspoke/nodes/other-{number}" for number in range(9)]
        body = json.dumps({"zone": "cwb", "ip": "10.0.3.1", "port": 9000}).encode()
        for key in keys:
            world.store.put(key, body)
        world.advance(0.5)
        assert world.node.node_count == 10
        for key in keys:
            world.store.delete(key)
        world.advance(3.0)
        assert world.node.node_count == 10
        world.advance(3.0)
        assert world.node.node_count == 1

    def test_it_is_kept_for_a_long_time(self, world):
        key = "briarspoke/nodes/front-poa-1"
        world.advance(40.0)
        assert key in world.store.items

    def test_lease_is_kept_after_an_unanswered_renewal(self, world):
        # Guards against a VM that takes another lease after every renewal whose answer
        # was lost, although the store has renewed its lease.
        key = "briarspoke/nodes/front-poa-1"
        lease = world.store.items[key]["lease"]
        calls = []
        original = world.store.call
        world.store.call = lambda *args: calls.append(args[1]) or original(*args)
        world.node.faults(STORE).answers_lost = True
        world.advance(8.0)
        world.node.faults(STORE).answers_lost = False
        assert any("kv-keep" in target for target in calls)
        world.advance(16.0)
        assert world.store.items[key]["lease"] == lease


class TestOutage:
    def test_version_written_during_an_outage_comes_into_force(self, world):
        world.store_down = True
        world.advance(5.0)
        world.store.put("op/config", configuration(version=9))
        world.store_down = False
        world.advance(2.0)
        assert world.node.routing_table.version == 9

    def test_dead_connection_is_detected(self, world):
        # Guards against a watch that keeps waiting on a dead connection.
        world.node.faults(STORE).cut = True
        world.advance(0.5)
        world.node.faults(STORE).cut = False
        world.store.put("op/config", configuration(version=9))
        world.advance(5.0)
        assert world.node.routing_table.version == 9

    def test_all_items_are_read_after_the_history_was_dropped(self, world):
        world.node.faults(STORE).cut = True
        world.store.put("op/config", configuration(version=9))
        world.store.delete("briarspoke/nodes/front-poa-1")
        world.store.forget_history()
        world.node.faults(STORE).cut = False
        world.advance(5.0)
        assert world.node.routing_table.version == 9

    def test_changes_during_an_outage_are_not_fetched(self, world):
        # Guards against a VM that never catches up after an outage, because the changes
        # during it are more than its network carries within the timeout of a watch.
        world.store_down = True
        world.advance(5.0)
        for number in range(50):
            world.store.put("op/other", b"%d" % number)
        targets = []
        call = world.store.call
        world.store.call = lambda *args: targets.append(args[1]) or call(*args)
        world.store_down = False
        world.advance(1.0)
        watches = [target for target in targets if "kv-watch" in target]
        first = int(watches[0].partition("after=")[2].partition("&")[0])
        assert first >= world.store.revision - 5
        assert any("kv-range" in target for target in targets)

    def test_older_versions_are_ignored(self, world):
        world.store.put("op/config", configuration(version=3))
        world.advance(1.0)
        assert world.node.routing_table.version == 4


class TestRelay:
    def test_view_returns_to_the_store_after_losing_its_relay(self, world):
        # Guards against a follower that keeps an old configuration, because it lost its
        # relay while the store was down and did not retry.
        view = world.node.view
        switch_to_relay(view, relayed(world, 5))
        world.advance(4.0)
        assert world.node.routing_table.version == 5
        world.store_down = True
        view.switch_to_store()
        world.advance(9.0)
        assert not view.reachable
        world.store.put("op/config", configuration(version=9))
        world.store_down = False
        world.advance(2.0)
        assert world.node.routing_table.version == 9

    def test_relay_that_comes_and_goes_during_a_watch(self, world):
        view = world.node.view
        switch_to_relay(view, relayed(world, 5))
        world.advance(0.5)
        view.switch_to_store()
        switch_to_relay(view, relayed(world, 6))
        world.advance(0.5)
        view.switch_to_store()
        world.store.put("op/config", configuration(version=9))
        world.advance(4.0)
        assert world.node.routing_table.version == 9


class TestRelayThatComesDuringACall:
    """Guards against a view that loses the revision which its relay has sent."""

    def take_changes(self, world, version):
        changes = relayed(world, version)
        world.node.view.apply_changes(changes)
        assert world.node.view.uses_relay
        assert world.node.view.revision == changes.revision
        assert world.node.configuration_version == version

    def lose_history(self, world):
        """Lets the pending watch end with 410."""
        world.node.faults(STORE).cut = True
        world.store.put("op/other", b"1")
        world.store.forget_history()
        world.node.faults(STORE).cut = False

    def test_probe(self, world):
        world.store_down = True
        world.advance(4.0)
        assert not world.node.view.reachable
        world.store_down = False
        world.node.faults(STORE).late_s = 0.4
        world.advance(0.9)
        switch_to_relay(world.node.view, relayed(world, 5))
        world.advance(2.0)
        self.take_changes(world, 6)

    def test_watch_whose_history_is_gone(self, world):
        world.advance(1.0)
        world.node.faults(STORE).cut = True
        switch_to_relay(world.node.view, relayed(world, 5))
        self.lose_history(world)
        world.advance(1.0)
        self.take_changes(world, 6)

    def test_read_of_all_items(self, world):
        # Guards also against older items that replace those of the relay.
        view = world.node.view
        older = relayed(world, 5)
        world.advance(1.0)
        reading = defer.Deferred()
        world.node.store.read_all = lambda prefix="": reading
        view.find_relay = None
        self.lose_history(world)
        world.advance(1.0)
        assert view.revision is None
        newer = relayed(world, 6)
        switch_to_relay(view, newer)
        reading.callback(older)
        assert view.revision == newer.revision
        self.take_changes(world, 7)


class TestRelayLink:
    """A relay and a follower; the test passes the data between them."""

    def connect(self, world):
        """Connects a follower to a relay.

        :returns: (follower's node, follower, its link, the data the relay has sent).
        """
        other = world.add_node("front-poa-2", 2)
        world.advance(1.0)
        relay_link = Relay(view=world.node.view).buildProtocol(None)
        relay_link.makeConnection(ServerSocket())
        follower = RelayFollower(node=other)
        link = follower.buildProtocol(None)
        link.makeConnection(ServerSocket())
        return other, follower, link, relay_link.transport.take()

    def test_view_is_sent_over_the_link(self, world):
        other, _follower, link, data = self.connect(world)
        link.dataReceived(data)
        assert other.view.uses_relay
        assert other.view.items.keys() == world.node.view.items.keys()

    def test_follower_disconnects_from_a_silent_relay(self, world):
        # Guards against a follower that stays with a relay whose process hangs.
        other, follower, link, data = self.connect(world)
        link.dataReceived(data)
        world.advance(1.5)
        follower.check()
        assert not other.view.uses_relay
        world.store.put("op/config", configuration(version=9))
        world.advance(1.0)
        assert other.routing_table.version == 9

    def test_large_frame_on_a_slow_link_is_not_silence(self, world):
        # Guards against a follower that disconnects from its relay while a large
        # configuration arrives, and then reads all items from the store.
        _other, follower, link, data = self.connect(world)
        link.dataReceived(data)
        body = [[], world.store.revision, world.store.era, False]
        frame = zlib.compress(cbor2.dumps(body))
        for byte in len(frame).to_bytes(4) + frame:
            link.dataReceived(bytes([byte]))
            world.advance(0.2)
            follower.check()
        assert follower.connected

    def pass_frames(self, relay_link, link):
        link.dataReceived(relay_link.transport.take())

    @pytest.mark.parametrize("cause", ["failed watch", "history dropped"])
    def test_followers_stay_through_a_failed_watch(self, world, cause):
        # Guards against followers that come back one by one over narrow links and get
        # a configuration seconds after their relay.
        other = world.add_node("front-poa-2", 2)
        world.advance(1.0)
        relay_link = world.node.relay.buildProtocol(None)
        relay_link.makeConnection(ServerSocket())
        follower = RelayFollower(node=other)
        link = follower.buildProtocol(None)
        link.makeConnection(ServerSocket())
        self.pass_frames(relay_link, link)
        if cause == "failed watch":
            world.store_down = True
            world.advance(0.3)
            world.store_down = False
        else:
            world.node.faults(STORE).cut = True
            world.store.forget_history()
            world.node.faults(STORE).cut = False
        world.store.delete("servers/s-11")
        world.store.put("op/config", configuration(version=9))
        for _ in range(60):
            world.advance(0.1)
            self.pass_frames(relay_link, link)
        assert not relay_link.transport.disconnecting
        assert other.view.uses_relay
        assert other.routing_table.version == 9
        assert "servers/s-11" not in other.view.items

    def test_registrations_get_time_to_return_after_the_relay_read_all(self, world):
        # Guards against servers that are taken for gone, because only the relay knows
        # that the store was away.
        other, _follower, link, data = self.connect(world)
        link.dataReceived(data)
        items = [i for i in other.view.items.values() if i.key != "servers/s-11"]
        changes = Changes(
            items=items, revision=other.view.revision + 1, era=other.view.era
        )
        frame = _encode(Frame(changes=changes, whole=True))
        link.dataReceived(len(frame).to_bytes(4) + frame)
        assert "s-11" in other.dispatcher("stock").servers
        world.advance(2.5)
        assert "s-11" not in other.dispatcher("stock").servers

    def test_relay_without_a_revision_sends_no_heartbeat(self, world):
        # Guards against an error in the followers when their relay sends a heartbeat
        # while it reads all items again, after the store has dropped its history.
        other, _follower, link, data = self.connect(world)
        link.dataReceived(data)
        relay = Relay(view=world.node.view)
        relay_link = relay.buildProtocol(None)
        relay_link.makeConnection(ServerSocket())
        relay_link.transport.take()
        world.node.view.revision = None
        relay.send_heartbeat()
        link.dataReceived(relay_link.transport.take())
        assert other.view.uses_relay

    def test_configuration_is_compressed_on_the_link(self, world):
        # Guards against a 404 for a new route: without compression, sending 350 kB to
        # each of 9 followers took longer than a configuration may take to be in force.
        routes = {
            f"lookup-{number}": route("stock", prefix=f"/lookup/{number}/")
            for number in range(1_300)
        }
        document = configuration(5, routes=routes)
        world.store.put("op/config", document)
        world.advance(1.0)
        other, _follower, link, data = self.connect(world)
        assert len(data) < len(document) / 10
        link.dataReceived(data)
        assert other.routing_table.version == 5

    def test_frames_after_a_disconnect_are_ignored(self, world):
        # Guards against an error on the second frame of a relay with a view older than
        # the follower's.
        other, _follower, link, data = self.connect(world)
        world.store.put("op/config", configuration(version=9))
        other.view.revision = world.store.revision + 10
        link.dataReceived(data + data)
        assert not other.view.uses_relay


class TestChoiceOfTheRelay:
    @pytest.fixture
    def registered(self, world):
        """Registers three VMs of the zone with wider links."""
        for number in (3, 4, 5):
            body = {
                "zone": "poa",
                "ip": f"10.0.1.{number}",
                "port": 9000,
                "link_mbps": 100 - number,
            }
            key = f"briarspoke/nodes/front-poa-{number}"
            world.store.put(key, json.dumps(body).encode())
        world.advance(0.1)
        return world

    def test_relay_leaves_control_to_others(self, registered):
        # Guards against one VM that is relay and controller, and whose followers hear
        # of changes seconds later.
        narrow = registered.node
        registered.advance(1.0)
        assert narrow.registry.wider_fraction() == 0.75
        widest = registered.add_node("front-poa-3", 3, start=False)
        for item in narrow.view.items.values():
            widest.registry._changed(item.key, item)
        assert widest.registry.relay_address() is None
        assert widest.registry.wider_fraction() == 1.0
