"""Registrations that reach the store seconds late."""

from __future__ import annotations

import pytest
from entry_fakes import World, configuration, registration
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from profiles import stateful_settings

from briarspoke.entry import registrations
from briarspoke.entry.registrations import ENDED_MEMORY_S, Registrations
from briarspoke.platform import documents

ADDRESS = "10.0.9.11:80"


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("stock", 11, born=20, seq=5)
    world.add_server("stock", 12, born=20, seq=5)
    world.node = world.add_node()
    world.advance(4.0)
    return world


class Reader:
    """Applies the changes of :class:`Registrations`, as an entry VM does."""

    def __init__(self):
        self.now = 100.0
        self.registrations = Registrations()
        self.used = {}
        self.reasons = []
        self.revision = 0

    def put(self, server_id, **fields):
        body = registration("stock", fields.pop("number", 11), **fields)
        record = documents.decode_server(f"servers/{server_id}", body)
        self.revision += 1
        self.apply(self.registrations.put(record, self.revision, self.now))

    def remove(self, server_id, return_s=0.0):
        until = self.now + return_s
        self.apply(self.registrations.remove(server_id, self.now, until))

    def wait(self, seconds):
        self.now += seconds
        self.apply(self.registrations.expire(self.now))

    def apply(self, changes):
        for change in changes:
            record = change.registration.record
            self.reasons.append(change.reason)
            if change.reason is None:
                self.used[record.server_id] = record
            elif change.reason in (registrations.ADDRESS_IN_USE, registrations.GONE):
                self.used.pop(record.server_id, None)

    def versions(self):
        """Returns ``{id: (incarnation, sequence)}`` of the records in use."""
        return {
            server_id: (record.incarnation, record.sequence)
            for server_id, record in self.used.items()
        }


@pytest.fixture
def reader():
    return Reader()


def servers(world, service="stock"):
    """Returns ``{id: Server}`` of the servers in use of a service."""
    return world.node.dispatcher(service).servers


