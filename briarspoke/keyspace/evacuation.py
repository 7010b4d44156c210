"""Plans in which order keys leave the servers of evacuated zones, and where they go.

A third to two thirds of all keys leave while the service is under full load. Each key
is without an owner for about 0.3 s while it moves, and the remaining servers get up to
three times their load, so neither all keys move at once nor do some servers get much
more than others.
"""

from __future__ import annotations

import bisect
import logging

from briarspoke.keyspace import placement
from briarspoke.keyspace.keymap import KEY_COUNT
from briarspoke.keyspace.placement import Transfer, least_utilised
from briarspoke.keyspace.ranges import subtract_ranges

log = logging.getLogger(__name__)

# Time over which the moves are started. With the age of the news (0.5 s), and 1 s for
# the last moves, all keys are away 3.5 s after the acknowledgement at the latest.
SPREAD_S = 1.5
# Time between two rounds; the controller's duties run at this interval.
ROUND_S = 0.1
# A new controller waits this long for owners to accept a grant of its own. Before, a
# release would not be final, and the keys would have no owner until the grants of the
# controller before have expired, which takes up to 10 s.
ACCEPTANCE_WAIT_S = 1.0
# Moves in progress for each remaining server. A move takes 0.3 to 1 s, so 2 let a
# server get up to 10 ranges within the time above. A few servers get larger ranges, and
# have to take the number of all together, or two thirds of the keys take too long.
MOVES_PER_SERVER = 2
MIN_MOVES = 8
# A range is not divided into parts with less than this fraction of the mean load of a
# server, since each part costs two calls.
MIN_PART_SHARE = 0.1
# Largest part, as a fraction of the load of all keys. A third of them then moves in
# about six parts even if few servers are left.
MAX_PART_SHARE = 0.06
# Keys that nobody has asked for lately count as if this fraction of the load were
# spread over all keys, so that one server does not get all of them.
SPREAD_LOAD_SHARE = 0.2


class LeavingRange:
    """A key range that has to leave its owner.

    :param bucket_rates: ``[(key, requests per second)]`` in the order of the keys.
    """

    __slots__ = ("bucket_rates", "first", "last")

    def __init__(self, *, first, last, bucket_rates):
        self.first = first
        self.last = last
        self.bucket_rates = bucket_rates


class _Weights:
    """Load that counts for keys: their requests, and a part for their number."""

    __slots__ = ("_per_key", "total")

    def __init__(self, total_load):
        self._per_key = SPREAD_LOAD_SHARE * max(1.0, total_load) / KEY_COUNT
        self.total = self.of(KEY_COUNT, total_load)

    def of(self, key_count, rate):
        return key_count * self._per_key + rate

    def keys_for(self, load):
        """Returns how many keys without requests make up a load."""
        return int(load / self._per_key)


def plan(
    leaving,
    candidates,
    total_load,
    *,
    keys_at_first,
    keys_left,
    elapsed_s,
    moving_count,
):
    """Returns the list of :class:`Transfer` to start now.

    The remaining servers are filled one after the other, least utilised first, up to
    the level at which all have the same utilisation.

    :param leaving: list of :class:`LeavingRange` that do not move yet.
    :param candidates: list of :class:`briarspoke.keyspace.placement.Candidate` that may
        own keys. Their loads include keys that are on their way to them and are
        increased by those of the plan.
    :param total_load: requests per second to all keys.
    :param keys_at_first: number of keys that had to leave when the moves began.
    :param keys_left: how many of them do not move yet.
    :param elapsed_s: seconds since the evacuation began.
    :param moving_count: moves that are in progress.
    """
    most_moves = max(MIN_MOVES, MOVES_PER_SERVER * len(candidates))
    free_moves = most_moves - moving_count
    if not candidates or free_moves <= 0:
        return []
    weights = _Weights(total_load)
    total = sum(_weight(each, weights) for each in leaving)
    level = _level(candidates, total)
    due = min(1.0, (elapsed_s + ROUND_S) / SPREAD_S) * keys_at_first
    started = keys_at_first - keys_left
    transfers = []
    for each in leaving:
        for transfer in _divide(each, candidates, level, weights):
            if len(transfers) >= free_moves or started >= due:
                return transfers
            transfers.append(transfer)
            started += transfer.last - transfer.first + 1
    return transfers


