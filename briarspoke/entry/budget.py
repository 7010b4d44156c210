"""One entry VM's part of the shared retry budget."""

from __future__ import annotations

import collections

# Number of counters into which the sliding window is divided. Requests leave the window
# one counter at a time.
WINDOW_STEPS = 20
# Fraction of the budget that is spent. The rest is a margin, since the windows and
# clocks of the entry VMs differ slightly.
SAFETY_FACTOR = 0.8


# Part of a VM's retries per request that copies of slow requests may use. The rest and
# all of the slack are for retries of requests that have failed, which need them more.
COPY_FRACTION = 0.75


class WindowCounter:
    """Counts events within a sliding window.

    An event is counted for the length of the window and at most one step longer.

    :param window_s: length of the window in seconds.
    """

    __slots__ = ("_counters", "_step_s")

    def __init__(self, *, window_s):
        self._step_s = window_s / WINDOW_STEPS
        self._counters = collections.deque()

    def add(self, now):
        """Counts an event."""
        step = int(now / self._step_s)
        if self._counters and self._counters[-1][0] == step:
            self._counters[-1][1] += 1
        else:
            self._counters.append([step, 1])

    def total(self, now):
        """Returns the number of events in the window that ends now."""
        oldest = int(now / self._step_s) - WINDOW_STEPS
        while self._counters and self._counters[0][0] < oldest:
            self._counters.popleft()
        return sum(count for _, count in self._counters)


class RetryBudget:
    """Limits the retries of one service within a sliding window.

    The budget of all entry VMs together is ``ratio`` times the requests in the window,
    plus ``slack``. Each VM may spend ``ratio`` times its own requests plus an equal
    part of ``slack``, so the VMs together stay within the budget without coordination.

    :param ratio: retries per request.
    :param slack: retries in addition to the ratio, for all entry VMs together.
    :param window_s: length of the window in seconds.
    """

    __slots__ = ("_ratio", "_requests", "_slack", "_spent")

    def __init__(self, *, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._requests = WindowCounter(window_s=window_s)
        self._spent = WindowCounter(window_s=window_s)

    def set_limits(self, *, ratio, slack):
        """Changes the limits; retries that are already counted stay counted."""
        self._ratio = ratio
        self._slack = slack

    def count_request(self, now):
        """Counts a caller's request."""
        self._requests.add(now)

    def spend(self, now, nodes):
        """Returns whether one more retry may be sent, and counts it if so.

        :param nodes: number of entry VMs that share the slack.
        """
        return self._spend(
            now, self._ratio * self._requests.total(now) + self._slack / max(1, nodes)
        )

    def spend_copy(self, now):
        """Returns whether one more copy may be sent, and counts it if so.

        Copies use none of the slack, so a wrong number of entry VMs does not matter.
        """
        return self._spend(now, COPY_FRACTION * self._ratio * self._requests.total(now))

    def _spend(self, now, allowed):
        if self._spent.total(now) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._spent.add(now)
        return True
