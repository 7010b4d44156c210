"""Evacuations of availability zones: requests, keys, and failures halfway."""

from __future__ import annotations

import logging

import pytest
from entry_fakes import SETTINGS, STORE, registration
from keyspace_fakes import KEYS, holders
from limit_fakes import Deployment, status_and_body

from briarspoke.entry import view
from briarspoke.entry.evacuations import RESTORED_HOLD_S, Evacuations
from briarspoke.entry.view import MAX_PROOF_INTERVAL_S, StoreView
from briarspoke.platform.keyvalue import Changes, Item

EVACUATION_S = 5.0
# A VM whose path to the store works has the news within this time.
NEWS_S = 0.5
# Keys are away from an evacuated zone this long after the acknowledgement.
MOVED_S = 3.5
NUMBERS_BY_ZONE = {"z1": (11, 14), "z2": (12, 15), "z3": (13, 16)}


class Zones(Deployment):
    """Three zones, each with one entry VM and two servers of one service."""

    def __init__(self, *, keyed, per_s=60):
        super().__init__(vms=3, keyed=keyed, per_s=per_s)
        for zone, numbers in NUMBERS_BY_ZONE.items():
            first, second = numbers
            value = registration("stock", first, zone=zone, slots=8, seq=2)
            self.world.store.put(f"servers/s-{first}", value)
            self.world.add_server("stock", second, zone=zone, slots=8)
        self.run(4.0)

    def evacuate(self, zone):
        """Asks for the evacuation of a zone; returns the time of it."""
        self.world.store.put(f"op/evacuate/{zone}", b"{}")
        return self.now()

    def withdraw(self, zone):
        self.world.store.delete(f"op/evacuate/{zone}")

    def last_arrival(self, zone):
        """Returns the time of the last request at a server of a zone."""
        return max(
            self.servers.arrivals_by_number.get(number, [0.0])[-1]
            for number in NUMBERS_BY_ZONE[zone]
        )

    def keys_held_in(self, zone):
        ids = {f"s-{number}" for number in NUMBERS_BY_ZONE[zone]}
        return [key for key in KEYS if ids & set(holders(self.world, key))]

    def run_watching_holders(self, seconds):
        """Runs, and checks each 50 ms that no key has two holders."""
        for _ in range(round(seconds / 0.05)):
            self.run(0.05)
            assert all(len(holders(self.world, key)) <= 1 for key in KEYS)

    def served(self, since):
        """Returns the fraction of the answers since then that are of servers."""
        outcomes = self.outcomes(since)
        return outcomes[200] / sum(outcomes.values())

    def restart(self, node):
        """Replaces a VM by a new process of the same name."""
        node.faults(STORE).cut = True
        for address in list(self.world.servers):
            node.faults(address).cut = True
        node.datagrams.transport = None
        self.nodes.remove(node)
        self.world.nodes.remove(node)
        settings = node.settings
        number = int(settings.ip.rpartition(".")[2])
        new = self.world.add_node(settings.node, number, settings.zone)
        self.nodes.append(new)
        return new


@pytest.fixture(autouse=True)
def evacuation_time(monkeypatch):
    monkeypatch.setitem(SETTINGS, "evacuation_s", "5s")


@pytest.fixture
def unkeyed():
    return Zones(keyed=False)


@pytest.fixture
def keyed():
    return Zones(keyed=True)


