"""Guaranteed minimum share of each rank in the time of a server."""

from __future__ import annotations

from briarspoke.configuration.resources import RANKS

# Target shares exceed the guaranteed ones by this factor: a rank is served in whole
# requests, and its share is measured from outside, without the time in the network.
SHARE_MARGIN_FACTOR = 1.05
# A larger debt would block a rank that used idle capacity until the other ranks
# have caught up; a smaller one would not charge it for all the time that it used.
MAX_DEBT_REQUESTS = 2


class ShareCredits:
    """Tracks how far each rank is below its guaranteed share.

    Each slot second in use credits every waiting rank with its share of that
    second and debits the rank that used it. A rank with a positive credit, in
    slot seconds, is below its share.

    :param shares_by_rank: guaranteed fraction of the server's time by rank.
    """

    __slots__ = ("_targets", "credit_by_rank")

    def __init__(self, shares_by_rank):
        self.credit_by_rank = dict.fromkeys(RANKS, 0.0)
        self.reconfigure(shares_by_rank)

    def reconfigure(self, shares_by_rank):
        """Applies new shares; a sum above 1 is scaled down to 1."""
        total = sum(shares_by_rank.values())
        factor = min(SHARE_MARGIN_FACTOR, 1.0 / total) if total else 1.0
        self._targets = {rank: share * factor for rank, share in shares_by_rank.items()}

    def target(self, rank):
        """Returns the target share of a rank."""
        return self._targets[rank]

    def most_underserved(self, ranks):
        """Returns the rank furthest below its share, or None.

        Ranks are compared by credit relative to their share. When they were
        compared by urgency, bookings that competed with bulk requests of 100
        times their length got 0.28 of a share of 0.3.
        """
        underserved = [rank for rank in ranks if self.credit_by_rank[rank] > 0.0]
        return max(underserved, key=self._relative_credit_s, default=None)

    def _relative_credit_s(self, rank):
        return self.credit_by_rank[rank] / self._targets[rank]

    def drop_credit(self, rank):
        """Drops the positive credit of a rank without waiting requests."""
        if self.credit_by_rank[rank] > 0.0:
            self.credit_by_rank[rank] = 0.0

    def charge(self, rank, seconds, waiting_ranks, *, request_s, longest_s, slots):
        """Charges slot time to a rank and credits the waiting ranks.

        :param seconds: slot time; negative to correct an estimate that was too high.
        :param waiting_ranks: ranks with waiting requests.
        :param request_s: expected slot time of one request of the rank, in seconds.
        :param longest_s: expected slot time of the slowest rank, in seconds.
        :param slots: configured slots of the server.
        """
        credit = self.credit_by_rank
        for waiting_rank in waiting_ranks:
            earned = credit[waiting_rank] + self._targets[waiting_rank] * seconds
            credit[waiting_rank] = min(
                self._max_credit_s(waiting_rank, longest_s, slots), earned
            )
        min_credit_s = -MAX_DEBT_REQUESTS * max(seconds, request_s)
        max_credit_s = self._max_credit_s(rank, longest_s, slots)
        credit[rank] = min(max_credit_s, max(min_credit_s, credit[rank] - seconds))

    def _max_credit_s(self, rank, longest_s, slots):
        """Returns the maximum credit of a rank in slot seconds.

        It is the credit that the rank earns while every slot runs one of the
        slowest requests. A higher maximum would let a rank occupy the server for
        long after a wait; a lower one would cost it part of its share.
        """
        return longest_s * max(1.0, slots * self._targets[rank])
