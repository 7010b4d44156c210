"""The rate limit of a cold server, and which entry VM may send without the controller.

The load that this answers: a zone's servers become cold together while 30 to 100 entry
VMs have requests for each of them. A cold server tolerates a few requests a second, and
crashes under many more, so the bound holds for the sum over all VMs in any second.
"""

from __future__ import annotations

import math

from briarspoke.entry.permits import (
    FALLBACK_FRACTION,
    MIN_SAVED,
    SAVED_S,
    VALIDITY_S,
)
from briarspoke.platform.limits import MIN_PER_S

# The bound holds for each window of this length.
WINDOW_S = 1.0
# A request that is sent on a new connection arrives up to 0.6 s later (the longest
# connection timeout in ``servers``), and 0.1 s is left for its way.
ARRIVAL_SPREAD_S = 0.7
# Saved permits may be given out twice around a change of the controller or of the
# server's incarnation.
BUCKETS = 2
# Entry VMs that may send without the controller to one server. The VMs choose one of
# them by name; a VM with an old list of VMs, from before others joined, may choose
# another one.
ALONE_SENDERS = 2
# VMs send without the controller only if this part of the tolerated rate is left. A
# higher limit for permits is worth more than a fallback that is seldom used.
MIN_FRACTION_WITH_FALLBACK = 0.25
_BISECTIONS = 40


def worst_sum(per_s, *, with_fallback):
    """Returns the most requests that can arrive at a server in ``WINDOW_S``.

    A permit is used within ``VALIDITY_S`` after it was asked for, and a turn without
    the controller is used at most as late, so both are counted over a longer window.

    :param per_s: limit of the server for permits.
    :param with_fallback: whether VMs without the controller send as well.
    """
    window_s = WINDOW_S + ARRIVAL_SPREAD_S + VALIDITY_S
    total = per_s * window_s + BUCKETS * max(MIN_SAVED, SAVED_S * per_s)
    if with_fallback:
        total += FALLBACK_FRACTION * per_s * window_s + ALONE_SENDERS
    return total


class ColdLimit:
    """Limit of the cold servers of a service.

    :ivar per_s: requests per second for which the controller gives permits.
    :ivar with_fallback: whether a VM sends without the controller.
    :ivar is_safe: whether the bound holds; not if it is lower than what one permit and
        the changes of the controller need.
    """

    __slots__ = ("is_safe", "per_s", "with_fallback")

    def __init__(self, *, per_s, with_fallback, is_safe):
        self.per_s = per_s
        self.with_fallback = with_fallback
        self.is_safe = is_safe


def cold_limit(cold_per_s, ratio, slack):
    """Returns the :class:`ColdLimit` whose worst sum stays within the bound.

    :param cold_per_s: requests per second that a cold server tolerates.
    :param ratio: factor on it in the bound.
    :param slack: requests that the bound allows in addition.
    """
    bound = cold_per_s * ratio + slack
    for with_fallback in (True, False):
        per_s = _highest_per_s(cold_per_s, bound, with_fallback)
        least = MIN_FRACTION_WITH_FALLBACK * cold_per_s if with_fallback else 0.0
        if per_s >= max(MIN_PER_S, least):
            return ColdLimit(per_s=per_s, with_fallback=with_fallback, is_safe=True)
    return ColdLimit(per_s=MIN_PER_S, with_fallback=False, is_safe=False)


def _highest_per_s(cold_per_s, bound, with_fallback):
    if worst_sum(cold_per_s, with_fallback=with_fallback) <= bound:
        return cold_per_s
    low, high = 0.0, cold_per_s
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if worst_sum(middle, with_fallback=with_fallback) <= bound:
            low = middle
        else:
            high = middle
    return low


def may_send(holder, now, per_s, *, may_send_alone):
    """Returns whether a request may be sent to a cold server now.

    :param holder: the VM's :class:`briarspoke.entry.permits.PermitHolder`.
    :param per_s: limit of the server.
    :param may_send_alone: whether this VM is the one that sends without the controller.
    """
    if may_send_alone:
        return holder.is_available(now, per_s, ALONE_SENDERS)
    return holder.has_permit(now)


class AskBudget:
    """Bounds how often one entry VM asks the controller for permits of cold servers.

    :ivar denied: number of requests for permits that were put off.
    """

    # For all entry VMs together, with the burst below.
    ASKS_PER_S = 900.0
    BURST = 100.0

    __slots__ = ("_refilled_at", "_tokens", "denied")

    def __init__(self):
        self._tokens = 0.0
        self._refilled_at = -math.inf
        self.denied = 0

    def take(self, now, vms, *, is_repeat):
        """Returns whether to ask now.

        :param vms: number of entry VMs.
        :param is_repeat: whether the controller was asked a short time ago. Repeats
            leave a turn to requests that nobody knows of yet.
        """
        burst = max(1.0, self.BURST / vms)
        new = max(0.0, now - self._refilled_at) * self.ASKS_PER_S / vms
        self._refilled_at = now
        self._tokens = min(burst, self._tokens + new)
        if self._tokens < (min(2.0, burst) if is_repeat else 1.0):
            self.denied += 1
            return False
        self._tokens -= 1.0
        return True