class TestServersWithoutKeys:
    """Guards against requests to servers of a zone after a VM learned of it."""

    def test_zone_gets_nothing_and_others_serve(self, unkeyed):
        answers = len(unkeyed.answers)
        asked_at = unkeyed.evacuate("z1")
        unkeyed.run(6.0)
        assert unkeyed.last_arrival("z1") <= asked_at + NEWS_S
        assert unkeyed.served(answers) >= 0.99
        node = unkeyed.nodes[0]
        assert node.evacuations.is_evacuated("z1")
        assert node.metrics.value("evacuations_total", "begins") == 1
        assert b"briarspoke_zones_evacuated" in node.metrics.render()

    @pytest.mark.parametrize("reason", ["evacuated", "draining", "gone"])
    def test_request_that_waits_for_a_connection_goes_elsewhere(self, unkeyed, reason):
        # Guards against a request that is written when its connection is ready.
        for node in unkeyed.nodes:
            for server in node.dispatcher("stock").servers.values():
                server.close()
        unkeyed._send()
        attempt = unkeyed.world.reactor.tcpClients[0]
        zone = next(z for z, ns in NUMBERS_BY_ZONE.items() if _number(attempt) in ns)
        number = _number(attempt)
        if reason == "evacuated":
            unkeyed.evacuate(zone)
        elif reason == "gone":
            unkeyed.world.store.delete(f"servers/s-{number}")
        else:
            state = registration("stock", number, zone=zone, state="draining", seq=9)
            unkeyed.world.store.put(f"servers/s-{number}", state)
        unkeyed.world.advance(NEWS_S)
        attempts = [_number(a) for a in unkeyed.world.reactor.tcpClients]
        assert len(attempts) == 2 and attempts[1] != number
        answers = len(unkeyed.answers)
        asked_at = unkeyed.now()
        unkeyed.run(0.5)
        assert unkeyed.servers.arrivals_by_number[number][-1] < asked_at
        assert unkeyed.outcomes(answers)[200] > 0

    def test_server_that_registers_in_the_zone_gets_nothing(self, unkeyed):
        unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        unkeyed.world.add_server("stock", 17, zone="z1", slots=8)
        unkeyed.run(3.0)
        assert 17 not in unkeyed.servers.arrivals_by_number

    def test_zone_serves_again_after_the_end(self, unkeyed):
        ended = []
        unkeyed.nodes[0].evacuations.on_ended.append(ended.append)
        unkeyed.evacuate("z1")
        unkeyed.run(2.0)
        unkeyed.withdraw("z1")
        withdrawn_at = unkeyed.now()
        unkeyed.run(3.0)
        assert ended == ["z1"]
        assert unkeyed.last_arrival("z1") > withdrawn_at
        assert unkeyed.nodes[0].metrics.value("evacuations_total", "ends") == 1


def _number(attempt):
    return int(attempt[0].rpartition(".")[2])


class TestOwners:
    """Guards against owners that get requests after the bound, and lost requests."""

    def test_keys_leave_the_zone_and_requests_are_served(self, keyed):
        answers = len(keyed.answers)
        assert keyed.keys_held_in("z1")
        asked_at = keyed.evacuate("z1")
        keyed.run_watching_holders(MOVED_S)
        assert keyed.keys_held_in("z1") == []
        assert keyed.last_arrival("z1") <= asked_at + MOVED_S
        keyed.run_watching_holders(3.0)
        assert all(len(holders(keyed.world, key)) == 1 for key in KEYS)
        assert keyed.served(answers) >= 0.97

    def test_owners_that_keep_their_keys_get_nothing_after_the_bound(self, keyed):
        _stop_controllers(keyed)
        answers = len(keyed.answers)
        asked_at = keyed.evacuate("z1")
        keyed.run(8.0)
        assert keyed.last_arrival("z1") <= asked_at + EVACUATION_S
        # The owners are not closed long before the bound. Nothing else changes in the
        # store here, so the item may be as old as the last proof.
        link = keyed.nodes[0].link
        early_s = MAX_PROOF_INTERVAL_S + link.arrival_s(0, connects=True) + 0.1
        assert keyed.last_arrival("z1") >= asked_at + EVACUATION_S - early_s
        keyed._per_s = 0
        keyed.run(2.0)
        assert keyed._callers == []
        # Requests for these keys are refused as not run.
        assert set(keyed.outcomes(answers)) == {200, 3003}

    def test_controller_is_lost_halfway(self, keyed):
        asked_at = keyed.evacuate("z1")
        keyed.run(1.0)
        lost = keyed.controller()
        keyed.cut(lost)
        for address in list(keyed.world.servers):
            lost.faults(address).cut = True
        keyed.nodes.remove(lost)
        # Its lease of 2.5 s has to end before another VM becomes the controller.
        keyed.run_watching_holders(6.0)
        assert keyed.controller() is not lost
        assert keyed.keys_held_in("z1") == []
        # Guards against keys that wait until the former grants have expired, for 10 s.
        assert keyed.last_arrival("z1") <= asked_at + EVACUATION_S
        assert all(len(holders(keyed.world, key)) == 1 for key in KEYS)

    def test_withdrawn_halfway(self, keyed):
        answers = len(keyed.answers)
        keyed.evacuate("z1")
        keyed.run_watching_holders(0.8)
        keyed.withdraw("z1")
        keyed.run_watching_holders(6.0)
        assert all(len(holders(keyed.world, key)) == 1 for key in KEYS)
        assert keyed.served(answers) >= 0.97

    def test_two_zones(self, keyed):
        answers = len(keyed.answers)
        asked_at = keyed.evacuate("z1")
        keyed.run_watching_holders(1.0)
        keyed.evacuate("z2")
        keyed.run_watching_holders(1.0 + MOVED_S)
        for zone in ("z1", "z2"):
            assert keyed.keys_held_in(zone) == []
            assert keyed.last_arrival(zone) <= asked_at + 1.0 + MOVED_S
        assert all(len(holders(keyed.world, key)) == 1 for key in KEYS)
        assert keyed.served(answers) >= 0.9


