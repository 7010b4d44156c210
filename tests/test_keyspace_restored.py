"""Ownership of keys after the store was restored from a copy."""

from __future__ import annotations

import json

import pytest
from entry_fakes import STORE, World, configuration, registration
from keyspace_fakes import (
    KEYS,
    SERVERS,
    Process,
    address,
    controller,
    cut_off,
    holders,
    keyspace_world,
    restore,
    start_nodes,
)

from briarspoke.keyspace import keymap
from briarspoke.keyspace.granter import HOLD_S
from briarspoke.keyspace.leadership import CONTROL_KEY, RENEWAL_WITHOUT_STORE_S
from briarspoke.standins.platform_server import ServerModel

# Time after which all grants of earlier controllers have expired.
SETTLED_S = RENEWAL_WITHOUT_STORE_S + HOLD_S + 6.0


@pytest.fixture
def world():
    return keyspace_world()


@pytest.fixture
def recorded_world():
    """A world whose servers record tokens that another process had before."""
    world = keyspace_world(start=False)
    world.violations = []
    highest_by_key = {}
    for number in SERVERS:
        world.servers[address(number)] = Process(
            server_id=f"s-{number}",
            clock=world.reactor.seconds,
            highest_by_key=highest_by_key,
            violations=world.violations,
            born=1,
        )
    start_nodes(world)
    return world


def drain(world, number):
    world.store.put(
        f"servers/s-{number}", registration("stock", number, state="draining")
    )


def check(world, seconds):
    """Lets time pass; no key may have two owners."""
    for _ in range(round(seconds * 10)):
        world.advance(0.1)
        for key in KEYS:
            assert len(holders(world, key)) <= 1, (key, holders(world, key))


def check_tokens(world):
    """Checks that each owner has a higher token than any other server had."""
    for key in KEYS:
        (owner_id,) = holders(world, key)
        tokens = {
            model.server_id: model.highest_fence(key, key)
            for model in world.servers.values()
        }
        owners_token = tokens.pop(owner_id)
        assert owners_token > max(tokens.values()), key


def reconnect(world, node):
    for target in [STORE, *world.servers]:
        node.faults(target).cut = False


def move(node, first, last, number):
    """Lets the controller move keys to a server."""
    manager = node.control._range_managers_by_service["stock"]
    owner = node.key_maps.by_service["stock"].owner(first)
    manager._start_move(first, last, owner, (f"s-{number}", 1), "load")


class TestMapOfACopy:
    """Guards against owners that a copy names although their keys have moved."""

    def test_moved_keys_stay_with_their_owners(self, world):
        copy = world.store.copy()
        drain(world, SERVERS[0])
        world.advance(2.0)
        before = {key: holders(world, key) for key in KEYS}
        restore(world, copy)
        for _ in range(200):
            world.advance(0.1)
            assert {key: holders(world, key) for key in KEYS} == before
        check_tokens(world)

    def test_requests_follow_the_owners(self, world):
        copy = world.store.copy()
        drain(world, SERVERS[0])
        world.advance(2.0)
        restore(world, copy)
        for _ in range(50):
            world.advance(0.1)
            for node in world.nodes:
                assert [node.key_maps.owner("stock", 7).server_id] == holders(world, 7)

    def test_copy_without_a_map(self):
        world = World()
        world.store.put("op/config", configuration())
        for number in SERVERS:
            world.add_server("stock", number)
        copy = world.store.copy()
        world.add_node("front-poa-1", 1)
        world.advance(3.0)
        before = {key: holders(world, key) for key in KEYS}
        restore(world, copy)
        world.advance(5.0)
        assert {key: holders(world, key) for key in KEYS} == before
        check_tokens(world)

    def test_later_moves(self, world):
        restore(world, world.store.copy())
        world.advance(1.0)
        drain(world, SERVERS[1])
        check(world, SETTLED_S)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        check_tokens(world)


