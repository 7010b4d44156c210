"""Where the soak's requests go: uneven over time, keys and zones."""

from __future__ import annotations

KEY_COUNT = 65_536
# The page on uneven load names these: load rises to 1.7 times, and one key gets 35%.
SURGE_FACTOR = 1.7
HOT_KEY_SHARE = 0.35


class Demand:
    """Chooses the number of requests, their keys and their entry VMs.

    :param random: the run's :class:`random.Random`.
    :ivar factor: requests sent per usual request.
    :ivar hot_key: key of ``HOT_KEY_SHARE`` of the requests, or None.
    :ivar zone: zone to which all callers have moved, or None.
    """

    def __init__(self, *, random):
        self.factor = 1.0
        self.hot_key = None
        self.zone = None
        self._random = random

    def count(self):
        """Returns the number of requests to send at a usual one's time."""
        whole = int(self.factor)
        return whole + (self._random.random() < self.factor - whole)

    def key(self):
        """Returns the key of a request."""
        if self.hot_key is not None and self._random.random() < HOT_KEY_SHARE:
            return self.hot_key
        return self._random.randrange(KEY_COUNT)

    def node(self, nodes):
        """Returns the entry VM for a request."""
        return self._random.choice([n for n in nodes if self.zone in (None, n.zone)])
