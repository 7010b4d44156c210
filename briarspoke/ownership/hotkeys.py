"""Finds the most frequent keys in bounded memory by the Space-Saving algorithm."""

from __future__ import annotations

DEFAULT_COUNTERS = 64


class HotKey:
    """A counted key, possibly one of the most frequent.

    :param count: upper bound of the number of requests for the key.
    :param error: the number of requests is at least ``count - error``.
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

    :param counters: maximum number of keys that are counted at the same time.
    """

    __slots__ = ("_counter_by_key", "_max_counters", "total")

    def __init__(self, *, counters=DEFAULT_COUNTERS):
        self._max_counters = counters
        self._counter_by_key = {}
        self.total = 0.0

    def add(self, key, weight=1.0):
        """Counts a request for a key.

        :param weight: amount by which the key's count increases.
        """
        self.total += weight
        counter = self._counter_by_key.get(key)
        if counter is not None:
            counter.count += weight
            return
        if len(self._counter_by_key) < self._max_counters:
            self._counter_by_key[key] = HotKey(key=key, count=weight, error=0.0)
            return
        # The key may have been counted and evicted before. It takes over the
        # smallest count, which is an upper bound of its own.
        smallest = min(self._counter_by_key.values(), key=lambda counter: counter.count)
        del self._counter_by_key[smallest.key]
        self._counter_by_key[key] = HotKey(
            key=key, count=smallest.count + weight, error=smallest.count
        )

    def decay(self, factor):
        """Multiplies every count by a factor, so that old requests count less."""
        self.total *= factor
        for counter in self._counter_by_key.values():
            counter.count *= factor
            counter.error *= factor

    def top(self, count, *, min_share=0.0):
        """Returns the keys surely above a share of all requests, most frequent first.

        :param count: maximum number of keys to return.
        :param min_share: minimum share of the total, from 0 to 1.
        """
        min_count = min_share * self.total
        frequent = [
            counter
            for counter in self._counter_by_key.values()
            if counter.count - counter.error >= min_count
        ]
        return sorted(
            frequent,
            key=lambda counter: (-(counter.count - counter.error), str(counter.key)),
        )[:count]

    def __len__(self):
        return len(self._counter_by_key)


class ServerLoad:
    """A gateway's load measurement of one server: rates per partition and hot keys.

    :param half_life_s: age in seconds at which a request counts half.
    :param now: monotonic time in seconds.
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
        """Returns the requests/s per partition since the last call and resets them."""
        elapsed_s = now - self._reported_at
        if elapsed_s <= 0:
            return {}
        self._reported_at = now
        counts, self._count_by_partition = self._count_by_partition, {}
        self.keys.decay(0.5 ** (elapsed_s / self.half_life_s))
        return {partition: count / elapsed_s for partition, count in counts.items()}
