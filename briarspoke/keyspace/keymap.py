"""Which server owns which keys of a service."""

from __future__ import annotations

import bisect
import itertools
import json

from briarspoke.errors import BriarspokeError, invariant
from briarspoke.keyspace.ranges import without

KEY_COUNT = 65_536
KEY_MAP_PREFIX = "briarspoke/keys/"
# A range that is released has a new owner once its last grant has lapsed, after about
# 4.3 s. What was announced counts no longer than this beside the map in the store.
ANNOUNCED_S = 6.0
# Identifier in place of a server's for a range on its way between two.
UNOWNED = ""


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
    def server_instance(self):
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
        starts, owners = list(self.starts), list(self.owners)
        for first, last, owner in changes:
            low = bisect.bisect_right(starts, first) - 1
            high = bisect.bisect_right(starts, last) - 1
            end = starts[high + 1] - 1 if high + 1 < len(starts) else KEY_COUNT - 1
            before = [(starts[low], owners[low])] if starts[low] < first else []
            after = [(last + 1, owners[high])] if last < end else []
            pieces = [*before, (first, owner), *after]
            starts[low : high + 1] = [start for start, _ in pieces]
            owners[low : high + 1] = [piece_owner for _, piece_owner in pieces]
        invariant(starts[0] == 0, "the key map does not begin with key 0")
        return _merged(starts, owners)

    def is_older_than(self, first, last, owner):
        """Returns whether an announced owner of a range is news to this map."""
        low = bisect.bisect_right(self.starts, first) - 1
        high = bisect.bisect_right(self.starts, last)
        newest = max(known.fence for known in self.owners[low:high])
        if owner.server_id == UNOWNED:
            # A release is announced under the token of the owner.
            return newest <= owner.fence
        return newest < owner.fence

    def encode(self):
        """Returns the bytes of the map in the store."""
        rows = [
            [first, owner.server_id, owner.incarnation, owner.fence]
            for first, _, owner in self.ranges()
        ]
        return json.dumps({"ranges": rows}, separators=(",", ":")).encode()


def _merged(starts, owners):
    """Returns a map in which neighbouring ranges of one process are one."""
    merged_starts, merged_owners = [], []
    for start, owner in zip(starts, owners, strict=True):
        if merged_owners and merged_owners[-1].server_instance == owner.server_instance:
            if owner.fence > merged_owners[-1].fence:
                merged_owners[-1] = owner
            continue
        merged_starts.append(start)
        merged_owners.append(owner)
    return KeyMap(starts=merged_starts, owners=merged_owners)


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
    """Key maps of all services with keys.

    The controller announces releases and new owners as soon as they are certain;
    requests follow them until the map in the store says the same.

    :param by_service: maps as last seen in the store.
    """

    __slots__ = ("_announced_by_service", "_current_by_service", "by_service")

    def __init__(self):
        self.by_service = {}
        self._current_by_service = {}
        self._announced_by_service = {}

    def put(self, service, key_map):
        """Takes a map of the store."""
        self.by_service[service] = key_map
        self._apply(service)

    def remove(self, service):
        """Forgets a map that is no longer in the store."""
        self.by_service.pop(service, None)
        self._current_by_service.pop(service, None)
        self._announced_by_service.pop(service, None)

    def announce(self, service, changes, now):
        """Takes owners that the controller has announced.

        :param changes: [(first, last, :class:`Owner`)] that do not overlap.
        :returns: whether any of them is news.
        """
        key_map = self.by_service.get(service)
        if key_map is None:
            return False
        news = [change for change in changes if key_map.is_older_than(*change)]
        announced = self._announced_by_service.get(service, [])
        for first, last, owner in news:
            announced = [
                (*piece, known, until)
                for low, high, known, until in announced
                for piece in without(low, high, [(first, last)])
            ]
            announced.append((first, last, owner, now + ANNOUNCED_S))
        self._announced_by_service[service] = announced
        current = self._current_by_service[service]
        self._current_by_service[service] = current.with_owner(news)
        return bool(news)

    def expire(self, now):
        """Forgets what the store has not confirmed in time."""
        for service, announced in self._announced_by_service.items():
            if any(until <= now for _, _, _, until in announced):
                self._announced_by_service[service] = [
                    a for a in announced if a[3] > now
                ]
                self._apply(service)

    def _apply(self, service):
        key_map = self.by_service[service]
        announced = [
            a
            for a in self._announced_by_service.get(service, ())
            if key_map.is_older_than(*a[:3])
        ]
        self._announced_by_service[service] = announced
        if announced:
            key_map = key_map.with_owner([a[:3] for a in announced])
        self._current_by_service[service] = key_map

    def owner(self, service, key):
        """Returns the :class:`Owner` of a key, or None if no map is known."""
        key_map = self._current_by_service.get(service)
        return None if key_map is None else key_map.owner(key)
