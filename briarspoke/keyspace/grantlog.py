"""Tracks until when the grants that were sent to a server may be valid."""

from __future__ import annotations

# A server's clock may run up to 2% slow.
CLOCK_DRIFT_FACTOR = 1.02
# Covers timers that fire late.
EXPIRY_MARGIN_S = 0.15
# A call that was given up can still reach the server: its bytes may wait in the queue
# of this VM's link, ahead of the reset of their connection. The wait is bounded by the
# time that the link needs for a full queue, and by ``MAX_TRANSIT_S``.
MAX_TRANSIT_S = 2.0
FULL_QUEUE_MBIT = 200.0


def expiry_time(arrived_at, hold_s):
    """Returns the time at which a grant has certainly expired.

    :param arrived_at: latest time at which the grant can have reached the server.
    """
    return arrived_at + hold_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S


def transit_s(link_mbps):
    """Returns how long after its end a call can still reach the server, in seconds.

    :param link_mbps: bandwidth of this VM's link in Mbit/s, or 0 if unknown.
    """
    if link_mbps <= 0:
        return MAX_TRANSIT_S
    return min(MAX_TRANSIT_S, FULL_QUEUE_MBIT / link_mbps)


class SentGrant:
    """One grant call.

    :ivar fence: fencing token of the call.
    :ivar incarnation: process of the server to which the call was sent. A later one may
        have received it.
    :ivar answered: None while the call is pending, then whether it was answered.
    :ivar accepted: whether the server has accepted the grant.
    :ivar expires_at: when the grant has certainly expired; None while the call is
        pending.
    """

    __slots__ = (
        "_transit_s",
        "accepted",
        "answered",
        "expires_at",
        "fence",
        "first",
        "hold_s",
        "incarnation",
        "last",
    )

    def __init__(self, *, first, last, fence, incarnation, hold_s, transit_s):
        self.first = first
        self.last = last
        self.fence = fence
        self.incarnation = incarnation
        self.expires_at = None
        self.answered = None
        self.accepted = False
        self.hold_s = hold_s
        self._transit_s = transit_s

    def settle(self, now, *, answered):
        """Records the end of the call, which may have arrived at any time until now.

        Without an answer, it may even arrive later.
        """
        self.answered = self.accepted = answered
        arrived_at = now if answered else now + self._transit_s
        self.expires_at = expiry_time(arrived_at, self.hold_s)

    def discard(self, now):
        """Records the end of a call that had no effect."""
        self.answered = True
        self.expires_at = now


class GrantLog:
    """Grant calls to one server at one address whose grants may be valid.

    A call that was sent to one process of the server may reach the next one, so the log
    has the calls to all of them.

    :param transit_s: time for which a call that was given up can still arrive.
    """

    __slots__ = ("_sent", "_transit_s")

    def __init__(self, *, transit_s=MAX_TRANSIT_S):
        self._sent = []
        self._transit_s = transit_s

    def add(self, *, first, last, fence, incarnation, hold_s):
        """Records a call before it is sent and returns its :class:`SentGrant`."""
        sent = SentGrant(
            first=first,
            last=last,
            fence=fence,
            incarnation=incarnation,
            hold_s=hold_s,
            transit_s=self._transit_s,
        )
        self._sent.append(sent)
        return sent

    def _overlapping(self, first, last, now):
        self._sent = [s for s in self._sent if s.answered is None or s.expires_at > now]
        return [s for s in self._sent if s.first <= last and s.last >= first]

    def expires_at(self, first, last, now):
        """Returns when all grants of ended calls for any of the keys have expired."""
        found = self._overlapping(first, last, now)
        settled = (s.expires_at for s in found if s.answered is not None)
        return max(settled, default=now)

    def is_pending(self, first, last, now):
        """Returns whether a call for any of the keys is pending."""
        return any(s.answered is None for s in self._overlapping(first, last, now))

    def is_uncertain(self, first, last, now):
        """Returns whether a call ended without an answer and may be applied later."""
        return any(s.answered is False for s in self._overlapping(first, last, now))

    def was_overtaken(self, sent, now):
        """Returns whether a call with a higher token for any of its keys was sent."""
        overlapping = self._overlapping(sent.first, sent.last, now)
        return any(s.fence > sent.fence for s in overlapping)

    def was_accepted(self, first, last, incarnation, now):
        """Returns whether a process has accepted a grant that covers all the keys."""
        return any(
            s.accepted
            and s.incarnation == incarnation
            and s.first <= first
            and s.last >= last
            for s in self._overlapping(first, last, now)
        )
