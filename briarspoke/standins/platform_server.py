"""Stand-in for a backend server on the platform: its state without I/O."""

from __future__ import annotations

import json


class HeldRange:
    """A key range that a server holds until a time."""

    __slots__ = ("expires_at", "fence", "first", "last")

    def __init__(self, *, first, last, fence, expires_at):
        self.first = first
        self.last = last
        self.fence = fence
        self.expires_at = expires_at


class ServerModel:
    """Grants of one process of a server.

    A later grant never shortens an earlier one: a range is held until the latest
    time that any accepted grant gave.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, server_id, clock):
        self.server_id = server_id
        self._clock = clock
        self._held_ranges = []
        # (first, last, fence) of every grant that was seen.
        self._granted_tokens = []

    def grant(self, body, arrived_at=None):
        """Takes a grant; returns the status.

        :param arrived_at: when the call arrived, if it is applied late.
        """
        first, last, fence = body["from"], body["target"], body["fence"]
        if self.highest_fence(first, last) > fence:
            return 409
        self._granted_tokens.append((first, last, fence))
        arrived_at = self._clock() if arrived_at is None else arrived_at
        hold_s = float(body["hold_time"][:-2]) / 1000
        self._held_ranges.append(
            HeldRange(
                first=first, last=last, fence=fence, expires_at=arrived_at + hold_s
            )
        )
        return 200

    def release(self, body):
        """Gives keys back; returns the status."""
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
        """Returns the highest token of any grant that overlaps a range."""
        overlapping = [
            f for a, b, f in self._granted_tokens if a <= last and b >= first
        ]
        return max(overlapping, default=0)

    def holds(self, key):
        """Returns whether the server may run a request for a key."""
        now = self._clock()
        self._held_ranges = [
            held for held in self._held_ranges if held.expires_at > now
        ]
        return any(held.first <= key <= held.last for held in self._held_ranges)

    def call(self, path, body, arrived_at=None):
        """Returns (status, headers) of a grant or release call."""
        value = json.loads(body)
        if path.endswith("/grant"):
            return self.grant(value, arrived_at), {}
        return self.release(value), {"Handover": f"h-{self.server_id}"}


def _subrange(held, first, last):
    return HeldRange(
        first=first, last=last, fence=held.fence, expires_at=held.expires_at
    )
