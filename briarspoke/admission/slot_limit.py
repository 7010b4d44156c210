"""Adaptive limit of the requests that a server runs concurrently."""

from __future__ import annotations

import math

BACKOFF_FACTOR = 0.5
# The signals of a single overload arrive within about this time. Halving the limit
# for each of them would reduce it to one slot.
BACKOFF_INTERVAL_S = 1.0


class SlotLimit:
    """Number of usable slots, reduced on overload and during warm-up.

    The limit is halved on overload and grows again by about one slot per round of
    successful requests.

    :param slots: configured slots.
    :param warmup_s: seconds in which a new server goes from one slot to all slots.
    """

    __slots__ = (
        "_adaptive_slots",
        "_backed_off_at",
        "_warm_up_started_at",
        "slots",
        "warmup_s",
    )

    def __init__(self, *, slots, warmup_s=0.0):
        self.slots = slots
        self.warmup_s = warmup_s
        self._adaptive_slots = float(slots)
        self._backed_off_at = None
        self._warm_up_started_at = None

    def warm_up(self, now):
        """Starts a warm-up with one slot."""
        self._warm_up_started_at = now

    def reconfigure(self, *, slots, warmup_s):
        """Applies new values; a reduced limit stays reduced in proportion."""
        self._adaptive_slots = max(1.0, self._adaptive_slots * slots / self.slots)
        self.slots = slots
        self.warmup_s = warmup_s

    def back_off(self, now):
        """Halves the limit, at most once per ``BACKOFF_INTERVAL_S``.

        :returns: whether the limit was halved.
        """
        elapsed_s = (
            math.inf if self._backed_off_at is None else now - self._backed_off_at
        )
        if elapsed_s < BACKOFF_INTERVAL_S:
            return False
        self._backed_off_at = now
        self._adaptive_slots = max(1.0, self._adaptive_slots * BACKOFF_FACTOR)
        return True

    def recover(self):
        """Raises the limit after a success, by about one slot per round of requests."""
        self._adaptive_slots = min(
            float(self.slots), self._adaptive_slots + 1.0 / self._adaptive_slots
        )

    def current(self, now):
        """Returns the number of slots that may be in use, at least 1."""
        limit = self._adaptive_slots
        if self._warm_up_started_at is not None:
            limit = min(limit, self._warm_up_slots(now))
        return max(1, int(limit + 1e-9))

    def _warm_up_slots(self, now):
        elapsed_s = now - self._warm_up_started_at
        if elapsed_s >= self.warmup_s:
            self._warm_up_started_at = None
            return self.slots
        return 1 + (self.slots - 1) * max(0.0, elapsed_s) / self.warmup_s
