"""Tests of a store that was restored from a copy."""

from __future__ import annotations

import json

import pytest
from entry_fakes import (
    STORE,
    RelayNetwork,
    ServerSocket,
    World,
    configuration,
)
from twisted.internet import defer

from briarspoke.entry.httpclient import HttpClient
from briarspoke.entry.relays import Frame, _decode, _encode
from briarspoke.platform.keyvalue import (
    Changes,
    ConditionFailedError,
    Item,
    KeyValueClient,
    LeaseExpiredError,
    StoreError,
    StoreRestoredError,
)
from briarspoke.standins.platform_store import StoreModel

OWN_KEY = "briarspoke/nodes/front-poa-1"


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration(version=4))
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(1.0)
    return world


def write_others(world, count):
    """Raises the store's revision by writes that no VM uses."""
    for number in range(count):
        world.store.put("op/other", b"%d" % number)


def record_calls(world):
    """Returns the list to which the target of each call to the store is added."""
    targets = []
    call = world.store.call
    world.store.call = lambda *args: targets.append(args[1]) or call(*args)
    return targets


def leave_watches_silent(world):
    """Leaves the watches that are pending now without an answer."""
    pending = [entry[0] for entry in world.waiting]
    poll = world.store.poll_watch
    world.store.poll_watch = lambda watch: None if watch in pending else poll(watch)


class TestRestoredStore:
    def test_configuration_written_after_a_restore_is_in_force(self, world):
        # Guards against new versions that are dropped for their lower revisions.
        copy = world.store.copy()
        write_others(world, 20)
        world.store.put("op/config", configuration(version=7))
        world.advance(1.0)
        assert world.node.configuration_version == 7
        world.store.restore(copy)
        world.advance(1.0)
        world.store.put("op/config", configuration(version=9))
        world.advance(1.0)
        assert world.node.configuration_version == 9

    def test_configuration_written_after_an_outage_is_in_force(self, world):
        copy = world.store.copy()
        write_others(world, 20)
        world.store.put("op/config", configuration(version=7))
        world.advance(1.0)
        world.store_down = True
        world.advance(2.0)
        world.store.restore(copy)
        world.store.put("op/config", configuration(version=8))
        world.store_down = False
        world.advance(1.5)
        assert world.node.configuration_version == 8
        world.store.put("op/config", configuration(version=9))
        world.advance(1.0)
        assert world.node.configuration_version == 9

    def test_watch_is_not_continued_at_a_revision_given_out_again(self, world):
        # Guards against changes that are missed since a revision occurs a second time.
        copy = world.store.copy()
        write_others(world, 20)
        world.advance(1.0)
        world.node.faults(STORE).cut = True
        world.store.restore(copy)
        world.store.put("op/config", configuration(version=9))
        world.store.delete("servers/s-11")
        write_others(world, 40)
        world.node.faults(STORE).cut = False
        world.advance(1.0)
        assert world.node.configuration_version == 9
        assert "servers/s-11" not in world.node.view.items

    def test_pending_watch_does_not_delay_the_new_era(self, world):
        # Guards against a VM that waits for the end of a watch of the old era.
        copy = world.store.copy()
        write_others(world, 20)
        world.advance(1.0)
        leave_watches_silent(world)
        world.store.restore(copy)
        world.store.put("op/config", configuration(version=9))
        defer.ensureDeferred(world.node.store.probe())
        world.advance(0.1)
        assert world.node.configuration_version == 9

    def test_late_answer_of_an_old_watch_is_not_applied(self, world):
        copy = world.store.copy()
        write_others(world, 20)
        world.advance(1.0)
        seen = []
        world.node.view.observe("op/late", lambda key, item: seen.append(item))
        world.store.put("op/late", b"1")
        world.reactor.advance(0.001)
        world.store.restore(copy)
        world.node.store.learn_era(world.store.era)
        world.advance(2.0)
        assert not seen

    def test_configuration_does_not_go_back_to_the_copy(self, world):
        copy = world.store.copy()
        world.store.put("op/config", configuration(version=7))
        world.advance(1.0)
        world.store.restore(copy)
        world.advance(5.0)
        assert world.node.configuration_version == 7
        world.store.put("op/config", configuration(version=7))
        world.advance(1.0)
        assert world.node.configuration_version == 7
        world.store.put("op/config", configuration(version=8))
        world.advance(1.0)
        assert world.node.configuration_version == 8

    def test_items_missing_in_the_copy_are_removed(self, world):
        copy = world.store.copy()
        world.store.put("op/new", b"1")
        world.advance(1.0)
        world.store.restore(copy)
        world.advance(1.0)
        assert "op/new" not in world.node.view.items

    def test_servers_missing_in_the_copy_have_time_to_return(self, world):
        copy = world.store.copy()
        for number in (12, 13):
            world.add_server("stock", number)
        world.advance(5.0)
        servers = world.node.dispatcher("stock").servers
        world.store.restore(copy)
        world.advance(1.0)
        assert {"s-12", "s-13"} <= servers.keys()
        world.add_server("stock", 12)
        world.advance(2.0)
        assert "s-12" in servers
        assert "s-13" not in servers

    def test_two_restores(self, world):
        copy = world.store.copy()
        for version in (7, 9):
            write_others(world, 20)
            world.advance(1.0)
            world.store.restore(copy)
            world.store.put("op/config", configuration(version=version))
            world.advance(1.0)
            assert world.node.configuration_version == version


