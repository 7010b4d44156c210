"""One entry VM's part of the shared retry budget."""

from __future__ import annotations

import collections

# Number of counters into which the sliding window is divided. Requests leave the window
# one counter at a time.
WINDOW_STEPS = 20
# Fraction of the budget that is spent. The rest is a margin, since the windows and
# clocks of the entry VMs differ slightly.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Limits the retries of one service within a sliding window.

    The budget of all entry VMs together is ``ratio`` times the requests in the window,
    plus ``slack``. Each VM may spend ``ratio`` times its own requests plus an equal
    part of ``slack``, so the VMs together stay within the budget without coordination.

    :param ratio: retries per request.
    :param slack: retries in addition to the ratio, for all entry VMs together.
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
        """Changes the limits; retries that are already counted stay counted."""
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
        """Returns whether one more retry may be sent, and counts it if so.

        :param nodes: number of entry VMs that share the slack.
        """
        allowed = SAFETY_FACTOR * (
            self._ratio * self._total(self._requests, now) + self._slack / max(1, nodes)
        )
        if self._total(self._spent, now) + 1 > allowed:
            return False
        self._add(self._spent, now)
        return True
