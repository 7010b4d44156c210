"""Connection pools, one per address."""

from __future__ import annotations

import collections
import logging

from twisted.internet import protocol

from briarspoke import codes
from briarspoke.http.probe import is_idle
from briarspoke.http.upstream import UpstreamConnection
from briarspoke.retry.policy import Attempt, Outcome

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# The server may close an idle connection at any time. Closing it first avoids
# requests whose outcome would be unknown.
IDLE_TIMEOUT_S = 20.0
DISCARD_TIMEOUT_S = 1.0
# The server may be closing a connection while a request is written to it. A request
# that must not run twice therefore uses a connection only if it was idle for less
# than this fraction of the shortest idle time after which the server has recently
# closed one.
SAFE_IDLE_FRACTION = 0.5
MAX_RECORDED_CLOSES = 16
# A restart of the server closes connections after any idle time, so the records
# expire.
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
    """Idle times after which the server has recently closed connections."""

    __slots__ = ("_idle_times_s", "_last_close_at")

    def __init__(self):
        self._idle_times_s = collections.deque(maxlen=MAX_RECORDED_CLOSES)
        self._last_close_at = 0.0

    def record(self, idle_s, now):
        """Records a connection that was closed after ``idle_s`` seconds without use."""
        self._idle_times_s.append(idle_s)
        self._last_close_at = now

    def is_safe(self, idle_s, now):
        """Returns whether the server is unlikely to be closing a connection.

        :param idle_s: seconds for which the connection has been idle.
        :param now: monotonic seconds.
        """
        if self._idle_times_s and now - self._last_close_at > CLOSE_RECORD_TTL_S:
            self._idle_times_s.clear()
        return not self._idle_times_s or idle_s < SAFE_IDLE_FRACTION * min(
            self._idle_times_s
        )


class ConnectionPool:
    """A pool of connections to one address.

    :param maximum: maximum number of connections.
    :param clock: function that returns monotonic seconds.
    :param unreachable: result code of a failed connection attempt.
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
        self._discarding_since = {}
        self._idle_close_history = IdleCloseHistory()
        self._connecting = 0
        self._factory = _UpstreamFactory(self)
        self._address = f"{host}:{port}"
        self.host_header = self._address.encode()

    def __str__(self):
        return self._address

    def acquire(self, waiter, *, idempotent=True):
        """Provides a connection to a waiter, immediately if one is idle.

        :param waiter: object with ``connected(connection)``,
            ``attempt_failed(attempt)`` and ``done``.
        :param idempotent: False for a request that must not run twice. It does not
            get a connection that the server may be closing, or on which the server has
            refused a request: a second copy of the refusal would be taken for the
            answer, which says that the request has not run.
        """
        connection = self._take_idle(idempotent=idempotent)
        if connection is not None:
            waiter.connected(connection)
            return
        if self._idle and len(self.connections) + self._connecting >= self.maximum:
            self._drop(self._idle.popleft())
        if len(self.connections) + self._connecting >= self.maximum:
            waiter.attempt_failed(
                Attempt(
                    outcome=Outcome.NOT_RUN,
                    reason="no-connection",
                    code=codes.NO_CONNECTION_FREE,
                )
            )
            return
        self._waiters.append((waiter, idempotent))
        self._connecting += 1
        self._reactor.connectTCP(
            self.host, self.port, self._factory, timeout=CONNECT_TIMEOUT_S
        )

    def _take_idle(self, *, idempotent):
        """Returns the idle connection that was used last and may be used, or None."""
        # The most recently used connection is the least likely to be closed.
        for connection in reversed(tuple(self._idle)):
            if not connection.reusable:
                self._idle.remove(connection)
            elif idempotent or self._is_safe(connection):
                self._idle.remove(connection)
                if is_idle(connection.transport):
                    return connection
                # Closed by the server, but the event loop has not reported it yet.
                self._record_close(connection)
                self._drop(connection)
        return None

    def _is_safe(self, connection):
        """Returns whether a request that must not run twice may use a connection."""
        if connection.has_refused:
            return False
        now = self._clock()
        return self._idle_close_history.is_safe(now - connection.idle_since, now)

    def _record_close(self, connection):
        now = self._clock()
        self._idle_close_history.record(now - connection.idle_since, now)

    def _drop(self, connection):
        # Removed here and not in connection_lost, so that a new connection can
        # replace it immediately.
        self.connections.discard(connection)
        connection.abort()

    def close_idle(self, now):
        """Closes connections that were idle, or discarded an answer, for too long."""
        while self._idle and now - self._idle[0].idle_since > IDLE_TIMEOUT_S:
            self._idle.popleft().abort()
        for connection, since in list(self._discarding_since.items()):
            if now - since > DISCARD_TIMEOUT_S:
                connection.abort()

    def close(self):
        """Closes idle connections now, and the others after their exchanges."""
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
            waiter, _ = self._waiters.popleft()
            waiter.attempt_failed(
                Attempt(
                    outcome=Outcome.NOT_RUN,
                    reason="connect-failed",
                    code=self._unreachable_code,
                )
            )

    def exchange_ended(self, connection, *, aborted=False):
        """Reuses or closes a connection after its exchange.

        :param aborted: whether the request was not written completely.
        """
        self._discarding_since.pop(connection, None)
        if connection.reusable and not self.closed:
            self.put_back(connection)
        elif aborted:
            # A regular close would first flush the rest of a request that the
            # server no longer reads.
            connection.transport.abortConnection()
        else:
            connection.reusable = False
            connection.transport.loseConnection()

    def put_back(self, connection):
        """Gives a free connection to the next waiter, or keeps it as idle."""
        if self._waiters and connection.is_used and not is_idle(connection.transport):
            # Closed by the server, but the event loop has not reported it yet. How long
            # it was idle is not known.
            self._drop(connection)
            return
        for entry in tuple(self._waiters):
            waiter, idempotent = entry
            if waiter.done:
                self._waiters.remove(entry)
            elif idempotent or not connection.has_refused:
                self._waiters.remove(entry)
                waiter.connected(connection)
                return
        connection.idle_since = self._clock()
        self._idle.append(connection)

    def discard_started(self, connection):
        """Limits the time for discarding an answer to ``DISCARD_TIMEOUT_S``."""
        self._discarding_since[connection] = self._clock()

    def connection_lost(self, connection):
        self.connections.discard(connection)
        self._discarding_since.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
            self._record_close(connection)
