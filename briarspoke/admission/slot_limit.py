"""How many requests a server may run at once."""

from __future__ import annotations

import math

BACKOFF_FACTOR = 0.5
# The answers to one overload arrive within about this time; halving for each
# of them would drive the limit to one slot.
BACKOFF_INTERVAL_S = 1.0


class SlotLimit:
    """Declared slots, lowered on signs of overload and while warming up.

    :param slots: declared slots.
    :param warmup_s: seconds from one slot to the declared slots.
    """

    __slots__ = ("_adaptive", "_lowered_at", "_warm_since", "slots", "warmup_s")

    def __init__(self, *, slots, warmup_s=0.0):
        self.slots = slots
        self.warmup_s = warmup_s
        self._adaptive = float(slots)
        self._lowered_at = None
        self._warm_since = None

    def warm_up(self, now):
        """Starts again with one slot."""
        self._warm_since = now

    def reconfigure(self, *, slots, warmup_s):
        """Takes new declared values; a lowered limit keeps its proportion."""
        self._adaptive = max(1.0, self._adaptive * slots / self.slots)
        self.slots = slots
        self.warmup_s = warmup_s

    def overloaded(self, now):
        """Halves the limit, at most once per interval; returns whether it did."""
        since = math.inf if self._lowered_at is None else now - self._lowered_at
        if since < BACKOFF_INTERVAL_S:
            return False
        self._lowered_at = now
        self._adaptive = max(1.0, self._adaptive * BACKOFF_FACTOR)
        return True

    def succeeded(self):
        """Restores about one slot per round of successful requests."""
        self._adaptive = min(float(self.slots), self._adaptive + 1.0 / self._adaptive)

    def current(self, now):
        """Returns the number of slots in use now, at least 1."""
        limit = self._adaptive
        if self._warm_since is not None:
            limit = min(limit, self._warm(now))
        return max(1, int(limit + 1e-9))

    def _warm(self, now):
        elapsed = now - self._warm_since
        if elapsed >= self.warmup_s:
            self._warm_since = None
            return self.slots
        return 1 + (self.slots - 1) * max(0.0, elapsed) / self.warmup_s
