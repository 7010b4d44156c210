"""Stand-in for a backend server on the platform: its state without I/O."""

from __future__ import annotations

import json


class Held:
    """A key range that a server holds until a time."""

    __slots__ = ("fence", "first", "last", "until")

    def __init__(self, *, first, last, fence, until):
        self.first = first
        self.last = last
        self.fence = fence
        self.until = until


class ServerModel:
    """Grants of one process of a server.

    A later grant never shortens an earlier one: a range is held until the latest
    time that any accepted grant gave.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, server_id, clock):
        self.server_id = server_id
        self._clock = clock
        self._held = []
        # (first, last, fence) of every grant that was seen.
        self._seen = []

    def grant(self, body, arrived=None):
        """Takes a grant; returns the status.

        :param arrived: when the call arrived, if it is applied late.
        """
        first, last, fence = body["from"], body["target"], body["fence"]
        if self.highest_seen(first, last) > fence:
            return 409
        self._seen.append((first, last, fence))
        arrived = self._clock() if arrived is None else arrived
        hold_s = float(body["hold_time"][:-2]) / 1000
        self._held.append(
            Held(first=first, last=last, fence=fence, until=arrived + hold_s)
        )
        return 200

    def release(self, body):
        """Gives keys back; returns the status."""
        kept = []
        for held in self._held:
            if held.last < body["from"] or held.first > body["target"]:
                kept.append(held)
                continue
            if held.first < body["from"]:
                kept.append(_part(held, held.first, body["from"] - 1))
            if held.last > body["target"]:
                kept.append(_part(held, body["target"] + 1, held.last))
        self._held = kept
        return 200

    def highest_seen(self, first, last):
        """Returns the highest token of any grant that overlaps a range."""
        found = [f for a, b, f in self._seen if a <= last and b >= first]
        return max(found, default=0)

    def holds(self, key):
        """Returns whether the server may run a request for a key."""
        now = self._clock()
        self._held = [held for held in self._held if held.until > now]
        return any(held.first <= key <= held.last for held in self._held)

    def call(self, path, body, arrived=None):
        """Returns (status, headers) of a grant or release call."""
        value = json.loads(body)
        if path.endswith("/grant"):
            return self.grant(value, arrived), {}
        return self.release(value), {"Handover": f"h-{self.server_id}"}


def _part(held, first, last):
    return Held(first=first, last=last, fence=held.fence, until=held.until)
