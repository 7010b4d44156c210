"""Division of a service's capacity among entry VMs by the requests that arrive at each.

The load that this answers: callers that are spread unevenly over VMs and zones, and
move between them within seconds, while the servers have little free capacity. A
division by the number of VMs leaves capacity unused that callers of other VMs need.
"""

from __future__ import annotations

import math

# Time constant of the moving average of a VM's demand. Shares follow a change to two
# thirds within this time.
AVERAGING_S = 1.0
# Demand that is added to that of each VM, in requests per second. Without it, a VM with
# a few requests a second would get shares at random.
PRIOR_PER_S = 4.0
# A VM that has not reported for this long is given the equal share: three reports.
REPORT_MAX_AGE_S = 1.6
# Part of its equal share that a VM without any demand keeps, for callers that come.
MIN_SHARE = 0.25
# Largest share, relative to the equal share.
MAX_SHARE = 4.0
# Shares that are given beyond the equal share, relative to the sum of the equal shares.
# It is what a third of the VMs need that get all requests.
MAX_EXCESS = 0.5
# A share that was sent may be in force for this long: 1.5 s from when it was sent, by
# the clock of a VM that may be wrong about that by the time of its fastest message.
HOLD_S = 2.0
# Requests per slot above which capacity is scarce: VMs with less demand than others
# begin to get less than the equal share, and get the least at the second figure. Below,
# their share costs nobody anything.
SCARCE_UTILISATION = 0.6
MIN_SHARE_UTILISATION = 0.8
# Requests per slot above which an owner of keys has no free capacity.
FULL_OWNER_UTILISATION = 0.6
# The load of owners is known once reports have come for this long. A mean over less
# time is too uncertain to say that an owner has free capacity.
MIN_ESTIMATE_AGE_S = 1.5
# Shares are sent in steps of this size.
STEP = 1 / 16
# Differences from the equal share that are not worth sending.
MIN_DIFFERENCE = 1 / 8


class DemandEstimate:
    """Requests per second by entry VM and service, from the VMs' reports.

    Reports count from the start of the process, so that a lost one loses no requests.
    """

    __slots__ = ("_last_by_node", "_rates_by_node")

    def __init__(self):
        # Last report by node: (process, number, time, counts).
        self._last_by_node = {}
        self._rates_by_node = {}

    def add(self, node, process, number, count_by_service, now):
        """Adds a report. One that comes late or twice is ignored.

        :param node: name of the entry VM.
        :param process: random name of its process.
        :param number: number of the report, rising.
        :param count_by_service: ``{service: requests since the process started}``.
        """
        last = self._last_by_node.get(node)
        is_same_process = last is not None and last[0] == process
        if is_same_process and (number <= last[1] or now <= last[2]):
            return
        self._last_by_node[node] = (process, number, now, count_by_service)
        if not is_same_process:
            return
        age_s = now - last[2]
        weight = 1 - math.exp(-age_s / AVERAGING_S)
        rates = self._rates_by_node.setdefault(node, {})
        for service, count in count_by_service.items():
            if service not in last[3]:
                continue
            rate = max(0, count - last[3][service]) / age_s
            # The first rate counts whole.
            known = rates.get(service, rate)
            rates[service] = known + weight * (rate - known)

    def rate_by_node(self, service, now):
        """Returns ``{node: requests per second}`` of the VMs that have reported."""
        for node, (_, _, reported_at, _) in list(self._last_by_node.items()):
            if now - reported_at > REPORT_MAX_AGE_S:
                del self._last_by_node[node]
                self._rates_by_node.pop(node, None)
        return {
            node: rates[service]
            for node, rates in self._rates_by_node.items()
            if service in rates
        }


class Divider:
    """Divides the capacity of one service.

    At any time the shares beyond the equal share that may be in force add up to at most
    ``MAX_EXCESS`` times the number of VMs, whichever messages are lost, late or
    doubled: a VM that hears nothing has the equal share, and what was given within
    ``HOLD_S`` is not given to others. When the number of VMs falls, this holds after
    ``HOLD_S``.
    """

    __slots__ = ("_given",)

    def __init__(self):
        # [(time, {node: share above 1})], oldest first.
        self._given = []

    def divide(self, rate_by_node, *, vms, utilisation, now):
        """Returns ``{node: share}`` of the VMs whose share is not the equal one.

        :param rate_by_node: ``{node: requests per second}``; VMs that are not in it get
            the equal share.
        :param vms: number of entry VMs.
        :param utilisation: requests in the service's servers per slot.
        """
        self._given = [entry for entry in self._given if now - entry[0] <= HOLD_S]
        held = {}
        for _, share_by_node in self._given:
            for node, share in share_by_node.items():
                held[node] = max(held.get(node, 1.0), share)
        wanted = wanted_shares(rate_by_node, utilisation)
        excess = sum(max(0.0, share - 1.0) for share in wanted.values())
        scale = min(1.0, MAX_EXCESS * vms / excess) if excess > 0 else 1.0
        wanted = {
            node: 1.0 + scale * (share - 1.0) if share > 1.0 else share
            for node, share in wanted.items()
        }
        needed = sum(max(0.0, s - held.get(node, 1.0)) for node, s in wanted.items())
        free = MAX_EXCESS * vms - sum(share - 1.0 for share in held.values())
        granted = min(1.0, max(0.0, free) / needed) if needed > 0 else 0.0
        shares = {}
        for node, share in wanted.items():
            floor = held.get(node, 1.0)
            if share > floor:
                share = floor + granted * (share - floor)
            share = math.floor(share / STEP) * STEP
            if abs(share - 1.0) >= MIN_DIFFERENCE:
                shares[node] = share
        above = {node: share for node, share in shares.items() if share > 1.0}
        if above:
            self._given.append((now, above))
        return shares


def wanted_shares(rate_by_node, utilisation):
    """Returns ``{node: share}`` by demand alone, relative to the equal share.

    :param rate_by_node: ``{node: requests per second}``.
    :param utilisation: requests in the service's servers per slot.
    """
    if not rate_by_node:
        return {}
    mean = sum(rate_by_node.values()) / len(rate_by_node) + PRIOR_PER_S
    scarcity = (utilisation - SCARCE_UTILISATION) / (
        MIN_SHARE_UTILISATION - SCARCE_UTILISATION
    )
    scarcity = min(1.0, max(0.0, scarcity))
    wanted = {}
    for node, rate in rate_by_node.items():
        share = MIN_SHARE + (1 - MIN_SHARE) * (rate + PRIOR_PER_S) / mean
        if share < 1.0:
            share = 1.0 - scarcity * (1.0 - share)
        wanted[node] = min(MAX_SHARE, share)
    return wanted


def full_owners(records, candidates, recent_by_server, estimate_age_s):
    """Returns the identifiers of the owners of keys that have no free capacity.

    :param records: ``{server_instance: ServerRecord}`` of all servers.
    :param candidates: the :class:`briarspoke.keyspace.placement.Candidate` list of the
        usable ones, with loads.
    :param recent_by_server: ``{server_id: RecentAnswers}`` since the last call.
    :param estimate_age_s: seconds since the first report of their load.
    :returns: a frozenset, or None while the load is not known.
    """
    if estimate_age_s < MIN_ESTIMATE_AGE_S:
        return None
    with_room = {
        candidate.server_instance
        for candidate in candidates
        if candidate.utilisation <= FULL_OWNER_UTILISATION and not candidate.is_limited
    }
    return frozenset(
        instance[0]
        for instance in records
        if instance not in with_room
        or (
            (recent := recent_by_server.get(instance[0])) is not None
            and recent.rejections
        )
    )
