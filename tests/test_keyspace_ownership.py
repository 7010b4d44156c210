"""Ownership of keys with lost calls, network cuts, restarts and two controllers."""

from __future__ import annotations

import contextlib

import pytest
from entry_fakes import STORE, World, configuration, registration
from keyspace_fakes import KEYS, SERVERS, address, controller, holders, keyspace_world

from briarspoke.keyspace import keymap
from briarspoke.keyspace.granter import HOLD_S, RENEWAL_INTERVAL_S
from briarspoke.keyspace.grantlog import MAX_TRANSIT_S, expiry_time
from briarspoke.keyspace.leadership import CONTROL_KEY
from briarspoke.platform import grants
from briarspoke.platform.keyvalue import StoreError
from briarspoke.standins.platform_server import ServerModel


@pytest.fixture
def world():
    return keyspace_world()


class TestFirstMap:
    def test_every_key_has_one_owner_that_the_map_names(self, world):
        for key in KEYS:
            owner = world.nodes[0].key_maps.owner("stock", key)
            assert holders(world, key) == [owner.server_id]

    def test_one_node_controls(self, world):
        assert sum(node.control.is_leader for node in world.nodes) == 1


class TestStoreOutage:
    def test_keys_stay_owned_for_ten_seconds(self, world):
        # Guards against grants that expire during an outage of the store.
        world.store_down = True
        for _ in range(9):
            world.advance(1.0)
            assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_controller_lost_during_outage_leaves_long_grants(self, world):
        # Guards against the expiry of all grants when the controller is lost during
        # an outage of the store and no other can take over.
        leader = controller(world)
        world.store_down = True
        world.advance(3.0)
        for target in [STORE, *world.servers]:
            leader.faults(target).cut = True
        world.advance(5.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_keys_do_not_move_for_load(self, world):
        # Guards against keys without an owner for a whole outage: they were released,
        # and the map with their next owner could not be written.
        leader = controller(world)
        world.store_down = True
        world.advance(4.0)
        busy = leader.key_maps.owner("stock", 7).server_id
        for _ in range(50):
            for key in KEYS:
                if leader.key_maps.owner("stock", key).server_id == busy:
                    for _ in range(6):
                        leader.key_load.count("stock", key)
            world.advance(0.1)
            assert all(len(holders(world, key)) == 1 for key in KEYS)


class TestLastServer:
    def test_server_that_was_unreachable_gets_keys_again(self, world):
        # Guards against keys without an owner while a server is there: it was cut off
        # for a time and has had no keys since.
        number = SERVERS[0]
        for node in world.nodes:
            node.faults(address(number)).cut = True
        world.advance(3.0)
        world.store.delete(f"servers/s-{number}")
        world.advance(8.0)
        for node in world.nodes:
            node.faults(address(number)).cut = False
        world.store.put(f"servers/s-{number}", registration("stock", number, seq=2))
        world.advance(3.0)
        for other in SERVERS[1:]:
            state = registration("stock", other, state="draining", seq=2)
            world.store.put(f"servers/s-{other}", state)
        world.advance(10.0)
        assert all(holders(world, key) == [f"s-{number}"] for key in KEYS)


class TestAnnouncedOwners:
    def drain(self, world):
        """Starts to drain the first server and returns the key maps of all nodes."""
        number = SERVERS[0]
        world.store.put(
            f"servers/s-{number}", registration("stock", number, state="draining")
        )
        return [node.key_maps for node in world.nodes]

    def test_requests_wait_while_keys_are_released(self, world):
        # Guards against requests that are sent to a server after it has released
        # their key: the server refuses each of them, which costs a retry.
        server = world.servers[address(SERVERS[0])]
        call = server.call

        def call_except_release(path, body, arrived, target):
            if path.endswith("release"):
                return None
            return call(path, body, arrived, target)

        server.call = call_except_release
        maps = self.drain(world)
        world.advance(0.5)
        key = 7
        assert holders(world, key) == [f"s-{SERVERS[0]}"]
        assert all(m.owner("stock", key).server_id == keymap.UNOWNED for m in maps)
        world.advance(5.0)
        assert all(
            [m.owner("stock", key).server_id] == holders(world, key) for m in maps
        )

    def test_new_owner_is_known_without_the_store(self, world):
        # Guards against requests that wait for a new owner until the watch of the
        # store returns the new map.
        other = next(node for node in world.nodes if not node.control.is_leader)
        maps = self.drain(world)
        world.advance(0.02)
        other.faults(STORE).cut = True
        world.advance(0.3)
        assert all([m.owner("stock", 7).server_id] == holders(world, 7) for m in maps)


class TestSlowRelease:
    def test_key_moves_when_work_outlasts_the_grant(self, world):
        # Guards against a key without an owner for the timeout of a release and the
        # hold of the last grant after it. The server does not answer the release
        # before its running requests have ended.
        slow_server = world.servers[address(SERVERS[0])]
        call = slow_server.call

        def call_except_release(path, body, arrived, target):
            if path.endswith("release"):
                return None
            return call(path, body, arrived, target)

        slow_server.call = call_except_release
        number = SERVERS[0]
        world.store.put(
            f"servers/s-{number}", registration("stock", number, state="draining")
        )
        world.advance(4.0 * 1.02 + 0.8)
        assert holders(world, 7) and holders(world, 7) != [f"s-{number}"]


class TestLostController:
    def test_another_takes_over_before_grants_expire(self, world):
        # Guards against keys without an owner after the loss of the controller.
        leader = controller(world)
        for target in [STORE, *world.servers]:
            leader.faults(target).cut = True
        for _ in range(50):
            world.advance(0.1)
            assert all(len(holders(world, key)) == 1 for key in KEYS)
        other = next(node for node in world.nodes if node is not leader)
        assert other.control.is_leader

    def test_replaced_controller_stops_at_the_first_refused_token(self, world):
        # Guards against a controller that has lost only the store and keeps renewing
        # grants while its successor does the same.
        leader = controller(world)
        leader.faults(STORE).cut = True
        world.advance(5.0)
        assert not leader.control.is_leader

    def test_successor_waits_until_unknown_grants_have_expired(self, world):
        # Guards against two owners: the old controller still renews the grants of a
        # server that the new controller cannot reach.
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        for number in SERVERS:
            cut_off = number == SERVERS[0]
            other.faults(address(number)).cut = cut_off
            leader.faults(address(number)).cut = not cut_off
        leader.faults(STORE).cut = True
        world.store.delete(f"servers/s-{SERVERS[0]}")
        # Lease, renewals without the store, and one hold with its expiry margins.
        for _ in range(int(10 * (2.5 + 10 + 0.6 + MAX_TRANSIT_S + 4.23 + 1))):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_resigned_successor_tells_how_long_to_wait(self, world):
        # Guards against two owners: a controller that is cut off from the store renews
        # grants; its successor resigns, and the next one knows only of the resignation.
        leader = controller(world)
        world.add_node("front-cwb-2", 3)
        world.advance(1.0)
        first, second = (node for node in world.nodes if node is not leader)
        for number in SERVERS:
            cut_off = number == SERVERS[0]
            for other in (first, second):
                other.faults(address(number)).cut = cut_off
            leader.faults(address(number)).cut = not cut_off
        leader.faults(STORE).cut = True
        world.store.delete(f"servers/s-{SERVERS[0]}")
        for _ in range(50):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        successor = next(n for n in (first, second) if n.control.is_leader)
        successor.spawn(successor.control.stop())
        for _ in range(120):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        world.advance(10.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_restarted_successor_waits_as_long(self, world):
        # Guards against the same after the successor's process was restarted.
        leader = controller(world)
        for node in world.nodes:
            for number in SERVERS:
                is_first = number == SERVERS[0]
                node.faults(address(number)).cut = is_first != (node is leader)
        leader.faults(STORE).cut = True
        world.store.delete(f"servers/s-{SERVERS[0]}")
        world.advance(3.2)
        successor = next(node for node in world.nodes if node is not leader)
        assert successor.control.is_leader
        # A new process with the name of the successor takes over at once.
        for target in [STORE, *world.servers]:
            successor.faults(target).cut = True
        restarted = world.add_node(successor.settings.node, 9)
        restarted.faults(address(SERVERS[0])).cut = True
        for _ in range(160):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert restarted.control.is_leader


class TestDrainingOwnerOfANewTerm:
    @pytest.mark.parametrize("states", [["draining"], ["draining", "ready"]])
    def test_its_keys_move_without_a_pause(self, world, states):
        # Guards against a new controller that asks owners for a release before they
        # have seen a token of its term: the keys then have no owner until all grants
        # of its predecessor have expired, up to 14 s.
        lost = controller(world)
        lost.faults(STORE).cut = True
        for server in SERVERS:
            lost.faults(address(server)).cut = True
        for number, state in zip(SERVERS, states, strict=False):
            world.store.put(
                f"servers/s-{number}", registration("stock", number, state=state, seq=2)
            )
        successor = next(node for node in world.nodes if node is not lost)
        for _ in range(100):
            if successor.control.is_leader:
                break
            world.advance(0.05)
        unowned_s = dict.fromkeys(KEYS, 0.0)
        for _ in range(100):
            world.advance(0.05)
            for key in KEYS:
                owners = holders(world, key)
                assert len(owners) <= 1
                unowned_s[key] += 0.05 * (not owners)
        assert max(unowned_s.values()) < 0.5
        assert not any(holders(world, key) == [f"s-{SERVERS[0]}"] for key in KEYS)


class TestLateControlWrites:
    def test_record_of_an_earlier_attempt_ends_with_its_lease(self):
        # Guards against a controller that renews grants for ever: the record that made
        # it controller belongs to a lease that it does not renew.
        world = World()
        world.store.put("op/config", configuration())
        node = world.add_node()
        write, delays_s = node.store.write, [1.5, 2.0]

        async def ignore_failure(call):
            with contextlib.suppress(StoreError):
                await call

        async def write_late(**options):
            if CONTROL_KEY not in dict(options["puts"]) or not delays_s:
                return await write(**options)
            late = ignore_failure(write(**options))
            world.reactor.callLater(delays_s.pop(0), node.spawn, late)
            await node.sleep(0.8)
            raise StoreError("write: timeout", outcome_unknown=True)

        node.store.write = write_late
        world.advance(2.6)
        assert not delays_s
        for _ in range(60):
            world.advance(0.1)
            assert not node.control.is_leader or CONTROL_KEY in world.store.items
        assert node.control.is_leader


class TestLateArrival:
    def test_grant_that_waits_in_a_link_longer_than_its_call(self, world):
        # Guards against two owners: a grant that was given up after its timeout reaches
        # the server more than a second later, and the server holds it from then on.
        leader = controller(world)
        world.advance(1.0)
        faults = leader.faults(address(SERVERS[0]))
        faults.transit_s = 1.9
        world.advance(2.0)
        world.store.delete(f"servers/s-{SERVERS[0]}")
        for _ in range(120):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert all(len(holders(world, key)) == 1 for key in KEYS)


class TestLostServer:
    def test_unreachable_server_keeps_its_keys_until_grants_expire(self, world):
        lost = SERVERS[1]
        for node in world.nodes:
            node.faults(address(lost)).cut = True
        world.store.delete(f"servers/s-{lost}")
        for _ in range(60):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_restarted_server_gets_its_keys_back_immediately(self, world):
        number = SERVERS[1]
        model = ServerModel(server_id=f"s-{number}", clock=world.reactor.seconds)
        world.servers[address(number)] = model
        world.store.put(f"servers/s-{number}", registration("stock", number, born=2))
        world.advance(0.5)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_new_process_that_accepted_renewals_is_asked_to_release(self, world):
        # Guards against two owners: a process started during an outage of the store
        # and accepted renewals meant for the previous process at its address. Its
        # keys then moved without a release because the previous process had ended.
        number = SERVERS[1]
        world.store_down = True
        model = ServerModel(server_id=f"s-{number}", clock=world.reactor.seconds)
        world.servers[address(number)] = model
        world.advance(2.0)
        assert any(model.holds(key) for key in KEYS)
        world.store.put(
            f"servers/s-{number}",
            registration("stock", number, born=2, state="draining"),
        )
        world.store_down = False
        for _ in range(30):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)

    def test_draining_server_hands_its_keys_over(self, world):
        number = SERVERS[0]
        world.store.put(
            f"servers/s-{number}", registration("stock", number, state="draining")
        )
        world.advance(0.5)
        owners = {holders(world, key)[0] for key in KEYS}
        assert f"s-{number}" not in owners


class TestLongGrants:
    def test_successor_waits_for_long_grants_of_a_resigned_controller(self, world):
        # Guards against two owners: a controller sends long grants while the store is
        # down and resigns as soon as it is back.
        leader = controller(world)
        number = SERVERS[0]
        world.advance(20.0)
        world.store_down = True
        world.advance(4.0)
        assert holders(world, 7) == [f"s-{number}"]
        other = next(node for node in world.nodes if node is not leader)
        for node in world.nodes:
            node.faults(address(number)).cut = True
        world.store.extend_all_leases(4.0)
        world.store_down = False
        world.store.delete(f"servers/s-{number}")
        world.advance(0.5)
        assert leader.control.is_leader
        leader.spawn(leader.control.stop())
        for _ in range(120):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert other.control.is_leader
        world.advance(8.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_controller_that_resigns_at_once(self, world):
        # Guards against two owners: the time of its predecessor's grants is lost.
        leader = controller(world)
        number = SERVERS[0]
        world.add_node("front-cwb-2", 3)
        world.advance(20.0)
        world.store_down = True
        world.advance(4.0)
        for node in world.nodes:
            node.faults(address(number)).cut = True
        world.store.extend_all_leases(4.0)
        world.store_down = False
        world.store.delete(f"servers/s-{number}")
        world.advance(0.5)
        leader.spawn(leader.control.stop())
        successors = [node for node in world.nodes if node is not leader]
        while not any(node.control.is_leader for node in successors):
            world.advance(0.005, 0.005)
        successor = next(node for node in successors if node.control.is_leader)
        successor.spawn(successor.control.stop())
        for _ in range(150):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)

    def test_recorded_time_covers_the_late_arrival_of_a_call(self, world):
        leader = controller(world)
        world.advance(20.0)
        world.store_down = True
        world.advance(3.0)
        leader.faults(address(SERVERS[0])).cut = True
        world.advance(1.0)
        sent_at = world.reactor.seconds()
        arrived_at = sent_at + grants.GRANT_TIMEOUT_S + MAX_TRANSIT_S
        settled_at = leader.control.leadership.settled_at
        # The last long grant was sent at most one renewal interval ago.
        hold_s = leader.control.leadership.hold_s(sent_at, HOLD_S, 10.0)
        assert settled_at >= expiry_time(arrived_at, hold_s) - RENEWAL_INTERVAL_S


class TestLateGrants:
    def test_late_grant_to_an_owner_that_is_gone(self, world):
        # Guards against two owners: the owner has released, then a grant arrives.
        leader = controller(world)
        faults = leader.faults(address(SERVERS[0]))
        faults.answers_lost = True
        faults.late_s = 2.0
        world.advance(1.5)
        faults.answers_lost = False
        faults.late_s = 0.0
        world.store.delete(f"servers/s-{SERVERS[0]}")
        for _ in range(70):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)

    def test_range_with_an_unanswered_grant_waits_until_it_expires(self, world):
        # Guards against a delayed grant that is applied after the range has moved.
        leader = controller(world)
        faults = leader.faults(address(SERVERS[0]))
        faults.answers_lost = True
        faults.late_s = 2.0
        world.advance(1.5)
        faults.answers_lost = False
        faults.late_s = 0.0
        world.store.put(
            f"servers/s-{SERVERS[0]}",
            registration("stock", SERVERS[0], state="draining"),
        )
        for _ in range(70):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