def _weight(leaving, weights):
    rate = sum(rate for _, rate in leaving.bucket_rates)
    return weights.of(leaving.last - leaving.first + 1, rate)


def _level(candidates, extra_load):
    """Returns the utilisation of all servers that share some more load fully evenly."""
    ordered = sorted(candidates, key=lambda c: c.utilisation)
    speed = busy = 0.0
    level = 0.0
    for index, candidate in enumerate(ordered):
        speed += candidate.slots / candidate.latency_s
        busy += candidate.load
        level = (busy + extra_load) / speed
        following = ordered[index + 1 :][:1]
        if not following or level <= following[0].utilisation:
            break
    return level


def _divide(leaving, candidates, level, weights):
    """Yields the :class:`Transfer` objects that together move a range.

    The load of a target is increased when the next one is asked for, so that the last
    one, which is not used, counts nowhere.
    """
    first = leaving.first
    rates = list(leaving.bucket_rates)
    while first <= leaving.last:
        target = least_utilised(candidates)
        most = MAX_PART_SHARE * weights.total
        least = min(most, MIN_PART_SHARE * weights.total / len(candidates))
        room = (level - target.utilisation) * target.slots / target.latency_s
        wanted = min(most, max(room, least))
        last, load = _run(first, leaving.last, rates, wanted, weights)
        rest_rate = sum(rate for key, rate in rates if key > last)
        rest = weights.of(leaving.last - last, rest_rate)
        if rest < least:
            last, load = leaving.last, load + rest
        if load > room:
            # One key, or the last few: the server with the lowest utilisation after.
            target = least_utilised(candidates, load)
        yield Transfer(first=first, last=last, to=target.server_instance)
        target.load += load
        first = last + 1
        rates = [(key, rate) for key, rate in rates if key > last]


def _run(first, end, rates, room, weights):
    """Returns (last key, load) of the keys from ``first`` on that fit into some room.

    A key with more requests than fit stays alone.
    """
    load = 0.0
    position = first
    for key, rate in rates:
        gap = weights.keys_for(max(0.0, room - load))
        if key - position > gap:
            break
        weight = weights.of(key - position + 1, rate)
        if load + weight > room:
            if key > first:
                return key - 1, load + weights.of(key - position, 0.0)
            return key, weight
        load += weight
        position = key + 1
    if position > end:
        return end, load
    next_key = next((key for key, _ in rates if key >= position), end + 1)
    wanted = max(weights.keys_for(max(0.0, room - load)), int(position == first))
    last = min(next_key - 1, end, position + wanted - 1)
    return last, load + weights.of(last - position + 1, 0.0)


