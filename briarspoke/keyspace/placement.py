"""Plans which server owns which range."""

from __future__ import annotations

from briarspoke.keyspace.keymap import KEY_COUNT, KeyMap, Owner
from briarspoke.keyspace.load import KEYS_PER_BUCKET

# Requests in a server per slot above which keys move away from it.
BUSY = 0.6
# The same while other keys are on the move: only what cannot wait for them.
URGENT = 1.2
# Keys move only from a server that is this much busier than the mean.
IMBALANCE = 1.4
# Ranges that move in one round.
MAX_MOVES = 10
# A bucket with this part of a server's load is too much to be balanced by others.
HOT_PART = 0.4
# Such a bucket moves if its next server would be this much less busy.
WORTH_MOVING = 0.7
# Requests per slot from which one bucket leaves no room for others at its server.
FULL = 1.0
# Requests per second of keys beside such a bucket that are worth a move.
LEAST_LOAD_BESIDE = 0.3
# Part of a mean server's load that a server without keys is given first.
FIRST_SHARE = 0.5


class Candidate:
    """A server that may own keys.

    :param server_instance: identifier and incarnation.
    :param latency_s: mean service time, waits in the server included.
    """

    __slots__ = ("latency_s", "load", "server_instance", "slots")

    def __init__(self, *, server_instance, slots, latency_s):
        self.server_instance = server_instance
        self.slots = slots
        self.latency_s = latency_s
        self.load = 0.0

    @property
    def busy(self):
        """Requests in the server per slot."""
        return self.load * self.latency_s / self.slots


class Transfer:
    """A range that is to move to another server."""

    __slots__ = ("first", "last", "to")

    def __init__(self, *, first, last, to):
        self.first = first
        self.last = last
        self.to = to


