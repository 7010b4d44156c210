"""Rate and concurrency limits that operators set for services, ranks and callers."""

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

# Callers that get their own bucket, per limit. Their buckets take about 2 MB; all
# further callers use the shared buckets.
MAX_CALLERS = 10_000
SHARED_BUCKET_COUNT = 256
# Buckets examined for eviction per new caller, which keeps admission O(1).
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
    """Token bucket and in-flight count of one service, rank or caller."""

    __slots__ = ("in_flight", "refilled_at", "tokens")

    def __init__(self, *, tokens, now):
        self.tokens = tokens
        self.refilled_at = now
        self.in_flight = 0

    def refill(self, rate, burst, now):
        """Adds the tokens earned since the last refill, up to the burst.

        :param rate: tokens per second, or None for no rate limit.
        """
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.tokens = min(burst, self.tokens + elapsed * (rate or 0.0))


class Permit:
    """Buckets in which an admitted request is counted until it ends."""

    __slots__ = ("buckets", "released")

    def __init__(self, buckets):
        self.buckets = buckets
        self.released = False


class _LimitState:
    """One :class:`Limit` and its buckets.

    Requests of callers beyond ``max_callers`` are counted in shared buckets.
    """

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

    def bucket_for(self, classified, rate, burst, now):
        """Returns the refilled bucket that a request is counted in."""
        key = None
        if self.limit.scope == "rank":
            key = classified.rank
        elif self.limit.scope == "caller":
            key = classified.caller
        bucket = self._by_key.get(key)
        if bucket is None:
            bucket = self._create_bucket(key, rate, burst, now)
        else:
            self._by_key.move_to_end(key)
        bucket.refill(rate, burst, now)
        return bucket

    def _create_bucket(self, key, rate, burst, now):
        """Returns a new bucket for a key, or a shared bucket if none is free.

        A caller may already have taken tokens from a shared bucket. Its own
        bucket starts with the tokens left there, so that it gets no second burst.
        """
        shared_index = None
        shared = None
        if self.limit.scope == "caller":
            shared_index = partition_of(str(key), SHARED_BUCKET_COUNT)
            shared = self._shared.get(shared_index)
        full = len(self._by_key) >= self.max_callers and not self._evict(
            rate, burst, now
        )
        if shared is not None:
            shared.refill(rate, burst, now)
            if full or shared.in_flight:
                return shared
        if full:
            bucket = self._shared[shared_index] = Bucket(tokens=burst, now=now)
            return bucket
        bucket = Bucket(tokens=shared.tokens if shared else burst, now=now)
        self._by_key[key] = bucket
        return bucket

    def _evict(self, rate, burst, now):
        """Evicts one bucket with all its tokens and no requests in flight.

        :returns: whether a bucket was evicted.
        """
        for _ in range(min(EVICTION_PROBES, len(self._by_key))):
            key, bucket = next(iter(self._by_key.items()))
            bucket.refill(rate, burst, now)
            if not bucket.in_flight and (rate is None or bucket.tokens >= burst):
                del self._by_key[key]
                return True
            self._by_key.move_to_end(key)
        return False


class Limits:
    """Applies all limits at one entry VM.

    Rate and burst apply to the whole fleet: each of ``n`` live entry VMs grants
    a fraction of ``1 / n``, but at least a burst of one request.

    :param live_nodes: function that returns the number of live entry VMs.
    :param max_callers: callers that get their own bucket, per limit.
    """

    __slots__ = ("_live_nodes", "_max_callers", "_states_by_service")

    def __init__(self, *, live_nodes, max_callers=MAX_CALLERS):
        self._live_nodes = live_nodes
        self._max_callers = max_callers
        self._states_by_service = {}

    def apply(self, limits_by_name):
        """Replaces the limits.

        Tokens and in-flight counts are kept for a limit of the same name whose
        service, scope and rank are unchanged.
        """
        states_by_name = {
            state.limit.name: state
            for states in self._states_by_service.values()
            for state in states
        }
        self._states_by_service = {}
        for name, limit in sorted(limits_by_name.items()):
            state = states_by_name.get(name)
            if state is None or _scope_key(state.limit) != _scope_key(limit):
                state = _LimitState(limit, self._max_callers)
            state.limit = limit
            self._states_by_service.setdefault(limit.service, []).append(state)

    def admit(self, classified, now):
        """Counts a request in every matching limit and returns its :class:`Permit`.

        A refused request takes no token from any limit.

        :raises Refusal: with the 1xxx code of the first limit that is reached.
        """
        buckets = []
        rate_limited = []
        live_nodes = max(1, self._live_nodes())
        for state in self._states_by_service.get(classified.service.name, ()):
            if not state.matches(classified):
                continue
            limit = state.limit
            rate = None if limit.rate is None else limit.rate / live_nodes
            burst = max(1.0, limit.burst / live_nodes)
            bucket = state.bucket_for(classified, rate, burst, now)
            _check_limit(limit, bucket, rate)
            buckets.append(bucket)
            if rate is not None:
                rate_limited.append(bucket)
        for bucket in rate_limited:
            bucket.tokens -= 1.0
        for bucket in buckets:
            bucket.in_flight += 1
        return Permit(buckets)

    def release(self, permit):
        """Removes the request of a permit from the in-flight counts."""
        invariant(not permit.released, "a permit was released twice", PERMIT_STATE)
        permit.released = True
        for bucket in permit.buckets:
            bucket.in_flight -= 1

    def bucket_count(self):
        """Returns the number of buckets in memory."""
        return sum(
            len(state)
            for states in self._states_by_service.values()
            for state in states
        )


def _scope_key(limit):
    return (limit.service, limit.scope, limit.rank)


def _check_limit(limit, bucket, rate):
    if limit.concurrency is not None and bucket.in_flight >= limit.concurrency:
        raise Refusal(_CONCURRENCY_CODES[limit.scope], f"limit {limit.name}")
    if rate is None:
        return
    if rate == 0.0:
        raise Refusal(
            _RATE_CODES[limit.scope], f"limit {limit.name} allows no requests"
        )
    if bucket.tokens < 1.0:
        wait_ms = int((1.0 - bucket.tokens) / rate * 1000) + 1
        raise Refusal(
            _RATE_CODES[limit.scope],
            f"limit {limit.name}",
            retry_after_ms=min(3_600_000, wait_ms),
        )
