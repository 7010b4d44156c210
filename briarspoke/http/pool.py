"""Pools of connections to one address each."""

from __future__ import annotations

import collections
import logging

from twisted.internet import protocol

from briarspoke import codes
from briarspoke.http.probe import is_quiet
from briarspoke.http.upstream import UpstreamConnection
from briarspoke.retry.policy import Attempt, Outcome

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# An idle connection may be closed by the server at any moment; closing it
# first avoids requests whose outcome would be unknown.
IDLE_TIMEOUT_S = 20.0
DISCARD_TIMEOUT_S = 1.0
# A close may be on its way when a request is written, so a request that must not
# run twice uses a connection only within this part of the time after which the
# server was last seen to close idle ones.
SAFE_IDLE_FRACTION = 0.5
MAX_RECORDED_CLOSES = 16
# After a restart, which closes connections of any age, the pool must come to
# trust them again.
CLOSE_RECORD_TTL_S = 60.0


class _UpstreamFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, address):
        return UpstreamConnection(self.pool)

    def clientConnectionFailed(self, connector, reason):
        self.pool.connect_failed(reason)


class IdleCloseHistory:
    """After what idle time the other side has lately closed connections."""

    __slots__ = ("_idle_times_s", "_last_close_at")

    def __init__(self):
        self._idle_times_s = collections.deque(maxlen=MAX_RECORDED_CLOSES)
        self._last_close_at = 0.0

    def record(self, idle_s, now):
        """Notes a connection that was closed after a time of idleness."""
        self._idle_times_s.append(idle_s)
        self._last_close_at = now

    def is_safe(self, idle_s, now):
        """Returns whether a connection is most likely not being closed."""
        if self._idle_times_s and now - self._last_close_at > CLOSE_RECORD_TTL_S:
            self._idle_times_s.clear()
        return not self._idle_times_s or idle_s < SAFE_IDLE_FRACTION * min(
            self._idle_times_s
        )


class ConnectionPool:
    """Connections to one address.

    :param maximum: connections the other side accepts.
    :param clock: function that returns monotonic seconds.
    :param unreachable: result code of a connect that failed.
    """

    def __init__(
        self,
        *,
        reactor,
        host,
        port,
        maximum,
        clock,
        unreachable=codes.OWNER_UNREACHABLE,
    ):
        self.host = host
        self.port = port
        self.maximum = maximum
        self.connections = set()
        self.closed = False
        self._reactor = reactor
        self._clock = clock
        self._unreachable_code = unreachable
        self._idle = collections.deque()
        self._waiters = collections.deque()
        self._discarding = {}
        self._idle_close_history = IdleCloseHistory()
        self._connecting = 0
        self._factory = _UpstreamFactory(self)
        self._address = f"{host}:{port}"
        self.host_header = self._address.encode()

    def __str__(self):
        return self._address

    def acquire(self, waiter, *, idempotent=True):
        """Hands a connection to the waiter, at once if one is idle.

        :param idempotent: False for a request that must not run twice, which
            gets no connection that the other side may be closing.

        The waiter has ``connected(connection)``, ``attempt_failed(attempt)`` and
        ``done``.
        """
        while self._idle:
            if not idempotent and not self._is_safe(self._idle[-1]):
                if len(self.connections) + self._connecting >= self.maximum:
                    self._drop(self._idle.popleft())
                break
            # The most recently used one is the least likely to be closed.
            connection = self._idle.pop()
            if not connection.reusable:
                continue
            if is_quiet(connection.transport):
                waiter.connected(connection)
                return
            # Closed by the server, but the event loop has not reported it yet.
            self._record_close(connection)
            self._drop(connection)
        if len(self.connections) + self._connecting >= self.maximum:
            waiter.attempt_failed(
                Attempt(
                    outcome=Outcome.NOT_RUN,
                    reason="no-connection",
                    code=codes.NO_CONNECTION_FREE,
                )
            )
            return
        self._waiters.append(waiter)
        self._connecting += 1
        self._reactor.connectTCP(
            self.host, self.port, self._factory, timeout=CONNECT_TIMEOUT_S
        )

    def _is_safe(self, connection):
        now = self._clock()
        return self._idle_close_history.is_safe(now - connection.idle_since, now)

    def _record_close(self, connection):
        now = self._clock()
        self._idle_close_history.record(now - connection.idle_since, now)

    def _drop(self, connection):
        # Counts no longer, so that a new connection can take its place at once.
        self.connections.discard(connection)
        connection.abort()

    def close_idle(self, now):
        """Closes connections that were idle or discarding for too long."""
        while self._idle and now - self._idle[0].idle_since > IDLE_TIMEOUT_S:
            self._idle.popleft().abort()
        for connection, since in list(self._discarding.items()):
            if now - since > DISCARD_TIMEOUT_S:
                connection.abort()

    def close(self):
        """Closes idle connections now and the others after their exchange."""
        self.closed = True
        while self._idle:
            self._idle.popleft().abort()

    # Called by connections and their listeners.

    def connection_made(self, connection):
        self._connecting -= 1
        self.connections.add(connection)
        self.put_back(connection)

    def connect_failed(self, reason):
        self._connecting -= 1
        if self._waiters:
            self._waiters.popleft().attempt_failed(
                Attempt(
                    outcome=Outcome.NOT_RUN,
                    reason="connect-failed",
                    code=self._unreachable_code,
                )
            )

    def exchange_ended(self, connection, *, aborted=False):
        """Takes back a connection after its exchange."""
        self._discarding.pop(connection, None)
        if connection.reusable and not self.closed:
            self.put_back(connection)
        elif aborted:
            # Closing in order would wait for a request that nobody reads.
            connection.transport.abortConnection()
        else:
            connection.reusable = False
            connection.transport.loseConnection()

    def put_back(self, connection):
        """Takes a connection that can carry an exchange."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done:
                waiter.connected(connection)
                return
        connection.idle_since = self._clock()
        self._idle.append(connection)

    def discard_started(self, connection):
        """Bounds the time in which an unwanted answer is read."""
        self._discarding[connection] = self._clock()

    def connection_lost(self, connection):
        self.connections.discard(connection)
        self._discarding.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
            self._record_close(connection)