class TestLateRegistrations:
    """A late write of a server that has ended changes nothing about live servers."""

    def test_late_record_of_an_ended_server_does_not_take_the_address(self, world):
        late = registration("orders", 99, address=ADDRESS, born=10, seq=9)
        world.store.put("servers/s-99", late)
        world.advance(0.5)
        assert "s-11" in servers(world)
        assert "s-99" not in servers(world, "orders")

    def test_keys_stay_with_the_live_server(self, world):
        key_maps = world.node.key_maps
        owners = {key: key_maps.owner("stock", key) for key in range(0, 65536, 1024)}
        late = registration("orders", 99, address=ADDRESS, born=10, seq=9)
        world.store.put("servers/s-99", late)
        world.advance(1.0)
        for key, owner in owners.items():
            now = key_maps.owner("stock", key)
            assert (now.server_id, now.fence) == (owner.server_id, owner.fence)

    def test_a_later_server_takes_the_address(self, world):
        later = registration("orders", 99, address=ADDRESS, born=30, seq=1)
        world.store.put("servers/s-99", later)
        world.advance(0.5)
        assert "s-11" not in servers(world)
        assert "s-99" in servers(world, "orders")

    def test_a_record_set_aside_is_used_when_the_address_is_free(self, world):
        other = registration("orders", 99, address=ADDRESS, born=10, seq=9)
        world.store.put("servers/s-99", other)
        world.advance(0.5)
        world.store.delete("servers/s-11")
        world.advance(0.5)
        assert "s-99" in servers(world, "orders")

    def test_late_ready_does_not_end_draining(self, world):
        draining = registration("stock", 11, born=20, seq=7, state="draining")
        world.store.put("servers/s-11", draining)
        world.advance(0.5)
        drain_until = servers(world)["s-11"].intake.drain_until
        assert drain_until is not None
        world.store.put("servers/s-11", registration("stock", 11, born=20, seq=6))
        world.advance(0.5)
        assert servers(world)["s-11"].intake.drain_until == drain_until

    def test_late_record_of_an_earlier_life_is_out_of_date(self, world):
        server = servers(world)["s-11"]
        world.store.put("servers/s-11", registration("stock", 11, born=10, seq=50))
        world.advance(0.5)
        assert servers(world)["s-11"] is server
        assert server.record.incarnation == 20

    def test_late_record_of_a_removed_server_is_not_used_for_a_time(self, world):
        world.store.delete("servers/s-11")
        world.advance(2.0)
        world.store.put("servers/s-11", registration("stock", 11, born=20, seq=5))
        world.advance(17.0)
        assert "s-11" not in servers(world)
        world.advance(2.0)
        assert "s-11" in servers(world)

    def test_late_record_does_not_keep_a_server_that_left_in_an_outage(self, world):
        world.store_down = True
        world.advance(5.0)
        world.store.delete("servers/s-11")
        world.store_down = False
        world.advance(1.2)
        assert servers(world)["s-11"].registration_missing
        world.store.put("servers/s-11", registration("stock", 11, born=20, seq=4))
        world.advance(3.0)
        assert "s-11" not in servers(world)

    def test_same_record_after_an_outage_keeps_the_server(self, world):
        server = servers(world)["s-11"]
        item = world.store.items["servers/s-11"]
        world.store_down = True
        world.advance(5.0)
        world.store.delete("servers/s-11")
        world.store_down = False
        world.advance(1.2)
        assert server.registration_missing
        world.store.put("servers/s-11", item["value"])
        world.advance(3.0)
        assert servers(world)["s-11"] is server
        assert not server.registration_missing

    @pytest.mark.parametrize("changes", [{"seq": 6}, {"born": 30, "seq": 1}], ids=str)
    def test_a_newer_record_of_a_removed_server_is_used_at_once(self, world, changes):
        world.store.delete("servers/s-11")
        world.advance(1.0)
        body = registration("stock", 11, **{"born": 20, **changes})
        world.store.put("servers/s-11", body)
        world.advance(1.0)
        assert "s-11" in servers(world)

    def test_a_record_that_is_not_used_is_logged_and_counted(self, world, caplog):
        caplog.set_level("INFO")
        late = registration("orders", 99, address=ADDRESS, born=10, seq=9)
        world.store.put("servers/s-99", late)
        world.advance(0.5)
        lines = [line for line in caplog.messages if "not used" in line]
        assert lines == [
            "servers: not used id=s-99 service=orders address=10.0.9.11:80"
            " incarnation=10 sequence=9"
            f" revision={world.store.items['servers/s-99']['rev']}"
            " reason=address-in-use"
        ]
        count = world.node.metrics.value
        assert count("registrations_not_used_total", "address-in-use") == 1


class TestRecordsOfOneServer:
    """An earlier record never replaces a later one of the same server."""

    def test_lower_sequence_is_ignored(self, reader):
        reader.put("a", born=5, seq=3, state="draining")
        reader.put("a", born=5, seq=2)
        assert reader.used["a"].draining
        assert reader.reasons == [None, registrations.OLDER_RECORD]

    def test_lower_incarnation_is_ignored_whatever_its_sequence(self, reader):
        reader.put("a", born=6, seq=1)
        reader.put("a", born=5, seq=9)
        assert reader.versions() == {"a": (6, 1)}

    def test_a_record_may_be_read_again(self, reader):
        reader.put("a", born=5, seq=3)
        reader.put("a", born=5, seq=3)
        assert reader.reasons == [None, None]

    def test_a_new_life_begins_with_a_low_sequence(self, reader):
        reader.put("a", born=5, seq=9)
        reader.put("a", born=6, seq=1)
        assert reader.versions() == {"a": (6, 1)}

    def test_records_without_a_sequence_replace_each_other(self, reader):
        reader.put("a", born=5, seq=None)
        reader.put("a", born=5, seq=None, state="draining")
        assert reader.used["a"].draining


