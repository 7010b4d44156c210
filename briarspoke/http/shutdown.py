"""Graceful shutdown of a router."""

from __future__ import annotations

import logging

from twisted.internet import defer, task

from briarspoke import codes
from briarspoke.http.callers import CLOSING_GRACE_S, LINGER_S
from briarspoke.http.delivery import hand_over

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02


class Shutdown:
    """Drains the in-flight requests of a router.

    :param router: the :class:`briarspoke.http.router.Router`.
    """

    __slots__ = ("_router", "_started_at")

    def __init__(self, router):
        self._router = router
        self._started_at = None

    @property
    def started(self):
        """Whether the shutdown has started, so that kept connections are closed."""
        return self._started_at is not None

    @property
    def in_grace_period(self):
        """Whether requests that were sent before the shutdown may still arrive."""
        return self._started_at is not None and (
            self._router.now() <= self._started_at + CLOSING_GRACE_S
        )

    @defer.inlineCallbacks
    def run(self, timeout_s):
        """Waits for in-flight requests, then ends the remaining ones and logs them.

        :param timeout_s: seconds to wait for in-flight requests.
        :returns: a Deferred of the number of requests that were ended.
        """
        router = self._router
        self._started_at = router.now()
        yield self._wait_while(self._has_work, timeout_s)
        remaining = list(router.proxied_requests)
        for proxied in remaining:
            log.warning(
                "router: request %s was interrupted by the shutdown", proxied.request_id
            )
            proxied.interrupt(codes.SHUTTING_DOWN)
        for channel in list(router.channels):
            channel.linger()
        # The last answers are still in write buffers.
        yield self._wait_while(lambda: router.channels, LINGER_S)
        for channel in list(router.channels):
            # A caller may still read slowly.
            hand_over(channel.transport)
        for pool in router.pools():
            pool.close()
        return len(remaining)

    @defer.inlineCallbacks
    def _wait_while(self, condition, timeout_s):
        router = self._router
        deadline = router.now() + timeout_s
        while condition() and router.now() < deadline:
            yield task.deferLater(router.reactor, POLL_INTERVAL_S, lambda: None)

    def _has_work(self):
        router = self._router
        return router.proxied_requests or (router.channels and self.in_grace_period)
