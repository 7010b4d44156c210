"""Plans which server owns which key range, from the load of the servers."""

from __future__ import annotations

import math

from briarspoke.keyspace.keymap import KEY_COUNT, KeyMap, Owner
from briarspoke.keyspace.load import KEYS_PER_BUCKET
from briarspoke.keyspace.waiting import waiting_requests

# Utilisation of a server, in requests per slot, above which keys move away from it.
MAX_UTILISATION = 0.6
# The same while other moves are in progress: keys then move only away from servers
# that are too overloaded to wait until those moves end.
URGENT_UTILISATION = 1.0
# Keys move only from a server whose utilisation is this many times the mean.
MIN_IMBALANCE = 1.4
# Ranges whose move is planned in one round.
MAX_TRANSFERS = 20
# A bucket with this share of its server's load cannot be balanced by moving others.
HOT_LOAD_SHARE = 0.4
# Such a bucket moves only if the utilisation of the target, after the move, would be
# at most this fraction of the source's.
MAX_UTILISATION_RATIO = 0.7
# Utilisation from which one bucket leaves no capacity for others at its server.
FULL_UTILISATION = 1.0
# Requests per second to the neighbours of such a bucket that justify a move.
MIN_NEIGHBOUR_RATE = 0.3
# Fraction of the wanted load from which a narrower run of keys is better than more load
# and the largest missing fraction up to there that still justifies a move.
ENOUGH_LOAD = 0.8
MAX_SHORTFALL = 0.7
# Share of the mean load that a server without keys is given first.
INITIAL_LOAD_SHARE = 0.5
# Up to this number of servers, keys move only away from busy ones: these deployments
# are served well so, and would get many more moves for a few ms of waiting.
MAX_FEW_SERVERS = 40
# An owner has too much if its load is this many times its part by speed, and by more
# than the errors of the estimates. With these it is relieved from about 1.3 on, the
# bound that is asked for.
EVEN_RATIO = 1.2
# Standard errors by which a load must exceed the ratio.
NOISE_FACTOR = 1.0
# The same for rates over a short time, where fewer errors are wanted: the slower
# estimate finds the rest.
REBALANCE_NOISE_FACTOR = 2.0
# Standard error of an estimated speed, as a fraction. Service times vary by about a
# third, and an estimate counts some 20 answers.
SPEED_ERROR = 0.07
# Requests after which the rate of one key is known well enough by itself.
HOT_COUNT = 10.0
# What a move costs in seconds of waiting for each request/s that it moves: the keys
# have no owner for half a second, and requests wait half of it in the mean.
MOVE_COST_S2 = 0.5 * 0.25
# Seconds over which a move must save more waiting than it costs. Keys move again when
# the load changes, which it does several times in a few minutes.
MOVE_HORIZON_S = 30.0


class Candidate:
    """A server that may own keys.

    :param server_instance: the pair (server id, incarnation).
    :param latency_s: mean service time, including waits in the server.
    :param limit_per_s: requests per second that the server takes, or None without a
        limit. Such a server counts as slower, so that keys move away, and gets no more.
    :param keeps_keys: whether the limit ends too soon for keys to move away.
    :ivar load: requests per second, see :func:`assign_load`.
    """

    __slots__ = ("is_limited", "latency_s", "load", "server_instance", "slots")

    def __init__(
        self, *, server_instance, slots, latency_s, limit_per_s=None, keeps_keys=False
    ):
        self.server_instance = server_instance
        self.slots = slots
        self.is_limited = limit_per_s is not None
        if self.is_limited and not keeps_keys:
            latency_s = max(latency_s, slots / limit_per_s)
        self.latency_s = latency_s
        self.load = 0.0

    @property
    def speed(self):
        """Requests per second that keep all slots busy."""
        return self.slots / self.latency_s

    def waiting_requests(self, more_load=0.0):
        """Mean number of waiting requests after adding some load."""
        return waiting_requests(self.slots, (self.load + more_load) * self.latency_s)

    @property
    def utilisation(self):
        """Mean number of requests in the server per slot."""
        return self.load * self.latency_s / self.slots


