"""The most frequent keys in bounded memory, by the Space-Saving algorithm."""

from __future__ import annotations

COUNTERS = 64


class HotKey:
    """A key that may be among the most frequent.

    :param count: at most this many requests, and at least ``count - error``.
    """

    __slots__ = ("count", "error", "key")

    def __init__(self, *, key, count, error):
        self.key = key
        self.count = count
        self.error = error

    def __repr__(self):
        return f"<HotKey {self.key!r} {self.count - self.error}..{self.count}>"


class SpaceSaving:
    """Counts keys with a fixed number of counters.

    :param counters: keys that are counted at once.
    """

    __slots__ = ("_by_key", "_counters", "total")

    def __init__(self, *, counters=COUNTERS):
        self._counters = counters
        self._by_key = {}
        self.total = 0.0

    def add(self, key, by=1.0):
        """Counts a request for a key."""
        self.total += by
        known = self._by_key.get(key)
        if known is not None:
            known.count += by
            return
        if len(self._by_key) < self._counters:
            self._by_key[key] = HotKey(key=key, count=by, error=0.0)
            return
        # A new key may have been counted before; it inherits the smallest
        # count, which bounds its own from above.
        smallest = min(self._by_key.values(), key=lambda hot: hot.count)
        del self._by_key[smallest.key]
        self._by_key[key] = HotKey(
            key=key, count=smallest.count + by, error=smallest.count
        )

    def decay(self, factor):
        """Scales every count, so that old requests lose weight."""
        self.total *= factor
        for hot in self._by_key.values():
            hot.count *= factor
            hot.error *= factor

    def top(self, count, *, min_share=0.0):
        """Returns the keys surely above a share of all requests, hottest first.

        :param min_share: share of the total that a key has at least.
        """
        floor = min_share * self.total
        sure = [h for h in self._by_key.values() if h.count - h.error >= floor]
        return sorted(sure, key=lambda h: (-(h.count - h.error), str(h.key)))[:count]

    def __len__(self):
        return len(self._by_key)


class ServerLoad:
    """A gateway's measure of one server: rates per partition and hot keys.

    :param half_life_s: age at which a request counts half.
    """

    __slots__ = ("_count_by_partition", "_reported_at", "half_life_s", "keys")

    def __init__(self, *, half_life_s=10.0, now=0.0):
        self.half_life_s = half_life_s
        self.keys = SpaceSaving()
        self._count_by_partition = {}
        self._reported_at = now

    def add(self, partition, key):
        """Counts a request that was sent to the server."""
        self._count_by_partition[partition] = (
            self._count_by_partition.get(partition, 0) + 1
        )
        self.keys.add(key)

    def rates(self, now):
        """Returns requests/s per partition since the last call, and resets them."""
        elapsed_s = now - self._reported_at
        if elapsed_s <= 0:
            return {}
        self._reported_at = now
        counts, self._count_by_partition = self._count_by_partition, {}
        self.keys.decay(0.5 ** (elapsed_s / self.half_life_s))
        return {partition: count / elapsed_s for partition, count in counts.items()}
