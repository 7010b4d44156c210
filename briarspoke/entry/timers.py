"""Deadlines of many requests on one timer of the event loop."""

from __future__ import annotations

import heapq
import itertools

# Deadlines that lie closer together than this share a wake-up.
GRANULARITY_S = 0.01


class Timers:
    """Calls ``on_timer(now)`` of each item when its time has come.

    ``on_timer`` returns the next time of the item, or None.
    """

    def __init__(self, *, reactor, clock):
        self._reactor = reactor
        self._clock = clock
        self._heap = []
        self._numbers = itertools.count()
        self._timer = None

    def add(self, when, item):
        """Registers an item for a time in monotonic seconds."""
        heapq.heappush(self._heap, (when, next(self._numbers), item))
        if self._heap[0][2] is item:
            self._schedule()

    def _schedule(self):
        if not self._heap:
            return
        delay_s = max(GRANULARITY_S, self._heap[0][0] - self._clock())
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self._reactor.callLater(delay_s, self._run)

    def _run(self):
        self._timer = None
        now = self._clock()
        while self._heap and self._heap[0][0] <= now:
            _, _, item = heapq.heappop(self._heap)
            again = item.on_timer(now)
            if again is not None:
                heapq.heappush(
                    self._heap, (max(again, now + 0.001), next(self._numbers), item)
                )
        self._schedule()
