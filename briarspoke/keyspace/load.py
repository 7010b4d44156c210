"""Request counts and rates by key, in buckets of neighbouring keys."""

from __future__ import annotations

import math

# A single key can have so much load that its server has no capacity for other keys,
# so each key is counted separately.
KEYS_PER_BUCKET = 1
# Time constant of the moving average of rates. The load of a server with 5 requests/s
# is estimated with an error of a quarter; a shorter time would move keys because of
# noise.
AVERAGING_S = 2.9
# Time constant of the average by which keys are divided evenly. The load of a server
# with 5 requests/s is then known to about an eighth, while callers that move between
# zones or keys still count in time.
STEADY_AVERAGING_S = 12.0
# A new estimate is the plain mean since its first report, so that overloaded servers
# are known soon. Until this time it is too low instead of too noisy.
MIN_AVERAGING_S = 0.75
# Rates are decayed at most this often. A decay takes 2 ms for 19,000 buckets, and 93
# entry VMs send 372 reports a second, more than a VM with 0.3 of a core can decay for.
DECAY_INTERVAL_S = 0.1
# Buckets below this rate, in requests per second, are dropped.
MIN_RATE = 0.02

# Weight of one answer in the mean service time of its server.
SERVICE_TIME_WEIGHT = 0.1
# Largest weight of all answers that are reported together.
MAX_UPDATE_WEIGHT = 0.5
# At this utilisation (requests in the server per slot) and above, the response times
# of a server show the length of its queue and not its speed.
QUEUEING_UTILISATION = 0.6


class LoadCounts:
    """Requests and answers of one service in one report.

    :param requests: ``{bucket: requests}``.
    :param latencies: ``{server_id: (weight of the answers, weighted seconds)}``.
    :param rejections: ``{server_id: requests that a full server has rejected}``.
    """

    __slots__ = ("latencies", "rejections", "requests")

    def __init__(self, *, requests, latencies, rejections):
        self.requests = requests
        self.latencies = latencies
        self.rejections = rejections


