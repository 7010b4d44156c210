"""The processing of one request, from its head to the last byte of its answer."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.admission.queue import LoadSignal, Ticket
from briarspoke.errors import Refusal
from briarspoke.http import wire
from briarspoke.http.heads import request_head
from briarspoke.http.producers import CallerProducer, ServerProducer
from briarspoke.http.request_completion import RequestCompletion
from briarspoke.retry.policy import Outcome

log = logging.getLogger(__name__)

# Bodies up to this size are read completely before the request is sent, so that a
# slow caller occupies no slot and the request can be retried.
MAX_BUFFERED_BODY_BYTES = 65_536
STREAM_BUFFER_BYTES = 65_536
# At the deadline, only the gateway knows whether the request has run. The node that
# forwarded the request waits this much longer for the gateway's result.
FORWARD_GRACE_S = 0.1


class ProxiedRequest(RequestCompletion):
    """Processes one request: admission, routing, attempts and the answer.

    :param router: the :class:`briarspoke.http.router.Router` of the node.
    :param exchange: the caller's side, a
        :class:`briarspoke.http.exchange.CallerExchange`.
    :param head: the :class:`briarspoke.routing.classify.RequestHead`.
    :param raw_headers: list of (name, value) in bytes as the caller sent them.
    :param length: body length in bytes, or None for a chunked body.
    :param request_id: identifier of the request in logs, headers and results.
    :param forward: the verified :class:`briarspoke.http.forward.Forward` of a
        request that another entry VM has forwarded.
    :param refusal: a :class:`Refusal` if the request has failed verification.
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
        # Whether this request was credited to the retry budget.
        self.first_attempt_counted = False
        # The refusal sent if the owner does not become available in time.
        self.parked_refusal = None
        self.parked_until = None
        # Partition for which the routing leases count this request as in flight.
        self.in_flight_partition = None
        # The last attempt with an unknown outcome. Once it is set, no result may
        # state that the request has not run.
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

    # Called by the exchange.

    def start(self):
        """Admits the request and routes it, or waits for its body first."""
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
        is_small = self.length is not None and self.length <= MAX_BUFFERED_BODY_BYTES
        if is_small and not self.body_complete and not self.exchange.expects_continue:
            # The caller's connection can be reused only after the body was read.
            self.refusal = refusal
        else:
            self.refuse(refusal)

    def body_data(self, data):
        """Forwards or buffers body data from the caller."""
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
        """Handles the end of the caller's body."""
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
        """Routes the request again after a failed attempt or a wait."""
        if not self.done:
            self._route()

    def slot_granted(self):
        """Requests a connection; called when the queue grants a slot."""
        self._count_attempt()
        self.router.pool_of(self.route.server).acquire(
            self, idempotent=self.classified.idempotent
        )

    def _count_attempt(self):
        self.attempts += 1
        if not self.first_attempt_counted:
            # Only once per request: attempts that cost the server no work are later
            # subtracted from ``attempts``, which may therefore become 1 repeatedly.
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
                # Nothing was sent to the server, so this does not count as an attempt.
                self.attempts -= 1
                self._release_slot(LoadSignal.NOT_SENT)
                self._park_or_refuse(refusal)
                return
            self.router.owner_checks.attempt_started(self)
        self.connection = connection
        head = request_head(self, connection)
        if self.streaming:
            connection.start(head, self, is_head=self.head.method == "HEAD")
            # Registered before the buffered body is written, so that this data can
            # pause the caller as well.
            producer = CallerProducer(self)
            connection.transport.registerProducer(producer, True)
            body, self.body = self.body, None
            for data in body:
                connection.write_body(self._encode(data))
            if self.connection is not None and not producer.paused:
                self.resume_caller()
        else:
            # A single write sends head and body in one TCP segment.
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

    # Called by the upstream connection.

    def answer_head(self, head):
        """Passes on the head of the answer, or handles a refusal."""
        if self.peer is not None:
            attempt = wire.parse_peer_result(head)
            if attempt is not None and not self._passes_on_result(attempt):
                return
        else:
            self.router.owner_checks.server_answered(self.route.server)
            attempt = wire.parse_server_refusal(head)
            if attempt is not None:
                self.connection.has_refused = True
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
        """Returns whether the result of a peer is passed on unchanged.

        Otherwise the request is retried, or ends with the unknown outcome of an
        earlier attempt.
        """
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
            # The peer's result covers only its own attempt, not the earlier one.
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
        """Writes the answer data of the server's last packet to the caller."""
        self.exchange.flush()

    def answer_complete(self):
        """Ends the request after its complete answer."""
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
        """Parks, reroutes or retries the request if that is safe, or ends it."""
        self.connection = None
        if self.done:
            return
        self.router.count_attempt(attempt.outcome)
        if self.answer_started:
            # A part of the answer was sent. Only an aborted connection tells the
            # caller that the answer is incomplete.
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
            # Must precede the release of the slot. Otherwise the next request in the
            # queue would also try to connect to the unreachable server.
            self.router.owner_checks.server_unreachable(self.route.server)
        self._release_slot(
            LoadSignal.SHED if attempt.reason == "shed" else LoadSignal.FAILED
        )
        if self._try_park(attempt) or self._try_reroute(attempt):
            return
        if not self.done and not self.router.retry(self, attempt):
            self.fail(attempt)

    def _try_another_gateway(self, attempt):
        """Sends the request to another gateway if the peer was unreachable.

        No server has received the request, so this does not count as a retry. The
        number of tries is bounded, because each unreachable peer is avoided for a
        short time.

        :returns: whether the request was routed again.
        """
        self.router.avoid_peer(self.peer)
        if self.body is None or attempt.reason != "connect-failed":
            return False
        self.attempts -= 1
        self._route()
        return True

    def _try_reroute(self, attempt):
        """Routes the request again if its partition has a new route.

        :returns: whether the request was routed again.
        """
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
        """Leaves the queue of an unreachable server.

        :param refusal: the refusal sent unless the partition has a new route.
        """
        if not self.router.owner_checks.route_changed(self):
            self.refuse(refusal)
            return
        ticket, self.ticket = self.ticket, None
        self.router.cancel(self.queue, ticket)
        self._route()

    def _try_park(self, attempt):
        """Parks the request if its server has refused it as fenced.

        :returns: whether the request was parked.
        """
        if self.peer is not None or attempt.reason != "fenced":
            return False
        if not self.router.parked_requests.park(self, Refusal(attempt.code)):
            return False
        # The server has not run the request, so the attempt does not count.
        self.attempts -= 1
        return True

    def pause_caller(self):
        """Stops reading the body from the caller."""
        if not self.caller_paused and not self.body_complete and not self.done:
            self.caller_paused = True
            self.exchange.pause_body()

    def resume_caller(self):
        """Resumes reading the body from the caller."""
        if self.caller_paused and not self.done:
            self.caller_paused = False
            self.exchange.resume_body()
