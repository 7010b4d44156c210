"""Requests by key, counted in buckets of neighbouring keys."""

from __future__ import annotations

# A single key can bring more load than any server carries beside others, so each key
# is counted alone.
KEYS_PER_BUCKET = 1
# Time in which a count loses half of its weight.
HALF_LIFE_S = 1.0
# Buckets below this rate, in requests per second, are forgotten.
LEAST_RATE = 0.02


class KeyLoad:
    """Counts of one entry VM since its last report."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def count(self, service, key):
        """Counts a request."""
        buckets = self._by_service.setdefault(service, {})
        bucket = key // KEYS_PER_BUCKET
        buckets[bucket] = buckets.get(bucket, 0) + 1

    def take(self):
        """Returns ``{service: {bucket: requests}}`` and begins anew."""
        taken, self._by_service = self._by_service, {}
        return taken


class LoadEstimate:
    """Rate of requests by bucket, of all entry VMs that report."""

    __slots__ = ("_at", "rate_by_bucket")

    def __init__(self):
        self.rate_by_bucket = {}
        self._at = None

    def add(self, counts, now):
        """Adds the counts of one report."""
        self.decay(now)
        # A steady rate r adds up to r / (1 - decay) counts; this scales it to r.
        scale = 0.693 / HALF_LIFE_S
        for bucket, count in counts.items():
            self.rate_by_bucket[bucket] = (
                self.rate_by_bucket.get(bucket, 0.0) + count * scale
            )

    def decay(self, now):
        """Lets old counts fade."""
        if self._at is not None and now > self._at:
            factor = 0.5 ** ((now - self._at) / HALF_LIFE_S)
            self.rate_by_bucket = {
                bucket: rate * factor
                for bucket, rate in self.rate_by_bucket.items()
                if rate * factor > LEAST_RATE
            }
        self._at = now if self._at is None else max(self._at, now)
