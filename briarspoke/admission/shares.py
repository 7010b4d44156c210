"""Guaranteed minimum shares of a server's time per rank."""

from __future__ import annotations

from briarspoke.configuration.resources import RANKS

# Shares are kept with this margin, because a rank is served in whole requests
# and its share is measured from outside with the network's time left out.
SHARE_MARGIN = 1.05
# A longer debt would exclude a rank that used idle capacity for as long as the
# others need to catch up; a shorter one would forgive part of what it spent.
DEBT_REQUESTS = 2


class Shares:
    """Credit in slot seconds by which each rank is behind its share.

    Each slot second spent credits every waiting rank with its share of that
    second and debits the rank that spent it. A rank with credit is below its
    share.
    """

    __slots__ = ("_targets", "credit_by_rank")

    def __init__(self, shares_by_rank):
        self.credit_by_rank = dict.fromkeys(RANKS, 0.0)
        self.reconfigure(shares_by_rank)

    def reconfigure(self, shares_by_rank):
        """Takes new shares; a sum above 1 is scaled down to 1."""
        total = sum(shares_by_rank.values())
        factor = min(SHARE_MARGIN, 1.0 / total) if total else 1.0
        self._targets = {rank: share * factor for rank, share in shares_by_rank.items()}

    def target(self, rank):
        """Returns the share that is aimed at for a rank."""
        return self._targets[rank]

    def below(self, rank):
        """Returns whether a rank has received less than its share."""
        return self.credit_by_rank[rank] > 0.0

    def idle(self, rank):
        """Drops the credit of a rank without waiting requests."""
        if self.credit_by_rank[rank] > 0.0:
            self.credit_by_rank[rank] = 0.0

    def spend(self, rank, seconds, waiting_ranks, *, own_s, longest_s, slots):
        """Accounts for slot time.

        :param seconds: slot time; negative corrects an estimate downward.
        :param waiting_ranks: ranks with waiting requests.
        :param own_s: expected slot time of one request of the rank.
        :param longest_s: expected slot time of the slowest rank.
        :param slots: declared slots.
        """
        credit = self.credit_by_rank
        for waiting in waiting_ranks:
            earned = credit[waiting] + self._targets[waiting] * seconds
            credit[waiting] = min(self._most(waiting, longest_s, slots), earned)
        floor = -DEBT_REQUESTS * max(seconds, own_s)
        most = self._most(rank, longest_s, slots)
        credit[rank] = min(most, max(floor, credit[rank] - seconds))

    def _most(self, rank, longest_s, slots):
        """Returns the most credit a rank keeps, in slot seconds.

        It is what the rank earns while every slot runs one of the slowest
        requests. With more, a rank that was kept waiting would then hold the
        server for long; with less, it would lose part of its share.
        """
        return longest_s * max(1.0, slots * self._targets[rank])
