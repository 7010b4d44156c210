"""Sends second copies of slow requests, as :mod:`briarspoke.entry.hedging` decides.

The load that this answers: see there. This module knows the servers and the timers.
"""

from __future__ import annotations

import logging

from briarspoke.entry import logs
from briarspoke.entry.hedging import (
    CAPACITY_REASONS,
    MAX_UTILISATION,
    Hedging,
    Situation,
)
from briarspoke.entry.logs import LogRateLimiter
from briarspoke.entry.serverload import MAX_SLOWNESS, SPEED_AGE_S
from briarspoke.platform.load import USUAL_PERCENT

log = logging.getLogger(__name__)

# Traffic between zones is billed by the byte, so larger bodies are not copied to
# another zone. Requests that only look something up are smaller.
MAX_CROSS_ZONE_BODY_BYTES = 4096


class Reports:
    """What servers say about their load in their answers.

    A value is used for :data:`briarspoke.entry.serverload.MAX_AGE_S`, and the speed in
    it for :data:`briarspoke.entry.serverload.SPEED_AGE_S`.
    """

    def expected_s(self, server, now):
        """Returns after how many seconds a server would answer by its own report.

        :returns: 0.0 if there is no report that may be used.
        """
        load = server.load.current(now)
        if load is None:
            return 0.0
        present = load.running + load.waiting + server.load.sent_since
        expected_s = server.expected_s(now) * max(1.0, present / load.slots)
        if server.load.age_s(now) <= SPEED_AGE_S:
            expected_s *= min(MAX_SLOWNESS, load.percent / USUAL_PERCENT)
        return expected_s

    def utilisation(self, server, now):
        """Returns the fraction of a server's slots that it reports as in use, or None.

        Waiting requests count like running ones. The fraction is at most 1, so that a
        single false report does not suspend the copies of the whole service.
        """
        load = server.load.current(now)
        if load is None:
            return None
        present = load.running + load.waiting + server.load.sent_since
        return min(1.0, present / load.slots)


