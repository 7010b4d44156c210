"""Pools of connections to one address each."""

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
# An idle connection may be closed by the server at any moment; closing it
# first avoids requests whose outcome would be unknown.
IDLE_TIMEOUT_S = 20.0
DISCARD_TIMEOUT_S = 1.0
# A close may be on its way when a request is written, so a request that must not
# run twice uses a connection only within this part of the time after which the
# server was last seen to close idle ones.
TRUSTED_PART = 0.5
CLOSES_REMEMBERED = 16
# After a restart, which closes connections of any age, the pool must come to
# trust them again.
CLOSES_REMEMBERED_S = 60.0


class _UpstreamFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, address):
        return UpstreamConnection(self.pool)

    def clientConnectionFailed(self, connector, reason):
        self.pool.connect_failed(reason)


class IdleCloses:
    """After what idle time the other side has lately closed connections."""

    __slots__ = ("_ages", "_seen_at")

    def __init__(self):
        self._ages = collections.deque(maxlen=CLOSES_REMEMBERED)
        self._seen_at = 0.0

    def note(self, idle_s, now):
        """Notes a connection that was closed after a time of idleness."""
        self._ages.append(idle_s)
        self._seen_at = now

    def trusts(self, idle_s, now):
        """Returns whether a connection is most likely not being closed."""
        if self._ages and now - self._seen_at > CLOSES_REMEMBERED_S:
            self._ages.clear()
        return not self._ages or idle_s < TRUSTED_PART * min(self._ages)


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
        self._unreachable = unreachable
        self._idle = collections.deque()
        self._waiting = collections.deque()
        self._discarding = {}
        self._idle_closes = IdleCloses()
        self._connecting = 0
        self._factory = _UpstreamFactory(self)
        self._name = f"{host}:{port}"
        self.host_header = self._name.encode()

    def __str__(self):
        return self._name

    def acquire(self, waiter, *, repeatable=True):
        """Hands a connection to the waiter, at once if one is idle.

        :param repeatable: False for a request that must not run twice, which
            gets no connection that the other side may be closing.

        The waiter has ``connected(connection)``, ``attempt_failed(attempt)`` and
        ``done``.
        """
        while self._idle:
            if not repeatable and not self._trusts(self._idle[-1]):
                if len(self.connections) + self._connecting >= self.maximum:
                    self._drop(self._idle.popleft())
                break
            # The most recently used one is the least likely to be closed.
            connection = self._idle.pop()
            if not connection.reusable:
                continue
            if is_idle(connection.transport):
                waiter.connected(connection)
                return
            # Closed by the server, but the event loop has not reported it yet.
            self._note_close(connection)
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
        self._waiting.append(waiter)
        self._connecting += 1
        self._reactor.connectTCP(
            self.host, self.port, self._factory, timeout=CONNECT_TIMEOUT_S
        )

    def _trusts(self, connection):
        now = self._clock()
        return self._idle_closes.trusts(now - connection.idle_since, now)

    def _note_close(self, connection):
        now = self._clock()
        self._idle_closes.note(now - connection.idle_since, now)

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
        if self._waiting:
            self._waiting.popleft().attempt_failed(
                Attempt(
                    outcome=Outcome.NOT_RUN,
                    reason="connect-failed",
                    code=self._unreachable,
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
        while self._waiting:
            waiter = self._waiting.popleft()
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
            self._note_close(connection)
