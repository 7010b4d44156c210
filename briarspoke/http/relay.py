"""One request from its arrival to the last byte of its answer."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.admission.queue import Signal, Ticket
from briarspoke.errors import Refusal
from briarspoke.http import wire
from briarspoke.http.upstream import HOP_BY_HOP
from briarspoke.retry.policy import Attempt, Outcome, may_retry

log = logging.getLogger(__name__)

# Bodies up to this size are held, so that a slow caller holds no slot and the
# request can be repeated.
HELD_BODY_BYTES = 65_536
STREAM_BUFFER_BYTES = 65_536

_DROPPED = HOP_BY_HOP | {
    b"host",
    b"content-length",
    b"expect",
    b"briarspoke-epoch",
    b"briarspoke-partition",
    b"briarspoke-owner",
    b"briarspoke-deadline-ms",
    b"briarspoke-request-id",
}


class Relay:
    """State of one request.

    :param router: the :class:`briarspoke.http.router.Router` of the node.
    :param exchange: the caller's side, a
        :class:`briarspoke.http.callers.CallerExchange`.
    :param head: the :class:`briarspoke.routing.classify.RequestHead`.
    :param raw_headers: list of (name, value) in bytes as the caller sent them.
    :param length: body length in bytes, or None for a chunked body.
    """

    __slots__ = (
        "answered",
        "attempts",
        "body",
        "body_complete",
        "classified",
        "connection",
        "done",
        "exchange",
        "forwarded_bytes",
        "head",
        "held",
        "length",
        "paused_caller",
        "queue",
        "raw_headers",
        "request_id",
        "route",
        "router",
        "streaming",
        "ticket",
    )

    def __init__(self, *, router, exchange, head, raw_headers, length, request_id):
        self.router = router
        self.exchange = exchange
        self.head = head
        self.raw_headers = raw_headers
        self.length = length
        self.request_id = request_id
        self.classified = None
        self.route = None
        self.queue = None
        self.ticket = None
        self.connection = None
        self.attempts = 0
        self.body = []
        self.held = 0
        self.body_complete = length == 0
        self.streaming = length is None or length > HELD_BODY_BYTES
        self.paused_caller = False
        self.answered = False
        self.forwarded_bytes = 0
        self.done = False

    # From the caller.

    def start(self):
        """Classifies the request and sends it once its body allows."""
        try:
            self.classified = self.router.admit(self.head)
            if self.length is not None:
                wire.check_body_length(self.classified.service, self.length)
        except Refusal as refusal:
            self.refuse(refusal)
            return
        if self.streaming:
            self._pause_caller()
        if self.streaming or self.body_complete:
            self._route()

    def body_data(self, data):
        """Takes body data of the caller."""
        if self.done:
            return
        self.held += len(data)
        if self.connection is not None and self.streaming:
            self.connection.write_body(self._encode(data))
            self.body = None
        else:
            self.body.append(data)
            self._pause_caller_if_full()

    def body_end(self):
        """Notes that the body has arrived whole."""
        self.body_complete = True
        if self.done:
            return
        if not self.streaming:
            self._route()
        elif self.connection is not None:
            self._end_upstream_body()

    def caller_gone(self):
        """Ends the request because its caller has closed the connection."""
        if self.done:
            return
        self.router.count_result(codes.CALLER_GONE)
        self._end()

    # Routing and admission.

    def _route(self):
        try:
            self.route, self.queue = self.router.route(self.classified)
        except Refusal as refusal:
            self.refuse(refusal)
            return
        self.ticket = Ticket(
            rank=self.classified.rank, deadline=self.classified.deadline, context=self
        )
        self.router.offer(self.queue, self.ticket)

    def retry_now(self):
        """Routes the request again after a failed attempt."""
        if not self.done:
            self._route()

    def slot_granted(self):
        """Sends the request; called when admission starts its ticket."""
        self.attempts += 1
        if self.attempts == 1:
            self.router.first_attempt(self.classified.service)
        self.router.pool_of(self.route.server).acquire(self)

    def connected(self, connection):
        """Writes the request on a connection."""
        if self.done:
            connection.pool.exchange_ended(connection)
            return
        self.connection = connection
        connection.start(
            self._upstream_head(), self, is_head=self.head.method == "HEAD"
        )
        for data in self.body or ():
            connection.write_body(self._encode(data))
        if self.streaming:
            self.body = None
            connection.transport.registerProducer(_CallerProducer(self), True)
            self._resume_caller()
        if self.body_complete:
            self._end_upstream_body()

    def _upstream_head(self):
        now = self.router.now()
        lines = [f"{self.head.method} {self.head.target} HTTP/1.1".encode()]
        lines += [
            name + b": " + value
            for name, value in self.raw_headers
            if name.lower() not in _DROPPED
        ]
        remaining_ms = max(1, int((self.classified.deadline - now) * 1000))
        lines.append(
            f"Host: {self.connection.pool}\r\n"
            f"Briarspoke-Epoch: {self.route.epoch}\r\n"
            f"Briarspoke-Partition: {self.classified.service.name}/"
            f"{self.classified.partition}\r\n"
            f"Briarspoke-Owner: {self.route.server}\r\n"
            f"Briarspoke-Deadline-Ms: {remaining_ms}\r\n"
            f"Briarspoke-Request-Id: {self.request_id}".encode()
        )
        if self.length is None:
            lines.append(b"Transfer-Encoding: chunked")
        elif self.length or self.head.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"Content-Length: %d" % self.length)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _encode(self, data):
        if self.length is None:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def _end_upstream_body(self):
        if self.length is None:
            self.connection.write_body(b"0\r\n\r\n")
        if self.streaming:
            self.connection.transport.unregisterProducer()
        self.connection.end_request()

    # From the server.

    def answer_head(self, head):
        """Passes on the head of the answer, or retries a refusal."""
        attempt = wire.refusal_of_server(head)
        if attempt is not None:
            self.connection.abort()
            self.connection = None
            self.attempt_failed(attempt)
            return
        self.answered = True
        self.exchange.answer_head(head, self.request_id)
        if head.length is None or head.length > STREAM_BUFFER_BYTES:
            self.exchange.register_producer(_ServerProducer(self))

    def answer_data(self, data):
        """Passes on body data of the answer."""
        self.forwarded_bytes += len(data)
        self.exchange.answer_data(data)

    def answer_complete(self):
        """Ends the request after its whole answer."""
        self.connection = None
        self.done = True
        self._release(Signal.OK)
        self.router.request_answered(self)
        self.exchange.answer_end(reusable=self.body_complete)

    def attempt_failed(self, attempt):
        """Tries again where that is safe, or reports the outcome."""
        self.connection = None
        if self.done:
            return
        self.router.count_attempt(attempt.outcome)
        if self.answered:
            # Part of the answer has left; only a cut tells that it is not whole.
            self.router.count_result(attempt.code)
            self.exchange.abort()
            self._end()
            return
        signal = {
            Outcome.NOT_RUN: Signal.SHED if attempt.reason == "shed" else Signal.FAILED
        }.get(attempt.outcome, Signal.FAILED)
        self._release(signal)
        replayable = self.body is not None
        allowed = may_retry(
            attempt,
            idempotent=self.classified.idempotent,
            replayable=replayable,
            forwarded_bytes=self.forwarded_bytes,
        )
        if self.router.retry(self, attempt, safe=allowed):
            return
        self.fail(attempt)

    # Ends.

    def refuse(self, refusal):
        """Answers with a refusal; the request has not run."""
        self.router.count_result(refusal.code)
        self._answer(refusal.code, refusal.detail, "no", refusal.retry_after_ms)

    def fail(self, attempt):
        """Answers with the result of the last attempt."""
        run = "no" if attempt.outcome is Outcome.NOT_RUN else "unknown"
        self.router.count_result(attempt.code)
        self._answer(attempt.code, attempt.code.meaning, run, None)

    def deadline_passed(self):
        """Ends the request at its deadline."""
        if self.done:
            return
        if self.connection is None:
            self.refuse(Refusal(codes.DEADLINE_IN_QUEUE))
            return
        connection, self.connection = self.connection, None
        connection.abort()
        self.attempt_failed(
            Attempt(
                outcome=Outcome.UNKNOWN, reason="timeout", code=codes.ANSWER_TIMEOUT
            )
        )

    def _answer(self, code, detail, run, retry_after_ms):
        if self.done:
            return
        self._end()
        self.exchange.result(
            wire.result_head_and_body(
                code, detail, run, self.request_id, retry_after_ms
            ),
            reusable=self.body_complete,
        )

    def _end(self):
        self.done = True
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
        if self.ticket is not None:
            self.router.cancel(self.queue, self.ticket)
            self.ticket = None
        self.router.request_ended(self)

    def _release(self, signal):
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            self.router.release(self.queue, ticket, signal)

    # Backpressure.

    def _pause_caller(self):
        if not self.paused_caller and not self.body_complete:
            self.paused_caller = True
            self.exchange.pause_body()

    def _pause_caller_if_full(self):
        if self.streaming and self.connection is None:
            self._pause_caller()

    def _resume_caller(self):
        if self.paused_caller:
            self.paused_caller = False
            self.exchange.resume_body()


class _CallerProducer:
    """Lets the server's connection pause the caller's body."""

    __slots__ = ("_relay",)

    def __init__(self, relay):
        self._relay = relay

    def pauseProducing(self):
        self._relay._pause_caller()

    def resumeProducing(self):
        self._relay._resume_caller()

    def stopProducing(self):
        """Does nothing; a lost connection is reported to the relay."""


class _ServerProducer:
    """Lets the caller's connection pause the server's answer."""

    __slots__ = ("_relay",)

    def __init__(self, relay):
        self._relay = relay

    def pauseProducing(self):
        if self._relay.connection is not None:
            self._relay.connection.transport.pauseProducing()

    def resumeProducing(self):
        if self._relay.connection is not None:
            self._relay.connection.transport.resumeProducing()

    def stopProducing(self):
        """Does nothing; a lost caller is reported to the relay."""
