"""Key maps: which server owns which keys of a service."""

from __future__ import annotations

import bisect
import itertools
import json

from briarspoke.errors import BriarspokeError, invariant
from briarspoke.keyspace.ranges import subtract_ranges

KEY_COUNT = 65_536
KEY_MAP_PREFIX = "briarspoke/keys/"
# A released range has a new owner at the latest when its last grant has expired, after
# about 4.3 s. An announcement that the map in the store does not confirm within this
# time is dropped.
ANNOUNCEMENT_TTL_S = 6.0
# Server id of a range that is moving between two servers.
UNOWNED = ""


class KeyMapError(BriarspokeError):
    """A key map in the store is invalid."""


class Owner:
    """The server instance that owns a range, with its fencing token."""

    __slots__ = ("fence", "incarnation", "server_id")

    def __init__(self, *, server_id, incarnation, fence):
        self.server_id = server_id
        self.incarnation = incarnation
        self.fence = fence

    @property
    def server_instance(self):
        """The pair (server id, incarnation)."""
        return (self.server_id, self.incarnation)


class KeyMap:
    """Ranges that cover all keys, each with an owner.

    :param starts: first key of each range, ascending from 0.
    :param owners: one :class:`Owner` for each range.
    :param era: era of the store in which a controller wrote the map, or None if the map
        does not tell.
    :param address_by_instance: ``{server_instance: (host, port)}`` of owners.
    :param writer: name of the entry VM that wrote it as the controller, or None if the
        map does not tell.
    """

    __slots__ = ("address_by_instance", "era", "owners", "starts", "writer")

    def __init__(
        self, *, starts, owners, era=None, address_by_instance=None, writer=None
    ):
        self.starts = starts
        self.owners = owners
        self.era = era
        self.address_by_instance = address_by_instance or {}
        self.writer = writer

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
        """The highest fencing token of the map."""
        return max(owner.fence for owner in self.owners)

    def with_owner(self, changes):
        """Returns a copy of the map in which some ranges have new owners.

        Neighbouring ranges of one server instance are merged and get the higher token.

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

    def without_owners(self, ranges):
        """Returns a copy of the map in which some ranges have no owner.

        :param ranges: iterable of (first, last), which may overlap.
        """
        key_map = self
        for first, last in ranges:
            unowned = Owner(server_id=UNOWNED, incarnation=0, fence=self.highest_fence)
            key_map = key_map.with_owner([(first, last, unowned)])
        return key_map

    def is_older_than(self, first, last, owner):
        """Returns whether an announced owner of a range is newer than this map."""
        low = bisect.bisect_right(self.starts, first) - 1
        high = bisect.bisect_right(self.starts, last)
        newest = max(known.fence for known in self.owners[low:high])
        if owner.server_id == UNOWNED:
            # A release is announced with the token of the owner that releases.
            return newest <= owner.fence
        return newest < owner.fence

    def encode(self, era, writer=None):
        """Returns the bytes of the map in the store.

        :param era: era of the store.
        :param writer: name of the entry VM that writes it, or None.
        """
        rows = [
            [first, owner.server_id, owner.incarnation, owner.fence]
            for first, _, owner in self.ranges()
        ]
        addresses = [
            [*instance, *address]
            for instance, address in self.address_by_instance.items()
        ]
        body = {"era": era, "ranges": rows, "addresses": addresses, "writer": writer}
        return json.dumps(body, separators=(",", ":")).encode()


def _merged(starts, owners):
    """Returns a map in which neighbouring ranges of one instance are merged.

    Ranges without an owner stay apart, so that several servers get them.
    """
    merged_starts, merged_owners = [], []
    for start, owner in zip(starts, owners, strict=True):
        if (
            merged_owners
            and owner.server_id != UNOWNED
            and merged_owners[-1].server_instance == owner.server_instance
        ):
            if owner.fence > merged_owners[-1].fence:
                merged_owners[-1] = owner
            continue
        merged_starts.append(start)
        merged_owners.append(owner)
    return KeyMap(starts=merged_starts, owners=merged_owners)


def decode(data):
    """Returns the :class:`KeyMap` encoded in bytes.

    :raises KeyMapError: if the bytes are not a valid key map.
    """
    try:
        body = json.loads(data)
        rows = body["ranges"]
        era = body.get("era")
        writer = body.get("writer")
        address_by_instance = {
            (str(server_id), int(incarnation)): (str(host), int(port))
            for server_id, incarnation, host, port in body.get("addresses", ())
        }
        starts = [int(row[0]) for row in rows]
        owners = []
        for _, server_id, incarnation, fence in rows:
            owner = Owner(
                server_id=str(server_id), incarnation=int(incarnation), fence=int(fence)
            )
            owners.append(owner)
    except (ValueError, TypeError, KeyError, IndexError, AttributeError) as error:
        raise KeyMapError(f"the key map cannot be read: {error}") from error
    if era is not None and not isinstance(era, int):
        raise KeyMapError("the era of the key map is not a number")
    valid = starts and starts[0] == 0 and starts[-1] < KEY_COUNT
    if not valid or any(a >= b for a, b in itertools.pairwise(starts)):
        raise KeyMapError("the ranges of the key map do not cover all keys in order")
    return KeyMap(
        starts=starts,
        owners=owners,
        era=era,
        address_by_instance=address_by_instance,
        writer=writer if isinstance(writer, str) else None,
    )


class KeyMaps:
    """Key maps of all services with keys.

    The controller announces releases and new owners as soon as they are certain.
    Requests follow these announcements until the map in the store contains them.

    :ivar by_service: maps as last read from the store.
    """

    __slots__ = ("_announced_by_service", "_current_by_service", "by_service")

    def __init__(self):
        self.by_service = {}
        self._current_by_service = {}
        self._announced_by_service = {}

    def put(self, service, key_map):
        """Sets the map of a service to one read from the store.

        A map with lower tokens comes from a copy of the store and is ignored.
        """
        known = self.by_service.get(service)
        if known is not None and key_map.highest_fence < known.highest_fence:
            return
        self.by_service[service] = key_map
        self._apply(service)

    def announce(self, service, changes, now):
        """Applies owners that the controller has announced.

        :param changes: [(first, last, :class:`Owner`)] that do not overlap.
        :returns: whether any of them is newer than the map in the store.
        """
        key_map = self.by_service.get(service)
        if key_map is None:
            return False
        newer = [change for change in changes if key_map.is_older_than(*change)]
        announced = self._announced_by_service.get(service, [])
        for first, last, owner in newer:
            announced = [
                (*piece, known, until)
                for low, high, known, until in announced
                for piece in subtract_ranges(low, high, [(first, last)])
            ]
            announced.append((first, last, owner, now + ANNOUNCEMENT_TTL_S))
        self._announced_by_service[service] = announced
        current = self._current_by_service[service]
        self._current_by_service[service] = current.with_owner(newer)
        return bool(newer)

    def expire(self, now):
        """Drops announcements that the store has not confirmed in time."""
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
