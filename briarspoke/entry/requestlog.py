"""Counters and log lines of requests that got no answer from a server."""

from __future__ import annotations

import logging

from briarspoke.entry import logs
from briarspoke.entry.logs import LogRateLimiter
from briarspoke.entry.serverlimits import format_limit

log = logging.getLogger(__name__)


class RequestLog:
    """Logs single requests at a limited rate.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._rate_limiter = LogRateLimiter(node.now)

    def log_result(self, code, exchange):
        """Counts and logs a request that got no answer from a server.

        :param code: the :class:`briarspoke.codes.ResultCode`.
        :param exchange: the exchange, or None if the request could not be read.
        """
        node = self._node
        node.metrics.count("refusals_total", code.number)
        if not self._rate_limiter.allows():
            return
        if exchange is None:
            log.info(
                "requests: rejected code=%d left_out=%d",
                code.number,
                self._take_left_out(),
            )
            return
        request = exchange.request
        server = None
        if exchange.dispatcher is not None:
            if exchange.running:
                server = exchange.running[0].server
            else:
                server = exchange.dispatcher.owner_of(exchange)
        contact = node.view.last_contact
        log.info(
            "requests: %s id=%s code=%d status=%d server_status=%s route=%s "
            "service=%s key=%s attempts=%d waited_ms=%d server=%s latency_ms=%d "
            "in_flight=%d queued=%d limit=%s "
            "configuration=%d store_age_ms=%d nodes=%d left_out=%d",
            code.name,
            logs.field(request.request_id.decode("latin-1")),
            code.number,
            code.http_status,
            exchange.server_status or "-",
            logs.field(exchange.route.name) if exchange.route else "-",
            logs.field(exchange.dispatcher.name) if exchange.dispatcher else "-",
            request.key if request.key is not None else "-",
            exchange.attempts,
            (node.now() - request.arrived_at) * 1000,
            server.record.server_id if server else "-",
            server.latency_s * 1000 if server else 0,
            server.in_flight if server else 0,
            len(server.waiting) if server else 0,
            format_limit(server.limit.per_s if server else None),
            node.configuration_version,
            -1 if contact is None else (node.now() - contact) * 1000,
            node.node_count,
            self._take_left_out(),
        )

    def log_attempt(self, attempt, reason):
        """Logs an attempt whose outcome is unknown.

        :param attempt: the :class:`briarspoke.entry.attempts.Attempt`.
        """
        exchange, server = attempt.exchange, attempt.server
        if self._rate_limiter.allows():
            log.info(
                "requests: attempt failed id=%s server=%s reason=%s after_ms=%d "
                "in_flight=%d attempts=%d left_out=%d",
                logs.field(exchange.request.request_id.decode("latin-1")),
                server.record.server_id,
                reason,
                (self._node.now() - attempt.sent_at) * 1000,
                server.in_flight,
                exchange.attempts,
                self._take_left_out(),
            )

    def _take_left_out(self):
        return self._rate_limiter.take_left_out()