class TestServersAtOneAddress:
    """A server that started earlier never takes an address from a later one."""

    def test_the_server_that_started_last_is_used(self, reader):
        reader.put("a", born=5)
        reader.put("b", born=7)
        reader.put("c", born=6)
        assert reader.versions() == {"b": (7, 1)}

    def test_equal_incarnations_give_the_address_to_the_later_record(self, reader):
        reader.put("a", born=5)
        reader.put("b", born=5)
        assert reader.versions() == {"b": (5, 1)}

    def test_the_next_latest_is_used_after_the_removal(self, reader):
        for server_id, born in (("a", 5), ("b", 7), ("c", 6)):
            reader.put(server_id, born=born)
        reader.remove("b")
        assert reader.versions() == {"c": (6, 1)}

    def test_a_record_set_aside_is_kept_current(self, reader):
        reader.put("a", born=5)
        reader.put("b", born=7)
        reader.put("a", born=5, seq=2)
        reader.remove("b")
        assert reader.versions() == {"a": (5, 2)}

    def test_a_record_set_aside_and_removed_is_not_used(self, reader):
        reader.put("a", born=5)
        reader.put("b", born=7)
        reader.remove("a")
        reader.remove("b")
        assert not reader.used

    def test_a_server_that_moves_leaves_its_address_to_the_other(self, reader):
        reader.put("a", born=5)
        reader.put("b", born=7)
        reader.put("b", born=8, number=12)
        assert reader.versions() == {"a": (5, 1), "b": (8, 1)}

    def test_a_server_that_moves_to_an_address_in_use_is_set_aside(self, reader):
        reader.put("a", born=5, number=12)
        reader.put("b", born=7)
        reader.put("a", born=6)
        assert reader.versions() == {"b": (7, 1)}

    def test_a_server_that_may_return_keeps_its_address(self, reader):
        reader.put("b", born=7)
        reader.remove("b", return_s=2.0)
        reader.put("a", born=5)
        assert reader.versions() == {"b": (7, 1)}
        reader.wait(2.0)
        assert reader.versions() == {"a": (5, 1)}


class TestEndedServers:
    """A late record of a server that has ended is not used as if it were new."""

    @pytest.mark.parametrize("seq", [4, 5])
    def test_its_records_are_not_used_for_a_time(self, reader, seq):
        reader.put("a", born=5, seq=5)
        reader.remove("a")
        reader.put("a", born=5, seq=seq)
        reader.wait(ENDED_MEMORY_S - 0.1)
        assert not reader.used
        assert reader.reasons[-1] == registrations.ENDED
        reader.wait(0.1)
        assert reader.versions() == {"a": (5, seq)}

    def test_a_late_record_that_is_removed_is_not_used_later(self, reader):
        reader.put("a", born=5)
        reader.remove("a")
        reader.put("a", born=5)
        reader.remove("a")
        reader.wait(ENDED_MEMORY_S)
        assert not reader.used

    @pytest.mark.parametrize("fields", [{"born": 5, "seq": 6}, {"born": 6}], ids=str)
    def test_a_newer_record_is_used_at_once(self, reader, fields):
        reader.put("a", born=5, seq=5)
        reader.remove("a")
        reader.put("a", **fields)
        assert "a" in reader.used

    def test_a_server_that_may_return_has_not_ended(self, reader):
        reader.put("a", born=5)
        reader.remove("a", return_s=2.0)
        assert "a" in reader.used
        reader.put("a", born=5)
        reader.wait(10.0)
        assert "a" in reader.used

    def test_an_older_record_is_not_a_return(self, reader):
        reader.put("a", born=5, seq=5)
        reader.remove("a", return_s=2.0)
        reader.put("a", born=5, seq=4)
        reader.wait(2.0)
        assert not reader.used
        reader.wait(ENDED_MEMORY_S)
        assert reader.versions() == {"a": (5, 4)}

    def test_ended_servers_are_forgotten(self, reader):
        for number in range(50):
            reader.put(f"a-{number}", number=number)
            reader.remove(f"a-{number}")
        reader.wait(ENDED_MEMORY_S)
        held = [getattr(reader.registrations, n) for n in Registrations.__slots__[1:]]
        assert not any(held)