def _stop_controllers(zones):
    """Lets keys stay with their owners."""
    for node in zones.nodes:
        node.control._tick = lambda: None


class TestNoServerLeft:
    """Guards against requests to the last zone, and callers that wait for nothing."""

    @pytest.mark.parametrize("is_keyed", [False, True])
    def test_all_zones(self, is_keyed, caplog):
        caplog.set_level(logging.INFO)
        zones = Zones(keyed=is_keyed)
        asked_at = zones.now()
        # In one transaction, so that no keys are on their way between the zones.
        store = zones.world.store
        changed, store.changed = store.changed, lambda: None
        for zone in NUMBERS_BY_ZONE:
            zones.evacuate(zone)
        store.changed = changed
        zones.run(EVACUATION_S + 0.5)
        answers = len(zones.answers)
        zones.run(2.0)
        assert set(zones.outcomes(answers)) == {3010}
        bound_at = asked_at + (EVACUATION_S if is_keyed else NEWS_S)
        assert all(zones.last_arrival(zone) <= bound_at for zone in NUMBERS_BY_ZONE)
        for data, seconds in zones.answers[answers:]:
            # Nothing can serve it, so it does not wait.
            assert seconds <= 0.05
            assert status_and_body(data)[0] == 503
            hint_s = float(data.lower().split(b"retry-after:")[1].split(b"\r\n")[0])
            assert EVACUATION_S <= hint_s <= 16.0
        assert "evacuations: no server left service=stock" in caplog.text
        if is_keyed:
            # The keys stay where they are.
            assert all(len(holders(zones.world, key)) == 1 for key in KEYS)
            assert "evacuation waits for a server" in caplog.text
            moved = [key for z in NUMBERS_BY_ZONE for key in zones.keys_held_in(z)]
            assert sorted(moved) == sorted(KEYS)
        for zone in NUMBERS_BY_ZONE:
            zones.withdraw(zone)
        zones.run(1.0)
        answers = len(zones.answers)
        zones.run(2.0)
        # Keys that go back to servers without any have no owner for a moment.
        assert zones.served(answers) >= 0.97

    def test_unknown_zone(self, unkeyed, caplog):
        answers = len(unkeyed.answers)
        unkeyed.evacuate("z9")
        unkeyed.run(2.0)
        assert "evacuations: zone without servers zone=z9" in caplog.text
        assert unkeyed.served(answers) == 1.0
        node = unkeyed.nodes[0]
        assert node.metrics.values("evacuations_total") == {}
        assert node.evacuations.zones_with_servers() == 0


def _forget_at_start(monkeypatch):
    """Lets VMs drop the evacuations that their first view has."""
    changed = Evacuations._changed

    def changed_later(self, key, item):
        if self._node.view.revision is not None:
            changed(self, key, item)

    monkeypatch.setattr(Evacuations, "_changed", changed_later)


