"""Checks that cold servers get no more requests than they tolerate (FAILBACK)."""

from __future__ import annotations

import collections

# Requests per second that a cold server tolerates, and how long a server stays cold.
WARMUP_PER_S = 4
WARMUP_S = 3.0
# With these the bound is 8 requests in any second, which leaves a cold server 1.2
# requests a second with entry VMs that send without the controller. The soak's requests
# are enough to exceed it.
COLD_RATIO = 1.0
COLD_SLACK = 4
BOUND = WARMUP_PER_S * COLD_RATIO + COLD_SLACK
WINDOW_S = 1.0
# A server that becomes cold while it serves is only known to be cold after this time:
# 0.4 s collection of changes at a VM, the same at its relay, and 0.2 s for the way.
LEARNING_S = 1.0


class _Spell:
    __slots__ = ("arrivals", "begins_at", "ends_at", "is_exceeded")

    def __init__(self, *, begins_at, ends_at):
        self.begins_at = begins_at
        self.ends_at = ends_at
        self.arrivals = collections.deque()
        self.is_exceeded = False


class ColdChecks:
    """Records which servers are cold, and the arrivals at them from all entry VMs.

    :param clock: function that returns the monotonic time in seconds.
    :param add_violation: called with a promise and a detail.
    """

    def __init__(self, *, clock, add_violation):
        self._clock = clock
        self._add_violation = add_violation
        self._spell_by_process = {}

    def cold_began(self, process, *, is_serving):
        """Records that a server becomes cold for ``WARMUP_S``.

        :param process: name of the server's process, unique for each start.
        :param is_serving: whether it may have requests and connections already, so that
            its arrivals count only after ``LEARNING_S``.
        """
        now = self._clock()
        spell = self._spell_by_process.get(process)
        if spell is not None and spell.ends_at >= now + LEARNING_S:
            # Entry VMs learn of the new end before they take the spell for ended.
            spell.ends_at = now + WARMUP_S
            return
        begins_at = now + LEARNING_S if is_serving else now
        spell = _Spell(begins_at=begins_at, ends_at=now + WARMUP_S)
        self._spell_by_process[process] = spell

    def store_failed(self):
        """Leaves out the spells of which nobody can learn from the store any more."""
        now = self._clock()
        for process, spell in list(self._spell_by_process.items()):
            if spell.begins_at > now:
                del self._spell_by_process[process]

    def arrived(self, arrival):
        """Checks a :class:`~briarspoke.soak.arrivals.Arrival`."""
        spell = self._spell_by_process.get(arrival.process)
        if spell is None or not spell.begins_at <= arrival.at < spell.ends_at:
            return
        arrivals = spell.arrivals
        arrivals.append(arrival.at)
        while arrivals[0] <= arrival.at - WINDOW_S:
            arrivals.popleft()
        if len(arrivals) > BOUND and not spell.is_exceeded:
            spell.is_exceeded = True
            self._add_violation(
                "FAILBACK: a cold server gets no more than it tolerates",
                f"{len(arrivals)} requests in {WINDOW_S:g} s at {arrival.process}, "
                f"{BOUND:g} allowed",
            )
