"""Connections to backend servers and to other entry VMs."""

from __future__ import annotations

import collections
import logging

import httptools
from twisted.internet import protocol

from briarspoke import codes
from briarspoke.retry.policy import Attempt, Outcome

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# An idle connection may be closed by the server at any moment; closing it
# first avoids requests whose outcome would be unknown.
IDLE_TIMEOUT_S = 20.0

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class AnswerHead:
    """Status and headers of an answer.

    :param length: body length in bytes, or None for a chunked body.
    :param headers: list of (name, value) in bytes, hop-by-hop ones included.
    """

    __slots__ = ("headers", "length", "status")

    def __init__(self, *, status, headers, length):
        self.status = status
        self.headers = headers
        self.length = length

    def get(self, name):
        """Returns the first value of a header in lower case, or None."""
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return None


class UpstreamConnection(protocol.Protocol):
    """One connection that carries one exchange at a time.

    The listener of an exchange has ``answer_head(head)``, ``answer_data(data)``,
    ``answer_complete()`` and ``attempt_failed(attempt)``.
    """

    def __init__(self, pool):
        self.pool = pool
        self.listener = None
        self.idle_since = 0.0
        self.reusable = True
        self._parser = None
        self._headers = []
        self._head_request = False
        self._request_ended = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.pool.connection_made(self)

    # An exchange, as its listener sees it.

    def start(self, head, listener, *, is_head=False):
        """Writes the head of a request and begins an exchange.

        :param head: request line and headers as bytes, blank line included.
        """
        self.listener = listener
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head_request = is_head
        self._request_ended = False
        self.transport.write(head)

    def write_body(self, data):
        """Writes encoded body data of the request."""
        self.transport.write(data)

    def end_request(self):
        """Notes that the whole request was written."""
        self._request_ended = True

    def abort(self):
        """Ends the exchange and closes the connection."""
        self.listener = None
        self.reusable = False
        self.transport.abortConnection()

    # Data from the server.

    def dataReceived(self, data):
        if self.listener is None:
            # Data outside an exchange could be taken for the next answer.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.listener is not None:
                log.info("upstream: malformed answer from %s: %s", self.pool, error)
                self._fail(Outcome.UNKNOWN, "malformed", codes.ANSWER_MALFORMED)

    def on_header(self, name, value):
        self._headers.append((name, value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status < 200:
            return
        length = self._body_length(status)
        if length == -1:
            self._fail(Outcome.UNKNOWN, "malformed", codes.ANSWER_MALFORMED)
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self.listener.answer_head(
            AnswerHead(status=status, headers=self._headers, length=length)
        )
        if self._head_request and self.listener is not None:
            self._finish()

    def on_body(self, data):
        if self.listener is not None:
            self.listener.answer_data(data)

    def on_message_complete(self):
        if self.listener is None or self._parser.get_status_code() < 200:
            self._headers = []
            return
        self._finish()

    def _body_length(self, status):
        """Returns the length, None for chunked, -1 if a cut would go unseen."""
        if self._head_request or status in (204, 304):
            return 0
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                return int(value)
            if lower == b"transfer-encoding" and value.lower() == b"chunked":
                return None
        return -1

    def _finish(self):
        listener, self.listener = self.listener, None
        if not self._request_ended:
            # The server answered before it had read the whole request.
            self.reusable = False
        listener.answer_complete()
        self.pool.exchange_ended(self)

    def _fail(self, outcome, reason, code):
        listener, self.listener = self.listener, None
        self.reusable = False
        self.transport.abortConnection()
        if listener is not None:
            listener.attempt_failed(Attempt(outcome=outcome, reason=reason, code=code))

    def connectionLost(self, reason):
        self.reusable = False
        if self.listener is not None:
            self._fail(Outcome.UNKNOWN, "connection-lost", codes.OUTCOME_UNKNOWN)
        self.pool.connection_lost(self)


class _UpstreamFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, address):
        return UpstreamConnection(self.pool)

    def clientConnectionFailed(self, connector, reason):
        self.pool.connect_failed(reason)


class ConnectionPool:
    """Connections to one address.

    :param maximum: connections the other side accepts.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, reactor, host, port, maximum, clock):
        self.host = host
        self.port = port
        self.maximum = maximum
        self._reactor = reactor
        self._clock = clock
        self._idle = collections.deque()
        self._waiting = collections.deque()
        self.open = 0
        self._connecting = 0

    def __str__(self):
        return f"{self.host}:{self.port}"

    def acquire(self, waiter):
        """Hands a connection to the waiter, at once if one is idle.

        The waiter has ``connected(connection)`` and ``attempt_failed(attempt)``.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                waiter.connected(connection)
                return
        if self.open + self._connecting >= self.maximum:
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
            self.host, self.port, _UpstreamFactory(self), timeout=CONNECT_TIMEOUT_S
        )

    def forget(self, waiter):
        """Drops a waiter that no longer wants a connection."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def close_idle(self, now):
        """Closes connections that were idle for too long."""
        while self._idle and now - self._idle[0].idle_since > IDLE_TIMEOUT_S:
            self._idle.popleft().abort()

    def close(self):
        """Closes every idle connection."""
        while self._idle:
            self._idle.popleft().abort()

    # Called by connections.

    def connection_made(self, connection):
        self._connecting -= 1
        self.open += 1
        if self._waiting:
            self._waiting.popleft().connected(connection)
        else:
            self._put_idle(connection)

    def connect_failed(self, reason):
        self._connecting -= 1
        if self._waiting:
            self._waiting.popleft().attempt_failed(
                Attempt(
                    outcome=Outcome.NOT_RUN,
                    reason="connect-failed",
                    code=codes.OWNER_UNREACHABLE,
                )
            )

    def exchange_ended(self, connection):
        if connection.reusable:
            self._put_idle(connection)
        else:
            connection.transport.loseConnection()

    def connection_lost(self, connection):
        self.open -= 1
        if connection in self._idle:
            self._idle.remove(connection)

    def _put_idle(self, connection):
        connection.idle_since = self._clock()
        self._idle.append(connection)