class TestAbandonedWatch:
    @pytest.fixture
    def client(self, world):
        http = HttpClient(
            reactor=world.reactor,
            clock=world.reactor.seconds,
            host=STORE[0],
            port=STORE[1],
            held_answers=world.node.held_answers,
        )
        return KeyValueClient(
            http=http, count=lambda *args: None, clock=world.reactor.seconds
        )

    def watch(self, client):
        """Returns the outcomes of a watch that begins now."""
        results = []
        client.learn_era(1)
        watch = defer.ensureDeferred(client.watch(5, 3.0, 1))
        watch.addErrback(lambda failure: results.append(failure.type))
        return results

    def test_connection_is_closed(self, world, client):
        # Guards against connections of watches that pile up.
        timers = len(world.reactor.getDelayedCalls())
        results = self.watch(client)
        peer, _ = world.accept()
        client.learn_era(2)
        assert results == [StoreRestoredError]
        assert peer.socket.aborted
        peer.close()
        assert len(world.reactor.getDelayedCalls()) == timers

    def test_connection_that_is_not_open_yet_is_closed(self, world, client):
        results = self.watch(client)
        client.learn_era(2)
        assert results == [StoreRestoredError]
        peer, _ = world.accept()
        assert peer.socket.aborted
        assert not peer.take()

    def test_next_call_has_an_answer(self, world, client):
        self.watch(client)
        world.accept()
        client.learn_era(2)
        results = []
        defer.ensureDeferred(client.probe()).addBoth(results.append)
        peer, _ = world.accept()
        peer.send(b"HTTP/1.1 404 X\r\nStore-Era: 2\r\nContent-Length: 0\r\n\r\n")
        assert results == [None]


def decode_frames(data):
    """Returns the :class:`Frame` objects in the data of a relay."""
    frames = []
    while data:
        end = 4 + int.from_bytes(data[:4])
        frames.append(_decode(data[4:end]))
        data = data[end:]
    return frames


