"""Promises that the soak checks from what callers and servers see."""

from __future__ import annotations

import collections

REFUSALS = frozenset({408, 421, 429, 503})
# Two servers may both hold a key for this long where a grant is held up on its way.
MAX_OVERLAP_S = 0.5
CHECKED_KEYS = tuple(range(0, 65_536, 509))


class Checks:
    """Runs, answers and holds, with the violations found in them.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, clock):
        self.violations = []
        self.answers_by_status = collections.Counter()
        self.runs_by_id = collections.Counter()
        self._clock = clock
        self._refused_ids = set()
        self._at_most_once_ids = set()
        self._overlap_start_by_key = {}

    def _add_violation(self, promise, detail):
        self.violations.append({"promise": promise, "detail": detail})

    def request_sent(self, request_id, *, at_most_once):
        """Notes a request of a caller; ``at_most_once`` means at most one run."""
        if at_most_once:
            self._at_most_once_ids.add(request_id)

    def request_ran(self, server_id, request_id, key):
        """Notes that a server begins to work on a request."""
        self.runs_by_id[request_id] += 1
        if request_id in self._at_most_once_ids and self.runs_by_id[request_id] > 1:
            self._add_violation("runs at most once", request_id.decode())
        if request_id in self._refused_ids and request_id in self._at_most_once_ids:
            self._add_violation("a refused request never runs", request_id.decode())

    def request_answered(self, request_id, answer):
        """Checks the answer that a caller got; status None means none."""
        self.answers_by_status[str(answer.status or answer.failure)] += 1
        if answer.status == 200:
            if answer.body != b"ran " + request_id:
                self._add_violation(
                    "the caller's own whole answer", request_id.decode()
                )
            if not self.runs_by_id[request_id]:
                self._add_violation("a success has run", request_id.decode())
        elif answer.status in REFUSALS:
            self._refused_ids.add(request_id)
            if request_id in self._at_most_once_ids and self.runs_by_id[request_id]:
                self._add_violation(
                    "a refused request has not run", request_id.decode()
                )

    def check_owners(self, models):
        """Checks that no key is held by two servers."""
        now = self._clock()
        for key in CHECKED_KEYS:
            owners = tuple(m.server_id for m in models if m.holds(key))
            if len(owners) < 2:
                self._overlap_start_by_key.pop(key, None)
                continue
            since = self._overlap_start_by_key.setdefault(key, now)
            if now - since > MAX_OVERLAP_S:
                self._add_violation("one owner for each key", f"key {key} at {owners}")
                self._overlap_start_by_key[key] = now + 60.0