class Transfer:
    """A planned move of a key range.

    :param to: server instance of the new owner.
    """

    __slots__ = ("first", "last", "to")

    def __init__(self, *, first, last, to):
        self.first = first
        self.last = last
        self.to = to


def initial_map(candidates, fence):
    """Returns a :class:`KeyMap` that divides the keys evenly among candidates."""
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
    """Sets the load of each candidate to the request rate of its ranges.

    :returns: ``{server_instance: [(first, last, [(bucket, rate)])]}`` of all owners.
    """
    by_instance = {candidate.server_instance: candidate for candidate in candidates}
    for candidate in candidates:
        candidate.load = 0.0
    ranges_by_instance = {}
    buckets = sorted(rate_by_bucket.items())
    position = 0
    for first, last, owner in key_map.ranges():
        bucket_rates = []
        while position < len(buckets):
            bucket, rate = buckets[position]
            if bucket * KEYS_PER_BUCKET > last:
                break
            bucket_rates.append((bucket, rate))
            position += 1
        ranges_by_instance.setdefault(owner.server_instance, []).append(
            (first, last, bucket_rates)
        )
        candidate = by_instance.get(owner.server_instance)
        if candidate is not None:
            candidate.load += sum(rate for _, rate in bucket_rates)
    return ranges_by_instance


def least_utilised(candidates, extra_load=0.0):
    """Returns the candidate with the lowest utilisation after adding some load.

    Servers with a rate limit get keys only if there is no other.
    """
    return min(
        [c for c in candidates if not c.is_limited] or candidates,
        key=lambda c: (
            (c.load + extra_load) * c.latency_s / c.slots,
            c.server_instance,
        ),
    )


def rebalance(
    key_map, candidates, rate_by_bucket, moving=(), *, urgent=False, averaging_s=None
):
    """Returns the :class:`Transfer` list that evens out the utilisation of servers.

    The cost of a move grows with its number of keys, so the narrowest range with the
    wanted load moves.

    :param moving: (first, last, server instance of the next owner or None) of ranges
        whose move is in progress.
    :param urgent: whether only servers far above their capacity are relieved.
    :param averaging_s: seconds over which the rates were averaged, or None if they have
        no error. With many servers, one below its capacity is relieved only if its load
        exceeds what the error explains; :func:`even_out` does the rest.
    """
    ranges_by_instance = assign_load(key_map, candidates, rate_by_bucket)
    by_instance = {candidate.server_instance: candidate for candidate in candidates}
    for first, last, to in moving:
        _count_at_next_owner(ranges_by_instance, by_instance, first, last, to)
    if len(candidates) < 2:
        return []
    threshold = URGENT_UTILISATION if urgent else MAX_UTILISATION
    if len(candidates) <= MAX_FEW_SERVERS:
        averaging_s = None
    transfers = []
    for candidate in candidates:
        if (
            candidate.server_instance not in ranges_by_instance
            and not candidate.is_limited
            and len(transfers) < MAX_TRANSFERS
        ):
            transfer = _initial_transfer(candidate, candidates, ranges_by_instance)
            if transfer is not None:
                transfers.append(transfer)
    while len(transfers) < MAX_TRANSFERS:
        transfer = _relieve(candidates, ranges_by_instance, threshold, averaging_s)
        if transfer is None:
            break
        transfers.append(transfer)
    return transfers


def _relieve(candidates, ranges_by_instance, threshold, averaging_s=None):
    # Capped, since one hot key would raise the mean and hide other overloaded servers.
    mean = sum(min(FULL_UTILISATION, c.utilisation) for c in candidates) / len(
        candidates
    )
    for source in sorted(candidates, key=lambda c: c.utilisation, reverse=True):
        if source.utilisation < threshold or source.utilisation < MIN_IMBALANCE * mean:
            return None
        if averaging_s is not None and source.utilisation < FULL_UTILISATION:
            error = math.sqrt(source.load / averaging_s) / source.speed
            if source.utilisation - REBALANCE_NOISE_FACTOR * error < (
                MIN_IMBALANCE * mean
            ):
                continue
        transfer = _move_hottest(source, candidates, ranges_by_instance)
        if transfer is not None:
            return transfer
        target = least_utilised(candidates)
        if target is source or target.is_limited:
            continue
        # Moving this much load makes the utilisation of both servers equal.
        wanted = (source.utilisation - target.utilisation) / (
            source.latency_s / source.slots + target.latency_s / target.slots
        )
        excess = (source.utilisation - mean) * source.slots / source.latency_s
        # More would only overload the target, and the keys would move again.
        room = (max(mean, MAX_UTILISATION) - target.utilisation) * (
            target.slots / target.latency_s
        )
        transfer = None
        if room > 0:
            transfer = _transfer_load(
                source, target, min(wanted, excess, room), ranges_by_instance
            )
        if transfer is not None:
            return transfer
        transfer = _move_neighbours_of_hottest(source, target, ranges_by_instance)
        if transfer is not None:
            return transfer
    return None


