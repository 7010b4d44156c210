"""Checks that servers that leave or ask for a pause get no further requests."""

from __future__ import annotations

import collections

# Requests that callers sent later than this after their entry VM passed on an answer of
# a leaving server must not reach it.
DRAIN_S = 2.0
# A paused server may still get ``MAX_IN_PAUSE`` requests from the VM that it has asked
# between this time after its answer and the end of the pause.
REACTION_S = 0.5
MAX_IN_PAUSE = 2
# Time after a disturbance of an entry VM in which nothing is counted.
EXCUSED_S = 3.0


class _Pause:
    """A pause that a server has asked an entry VM for."""

    __slots__ = ("arrivals", "begins_at", "ends_at", "is_exceeded")

    def __init__(self, *, now, pause_s):
        self.begins_at = now + REACTION_S
        self.ends_at = now + pause_s
        self.arrivals = 0
        self.is_exceeded = False


class IntakeChecks:
    """Records what servers say about taking requests, and the arrivals after it.

    :param clock: function that returns the monotonic time in seconds.
    :param add_violation: called with a promise and a detail.
    """

    def __init__(self, *, clock, add_violation):
        self._clock = clock
        self._add_violation = add_violation
        # (entry VM, time at which the caller sent it) of each request.
        self._origin_by_id = {}
        # Processes that said in the answer to a request that they leave.
        self._leaving_by_id = {}
        self._told_at = {}
        self._pauses = collections.defaultdict(collections.deque)
        self._disturbances = collections.Counter()
        self._excused_until_by_node = {}

    def request_sent(self, request_id, node):
        """Records that a caller sends a request.

        :param node: name of the entry VM.
        """
        self._origin_by_id[request_id] = (node, self._clock())

    def leaving_said(self, process, request_id):
        """Records that a server says in an answer that it leaves.

        :param process: name of the server's process, unique for each start.
        """
        self._leaving_by_id[request_id] = process

    def request_served(self, request_id):
        """Records that a caller has got a server's answer."""
        process = self._leaving_by_id.pop(request_id, None)
        if process is not None:
            node, _ = self._origin_by_id[request_id]
            self._told_at.setdefault((node, process), self._clock())

    def pause_asked(self, process, request_id, pause_s):
        """Records that a server rejects a request and asks for a pause."""
        origin = self._origin_by_id.get(request_id)
        if origin is not None:
            pause = _Pause(now=self._clock(), pause_s=pause_s)
            self._pauses[(origin[0], process)].append(pause)

    def disturbed(self, node):
        """Records that an entry VM is restarted, paused or cut off."""
        self._disturbances[node] += 1

    def undisturbed(self, node):
        """Records that a disturbance of an entry VM has ended."""
        self._disturbances[node] -= 1
        self._excused_until_by_node[node] = self._clock() + EXCUSED_S
        for pair in [pair for pair in self._told_at if pair[0] == node]:
            del self._told_at[pair]
        for pair in [pair for pair in self._pauses if pair[0] == node]:
            del self._pauses[pair]

    def request_arrived(self, process, request_id):
        """Checks a request that arrives at a server."""
        node, sent_at = self._origin_by_id.get(request_id, (None, 0.0))
        now = self._clock()
        if (
            node is None
            or self._disturbances[node]
            or now < self._excused_until_by_node.get(node, 0.0)
        ):
            return
        told_at = self._told_at.get((node, process))
        if told_at is not None and sent_at > told_at + DRAIN_S:
            self._add_violation(
                "a server that leaves gets no new requests",
                f"{request_id.decode()} at {process} from {node}, sent "
                f"{sent_at - told_at:.2f} s after an answer that said so",
            )
        pauses = self._pauses[(node, process)]
        while pauses and pauses[0].ends_at < now:
            pauses.popleft()
        for pause in pauses:
            pause.arrivals += pause.begins_at < now < pause.ends_at
            if pause.arrivals > MAX_IN_PAUSE and not pause.is_exceeded:
                pause.is_exceeded = True
                self._add_violation(
                    "a server gets the pause that it has asked for",
                    f"{pause.arrivals} requests at {process} from {node}",
                )