LIVES = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(11, 13)), min_size=1, max_size=6
)


class TestAnyOrder:
    """Which records are in use does not depend on the order in which they arrive."""

    @given(lives=LIVES, data=st.data())
    @settings(derandomize=True, deadline=None)
    def test_without_removals(self, lives, data):
        records = [
            (server_id, number, born, seq)
            for born, (server_id, number) in enumerate(lives, 1)
            for seq in (1, 2)
        ]
        copies = data.draw(st.lists(st.sampled_from(records), max_size=6))
        reader = Reader()
        for server_id, number, born, seq in data.draw(
            st.permutations(records + copies)
        ):
            reader.put(server_id, number=number, born=born, seq=seq)
        newest = {server_id: (born, number) for server_id, number, born, _ in records}
        latest = {number: born for born, number in sorted(newest.values())}
        assert reader.versions() == {
            server_id: (born, 2)
            for server_id, (born, number) in newest.items()
            if latest[number] == born
        }


class LateWritesMachine(RuleBasedStateMachine):
    """Live servers stay in use and ended ones unused, whatever is written late."""

    def __init__(self):
        super().__init__()
        self.reader = Reader()
        self.born = 0
        # {id: fields of the last record} of live servers, and all records written.
        self.live = {}
        self.written = []
        # Times of the first removal after the server has ended, by id.
        self.removed_at = {}

    def report(self, server_id):
        fields = self.live[server_id]
        self.written.append((server_id, dict(fields)))
        self.reader.put(server_id, **fields)

    @rule(server_id=st.sampled_from("abcd"), number=st.integers(11, 13))
    def start(self, server_id, number):
        holders = [i for i, fields in self.live.items() if fields["number"] == number]
        if holders and holders != [server_id]:
            return
        self.born += 1
        self.removed_at.pop(server_id, None)
        self.live[server_id] = {"number": number, "born": self.born, "seq": 1}
        self.report(server_id)

    @precondition(lambda self: self.live)
    @rule(data=st.data(), state=st.sampled_from(("ready", "draining")))
    def server_reports(self, data, state):
        server_id = data.draw(st.sampled_from(sorted(self.live)))
        fields = self.live[server_id]
        self.live[server_id] = {**fields, "seq": fields["seq"] + 1, "state": state}
        self.report(server_id)

    @precondition(lambda self: self.live)
    @rule(data=st.data(), is_removed=st.booleans())
    def end(self, data, is_removed):
        server_id = data.draw(st.sampled_from(sorted(self.live)))
        del self.live[server_id]
        if is_removed:
            self.remove(server_id)

    @rule(server_id=st.sampled_from("abcd"))
    def remove(self, server_id):
        if server_id not in self.live:
            self.removed_at.setdefault(server_id, self.reader.now)
            self.reader.remove(server_id)

    @precondition(lambda self: self.written)
    @rule(data=st.data())
    def late_write(self, data):
        server_id, fields = data.draw(st.sampled_from(self.written))
        self.reader.put(server_id, **fields)

    @rule(seconds=st.floats(0.1, 9.0))
    def time_passes(self, seconds):
        self.reader.wait(seconds)

    @invariant()
    def live_servers_are_in_use(self):
        used = self.reader.versions()
        for server_id, fields in self.live.items():
            assert used.get(server_id) == (fields["born"], fields["seq"])
            is_draining = fields.get("state") == "draining"
            assert self.reader.used[server_id].draining == is_draining

    @invariant()
    def ended_servers_are_not_used_for_a_time(self):
        for server_id, removed_at in self.removed_at.items():
            if self.reader.now < removed_at + ENDED_MEMORY_S:
                assert server_id not in self.reader.used

    @invariant()
    def an_address_has_one_server(self):
        addresses = [(r.host, r.port) for r in self.reader.used.values()]
        assert len(addresses) == len(set(addresses))


LateWritesMachine.TestCase.settings = stateful_settings()
TestLateWrites = LateWritesMachine.TestCase
