"""How long it takes until the bytes of a request have arrived at a server.

Servers that leave, and servers of an evacuated zone, must not get a request after a
fixed time. On a link of 5 Mbit/s an upload of 360 kB takes 0.6 s, and answers to
callers that wait for the same link add to that.
"""

from __future__ import annotations

# Covers pauses of this process and of the server. A VM with 0.3 of a core stands still
# for up to 70 ms in each period of 100 ms, once on each side.
MARGIN_S = 0.15
# Longest round trip between two zones without load.
ROUND_TRIP_S = 0.03
# Bytes that a connection sends in its first round trip (10 segments); the number
# doubles with each round trip.
FIRST_WINDOW_BYTES = 14_000
# Fraction of the link that is assumed to be left for requests and answers. The rest is
# headers of packets, calls to the store, datagrams and packets that are sent again.
USABLE_SHARE = 0.8
# Longest wait in the queue of the link: what the connections and the interface hold
# takes no longer (see ``MAX_TRANSIT_S`` of :mod:`briarspoke.keyspace.grantlog`).
MAX_QUEUE_S = 2.0
# Time that is assumed for any request if the speed of the link is unknown.
UNKNOWN_LINK_S = 0.35


class OwnLink:
    """Estimates the bytes that wait to be sent on this VM's network link.

    The operating system takes whole requests and answers at once, so what waits there
    is not known. It is estimated from what was written and the speed of the link.

    :param mbps: bandwidth in Mbit/s, or 0 if unknown.
    :param clock: function that returns monotonic seconds.
    """

    __slots__ = ("_busy_until", "_bytes_per_s", "_clock")

    def __init__(self, *, mbps, clock):
        self._bytes_per_s = mbps * 1e6 / 8 * USABLE_SHARE
        self._clock = clock
        self._busy_until = 0.0

    def record_write(self, size_bytes):
        """Records that bytes were written to any connection."""
        if self._bytes_per_s:
            now = self._clock()
            busy_until = max(self._busy_until, now) + size_bytes / self._bytes_per_s
            self._busy_until = min(busy_until, now + MAX_QUEUE_S)

    @property
    def queue_s(self):
        """Seconds until the bytes that were written have left this VM."""
        return max(0.0, self._busy_until - self._clock())

    def arrival_s(self, size_bytes, *, connects):
        """Returns the seconds until a request that is written now has arrived.

        :param size_bytes: size of its head and body.
        :param connects: whether a connection may have to be opened first.
        """
        round_trips = 1 + connects
        window_bytes = FIRST_WINDOW_BYTES
        while size_bytes > window_bytes:
            round_trips += 1
            window_bytes = 2 * window_bytes + FIRST_WINDOW_BYTES
        seconds = MARGIN_S + round_trips * ROUND_TRIP_S
        if not self._bytes_per_s:
            return seconds + UNKNOWN_LINK_S
        return seconds + self.queue_s + size_bytes / self._bytes_per_s