class TestRestartedVm:
    """Guards against an evacuation that a VM forgets when it restarts."""

    def arrivals_after_restart(self, *, keyed):
        zones = Zones(keyed=keyed)
        asked_at = zones.evacuate("z1")
        # The keys stay with their owners, so that only the VM keeps requests away.
        _stop_controllers(zones)
        zones.run(1.0)
        other = next(n for n in zones.nodes if not n.control.is_leader)
        zones.nodes = [zones.restart(other)]
        _stop_controllers(zones)
        zones.run(EVACUATION_S + 2.0)
        return [
            t
            for number in NUMBERS_BY_ZONE["z1"]
            for t in zones.servers.arrivals_by_number[number]
            if t > asked_at + (1.0 if keyed else NEWS_S)
        ]

    @pytest.mark.parametrize("keyed", [False, True])
    def test_nothing_is_sent_to_the_zone(self, keyed):
        assert self.arrivals_after_restart(keyed=keyed) == []

    def test_mutant_that_forgets_is_found(self, monkeypatch):
        _forget_at_start(monkeypatch)
        assert self.arrivals_after_restart(keyed=False)

    def test_nothing_is_sent_before_the_first_view(self, unkeyed):
        unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        other = next(n for n in unkeyed.nodes if not n.control.is_leader)
        unkeyed.world.reactor.tcpClients.clear()
        new = unkeyed.restart(other)
        new.faults(STORE).late_s = 0.3
        unkeyed.nodes = [new]
        unkeyed.world.advance(0.2)
        unkeyed._send()
        assert unkeyed.world.reactor.tcpClients == []

    def test_evacuation_is_applied_before_servers(self, unkeyed):
        # Guards against a request that waits while all items are read again, and that
        # is sent when the servers are applied before the evacuation.
        seen = []
        view = unkeyed.nodes[0].view
        changes = [view.items["op/config"], view.items["servers/s-11"]]
        unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        changes.append(view.items["op/evacuate/z1"])
        other = StoreView(client=unkeyed.nodes[0].store, sleep=None, clock=None)
        other.observe("servers/", lambda key, item: seen.append(key))
        other.observe("op/evacuate/", lambda key, item: seen.append(key), first=True)
        for item in other._in_order(changes):
            other._apply(item)
        assert seen == ["op/evacuate/z1", "servers/s-11"]


class TestStore:
    """Guards against evacuations that end because of trouble of the store."""

    def test_vm_that_loses_the_store_afterwards(self, unkeyed):
        asked_at = unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        for node in unkeyed.nodes:
            node.faults(STORE).cut = True
        answers = len(unkeyed.answers)
        unkeyed.run(10.0)
        assert unkeyed.last_arrival("z1") <= asked_at + NEWS_S
        assert unkeyed.served(answers) >= 0.99

    def test_restored_store_without_the_item(self, unkeyed):
        copy = unkeyed.world.store.copy()
        asked_at = unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        unkeyed.world.store.restore(copy)
        unkeyed.run(RESTORED_HOLD_S - 0.5)
        assert unkeyed.last_arrival("z1") <= asked_at + NEWS_S
        unkeyed.evacuate("z1")
        unkeyed.run(4.0)
        assert unkeyed.last_arrival("z1") <= asked_at + NEWS_S
        unkeyed.withdraw("z1")
        unkeyed.run(3.0)
        assert unkeyed.last_arrival("z1") > asked_at + NEWS_S

    def test_withdrawal_after_a_restore_that_kept_the_item(self, unkeyed):
        # Guards against a zone that stays closed as if the item had got lost.
        unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        unkeyed.world.store.restore(unkeyed.world.store.copy())
        unkeyed.run(3.0)
        unkeyed.withdraw("z1")
        unkeyed.run(1.0)
        assert not any(node.evacuations.is_evacuated("z1") for node in unkeyed.nodes)

    def test_restored_store_whose_item_nobody_writes_again(self, unkeyed):
        copy = unkeyed.world.store.copy()
        unkeyed.evacuate("z1")
        unkeyed.run(1.0)
        unkeyed.world.store.restore(copy)
        restored_at = unkeyed.now()
        unkeyed.run(RESTORED_HOLD_S + 4.0)
        assert unkeyed.last_arrival("z1") > restored_at + RESTORED_HOLD_S


class TestAgeOfAnswers:
    """Guards against an evacuation that counts from the end of a slow download."""

    @pytest.mark.parametrize(
        ("age_s", "is_repeated", "has_items", "expected_s"),
        [
            (1.7, False, False, 0.1),
            (0.3, False, True, 0.3),
            (1.7, False, True, 1.7),
            (2.5, False, True, 2.5),
            (0.9, True, True, 0.9),
            (0.9, True, False, 0.9),
        ],
    )
    def test_of_a_watch_of_1_6_s(self, age_s, is_repeated, has_items, expected_s):
        items = [Item(key="op/x", value=b"", revision=7, era=1)] if has_items else []
        changes = Changes(
            items=items, revision=7, era=1, age_s=age_s, is_repeated=is_repeated
        )
        assert view._answer_age_s(changes, 1.6) == pytest.approx(expected_s)
