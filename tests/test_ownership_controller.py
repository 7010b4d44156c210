from __future__ import annotations

import pytest

from briarspoke.configuration.snapshot import Configuration
from briarspoke.ownership import commands, events
from briarspoke.ownership.controller import ZoneController
from briarspoke.ownership.document import Authority, OwnershipDocument, Partition, State
from briarspoke.ownership.grants import grants_digest
from briarspoke.ownership.timing import GRANT_WAIT_S, RESIGN_COUNT

SERVERS = ("a", "b")
OLD = Authority(term=3, node_id="old", incarnation=1, move_after_s=None)


def configuration(draining=(), terminated=(), **service):
    value = {
        "zones": [{"name": "z"}],
        "services": [{"name": "s", "partitions": 4, **service}],
        "servers": [
            {
                "name": name,
                "service": "s",
                "zone": "z",
                "address": "127.0.0.1:1",
                "state": "terminated"
                if name in terminated
                else "draining"
                if name in draining
                else "active",
            }
            for name in SERVERS
        ],
    }
    problems = []
    result = Configuration.from_json(value, problems, version=1)
    assert not problems
    return result


def document(chain=(OLD,)):
    changes = {n: Partition(owner=SERVERS[n % 2], epoch=1) for n in range(4)}
    empty = OwnershipDocument.empty("s", 4)
    return empty.with_changes(changes, "w", zone="z", chain=chain)


def document_with_owner(name):
    changes = {n: Partition(owner=("a", name)[n % 2], epoch=1) for n in range(4)}
    empty = OwnershipDocument.empty("s", 4)
    return empty.with_changes(changes, "w", zone="z", chain=(OLD,))


def configuration_without(name):
    found = configuration()
    del found.servers_by_name[name]
    return found


class Driver:
    """Runs a controller and collects its commands for the test to answer."""

    def __init__(self, *, configured=None, stored=None):
        self.controller = ZoneController(
            zone="z", node_id="n", incarnation=1, balance=False
        )
        self.now = 0.0
        self.commands = []
        self.incarnations = dict.fromkeys(SERVERS, "1")
        self.handle(
            events.ConfigurationChanged(configuration=configured or configuration())
        )
        self.handle(events.LeaseAcquired(term=9, sent_at=0.0, vacated_at=0.0))
        self.read(1, stored or document())

    def handle(self, event):
        found = self.controller.handle(event, self.now)
        self.commands.extend(found)
        return found

    def read(self, revision, stored):
        event = events.DocumentRead(service="s", revision=revision, document=stored)
        return self.handle(event)

    def take(self, kind):
        found = [c for c in self.commands if isinstance(c, kind)]
        self.commands = [c for c in self.commands if not isinstance(c, kind)]
        return found

    def settle(self, outcome, revision=0):
        (write,) = self.take(commands.WriteDocument)
        self.handle(
            events.WriteSettled(
                service="s",
                write_id=write.write_id,
                outcome=outcome,
                revision=revision,
            )
        )
        return write

    def confirm(self):
        self.handle(events.LeaseConfirmed(sent_at=self.now))

    def answer(self, *names, busy=()):
        sent = self.take(commands.SendGrants)
        calls = [call for call in sent if call.server in names]
        self.commands.extend(call for call in sent if call.server not in names)
        for call in calls:
            self.handle(
                events.GrantAnswered(
                    server=call.server,
                    call_id=call.call_id,
                    accepted=True,
                    clock=self.now,
                    incarnation=self.incarnations[call.server],
                    term=9,
                    digest=call.digest,
                    busy=frozenset(busy),
                )
            )
        return calls

    def advance(self, seconds, names=SERVERS, *, confirm=True):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            if confirm:
                self.confirm()
            self.handle(events.Tick())
            self.answer(*names)
            self.fail_calls()

    def fail_calls(self):
        for call in self.take(commands.SendGrants):
            event = events.GrantFailed(
                server=call.server, call_id=call.call_id, refused=False
            )
            self.handle(event)

    def next_calls(self):
        """Returns the next control call per server."""
        self.now += 0.45
        self.handle(events.Tick())
        return {call.server: call for call in self.take(commands.SendGrants)}

    def with_barrier(self):
        """Writes the term to the document, after which the servers get grants."""
        self.settle(events.WriteOutcome.ACCEPTED, 2)
        self.advance(0.3)
        return self


