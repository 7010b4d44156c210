"""Timers of many requests, which share one timer of the event loop."""

from __future__ import annotations

import heapq
import itertools
import logging

log = logging.getLogger(__name__)

# Shortest delay of the event loop's timer, so that close times share one wake-up.
GRANULARITY_S = 0.01


class Timers:
    """Calls ``on_timer(now)`` of each item at the time for which it was added.

    ``on_timer`` returns the time of the item's next call, or None.
    """

    def __init__(self, *, reactor, clock):
        self._reactor = reactor
        self._clock = clock
        self._heap = []
        self._sequence = itertools.count()
        self._timer = None

    def add(self, when, item):
        """Adds an item to be called at a time in monotonic seconds."""
        heapq.heappush(self._heap, (when, next(self._sequence), item))
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
            try:
                next_time = item.on_timer(now)
            except Exception:
                # One request must not end the timers of all others.
                log.exception("timers: a call failed")
                continue
            if next_time is not None:
                heapq.heappush(
                    self._heap,
                    (max(next_time, now + 0.001), next(self._sequence), item),
                )
        self._schedule()
