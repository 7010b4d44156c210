"""Which server owns which keys of a service."""

from __future__ import annotations

import bisect
import itertools
import json

from briarspoke.errors import BriarspokeError, invariant

KEY_COUNT = 65_536
KEY_MAP_PREFIX = "briarspoke/keys/"


class KeyMapError(BriarspokeError):
    """A key map in the store cannot be used."""


class Owner:
    """The process that owns a range, with its fencing token."""

    __slots__ = ("fence", "incarnation", "server_id")

    def __init__(self, *, server_id, incarnation, fence):
        self.server_id = server_id
        self.incarnation = incarnation
        self.fence = fence

    @property
    def life(self):
        """Identifier and incarnation of the process."""
        return (self.server_id, self.incarnation)


class KeyMap:
    """Ranges that cover all keys, each with an owner.

    :param starts: first key of each range, ascending from 0.
    :param owners: one :class:`Owner` for each range.
    """

    __slots__ = ("owners", "starts")

    def __init__(self, *, starts, owners):
        self.starts = starts
        self.owners = owners

    def owner(self, key):
        """Returns the owner of a key."""
        return self.owners[bisect.bisect_right(self.starts, key) - 1]

    def ranges(self):
        """Yields (first, last, owner), both keys inclusive."""
        for index, owner in enumerate(self.owners):
            end = index + 1
            last = self.starts[end] - 1 if end < len(self.starts) else KEY_COUNT - 1
            yield self.starts[index], last, owner

    @property
    def highest_fence(self):
        """The highest token of the map."""
        return max(owner.fence for owner in self.owners)

    def with_owner(self, changes):
        """Returns a map in which ranges have new owners.

        Neighbouring ranges of one process become one, under the higher token.

        :param changes: list of (first, last, owner) that do not overlap.
        """
        pieces = []
        changes = sorted(changes, key=lambda change: change[0])
        for first, last, owner in self.ranges():
            at = first
            for new_first, new_last, _ in changes:
                if new_last < at or new_first > last:
                    continue
                if new_first > at:
                    pieces.append((at, owner))
                at = min(last, new_last) + 1
            if at <= last:
                pieces.append((at, owner))
        pieces += [(first, owner) for first, _, owner in changes]
        pieces.sort(key=lambda piece: piece[0])
        starts, owners = [], []
        for first, owner in pieces:
            if owners and owners[-1].life == owner.life:
                if owner.fence > owners[-1].fence:
                    owners[-1] = owner
                continue
            starts.append(first)
            owners.append(owner)
        invariant(starts[0] == 0, "the key map does not begin with key 0")
        return KeyMap(starts=starts, owners=owners)

    def encode(self):
        """Returns the bytes of the map in the store."""
        rows = [
            [first, owner.server_id, owner.incarnation, owner.fence]
            for first, _, owner in self.ranges()
        ]
        return json.dumps({"ranges": rows}, separators=(",", ":")).encode()


def decode(data):
    """Returns the :class:`KeyMap` of its bytes.

    :raises KeyMapError: if they cannot be used.
    """
    try:
        rows = json.loads(data)["ranges"]
        starts = [int(row[0]) for row in rows]
        owners = []
        for _, server_id, incarnation, fence in rows:
            owner = Owner(
                server_id=str(server_id), incarnation=int(incarnation), fence=int(fence)
            )
            owners.append(owner)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise KeyMapError(f"the key map cannot be read: {error}") from error
    valid = starts and starts[0] == 0 and starts[-1] < KEY_COUNT
    if not valid or any(a >= b for a, b in itertools.pairwise(starts)):
        raise KeyMapError("the ranges of the key map do not cover all keys in order")
    return KeyMap(starts=starts, owners=owners)


class KeyMaps:
    """Key maps of all services with keys, as last seen in the store."""

    __slots__ = ("by_service",)

    def __init__(self):
        self.by_service = {}

    def owner(self, service, key):
        """Returns the :class:`Owner` of a key, or None if no map is known."""
        key_map = self.by_service.get(service)
        return None if key_map is None else key_map.owner(key)
