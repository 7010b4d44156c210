"""Connections of callers."""

from __future__ import annotations

import collections

import httptools
from twisted.internet import protocol

from briarspoke import codes
from briarspoke.entry import answers
from briarspoke.entry.arriving import (
    MAX_FRAMING_SHARE,
    ArrivingBody,
    Body,
    header_bytes,
)
from briarspoke.entry.calleroutput import CallerOutput
from briarspoke.entry.exchange import Exchange
from briarspoke.entry.request import Request
from briarspoke.http.transports import write_immediately
from briarspoke.platform import headers as header_names

# Requests of one connection that are processed concurrently, and a few more: as many as
# one piece of input has.
MAX_PIPELINED = 16
# Input is parsed in pieces of this size, since the parser cannot stop within one.
PARSED_BYTES = 8192
# Time for which a connection that is closed for writing is still read after the caller
# has got everything.
LINGER_S = 1.0


class CallerConnection(protocol.Protocol):
    """Connection of a caller. Answers are sent in the order of the requests.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, node):
        self.node = node
        self.exchanges = collections.deque()
        self.closing = False
        self.lingers_until = None
        self.idle_since = node.now()
        # Time of the last data from the caller.
        self.data_at = node.now()
        self._request_started_at = None
        # Input that waits until answers have been given.
        self._unparsed = b""
        self._parsing = False
        self._paused = False
        self._output = None
        # Whether the closing of the connection has been decided, so that no request
        # begins any more; earlier ones may be pending.
        self._input_ended = False
        self._reset_message()
        self._parser = httptools.HttpRequestParser(self)

    def _reset_message(self):
        self._target = b""
        self._headers = []
        self._held_head_bytes = 0
        self._body = ArrivingBody()
        self._head_bytes = 0
        self._body_bytes = 0
        self._received_bytes = 0
        self._in_body = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._output = CallerOutput(
            transport=self.transport,
            held_output=self.node.held_output,
            on_drained=self.answer_ready,
        )
        self.node.callers.add(self)

    def connectionLost(self, reason):
        self.node.callers.discard(self)
        self._end_input()
        self.closing = True
        self._output.release()
        while self.exchanges:
            self.exchanges.popleft().caller_gone()

    def dataReceived(self, data):
        if self._input_ended:
            return
        self.data_at = self.node.now()
        self._unparsed += data
        self._parse()

    @property
    def _may_begin(self):
        """Whether further requests may begin."""
        return len(self.exchanges) < MAX_PIPELINED and not self._output.is_blocked

    def _parse(self):
        """Parses the input until enough requests are pending; reads more if not."""
        if self._parsing:
            # An answer was given while the input is being parsed.
            return
        self._parsing = True
        data, position = self._unparsed, 0
        try:
            while position < len(data) and not self._input_ended and self._may_begin:
                piece = data[position : position + PARSED_BYTES]
                position += len(piece)
                self._feed(piece)
        finally:
            self._parsing = False
            self._unparsed = b"" if self._input_ended else data[position:]
        self._pause_or_resume()

    def _pause_or_resume(self):
        """Reads from the socket only while requests may begin.

        A connection that is going to be closed is read, so that its end is noticed.
        """
        may_read = self._input_ended or self._may_begin
        if may_read and self._paused:
            self._paused = False
            self.transport.resumeProducing()
        elif not may_read and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _feed(self, data):
        if self._request_started_at is None:
            self._request_started_at = self.node.now()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # The callback has ended the input.
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(codes.MALFORMED_REQUEST)
            return
        if self._request_started_at is None or self._input_ended:
            return
        if self._is_framing_too_large():
            self._reject(codes.HEAD_TOO_LARGE)
            return
        largest = self.node.held_requests.update(self, self._held_bytes)
        if largest is not None:
            largest.give_up()

    @property
    def _held_bytes(self):
        return self._held_head_bytes + self._framing_bytes + self._body.held_bytes

    @property
    def _framing_bytes(self):
        # A message is counted from the piece of input after the one that it begins in.
        return max(0, self._received_bytes - self._body_bytes)

    def _is_framing_too_large(self):
        """Returns whether a request has far more bytes than its body explains.

        The parser keeps an unfinished header line, and skips chunk extensions, without
        any limit.
        """
        most_bytes = (
            2 * self.node.limits.head_bytes + MAX_FRAMING_SHARE * self._body_bytes
        )
        return self._framing_bytes > most_bytes

    def on_message_begin(self):
        if self._input_ended:
            # An answer to a request in the same data has closed the connection.
            raise ValueError("the connection is being closed")
        self._reset_message()
        if self._request_started_at is None:
            self._request_started_at = self.node.now()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes + len(self._target) > self.node.limits.head_bytes:
            self._reject(codes.HEAD_TOO_LARGE)
            raise ValueError("the request headers are too large")
        self._headers.append((name.lower(), value))
        self._held_head_bytes += header_bytes(name, value)

    def on_headers_complete(self):
        self._in_body = True
        if self.node.reading_ended and self._has_body():
            self._refuse_if_too_late()
            if self._input_ended:
                raise ValueError("the request comes too late")
        for name, value in self._headers:
            if name == b"content-length" and (
                len(value) > 18 or int(value) > self.node.limits.body_bytes
            ):
                self._reject(codes.BODY_TOO_LARGE)
                raise ValueError("the body is too large")
            if name == b"expect" and not self.exchanges:
                write_immediately(self.transport, b"HTTP/1.1 100 Continue\r\n\r\n")

    def _has_body(self):
        """Returns whether the head of the arriving request announces a body."""
        return any(
            name == b"transfer-encoding"
            or (name == b"content-length" and value != b"0")
            for name, value in self._headers
        )

    def on_body(self, data):
        self._body_bytes += len(data)
        if self._body_bytes > self.node.limits.body_bytes:
            self._reject(codes.BODY_TOO_LARGE)
            raise ValueError("the body is too large")
        self._body.append(data)

    def give_up(self):
        """Rejects the request that is arriving, since it takes much memory."""
        self._reject(codes.MEMORY_LIMIT, self.node.RETRY_AFTER_UNAVAILABLE_S)

    def on_message_complete(self):
        self._in_body = False
        request = self._request(self._body.body())
        self.node.held_requests.update(self, self._held_bytes)
        request.held_bytes = self.node.held_requests.complete(self)
        self._request_started_at = None
        self._reset_message()
        exchange = Exchange(node=self.node, connection=self, request=request)
        self.exchanges.append(exchange)
        if self.node.reading_ended or not self._parser.should_keep_alive():
            self._end_input()
        exchange.start()

    def _request(self, body):
        """Returns the :class:`Request` of the head that has arrived and a body."""
        return Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=body,
            arrived_at=self._request_started_at,
            completed_at=self.node.now(),
        )

    def answer_ready(self):
        """Writes the answers that are ready and next in order, as the caller reads."""
        self._write_answers()
        self._output.count(sum(exchange.answer_bytes for exchange in self.exchanges))
        self._parse()

    def _write_answers(self, *, ignores_block=False):
        while (
            self.exchanges
            and self.exchanges[0].answer is not None
            and (ignores_block or not self._output.is_blocked)
        ):
            exchange = self.exchanges.popleft()
            closes_connection = exchange.request.closes_connection or (
                self.node.stopping and not self.exchanges
            )
            data = exchange.encode(close=closes_connection)
            self._output.write(data)
            self.node.link.record_write(len(data))
            self.idle_since = self.node.now()
            if closes_connection:
                self._close()
                break

    def _close(self):
        """Closes the connection after its last answer."""
        self._end_input()
        self.closing = True
        self._pause_or_resume()
        self._output.end()
        # Closing a socket with unread data resets the connection, and the caller might
        # lose the answer in transit.
        self.transport.loseWriteConnection()
        self.lingers_until = self.node.now() + LINGER_S

    def _end_input(self):
        """Lets no further request begin, since the connection is going to be closed.

        It is closed after the answer to the last request that was read, so that the
        caller knows that those behind it were not read.
        """
        self._input_ended = True
        self._unparsed = b""
        self._body = ArrivingBody()
        self.node.held_requests.release(self)
        if self.exchanges:
            self.exchanges[-1].request.closes_connection = True

    def stop_reading(self):
        """Reads no further request, because the process stops.

        A request that is arriving with none before it is read to its end, unless it
        would be refused then.
        """
        if self._input_ended:
            return
        if self.exchanges:
            self._end_input()
        elif self._request_started_at is None:
            self._close_idle()
        elif self._in_body:
            self._refuse_if_too_late()

    def _refuse_if_too_late(self):
        """Refuses the arriving request if its answer may come after the stop."""
        if not self.exchanges and self.node.may_outlast_stop(self._request(Body())):
            self._reject(codes.SHUTTING_DOWN, self.node.RETRY_AFTER_UNAVAILABLE_S)

    def _reject(self, code, retry_after_s=None):
        """Rejects input, after the answers to earlier requests."""
        if self.closing:
            return
        self._end_input()
        if self.exchanges:
            return
        self.node.request_log.log_result(code, None)
        request_id = dict(self._headers).get(header_names.REQUEST_ID, b"")
        self._output.write(
            answers.result_answer(
                code,
                request_id=request_id,
                run="no",
                retry_after_s=retry_after_s,
                close=True,
            )
        )
        self._close()

    def check_timeouts(self, now, limits):
        """Closes the connection if one of its timeouts has expired.

        The timeouts of input do not run while this VM reads nothing, and those of an
        idle connection not while the caller still gets an answer.

        :param now: monotonic seconds.
        :param limits: the :class:`briarspoke.entry.routes.CallerLimits`.
        """
        timeout_s = limits.idle_timeout_s
        is_idle = (
            not self.exchanges
            and self._request_started_at is None
            and now - self.idle_since > timeout_s
        )
        is_lingering = self.lingers_until is not None
        delivery = self._output.delivery
        delivery.update(now, asks_kernel=is_lingering or is_idle)
        if delivery.is_stalled(now, timeout_s):
            self.transport.abortConnection()
        elif is_lingering:
            if delivery.undelivered_bytes:
                self.lingers_until = now + LINGER_S
            elif now > self.lingers_until:
                # A reset could make the caller lose what it has not read yet.
                self.transport.loseConnection()
        elif self._paused:
            return
        elif self._request_started_at is not None:
            head_late = now - self._request_started_at > limits.head_timeout_s
            body_stalled = now - self.data_at > timeout_s
            if body_stalled if self._in_body else head_late:
                self._reject(codes.REQUEST_TIMEOUT)
        elif is_idle and not delivery.undelivered_bytes:
            if delivery.progress_at > self.idle_since:
                self.idle_since = delivery.progress_at
            else:
                self._close_idle()

    def finish_requests(self):
        """Answers every pending request, because the process stops.

        The connection is closed after the last answer.

        Answers are sent in order. Without this, one slow request would hold back the
        ready answers behind it, and they would be lost when the process ends.
        """
        if not self.exchanges and self._request_started_at is not None:
            self._reject(codes.SHUTTING_DOWN, self.node.RETRY_AFTER_UNAVAILABLE_S)
        for exchange in list(self.exchanges):
            exchange.end_for_shutdown()
        self._pause_or_resume()

    def hand_over(self):
        """Gives the kernel all answers, because the process ends.

        The input is read until then, since closing a socket with unread data discards
        what the kernel has not sent.
        """
        self._write_answers(ignores_block=True)
        self._output.hand_over()

    def _close_idle(self):
        if self._output.has_undelivered:
            # What the caller sends after a full close would reset the connection.
            self._close()
            return
        # No answer is in transit. A request that the caller sends at the same moment is
        # reset immediately after a full close. After a half close it would stay unread
        # until the connection ends.
        self._end_input()
        self.closing = True
        self._output.end()
        self.transport.loseConnection()


class CallerFactory(protocol.ServerFactory):
    """Creates a :class:`CallerConnection` for each accepted connection."""

    noisy = False

    def __init__(self, node):
        self._node = node

    def buildProtocol(self, address):
        return CallerConnection(self._node)