def initial(candidates, fence):
    """Returns a :class:`KeyMap` that divides the keys evenly."""
    count = len(candidates)
    starts = [KEY_COUNT * index // count for index in range(count)]
    owners = [
        Owner(
            server_id=c.server_instance[0],
            incarnation=c.server_instance[1],
            fence=fence,
        )
        for c in candidates
    ]
    return KeyMap(starts=starts, owners=owners)


def assign_load(key_map, candidates, rate_by_bucket):
    """Adds up the load of each candidate.

    :returns: ``{server_instance: [(first, last, [(bucket, rate)])]}`` of their ranges.
    """
    by_life = {candidate.server_instance: candidate for candidate in candidates}
    for candidate in candidates:
        candidate.load = 0.0
    ranges_by_life = {}
    buckets = sorted(rate_by_bucket.items())
    position = 0
    for first, last, owner in key_map.ranges():
        inside = []
        while position < len(buckets):
            bucket, rate = buckets[position]
            if bucket * KEYS_PER_BUCKET > last:
                break
            inside.append((bucket, rate))
            position += 1
        ranges_by_life.setdefault(owner.server_instance, []).append(
            (first, last, inside)
        )
        candidate = by_life.get(owner.server_instance)
        if candidate is not None:
            candidate.load += sum(rate for _, rate in inside)
    return ranges_by_life


def least_busy(candidates, extra_load=0.0):
    """Returns the candidate that would be least busy with some more load."""
    return min(
        candidates,
        key=lambda c: (
            (c.load + extra_load) * c.latency_s / c.slots,
            c.server_instance,
        ),
    )


def rebalance(key_map, candidates, rate_by_bucket, moving=(), *, urgent=False):
    """Returns the :class:`Transfer` list that brings servers closer to each other.

    Moved keys are paid for by their number, so the narrowest range with the
    wanted load moves.

    :param moving: (first, last, life of the next owner or None) of ranges that are
        on the move already.
    :param urgent: whether only servers far over their room are relieved.
    """
    ranges_by_life = assign_load(key_map, candidates, rate_by_bucket)
    by_life = {candidate.server_instance: candidate for candidate in candidates}
    for first, last, to in moving:
        _leave_out(ranges_by_life, by_life, first, last, to)
    if len(candidates) < 2:
        return []
    threshold = URGENT if urgent else BUSY
    transfers = []
    for candidate in candidates:
        if (
            candidate.server_instance not in ranges_by_life
            and len(transfers) < MAX_MOVES
        ):
            transfer = _first_range(candidate, candidates, ranges_by_life)
            if transfer is not None:
                transfers.append(transfer)
    while len(transfers) < MAX_MOVES:
        transfer = _relieve(candidates, ranges_by_life, threshold)
        if transfer is None:
            break
        transfers.append(transfer)
    return transfers


def _relieve(candidates, ranges_by_life, threshold):
    # One hot key must not hide that others are too busy as well.
    mean = sum(min(FULL, c.busy) for c in candidates) / len(candidates)
    for busy in sorted(candidates, key=lambda c: c.busy, reverse=True):
        if busy.busy < threshold or busy.busy < IMBALANCE * mean:
            return None
        transfer = _move_hottest(busy, candidates, ranges_by_life)
        if transfer is not None:
            return transfer
        target = least_busy(candidates)
        # Moving this much load makes both equally busy.
        wanted = (busy.busy - target.busy) / (
            busy.latency_s / busy.slots + target.latency_s / target.slots
        )
        excess = (busy.busy - mean) * busy.slots / busy.latency_s
        transfer = _transfer(busy, target, min(wanted, excess), ranges_by_life)
        if transfer is not None:
            return transfer
        transfer = _clear_beside_hottest(busy, target, ranges_by_life)
        if transfer is not None:
            return transfer
    return None


def _clear_beside_hottest(source, target, ranges_by_life):
    """Moves keys away that share a server with a key that fills it alone."""
    rate, bucket = max(
        (
            (rate, bucket)
            for _, _, inside in ranges_by_life.get(source.server_instance, ())
            for bucket, rate in inside
        ),
        default=(0.0, 0),
    )
    if rate * source.latency_s / source.slots < FULL:
        return None
    key = bucket * KEYS_PER_BUCKET
    for found in ranges_by_life[source.server_instance]:
        first, last, inside = found
        pieces = (
            (first, min(last, key - 1)),
            (max(first, key + KEYS_PER_BUCKET), last),
        )
        for low, high in pieces:
            load = sum(r for b, r in inside if low <= b * KEYS_PER_BUCKET <= high)
            if low <= high and load > LEAST_LOAD_BESIDE:
                return _hand(source, target, found, low, high, load, ranges_by_life)
    return None


def _move_hottest(source, candidates, ranges_by_life):
    """Moves a bucket that is most of a server's load to where it weighs least."""
    rate, bucket, found = max(
        (
            (rate, bucket, found)
            for found in ranges_by_life.get(source.server_instance, ())
            for bucket, rate in found[2]
        ),
        key=lambda hot: hot[:2],
        default=(0.0, 0, None),
    )
    if found is None or rate < HOT_PART * source.load:
        return None
    target = least_busy([c for c in candidates if c is not source], rate)
    after = (target.load + rate) * target.latency_s / target.slots
    if after > WORTH_MOVING * source.busy:
        return None
    first = bucket * KEYS_PER_BUCKET
    last = first + KEYS_PER_BUCKET - 1
    return _hand(source, target, found, first, last, rate, ranges_by_life)


def _first_range(candidate, candidates, ranges_by_life):
    busiest = max(candidates, key=lambda c: c.load)
    mean = sum(c.load for c in candidates) / len(candidates)
    if mean <= 0 or busiest is candidate:
        return _half_of_widest(candidate, ranges_by_life)
    return _transfer(busiest, candidate, FIRST_SHARE * mean, ranges_by_life)


def _half_of_widest(candidate, ranges_by_life):
    """Without load to go by, takes half of the widest range."""
    widest = max(
        (
            (last - first, first, last, server_instance, inside)
            for server_instance, ranges in ranges_by_life.items()
            for first, last, inside in ranges
        ),
        key=lambda found: found[:3],
        default=None,
    )
    if widest is None or widest[0] < 1:
        return None
    _, first, last, server_instance, inside = widest
    middle = (first + last) // 2 + 1
    _cut(ranges_by_life, server_instance, (first, last, inside), middle, last)
    return Transfer(first=middle, last=last, to=candidate.server_instance)


def _transfer(source, target, wanted, ranges_by_life):
    """Moves the narrowest run of buckets that has about the wanted load."""
    best = None
    for found in ranges_by_life.get(source.server_instance, ()):
        run = _narrowest_run(found[2], wanted)
        if run is not None and (best is None or run[:2] < best[0][:2]):
            best = (run, found)
    if best is None:
        return None
    (_, _, left, right), found = best
    first, last, inside = found
    run = inside[left : right + 1]
    moved = sum(rate for _, rate in run)
    new_first = max(first, run[0][0] * KEYS_PER_BUCKET)
    new_last = min(last, run[-1][0] * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1)
    return _hand(source, target, found, new_first, new_last, moved, ranges_by_life)


def _hand(source, target, found, first, last, load, ranges_by_life):
    # The target does not get the range in this plan, so that no key moves twice.
    _cut(ranges_by_life, source.server_instance, found, first, last)
    source.load -= load
    target.load += load
    return Transfer(first=first, last=last, to=target.server_instance)


def _narrowest_run(buckets, wanted):
    """Returns (miss, width, left, right) of the best run of buckets, or None.

    A run may have at most 1.2 times the wanted load; less than half of it is a
    miss, which counts before the width.
    """
    best = None
    left = 0
    load = 0.0
    for right, (bucket, rate) in enumerate(buckets):
        load += rate
        while left <= right and load > 1.2 * wanted:
            load -= buckets[left][1]
            left += 1
        if left > right or load <= 0:
            continue
        miss = max(0.0, round(0.5 - load / wanted, 1))
        found = (miss, bucket - buckets[left][0], left, right)
        if best is None or found < best:
            best = found
    # A run that changes next to nothing is not worth an interruption.
    return best if best is not None and best[0] < 0.4 else None


def _leave_out(ranges_by_life, by_life, moving_first, moving_last, to):
    """Counts a range on the move as its next owner's."""
    for server_instance, ranges in ranges_by_life.items():
        for found in list(ranges):
            first = max(found[0], moving_first)
            last = min(found[1], moving_last)
            if first > last:
                continue
            load = sum(
                rate
                for bucket, rate in found[2]
                if first <= bucket * KEYS_PER_BUCKET <= last
            )
            _cut(ranges_by_life, server_instance, found, first, last)
            if server_instance in by_life:
                by_life[server_instance].load -= load
            if to in by_life:
                by_life[to].load += load


def _cut(ranges_by_life, server_instance, found, new_first, new_last):
    """Takes a range out of what a server owns."""
    first, last, inside = found
    ranges = ranges_by_life[server_instance]
    ranges.remove(found)
    if first < new_first:
        before = [b for b in inside if b[0] * KEYS_PER_BUCKET < new_first]
        ranges.append((first, new_first - 1, before))
    if new_last < last:
        after = [b for b in inside if b[0] * KEYS_PER_BUCKET > new_last]
        ranges.append((new_last + 1, last, after))
