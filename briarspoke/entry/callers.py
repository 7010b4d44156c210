"""Connections of callers."""

from __future__ import annotations

import collections

import httptools
from twisted.internet import protocol

from briarspoke import codes
from briarspoke.entry import answers
from briarspoke.entry.exchange import Exchange, Request
from briarspoke.http.transports import write_immediately

# Requests of one connection that are worked on at the same time.
MAX_PIPELINED = 16
# How long a connection that was closed for writing may still bring data.
LINGER_S = 1.0


class CallerConnection(protocol.Protocol):
    """One connection of a caller; answers leave in the order of the requests.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, node):
        self.node = node
        self.exchanges = collections.deque()
        self.closing = False
        self.lingers_until = None
        self.quiet_since = node.now()
        self._head_since = None
        self._paused = False
        self._new_message()
        self._parser = httptools.HttpRequestParser(self)

    def _new_message(self):
        self._target = b""
        self._headers = []
        self._body = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_body = False

    # From the transport.

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.node.callers.add(self)

    def connectionLost(self, reason):
        self.node.callers.discard(self)
        self.closing = True
        while self.exchanges:
            self.exchanges.popleft().caller_gone()

    def dataReceived(self, data):
        if self.closing:
            return
        if self._head_since is None:
            self._head_since = self.node.now()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # The callback has answered already.
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(codes.MALFORMED_REQUEST)
            return
        if self._head_since is not None and not self._in_body:
            self._head_bytes += len(data)
            if self._head_bytes > 2 * self.node.limits.head_bytes:
                self._reject(codes.HEAD_TOO_LARGE)

    # From the parser.

    def on_message_begin(self):
        self._new_message()
        if self._head_since is None:
            self._head_since = self.node.now()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes + len(self._target) > self.node.limits.head_bytes:
            self._reject(codes.HEAD_TOO_LARGE)
            raise ValueError("the head of the request is too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._in_body = True
        for name, value in self._headers:
            if name == b"content-length" and (
                len(value) > 18 or int(value) > self.node.limits.body_bytes
            ):
                self._reject(codes.BODY_TOO_LARGE)
                raise ValueError("the body is too large")
            if name == b"expect" and not self.exchanges:
                write_immediately(self.transport, b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        self._body_bytes += len(data)
        if self._body_bytes > self.node.limits.body_bytes:
            self._reject(codes.BODY_TOO_LARGE)
            raise ValueError("the body is too large")
        self._body.append(data)

    def on_message_complete(self):
        self._in_body = False
        arrived = self._head_since
        self._head_since = None
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=body,
            arrived=arrived,
            complete=self.node.now(),
        )
        self._new_message()
        if not self._parser.should_keep_alive():
            request.closes = True
        exchange = Exchange(node=self.node, connection=self, request=request)
        self.exchanges.append(exchange)
        if len(self.exchanges) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self.transport.pauseProducing()
        exchange.start()

    # From exchanges.

    def answer_ready(self):
        """Writes every answer whose turn has come."""
        while self.exchanges and self.exchanges[0].answer is not None:
            exchange = self.exchanges.popleft()
            closes = exchange.request.closes or (
                self.node.stopping and not self.exchanges
            )
            write_immediately(self.transport, exchange.encode(close=closes))
            self.quiet_since = self.node.now()
            if closes:
                self._close()
                return
        if self._paused and len(self.exchanges) < MAX_PIPELINED:
            self._paused = False
            self.transport.resumeProducing()

    def _close(self):
        """Closes after the last answer; requests behind it were not answered."""
        self.closing = True
        while self.exchanges:
            self.exchanges.popleft().caller_gone()
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()
        # A close while unread data is in the socket would reset the connection
        # and might destroy the answer on its way.
        self.transport.loseWriteConnection()
        self.lingers_until = self.node.now() + LINGER_S

    def _reject(self, code):
        """Answers what cannot be read, after the answers before it."""
        if self.closing:
            return
        if self.exchanges:
            # The connection ends behind the last request that was read.
            self.exchanges[-1].request.closes = True
            return
        self.node.request_log.result(code, None)
        write_immediately(
            self.transport,
            answers.result(
                code, request_id=b"", run="no", retry_after_s=None, close=True
            ),
        )
        self._close()

    # From the node.

    def check(self, now, limits):
        """Closes a connection that is idle or slow for too long."""
        if self.lingers_until is not None:
            if now > self.lingers_until:
                self.transport.abortConnection()
        elif self._head_since is not None:
            if not self._in_body and now - self._head_since > limits.head_timeout_s:
                self._reject(codes.REQUEST_TIMEOUT)
        elif not self.exchanges and now - self.quiet_since > limits.idle_timeout_s:
            self._close_idle()

    def finish(self):
        """Answers every open request and closes.

        Answers leave in order, so one slow request would take the ready answers
        behind it along when the process ends.
        """
        for exchange in list(self.exchanges):
            exchange.process_ends()

    def close_if_idle(self):
        """Closes a connection on which no request is open or arriving."""
        if not self.exchanges and self._head_since is None and not self.closing:
            self._close_idle()

    def _close_idle(self):
        # No answer is on its way. A request that crosses a full close is reset at
        # once; after a half close it would wait unread until the connection ends.
        self.closing = True
        self.transport.loseConnection()


class CallerFactory(protocol.ServerFactory):
    """Makes a :class:`CallerConnection` for each connection."""

    noisy = False

    def __init__(self, node):
        self._node = node

    def buildProtocol(self, address):
        return CallerConnection(self._node)