class Copies:
    """Copies of the requests of one service.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param dispatcher: the :class:`briarspoke.entry.dispatch.Dispatcher` of the service.
    """

    __slots__ = (
        "_dispatcher",
        "_hedging",
        "_is_suspended",
        "_lines",
        "_node",
        "last_delay_s",
        "reports",
    )

    def __init__(self, *, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher
        self._hedging = Hedging()
        # Whether the last copy that was due was not sent for lack of capacity.
        self._is_suspended = False
        self._lines = LogRateLimiter(node.now)
        self.reports = Reports()
        # Delay in seconds after which the latest request was to get a copy, or None.
        self.last_delay_s = None

    @property
    def share(self):
        """Copies that are allowed per request of the service."""
        share = self._node.settings.hedge_share
        # Called several times for each request, so the setting is looked at first.
        return share if share > 0 and not self._dispatcher.keyed else 0.0

    def _may_be_copied(self, exchange):
        route = exchange.route
        return route.idempotent and route.max_attempts > 1

    def count_request(self, exchange):
        """Counts a caller's request."""
        share = self.share
        if share <= 0:
            return
        now = self._node.now()
        self._hedging.count_request(now, share)
        if self._may_be_copied(exchange):
            self._hedging.count_hedgeable(exchange.route.name, now)

    def record_answer(self, exchange, seconds):
        """Records how long the answer to an attempt took."""
        if self.share > 0 and self._may_be_copied(exchange):
            self._hedging.record_answer(exchange.route.name, seconds, self._node.now())

    def record_abandoned(self, attempt):
        """Records that an attempt was abandoned for the answer to another one.

        :param attempt: the :class:`briarspoke.entry.attempts.Attempt`.
        """
        now = self._node.now()
        seconds = now - attempt.sent_at
        attempt.server.record_unfinished(seconds)
        route = attempt.exchange.route.name
        self._hedging.record_unfinished(route, seconds, now, self.share)

    def record_rejection(self):
        """Notes that a server has rejected a request because it is full."""
        self._hedging.record_rejection(self._node.now())

    def in_flight_changed(self):
        """Notes that an attempt has begun or ended."""
        if self.share > 0:
            servers = self._dispatcher.servers.values()
            in_flight = sum(server.in_flight for server in servers)
            self._hedging.in_flight.update(in_flight, self._node.now())

    def schedule(self, attempt):
        """Sets the time at which the request gets a copy, if it may get one.

        :param attempt: the :class:`briarspoke.entry.attempts.Attempt` that was sent.
        """
        exchange = attempt.exchange
        share = self.share
        if share <= 0 or exchange.has_copy or not self._may_be_copied(exchange):
            return
        now = attempt.sent_at
        delay_s = self._hedging.delay_s(
            exchange.route.name,
            now,
            share=share,
            objective_s=(
                exchange.request.arrived_at + exchange.route.objective_s - now
            ),
            expected_s=self.reports.expected_s(attempt.server, now),
        )
        if delay_s is None:
            return
        self.last_delay_s = delay_s
        if now + delay_s < exchange.expires_at:
            self._node.timers.add(now + delay_s, attempt)

    def send_due(self, attempt):
        """Sends a copy of a request that is due for one, unless something forbids it.

        :param attempt: the :class:`briarspoke.entry.attempts.Attempt` that is slow.
        """
        exchange = attempt.exchange
        if not attempt.is_running or exchange.has_copy or self.share <= 0:
            return
        now = self._node.now()
        usable = self._dispatcher.selection.usable()
        reason = self._hedging.why_not(
            self._situation(exchange, usable, now), exchange.route.name
        )
        server = None
        if reason is None and not self._node.crashes.may_copy(exchange.request):
            reason = "crash"
        if reason is None:
            server = self._choose(exchange, now)
            if server is None:
                reason = "no-server"
            elif not self._dispatcher.budget.spend_copy(now):
                reason = "retry-budget"
        self._log_capacity(reason, len(usable), now)
        if reason is not None:
            self._node.metrics.count("hedges_denied_total", reason)
            return
        self._hedging.spend()
        self._node.metrics.count("hedges_total", "sent")
        exchange.send_copy(server)

    def _situation(self, exchange, usable, now):
        selection = self._dispatcher.selection
        slots = sum(server.record.slots for server in usable)
        reported = [self.reports.utilisation(server, now) for server in usable]
        known = [utilisation for utilisation in reported if utilisation is not None]
        return Situation(
            now=now,
            is_stopping=self._node.stopping,
            attempts=exchange.attempts,
            max_attempts=exchange.route.max_attempts,
            has_failed=exchange.unknown_outcome_code is not None,
            time_left_s=exchange.expires_at - now,
            waiting=len(self._dispatcher.waiting),
            in_flight=sum(server.in_flight for server in usable),
            in_flight_limit=selection.service_limit(usable),
            slots=slots / max(1, self._node.node_count) * selection.share,
            reported_utilisation=sum(known) / len(known) if known else 0.0,
        )

    def _choose(self, exchange, now):
        addresses = {(s.record.host, s.record.port) for s in exchange.tried}
        zone = self._node.settings.zone
        is_large = len(exchange.request.body) > MAX_CROSS_ZONE_BODY_BYTES
        time_left_s = exchange.expires_at - now

        def accepts(server):
            record = server.record
            utilisation = self.reports.utilisation(server, now)
            return (
                now >= server.warmed_up_at
                and not server.is_failing
                # Its permits are for requests that have not been sent yet.
                and server.limit.per_s is None
                and (record.host, record.port) not in addresses
                and not (is_large and record.zone != zone)
                and server.expected_s(now) < time_left_s
                and (utilisation is None or utilisation < MAX_UTILISATION)
            )

        return self._dispatcher.selection.choose(exchange, accepts=accepts)

    def _log_capacity(self, reason, usable_count, now):
        is_suspended = reason in CAPACITY_REASONS
        if is_suspended == self._is_suspended:
            return
        if reason is not None and not is_suspended:
            # It is not known whether there is capacity again.
            return
        self._is_suspended = is_suspended
        if self._lines.allows():
            log.info(
                "hedging: %s service=%s reason=%s mean_in_flight=%s servers=%d",
                "suspended" if is_suspended else "resumed",
                logs.field(self._dispatcher.name),
                reason or "-",
                round(self._hedging.in_flight.value(now), 1),
                usable_count,
            )
