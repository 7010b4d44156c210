"""One request from its arrival to the last byte of its answer."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.admission.queue import LoadSignal, Ticket
from briarspoke.errors import Refusal
from briarspoke.http import wire
from briarspoke.http.heads import request_head
from briarspoke.http.producers import CallerProducer, ServerProducer
from briarspoke.http.relay_completion import RelayCompletion
from briarspoke.retry.policy import Outcome

log = logging.getLogger(__name__)

# Bodies up to this size are held, so that a slow caller holds no slot and the
# request can be repeated.
MAX_BUFFERED_BODY_BYTES = 65_536
STREAM_BUFFER_BYTES = 65_536
# The gateway's own verdict on a deadline says whether the request has run, so
# the node that forwarded it waits a little longer.
FORWARD_GRACE_S = 0.1


class Relay(RelayCompletion):
    """State of one request.

    :param router: the :class:`briarspoke.http.router.Router` of the node.
    :param exchange: the caller's side, a
        :class:`briarspoke.http.callers.CallerExchange`.
    :param head: the :class:`briarspoke.routing.classify.RequestHead`.
    :param raw_headers: list of (name, value) in bytes as the caller sent them.
    :param length: body length in bytes, or None for a chunked body.
    :param forward: the verified :class:`briarspoke.http.forward.Forward` of a
        request that another entry VM has forwarded.
    :param refusal: a :class:`Refusal` that is certain from the start.
    """

    __slots__ = (
        "answer_started",
        "attempts",
        "body",
        "body_complete",
        "caller_paused",
        "classified",
        "connection",
        "done",
        "exchange",
        "expires_at",
        "first_attempt_counted",
        "forward",
        "forwarded_bytes",
        "head",
        "in_flight_partition",
        "length",
        "parked_refusal",
        "parked_until",
        "peer",
        "peer_result_passed_on",
        "queue",
        "raw_headers",
        "received_bytes",
        "refusal",
        "request_id",
        "route",
        "router",
        "streaming",
        "ticket",
        "unknown_attempt",
    )

    def __init__(
        self,
        *,
        router,
        exchange,
        head,
        raw_headers,
        length,
        request_id,
        forward=None,
        refusal=None,
    ):
        self.router = router
        self.exchange = exchange
        self.head = head
        self.raw_headers = raw_headers
        self.length = length
        self.request_id = request_id
        self.forward = forward
        self.refusal = refusal
        self.classified = None
        self.expires_at = None
        self.route = None
        self.peer = None
        self.queue = None
        self.ticket = None
        self.connection = None
        self.attempts = 0
        # Whether the retry budget has counted this request.
        self.first_attempt_counted = False
        # Refusal that is put off while the request waits for its owner.
        self.parked_refusal = None
        self.parked_until = None
        # Name of the partition that counts this request as in flight.
        self.in_flight_partition = None
        # Attempt whose outcome is unknown; from then on no result may say
        # that the request has not run.
        self.unknown_attempt = None
        self.body = []
        self.received_bytes = 0
        self.body_complete = length == 0
        self.streaming = length is not None and length > MAX_BUFFERED_BODY_BYTES
        self.caller_paused = False
        self.answer_started = False
        self.peer_result_passed_on = False
        self.forwarded_bytes = 0
        self.done = False

    # From the caller.

    def start(self):
        """Classifies the request and sends it once its body allows."""
        try:
            if self.refusal is not None:
                raise self.refusal
            self.classified = self.router.admit(self.head, self.forward)
            self.expires_at = self.classified.deadline
            if self.length is not None:
                wire.check_body_length(self.classified.service, self.length)
        except Refusal as refusal:
            self._refuse_head(refusal)
            return
        if self.streaming:
            self.pause_caller()
        if self.streaming or self.body_complete:
            self._route()

    def _refuse_head(self, refusal):
        small = self.length is not None and self.length <= MAX_BUFFERED_BODY_BYTES
        if small and not self.body_complete and not self.exchange.expects_continue:
            # Reading a small body first keeps the caller's connection usable.
            self.refusal = refusal
        else:
            self.refuse(refusal)

    def body_data(self, data):
        """Takes body data of the caller."""
        if self.done or self.refusal is not None:
            return
        self.received_bytes += len(data)
        if self.body is None:
            if self.connection is not None:
                self.connection.write_body(self._encode(data))
        else:
            self.body.append(data)
            if self.streaming:
                self.pause_caller()
            elif self.received_bytes > MAX_BUFFERED_BODY_BYTES:
                self.streaming = True
                self.pause_caller()
                self._route()
        if self.length is None and self.classified is not None:
            self._check_chunked_length()

    def _check_chunked_length(self):
        try:
            wire.check_body_length(self.classified.service, self.received_bytes)
        except Refusal as refusal:
            self.interrupt(refusal.code, refusal.detail)

    def body_end(self):
        """Notes that the body has arrived whole."""
        self.body_complete = True
        if self.done:
            return
        if self.refusal is not None:
            self.refuse(self.refusal)
        elif not self.streaming:
            self.length = self.received_bytes
            self._route()
        elif self.connection is not None:
            self._end_upstream_body()

    # Routing and admission.

    def _route(self):
        self.parked_refusal = None
        try:
            self.route = self.router.route(self.classified, self.forward)
            self.peer = None
            if self.forward is None:
                self.peer = self.router.gateway_of(self.route.server)
            if self.peer is None:
                self.router.owner_checks.check_server(self.route.server)
        except Refusal as refusal:
            self._park_or_refuse(refusal)
            return
        if self.peer is not None:
            self.expires_at = self.classified.deadline + FORWARD_GRACE_S
            self._count_attempt()
            self.router.forward(self)
            return
        self.queue = self.router.queue_of(self.route.server, self.classified.service)
        self.ticket = Ticket(
            rank=self.classified.rank, deadline=self.classified.deadline, context=self
        )
        self.router.offer(self.queue, self.ticket)

    def _park_or_refuse(self, refusal):
        if not self.router.parked_requests.park(self, refusal):
            self.refuse(refusal)

    def retry_now(self):
        """Routes the request again after a failed attempt."""
        if not self.done:
            self._route()

    def slot_granted(self):
        """Sends the request; called when admission starts its ticket."""
        self._count_attempt()
        self.router.pool_of(self.route.server).acquire(
            self, idempotent=self.classified.idempotent
        )

    def _count_attempt(self):
        self.attempts += 1
        if not self.first_attempt_counted:
            # Once, although attempts that cost the server nothing are taken back.
            self.first_attempt_counted = True
            self.router.count_first_attempt(self.classified.service)

    def connected(self, connection):
        """Writes the request on a connection."""
        if self.done:
            connection.pool.put_back(connection)
            return
        if self.peer is None:
            try:
                self.router.owner_checks.check_ownership(self)
            except Refusal as refusal:
                connection.pool.put_back(connection)
                # Nothing was sent, so the server has spent no attempt.
                self.attempts -= 1
                self._release_slot(LoadSignal.NOT_SENT)
                self._park_or_refuse(refusal)
                return
            self.router.owner_checks.attempt_started(self)
        self.connection = connection
        head = request_head(self, connection)
        if self.streaming:
            connection.start(head, self, is_head=self.head.method == "HEAD")
            # Registered first, so that what was held counts as well.
            producer = CallerProducer(self)
            connection.transport.registerProducer(producer, True)
            body, self.body = self.body, None
            for data in body:
                connection.write_body(self._encode(data))
            if self.connection is not None and not producer.paused:
                self.resume_caller()
        else:
            # One write, so that head and body leave in one segment.
            connection.start(
                b"".join((head, *self.body)) if self.body else head,
                self,
                is_head=self.head.method == "HEAD",
            )
        if self.body_complete:
            self._end_upstream_body()

    def _encode(self, data):
        if self.length is None:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def _end_upstream_body(self):
        if self.streaming:
            if self.length is None:
                self.connection.write_body(b"0\r\n\r\n")
            self.connection.transport.unregisterProducer()
        self.connection.end_request()

    # From the server.

    def answer_head(self, head):
        """Passes on the head of the answer, or retries a refusal."""
        if self.peer is not None:
            attempt = wire.parse_peer_result(head)
            if attempt is not None and not self._passes_on_result(attempt):
                return
        else:
            self.router.owner_checks.server_answered(self.route.server)
            attempt = wire.parse_server_refusal(head)
            if attempt is not None:
                self._discard_answer()
                self.attempt_failed(attempt)
                return
        self.answer_started = True
        self.exchange.answer_head(
            head, self.request_id, from_peer=self.peer is not None
        )
        if head.length is None or head.length > STREAM_BUFFER_BYTES:
            self.exchange.register_producer(ServerProducer(self))

    def _passes_on_result(self, attempt):
        """Returns whether a peer's result is passed on as it is."""
        self.router.count_attempt(attempt.outcome)
        if attempt.code is codes.SHUTTING_DOWN:
            self.router.avoid_peer(self.peer)
        retryable = (
            attempt.outcome is Outcome.NOT_RUN
            and attempt.code.kind is codes.Kind.UNAVAILABLE
        )
        if retryable and self.router.retry(self, attempt):
            self._discard_answer()
            return False
        if self.unknown_attempt is not None:
            # The peer's result speaks of its own attempt alone.
            self._discard_answer()
            self.fail(attempt)
            return False
        self.router.count_result(attempt.code)
        self.peer_result_passed_on = True
        return True

    def _discard_answer(self):
        connection, self.connection = self.connection, None
        connection.discard_answer()

    def answer_data(self, data):
        """Passes on body data of the answer."""
        self.forwarded_bytes += len(data)
        self.exchange.answer_data(data)

    def answer_flush(self):
        """Writes what the server's last packet has brought."""
        self.exchange.flush()

    def answer_complete(self):
        """Ends the request after its whole answer."""
        self.connection = None
        self.done = True
        if self.peer_result_passed_on:
            self.router.request_ended(self)
        else:
            self.router.request_answered(self)
        self.exchange.answer_end(reusable=self.body_complete)
        self.router.owner_checks.attempt_ended(self, may_run=False)
        self._release_slot(LoadSignal.OK)

    def attempt_failed(self, attempt):
        """Tries again where that is safe, or reports the outcome."""
        self.connection = None
        if self.done:
            return
        self.router.count_attempt(attempt.outcome)
        if self.answer_started:
            # Part of the answer has left; only a cut tells that it is not whole.
            self.router.count_result(attempt.code)
            self.exchange.abort()
            self._end()
            return
        if attempt.outcome is Outcome.UNKNOWN:
            self.unknown_attempt = attempt
        elif self.peer is not None and self._try_another_gateway(attempt):
            return
        self.router.owner_checks.attempt_ended(
            self, may_run=attempt.outcome is Outcome.UNKNOWN
        )
        if self.peer is None and attempt.reason == "connect-failed":
            # Before the slot is free, or the next request would connect in vain.
            self.router.owner_checks.server_unreachable(self.route.server)
        self._release_slot(
            LoadSignal.SHED if attempt.reason == "shed" else LoadSignal.FAILED
        )
        if self._try_park(attempt) or self._try_reroute(attempt):
            return
        if not self.done and not self.router.retry(self, attempt):
            self.fail(attempt)

    def _try_another_gateway(self, attempt):
        """Returns whether another gateway is tried at once.

        No server has seen the request, so this is no retry of its work; each
        peer is passed over for a while, which bounds the tries.
        """
        self.router.avoid_peer(self.peer)
        if self.body is None or attempt.reason != "connect-failed":
            return False
        self.attempts -= 1
        self._route()
        return True

    def _try_reroute(self, attempt):
        """Returns whether a request is sent to the new owner of its partition."""
        if self.peer is not None or self.body is None:
            return False
        if attempt.outcome is not Outcome.NOT_RUN or self.done:
            return False
        if not self.router.owner_checks.route_changed(self):
            return False
        self.attempts -= 1
        self._route()
        return True

    def server_unreachable(self, refusal):
        """Leaves the queue of a server that cannot be reached."""
        if not self.router.owner_checks.route_changed(self):
            self.refuse(refusal)
            return
        ticket, self.ticket = self.ticket, None
        self.router.cancel(self.queue, ticket)
        self._route()

    def _try_park(self, attempt):
        """Returns whether a request that its server fenced off waits instead."""
        if self.peer is not None or attempt.reason != "fenced":
            return False
        if not self.router.parked_requests.park(self, Refusal(attempt.code)):
            return False
        # The server has done no work, so the attempt does not count.
        self.attempts -= 1
        return True

    # Backpressure.

    def pause_caller(self):
        """Stops reading the body."""
        if not self.caller_paused and not self.body_complete and not self.done:
            self.caller_paused = True
            self.exchange.pause_body()

    def resume_caller(self):
        """Reads the body again."""
        if self.caller_paused and not self.done:
            self.caller_paused = False
            self.exchange.resume_body()
