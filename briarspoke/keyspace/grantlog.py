"""How long the grants that were sent for a key may still count."""

from __future__ import annotations

# A server's clock may be this much slow.
CLOCK_FACTOR = 1.02
# Covers the way of the call to the server and timers that fire late.
LAPSE_MARGIN_S = 0.15


def lapse_time(sent_at, hold_s):
    """Returns when a grant sent at a time has lapsed for certain."""
    return sent_at + hold_s * CLOCK_FACTOR + LAPSE_MARGIN_S


class SentGrant:
    """One grant call.

    :param answered: None while it is under way, then whether an answer came.
    """

    __slots__ = ("answered", "first", "lapses_at", "last")

    def __init__(self, *, first, last, lapses_at):
        self.first = first
        self.last = last
        self.lapses_at = lapses_at
        self.answered = None


class GrantLog:
    """Grant calls to one server that may still count."""

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent = []

    def add(self, *, first, last, sent_at, hold_s):
        """Notes a call before it is sent; returns its :class:`SentGrant`."""
        sent = SentGrant(first=first, last=last, lapses_at=lapse_time(sent_at, hold_s))
        self._sent.append(sent)
        return sent

    def _overlapping(self, first, last, now):
        self._sent = [s for s in self._sent if s.lapses_at > now or s.answered is None]
        return [s for s in self._sent if s.first <= last and s.last >= first]

    def lapses_at(self, first, last, now):
        """Returns when the last grant for any of the keys has lapsed."""
        found = self._overlapping(first, last, now)
        return max((s.lapses_at for s in found), default=now)

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