class TestRelayInARestoredStore:
    @pytest.fixture
    def zone(self, world):
        """A zone of four VMs, of which the first is the relay."""
        world.network = RelayNetwork(world)
        for number in (2, 3, 4):
            world.add_node(f"front-poa-{number}", number)
        world.network.advance(8.0)
        assert [node.view.uses_relay for node in world.nodes] == [False] + 3 * [True]
        return world

    def send(self, node, changes, *, whole):
        """Sends a frame to a follower in the name of its relay."""
        frame = _encode(Frame(changes=changes, whole=whole))
        follower = node.relay_follower
        follower._link.dataReceived(len(frame).to_bytes(4) + frame)

    def changes(self, *, era, revision, version):
        item = Item(
            key="op/config",
            value=configuration(version=version),
            revision=revision,
            era=era,
        )
        return Changes(items=[item], revision=revision, era=era)

    @pytest.mark.parametrize("outage_s", [0.0, 2.0])
    def test_all_vms_of_a_zone_take_the_new_configuration(self, zone, outage_s):
        copy = zone.store.copy()
        write_others(zone, 20)
        zone.store.put("op/config", configuration(version=7))
        zone.network.advance(2.0)
        if outage_s:
            zone.store_down = True
            zone.network.advance(outage_s)
        zone.store.restore(copy)
        zone.store.put("op/config", configuration(version=8))
        zone.store_down = False
        zone.network.advance(2.0)
        assert [node.configuration_version for node in zone.nodes] == 4 * [8]
        zone.store.put("op/config", configuration(version=9))
        zone.network.advance(1.0)
        assert [node.configuration_version for node in zone.nodes] == 4 * [9]

    def test_followers_and_relay_of_different_eras(self, zone):
        # Guards against a follower that stays with a relay in the old era.
        copy = zone.store.copy()
        write_others(zone, 20)
        zone.network.advance(1.0)
        leave_watches_silent(zone)
        zone.store.restore(copy)
        zone.store.put("op/config", configuration(version=9))
        follower = zone.nodes[1]
        defer.ensureDeferred(follower.store.probe())
        zone.network.advance(0.3)
        assert follower.configuration_version == 9
        zone.network.advance(2.0)
        assert [node.configuration_version for node in zone.nodes] == 4 * [9]
        zone.network.advance(4.0)
        assert all(node.view.uses_relay for node in zone.nodes[1:])

    def test_whole_view_of_a_new_era_is_taken(self, zone):
        follower = zone.nodes[1]
        changes = self.changes(era=2, revision=1, version=9)
        self.send(follower, changes, whole=True)
        assert follower.view.uses_relay
        assert (follower.view.era, follower.view.revision) == (2, 1)
        assert follower.store.era == 2
        assert follower.configuration_version == 9
        assert list(follower.view.items) == ["op/config"]

    @pytest.mark.parametrize("era", [1, 3])
    def test_changes_of_another_era_are_not_applied(self, zone, era):
        follower = zone.nodes[1]
        self.send(follower, self.changes(era=2, revision=1, version=5), whole=True)
        self.send(follower, self.changes(era=era, revision=900, version=9), whole=False)
        assert not follower.view.uses_relay
        assert follower.configuration_version == 5

    def test_whole_view_of_an_old_era_is_refused(self, zone):
        follower = zone.nodes[1]
        self.send(follower, self.changes(era=2, revision=1, version=5), whole=True)
        self.send(follower, self.changes(era=1, revision=900, version=9), whole=True)
        assert not follower.view.uses_relay
        assert follower.configuration_version == 5

    def test_relay_sends_nothing_before_it_has_read_the_new_era(self, zone):
        # Guards against frames with items of two eras.
        network = zone.network
        copy = zone.store.copy()
        write_others(zone, 20)
        network.advance(1.0)
        network.frames.clear()
        relay = zone.nodes[0]
        relay.faults(STORE).late_s = 0.2
        zone.store.restore(copy)
        relay.store.learn_era(zone.store.era)
        network.advance(0.1)
        assert not network.frames
        network.advance(2.0)
        for node in zone.nodes[1:]:
            link = node.relay_follower._link
            data = b"".join(data for to, data in network.frames if to is link)
            frames = decode_frames(data)
            assert {frame.changes.era for frame in frames} == {2}
            assert frames[0].whole

    def test_relay_with_an_old_view_takes_no_follower(self, zone):
        relay = zone.nodes[0]
        relay.faults(STORE).late_s = 0.2
        relay.store.learn_era(2)
        link = relay.relay.buildProtocol(None)
        link.makeConnection(ServerSocket())
        assert link.transport.disconnecting
        assert not link.transport.take()


class TestRegistrationInARestoredStore:
    @pytest.mark.parametrize("missing", [True, False])
    def test_vm_is_registered_again(self, world, missing):
        # Guards against a VM whose registration ends with a lease of the old era.
        if missing:
            world.store.delete(OWN_KEY)
        copy = world.store.copy()
        world.advance(4.0)
        world.store.restore(copy)
        world.advance(0.1)
        assert world.store.items[OWN_KEY]["rev"] > copy.revision
        for _ in range(200):
            world.advance(0.1)
            assert OWN_KEY in world.store.items

    def test_vm_is_registered_again_after_a_call_of_its_own(self, world):
        copy = world.store.copy()
        leave_watches_silent(world)
        world.store.restore(copy)
        defer.ensureDeferred(world.node.store.probe())
        world.advance(0.1)
        assert world.store.items[OWN_KEY]["rev"] > copy.revision

    def test_vm_is_registered_again_while_it_registers(self, world):
        # Guards against a VM that waits since its first attempt met the new era.
        copy = world.store.copy()
        world.node.faults(STORE).late_s = 0.1
        world.store.delete(OWN_KEY)
        targets = record_calls(world)
        while not any("kv-lease" in target for target in targets):
            world.advance(0.01)
        world.node.faults(STORE).late_s = 0.0
        world.store.restore(copy)
        world.advance(0.3)
        assert world.store.items[OWN_KEY]["rev"] > copy.revision

    def test_lease_of_another_vm_is_not_renewed(self, world):
        # Guards against a VM that keeps another's lease, given out again, alive.
        world.advance(0.5)
        world.store.delete(OWN_KEY)
        copy = world.store.copy()
        world.advance(1.0)
        lease = world.store.items[OWN_KEY]["lease"]
        world.node.faults(STORE).cut = True
        world.store.restore(copy)
        body = json.dumps({"ttl_time": "9000ms"}).encode()
        reply = world.store.call("POST", "/briarspoke/kv-lease", body)
        assert reply.body["lease"] == lease
        world.store.put("op/of-another-vm", b"1", lease)
        world.node.faults(STORE).cut = False
        world.advance(9.5)
        assert OWN_KEY in world.store.items
        assert "op/of-another-vm" not in world.store.items


