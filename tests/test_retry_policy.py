from __future__ import annotations

import random

import pytest

from briarspoke import codes
from briarspoke.configuration.resources import RetryRules
from briarspoke.retry.policy import (
    Attempt,
    Backoff,
    Denied,
    Outcome,
    Retry,
    RetryBudget,
    may_retry,
    plan_retry,
)


def plan(*, attempts=1, remaining_s=1.0, needed_s=0.0, tokens=1.0):
    budget = RetryBudget(ratio=1.0)
    for _ in range(2):
        budget.earn()
    budget.tokens = tokens
    result = plan_retry(
        attempts=attempts,
        rules=RetryRules(attempts=3, budget_ratio=1.0),
        budget=budget,
        backoff=Backoff(random=random.Random(1)),
        remaining_s=remaining_s,
        needed_s=needed_s,
    )
    return result, budget.tokens


class TestMayRetry:
    @pytest.mark.parametrize(
        ("outcome", "idempotent", "replayable", "forwarded", "allowed"),
        [
            (Outcome.NOT_RUN, False, True, 0, True),
            (Outcome.NOT_RUN, True, False, 0, False),
            (Outcome.UNKNOWN, False, True, 0, False),
            (Outcome.UNKNOWN, True, True, 0, True),
            (Outcome.UNKNOWN, True, True, 1, False),
            (Outcome.ANSWERED, True, True, 0, False),
        ],
    )
    def test_request_that_is_not_idempotent_never_runs_twice(
        self, outcome, idempotent, replayable, forwarded, allowed
    ):
        # Guards against retries that run a non-idempotent request twice (I5).
        attempt = Attempt(outcome=outcome, reason="x", code=codes.OUTCOME_UNKNOWN)
        assert allowed is may_retry(
            attempt,
            idempotent=idempotent,
            replayable=replayable,
            forwarded_bytes=forwarded,
        )


class TestPlanRetry:
    def test_allowed(self):
        result, tokens = plan()
        assert isinstance(result, Retry)
        assert tokens == 0.0

    @pytest.mark.parametrize(
        ("options", "denied"),
        [
            ({"attempts": 3}, Denied.ATTEMPTS),
            ({"remaining_s": 0.0}, Denied.DEADLINE),
            ({"needed_s": 1.0}, Denied.DEADLINE),
            ({"tokens": 0.5}, Denied.BUDGET),
        ],
    )
    def test_denied_retry_costs_no_token(self, options, denied):
        # Guards against retries that cannot end before the deadline, and against
        # tokens spent on retries that are not made.
        result, tokens = plan(**options)
        assert result is denied
        assert tokens == options.get("tokens", 1.0)


class TestBackoff:
    def test_waits_grow_to_the_cap(self):
        # Guards against synchronised retries after a fault that hits many requests.
        backoff = Backoff(random=random.Random(1), base_s=0.01, cap_s=0.08)
        for attempts, most in ((1, 0.01), (3, 0.04), (50, 0.08)):
            waits = {backoff.delay_s(attempts) for _ in range(200)}
            assert len(waits) > 100
            assert 0.0 <= min(waits) < 0.2 * most
            assert 0.8 * most < max(waits) <= most
