"""Permits for servers with a rate limit, without a network."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from limit_fakes import WINDOW_S, allowed_arrivals

from briarspoke.entry.permits import (
    ANSWER_TIMEOUT_S,
    FALLBACK_FRACTION,
    MIN_SAVED,
    SAVED_S,
    SPARE_ASKS_PER_PERMIT,
    VALIDITY_S,
    PermitAnswer,
    PermitHolder,
    PermitIssuer,
)
from briarspoke.entry.ratelimits import SETTLING_S

INSTANCE = ("stock", ("s-11", 1))


def permit_answer(number, *, serial=0, granted=1, saved=0.0, waiting=None):
    return PermitAnswer(
        number=number,
        serial=serial,
        granted=granted,
        saved=saved,
        waiting_by_rank=waiting or {},
    )


def holder_with_answer(now=100.0, **options):
    """Returns a holder that has asked controller ``c`` and got an answer at once."""
    holder = PermitHolder()
    number = holder.ask({1: 1}, "c", now)
    assert holder.receive(permit_answer(number, **options), "c", now)
    return holder


class TestPermitsThatAreNotValid:
    def test_permit_expires_by_the_time_of_the_request(self):
        holder = PermitHolder()
        number = holder.ask({1: 1}, "c", 100.0)
        holder.receive(permit_answer(number), "c", 100.4)
        assert holder.is_available(100.49, 2.0, 8)
        assert not holder.is_available(100.0 + VALIDITY_S, 2.0, 8)

    def test_answer_that_is_late_gives_nothing(self):
        holder = PermitHolder()
        number = holder.ask({1: 1}, "c", 100.0)
        holder.receive(permit_answer(number), "c", 100.6)
        assert not holder.is_available(100.6, 2.0, 8)

    def test_second_copy_of_an_answer_gives_nothing(self):
        holder = PermitHolder()
        number = holder.ask({1: 1}, "c", 100.0)
        assert holder.receive(permit_answer(number), "c", 100.0)
        assert not holder.receive(permit_answer(number), "c", 100.0)
        holder.take(100.0, 2.0, 8)
        assert not holder.is_available(100.0, 2.0, 8)

    def test_answer_of_a_process_that_was_not_asked_gives_nothing(self):
        holder = PermitHolder()
        number = holder.ask({1: 1}, "c", 100.0)
        assert not holder.receive(permit_answer(number), "d", 100.0)
        assert not holder.receive(permit_answer(number + 1), "c", 100.0)
        assert not holder.is_available(100.0, 2.0, 8)


class TestEntryVmWithoutController:
    def test_sends_its_part_of_the_limit(self):
        holder = PermitHolder(uniform=lambda: 0.5)
        holder.ask({1: 1}, None, 100.0)
        sent = 0
        for step in range(1000):
            now = 100.0 + step / 10
            if holder.is_available(now, 2.0, 8):
                assert now >= 100.0 + ANSWER_TIMEOUT_S
                holder.take(now, 2.0, 8)
                sent += 1
        assert sent == round(FALLBACK_FRACTION * 2.0 * 100 / 8)

    def test_turns_that_were_not_used_are_not_saved(self):
        holder = PermitHolder(uniform=lambda: 0.0)
        holder.ask({1: 1}, None, 100.0)
        assert holder.is_available(101.0, 2.0, 8)
        holder.take(101.0, 2.0, 8)
        holder.ask({1: 1}, None, 190.0)
        sent = 0
        for step in range(160):
            now = 191.0 + step / 10
            while holder.is_available(now, 2.0, 8):
                holder.take(now, 2.0, 8)
                sent += 1
        assert sent == 2


class TestExpectedWait:
    def test_follows_the_requests_that_wait_elsewhere(self):
        holder = holder_with_answer(granted=0, saved=0.5, waiting={0: 3, 2: 7})
        assert holder.expected_wait_s(100.0, 2.0, 8, rank=0, ahead=0) == 1.75
        assert holder.expected_wait_s(100.0, 2.0, 8, rank=2, ahead=1) == 5.75

    def test_is_none_with_a_permit(self):
        holder = holder_with_answer(granted=2)
        assert holder.expected_wait_s(100.0, 2.0, 8, rank=0, ahead=0) == 0.0

    def test_outdated_answer_lets_one_request_ask_again(self):
        holder = holder_with_answer(granted=0, waiting={0: 40})
        assert holder.expected_wait_s(101.0, 2.0, 8, rank=0, ahead=0) == 0.0


class TestRequestsThatWaitNoMore:
    def test_are_withdrawn_at_once(self):
        holder = PermitHolder()
        number = holder.ask({1: 3}, "c", 100.0)
        holder.receive(permit_answer(number), "c", 100.01)
        assert holder.should_ask({}, 100.01)
        holder.ask({}, "c", 100.01)
        assert not holder.should_ask({}, 100.02)

    def test_need_no_message_if_each_has_a_permit(self):
        holder = PermitHolder()
        number = holder.ask({1: 2}, "c", 100.0)
        holder.receive(permit_answer(number, granted=2), "c", 100.01)
        assert not holder.should_ask({}, 100.01)

    def test_do_not_make_the_controller_count_as_silent(self):
        holder = holder_with_answer(granted=0)
        holder.ask({}, "c", 100.1)
        assert not holder.is_alone(100.1 + ANSWER_TIMEOUT_S)

    def test_do_not_count_for_other_vms(self):
        issuer = PermitIssuer(usable_from=0.0)
        issuer.request(INSTANCE, "a", 1, {1: 3}, 4.0, 10.0)
        assert issuer.request(INSTANCE, "a", 2, {}, 4.0, 10.1) == {}
        answers = issuer.request(INSTANCE, "b", 1, {1: 1}, 4.0, 10.1)
        assert answers["b"].waiting_by_rank == {}


class TestPermitsForWhichNoRequestWaits:
    @pytest.mark.parametrize("vms", [1, 24, 300])
    @pytest.mark.parametrize("per_s", [0.5, 10.0])
    def test_are_not_asked_for_by_all_vms_at_once(self, vms, per_s):
        generator = random.Random(26)
        holders = [PermitHolder(uniform=generator.random) for _ in range(vms)]
        steps = 2_000
        turns = sum(
            holder.take_spare_turn(100.0 + step / 100, per_s, vms)
            for step in range(steps)
            for holder in holders
        )
        expected = SPARE_ASKS_PER_PERMIT * per_s * steps / 100
        assert 0.7 * expected <= turns <= 1.2 * expected


class TestGivenPermits:
    def request(self, issuer, vm, number, wanted, now, per_s=4.0):
        answers = issuer.request(INSTANCE, vm, number, wanted, per_s, now)
        return {vm: answer.granted for vm, answer in answers.items()}

    def give(self, issuer, now, per_s=4.0):
        answers = issuer.tick(lambda instance: per_s, now).get(INSTANCE, {})
        return {vm: answer.granted for vm, answer in answers.items()}

    def test_urgent_requests_come_first(self):
        issuer = PermitIssuer(usable_from=0.0)
        assert self.request(issuer, "a", 1, {5: 3}, 10.0) == {"a": 1}
        assert self.request(issuer, "b", 1, {1: 1}, 10.1) == {"b": 0}
        assert self.give(issuer, 10.25) == {"b": 1}

    def test_rate_is_not_lowered_by_ticks(self):
        # The ticks do not fall together with the permits.
        issuer = PermitIssuer(usable_from=0.0)
        granted = 0
        for step in range(200):
            now = 100.0 + step * 0.05
            answers = {}
            if step % 8 == 0:
                answers = issuer.request("s", "a", step, {1: 5}, 3.0, now)
            else:
                answers = issuer.tick(lambda _: 3.0, now).get("s", {})
            granted += sum(answer.granted for answer in answers.values())
        assert 29 <= granted <= 31

    def test_nothing_is_saved_up_while_nobody_waits(self):
        issuer = PermitIssuer(usable_from=0.0)
        issuer.request("s", "a", 1, {1: 1}, 3.0, 100.0)
        issuer.tick(lambda _: 3.0, 104.0)
        answers = issuer.request("s", "a", 2, {1: 9}, 3.0, 108.0)
        assert answers["a"].granted == 1

    def test_entry_vms_of_one_rank_take_turns(self):
        issuer = PermitIssuer(usable_from=0.0)
        got = {"a": 0, "b": 0}
        for step in range(40):
            now = 10.0 + step / 20
            for vm in got:
                for each, count in self.request(issuer, vm, step, {1: 5}, now).items():
                    got[each] += count
        assert sum(got.values()) in (8, 9)
        assert abs(got["a"] - got["b"]) <= 1

    def test_nothing_is_given_before_earlier_permits_have_expired(self):
        issuer = PermitIssuer(usable_from=10.5)
        assert self.request(issuer, "a", 1, {1: 1}, 10.4) == {}
        assert self.request(issuer, "a", 2, {1: 1}, 10.6) == {"a": 1}

    def test_request_that_arrives_twice_or_late_counts_once(self):
        issuer = PermitIssuer(usable_from=0.0)
        assert self.request(issuer, "a", 2, {1: 1}, 10.0) == {"a": 1}
        assert self.request(issuer, "a", 2, {1: 1}, 10.3) == {}
        assert self.request(issuer, "a", 1, {1: 1}, 10.3) == {}

    def test_permits_that_nobody_asked_for_are_not_saved(self):
        issuer = PermitIssuer(usable_from=0.0)
        self.request(issuer, "a", 1, {1: 1}, 10.0, per_s=20.0)
        assert self.request(issuer, "a", 2, {1: 99}, 18.0, per_s=20.0) == {"a": 5}

    def test_calls_for_grants_take_at_most_half(self):
        issuer = PermitIssuer(usable_from=0.0)
        self.request(issuer, "a", 0, {1: 1}, 10.0)
        given = 0
        for step in range(1, 81):
            now = 10.0 + step / 20
            issuer.count_call(INSTANCE)
            given += sum(self.request(issuer, "a", step, {1: 5}, now).values())
        assert given == 8


class PermitMachine(RuleBasedStateMachine):
    """Entry VMs and controllers whose messages are late, doubled or lost."""

    @initialize(
        vms=st.integers(1, 30), per_s=st.sampled_from([0.5, 1.0, 2.0, 3.7, 10.0, 40.0])
    )
    def start(self, vms, per_s):
        self.now = 1000.0
        self.per_s = per_s
        self.holders = [
            PermitHolder(uniform=lambda vm=vm: vm / vms) for vm in range(vms)
        ]
        self.sent = []
        self.disturbed_at = 0.0
        self.messages = []
        self.terms = 0
        self.take_over(0.0)

    def clock(self, vm):
        """Returns the time by the clock of an entry VM."""
        return self.now + 1000.0 * vm

    def holder(self, vm):
        return self.holders[vm % len(self.holders)]

    @rule(after_s=st.floats(0.0, 3.0), often=st.integers(0, 5))
    def controller_ends(self, after_s, often):
        if often == 0:
            self.take_over(after_s)

    def take_over(self, after_s):
        # The lease of the earlier controller has ended, or it has resigned.
        self.now += after_s
        self.disturbed_at = self.now
        self.terms += 1
        self.controller = f"c{self.terms}"
        self.issuer = PermitIssuer(usable_from=self.now + SETTLING_S)

    @rule(vm=st.integers(0, 29), rank=st.integers(0, 3), count=st.integers(0, 40))
    def ask(self, vm, rank, count):
        vm %= len(self.holders)
        wanted = {rank: count} if count else {}
        number = self.holders[vm].ask(wanted, self.controller, self.clock(vm))
        self.messages.append(("request", self.controller, vm, number, wanted))

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 99), copies=st.integers(0, 2))
    def deliver(self, index, copies):
        message = self.messages.pop(index % len(self.messages))
        for _ in range(copies):
            self.receive(*message)

    @rule()
    def deliver_all(self):
        for _ in range(2):
            messages, self.messages = self.messages, []
            for message in messages:
                self.receive(*message)

    def receive(self, kind, controller, vm, *content):
        if kind == "answer":
            self.holders[vm].receive(*content, controller, self.clock(vm))
        elif controller == self.controller:
            number, wanted = content
            self.answer(
                self.issuer.request(INSTANCE, vm, number, wanted, self.per_s, self.now)
            )

    def answer(self, answer_by_vm):
        for vm, answer in answer_by_vm.items():
            self.messages.append(("answer", self.controller, vm, answer))

    @rule()
    def tick(self):
        answers = self.issuer.tick(lambda instance: self.per_s, self.now)
        self.answer(answers.get(INSTANCE, {}))

    @rule(
        steps=st.integers(5, 200),
        late_steps=st.integers(0, 12),
        copies=st.integers(1, 2),
        idle_vms=st.integers(0, 29),
    )
    def serve_many_requests(self, steps, late_steps, copies, idle_vms):
        late = []
        for _ in range(steps):
            self.now += 0.05
            for vm in range(idle_vms % len(self.holders), len(self.holders)):
                self.ask(vm, 1, 20)
            self.tick()
            late.append(self.messages)
            self.messages = []
            if len(late) > late_steps:
                for message in late.pop(0) * copies:
                    self.receive(*message)
            self.send_all_that_may_be_sent()
            self.server_gets_what_the_rule_allows()
            self.one_controller_gives_no_more_than_the_limit()
        self.messages = [message for messages in late for message in messages]

    @rule(seconds=st.floats(0.01, 1.2))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def send_all_that_may_be_sent(self):
        vms = len(self.holders)
        for vm, holder in enumerate(self.holders):
            if holder.is_alone(self.clock(vm)):
                self.disturbed_at = self.now
            while holder.is_available(self.clock(vm), self.per_s, vms):
                holder.take(self.clock(vm), self.per_s, vms)
                self.sent.append(self.now)

    @invariant()
    def server_gets_what_the_rule_allows(self):
        recent = [t for t in self.sent if t > self.now - WINDOW_S]
        assert len(recent) <= allowed_arrivals(self.per_s)

    @invariant()
    def one_controller_gives_no_more_than_the_limit(self):
        if self.now - self.disturbed_at <= WINDOW_S + VALIDITY_S:
            return
        recent = [t for t in self.sent if t > self.now - WINDOW_S]
        saved = max(MIN_SAVED, SAVED_S * self.per_s)
        assert len(recent) <= self.per_s * (WINDOW_S + VALIDITY_S) + saved


TestLimitIsExceededByLostAndLateMessages = PermitMachine.TestCase
TestLimitIsExceededByLostAndLateMessages.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None, derandomize=True
)