class TestControlOfARestoredStore:
    @pytest.fixture
    def leader(self, world):
        world.add_node("front-cwb-1", 2, zone="cwb")
        world.advance(3.0)
        return self.leader_of(world)

    def leader_of(self, world):
        """Returns the only VM that is the controller."""
        [leader] = [node for node in world.nodes if node.control.is_leader]
        return leader

    def test_controller_steps_down(self, world, leader):
        # Guards against a controller whose lease may be another's in the new era.
        world.store.restore(world.store.copy())
        defer.ensureDeferred(leader.store.probe())
        world.advance(0.01)
        assert not leader.control.is_leader

    def test_there_is_a_controller_again(self, world, leader):
        copy = world.store.copy()
        world.advance(4.0)
        world.store.restore(copy)
        world.advance(4.0)
        leadership = self.leader_of(world).control.leadership
        assert (
            leadership.term.revision == world.store.items["briarspoke/control"]["rev"]
        )
        assert leadership.term.revision > copy.revision
        world.advance(10.0)
        assert self.leader_of(world).control.leadership is leadership

    def test_controller_of_the_copy_does_not_return_with_its_record(
        self, world, leader
    ):
        copy = world.store.copy()
        leader.faults(STORE).cut = True
        world.advance(4.0)
        other = next(node for node in world.nodes if node is not leader)
        assert other.control.is_leader
        leader.faults(STORE).cut = False
        world.advance(2.0)
        assert not leader.control.is_leader
        world.store.restore(copy)
        world.advance(0.5)
        assert not any(node.control.is_leader for node in world.nodes)
        world.advance(4.0)
        assert self.leader_of(world).control.leadership.term.revision > copy.revision

    def test_no_vm_competes_before_it_has_read_the_new_era(self, world, leader):
        # Guards against leases that are created for writes that cannot succeed.
        leader.control.leadership.step_down("test")
        bodies = []
        call = world.store.call
        world.store.call = lambda *args: bodies.append(args[2]) or call(*args)
        for node in world.nodes:
            del node.view.items["briarspoke/control"]
            node.view.find_relay = lambda: defer.Deferred()
            node.store.learn_era(2)
        world.store.restore(world.store.copy())
        world.advance(2.0)
        assert not any(b'"2500ms"' in body for body in bodies)

    def test_lease_of_a_new_era_does_not_make_the_record_of_the_copy_valid(
        self, world, leader
    ):
        # Guards against a controller whose record has a lease that nobody renews.
        copy = world.store.copy()
        world.advance(0.5)
        leadership = leader.control.leadership
        leadership.step_down("test")
        del leader.view.items["briarspoke/control"]
        leave_watches_silent(world)
        world.store.restore(copy)
        world.advance(1.0)
        assert not leadership.is_leader

    def test_key_map_of_the_old_era_is_not_written(self, world, leader):
        key = "briarspoke/keys/stock"
        key_map = leader.key_maps.by_service["stock"]
        term = leader.control.leadership.term
        revision = world.store.items[key]["rev"]
        leader.view.find_relay = lambda: defer.Deferred()
        world.store.restore(world.store.copy())
        leader.store.learn_era(2)
        results = []
        write = leader.control.write_key_map("stock", key_map, term)
        defer.ensureDeferred(write).addErrback(lambda f: results.append(f.type))
        world.advance(0.1)
        assert results == [ConditionFailedError]
        assert world.store.items[key]["rev"] == revision

    def test_controller_resigns_in_its_era_only(self, world, leader):
        world.store.restore(world.store.copy())
        results = []
        resign = leader.control.leadership.resign()
        defer.ensureDeferred(resign).addCallback(results.append)
        world.advance(0.1)
        assert results == [True]
        assert b'"resigned": false' in world.store.items["briarspoke/control"]["value"]
        world.advance(6.0)
        assert self.leader_of(world) is not leader