class TestBarrier:
    def test_no_grant_before_the_term_is_in_the_document(self):
        # A pending write of the earlier controller could change an owner after this
        # controller has granted the partition to the previous owner.
        driver = Driver()
        calls = driver.answer(*SERVERS)
        driver.confirm()
        calls += driver.answer(*SERVERS)
        assert calls and all(call.expires_at is None for call in calls)
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(0.5)
        assert all(call.expires_at for call in driver.next_calls().values())

    def test_higher_term_in_the_document_ends_the_term(self):
        # A controller that was replaced has to stop immediately.
        driver = Driver().with_barrier()
        chain = (OLD, Authority(term=12, node_id="m", move_after_s=None))
        driver.read(9, document(chain))
        assert not driver.controller.active
        assert driver.take(commands.GiveUpLease)
        assert driver.take(commands.Resign)[0].term == 9

    def test_restarted_server_waits_for_a_confirmed_lease(self):
        # The server may have received a higher term before it restarted.
        driver = Driver().with_barrier()
        driver.incarnations["a"] = "2"
        driver.advance(1.5, confirm=False)
        assert driver.next_calls()["a"].expires_at is None


class TestUnreachableServer:
    def test_reassigned_after_its_grants_expired(self):
        # With an earlier reassignment, both servers would own the partitions.
        driver = Driver().with_barrier()
        started = driver.now
        while not driver.take(commands.WriteDocument):
            driver.advance(0.1, names=("b",))
            assert driver.now - started < 4.0
        assert driver.now - started >= 1.9

    def test_server_without_any_answer_waits_for_the_predecessor(self):
        # The server may be isolated together with a controller that renews its grants.
        driver = Driver()
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(60.0, names=("b",))
        assert not driver.take(commands.WriteDocument)
        assert driver.take(commands.AskTerm)
        driver.handle(events.PeerResigned(term=3, remaining_s=1.0))
        driver.advance(1.2, names=("b",))
        assert driver.take(commands.WriteDocument)

    def test_old_owner_gets_no_grant_while_a_write_is_pending(self):
        # The delayed write could take effect after the server is reachable again.
        driver = Driver().with_barrier()
        driver.advance(2.5, names=("b",))
        write = driver.settle(events.WriteOutcome.UNKNOWN)
        driver.read(2, driver.controller._states["s"].stored.document)
        driver.advance(0.5)
        call = driver.next_calls()["a"]
        assert call.expires_at is not None
        assert call.digest == grants_digest({})
        (again,) = driver.take(commands.WriteDocument)
        assert again.expected_revision == write.expected_revision


class TestWrites:
    def test_lost_response_is_read_back(self):
        # Treating it as a failure would lose an assignment that is in the store.
        driver = Driver()
        write = driver.settle(events.WriteOutcome.UNKNOWN)
        assert driver.take(commands.ReadDocument)
        driver.read(2, write.document)
        driver.advance(0.5)
        assert not driver.take(commands.WriteDocument)

    def test_pause_needs_a_new_confirmation(self):
        # The lease may have expired during the pause.
        driver = Driver(
            configured=configuration(on_isolation={"move_after_s": 30.0})
        ).with_barrier()
        driver.now += 0.4
        driver.handle(events.Paused(length_s=1.0))
        assert driver.take(commands.ConfirmLease)
        driver.advance(1.0, confirm=False)
        assert all(c.expires_at is None for c in driver.next_calls().values())

    @pytest.mark.parametrize(("move_after_s", "renews"), [(None, True), (2.0, False)])
    def test_renewals_during_a_store_outage_follow_the_configuration(
        self, move_after_s, renews
    ):
        # Other nodes rely on the configured end of renewals, or, without one, on
        # renewals that continue.
        rules = {"on_isolation": {"move_after_s": move_after_s}}
        driver = Driver(configured=configuration(**rules)).with_barrier()
        driver.advance(10.0, confirm=False)
        calls = driver.next_calls().values()
        assert [c.expires_at is not None for c in calls] == [renews, renews]


