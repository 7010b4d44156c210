"""Ownership of keys when servers end and others, or new lives, have their addresses."""

from __future__ import annotations

import pytest
from entry_fakes import STORE, registration
from keyspace_fakes import KEYS, SERVERS, address, controller, holders, keyspace_world

from briarspoke.keyspace import keymap
from briarspoke.standins.platform_server import ServerModel


@pytest.fixture
def world():
    return keyspace_world()


class TestReusedAddress:
    def next_server(self, world, number):
        """Replaces a server by one with another id at its address."""
        model = ServerModel(server_id="s-99", clock=world.reactor.seconds)
        world.servers[address(number)] = model
        return model

    def test_next_server_at_an_address_does_not_take_renewals(self, world):
        # Guards against a server that takes keys with the token of its predecessor.
        model = self.next_server(world, SERVERS[0])
        world.advance(2.0)
        assert not any(model.holds(key) for key in KEYS)
        assert model.highest_fence(0, keymap.KEY_COUNT - 1) == 0

    def test_next_life_of_a_server_takes_keys_with_a_higher_token(self, world):
        # Guards against a restarted server that takes keys with the token of its
        # former process, before its registration tells of the restart.
        number = SERVERS[0]
        world.advance(2.0)
        former = world.servers[address(number)]
        model = ServerModel(server_id=f"s-{number}", clock=world.reactor.seconds)
        world.servers[address(number)] = model
        world.advance(2.0)
        every_key = (0, keymap.KEY_COUNT - 1)
        assert model.highest_fence(*every_key) > former.highest_fence(*every_key)

    def test_keys_move_at_once_when_another_server_answers(self, world):
        # Guards against keys that wait for grants which no server has any more.
        self.next_server(world, SERVERS[0])
        world.advance(2.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_registration_at_an_owners_address_does_not_move_its_keys(self, world):
        # Guards against two owners: a registration of a server that has ended is
        # written late and names the address of a live owner.
        late = registration("orders", SERVERS[0], born=0)
        world.store.put("servers/s-99", late)
        for _ in range(80):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_owner_that_was_unknown_when_its_keys_began_to_move(self, world):
        # Guards against two owners: a controller learns the address of an owner while
        # its predecessor still renews, and takes a release for the end of the grants.
        leader = controller(world)
        other = next(node for node in world.nodes if node is not leader)
        number = SERVERS[0]
        for unreachable in SERVERS[1:]:
            leader.faults(address(unreachable)).cut = True
        leader.faults(STORE).cut = True
        world.store.delete(f"servers/s-{number}")
        world.advance(4.5)
        assert other.control.is_leader
        world.store.put(f"servers/s-{number}", registration("stock", number))
        world.advance(0.6)
        world.store.put("servers/s-99", registration("orders", number, born=2))
        for _ in range(60):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)

    def test_owner_is_asked_again_when_another_server_registers(self, world):
        # Guards against keys that wait for grants which no server has any more.
        number = SERVERS[0]
        del world.servers[address(number)]
        world.advance(0.5)
        world.store.delete(f"servers/s-{number}")
        world.advance(1.0)
        self.next_server(world, number)
        world.store.put("servers/s-99", registration("orders", number, born=2))
        world.advance(1.2)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_controller_that_starts_after_its_owners_have_ended(self, world):
        # Guards against keys that wait for the longest grants of earlier controllers,
        # since only the map names their owner.
        leader = controller(world)
        number = SERVERS[0]
        for node in world.nodes:
            for target in [STORE, *world.servers]:
                node.faults(target).cut = True
        world.advance(1.0)
        world.store.delete(f"servers/s-{number}")
        self.next_server(world, number)
        world.store.put("servers/s-99", registration("stock", number, born=2))
        world.add_node(leader.settings.node, 9)
        world.advance(2.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)

    def test_refusal_that_names_the_owner_itself_proves_nothing(self, world):
        # Guards against two owners after one wrong answer.
        number = SERVERS[0]
        model = world.servers[address(number)]
        call = model.call

        def refuse_releases(path, body, arrived, target):
            if path.endswith("release"):
                return 421, {"Instance-Id": target}
            return call(path, body, arrived, target)

        model.call = refuse_releases
        state = registration("stock", number, state="draining")
        world.store.put(f"servers/s-{number}", state)
        for _ in range(60):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)

    def test_kept_connections_need_no_new_tokens(self, world):
        # Guards against a token for each renewal, which would use up those of a term.
        world.advance(2.0)
        models = world.servers.values()
        before = max(m.highest_fence(0, keymap.KEY_COUNT - 1) for m in models)
        world.advance(20.0)
        assert before == max(m.highest_fence(0, keymap.KEY_COUNT - 1) for m in models)

    def test_next_server_does_not_release_for_its_predecessor(self, world):
        # Guards against a release that is answered by a server which had no keys,
        # while grants to its predecessor are still on their way.
        number = SERVERS[0]
        self.next_server(world, number)
        world.store.put("servers/s-99", registration("stock", number, born=2))
        world.store.delete(f"servers/s-{number}")
        for _ in range(30):
            world.advance(0.1)
            assert all(len(holders(world, key)) <= 1 for key in KEYS)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
