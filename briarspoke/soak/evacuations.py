"""Checks that no requests arrive at the servers of an evacuated zone (EVAC)."""

from __future__ import annotations

import collections
import math

# No request may arrive later than this after the store acknowledged the evacuation.
# Shorter than the 5 s of deployments, so that a short run has several evacuations.
EVACUATION_S = 3.0
# An entry VM knows of an evacuation once its path to the store has worked for this long
# since the acknowledgement: configurations are in force after 2.5 s
# (docs/design/uneven-load.md).
TOLD_S = 2.5


class EvacuationChecks:
    """Records evacuations, and the arrivals that come too late in them.

    :param clock: function that returns the monotonic time in seconds.
    :param add_violation: called with a promise and a detail.
    """

    def __init__(self, *, clock, add_violation):
        self._clock = clock
        self._add_violation = add_violation
        # [time of the acknowledgement, end] of the last evacuation of each zone.
        self._evacuation_by_zone = {}
        self._zone_by_process = {}
        self._node_by_id = {}
        self._break_counts = collections.Counter()
        # [start, end] of the times in which an entry VM's path to the store is broken.
        self._breaks_by_node = collections.defaultdict(list)

    def process_started(self, process, zone):
        """Records the zone of a process of a server."""
        self._zone_by_process[process] = zone

    def zone_evacuated(self, zone):
        """Records that the store has acknowledged an evacuation."""
        self._evacuation_by_zone[zone] = [self._clock(), math.inf]

    def zone_returned(self, zone):
        """Records that an evacuation is about to be withdrawn."""
        self._evacuation_by_zone[zone][1] = self._clock()

    def path_broken(self, node):
        """Records that an entry VM does not reach the store, for one more reason."""
        self._break_counts[node] += 1
        if self._break_counts[node] == 1:
            self._breaks_by_node[node].append([self._clock(), math.inf])

    def path_restored(self, node):
        """Records that one of the reasons for which a path is broken has ended."""
        self._break_counts[node] -= 1
        if not self._break_counts[node]:
            self._breaks_by_node[node][-1][1] = self._clock()

    def request_sent(self, request_id, node):
        """Records that a caller sends a request.

        :param node: name of the entry VM.
        """
        self._node_by_id[request_id] = node

    def arrived(self, arrival):
        """Checks a :class:`~briarspoke.soak.arrivals.Arrival`."""
        zone = self._zone_by_process.get(arrival.process)
        acked_at, ended_at = self._evacuation_by_zone.get(zone, (math.inf, math.inf))
        if not acked_at + EVACUATION_S < arrival.at < ended_at:
            return
        node = self._node_by_id.get(arrival.request_id)
        if node is None or arrival.at <= self._told_at(node, acked_at):
            return
        self._add_violation(
            "EVAC: no request arrives in an evacuated zone",
            f"{arrival.request_id.decode()} at {arrival.process} in zone {zone} from "
            f"{node}, {arrival.at - acked_at:.3f} s after the acknowledgement",
        )

    def _told_at(self, node, acked_at):
        """Returns the time from which an entry VM must know of an evacuation.

        What it knew before its path broke stays in force.
        """
        told_at = acked_at + TOLD_S
        for start, end in self._breaks_by_node[node]:
            if end > acked_at and start < told_at:
                told_at = end + TOLD_S
        return told_at
