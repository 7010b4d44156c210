"""The limit of cold servers for all entry VMs together, without a network."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarspoke.entry import coldlimits
from briarspoke.entry.coldlimits import (
    ARRIVAL_SPREAD_S,
    WINDOW_S,
    AskBudget,
    cold_limit,
    worst_sum,
)
from briarspoke.entry.permits import (
    COLD_REPEAT_INTERVAL_S,
    PermitHolder,
    PermitIssuer,
)
from briarspoke.entry.ratelimits import ASKED_RECENTLY_S, SETTLING_S

INSTANCE = ("stock", ("s-11", 1))
STEP_S = 0.02
TICK_STEPS = 3
# The deployment D1 of docs/design/uneven-load.md.
D1 = {"cold_per_s": 4.0, "ratio": 1.5, "slack": 8}
D1_BOUND = 14
MAX_ASKS_PER_S = 1_000


def most_in_window(times):
    """Returns the most times within any window of ``WINDOW_S``."""
    times = sorted(times)
    most = first = 0
    for index, time in enumerate(times):
        while times[first] <= time - WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    return most


class Vm:
    """One entry VM with requests for the server at all times."""

    def __init__(self, generator, *, old_view, complete_at):
        self.holder = PermitHolder(uniform=generator.random)
        self.clock_offset_s = generator.uniform(0, 1000)
        self.name = generator.random()
        self.old_view = old_view
        self.complete_at = complete_at
        self.is_cut_off = False


class ColdFleet:
    """Entry VMs, a controller and one cold server under messages that go astray.

    :param may_send: replaces the decision under test, for mutants.
    :param waits_for_view: whether VMs that join wait until their view is complete.
    """

    def __init__(
        self,
        *,
        seed,
        vms,
        joining,
        limit,
        may_send=coldlimits.may_send,
        waits_for_view=True,
    ):
        self.random = random.Random(seed)
        self.limit = limit
        self.now = 1000.0
        self.steps = 0
        self.arrivals = []
        self._may_send = may_send
        self._waits_for_view = waits_for_view
        self.vms = [self._vm(old_view=True, complete_at=0.0) for _ in range(vms)]
        for _ in range(joining):
            joins_at = self.now + self.random.uniform(1, 6)
            self.vms.append(self._vm(old_view=False, complete_at=joins_at))
        old = [vm for vm in self.vms if vm.old_view]
        self._first_of_old = max(old, key=lambda vm: vm.name)
        self._first_of_all = max(self.vms, key=lambda vm: vm.name)
        self._messages = []
        self._dark_until = 0.0
        self._terms = 0
        self._take_over()

    def _vm(self, **options):
        return Vm(self.random, **options)

    def _take_over(self):
        self._terms += 1
        self.controller = f"c{self._terms}"
        self.issuer = PermitIssuer(usable_from=self.now + SETTLING_S)

    def run(self, seconds):
        """Runs the fleet, with trouble at random times."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.steps += 1
            self._trouble()
            for message in self._take_due():
                self._receive(*message)
            for vm in self.vms:
                self._ask(vm)
            if self.steps % TICK_STEPS == 0:
                answers = self.issuer.tick(lambda _: self.limit.per_s, self.now)
                self._answer(answers.get(INSTANCE, {}))
            for vm in self.random.sample(self.vms, len(self.vms)):
                self._send_all(vm)

    def _trouble(self):
        chance = self.random.random() / STEP_S
        if chance < 0.3:
            self._take_over()
        elif chance < 0.7:
            # VMs are cut off from the controller, or reach it again.
            part = self.random.choice((0.0, 0.1, 0.5, 1.0))
            for vm in self.vms:
                vm.is_cut_off = self.random.random() < part
        elif chance < 2.0:
            self._dark_until = self.now + ARRIVAL_SPREAD_S

    def _post(self, *message):
        for _ in range(self.random.choice((0, 1, 1, 1, 1, 2))):
            late_s = self.random.choice((0.0, 0.01, 0.1, 0.6))
            self._messages.append((self.now + late_s, message))

    def _take_due(self):
        due = [message for at, message in self._messages if at <= self.now]
        self._messages = [each for each in self._messages if each[0] > self.now]
        return due

    def _receive(self, kind, vm, controller, *content):
        if vm.is_cut_off:
            return
        if kind == "answer":
            vm.holder.receive(*content, controller, self.now + vm.clock_offset_s)
        elif controller == self.controller:
            number, wanted = content
            self._answer(
                self.issuer.request(
                    INSTANCE, vm, number, wanted, self.limit.per_s, self.now
                )
            )

    def _answer(self, answer_by_vm):
        for vm, answer in answer_by_vm.items():
            self._post("answer", vm, self.controller, answer)

    def _ask(self, vm):
        now = self.now + vm.clock_offset_s
        wanted = {1: self.random.randint(1, 5)}
        if vm.holder.should_ask(wanted, now, COLD_REPEAT_INTERVAL_S):
            number = vm.holder.ask(wanted, self.controller, now)
            self._post("request", vm, self.controller, number, wanted)

    def _is_first(self, vm):
        if self.now < vm.complete_at:
            # It knows of no other VM yet.
            return True
        # A VM that is cut off may not know of those that have joined.
        others = self._first_of_old if vm.old_view else self._first_of_all
        return vm is others

    def _send_all(self, vm):
        if self._waits_for_view and self.now < vm.complete_at:
            return
        now, per_s = self.now + vm.clock_offset_s, self.limit.per_s
        alone = self.limit.with_fallback and vm.holder.is_alone(now)
        alone = alone and self._is_first(vm)
        while self._may_send(vm.holder, now, per_s, may_send_alone=alone):
            vm.holder.take(now, per_s, coldlimits.ALONE_SENDERS)
            # Connections that are opened while the server is unreachable open together.
            sent_late = self.now <= self._dark_until
            self.arrivals.append(self._dark_until if sent_late else self.now)


