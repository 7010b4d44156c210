from __future__ import annotations

import contextlib
import types

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from profiles import stateful_settings

from briarspoke import codes
from briarspoke.admission.limits import Limits
from briarspoke.configuration.resources import Limit
from briarspoke.errors import InvariantError, Refusal
from briarspoke.retry.policy import RetryBudget

MAX_CALLERS = 3
CALLERS = [f"caller-{number}" for number in range(8)]


def limit(scope="service", **options):
    values = {"rank": None, "rate": None, "burst": 3.0, "concurrency": None}
    return Limit(name=scope, service="s", scope=scope, **{**values, **options})


def request(caller="a", rank="lookup"):
    service = types.SimpleNamespace(name="s")
    return types.SimpleNamespace(service=service, rank=rank, caller=caller)


def admitted(limits, now, count, **options):
    permits = []
    for _ in range(count):
        with contextlib.suppress(Refusal):
            permits.append(limits.admit(request(**options), now))
    return permits


class LimitsMachine(RuleBasedStateMachine):
    """Checks random requests against the recorded admissions of each caller.

    Guards against callers that exceed burst plus rate times elapsed time, also
    after their bucket is evicted, and against unbounded memory.
    """

    RATE = 2.0
    BURST = 3.0
    CONCURRENCY = 2

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.limits = Limits(live_nodes=lambda: 1, max_callers=MAX_CALLERS)
        self.limits.apply(
            {
                "caller": limit(
                    "caller",
                    rate=self.RATE,
                    burst=self.BURST,
                    concurrency=self.CONCURRENCY,
                )
            }
        )
        self.times_by_caller = {caller: [] for caller in CALLERS}
        self.permits = []

    @rule(caller=st.sampled_from(CALLERS), count=st.integers(1, 5))
    def admit(self, caller, count):
        for permit in admitted(self.limits, self.now, count, caller=caller):
            self.permits.append((caller, permit))
            times = self.times_by_caller[caller]
            times.append(self.now)
            for index, since in enumerate(times):
                allowed = self.BURST + self.RATE * (self.now - since)
                assert len(times) - index <= allowed + 1e-6

    @rule(index=st.integers(0, 50))
    def release(self, index):
        if self.permits:
            self.limits.release(self.permits.pop(index % len(self.permits))[1])

    @rule(seconds=st.sampled_from((0.01, 0.4, 3.0)))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def concurrency_is_kept(self):
        for caller in CALLERS:
            held = sum(holder == caller for holder, _ in self.permits)
            assert held <= self.CONCURRENCY

    @invariant()
    def memory_is_bounded(self):
        assert self.limits.bucket_count() <= MAX_CALLERS + 256


class BudgetMachine(RuleBasedStateMachine):
    """Guards against more retries than first attempts have earned."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget(ratio=0.1)
        self.first = 0
        self.retries = 0

    @rule(count=st.integers(1, 60))
    def first_attempts(self, count):
        self.first += count
        for _ in range(count):
            self.budget.earn()

    @rule(count=st.integers(1, 60))
    def failures(self, count):
        self.retries += sum(self.budget.spend() for _ in range(count))

    @invariant()
    def attempts_per_request(self):
        assert self.first + self.retries <= 1.1 * self.first + 1e-9


TestLimitsMachine = LimitsMachine.TestCase
TestLimitsMachine.settings = stateful_settings()
TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = stateful_settings()


class TestLimits:
    def test_rate_is_divided_by_live_nodes(self):
        # Guards against a fleet that allows the full rate at every entry VM.
        nodes = [4]
        limits = Limits(live_nodes=lambda: nodes[0])
        limits.apply({"service": limit(rate=40.0, burst=8.0)})
        assert len(admitted(limits, 0.0, 100)) == 2
        assert len(admitted(limits, 0.1, 100)) == 1
        nodes[0] = 1
        assert len(admitted(limits, 1.0, 100)) == 8

    @pytest.mark.parametrize(
        ("scope", "options", "number"),
        [
            ("service", {"rate": 1.0}, 1001),
            ("rank", {"rate": 1.0}, 1002),
            ("caller", {"rate": 1.0}, 1003),
            ("caller", {"concurrency": 3}, 1004),
            ("service", {"concurrency": 3}, 1007),
            ("rank", {"concurrency": 3}, 1008),
            ("service", {"rate": 0.0}, 1001),
        ],
    )
    def test_code_names_the_limit(self, scope, options, number):
        # Guards against a caller that cannot tell which rule refused it.
        limits = Limits(live_nodes=lambda: 1)
        limits.apply({scope: limit(scope, **options)})
        admitted(limits, 0.0, 3)
        with pytest.raises(Refusal) as raised:
            limits.admit(request(), 0.0)
        assert raised.value.code is codes.by_number[number]

    def test_refused_request_takes_no_token(self):
        # Guards against refused requests that use up the tokens of another limit.
        limits = Limits(live_nodes=lambda: 1)
        service, caller = limit(rate=1.0), limit("caller", rate=1.0, burst=1.0)
        limits.apply({"service": service, "caller": caller})
        assert len(admitted(limits, 0.0, 9, caller="a")) == 1
        assert len(admitted(limits, 0.0, 1, caller="b")) == 1
        assert len(admitted(limits, 0.0, 1, caller="c")) == 1

    def test_change_keeps_counts(self):
        # Guards against a new burst after each configuration change.
        limits = Limits(live_nodes=lambda: 1)
        limits.apply({"service": limit(rate=1.0)})
        assert len(admitted(limits, 0.0, 9)) == 3
        limits.apply({"service": limit(rate=2.0)})
        assert admitted(limits, 0.0, 9) == []

    def test_second_release_is_an_error(self):
        # Guards against in-flight counts that are decremented twice.
        limits = Limits(live_nodes=lambda: 1)
        permit = limits.admit(request(), 0.0)
        limits.release(permit)
        with pytest.raises(InvariantError):
            limits.release(permit)
