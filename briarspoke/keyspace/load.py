"""Requests by key, counted in buckets of neighbouring keys."""

from __future__ import annotations

# A single key can bring more load than any server carries beside others, so each key
# is counted alone.
KEYS_PER_BUCKET = 1
# Time in which a count loses half of its weight. A server of 5 requests/s is seen
# with an error of a quarter; a shorter time moves keys for noise.
HALF_LIFE_S = 2.0
# Buckets below this rate, in requests per second, are forgotten.
LEAST_RATE = 0.02


# Weight of one answer in the mean service time of its server.
SERVICE_TIME_WEIGHT = 0.1
# Requests in a server per slot from which its answers show its queue, not its speed.
QUEUEING = 0.6


class LoadCounts:
    """Requests and answers of one service in one report.

    :param requests: ``{bucket: requests}``.
    :param latencies: ``{server_id: (answers, seconds in sum)}``.
    """

    __slots__ = ("latencies", "requests")

    def __init__(self, *, requests, latencies):
        self.requests = requests
        self.latencies = latencies


class KeyLoad:
    """Counts of one entry VM since its last report."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def _counts(self, service):
        counts = self._by_service.get(service)
        if counts is None:
            counts = LoadCounts(requests={}, latencies={})
            self._by_service[service] = counts
        return counts

    def count(self, service, key):
        """Counts a request."""
        requests = self._counts(service).requests
        bucket = key // KEYS_PER_BUCKET
        requests[bucket] = requests.get(bucket, 0) + 1

    def answered(self, service, server_id, seconds):
        """Counts an answer and the time that it took."""
        latencies = self._counts(service).latencies
        count, total = latencies.get(server_id, (0, 0.0))
        latencies[server_id] = (count + 1, total + seconds)

    def take(self):
        """Returns ``{service: LoadCounts}`` and begins anew."""
        taken, self._by_service = self._by_service, {}
        return taken


class LoadEstimate:
    """Rate of requests by bucket and speed of servers, of all entry VMs that report."""

    __slots__ = ("_at", "_latencies", "_service_s_by_server", "rate_by_bucket")

    def __init__(self):
        self.rate_by_bucket = {}
        self._at = None
        self._latencies = {}
        self._service_s_by_server = {}

    def add(self, counts, now):
        """Adds the :class:`LoadCounts` of one report."""
        self.decay(now)
        # A steady rate r adds up to r / (1 - decay) counts; this scales it to r.
        scale = 0.693 / HALF_LIFE_S
        for bucket, count in counts.requests.items():
            self.rate_by_bucket[bucket] = (
                self.rate_by_bucket.get(bucket, 0.0) + count * scale
            )
        for server_id, (count, total_s) in counts.latencies.items():
            known, known_s = self._latencies.get(server_id, (0, 0.0))
            self._latencies[server_id] = (known + count, known_s + total_s)

    def service_s(self, server_id):
        """Returns the time that a server takes without a queue, or None."""
        return self._service_s_by_server.get(server_id)

    def learn(self, busy_by_server):
        """Takes the reported times of servers over.

        A long time at a server with a queue says nothing about its speed.

        :param busy_by_server: requests in each server per slot.
        """
        reported, self._latencies = self._latencies, {}
        for server_id, (count, total_s) in reported.items():
            mean_s = total_s / count
            known = self._service_s_by_server.get(server_id)
            if known is None:
                self._service_s_by_server[server_id] = mean_s
            elif mean_s < known or busy_by_server.get(server_id, 0.0) < QUEUEING:
                weight = min(0.5, SERVICE_TIME_WEIGHT * count)
                self._service_s_by_server[server_id] += weight * (mean_s - known)

    def decay(self, now):
        """Lets old counts fade."""
        if self._at is not None and now > self._at:
            factor = 0.5 ** ((now - self._at) / HALF_LIFE_S)
            self.rate_by_bucket = {
                bucket: rate * factor
                for bucket, rate in self.rate_by_bucket.items()
                if rate * factor > LEAST_RATE
            }
        self._at = now if self._at is None else max(self._at, now)