def send_as_if_alone(holder, now, per_s, *, may_send_alone):
    """Mutant of ``coldlimits.may_send``: each VM counts the bound by itself."""
    return holder.is_available(now, per_s, 1)


class TestSumOfAllVmsExceedsTheBound:
    @given(
        seed=st.integers(0, 2**32),
        vms=st.integers(1, 60),
        joining=st.integers(0, 26),
        cold_per_s=st.sampled_from([1.0, 4.0, 7.5, 20.0]),
        ratio=st.sampled_from([1.0, 1.5, 2.0]),
        slack=st.integers(3, 12),
    )
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_arrivals_in_any_second_keep_to_it(
        self, seed, vms, joining, cold_per_s, ratio, slack
    ):
        limit = cold_limit(cold_per_s, ratio, slack)
        fleet = ColdFleet(seed=seed, vms=vms, joining=joining, limit=limit)
        fleet.run(8.0)
        assert limit.is_safe
        assert most_in_window(fleet.arrivals) <= cold_per_s * ratio + slack

    def test_test_finds_a_bound_that_each_vm_counts_by_itself(self):
        fleet = ColdFleet(
            seed=1,
            vms=34,
            joining=0,
            limit=cold_limit(**D1),
            may_send=send_as_if_alone,
        )
        for vm in fleet.vms:
            vm.is_cut_off = True
        fleet.run(8.0)
        assert most_in_window(fleet.arrivals) > D1_BOUND

    def test_test_finds_vms_that_join_and_count_themselves_alone(self):
        found = [
            most_in_window(self.joined(seed, waits_for_view=False).arrivals)
            for seed in range(5)
        ]
        assert max(found) > D1_BOUND

    def joined(self, seed, **options):
        fleet = ColdFleet(
            seed=seed, vms=34, joining=26, limit=cold_limit(**D1), **options
        )
        for vm in fleet.vms:
            vm.is_cut_off = True
        fleet.run(8.0)
        return fleet


