"""The part of the shared retry budget that one entry VM may spend."""

from __future__ import annotations

import collections

# Counters per window; a request leaves the window with its counter.
WINDOW_STEPS = 20
# Left unspent, since the entry VMs' windows and clocks do not agree exactly.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Repeats of one service within a sliding window.

    The budget of all entry VMs is ``ratio`` times the requests in the window plus
    a slack. Each VM spends the ratio of its own requests and an equal part of the
    slack, so the sum holds without coordination.

    :param ratio: repeats per request.
    :param slack: repeats beside the ratio, of all entry VMs together.
    :param window_s: length of the window in seconds.
    """

    __slots__ = ("_ratio", "_requests", "_slack", "_spent", "_step_s")

    def __init__(self, *, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._step_s = window_s / WINDOW_STEPS
        self._requests = collections.deque()
        self._spent = collections.deque()

    def set_limits(self, *, ratio, slack):
        """Takes other limits over; what was spent stays spent."""
        self._ratio = ratio
        self._slack = slack

    def _add(self, counters, now):
        step = int(now / self._step_s)
        if counters and counters[-1][0] == step:
            counters[-1][1] += 1
        else:
            counters.append([step, 1])

    def _total(self, counters, now):
        oldest = int(now / self._step_s) - WINDOW_STEPS
        while counters and counters[0][0] < oldest:
            counters.popleft()
        return sum(count for _, count in counters)

    def count_request(self, now):
        """Counts a caller's request."""
        self._add(self._requests, now)

    def spend(self, now, nodes):
        """Returns whether one more repeat may be sent, and counts it if so.

        :param nodes: entry VMs that share the slack.
        """
        allowed = SAFETY_FACTOR * (
            self._ratio * self._total(self._requests, now) + self._slack / max(1, nodes)
        )
        if self._total(self._spent, now) + 1 > allowed:
            return False
        self._add(self._spent, now)
        return True
