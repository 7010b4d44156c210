"""Rate limits that servers name in their answers, or have while they are cold."""

from __future__ import annotations

import math

# An entry VM tells others for how long it has known a limit, but not how long the
# message was on its way. A message that relaxes a limit counts as older by this time.
PEER_MARGIN_S = 0.3


class ServerLimit:
    """What an entry VM knows about the rate limit of one lifetime of a server.

    :ivar named_per_s: requests per second that the server names for all entry VMs
        together, or None without a limit.
    :ivar cold: the :class:`briarspoke.entry.coldness.ColdSpell` while the server is
        cold, or None.
    """

    __slots__ = (
        "_as_of",
        "cold",
        "named_per_s",
        "unusable_logged",
        "unusable_warmup_logged",
    )

    def __init__(self):
        self.named_per_s = None
        self.cold = None
        # Whether the log has a line about the unusable values that arrive at present.
        self.unusable_logged = False
        self.unusable_warmup_logged = False
        self._as_of = -math.inf

    @property
    def per_s(self):
        """Requests per second that the server takes from all entry VMs together.

        The lower of the limit that it names and the one while it is cold, or None.
        """
        if self.cold is None:
            return self.named_per_s
        if self.named_per_s is None:
            return self.cold.per_s
        return min(self.named_per_s, self.cold.per_s)

    def learn(self, per_s, as_of):
        """Learns the limit of an answer.

        Answers arrive out of order, so one to an earlier request is ignored.

        :param as_of: time at which the answered request was sent.
        :returns: whether the limit has changed.
        """
        if as_of < self._as_of:
            return False
        self._as_of = as_of
        before, self.named_per_s = self.named_per_s, per_s
        return per_s != before

    def learn_from_peer(self, per_s, age_s, now):
        """Learns what another entry VM knows.

        :param age_s: seconds since that VM sent the answered request.
        :returns: whether the limit has changed.
        """
        as_of = now - age_s
        known = self.named_per_s
        if known is not None and (per_s is None or per_s > known):
            as_of -= PEER_MARGIN_S
        return self.learn(per_s, as_of)

    def keeps_keys(self, now):
        """Returns whether the server is limited for too short a time to move keys."""
        return (
            self.cold is not None
            and self.named_per_s is None
            and not self.cold.lasts_for_moves(now)
        )

    def age_s(self, now):
        """Returns the seconds since the request was sent whose answer is known."""
        return now - self._as_of


def format_limit(per_s):
    """Returns a limit as text for log lines."""
    return "-" if per_s is None else f"{per_s:g}"