class TestLostController:
    """Guards against two owners when nobody knows the moves since the copy."""

    def test_all_grants_expire_first(self, world):
        copy = world.store.copy()
        leader = controller(world)
        drain(world, SERVERS[0])
        world.advance(2.0)
        cut_off(world, leader)
        other = next(node for node in world.nodes if node is not leader)
        restore(world, copy)
        check(world, SETTLED_S + 5.0)
        assert other.control.is_leader
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        check_tokens(world)

    def test_next_controller_waits_as_long(self, world):
        copy = world.store.copy()
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        drain(world, SERVERS[0])
        world.advance(2.0)
        cut_off(world, leader)
        restore(world, copy)
        check(world, 5.0)
        assert other.control.is_leader
        cut_off(world, other)
        world.add_node("front-cwb-2", 3)
        check(world, SETTLED_S + 5.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        check_tokens(world)

    def test_all_processes_restart(self, world):
        copy = world.store.copy()
        drain(world, SERVERS[0])
        world.advance(2.0)
        for node in world.nodes:
            cut_off(world, node)
        restore(world, copy)
        world.add_node("front-poa-1", 3)
        check(world, SETTLED_S + 5.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        check_tokens(world)


class TestReplacedController:
    """Guards against two owners after two controllers before the restore."""

    @pytest.mark.parametrize("cut_number", [None, *SERVERS])
    def test_controller_that_was_cut_off_from_the_store(self, world, cut_number):
        copy = world.store.copy()
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        if cut_number is not None:
            leader.faults(address(cut_number)).cut = True
        leader.faults(STORE).cut = True
        world.advance(3.5)
        assert other.control.is_leader
        drain(world, SERVERS[0])
        check(world, 2.0)
        other.faults(STORE).cut = True
        leader.faults(STORE).cut = False
        restore(world, copy)
        check(world, 3.0)
        other.faults(STORE).cut = False
        for number in SERVERS:
            leader.faults(address(number)).cut = False
        check(world, SETTLED_S + 5.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        check_tokens(world)


class TestRestartedServer:
    """Guards against a process that accepts tokens because it knows none."""

    def isolate_and_restart(self, world):
        """Cuts the controller off; its successor moves the keys of a server that then
        restarts. Returns both VMs."""
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        cut_off(world, leader)
        world.advance(3.3)
        drain(world, SERVERS[0])
        check(world, 1.5)
        assert holders(world, 7) == [f"s-{SERVERS[1]}"]
        number = SERVERS[0]
        model = ServerModel(server_id=f"s-{number}", clock=world.reactor.seconds)
        world.servers[address(number)] = model
        world.store.put(f"servers/s-{number}", registration("stock", number, born=2))
        world.advance(0.3)
        return leader, other

    @pytest.mark.parametrize("other_is", ["running", "cut off from the store", "ended"])
    def test_former_controller_confirms_no_keys_there(self, world, other_is):
        copy = world.store.copy()
        leader, other = self.isolate_and_restart(world)
        if other_is == "cut off from the store":
            other.faults(STORE).cut = True
        elif other_is == "ended":
            cut_off(world, other)
        leader.faults(STORE).cut = False
        restore(world, copy)
        while leader.store.era == 1:
            world.advance(0.01)
        reconnect(world, leader)
        check(world, 8.0)

    def test_controller_without_the_store_renews_no_keys_there(self, world):
        leader, _ = self.isolate_and_restart(world)
        for number in SERVERS:
            leader.faults(address(number)).cut = False
        check(world, 8.0)


class TestProcessThatStartsAfterARestore:
    """Guards against owners and tokens that only the lost writes tell."""

    @pytest.mark.parametrize("controller_is", ["cut off from the store", "ended"])
    def test_first_map_waits_for_earlier_grants(self, controller_is):
        world = World()
        world.store.put("op/config", configuration())
        for number in SERVERS[:2]:
            world.add_server("stock", number)
        copy = world.store.copy()
        leader = world.add_node("front-poa-1", 1)
        world.advance(3.0)
        world.add_server("stock", SERVERS[2])
        world.advance(1.0)
        leader.faults(STORE).cut = True
        if controller_is == "ended":
            cut_off(world, leader)
        restore(world, copy)
        world.add_node("front-cwb-1", 2)
        check(world, SETTLED_S + 5.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_owners_of_the_copy_are_not_trusted(self, recorded_world):
        world = recorded_world
        copy = world.store.copy()
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        move(leader, 0, 9_000, SERVERS[1])
        check(world, 1.0)
        assert holders(world, 0) == [f"s-{SERVERS[1]}"]
        leader.faults(STORE).cut = True
        cut_off(world, other)
        restore(world, copy)
        world.add_node("front-cwb-1", 3)
        check(world, 30.0)
        assert not world.violations

    def test_tokens_are_above_those_of_the_lost_terms(self, recorded_world):
        world = recorded_world
        copy = world.store.copy()
        for _ in range(2):
            controller(world).control.leadership.step_down("test")
            world.advance(3.5)
        move(controller(world), 0, 9_000, SERVERS[1])
        check(world, 1.0)
        for node in world.nodes:
            cut_off(world, node)
        restore(world, copy)
        world.add_node("front-cwb-1", 3)
        check(world, 40.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        assert not world.violations


class TestFormerController:
    """Guards against owners that a controller of an earlier time confirms."""

    def test_owner_that_knows_a_newer_token_is_not_confirmed(self, recorded_world):
        world = recorded_world
        copy = world.store.copy()
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        cut_off(world, leader)
        world.advance(4.0)
        assert other.control.is_leader
        move(other, 0, 9_000, SERVERS[1])
        check(world, 1.0)
        assert holders(world, 0) == [f"s-{SERVERS[1]}"]
        self.restore_and_reconnect(world, copy, leader, other)
        check(world, 30.0)
        assert not world.violations

    def test_nothing_is_confirmed_after_the_time_of_renewals(self, recorded_world):
        world = recorded_world
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        copy = world.store.copy()
        cut_off(world, leader)
        other.faults(address(SERVERS[0])).cut = True
        world.advance(3.5)
        assert other.control.is_leader
        world.store.delete(f"servers/s-{SERVERS[0]}")
        check(world, 20.0)
        assert holders(world, 0) not in ([], [f"s-{SERVERS[0]}"])
        self.restore_and_reconnect(world, copy, leader, other)
        check(world, 30.0)
        assert not world.violations

    def restore_and_reconnect(self, world, copy, leader, other):
        other.faults(STORE).cut = True
        leader.faults(STORE).cut = False
        restore(world, copy)
        while leader.store.era == 1:
            world.advance(0.01)
        reconnect(world, leader)


class TestLateWriteOfAnEarlierEra:
    def test_map_is_not_written_at_revisions_given_out_again(self):
        # Guards against a map of an earlier era in the store, whose tokens are lower.
        world = World()
        world.store.put("op/config", configuration())
        world.add_server("stock", SERVERS[0])
        copy = world.store.copy()
        leader = world.add_node("front-poa-1", 1)
        world.advance(3.0)
        map_key = keymap.KEY_MAP_PREFIX + "stock"
        term = leader.control.leadership.term
        expected = {**term.expected, map_key: world.store.items[map_key]["rev"]}
        world.store.restore(copy)
        for key in (CONTROL_KEY, map_key):
            while world.store.revision < expected[key] - 1:
                world.store.put("op/other", b"")
            world.store.put(key, b"{}")
        transaction = {
            "precondition": [{"key": k, "rev": r} for k, r in expected.items()],
            "puts": [{"key": map_key, "value": "e30=", "lease": 0}],
        }
        data = json.dumps(transaction).encode()
        reply = world.store.call("POST", "/briarspoke/kv-txn", data)
        assert {i["key"]: i["rev"] for i in reply.body["items"]} == {
            CONTROL_KEY: expected[CONTROL_KEY],
            map_key: expected[map_key],
        }
        assert reply.status == 412


class TestMapInMemory:
    """Guards against requests that are sent to the owners which a copy names."""

    def test_map_with_lower_tokens_is_ignored(self):
        def key_map(fence):
            owner = keymap.Owner(server_id=f"s-{fence}", incarnation=1, fence=fence)
            return keymap.KeyMap(starts=[0], owners=[owner])

        maps = keymap.KeyMaps()
        maps.put("stock", key_map(4))
        maps.put("stock", key_map(3))
        assert maps.owner("stock", 7).server_id == "s-4"
        maps.put("stock", key_map(5))
        assert maps.owner("stock", 7).server_id == "s-5"
