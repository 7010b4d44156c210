"""Checks that servers get no more requests than the rate limits that they name."""

from __future__ import annotations

import collections

# From SETTLING_S after a server first names its limit, it gets in WINDOW_S at most
# FACTOR times what the limit allows, and EXTRA requests.
SETTLING_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
# An entry VM counts from this time after it has passed on an answer with the limit.
TOLD_S = 0.5
# An entry VM that was disturbed counts again after this time.
EXCUSED_S = 3.0


class _NamedLimit:
    __slots__ = (
        "arrivals",
        "first_named_at",
        "is_exceeded",
        "per_s",
        "told_at_by_node",
    )

    def __init__(self, *, per_s, first_named_at):
        self.per_s = per_s
        self.first_named_at = first_named_at
        self.told_at_by_node = {}
        self.arrivals = collections.deque()
        self.is_exceeded = False


class LimitChecks:
    """Records limits and the arrivals at the servers that name them.

    Grants are not counted: an owner needs its grants to keep its keys.

    :param clock: function that returns the monotonic time in seconds.
    :param add_violation: called with a promise and a detail.
    """

    def __init__(self, *, clock, add_violation):
        self._clock = clock
        self._add_violation = add_violation
        self._node_by_id = {}
        self._limit_by_process = {}
        # Limits that the answers to requests name, until the callers get them.
        self._limit_by_id = {}
        self._disturbances = collections.Counter()
        self._excused_until_by_node = {}

    def request_sent(self, request_id, node):
        """Records that a caller sends a request.

        :param node: name of the entry VM.
        """
        self._node_by_id[request_id] = node

    def limit_named(self, process, request_id, per_s):
        """Records that a server names a limit in the answer to a request.

        :param process: name of the server's process, unique for each start.
        """
        limit = self._limit_by_process.get(process)
        if limit is None or limit.per_s != per_s:
            limit = _NamedLimit(per_s=per_s, first_named_at=self._clock())
            self._limit_by_process[process] = limit
        self._limit_by_id[request_id] = limit

    def limit_ended(self, process):
        """Records that a server names no limit any more, or has ended."""
        self._limit_by_process.pop(process, None)

    def request_served(self, request_id):
        """Records that a caller has got a server's answer."""
        limit = self._limit_by_id.pop(request_id, None)
        if limit is not None:
            node = self._node_by_id[request_id]
            limit.told_at_by_node.setdefault(node, self._clock())

    def disturbed(self, node):
        """Records that an entry VM is restarted, paused or cut off."""
        self._disturbances[node] += 1

    def undisturbed(self, node):
        """Records that a disturbance of an entry VM has ended."""
        self._disturbances[node] -= 1
        self._excused_until_by_node[node] = self._clock() + EXCUSED_S

    def request_arrived(self, process, request_id):
        """Checks the number of requests that have arrived at a server."""
        limit = self._limit_by_process.get(process)
        node = self._node_by_id.get(request_id)
        if limit is None or node is None or not self._counts(limit, node):
            return
        now = self._clock()
        limit.arrivals.append(now)
        while limit.arrivals[0] <= now - WINDOW_S:
            limit.arrivals.popleft()
        allowed = FACTOR * WINDOW_S * limit.per_s + EXTRA
        if len(limit.arrivals) > allowed and not limit.is_exceeded:
            limit.is_exceeded = True
            self._add_violation(
                "a server gets no more than its limit",
                f"{len(limit.arrivals)} requests in {WINDOW_S:g} s at {process}, "
                f"{allowed:g} allowed",
            )

    def _counts(self, limit, node):
        now = self._clock()
        told_at = limit.told_at_by_node.get(node)
        return (
            told_at is not None
            and now >= told_at + TOLD_S
            and now >= limit.first_named_at + SETTLING_S
            and not self._disturbances[node]
            and now >= self._excused_until_by_node.get(node, 0.0)
        )
