"""Requests that wait while their partition changes its owner."""

from __future__ import annotations

import collections

# A handover takes milliseconds; a caller is not held longer than this.
MAX_HANDOVER_WAIT_S = 1.0
# One of the requests that wait for a partition tries again this often, because a
# grant arrives at the server without a sign here.
PROBE_EVERY_S = 0.025
MAX_WAITING_PER_PARTITION = 256
# Of one partition, at a wake-up and at each tick after it; all at once would fill
# the queue of the new owner and be refused there.
SENT_AT_ONCE = 4


class _Waiting:
    __slots__ = ("entries", "is_served", "probe_at")

    def __init__(self, *, probe_at):
        self.entries = collections.OrderedDict()
        self.probe_at = probe_at
        # Whether the partition was served since a request began to wait.
        self.is_served = False

    def take(self, count):
        """Returns the requests that have waited longest."""
        count = min(count, len(self.entries))
        return [self.entries.popitem(last=False)[0] for _ in range(count)]


class HandoverQueue:
    """Holds requests per partition until its owner can run them.

    Requests are any hashable objects; times are monotonic seconds.
    """

    __slots__ = ("_waiting_by_partition",)

    def __init__(self):
        self._waiting_by_partition = {}

    def park(self, partition, request, until, now):
        """Takes a request and returns whether there is room for it.

        :param partition: any key of the partition.
        :param until: time at which the request is given up.
        """
        waiting = self._waiting_by_partition.get(partition)
        if waiting is None:
            waiting = _Waiting(probe_at=now + PROBE_EVERY_S)
            self._waiting_by_partition[partition] = waiting
        if len(waiting.entries) >= MAX_WAITING_PER_PARTITION:
            return False
        waiting.entries[request] = until
        waiting.is_served = False
        return True

    def wake(self, partition):
        """Returns the first requests to send to a partition that is served.

        The others follow with the next ticks, unless one has to wait again.
        """
        waiting = self._waiting_by_partition.get(partition)
        if waiting is None:
            return []
        waiting.is_served = True
        first = waiting.take(SENT_AT_ONCE)
        if not waiting.entries:
            del self._waiting_by_partition[partition]
        return first

    def forget(self, partition, request):
        """Drops a request that has ended."""
        waiting = self._waiting_by_partition.get(partition)
        if waiting is not None:
            waiting.entries.pop(request, None)
            if not waiting.entries:
                del self._waiting_by_partition[partition]

    def is_waiting(self, partition):
        """Returns whether requests wait for a partition."""
        return partition in self._waiting_by_partition

    def partitions(self):
        """Returns the partitions that requests wait for."""
        return list(self._waiting_by_partition)

    def tick(self, now):
        """Returns (requests to try, requests to give up)."""
        to_try, expired = [], []
        for partition, waiting in list(self._waiting_by_partition.items()):
            for request, until in list(waiting.entries.items()):
                if until <= now:
                    del waiting.entries[request]
                    expired.append(request)
            if waiting.is_served:
                to_try += waiting.take(SENT_AT_ONCE)
            elif waiting.probe_at <= now:
                waiting.probe_at = now + PROBE_EVERY_S
                to_try += waiting.take(1)
            if not waiting.entries:
                del self._waiting_by_partition[partition]
        return to_try, expired