def even_out(key_map, candidates, rate_by_bucket, moving=(), *, averaging_s):
    """Returns the :class:`Transfer` list that gives each server its part by speed.

    :func:`rebalance` relieves servers that are short of capacity. Here requests wait
    less, at any utilisation, where this saves more waiting than the moves cost.

    :param rate_by_bucket: rates over a long time, since the errors of short ones are as
        large as the imbalance that is to be found.
    :param moving: as for :func:`rebalance`.
    :param averaging_s: seconds over which the rates were averaged.
    """
    if len(candidates) <= MAX_FEW_SERVERS:
        return []
    ranges_by_instance = assign_load(key_map, candidates, rate_by_bucket)
    by_instance = {candidate.server_instance: candidate for candidate in candidates}
    for first, last, to in moving:
        _count_at_next_owner(ranges_by_instance, by_instance, first, last, to)
    errors = _reduce_noise(candidates, ranges_by_instance, averaging_s)
    transfers = []
    while len(transfers) < MAX_TRANSFERS:
        transfer = _even_out_one(candidates, ranges_by_instance, errors)
        if transfer is None:
            break
        transfers.append(transfer)
    return transfers


def _reduce_noise(candidates, ranges_by_instance, averaging_s):
    """Moves each estimated load towards the part of all load that its keys would have.

    How far depends on how much more the loads differ than by the errors of counting: if
    requests are spread evenly over the keys, the number of keys tells more than the
    requests of a few seconds. Hot keys are left as they are.

    :returns: ``{server_instance: standard error of the load}``.
    """
    errors = {
        c.server_instance: math.sqrt(max(c.load, 1 / averaging_s) / averaging_s)
        for c in candidates
    }
    widths, even_loads = [], []
    for candidate in candidates:
        ranges = ranges_by_instance.get(candidate.server_instance, ())
        widths.append(sum(last - first + 1 for first, last, _ in ranges))
        even_loads.append(
            sum(
                rate
                for _, _, rates in ranges
                for _, rate in rates
                if rate * averaging_s < HOT_COUNT
            )
        )
    total_width, total_load = sum(widths), sum(even_loads)
    if total_width == 0 or total_load == 0:
        return errors
    expected = [total_load * width / total_width for width in widths]
    excess = sum(
        (load - mean) ** 2 - mean / averaging_s
        for load, mean in zip(even_loads, expected, strict=True)
    )
    variance = max(0.0, excess / sum(mean * mean for mean in expected))
    for candidate, load, mean in zip(candidates, even_loads, expected, strict=True):
        if load == 0 or mean == 0:
            continue
        trust = variance * mean / (variance * mean + 1 / averaging_s)
        errors[candidate.server_instance] *= math.sqrt(trust)
        factor = (mean + trust * (load - mean)) / load
        candidate.load += (factor - 1) * load
        ranges_by_instance[candidate.server_instance] = [
            (
                first,
                last,
                [
                    (b, rate * factor if rate * averaging_s < HOT_COUNT else rate)
                    for b, rate in rates
                ],
            )
            for first, last, rates in ranges_by_instance[candidate.server_instance]
        ]
    return errors


