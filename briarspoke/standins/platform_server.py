"""State of the stand-in for a backend server on the platform, without I/O."""

from __future__ import annotations

import json


class HeldRange:
    """Key range that a server holds until ``expires_at``, both ends included."""

    __slots__ = ("expires_at", "fence", "first", "last")

    def __init__(self, *, first, last, fence, expires_at):
        self.first = first
        self.last = last
        self.fence = fence
        self.expires_at = expires_at


class ServerModel:
    """Key ranges that were granted to one process of a server.

    A later grant never shortens an earlier one: a key is held until the latest expiry
    of all accepted grants that cover it.

    :param clock: function that returns the monotonic time in seconds.
    :param on_grant: function that is called with the first key, the last key and the
        fencing token of each accepted grant, or None.
    """

    def __init__(self, *, server_id, clock, on_grant=None):
        self.server_id = server_id
        self._clock = clock
        self._on_grant = on_grant
        self._held_ranges = []
        # (first, last, fence) of every accepted grant.
        self._granted_tokens = []

    def grant(self, body, arrived_at=None):
        """Applies a grant and returns the HTTP status.

        A grant with a lower fencing token than an overlapping earlier one is refused.

        :param arrived_at: time from which the hold counts; None for the current time.
        """
        first, last, fence = body["from"], body["target"], body["fence"]
        if self.highest_fence(first, last) > fence:
            return 409
        self._granted_tokens.append((first, last, fence))
        if self._on_grant is not None:
            self._on_grant(first, last, fence)
        arrived_at = self._clock() if arrived_at is None else arrived_at
        hold_s = float(body["hold_time"][:-2]) / 1000
        self._held_ranges.append(
            HeldRange(
                first=first, last=last, fence=fence, expires_at=arrived_at + hold_s
            )
        )
        return 200

    def release(self, body):
        """Releases a range of keys and returns the HTTP status."""
        remaining = []
        for held in self._held_ranges:
            if held.last < body["from"] or held.first > body["target"]:
                remaining.append(held)
                continue
            if held.first < body["from"]:
                remaining.append(_subrange(held, held.first, body["from"] - 1))
            if held.last > body["target"]:
                remaining.append(_subrange(held, body["target"] + 1, held.last))
        self._held_ranges = remaining
        return 200

    def highest_fence(self, first, last):
        """Returns the highest fencing token of grants that overlap a range, or 0."""
        overlapping = [
            f for a, b, f in self._granted_tokens if a <= last and b >= first
        ]
        return max(overlapping, default=0)

    def holds(self, key):
        """Returns whether the server may run a request for a key now."""
        now = self._clock()
        self._held_ranges = [
            held for held in self._held_ranges if held.expires_at > now
        ]
        return any(held.first <= key <= held.last for held in self._held_ranges)

    def call(self, path, body, arrived_at=None, target=None):
        """Handles a grant or release call and returns (status, headers).

        :param path: path of the call; it ends with ``/grant`` for a grant.
        :param body: the call's JSON body as bytes.
        :param arrived_at: time from which the hold counts; None for the current time.
        :param target: identifier of the only server that may handle the call; None for
            any server.
        """
        if target not in (None, self.server_id):
            return 421, {}
        value = json.loads(body)
        if path.endswith("/grant"):
            return self.grant(value, arrived_at), {}
        return self.release(value), {"Handover": f"h-{self.server_id}"}


def _subrange(held, first, last):
    return HeldRange(
        first=first, last=last, fence=held.fence, expires_at=held.expires_at
    )
