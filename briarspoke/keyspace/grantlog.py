"""How long the grants that were sent for a key may still count."""

from __future__ import annotations

# A server's clock may be this much slow.
CLOCK_FACTOR = 1.02
# Covers bytes that are still on their way when a call is given up.
LAPSE_MARGIN_S = 0.15


def lapse_time(arrived_at, hold_s):
    """Returns when a grant that arrived at a time has lapsed for certain."""
    return arrived_at + hold_s * CLOCK_FACTOR + LAPSE_MARGIN_S


class SentGrant:
    """One grant call.

    :param answered: None while it is under way, then whether an answer came.
    :param lapses_at: when its effect has ended; valid once it is settled.
    """

    __slots__ = ("_hold_s", "answered", "first", "lapses_at", "last")

    def __init__(self, *, first, last, hold_s):
        self.first = first
        self.last = last
        self.lapses_at = None
        self.answered = None
        self._hold_s = hold_s

    def settle(self, now, *, answered):
        """Ends the call; it may have arrived at any time until now."""
        self.answered = answered
        self.lapses_at = lapse_time(now, self._hold_s)

    def discard(self, now):
        """Ends a call that has had no effect."""
        self.answered = True
        self.lapses_at = now


class GrantLog:
    """Grant calls to one server that may still count."""

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent = []

    def add(self, *, first, last, hold_s):
        """Notes a call before it is sent; returns its :class:`SentGrant`."""
        sent = SentGrant(first=first, last=last, hold_s=hold_s)
        self._sent.append(sent)
        return sent

    def _overlapping(self, first, last, now):
        self._sent = [s for s in self._sent if s.answered is None or s.lapses_at > now]
        return [s for s in self._sent if s.first <= last and s.last >= first]

    def lapses_at(self, first, last, now):
        """Returns when the last settled grant for any of the keys has lapsed."""
        found = self._overlapping(first, last, now)
        settled = (s.lapses_at for s in found if s.answered is not None)
        return max(settled, default=now)

    def is_under_way(self, first, last, now):
        """Returns whether a call for any of the keys has no answer yet."""
        return any(s.answered is None for s in self._overlapping(first, last, now))

    def is_uncertain(self, first, last, now):
        """Returns whether a call got no answer and may be applied later."""
        return any(s.answered is False for s in self._overlapping(first, last, now))

    def was_accepted(self, first, last, now):
        """Returns whether the server has accepted a grant of all of the keys."""
        return any(
            s.answered and s.first <= first and s.last >= last
            for s in self._overlapping(first, last, now)
        )