def _even_out_one(candidates, ranges_by_instance, errors):
    part_per_speed = _part_per_speed(candidates, ranges_by_instance)
    sources = sorted(candidates, key=lambda c: c.load / c.speed, reverse=True)
    # One move to the server with the most room replaces several to others.
    targets = sorted(
        (c for c in candidates if not c.is_limited),
        key=lambda c: c.load - part_per_speed * c.speed,
    )
    for source in sources:
        part = part_per_speed * source.speed
        load_error = errors[source.server_instance]
        error = math.hypot(load_error, SPEED_ERROR * source.load)
        if source.load <= part:
            return None
        if source.load <= EVEN_RATIO * part + NOISE_FACTOR * error:
            continue
        for target in targets[:MAX_TRANSFERS]:
            # The target gets at most its part, so that no key moves back.
            room = part_per_speed * target.speed - target.load
            wanted = min(source.load - part, room)
            if target is source or wanted <= 0:
                break
            if not _saves_waiting(source, target, wanted, load_error):
                continue
            transfer = _transfer_load(source, target, wanted, ranges_by_instance)
            if transfer is not None:
                return transfer
    return None


def _part_per_speed(candidates, ranges_by_instance):
    """Returns the load that each server should have, divided by its speed.

    Servers with a key that alone is more than their part are left out: the other keys
    cannot make up for it.
    """
    load = sum(c.load for c in candidates)
    speed = sum(c.speed for c in candidates)
    part_per_speed = load / speed
    for candidate in candidates:
        hottest = max(
            (
                rate
                for _, _, rates in ranges_by_instance.get(candidate.server_instance, ())
                for _, rate in rates
            ),
            default=0.0,
        )
        if hottest > part_per_speed * candidate.speed and speed > candidate.speed:
            load -= hottest
            speed -= candidate.speed
    return load / speed


def _saves_waiting(source, target, load, error):
    """Returns whether a move of some load saves more waiting than it costs.

    :param error: standard error of the source's load. It is subtracted, since the loads
        that look highest are mostly overestimated.
    """
    saved = (
        source.waiting_requests(-error)
        + target.waiting_requests()
        - source.waiting_requests(-error - load)
        - target.waiting_requests(load)
    )
    return saved * MOVE_HORIZON_S > MOVE_COST_S2 * load


def _move_neighbours_of_hottest(source, target, ranges_by_instance):
    """Plans to move other keys away from a server that one key fully utilises."""
    rate, bucket = max(
        (
            (rate, bucket)
            for _, _, bucket_rates in ranges_by_instance.get(source.server_instance, ())
            for bucket, rate in bucket_rates
        ),
        default=(0.0, 0),
    )
    if rate * source.latency_s / source.slots < FULL_UTILISATION:
        return None
    key = bucket * KEYS_PER_BUCKET
    for owned_range in ranges_by_instance[source.server_instance]:
        first, last, bucket_rates = owned_range
        pieces = (
            (first, min(last, key - 1)),
            (max(first, key + KEYS_PER_BUCKET), last),
        )
        for low, high in pieces:
            load = sum(r for b, r in bucket_rates if low <= b * KEYS_PER_BUCKET <= high)
            if low <= high and load > MIN_NEIGHBOUR_RATE:
                return _plan_transfer(
                    source, target, owned_range, low, high, load, ranges_by_instance
                )
    return None


def _move_hottest(source, candidates, ranges_by_instance):
    """Plans to move a bucket that has much of the load of its server.

    The target is the server whose utilisation would be lowest after the move.
    """
    rate, bucket, owned_range = max(
        (
            (rate, bucket, owned_range)
            for owned_range in ranges_by_instance.get(source.server_instance, ())
            for bucket, rate in owned_range[2]
        ),
        key=lambda hot: hot[:2],
        default=(0.0, 0, None),
    )
    if owned_range is None or rate < HOT_LOAD_SHARE * source.load:
        return None
    target = least_utilised([c for c in candidates if c is not source], rate)
    if target.is_limited:
        return None
    utilisation_after = (target.load + rate) * target.latency_s / target.slots
    if utilisation_after > MAX_UTILISATION_RATIO * source.utilisation:
        return None
    first = bucket * KEYS_PER_BUCKET
    last = first + KEYS_PER_BUCKET - 1
    return _plan_transfer(
        source, target, owned_range, first, last, rate, ranges_by_instance
    )


