"""Requests that wait during an owner change of their partition."""

from __future__ import annotations

import collections

# A handover normally takes milliseconds; no request waits for longer than this.
MAX_HANDOVER_WAIT_S = 1.0
# One of the requests that wait for a partition is retried at this interval, because
# this node is not notified when a grant arrives at the server.
PROBE_INTERVAL_S = 0.025
MAX_WAITING_PER_PARTITION = 256
# Requests of one partition that are sent at a wake-up and at each tick after it. All
# of them together would fill the queue of the new owner, which would refuse them.
WAKE_BATCH_SIZE = 4


class _PartitionQueue:
    __slots__ = ("entries", "is_served", "probe_at")

    def __init__(self, *, probe_at):
        self.entries = collections.OrderedDict()
        self.probe_at = probe_at
        # Whether the partition was served after the last request was added.
        self.is_served = False

    def take(self, count):
        """Removes and returns the requests that have waited longest."""
        count = min(count, len(self.entries))
        return [self.entries.popitem(last=False)[0] for _ in range(count)]


class HandoverQueue:
    """Queues requests by partition until its owner can run them.

    Requests are any hashable objects; times are monotonic seconds.
    """

    __slots__ = ("_queues_by_partition",)

    def __init__(self):
        self._queues_by_partition = {}

    def park(self, partition, request, until, now):
        """Queues a request and returns whether the queue had space for it.

        :param partition: any hashable identifier of the partition.
        :param until: time at which the request stops waiting.
        """
        queue = self._queues_by_partition.get(partition)
        if queue is None:
            queue = _PartitionQueue(probe_at=now + PROBE_INTERVAL_S)
            self._queues_by_partition[partition] = queue
        if len(queue.entries) >= MAX_WAITING_PER_PARTITION:
            return False
        queue.entries[request] = until
        queue.is_served = False
        return True

    def wake(self, partition):
        """Returns the first requests to send to a partition that is served now.

        The others follow with the next ticks, unless a request is queued again.
        """
        queue = self._queues_by_partition.get(partition)
        if queue is None:
            return []
        queue.is_served = True
        first = queue.take(WAKE_BATCH_SIZE)
        if not queue.entries:
            del self._queues_by_partition[partition]
        return first

    def forget(self, partition, request):
        """Removes a request that has ended."""
        queue = self._queues_by_partition.get(partition)
        if queue is not None:
            queue.entries.pop(request, None)
            if not queue.entries:
                del self._queues_by_partition[partition]

    def is_waiting(self, partition):
        """Returns whether requests wait for a partition."""
        return partition in self._queues_by_partition

    def partitions(self):
        """Returns the partitions that requests wait for."""
        return list(self._queues_by_partition)

    def tick(self, now):
        """Returns (requests to send, requests whose wait has expired)."""
        to_try, expired = [], []
        for partition, queue in list(self._queues_by_partition.items()):
            for request, until in list(queue.entries.items()):
                if until <= now:
                    del queue.entries[request]
                    expired.append(request)
            if queue.is_served:
                to_try += queue.take(WAKE_BATCH_SIZE)
            elif queue.probe_at <= now:
                queue.probe_at = now + PROBE_INTERVAL_S
                to_try += queue.take(1)
            if not queue.entries:
                del self._queues_by_partition[partition]
        return to_try, expired
