"""Decides how many requests this entry VM may have in flight at owners of keys.

The load that this answers: many VMs, and owners that are used to a part of their slots.
The equal share of an owner is then less than two requests, and of two requests of a VM
for the same owner one would wait for the other although the owner has free slots.
"""

from __future__ import annotations

import collections

from briarspoke.entry import shares

# Requests in flight at an owner with free capacity. At a quarter of the slots in use, a
# third request of the same VM within one service time is rare.
MAX_AT_FREE_OWNER = 3
# An owner that shows that it lacks room gets the equal share for this long: the
# controller's news and the owner's own word about the time before have then expired.
CLOSED_S = 2.0
# An owner is slow if the shorter of its last two times exceeds its shortest recent one
# by this factor.
SLOW_RATIO = 2.0
# Number of times that count as recent.
RECENT_TIMES = 8
# Free slots that an owner must have reported for a second request for the same key.
MIN_FREE_SLOTS_SAME_KEY = 2

# Why a limit is in force, for metrics.
FREE = "free"
FEW_VMS = "few-vms"
KEYS_LIMITED = "keys-limited"
RATE_LIMITED = "rate-limited"
REJECTED = "rejected"
LOST = "lost"
SLOW = "slow"
OVERDUE = "overdue"
QUEUE = "queue"
FULL = "full"
NO_NEWS = "no-news"
REASONS = (
    FREE,
    FEW_VMS,
    KEYS_LIMITED,
    RATE_LIMITED,
    REJECTED,
    LOST,
    SLOW,
    OVERDUE,
    QUEUE,
    FULL,
    NO_NEWS,
)


class ServerRoom:
    """Signs that a server lacks room, and this VM's requests in flight at it."""

    __slots__ = ("_closed_until", "_in_flight", "_reason", "_times_s")

    def __init__(self):
        self._closed_until = 0.0
        self._reason = None
        # Attempts in the order in which they were sent.
        self._in_flight = {}
        self._times_s = collections.deque(maxlen=RECENT_TIMES)

    def request_sent(self, attempt):
        """Notes a request that is sent.

        :param attempt: the :class:`briarspoke.entry.attempts.Attempt`.
        """
        self._in_flight[attempt] = None

    def request_ended(self, attempt, server, now):
        """Notes that a request is not in flight any more.

        :param server: the :class:`briarspoke.entry.servers.Server`.
        """
        # A caller may give up before a server that hangs shows otherwise.
        self._check_overdue(attempt, server, now)
        self._in_flight.pop(attempt, None)

    def has_key(self, key):
        """Returns whether a request for a key is in flight."""
        return any(attempt.request.key == key for attempt in self._in_flight)

    def close(self, reason, now):
        """Notes a sign that the server lacks room.

        :param reason: one of :data:`REASONS`.
        """
        self._reason = reason
        self._closed_until = now + CLOSED_S

    def load_reported(self, load, now):
        """Notes the :class:`briarspoke.platform.load.Load` of an answer."""
        if load.waiting:
            self.close(QUEUE, now)

    def time_measured(self, seconds, now):
        """Notes the service time of an answer in seconds."""
        self._times_s.append(seconds)
        if len(self._times_s) > 2:
            shortest_s = min(self._times_s)
            if min(self._times_s[-1], self._times_s[-2]) > SLOW_RATIO * shortest_s:
                self.close(SLOW, now)

    def _check_overdue(self, attempt, server, now):
        if now - attempt.sent_at > server.service_time.upper_s:
            self.close(OVERDUE, now)

    def closed_by(self, server, now):
        """Returns the sign that the server lacks room at present, or None."""
        for oldest in self._in_flight:
            self._check_overdue(oldest, server, now)
            break
        return self._reason if now < self._closed_until else None


class OwnerLimits:
    """Limits on this VM's requests in flight at the owners of one service.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param dispatcher: the :class:`briarspoke.entry.dispatch.Dispatcher` of the service.
    """

    __slots__ = ("_dispatcher", "_node")

    def __init__(self, *, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher

    def base_limit(self, server):
        """Returns the limit that holds whatever is known about the owner."""
        limited = self._dispatcher.gates.are_active(self._node.now())
        return shares.owner_limit(
            server.record.slots, self._node.node_count, keys_limited=limited
        )

    def limit(self, server):
        """Returns the most requests in flight at an owner, and the reason.

        :returns: (limit, one of :data:`REASONS`).
        """
        base = self.base_limit(server)
        reason = self._reason(server)
        if reason != FREE:
            return base, reason
        return max(base, min(server.record.slots, MAX_AT_FREE_OWNER)), FREE

    def _reason(self, server):
        node, slots = self._node, server.record.slots
        now = node.now()
        if not shares.is_scarce(slots, node.node_count):
            return FEW_VMS
        if self._dispatcher.gates.are_active(now):
            return KEYS_LIMITED
        if server.limit.per_s is not None:
            return RATE_LIMITED
        closed_by = server.room.closed_by(server, now)
        if closed_by is not None:
            return closed_by
        has_room = self._has_room(server)
        if has_room is None:
            return NO_NEWS
        return FREE if has_room else FULL

    def _has_room(self, server):
        """Returns whether an owner has free slots, or None if nothing tells."""
        now = self._node.now()
        free_slots = server.load.free_slots(now, server.record.slots)
        if free_slots is not None:
            return free_slots > 0
        return self._node.division.news.has_room(
            self._dispatcher.name, server.record.server_id, now
        )

    def is_known_free(self, server):
        """Returns whether an owner is known to have free slots.

        Slow answers then show the length of the work, or a slow machine, and no queue.
        """
        return bool(self._has_room(server))

    def has_slot(self, server, key=None):
        """Returns whether a request may be sent to an owner.

        Beyond the equal share, requests for the same key follow each other unless the
        owner itself has just reported free slots: otherwise a key that becomes hot at
        all VMs at once would get the larger limit from all of them before anyone can
        know.

        :param key: key of the request, or None for any.
        """
        if server.in_flight < self.base_limit(server):
            return True
        if server.in_flight >= self.limit(server)[0]:
            return False
        if key is None or not server.room.has_key(key):
            return True
        free_slots = server.load.free_slots(self._node.now(), server.record.slots)
        return free_slots is not None and free_slots >= MIN_FREE_SLOTS_SAME_KEY
