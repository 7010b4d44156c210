"""Requests that arrive at servers, until it is known whether they were misdirected."""

from __future__ import annotations

import collections

# A server answers 421 within this time: its queue holds 16 requests, which its 4 slots
# run in up to 0.12 s. The rest is for a busy machine.
SETTLING_S = 1.0


class Arrival:
    """Arrival of a request at a process of a server.

    :param at: monotonic time in seconds.
    :ivar is_misdirected: whether the server answered 421.
    """

    __slots__ = ("at", "is_misdirected", "process", "request_id")

    def __init__(self, *, at, process, request_id):
        self.at = at
        self.process = process
        self.request_id = request_id
        self.is_misdirected = False


class Arrivals:
    """Passes on the arrivals that were not answered 421, in their order.

    :param clock: function that returns the monotonic time in seconds.
    :param listeners: functions that are called with each :class:`Arrival`.
    """

    def __init__(self, *, clock, listeners):
        self._clock = clock
        self._listeners = listeners
        self._unsettled = collections.deque()
        self._last_by_attempt = {}

    def arrived(self, process, request_id):
        """Records that a request arrives at a process of a server."""
        arrival = Arrival(at=self._clock(), process=process, request_id=request_id)
        self._unsettled.append(arrival)
        self._last_by_attempt[(process, request_id)] = arrival

    def misdirected(self, process, request_id):
        """Records that a process answers a request with 421."""
        arrival = self._last_by_attempt.get((process, request_id))
        if arrival is not None:
            arrival.is_misdirected = True

    def settle(self):
        """Passes on the arrivals of which enough time has passed."""
        settled_until = self._clock() - SETTLING_S
        while self._unsettled and self._unsettled[0].at <= settled_until:
            arrival = self._unsettled.popleft()
            attempt = (arrival.process, arrival.request_id)
            if self._last_by_attempt.get(attempt) is arrival:
                del self._last_by_attempt[attempt]
            if not arrival.is_misdirected:
                for listener in self._listeners:
                    listener(arrival)