class TestDrain:
    def test_partition_moves_after_its_server_released_it(self):
        # Otherwise requests in flight would run concurrently with the new owner's.
        driver = Driver().with_barrier()
        driver.handle(
            events.ConfigurationChanged(configuration=configuration(draining=("a",)))
        )
        moving = driver.settle(events.WriteOutcome.ACCEPTED, 3).document
        assert [p.state for p in moving.partitions] == [State.MOVING, State.ACTIVE] * 2
        driver.answer("a", busy=("s/0", "s/2"))
        driver.now += 0.1
        driver.handle(events.Tick())
        assert not driver.take(commands.WriteDocument)
        driver.answer("a", busy=("s/2",))
        (write,) = driver.take(commands.WriteDocument)
        assert write.document.partitions[0] == Partition(owner="b", epoch=2)
        assert write.document.partitions[2].owner == "a"

    def test_drain_does_not_reassign_an_unreachable_server(self):
        # An isolated controller without a time limit may still renew its grants.
        driver = Driver(configured=configuration(draining=("a",)))
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(30.0, names=("b",))
        assert not driver.take(commands.WriteDocument)


class TestIdleZone:
    def test_server_that_fails_later_is_detected(self):
        # Guards against planning that stays postponed after an owner has failed.
        driver = Driver()
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(3.0)
        assert not driver.take(commands.WriteDocument)
        driver.advance(3.0, names=("a",))
        (write,) = driver.take(commands.WriteDocument)
        assert {p.owner for p in write.document.partitions} == {"a"}

    def test_resignation_is_sent_several_times(self):
        # Guards against a lost resignation that is never retried.
        driver = Driver()
        driver.handle(events.LeaseLost())
        times = 0
        while driver.controller.needs_ticks and times < 100:
            driver.now += 1.0
            driver.handle(events.Tick())
            times += 1
        assert 0 < times < 100
        assert len(driver.take(commands.Resign)) == RESIGN_COUNT


class TestDeclaredTerminated:
    def test_unreachable_server_loses_its_partitions(self):
        # Guards against keys that stay with a terminated server because the VM list
        # does not show it as terminated.
        driver = Driver()
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(8.0, names=("a",))
        assert not driver.take(commands.WriteDocument)
        changed = configuration(terminated=("b",))
        driver.handle(events.ConfigurationChanged(configuration=changed))
        driver.advance(GRANT_WAIT_S - 0.2, names=("a",))
        assert not driver.take(commands.WriteDocument)
        driver.advance(0.5, names=("a",))
        (write,) = driver.take(commands.WriteDocument)
        assert {p.owner for p in write.document.partitions} == {"a"}

    def test_partitions_of_a_server_that_answers_are_handed_over(self):
        # Guards against reassigning the keys of a server that still serves them.
        driver = Driver()
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(1.0)
        changed = configuration(terminated=("b",))
        driver.handle(events.ConfigurationChanged(configuration=changed))
        driver.advance(0.2)
        (write,) = driver.take(commands.WriteDocument)
        changes = [p for p in write.document.partitions if p.owner == "b"]
        assert [p.state for p in changes] == [State.MOVING] * 2


class TestStuckPartitions:
    def test_owner_removed_before_this_controller_started(self):
        # Guards against partitions without a server that are not reported.
        driver = Driver(stored=document_with_owner("gone"))
        assert driver.controller.stuck_partitions() == {"s": [1, 3]}

    def test_server_declared_terminated_is_replaced(self):
        # Guards against instructions to operators that have no effect.
        driver = Driver(
            stored=document_with_owner("b"), configured=configuration_without("b")
        )
        driver.settle(events.WriteOutcome.ACCEPTED, 2)
        driver.advance(8.0, names=("a",))
        assert driver.controller.stuck_partitions() == {"s": [1, 3]}
        assert not driver.take(commands.WriteDocument)
        changed = configuration(terminated=("b",))
        driver.handle(events.ConfigurationChanged(configuration=changed))
        driver.advance(3.0, names=("a",))
        (write,) = driver.take(commands.WriteDocument)
        assert {p.owner for p in write.document.partitions} == {"a"}
