"""Decides when a second copy of a slow request may be sent.

The load that this answers: a service without keys whose answers have a heavy tail, such
as 3% that take seven times as long, while the servers have free capacity. A copy is an
additional arrival, so it is sent only where free capacity is known, and only in
proportion to the requests that this entry VM has got itself.
"""

from __future__ import annotations

import math

from briarspoke.entry.budget import WindowCounter
from briarspoke.entry.servicetimes import RecentTimes

# Copies that an entry VM may save up while no request is slow. With two requests a
# second and 2%, it earns a copy in 25 s. A window of 10 s would allow it none, and one
# of 60 s left 45% of the copies unused in a simulation of 93 VMs, as slow requests come
# at random. Bursts are limited by the retry budget, which has a short window.
MAX_SAVED_COPIES = 4
# Window in which requests are counted for the part of them that may get a copy.
RATE_WINDOW_S = 60.0
# Requests that are slow enough for a copy, per copy that is allowed. A copy that is due
# is often not sent, so without more than one, some of the copies would not be used.
SLOW_PER_COPY = 1.5
# Answers that must have been recorded before their quantiles are used. With fewer, the
# 95th percentile would be the largest time.
MIN_RECENT_TIMES = 20
# Largest fraction of a route's requests that are slow enough for a copy, also where
# the limit on copies would allow more.
MAX_SLOW_FRACTION = 0.05
# Quantile of the time that a copy needs, which must remain of the latency objective.
COPY_TIME_QUANTILE = 0.9
# Utilisation of the servers above which no copies are sent.
MAX_UTILISATION = 0.7
# Time constant of the mean number of requests in flight. A sudden load of three times
# the slots exceeds the maximum utilisation after 0.6 s, a single slow request does not.
IN_FLIGHT_TIME_CONSTANT_S = 2.0
# No copies are sent for this long after a server has rejected a request as full.
REJECTION_PAUSE_S = 1.0

# Reasons against a copy that say that capacity is short.
CAPACITY_REASONS = frozenset({"queue", "busy", "rejected"})

# Function that returns whether there is the reason, by reason, in order.
_rules = {}


def _register_rule(reason):
    def register(function):
        _rules[reason] = function
        return function

    return register


class Situation:
    """What is known when a copy of a request is due.

    :param now: monotonic seconds.
    :param is_stopping: whether the process stops.
    :param attempts: attempts of the request so far.
    :param max_attempts: the most that its route allows.
    :param has_failed: whether an earlier attempt may have run and failed.
    :param time_left_s: seconds until the time limit of the request.
    :param waiting: requests that wait for a server of the service at this entry VM.
    :param in_flight: requests of this entry VM in flight at usable servers.
    :param in_flight_limit: the most that this entry VM may have in flight there.
    :param slots: this entry VM's share of the slots of usable servers.
    :param reported_utilisation: mean of what usable servers report, 0 if none does.
    """

    __slots__ = (
        "attempts",
        "has_failed",
        "in_flight",
        "in_flight_limit",
        "is_stopping",
        "max_attempts",
        "now",
        "reported_utilisation",
        "slots",
        "time_left_s",
        "waiting",
    )

    def __init__(
        self,
        *,
        now,
        is_stopping,
        attempts,
        max_attempts,
        has_failed,
        time_left_s,
        waiting,
        in_flight,
        in_flight_limit,
        slots,
        reported_utilisation=0.0,
    ):
        self.now = now
        self.is_stopping = is_stopping
        self.attempts = attempts
        self.max_attempts = max_attempts
        self.has_failed = has_failed
        self.time_left_s = time_left_s
        self.waiting = waiting
        self.in_flight = in_flight
        self.in_flight_limit = in_flight_limit
        self.slots = slots
        self.reported_utilisation = reported_utilisation


class HedgeBudget:
    """Limits the copies of one service at one entry VM.

    Each request that this VM has got itself adds ``share`` to a credit, and each copy
    takes 1 from it. Since the start of the process, there are thus at most ``share``
    copies per request at this VM and over all VMs, whatever number of VMs each assumes.
    """

    __slots__ = ("_credit",)

    def __init__(self):
        self._credit = 0.0

    def count_request(self, share):
        """Counts a caller's request.

        :param share: copies per request.
        """
        self._credit = min(MAX_SAVED_COPIES, self._credit + share)

    def allows(self):
        """Returns whether one more copy is within the limit."""
        return self._credit >= 1

    def spend(self):
        """Counts a copy."""
        self._credit -= 1


class MeanInFlight:
    """Mean number of requests in flight, in which recent ones weigh most."""

    __slots__ = ("_count", "_mean", "_updated_at")

    def __init__(self):
        self._count = 0
        self._mean = 0.0
        self._updated_at = None

    def update(self, count, now):
        """Notes that the number of requests in flight has changed.

        :param count: the number from now on.
        """
        self._mean = self.value(now)
        self._updated_at = now
        self._count = count

    def value(self, now):
        """Returns the mean."""
        if self._updated_at is None:
            return 0.0
        elapsed_s = max(0.0, now - self._updated_at)
        weight = 1 - math.exp(-elapsed_s / IN_FLIGHT_TIME_CONSTANT_S)
        return self._mean + weight * (self._count - self._mean)


