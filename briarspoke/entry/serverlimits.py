"""Rate limits that servers name in their answers."""

from __future__ import annotations

import math

# An entry VM tells others for how long it has known a limit, but not how long the
# message was on its way. A message that relaxes a limit counts as older by this time.
PEER_MARGIN_S = 0.3


class ServerLimit:
    """What an entry VM knows about the rate limit of one lifetime of a server.

    :ivar per_s: requests per second that the server takes from all entry VMs together,
        or None without a limit.
    """

    __slots__ = ("_as_of", "per_s", "unusable_logged")

    def __init__(self):
        self.per_s = None
        # Whether the log has a line about the unusable values that arrive at present.
        self.unusable_logged = False
        self._as_of = -math.inf

    def learn(self, per_s, as_of):
        """Learns the limit of an answer.

        Answers arrive out of order, so one to an earlier request is ignored.

        :param as_of: time at which the answered request was sent.
        :returns: whether the limit has changed.
        """
        if as_of < self._as_of:
            return False
        self._as_of = as_of
        before, self.per_s = self.per_s, per_s
        return per_s != before

    def learn_from_peer(self, per_s, age_s, now):
        """Learns what another entry VM knows.

        :param age_s: seconds since that VM sent the answered request.
        :returns: whether the limit has changed.
        """
        as_of = now - age_s
        if self.per_s is not None and (per_s is None or per_s > self.per_s):
            as_of -= PEER_MARGIN_S
        return self.learn(per_s, as_of)

    def age_s(self, now):
        """Returns the seconds since the request was sent whose answer is known."""
        return now - self._as_of


def format_limit(per_s):
    """Returns a limit as text for log lines."""
    return "-" if per_s is None else f"{per_s:g}"