class TestLimitThatFollowsFromTheBound:
    def test_of_the_deployment_d1(self):
        limit = cold_limit(**D1)
        assert limit.with_fallback
        assert limit.per_s == pytest.approx(3.03, abs=0.01)
        assert worst_sum(limit.per_s, with_fallback=True) <= D1_BOUND

    @given(
        cold_per_s=st.floats(0.1, 1000.0),
        ratio=st.floats(1.0, 4.0),
        slack=st.integers(0, 100),
    )
    def test_fits_or_says_that_it_does_not(self, cold_per_s, ratio, slack):
        limit = cold_limit(cold_per_s, ratio, slack)
        assert limit.per_s <= max(cold_per_s, 0.1)
        total = worst_sum(limit.per_s, with_fallback=limit.with_fallback)
        if limit.is_safe:
            assert total <= cold_per_s * ratio + slack + 1e-6
        else:
            assert not limit.with_fallback

    def test_nothing_is_sent_without_the_controller_if_the_bound_is_tight(self):
        limit = cold_limit(4.0, 1.0, 0)
        assert limit.is_safe and not limit.with_fallback
        assert not cold_limit(0.5, 1.0, 0).is_safe

    def test_warm_rate_is_used_where_the_bound_is_wide(self):
        assert cold_limit(4.0, 1.5, 40).per_s == 4.0


class TestLimitThatIsNotUsed:
    def test_vms_get_most_of_it_from_a_controller_that_answers(self):
        # Guards against a bound that holds because nothing is sent.
        limit = cold_limit(**D1)
        fleet = ColdFleet(seed=26, vms=34, joining=0, limit=limit)
        fleet._trouble = lambda: None
        fleet._post = lambda *message: fleet._messages.append((fleet.now, message))
        fleet.run(10.0)
        assert len(fleet.arrivals) >= 0.85 * limit.per_s * 9.5

    def test_one_vm_sends_without_the_controller(self):
        limit = cold_limit(**D1)
        fleet = ColdFleet(seed=26, vms=34, joining=0, limit=limit)
        fleet._trouble = lambda: None
        for vm in fleet.vms:
            vm.is_cut_off = True
        fleet.run(20.0)
        assert len(fleet.arrivals) >= 0.2 * limit.per_s * 18


class TestControllerOfManyColdServers:
    @pytest.mark.parametrize(("vms", "servers"), [(34, 40), (34, 120), (93, 120)])
    def test_gets_a_bounded_number_of_messages(self, vms, servers):
        # A zone is cold at once. Requests for each server come to all VMs, more than
        # the limits allow, and are refused after a second.
        generator = random.Random(7)
        limit = cold_limit(**D1)
        issuer = PermitIssuer(usable_from=0.0)
        budgets = [AskBudget() for _ in range(vms)]
        holders, waiting = {}, {}
        asked_at, granted, now = [], 0, 100.0
        for _ in range(round(6 / 0.05)):
            now += 0.05
            for _ in range(round(servers * 6.7 * 0.05)):
                pair = generator.randrange(vms), generator.randrange(servers)
                waiting.setdefault(pair, []).append(now)
                holders.setdefault(pair, PermitHolder(uniform=generator.random))
            for (vm, server), holder in holders.items():
                queue = waiting[vm, server] = [
                    at for at in waiting[vm, server] if now - at < 1.0
                ]
                wanted = {1: len(queue)} if queue else {}
                if holder.should_ask(wanted, now, COLD_REPEAT_INTERVAL_S) and budgets[
                    vm
                ].take(
                    now, vms, is_repeat=holder.asked_since_s(now) < ASKED_RECENTLY_S
                ):
                    asked_at.append(now)
                    number = holder.ask(wanted, "c", now)
                    answers = issuer.request(
                        server, vm, number, wanted, limit.per_s, now
                    )
                    self.take(answers, server, holders, now)
            for server, answers in issuer.tick(lambda _: limit.per_s, now).items():
                self.take(answers, server, holders, now)
            for pair, holder in holders.items():
                while waiting[pair] and holder.has_permit(now):
                    holder.take(now, limit.per_s, 2)
                    waiting[pair].pop(0)
                    granted += 1
        print(f"messages a second: {most_in_window(asked_at)}, used: {granted / 6:.0f}")
        assert most_in_window(asked_at) <= MAX_ASKS_PER_S
        # The permits still go to those that wait.
        assert granted >= 0.5 * min(servers * limit.per_s, MAX_ASKS_PER_S) * 6

    def take(self, answers, server, holders, now):
        for vm, answer in answers.items():
            holders[vm, server].receive(answer, "c", now)
