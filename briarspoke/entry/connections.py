"""Upstream connections that carry one HTTP exchange at a time."""

from __future__ import annotations

import re
import socket

import httptools
from twisted.internet import error, protocol

from briarspoke.entry.arriving import (
    MAX_FRAMING_SHARE,
    ArrivingBody,
    Body,
    header_bytes,
)
from briarspoke.entry.sending import write_request
from briarspoke.http.delivery import unsent_bytes

# httptools limits the size of neither headers nor bodies.
MAX_ANSWER_BYTES = 64 << 20
# Limit on the bytes of an answer that are not its body: head, interim answers, chunk
# headers, trailers. A chunked body may have this many bytes and a share of its size.
MAX_FRAMING_BYTES = 65_536
# Requests after which a connection is closed, since it remembers their identifiers.
MAX_REQUESTS_PER_CONNECTION = 1_000
# A connection is closed if sent data stays unacknowledged for this long.
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 4_000

# HTTP defines no status outside these bounds.
MIN_STATUS = 100
MAX_STATUS = 599
# No request asks for another protocol, so an answer that switches to one is malformed.
SWITCHING_PROTOCOLS = 101
MIN_FINAL_STATUS = 200

NO_BODY = Body()

# Begin of an answer; inside the head of another one, it shows that the other broke off.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class Answer:
    """A complete answer, or the reason why there is none.

    :param status: HTTP status, or None after a failure.
    :param headers: list of (name in lower case, value) in bytes.
    :param failure: ``connect``, ``refused``, ``closed``, ``reset``, ``malformed``
        or ``timeout``; empty for an answer.
    :param sent: whether the system has taken any byte of the request.
    :param received_bytes: bytes that had arrived when the call failed.
    :param detail: what is known of the connection of a failed call, for the log.
    :ivar age_s: seconds since the call was sent, set by a
        :class:`briarspoke.entry.repeating.RepeatedCall`.
    :ivar is_repeated: whether that call was sent again before the answer came.
    """

    __slots__ = (
        "age_s",
        "body",
        "detail",
        "failure",
        "headers",
        "is_repeated",
        "received_bytes",
        "sent",
        "status",
    )

    def __init__(
        self,
        *,
        status=None,
        headers=(),
        body=b"",
        failure="",
        sent=True,
        received_bytes=0,
        detail="",
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.failure = failure
        self.sent = sent
        self.received_bytes = received_bytes
        self.detail = detail
        self.age_s = 0.0
        self.is_repeated = False

    def get(self, name):
        """Returns the first value of a header, or None.

        :param name: name of the header in lower case.
        """
        for found, value in self.headers:
            if found == name:
                return value
        return None


class Connection(protocol.Protocol):
    """Connection to a server or to the store.

    :param handler: has ``connection_made(connection)``,
        ``connection_lost(connection)`` and ``exchange_ended(connection)``.
    :param held_answers: the :class:`briarspoke.entry.heldbytes.HeldBytes` of all
        answers that arrive at the process.
    :ivar received_bytes: bytes that have arrived since the request was written.
    """

    def __init__(self, handler, held_answers):
        self.handler = handler
        self._held_answers = held_answers
        self.listener = None
        self.reusable = True
        self.idle_since = 0.0
        # Seconds after which the peer closes an idle connection, or None if the peer
        # has not announced it.
        self.keep_alive_s = None
        self._exchange_count = 0
        # Writes the body of the request while it is large and not sent, or None.
        self._body_producer = None
        # Bytes of the request that were given to the transport at first.
        self._first_bytes = 0
        # Hashes of the echo values of all requests so far.
        self._carried = set()
        self._echo_name = None
        self._echo_value = None
        self._reset_parser()

    def _reset_parser(self):
        self._parser = None
        # Status of the answer; the parser has that of the bytes behind it, if any.
        self._status = None
        self._headers = []
        self._reason = b""
        self._head_bytes = 0
        self._body = ArrivingBody()
        self.received_bytes = 0
        self._body_bytes = 0
        self._is_head = False
        self._until_close = False
        self._echoed = False
        self._complete = False
        self._skipping = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_DATA_TIMEOUT_MS
        )
        self.handler.connection_made(self)

    def has_carried(self, echo):
        """Returns whether an earlier request had this echo header.

        A second answer to that request would be taken for the answer to the next one.

        :param echo: (header, value) that an answer must repeat.
        """
        return hash(echo) in self._carried

    def exchange(self, head, listener, *, body=NO_BODY, is_head=False, echo=None):
        """Writes a whole request.

        :param head: the head as bytes.
        :param body: the :class:`briarspoke.entry.arriving.Body`.
        :param listener: called once with the :class:`Answer`.
        :param is_head: whether the method is HEAD.
        :param echo: (header, value) that the answer must repeat. An answer with another
            value belongs to an earlier request and is skipped. One without the header
            is unusable if the connection has had an earlier request.
        """
        self._reset_parser()
        self._exchange_count += 1
        self.listener = listener
        self._is_head = is_head
        self._echo_name, self._echo_value = echo or (None, None)
        if echo:
            self._carried.add(hash(echo))
            if len(self._carried) >= MAX_REQUESTS_PER_CONNECTION:
                self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._body_producer = write_request(self.transport, head, body)
        self._first_bytes = len(head)
        if self._body_producer is None:
            self._first_bytes += len(body)

    @property
    def is_any_sent(self):
        """Whether the system has taken any byte of the request.

        A request of which it has taken none has reached no server.
        """
        given_bytes = self._first_bytes
        if self._body_producer is not None:
            given_bytes += self._body_producer.given_bytes
        return self.received_bytes > 0 or unsent_bytes(self.transport) < given_bytes

    @property
    def _is_request_sent(self):
        if self._body_producer is not None and not self._body_producer.is_finished:
            return False
        return not (self.transport.dataBuffer or self.transport._tempDataBuffer)

    def close(self):
        """Closes the connection after an answer.

        What is left of the request is dropped: the server has answered without it, and
        it would be held until the server has read it.
        """
        if self._is_request_sent:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def abandon(self):
        """Closes the connection; the listener is not called any more."""
        self.listener = None
        self.reusable = False
        self._release_message()
        self.transport.abortConnection()

    def _release_message(self):
        self._headers = []
        self._body = ArrivingBody()
        self._held_answers.release(self)

    def dataReceived(self, data):
        if self.listener is None:
            # Bytes outside an exchange could be mistaken for the next answer.
            self.abandon()
            return
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._complete:
                self._fail("malformed")
                return
            self.reusable = False
        if self._complete:
            if self.listener is not None:
                self._finish()
        elif self._is_framing_too_large():
            self._fail("malformed")
        else:
            self._count_memory()

    def _count_memory(self):
        count = self._head_bytes + self._framing_bytes + self._body.held_bytes
        largest = self._held_answers.update(self, count)
        if largest is not None:
            largest.give_up()

    def _is_framing_too_large(self):
        """Returns whether the answer has far more bytes than its body explains.

        The parser keeps an unfinished header line, and skips chunk extensions and
        interim answers, without any limit.
        """
        most_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_SHARE * self._body_bytes
        return self._framing_bytes > most_bytes

    @property
    def _framing_bytes(self):
        return self.received_bytes - self._body_bytes

    def on_message_begin(self):
        if self._complete:
            self.reusable = False
            return
        self._headers = []
        self._reason = b""
        self._head_bytes = 0
        self._body = ArrivingBody()
        self._skipping = False

    def on_status(self, reason):
        if not self._complete:
            self._reason += reason

    def on_header(self, name, value):
        if self._complete:
            return
        self._headers.append((name.lower(), value))
        self._head_bytes += header_bytes(name, value)

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if self._complete:
            return
        if self._exchange_count > 1 and self._has_second_status_line():
            raise ValueError("an extra answer broke off in its head")
        if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
            raise ValueError(f"status {status} is no answer to a request")
        if status < MIN_FINAL_STATUS:
            return
        self._status = status
        framed = self._is_head or status in (204, 304)
        for name, value in self._headers:
            if name == b"content-length":
                framed = True
            elif name == b"transfer-encoding":
                framed = framed or value.lower().endswith(b"chunked")
            elif name == b"keep-alive":
                match = _KEEP_ALIVE_TIMEOUT.search(value)
                if match:
                    self.keep_alive_s = int(match[1])
            elif name == self._echo_name:
                self._echoed = True
                if value != self._echo_value:
                    # A late duplicate answer to an earlier request.
                    self._skipping = True
                    self.reusable = False
        if self._echo_name and not self._echoed and self._exchange_count > 1:
            raise ValueError("the answer may belong to an earlier request")
        self._until_close = not framed
        if self._until_close or not self._parser.should_keep_alive():
            self.reusable = False
        if self._is_head and not self._skipping:
            self._complete = True

    def _has_second_status_line(self):
        """Returns whether the head of the answer continues with another answer.

        A late extra answer that breaks off before its identifier would lend its status
        to the next answer. Where it breaks off elsewhere, the parser reports an error.
        """
        return any(
            _STATUS_LINE.search(text)
            for text in (self._reason, *(value for _, value in self._headers))
        )

    def on_body(self, data):
        if self._complete:
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_ANSWER_BYTES:
            raise ValueError("the answer is too large")
        if not self._skipping:
            self._body.append(data)

    def on_message_complete(self):
        if self._parser.get_status_code() < MIN_FINAL_STATUS or self._skipping:
            return
        self._complete = True

    def _finish(self):
        listener, self.listener = self.listener, None
        answer = Answer(
            status=self._status,
            headers=self._headers,
            body=self._body.body().join(),
        )
        if not self._is_request_sent:
            # The server answered before the whole request was sent.
            self.reusable = False
        self._parser = None
        self._release_message()
        self.handler.exchange_ended(self)
        listener(answer)

    def give_up(self):
        """Closes the connection, since the answer takes too much memory."""
        self._fail("malformed")

    def _fail(self, failure):
        listener, self.listener = self.listener, None
        self.reusable = False
        self._release_message()
        self.transport.abortConnection()
        if listener is None:
            return
        sent = self.is_any_sent
        if not sent and self._exchange_count == 1:
            # The peer has closed the connection as soon as it was open.
            failure = "connect"
        listener(Answer(failure=failure, sent=sent))

    def connectionLost(self, reason):
        self.reusable = False
        self.handler.connection_lost(self)
        if self.listener is None:
            return
        closed = reason.check(error.ConnectionDone) is not None
        if (
            closed
            and self._until_close
            and not self._skipping
            and not self._is_success_too_early()
        ):
            self._complete = True
            self._finish()
        else:
            self._fail("closed" if closed else "reset")

    def _is_success_too_early(self):
        """Returns whether a success ends before the whole request was sent.

        Only the end of the connection delimits such an answer. If the peer has closed
        with data of the request unread, the reset can be reported as an orderly end:
        a failed write takes the socket's error, and the next read finds only an end.
        """
        return MIN_FINAL_STATUS <= self._status < 300 and not self._is_request_sent


class ConnectionFactory(protocol.ClientFactory):
    """Opens one connection.

    :param handler: handler of the :class:`Connection`.
    :param on_failure: called with ``refused`` or ``connect`` if connecting fails.
    :param held_answers: the :class:`briarspoke.entry.heldbytes.HeldBytes` of all
        answers that arrive at the process.
    """

    noisy = False

    def __init__(self, handler, on_failure, held_answers):
        self._handler = handler
        self._on_failure = on_failure
        self._held_answers = held_answers

    def buildProtocol(self, address):
        return Connection(self._handler, self._held_answers)

    def clientConnectionFailed(self, connector, reason):
        refused = reason.check(error.ConnectionRefusedError) is not None
        self._on_failure("refused" if refused else "connect")
