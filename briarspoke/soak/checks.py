"""Invariants that the soak checks from what callers and servers observe."""

from __future__ import annotations

import collections

from briarspoke.soak.arrivals import Arrivals
from briarspoke.soak.coldness import ColdChecks
from briarspoke.soak.evacuations import EvacuationChecks
from briarspoke.soak.intake import IntakeChecks
from briarspoke.soak.limits import LimitChecks

REFUSALS = frozenset({408, 421, 429, 503})
# Two servers may both hold a key for this long if a grant is delayed in transit.
MAX_OVERLAP_S = 0.5
CHECKED_KEYS = tuple(range(0, 65_536, 509))


class Checks:
    """Records executions, answers and key ownership, and the violations in them.

    :param clock: function that returns the monotonic time in seconds.
    """

    def __init__(self, *, clock):
        self.violations = []
        self.answers_by_status = collections.Counter()
        self.runs_by_id = collections.Counter()
        self.limits = LimitChecks(clock=clock, add_violation=self._add_violation)
        self.intake = IntakeChecks(clock=clock, add_violation=self._add_violation)
        self.cold = ColdChecks(clock=clock, add_violation=self._add_violation)
        self.evacuations = EvacuationChecks(
            clock=clock, add_violation=self._add_violation
        )
        self.arrivals = Arrivals(
            clock=clock, listeners=[self.evacuations.arrived, self.cold.arrived]
        )
        self._clock = clock
        self._refused_ids = set()
        self._at_most_once_ids = set()
        self._overlap_start_by_key = {}
        # Highest token of each checked key, and the process that had it.
        self._highest_by_key = {}

    def _add_violation(self, promise, detail):
        self.violations.append({"promise": promise, "detail": detail})

    def request_sent(self, request_id, *, at_most_once):
        """Records that a caller sends a request.

        :param at_most_once: whether the request must not run more than once.
        """
        if at_most_once:
            self._at_most_once_ids.add(request_id)

    def request_arrived(self, process, request_id):
        """Records that a request arrives at a process of a server."""
        self.limits.request_arrived(process, request_id)
        self.intake.request_arrived(process, request_id)
        self.arrivals.arrived(process, request_id)

    def disturbed(self, node):
        """Records that an entry VM is restarted, paused or cut off."""
        self.limits.disturbed(node)
        self.intake.disturbed(node)

    def undisturbed(self, node):
        """Records that a disturbance of an entry VM has ended."""
        self.limits.undisturbed(node)
        self.intake.undisturbed(node)

    def request_ran(self, server_id, request_id, key):
        """Records that a server starts to run a request."""
        self.runs_by_id[request_id] += 1
        if request_id in self._at_most_once_ids and self.runs_by_id[request_id] > 1:
            self._add_violation("runs at most once", request_id.decode())
        if request_id in self._refused_ids and request_id in self._at_most_once_ids:
            self._add_violation("a refused request never runs", request_id.decode())

    def request_answered(self, request_id, answer):
        """Checks the answer to a request; its status is None if there was no answer."""
        self.answers_by_status[str(answer.status or answer.failure)] += 1
        if answer.status == 200:
            self.limits.request_served(request_id)
            self.intake.request_served(request_id)
            if answer.body != b"ran " + request_id:
                self._add_violation(
                    "a caller gets the whole answer to its own request",
                    request_id.decode(),
                )
            if not self.runs_by_id[request_id]:
                self._add_violation("a successful request has run", request_id.decode())
        elif answer.status in REFUSALS:
            self._refused_ids.add(request_id)
            if request_id in self._at_most_once_ids and self.runs_by_id[request_id]:
                self._add_violation(
                    "a refused request has not run", request_id.decode()
                )

    def grant_accepted(self, process, first, last, token):
        """Checks that a process takes keys with higher tokens than all others had.

        :param process: name of the process, unique for each start.
        """
        for key in CHECKED_KEYS:
            if not first <= key <= last:
                continue
            highest, holder = self._highest_by_key.get(key, (0, process))
            if holder != process and token <= highest:
                self._add_violation(
                    "each owner has a new token",
                    f"key {key} at {process}, token {token} of {holder}",
                )
            if token >= highest:
                self._highest_by_key[key] = (token, process)

    def check_owners(self, models):
        """Checks that no two servers hold a key for longer than ``MAX_OVERLAP_S``."""
        now = self._clock()
        for key in CHECKED_KEYS:
            owners = tuple(m.server_id for m in models if m.holds(key))
            if len(owners) < 2:
                self._overlap_start_by_key.pop(key, None)
                continue
            since = self._overlap_start_by_key.setdefault(key, now)
            if now - since > MAX_OVERLAP_S:
                self._add_violation("one owner for each key", f"key {key} at {owners}")
                # Reports the same overlap again only after another minute.
                self._overlap_start_by_key[key] = now + 60.0
