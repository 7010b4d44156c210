"""Which failed attempts are tried again."""

from __future__ import annotations

import enum


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

    :param ratio: tokens earned by each first attempt.
    :param burst: most tokens that are kept.
    """

    __slots__ = ("burst", "ratio", "tokens")

    def __init__(self, *, ratio, burst=10.0):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def earn(self):
        """Counts a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self):
        """Takes a token for a retry and returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


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