def _initial_transfer(candidate, candidates, ranges_by_instance):
    most_loaded = max(candidates, key=lambda c: c.load)
    mean = sum(c.load for c in candidates) / len(candidates)
    if mean <= 0 or most_loaded is candidate:
        return _half_of_widest(candidate, ranges_by_instance)
    return _transfer_load(
        most_loaded, candidate, INITIAL_LOAD_SHARE * mean, ranges_by_instance
    )


def _half_of_widest(candidate, ranges_by_instance):
    """Plans to move half of the widest range, for use while no load is known."""
    widest = max(
        (
            (last - first, first, last, server_instance, bucket_rates)
            for server_instance, ranges in ranges_by_instance.items()
            for first, last, bucket_rates in ranges
        ),
        key=lambda widest: widest[:3],
        default=None,
    )
    if widest is None or widest[0] < 1:
        return None
    _, first, last, server_instance, bucket_rates = widest
    middle = (first + last) // 2 + 1
    _remove_range(
        ranges_by_instance, server_instance, (first, last, bucket_rates), middle, last
    )
    return Transfer(first=middle, last=last, to=candidate.server_instance)


def _transfer_load(source, target, wanted, ranges_by_instance):
    """Plans to move the narrowest run of buckets that has about the wanted load."""
    best = None
    for owned_range in ranges_by_instance.get(source.server_instance, ()):
        run = _narrowest_run(owned_range[2], wanted)
        if run is not None and (best is None or run[:2] < best[0][:2]):
            best = (run, owned_range)
    if best is None:
        return None
    (_, _, left, right), owned_range = best
    first, last, bucket_rates = owned_range
    run = bucket_rates[left : right + 1]
    moved_load = sum(rate for _, rate in run)
    moved_first = max(first, run[0][0] * KEYS_PER_BUCKET)
    moved_last = min(last, run[-1][0] * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1)
    return _plan_transfer(
        source,
        target,
        owned_range,
        moved_first,
        moved_last,
        moved_load,
        ranges_by_instance,
    )


def _plan_transfer(source, target, owned_range, first, last, load, ranges_by_instance):
    # The range is not added to the target's, so that no key moves twice in a plan.
    _remove_range(ranges_by_instance, source.server_instance, owned_range, first, last)
    source.load -= load
    target.load += load
    return Transfer(first=first, last=last, to=target.server_instance)


def _narrowest_run(buckets, wanted):
    """Returns (shortfall, width, left, right) of the best run of buckets, or None.

    A run has at most 1.2 times the wanted load. The shortfall is the missing part up to
    ``ENOUGH_LOAD`` of it; runs are compared by shortfall first, then by width.
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
        shortfall = max(0.0, round(ENOUGH_LOAD - load / wanted, 1))
        run = (shortfall, bucket - buckets[left][0], left, right)
        if best is None or run < best:
            best = run
    # A run with a small part of the wanted load does not justify the disruption.
    return best if best is not None and best[0] < MAX_SHORTFALL else None


def _count_at_next_owner(
    ranges_by_instance, by_instance, moving_first, moving_last, to
):
    """Excludes a moving range from planning and adds its load to the next owner."""
    for server_instance, ranges in ranges_by_instance.items():
        for owned_range in list(ranges):
            first = max(owned_range[0], moving_first)
            last = min(owned_range[1], moving_last)
            if first > last:
                continue
            load = sum(
                rate
                for bucket, rate in owned_range[2]
                if first <= bucket * KEYS_PER_BUCKET <= last
            )
            _remove_range(ranges_by_instance, server_instance, owned_range, first, last)
            if server_instance in by_instance:
                by_instance[server_instance].load -= load
            if to in by_instance:
                by_instance[to].load += load


def _remove_range(
    ranges_by_instance, server_instance, owned_range, moved_first, moved_last
):
    """Removes a part of an owned range from the ranges of a server."""
    first, last, bucket_rates = owned_range
    ranges = ranges_by_instance[server_instance]
    ranges.remove(owned_range)
    if first < moved_first:
        before = [b for b in bucket_rates if b[0] * KEYS_PER_BUCKET < moved_first]
        ranges.append((first, moved_first - 1, before))
    if moved_last < last:
        after = [b for b in bucket_rates if b[0] * KEYS_PER_BUCKET > moved_last]
        ranges.append((moved_last + 1, last, after))