class KeyLoad:
    """Request and answer counts of one entry VM since its last report."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def _counts(self, service):
        counts = self._by_service.get(service)
        if counts is None:
            counts = LoadCounts(requests={}, latencies={}, rejections={})
            self._by_service[service] = counts
        return counts

    def count(self, service, key):
        """Counts a request."""
        requests = self._counts(service).requests
        bucket = key // KEYS_PER_BUCKET
        requests[bucket] = requests.get(bucket, 0) + 1

    def answered(self, service, server_id, seconds, weight):
        """Counts an answer and the time that it took.

        :param weight: how much the answer tells about the server's speed, 0 to 1.
        """
        latencies = self._counts(service).latencies
        total_weight, total_s = latencies.get(server_id, (0.0, 0.0))
        latencies[server_id] = (total_weight + weight, total_s + weight * seconds)

    def rejected(self, service, server_id):
        """Counts a request that a server rejected because it was full."""
        rejections = self._counts(service).rejections
        rejections[server_id] = rejections.get(server_id, 0) + 1

    def take(self):
        """Returns ``{service: LoadCounts}`` and resets the counts."""
        taken, self._by_service = self._by_service, {}
        return taken


class RecentAnswers:
    """Answers and rejections of one server since the last look."""

    __slots__ = ("_total_s", "_weight", "rejections")

    def __init__(self):
        self.rejections = 0
        self._weight = 0.0
        self._total_s = 0.0

    def add_answers(self, weight, total_s):
        """Adds answers.

        :param weight: sum of their weights.
        :param total_s: weighted sum of their times in seconds.
        """
        self._weight += weight
        self._total_s += total_s

    @property
    def count(self):
        """Weight of the answers, which is their number if all tell the same."""
        return self._weight

    @property
    def mean_s(self):
        """Mean time of an answer in seconds, or None without answers."""
        return self._total_s / self._weight if self._weight > 0 else None


class LoadEstimate:
    """Request rate by bucket and service time by server, from all entry VMs' reports.

    :ivar rate_by_bucket: ``{bucket: requests per second}``.
    :ivar steady_rate_by_bucket: the same, averaged over ``STEADY_AVERAGING_S``.
    """

    __slots__ = (
        "_decayed_at",
        "_latencies",
        "_recent_by_server",
        "_service_s_by_server",
        "_started_at",
        "rate_by_bucket",
        "steady_rate_by_bucket",
    )

    def __init__(self):
        self.rate_by_bucket = {}
        self.steady_rate_by_bucket = {}
        self._started_at = None
        self._decayed_at = None
        self._latencies = {}
        self._service_s_by_server = {}
        self._recent_by_server = {}

    def add(self, counts, now):
        """Adds the :class:`LoadCounts` of one report."""
        if self._started_at is None:
            self._started_at = now
        self.decay(now)
        # Decayed counts of a steady rate r add up to r times the averaging time.
        scale = 1 / self.averaging_s(now)
        steady_scale = 1 / self.steady_averaging_s(now)
        rates, steady_rates = self.rate_by_bucket, self.steady_rate_by_bucket
        for bucket, count in counts.requests.items():
            rates[bucket] = rates.get(bucket, 0.0) + count * scale
            steady_rates[bucket] = steady_rates.get(bucket, 0.0) + count * steady_scale
        for server_id, (weight, total_s) in counts.latencies.items():
            known, known_s = self._latencies.get(server_id, (0.0, 0.0))
            self._latencies[server_id] = (known + weight, known_s + total_s)
            self._recent(server_id).add_answers(weight, total_s)
        for server_id, count in counts.rejections.items():
            self._recent(server_id).rejections += count

    def age_s(self, now):
        """Returns the seconds since the first report, 0 before it."""
        return 0.0 if self._started_at is None else now - self._started_at

    def averaging_s(self, now):
        """Returns the seconds over which the rates are averaged."""
        return min(AVERAGING_S, self._age_s(now))

    def steady_averaging_s(self, now):
        """Returns the seconds over which the steady rates are averaged."""
        return min(STEADY_AVERAGING_S, self._age_s(now))

    def _age_s(self, now):
        age_s = 0.0 if self._started_at is None else now - self._started_at
        return max(MIN_AVERAGING_S, age_s)

    def _recent(self, server_id):
        return self._recent_by_server.setdefault(server_id, RecentAnswers())

    def take_recent_answers(self):
        """Returns ``{server_id: RecentAnswers}`` since the last call."""
        recent, self._recent_by_server = self._recent_by_server, {}
        return recent

    def service_s(self, server_id):
        """Returns the service time of a server without a queue in seconds, or None."""
        return self._service_s_by_server.get(server_id)

    def update_service_times(self, utilisation_by_server, assumed_s):
        """Updates the service times of servers from the reported times.

        A longer time is ignored at a server with a queue, where it does not show the
        speed of the server.

        :param utilisation_by_server: ``{server_id: requests in the server per slot}``.
        :param assumed_s: service time of a server that has not answered before. The
            first answers are those of short requests, and say little.
        """
        reported, self._latencies = self._latencies, {}
        times = self._service_s_by_server
        for server_id, (answer_weight, total_s) in reported.items():
            if answer_weight <= 0:
                continue
            mean_s = total_s / answer_weight
            known_s = times.setdefault(server_id, assumed_s)
            if (
                mean_s < known_s
                or utilisation_by_server.get(server_id, 0.0) < QUEUEING_UTILISATION
            ):
                weight = min(MAX_UPDATE_WEIGHT, SERVICE_TIME_WEIGHT * answer_weight)
                times[server_id] += weight * (mean_s - known_s)

    def decay(self, now):
        """Reduces the weight of earlier counts by the time since the last call."""
        if self._started_at is None:
            return
        if self._decayed_at is None:
            self._decayed_at = now
        elif now >= self._decayed_at + DECAY_INTERVAL_S:
            idle_s = now - self._decayed_at
            self.rate_by_bucket = _decayed(
                self.rate_by_bucket, math.exp(-idle_s / self.averaging_s(now))
            )
            self.steady_rate_by_bucket = _decayed(
                self.steady_rate_by_bucket,
                math.exp(-idle_s / self.steady_averaging_s(now)),
            )
            self._decayed_at = now


def _decayed(rate_by_bucket, factor):
    return {
        bucket: rate * factor
        for bucket, rate in rate_by_bucket.items()
        if rate * factor > MIN_RATE
    }
