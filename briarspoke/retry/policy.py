"""Which failed attempts are tried again."""

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

# Tokens saved before a fault come on top of those earned during it. With a
# burst of 2 and 5% less credit, retries keep the ratio over any 400 first
# attempts at a ratio of 0.1; a burst of 10 gave 1.108 attempts per request in
# the first 3 s of a fault.
BUDGET_BURST = 2.0
EARNED_OF_RATIO = 0.95
BACKOFF_BASE_S = 0.01
BACKOFF_CAP_S = 0.25


class Outcome(enum.Enum):
    """What is known about an attempt that has ended."""

    NOT_RUN = "not-run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Attempt:
    """An ended attempt without an answer.

    :param outcome: whether the request may have run.
    :param reason: why the attempt failed, a name for the counter.
    :param code: result code for the caller if it is not tried again.
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
    :param burst: most tokens that are kept.
    """

    __slots__ = ("_earned", "_spent", "burst", "ratio", "tokens")

    def __init__(self, *, ratio, burst=BUDGET_BURST):
        self.burst = burst
        self.ratio = ratio
        self.tokens = 0.0
        self._earned = 0.0
        self._spent = 0

    def earn(self):
        """Counts a first attempt."""
        earned = self.ratio * EARNED_OF_RATIO
        self._earned += earned
        self.tokens = min(self.burst, self.tokens + earned)

    def spend(self):
        """Takes a token for a retry and returns whether there was one."""
        # Fractions that add up to one may stay a little below it.
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
    """Waiting times before retries: exponential with full jitter.

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
    """Why a failed attempt is not tried again."""

    UNSAFE = "unsafe"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


class Retry:
    """Decision: try again after a wait."""

    __slots__ = ("delay_s",)

    def __init__(self, delay_s):
        self.delay_s = delay_s


def plan_retry(*, attempts, rules, budget, backoff, remaining_s, needed_s=0.0):
    """Returns a :class:`Retry` or the :class:`Denied` reason against it.

    The budget is asked last, so that it is only charged for real retries.

    :param attempts: attempts made so far.
    :param rules: :class:`RetryRules` of the service.
    :param remaining_s: seconds to the deadline.
    :param needed_s: least seconds that an attempt takes.
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
    """Returns whether an attempt may be repeated without a second run.

    :param idempotent: whether running twice does no harm.
    :param replayable: whether the whole body is still held.
    :param forwarded_bytes: bytes of the answer already passed to the caller.
    """
    if forwarded_bytes or not replayable:
        return False
    if attempt.outcome is Outcome.NOT_RUN:
        return True
    return attempt.outcome is Outcome.UNKNOWN and idempotent
