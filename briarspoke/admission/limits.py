"""Operators' limits: rate and concurrency of services, ranks and callers."""

from __future__ import annotations

import collections

from briarspoke import codes
from briarspoke.errors import Refusal, invariant
from briarspoke.hashing import partition_of

SERVICE_CONCURRENCY_LIMIT = codes.register(
    1007,
    "service-concurrency-limit",
    codes.Kind.OPERATOR_RULE,
    429,
    "The service has as many requests in flight as the operator allows.",
)
RANK_CONCURRENCY_LIMIT = codes.register(
    1008,
    "rank-concurrency-limit",
    codes.Kind.OPERATOR_RULE,
    429,
    "The rank has as many requests in flight as the operator allows.",
)
PERMIT_STATE = codes.register(
    7211,
    "permit-state",
    codes.Kind.INTERNAL,
    500,
    "A permit was released twice.",
)

# Callers with a bucket of their own per limit, about 2 MB; the others share.
MAX_CALLERS = 10_000
SHARED_BUCKETS = 256
# Buckets looked at for one that can be evicted, so that admission stays O(1).
EVICTION_PROBES = 4

_RATE_CODES = {
    "service": codes.SERVICE_RATE_LIMIT,
    "rank": codes.RANK_RATE_LIMIT,
    "caller": codes.CALLER_RATE_LIMIT,
}
_CONCURRENCY_CODES = {
    "service": SERVICE_CONCURRENCY_LIMIT,
    "rank": RANK_CONCURRENCY_LIMIT,
    "caller": codes.CALLER_CONCURRENCY_LIMIT,
}


class Bucket:
    """Tokens and requests in flight of one service, rank or caller."""

    __slots__ = ("at", "in_flight", "tokens")

    def __init__(self, *, tokens, now):
        self.tokens = tokens
        self.at = now
        self.in_flight = 0

    def refill(self, rate, burst, now):
        """Adds the tokens earned since the last call."""
        elapsed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        self.tokens = min(burst, self.tokens + elapsed * (rate or 0.0))


class Permit:
    """What an admitted request holds until it has ended."""

    __slots__ = ("buckets", "released")

    def __init__(self, buckets):
        self.buckets = buckets
        self.released = False


class _LimitState:
    """One :class:`Limit` with its buckets."""

    __slots__ = ("_by_key", "_shared", "limit", "max_callers")

    def __init__(self, limit, max_callers):
        self.limit = limit
        self.max_callers = max_callers
        self._by_key = collections.OrderedDict()
        self._shared = {}

    def __len__(self):
        return len(self._by_key) + len(self._shared)

    def matches(self, classified):
        return self.limit.rank is None or self.limit.rank == classified.rank

    def bucket(self, classified, rate, burst, now):
        """Returns the refilled bucket that counts a request."""
        key = None
        if self.limit.scope == "rank":
            key = classified.rank
        elif self.limit.scope == "caller":
            key = classified.caller
        bucket = self._by_key.get(key)
        if bucket is None:
            bucket = self._new(key, rate, burst, now)
        else:
            self._by_key.move_to_end(key)
        bucket.refill(rate, burst, now)
        return bucket

    def _new(self, key, rate, burst, now):
        """Returns a bucket of the key's own, or one shared with others.

        A caller may have used up tokens of a shared bucket before. Its own
        bucket starts with what is left there, so it never gets a second burst.
        """
        stripe = None
        shared = None
        if self.limit.scope == "caller":
            stripe = partition_of(str(key), SHARED_BUCKETS)
            shared = self._shared.get(stripe)
        full = len(self._by_key) >= self.max_callers and not self._evict(
            rate, burst, now
        )
        if shared is not None:
            shared.refill(rate, burst, now)
            if full or shared.in_flight:
                return shared
        if full:
            bucket = self._shared[stripe] = Bucket(tokens=burst, now=now)
            return bucket
        bucket = Bucket(tokens=shared.tokens if shared else burst, now=now)
        self._by_key[key] = bucket
        return bucket

    def _evict(self, rate, burst, now):
        """Drops one bucket that is as good as new; returns whether it did."""
        for _ in range(min(EVICTION_PROBES, len(self._by_key))):
            key, bucket = next(iter(self._by_key.items()))
            bucket.refill(rate, burst, now)
            if not bucket.in_flight and (rate is None or bucket.tokens >= burst):
                del self._by_key[key]
                return True
            self._by_key.move_to_end(key)
        return False


class Limits:
    """All operators' limits as one entry VM applies them.

    Rate and burst hold for the whole fleet, so each of ``n`` live entry VMs
    grants one ``n``-th of them, but at least a burst of one request.

    :param live_nodes: function that returns the number of live entry VMs.
    :param max_callers: callers with a bucket of their own per limit.
    """

    __slots__ = ("_live_nodes", "_max_callers", "_states_by_service")

    def __init__(self, *, live_nodes, max_callers=MAX_CALLERS):
        self._live_nodes = live_nodes
        self._max_callers = max_callers
        self._states_by_service = {}

    def apply(self, limits_by_name):
        """Takes new limits; unchanged scopes keep their tokens and counts."""
        known = {
            state.limit.name: state
            for states in self._states_by_service.values()
            for state in states
        }
        self._states_by_service = {}
        for name, limit in sorted(limits_by_name.items()):
            state = known.get(name)
            if state is None or _scope(state.limit) != _scope(limit):
                state = _LimitState(limit, self._max_callers)
            state.limit = limit
            self._states_by_service.setdefault(limit.service, []).append(state)

    def admit(self, classified, now):
        """Returns the :class:`Permit` of a request.

        A refused request takes no token of any limit.

        :raises Refusal: with the 1xxx code of the first limit in its way.
        """
        buckets = []
        rated = []
        nodes = max(1, self._live_nodes())
        for state in self._states_by_service.get(classified.service.name, ()):
            if not state.matches(classified):
                continue
            limit = state.limit
            rate = None if limit.rate is None else limit.rate / nodes
            burst = max(1.0, limit.burst / nodes)
            bucket = state.bucket(classified, rate, burst, now)
            _check(limit, bucket, rate)
            buckets.append(bucket)
            if rate is not None:
                rated.append(bucket)
        for bucket in rated:
            bucket.tokens -= 1.0
        for bucket in buckets:
            bucket.in_flight += 1
        return Permit(buckets)

    def release(self, permit):
        """Ends the request of a permit."""
        invariant(not permit.released, "a permit was released twice", PERMIT_STATE)
        permit.released = True
        for bucket in permit.buckets:
            bucket.in_flight -= 1

    def bucket_count(self):
        """Returns how many buckets are held in memory."""
        return sum(
            len(state)
            for states in self._states_by_service.values()
            for state in states
        )


def _scope(limit):
    return (limit.service, limit.scope, limit.rank)


def _check(limit, bucket, rate):
    if limit.concurrency is not None and bucket.in_flight >= limit.concurrency:
        raise Refusal(_CONCURRENCY_CODES[limit.scope], f"limit {limit.name}")
    if rate is None:
        return
    if rate == 0.0:
        raise Refusal(_RATE_CODES[limit.scope], f"limit {limit.name} allows none")
    if bucket.tokens < 1.0:
        wait_ms = int((1.0 - bucket.tokens) / rate * 1000) + 1
        raise Refusal(
            _RATE_CODES[limit.scope],
            f"limit {limit.name}",
            retry_after_ms=min(3_600_000, wait_ms),
        )
