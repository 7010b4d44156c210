"""Promises that the soak checks from what callers and servers see."""

from __future__ import annotations

import collections

REFUSALS = frozenset({408, 421, 429, 503})
# Two servers may both hold a key for this long where a grant is held up on its way.
OVERLAP_S = 0.5
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
        self._refused = set()
        self._once = set()
        self._overlaps = {}

    def _violated(self, promise, detail):
        self.violations.append({"promise": promise, "detail": detail})

    def sent(self, request_id, *, once):
        """Notes a request of a caller; ``once`` means at most one run."""
        if once:
            self._once.add(request_id)

    def ran(self, server_id, request_id, key):
        """Notes that a server begins to work on a request."""
        self.runs_by_id[request_id] += 1
        if request_id in self._once and self.runs_by_id[request_id] > 1:
            self._violated("runs at most once", request_id.decode())
        if request_id in self._refused and request_id in self._once:
            self._violated("a refused request never runs", request_id.decode())

    def answered(self, request_id, answer):
        """Checks the answer that a caller got; status None means none."""
        self.answers_by_status[str(answer.status or answer.failure)] += 1
        if answer.status == 200:
            if answer.body != b"ran " + request_id:
                self._violated("the caller's own whole answer", request_id.decode())
            if not self.runs_by_id[request_id]:
                self._violated("a success has run", request_id.decode())
        elif answer.status in REFUSALS:
            self._refused.add(request_id)
            if request_id in self._once and self.runs_by_id[request_id]:
                self._violated("a refused request has not run", request_id.decode())

    def holds(self, models):
        """Checks that no key is held by two servers."""
        now = self._clock()
        for key in CHECKED_KEYS:
            found = tuple(m.server_id for m in models if m.holds(key))
            if len(found) < 2:
                self._overlaps.pop(key, None)
                continue
            since = self._overlaps.setdefault(key, now)
            if now - since > OVERLAP_S:
                self._violated("one owner for each key", f"key {key} at {found}")
                self._overlaps[key] = now + 60.0