class ZoneMoves:
    """Starts the moves of one service's keys away from evacuated zones.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param service: name of the service.
    """

    __slots__ = (
        "_began_at",
        "_is_blocked",
        "_keys_at_first_by_zone",
        "_node",
        "_service",
    )

    def __init__(self, *, node, service):
        self._node = node
        self._service = service
        # Time since which keys have to leave evacuated zones, or None if none have to.
        self._began_at = None
        # {zone: keys that had to leave it when this process began to move them}.
        self._keys_at_first_by_zone = {}
        # Whether the log says that there is no other server.
        self._is_blocked = False

    def may_own(self, record):
        """Returns whether a server may get keys and keep those that it has.

        :param record: the :class:`briarspoke.entry.servers.ServerRecord`.
        """
        return not record.draining and not self._node.evacuations.is_evacuated(
            record.zone
        )

    def transfers(self, key_map, records, candidates, moves, now, *, is_final):
        """Returns the list of :class:`Transfer` to start now.

        :param records: ``{server_instance: ServerRecord}`` of possible owners.
        :param candidates: function that returns the servers that may own keys.
        :param moves: the moves in progress.
        :param is_final: returns whether a release by an (owner, first key, last key)
            ends the ownership.
        """
        owned_by_zone = self._owned_by_zone(key_map, records)
        if not owned_by_zone:
            self._log_end(now)
            return []
        usable = candidates()
        self._log_progress(owned_by_zone, usable, now)
        if not usable:
            return []
        estimate = self._node.load_estimate(self._service)
        estimate.decay(now)
        rates = sorted(estimate.rate_by_bucket.items())
        total_load = sum(estimate.rate_by_bucket.values())
        placement.assign_load(key_map, usable, estimate.rate_by_bucket)
        by_instance = {candidate.server_instance: candidate for candidate in usable}
        weights = _Weights(total_load)
        for move in moves:
            target = by_instance.get(move.next_owner)
            if target is not None:
                target.load += _weight(_leaving(move.first, move.last, rates), weights)
        moving = [(move.first, move.last) for move in moves]
        transfers = []
        evacuations = self._node.evacuations
        for zone in sorted(owned_by_zone, key=evacuations.began_at):
            keys_at_first = self._keys_at_first_by_zone.setdefault(
                zone, sum(last - first + 1 for first, last in owned_by_zone[zone])
            )
            pieces = [
                piece
                for first, last in owned_by_zone[zone]
                for piece in subtract_ranges(first, last, moving)
            ]
            leaving = [
                _leaving(first, last, rates)
                for first, last in pieces
                if now - self._began_at >= ACCEPTANCE_WAIT_S
                or is_final(key_map.owner(first), first, last)
            ]
            transfers += plan(
                leaving,
                usable,
                total_load,
                keys_at_first=keys_at_first,
                keys_left=sum(last - first + 1 for first, last in pieces),
                elapsed_s=now - evacuations.began_at(zone),
                moving_count=len(moves) + len(transfers),
            )
        return transfers

    def _owned_by_zone(self, key_map, records):
        """Returns ``{zone: [(first, last)]}`` of keys that have to leave their zone."""
        owned_by_zone = {}
        for first, last, owner in key_map.ranges():
            record = records.get(owner.server_instance)
            if record is None or record.draining or self.may_own(record):
                continue
            owned_by_zone.setdefault(record.zone, []).append((first, last))
        return owned_by_zone

    def _log_progress(self, owned_by_zone, usable, now):
        if self._began_at is None:
            self._began_at = now
            ranges = [each for owned in owned_by_zone.values() for each in owned]
            log.info(
                "keys: evacuation begins service=%s zones=%s keys=%d ranges=%d"
                " servers_left=%d",
                self._service,
                ",".join(sorted(owned_by_zone)),
                sum(last - first + 1 for first, last in ranges),
                len(ranges),
                len(usable),
            )
        if not usable and not self._is_blocked:
            log.warning(
                "keys: evacuation waits for a server service=%s zones=%s",
                self._service,
                ",".join(sorted(owned_by_zone)),
            )
        self._is_blocked = not usable

    def _log_end(self, now):
        self._keys_at_first_by_zone = {}
        if self._began_at is not None:
            log.info(
                "keys: evacuation ends service=%s after_ms=%d",
                self._service,
                round((now - self._began_at) * 1e3),
            )
            self._began_at = None
            self._is_blocked = False


def _leaving(first, last, rates):
    low = bisect.bisect_left(rates, (first // placement.KEYS_PER_BUCKET,))
    high = bisect.bisect_left(rates, (last // placement.KEYS_PER_BUCKET + 1,))
    return LeavingRange(first=first, last=last, bucket_rates=rates[low:high])