class TestClientOfARestoredStore:
    @pytest.fixture
    def client(self, world):
        return world.node.store

    def run(self, world, coroutine):
        """Returns the outcome of a call, a result or a Failure."""
        results = []
        defer.ensureDeferred(coroutine).addBoth(results.append)
        world.advance(0.1)
        return results[0]

    def lease_given_out_again(self, world, client):
        copy = world.store.copy()
        lease, _ = self.run(world, client.create_lease(10.0))
        world.store.restore(copy)
        body = json.dumps({"ttl_time": "9000ms"}).encode()
        reply = world.store.call("POST", "/briarspoke/kv-lease", body)
        world.store.put("op/of-another-vm", b"1", reply.body["lease"])
        return lease

    def test_lease_id_given_out_again_is_not_renewed(self, world, client):
        lease = self.lease_given_out_again(world, client)
        self.run(world, client.probe())
        targets = record_calls(world)
        failure = self.run(world, client.renew_lease(lease))
        assert failure.check(LeaseExpiredError)
        assert not any("kv-keep" in target for target in targets)

    def test_lease_id_given_out_again_is_not_ended(self, world, client):
        lease = self.lease_given_out_again(world, client)
        self.run(world, client.probe())
        failure = self.run(world, client.end_lease(lease))
        assert failure.check(LeaseExpiredError)
        assert "op/of-another-vm" in world.store.items

    def test_lease_id_given_out_again_is_not_written_with(self, world, client):
        lease = self.lease_given_out_again(world, client)
        self.run(world, client.probe())
        write = client.write(expected={}, puts={"k": b"1"}, lease=lease)
        assert self.run(world, write).check(LeaseExpiredError)
        assert "k" not in world.store.items

    def test_renewal_that_shows_a_new_era_has_failed(self, world, client):
        lease = self.lease_given_out_again(world, client)
        failure = self.run(world, client.renew_lease(lease))
        assert failure.check(LeaseExpiredError)

    def test_write_with_a_revision_of_the_old_era_is_not_sent(self, world, client):
        era = client.era
        world.store.restore(world.store.copy())
        self.run(world, client.probe())
        write = client.write(expected={"k": 0}, puts={"k": b"1"}, era=era)
        assert self.run(world, write).check(ConditionFailedError)
        assert "k" not in world.store.items

    def test_write_that_shows_a_new_era_has_an_unknown_outcome(self, world, client):
        era = client.era
        world.advance(0.5)
        world.store.restore(world.store.copy())
        write = client.write(expected={"k": 0}, puts={"k": b"1"}, era=era)
        failure = self.run(world, write)
        assert failure.check(StoreError)
        assert failure.value.outcome_unknown

    def test_answer_of_an_old_era_is_refused(self, world, client):
        world.store.restore(world.store.copy())
        self.run(world, client.probe())
        world.store.era -= 1
        failure = self.run(world, client.write(expected={}, puts={"k": b"1"}))
        assert failure.check(StoreError)
        assert failure.value.outcome_unknown
        assert client.era == 2

    def test_pages_of_two_eras_are_not_mixed(self, world, client):
        for number in range(600):
            world.store.put(f"op/{number:03}", b"1")
        world.advance(2.0)
        call = world.store.call

        def restore_after_a_page(*args):
            reply = call(*args)
            if "after=op" not in args[1] and "kv-range" in args[1]:
                world.store.restore(world.store.copy())
            return reply

        world.node.view.find_relay = None
        reading = client.read_all("op/")
        world.store.call = restore_after_a_page
        assert self.run(world, reading).check(StoreError)

    def test_observers_are_called_when_the_era_rises(self, world):
        eras = []
        node = world.add_node("front-poa-2", 2, start=False)
        client = node.store
        client.era_observers.append(lambda: eras.append(client.era))
        self.run(world, client.probe())
        assert not eras
        world.store.restore(world.store.copy())
        self.run(world, client.probe())
        self.run(world, client.probe())
        assert eras == [2]

    def test_store_without_the_header_has_era_0(self, world, monkeypatch):
        monkeypatch.setattr(StoreModel, "headers", [])
        node = world.add_node("front-poa-2", 2, start=False)
        changes = self.run(world, node.store.read_all())
        assert changes.era == 0

    def test_answer_without_the_header_tells_no_era(self, world, monkeypatch):
        # Guards against a restore that a failing store seems to show.
        node = world.add_node("front-poa-2", 2, start=False)
        rises = []
        node.store.era_observers.append(lambda: rises.append(node.store.era))
        with monkeypatch.context() as patch:
            patch.setattr(StoreModel, "headers", [])
            self.run(world, node.store.read_all())
        self.run(world, node.store.read_all())
        assert not rises and node.store.era == 1