class _RouteTimes:
    """Times of one route's answers and requests."""

    __slots__ = ("recent", "requests")

    def __init__(self):
        self.recent = RecentTimes()
        self.requests = WindowCounter(window_s=RATE_WINDOW_S)


class Hedging:
    """Decides on copies for one service without keys at one entry VM.

    It starts with nothing requested and nothing spent.

    :ivar in_flight: the :class:`MeanInFlight`.
    """

    __slots__ = ("_budget", "_rejected_at", "_requests", "_times_by_route", "in_flight")

    def __init__(self):
        self.in_flight = MeanInFlight()
        self._budget = HedgeBudget()
        self._requests = WindowCounter(window_s=RATE_WINDOW_S)
        self._times_by_route = {}
        self._rejected_at = -math.inf

    def _times(self, route):
        return self._times_by_route.setdefault(route, _RouteTimes())

    def count_request(self, now, share):
        """Counts a caller's request to the service.

        :param share: copies per request.
        """
        self._budget.count_request(share)
        self._requests.add(now)

    def count_hedgeable(self, route, now):
        """Counts a request that may get a copy.

        :param route: name of the route.
        """
        self._times(route).requests.add(now)

    def record_answer(self, route, seconds, now):
        """Records the time of an answer."""
        self._times(route).recent.record(seconds, now)

    def record_unfinished(self, route, seconds, now, share):
        """Records that an attempt was abandoned for the answer to another one.

        Its answer would have taken longer. That tells something about the delay only if
        the attempt has already taken that long.
        """
        delay_s = self.delay_s(route, now, share=share)
        if delay_s is not None and seconds >= delay_s:
            self._times(route).recent.record(seconds, now)

    def record_rejection(self, now):
        """Notes that a server has rejected a request because it is full."""
        self._rejected_at = now

    def was_rejected(self, now):
        """Returns whether a server has rejected a request a short time ago."""
        return now - self._rejected_at < REJECTION_PAUSE_S

    def delay_s(self, route, now, *, share, objective_s=math.inf, expected_s=0.0):
        """Returns after how many seconds a request gets a copy.

        Somewhat more requests take longer than copies are allowed. If the copy would
        then come too late for the latency objective, it is sent earlier, but never
        before the mean. A server that has said that it is slow gets no more time than
        that.

        :param route: name of the route.
        :param share: copies per request of the service.
        :param objective_s: what remains of the latency objective.
        :param expected_s: time after which the answer is expected by what the server
            has said about its load, 0 if that is not known.
        :returns: None while the route's answer times are not known.
        """
        times = self._times(route)
        recent = times.recent
        recent.expire(now)
        if len(recent) < MIN_RECENT_TIMES:
            return None
        hedgeable = max(1, times.requests.total(now))
        allowed = share * max(1.0, self._requests.total(now) / hedgeable)
        slow_fraction = min(MAX_SLOW_FRACTION, SLOW_PER_COPY * allowed)
        delay_s = recent.quantile_s(1 - slow_fraction)
        latest_s = objective_s - recent.quantile_s(COPY_TIME_QUANTILE)
        if expected_s >= delay_s:
            return recent.mean_s
        return max(recent.mean_s, min(delay_s, latest_s))

    def why_not(self, situation, route):
        """Returns the reason why a copy that is due is not sent, or None.

        :param situation: the :class:`Situation`.
        :param route: name of the route.
        """
        for reason, applies in _rules.items():
            if applies(self, situation, route):
                return reason
        return None

    def is_too_late(self, route, time_left_s):
        """Returns whether a copy would probably not be answered in time.

        :param route: name of the route.
        """
        return time_left_s <= self._times(route).recent.mean_s

    def has_credit(self):
        """Returns whether the limit on copies allows one more."""
        return self._budget.allows()

    def spend(self):
        """Counts a copy that is sent."""
        self._budget.spend()


@_register_rule("stopping")
def _is_stopping(hedging, situation, route):
    return situation.is_stopping


@_register_rule("failed")
def _has_failed(hedging, situation, route):
    # A request whose server may have ended under it must not reach two more at once.
    return situation.has_failed


@_register_rule("attempts")
def _has_no_attempts_left(hedging, situation, route):
    return situation.attempts >= situation.max_attempts


@_register_rule("late")
def _is_too_late(hedging, situation, route):
    return hedging.is_too_late(route, situation.time_left_s)


@_register_rule("queue")
def _is_waited_for(hedging, situation, route):
    return situation.waiting > 0


@_register_rule("rejected")
def _was_rejected(hedging, situation, route):
    return hedging.was_rejected(situation.now)


@_register_rule("busy")
def _is_busy(hedging, situation, route):
    mean = hedging.in_flight.value(situation.now)
    return (
        mean >= MAX_UTILISATION * situation.slots
        or situation.in_flight >= MAX_UTILISATION * situation.in_flight_limit
        or situation.reported_utilisation >= MAX_UTILISATION
    )


@_register_rule("share")
def _exceeds_share(hedging, situation, route):
    return not hedging.has_credit()
