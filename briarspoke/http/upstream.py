"""Connections to backend servers and to other entry VMs."""

from __future__ import annotations

import logging

import httptools
from twisted.internet import protocol

from briarspoke import codes
from briarspoke.http.transports import write_immediately
from briarspoke.retry.policy import Attempt, Outcome

log = logging.getLogger(__name__)

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
# httptools limits neither the number nor the size of headers.
MAX_ANSWER_HEAD_BYTES = 65_536


class AnswerHead:
    """Status and headers of an answer.

    :param length: body length in bytes, or None for a chunked body.
    :param headers: list of (name in lower case, value) in bytes, hop-by-hop
        ones included.
    """

    __slots__ = ("headers", "length", "status")

    def __init__(self, *, status, headers, length):
        self.status = status
        self.headers = headers
        self.length = length

    def get(self, name):
        """Returns the first value of a header in lower case, or None."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


class _DiscardListener:
    """Ignores the rest of an answer that is no longer needed."""

    __slots__ = ()

    def answer_data(self, data):
        pass

    def answer_flush(self):
        pass

    def answer_complete(self):
        pass

    def attempt_failed(self, attempt):
        pass


_DISCARD_LISTENER = _DiscardListener()


class UpstreamConnection(protocol.Protocol):
    """A connection that carries one exchange (request and answer) at a time.

    The listener of an exchange implements ``answer_head(head)``,
    ``answer_data(data)``, ``answer_flush()``, ``answer_complete()`` and
    ``attempt_failed(attempt)``.

    :param pool: the :class:`briarspoke.http.pool.ConnectionPool`.
    :ivar is_used: whether the connection has carried a request.
    :ivar has_refused: whether the server has refused a request on this connection.
    """

    def __init__(self, pool):
        self.pool = pool
        self.is_used = False
        self.has_refused = False
        self.listener = None
        self.idle_since = 0.0
        self.reusable = True
        self._parser = None
        self._headers = []
        self._head_bytes = 0
        self._is_head = False
        self._request_written = False
        self._answer_complete = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.pool.connection_made(self)

    # Called by the listener of an exchange.

    def start(self, head, listener, *, is_head=False):
        """Writes the head of a request and starts an exchange.

        :param head: request line and headers as bytes, blank line included. A short
            body may follow.
        :param is_head: whether the method is HEAD, whose answers have no body.
        """
        self.is_used = True
        self.listener = listener
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head_bytes = 0
        self._is_head = is_head
        self._request_written = False
        self._answer_complete = False
        write_immediately(self.transport, head)

    def write_body(self, data):
        """Writes encoded body data of the request."""
        write_immediately(self.transport, data)

    def end_request(self):
        """Marks the request as completely written."""
        self._request_written = True

    def abort(self):
        """Ends the exchange and closes the connection."""
        self.listener = None
        self.reusable = False
        self.transport.abortConnection()

    def discard_answer(self):
        """Ignores the rest of the answer, and keeps the connection if possible.

        Closing the connection for each shed request would require a new connection
        for each retry, at a time when the server lacks capacity.
        """
        if self._request_written and self.reusable:
            self.listener = _DISCARD_LISTENER
            self.pool.discard_started(self)
        else:
            self.abort()

    # Called by the transport and the parser.

    def dataReceived(self, data):
        if self.listener is None:
            # Data outside an exchange could be mistaken for the next answer.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            log.exception("upstream: cannot process an answer from %s", self.pool)
            self._fail("internal", codes.INTERNAL_ERROR)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._answer_complete:
                log.info("upstream: malformed answer from %s: %s", self.pool, error)
                self._fail("malformed", codes.ANSWER_MALFORMED)
                return
            self.reusable = False
        if self.listener is not None:
            if self._answer_complete:
                self._finish()
            else:
                self.listener.answer_flush()

    def on_message_begin(self):
        if self._answer_complete:
            # A second answer without a request.
            self.reusable = False
        self._headers = []
        self._head_bytes = 0

    def on_header(self, name, value):
        self._head_bytes += len(name) + len(value)
        if self._head_bytes <= MAX_ANSWER_HEAD_BYTES:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if (
            (status < 200 and status != 101)
            or self.listener is None
            or self._answer_complete
        ):
            return
        length = self._body_length(status)
        if length == -1 or status == 101 or self._head_bytes > MAX_ANSWER_HEAD_BYTES:
            self._fail("malformed", codes.ANSWER_MALFORMED)
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self.listener.answer_head(
            AnswerHead(status=status, headers=self._headers, length=length)
        )
        if self._is_head:
            self._answer_complete = True

    def on_body(self, data):
        if self._answer_complete:
            self.reusable = False
        elif self.listener is not None:
            self.listener.answer_data(data)

    def on_message_complete(self):
        if self._parser.get_status_code() >= 200:
            self._answer_complete = True

    def _body_length(self, status):
        """Returns the body length, or None for a chunked body.

        :returns: -1 if the end of the connection would end the body, so that a
            truncated answer could not be detected.
        """
        if self._is_head or status in (204, 304):
            return 0
        for name, value in self._headers:
            if name == b"content-length":
                return int(value)
            if name == b"transfer-encoding" and value.lower() == b"chunked":
                return None
        return -1

    def _finish(self):
        listener, self.listener = self.listener, None
        if not self._request_written:
            # The server has answered before it received the whole request.
            self.reusable = False
        # The connection returns to the pool before the listener releases its slot,
        # so that the next request in the queue can use it.
        self.pool.exchange_ended(self, aborted=not self._request_written)
        listener.answer_complete()

    def _fail(self, reason, code):
        listener, self.listener = self.listener, None
        self.reusable = False
        self.transport.abortConnection()
        if listener is not None:
            listener.attempt_failed(
                Attempt(outcome=Outcome.UNKNOWN, reason=reason, code=code)
            )

    def connectionLost(self, reason):
        self.reusable = False
        self.pool.connection_lost(self)
        if self.listener is not None:
            self._fail("connection-lost", codes.OUTCOME_UNKNOWN)
