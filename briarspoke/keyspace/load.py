"""Request counts and rates by key, in buckets of neighbouring keys."""

from __future__ import annotations

# A single key can have so much load that its server has no capacity for other keys,
# so each key is counted separately.
KEYS_PER_BUCKET = 1
# Time after which a count has half of its weight. The load of a server with 5
# requests/s is estimated with an error of a quarter; a shorter time would move keys
# because of noise.
HALF_LIFE_S = 2.0
# Buckets below this rate, in requests per second, are dropped.
MIN_RATE = 0.02

# Weight of one answer in the mean service time of its server.
SERVICE_TIME_WEIGHT = 0.1
# At this utilisation (requests in the server per slot) and above, the response times
# of a server show the length of its queue and not its speed.
QUEUEING_UTILISATION = 0.6


class LoadCounts:
    """Requests and answers of one service in one report.

    :param requests: ``{bucket: requests}``.
    :param latencies: ``{server_id: (answers, total seconds)}``.
    """

    __slots__ = ("latencies", "requests")

    def __init__(self, *, requests, latencies):
        self.requests = requests
        self.latencies = latencies


class KeyLoad:
    """Request and answer counts of one entry VM since its last report."""

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
        """Returns ``{service: LoadCounts}`` and resets the counts."""
        taken, self._by_service = self._by_service, {}
        return taken


class LoadEstimate:
    """Request rate by bucket and service time by server, from all entry VMs' reports.

    :ivar rate_by_bucket: ``{bucket: requests per second}``.
    """

    __slots__ = ("_decayed_at", "_latencies", "_service_s_by_server", "rate_by_bucket")

    def __init__(self):
        self.rate_by_bucket = {}
        self._decayed_at = None
        self._latencies = {}
        self._service_s_by_server = {}

    def add(self, counts, now):
        """Adds the :class:`LoadCounts` of one report."""
        self.decay(now)
        # Decayed counts of a steady rate r add up to r * HALF_LIFE_S / ln(2).
        scale = 0.693 / HALF_LIFE_S
        for bucket, count in counts.requests.items():
            self.rate_by_bucket[bucket] = (
                self.rate_by_bucket.get(bucket, 0.0) + count * scale
            )
        for server_id, (count, total_s) in counts.latencies.items():
            known, known_s = self._latencies.get(server_id, (0, 0.0))
            self._latencies[server_id] = (known + count, known_s + total_s)

    def service_s(self, server_id):
        """Returns the service time of a server without a queue in seconds, or None."""
        return self._service_s_by_server.get(server_id)

    def update_service_times(self, utilisation_by_server):
        """Updates the service times of servers from the reported times.

        A longer time is ignored at a server with a queue, where it does not show the
        speed of the server.

        :param utilisation_by_server: ``{server_id: requests in the server per slot}``.
        """
        reported, self._latencies = self._latencies, {}
        for server_id, (count, total_s) in reported.items():
            mean_s = total_s / count
            known = self._service_s_by_server.get(server_id)
            if known is None:
                self._service_s_by_server[server_id] = mean_s
            elif (
                mean_s < known
                or utilisation_by_server.get(server_id, 0.0) < QUEUEING_UTILISATION
            ):
                weight = min(0.5, SERVICE_TIME_WEIGHT * count)
                self._service_s_by_server[server_id] += weight * (mean_s - known)

    def decay(self, now):
        """Reduces the weight of earlier counts by the time since the last call."""
        if self._decayed_at is not None and now > self._decayed_at:
            factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_S)
            self.rate_by_bucket = {
                bucket: rate * factor
                for bucket, rate in self.rate_by_bucket.items()
                if rate * factor > MIN_RATE
            }
        self._decayed_at = (
            now if self._decayed_at is None else max(self._decayed_at, now)
        )
