"""Decides how many requests for the keys of an overloaded owner are admitted.

The load that this answers: an owner with several times the requests that it can run,
for one key or for many, spread over many entry VMs. No VM sees more than a small part
of that load, and all of them together fill the owner's queue until it rejects what it
should run, or answers nearly all of it too late. The controller sees the whole load. It
tells each VM which fraction of the requests for the hottest keys to admit, and of those
for all other keys of the owner if they alone are too many, so that the owner's slots
stay busy and its queue stays short; the rest is refused at once.
"""

from __future__ import annotations

# Utilisation of an owner, in requests per slot, above which its hottest keys are
# limited, and below which the limits end.
OVERLOAD_UTILISATION = 1.15
RELIEVED_UTILISATION = 0.9
# Wanted latency at a limited owner, as a multiple of its service time without a queue.
# A request then usually waits when a slot becomes free, and few find a full queue.
WANTED_LATENCY_FACTOR = 1.85
# Fraction of rejected arrivals above which fewer requests are admitted.
MAX_REJECTED_FRACTION = 0.15
# Largest changes of the admitted rate in one step. Latency shows the effect of a change
# only after one service time, so the steps are small.
MAX_INCREASE = 0.06
MAX_DECREASE = 0.12
# Bounds of the admitted rate, relative to the slots divided by the service time.
MIN_RATE_FACTOR = 0.4
MAX_RATE_FACTOR = 1.6
# Keys of one owner that are limited one by one; others count as one load.
MAX_LIMITED_KEYS = 8
# The other keys are limited too if their requests exceed this fraction of the admitted
# rate. Below it, the rate without the hottest keys is one that the owner can run.
MAX_OTHERS_FRACTION = 0.9


class Admission:
    """Fractions of the requests for keys of overloaded owners that are admitted.

    :param by_key: ``{key: fraction}`` of the hottest keys.
    :param by_server: ``{server id: fraction}`` for all other keys of an owner.
    """

    __slots__ = ("by_key", "by_server")

    def __init__(self, *, by_key, by_server):
        self.by_key = by_key
        self.by_server = by_server

    def __bool__(self):
        return bool(self.by_key or self.by_server)


class OwnerLimit:
    """Admitted request rate of one overloaded owner.

    :ivar rate: requests per second that are admitted for all its keys.
    """

    __slots__ = ("_base_rate", "rate")

    def __init__(self, *, slots, service_s):
        self._base_rate = slots / service_s
        self.rate = self._base_rate

    def adjust(self, recent, service_s):
        """Changes the rate by the owner's latency and rejections since the last step.

        :param recent: the :class:`briarspoke.keyspace.load.RecentAnswers`, or None.
        :param service_s: service time of the owner without a queue, in seconds.
        """
        if recent is None:
            return
        change = 0.0
        if recent.mean_s is not None:
            wanted_s = WANTED_LATENCY_FACTOR * service_s
            change = (wanted_s - recent.mean_s) / wanted_s
        arrivals = recent.count + recent.rejections
        if recent.rejections > MAX_REJECTED_FRACTION * arrivals:
            change = -MAX_DECREASE
        self.rate *= 1 + max(-MAX_DECREASE, min(MAX_INCREASE, change))
        self.rate = min(
            MAX_RATE_FACTOR * self._base_rate,
            max(MIN_RATE_FACTOR * self._base_rate, self.rate),
        )


def divide_rate(rate, rate_by_key):
    """Divides an owner's admitted rate among its keys.

    Every key gets the same rate at most (max-min fairness), so that keys with few
    requests are not limited because of a hot one.

    :param rate: requests per second that the owner can run.
    :param rate_by_key: ``{key: requests per second}``.
    :returns: ``{key: fraction}`` of the limited keys, at most ``MAX_LIMITED_KEYS``.
    """
    total = sum(rate_by_key.values())
    if total <= rate:
        return {}
    hottest = sorted(rate_by_key, key=rate_by_key.get, reverse=True)
    candidates, others = hottest[:MAX_LIMITED_KEYS], hottest[MAX_LIMITED_KEYS:]
    others_rate = sum(rate_by_key[key] for key in others)
    # The other keys, which are not limited, must not take the share of the hottest.
    left = max(rate - others_rate, rate * (total - others_rate) / total)
    fractions = {}
    for position, key in enumerate(reversed(candidates)):
        share = left / (len(candidates) - position)
        admitted = min(rate_by_key[key], share)
        left -= admitted
        if admitted < rate_by_key[key]:
            fractions[key] = admitted / rate_by_key[key]
    return fractions


def others_fraction(rate, rate_by_key):
    """Returns which fraction of the requests for all but the hottest keys is admitted.

    :param rate: requests per second that the owner can run.
    :param rate_by_key: ``{key: requests per second}``.
    :returns: the fraction, or None if these requests are not limited.
    """
    total = sum(rate_by_key.values())
    hottest = sorted(rate_by_key.values(), reverse=True)[:MAX_LIMITED_KEYS]
    if total <= rate or total - sum(hottest) <= MAX_OTHERS_FRACTION * rate:
        return None
    return rate / total


class Allowances:
    """Limits of all overloaded owners of one service, kept by the controller."""

    __slots__ = ("_limits_by_instance",)

    def __init__(self):
        self._limits_by_instance = {}

    def plan(self, candidates, rates_by_instance, recent_by_server):
        """Returns the :class:`Admission` of the keys of all overloaded owners.

        :param candidates: the :class:`briarspoke.keyspace.placement.Candidate` list
            with loads.
        :param rates_by_instance: ``{server_instance: {key: requests per second}}``.
        :param recent_by_server: ``{server_id: RecentAnswers}`` since the last plan.
        """
        admission = Admission(by_key={}, by_server={})
        limits = {}
        for candidate in candidates:
            instance = candidate.server_instance
            limit = self._limits_by_instance.get(instance)
            threshold = OVERLOAD_UTILISATION if limit is None else RELIEVED_UTILISATION
            if candidate.utilisation < threshold:
                continue
            if limit is None:
                limit = OwnerLimit(slots=candidate.slots, service_s=candidate.latency_s)
            else:
                limit.adjust(recent_by_server.get(instance[0]), candidate.latency_s)
            limits[instance] = limit
            rate_by_key = rates_by_instance.get(instance, {})
            admission.by_key.update(divide_rate(limit.rate, rate_by_key))
            fraction = others_fraction(limit.rate, rate_by_key)
            # Permits already divide the rate of an owner that has a rate limit.
            if fraction is not None and not candidate.is_limited:
                admission.by_server[instance[0]] = fraction
        self._limits_by_instance = limits
        return admission
