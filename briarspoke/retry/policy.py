"""Decides which failed attempts are retried, and when."""

from __future__ import annotations

import enum

from briarspoke import codes
from briarspoke.errors import invariant

RETRY_BUDGET_EXCEEDED = codes.register(
    7221,
    "retry-budget-exceeded",
    codes.Kind.INTERNAL,
    500,
    "More retries were granted than the first attempts have earned.",
)

# Tokens saved before a fault add to those earned during it. With a burst of 2 and 5%
# fewer tokens earned, retries stay within a ratio of 0.1 over any 400 first attempts;
# a burst of 10 gave 1.108 attempts per request in the first 3 s of a fault.
BUDGET_BURST = 2.0
EARNED_RATIO_FACTOR = 0.95
BACKOFF_BASE_S = 0.01
BACKOFF_CAP_S = 0.25


class Outcome(enum.Enum):
    """What is known about an attempt that has ended."""

    NOT_RUN = "not-run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Attempt:
    """An attempt that has ended without an answer.

    :param outcome: whether the request may have run.
    :param reason: why the attempt failed, as a label of the metric.
    :param code: result code for the caller if the attempt is not retried.
    """

    __slots__ = ("code", "outcome", "reason")

    def __init__(self, *, outcome, reason, code):
        self.outcome = outcome
        self.reason = reason
        self.code = code


class RetryBudget:
    """A token bucket that bounds retries to a fraction of first attempts.

    It starts empty, so attempts never exceed ``1 + ratio`` times the first
    attempts, not even for the first requests of a new process.

    :param ratio: tokens earned by each first attempt.
    :param burst: largest number of tokens that the bucket holds.
    """

    __slots__ = ("_earned", "_spent", "burst", "ratio", "tokens")

    def __init__(self, *, ratio, burst=BUDGET_BURST):
        self.burst = burst
        self.ratio = ratio
        self.tokens = 0.0
        self._earned = 0.0
        self._spent = 0

    def earn(self):
        """Adds the tokens earned by a first attempt."""
        earned = self.ratio * EARNED_RATIO_FACTOR
        self._earned += earned
        self.tokens = min(self.burst, self.tokens + earned)

    def spend(self):
        """Takes a token for a retry and returns whether one was available."""
        # The sum of fractions that add up to one may be rounded to slightly below it.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        self._spent += 1
        invariant(
            self._spent <= self._earned + 1e-6 * (1 + self._earned),
            f"{self._spent} retries with {self._earned} earned",
            RETRY_BUDGET_EXCEEDED,
        )
        return True


class Backoff:
    """Delays before retries: exponential backoff with full jitter.

    :param random: seeded ``random.Random``.
    """

    __slots__ = ("_random", "base_s", "cap_s")

    def __init__(self, *, random, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S):
        self._random = random
        self.base_s = base_s
        self.cap_s = cap_s

    def delay_s(self, attempts):
        """Returns the seconds to wait after a number of failed attempts."""
        exponent = min(30, max(0, attempts - 1))
        return self._random.uniform(0.0, min(self.cap_s, self.base_s * 2**exponent))


class Denied(enum.Enum):
    """Why a failed attempt is not retried."""

    UNSAFE = "unsafe"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


class Retry:
    """Decision to retry after a delay."""

    __slots__ = ("delay_s",)

    def __init__(self, delay_s):
        self.delay_s = delay_s


def plan_retry(*, attempts, rules, budget, backoff, remaining_s, needed_s=0.0):
    """Returns a :class:`Retry` or the :class:`Denied` reason against it.

    The budget is checked last, so that only retries that are made spend a token.

    :param attempts: attempts made so far.
    :param rules: :class:`RetryRules` of the service.
    :param remaining_s: seconds to the deadline.
    :param needed_s: shortest time that an attempt takes, in seconds.
    """
    if attempts >= rules.attempts:
        return Denied.ATTEMPTS
    delay_s = backoff.delay_s(attempts)
    if delay_s + needed_s >= remaining_s:
        return Denied.DEADLINE
    if not budget.spend():
        return Denied.BUDGET
    return Retry(delay_s)


def may_retry(attempt, *, idempotent, replayable, forwarded_bytes):
    """Returns whether an attempt can be retried safely.

    A request that may have run is retried only if it is idempotent.

    :param idempotent: whether the request may run twice.
    :param replayable: whether the whole body is still in memory.
    :param forwarded_bytes: bytes of the answer already forwarded to the caller.
    """
    if forwarded_bytes or not replayable:
        return False
    if attempt.outcome is Outcome.NOT_RUN:
        return True
    return attempt.outcome is Outcome.UNKNOWN and idempotent
