"""State machine over the evidence that several entry VMs have against requests."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from profiles import stateful_settings

from briarspoke.entry.suspects import (
    FORGET_S,
    HELD_BACK_CRASHES,
    MAX_CRASHES_PER_SUSPECT,
    MAX_SUSPECTS,
    MAX_SUSPECTS_PER_CALLER,
    Suspects,
)

VMS = 3
DEADLY = bytes(15) + b"d"
INNOCENT = bytes(15) + b"i"


class SuspectsMachine(RuleBasedStateMachine):
    """Plays crashes, answers, lost reports and VMs that restart.

    Guards against innocent requests that stay held back, against a deadly request that
    is cleared without a run, and against unbounded memory.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.vms = [Suspects() for _ in range(VMS)]
        self.lives = 0

    def tell(self, vm, suspect, lost):
        report = self.vms[vm].report(suspect, self.now)
        for number, other in enumerate(self.vms):
            if number != vm and number not in lost:
                other.merge(report, self.now)

    @rule(vm=st.integers(0, VMS - 1), lost=st.sets(st.integers(0, VMS - 1)))
    def deadly_request_comes(self, vm, lost):
        if self.vms[vm].find_held_back(DEADLY, self.now):
            return
        self.lives += 1
        suspect = self.vms[vm].record_crash(DEADLY, ("s", self.lives), 1.0, self.now)
        self.tell(vm, suspect, lost)

    @rule(
        vm=st.integers(0, VMS - 1),
        running=st.integers(2, 4),
        lost=st.sets(st.integers(0, VMS - 1)),
    )
    def server_ends_for_another_reason(self, vm, running, lost):
        self.lives += 1
        suspect = self.vms[vm].record_crash(
            INNOCENT, ("s", self.lives), 1 / running, self.now
        )
        self.tell(vm, suspect, lost)

    @rule(vm=st.integers(0, VMS - 1))
    def innocent_request_runs_well(self, vm):
        suspect = self.vms[vm].clear(INNOCENT, self.now)
        if suspect is not None:
            self.tell(vm, suspect, ())
        for suspects in self.vms:
            known = suspects.by_fingerprint.get(INNOCENT)
            if suspect is not None and known is not None:
                assert not known.is_held_back

    @rule(vm=st.integers(0, VMS - 1))
    def vm_restarts(self, vm):
        self.vms[vm] = Suspects()

    @rule(seconds=st.floats(0.01, FORGET_S / 2))
    def time_passes(self, seconds):
        self.now += seconds
        for suspects in self.vms:
            suspects.expire(self.now)

    @rule(vm=st.integers(0, VMS - 1), count=st.integers(1, 80))
    def one_caller_ends_many_servers(self, vm, count):
        for number in range(count):
            fingerprint = b"caller" + number.to_bytes(10, "big")
            self.lives += 1
            self.vms[vm].record_crash(fingerprint, ("s", self.lives), 1.0, self.now)

    @invariant()
    def deadly_request_is_held_back_after_two_known_crashes(self):
        for suspects in self.vms:
            known = suspects.by_fingerprint.get(DEADLY)
            if known is not None:
                crashes = len(known.weight_by_instance)
                assert known.is_held_back == (crashes >= HELD_BACK_CRASHES)

    @invariant()
    def memory_is_bounded(self):
        for suspects in self.vms:
            assert len(suspects.by_fingerprint) <= MAX_SUSPECTS
            of_caller = [f for f in suspects.by_fingerprint if f[:6] == b"caller"]
            assert len(of_caller) <= MAX_SUSPECTS_PER_CALLER
            for suspect in suspects.by_fingerprint.values():
                assert len(suspect.weight_by_instance) <= MAX_CRASHES_PER_SUSPECT


TestSuspectsMachine = SuspectsMachine.TestCase
TestSuspectsMachine.settings = stateful_settings()


class TestMemory:
    def test_one_caller_does_not_displace_the_suspects_of_others(self):
        # Guards against a caller who frees a deadly request by ending other servers.
        suspects = Suspects()
        for number in range(2):
            suspects.record_crash(DEADLY, ("s", number), 1.0, 0.0)
        for number in range(3 * MAX_SUSPECTS):
            fingerprint = b"caller" + number.to_bytes(10, "big")
            suspects.record_crash(fingerprint, ("t", number), 1.0, 1.0)
        assert suspects.find_held_back(DEADLY, 2.0)


class TestTrials:
    def test_trials_are_few_and_begin_late(self):
        # Guards against more than three further crashes while the request goes on.
        suspects = Suspects()
        for number in range(2):
            suspect = suspects.record_crash(DEADLY, ("s", number), 1.0, 0.0)
        trials = []
        for now in range(1, 200):
            suspects.expire(now)
            held_back = suspects.find_held_back(DEADLY, now)
            assert held_back
            trial_at = held_back.trial_at()
            if trial_at is not None and now >= trial_at:
                trials.append(now)
                held_back.trials += 1
                suspects.record_crash(DEADLY, ("s", now), 1.0, now)
        assert trials == [10, 30]
        assert suspect.is_held_back
