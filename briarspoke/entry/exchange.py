"""Processing of one request, from its arrival to its answer."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.entry import answers, serverload
from briarspoke.entry.arriving import Body
from briarspoke.entry.crashes import CRASH_FAILURES
from briarspoke.entry.servers import WITHDRAWN
from briarspoke.http.upstream import HOP_BY_HOP
from briarspoke.http.wire import connection_options
from briarspoke.platform import headers as header_names

log = logging.getLogger(__name__)

# Subtracted from the caller's deadline for the network time of request and answer.
DEADLINE_MARGIN_S = 0.01
# Used for a request without a deadline header.
DEFAULT_DEADLINE_S = 30.0
MAX_KEY = 65_535
# Retries after a server answered that it is not responsible for the key, for example
# while the key changes owner. They do not count as attempts.
MAX_MISDIRECTED_RETRIES = 3
# Statuses that promise that a request has not run.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
# Callers wait for a Retry-After at most for this fraction of the time they have left.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Failures after which the server may be unreachable.
UNREACHABLE_FAILURES = frozenset({"connect", "refused", "timeout"})
# Longest time after which a caller whose request is held back is asked to come back.
MAX_RETRY_AFTER_S = 30.0
# Bytes of the request line and of the headers that this VM adds, without the target.
ADDED_HEAD_BYTES = 150
# Delay before a request is sent again to an owner that did not hold its key yet.
SAME_OWNER_RETRY_DELAY_S = 0.08

_REPLACED_HEADERS = HOP_BY_HOP | {
    header_names.DEADLINE_MS,
    header_names.TARGET_SERVER,
    b"content-length",
    b"expect",
}


class Request:
    """A complete request of a caller.

    :param method: HTTP method in bytes.
    :param target: path and query in bytes.
    :param headers: list of (name in lower case, value) in bytes.
    :param body: the :class:`briarspoke.entry.arriving.Body`.
    :param arrived_at: monotonic seconds of its first byte.
    :param completed_at: monotonic seconds of its last byte.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "closes_connection",
        "completed_at",
        "deadline_s",
        "fingerprint",
        "headers",
        "held_bytes",
        "host",
        "key",
        "method",
        "request_id",
        "target",
    )

    def __init__(self, *, method, target, headers, body, arrived_at, completed_at):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.completed_at = completed_at
        self.closes_connection = False
        # Bytes that the limit on held request bodies counts for this request.
        self.held_bytes = 0
        self.host = b""
        self.request_id = b""
        self.deadline_s = None
        self.key = None
        # See :class:`briarspoke.entry.fingerprints.Fingerprints`; computed when needed.
        self.fingerprint = None
        for name, value in headers:
            if name == b"host":
                self.host = value.split(b":")[0].strip().lower()
            elif name == header_names.REQUEST_ID:
                self.request_id = value
            elif name == header_names.DEADLINE_MS:
                if value.isdigit() and len(value) < 10:
                    self.deadline_s = int(value) / 1000
            elif name == header_names.KEY and value.isdigit() and len(value) < 6:
                self.key = int(value)

    @property
    def size_bytes(self):
        """Size of the request as it is sent to a server, in bytes."""
        head = sum(len(name) + len(value) + 4 for name, value in self.headers)
        return ADDED_HEAD_BYTES + len(self.target) + head + len(self.body)

    @property
    def path(self):
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0]

    def expires_at(self, route):
        """Returns the time at which the caller's or the route's time limit ends.

        :param route: the :class:`briarspoke.entry.routes.Route`.
        """
        wait_s = self.deadline_s or DEFAULT_DEADLINE_S
        if self.deadline_s is not None:
            wait_s -= DEADLINE_MARGIN_S
        if route.timeout_s is not None:
            wait_s = min(wait_s, route.timeout_s)
        return self.arrived_at + wait_s


class Exchange:
    """Sends a request to a server, retries it if allowed, and answers the caller.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param connection: the caller's
        :class:`briarspoke.entry.callers.CallerConnection`.
    :param request: the :class:`Request`.
    """

    __slots__ = (
        "_avoid_owner_until",
        "_encoded_head",
        "_misdirected_by",
        "answer",
        "attempts",
        "connection",
        "dispatcher",
        "done",
        "expires_at",
        "give_up_at",
        "misdirected_count",
        "node",
        "queued_at",
        "refusal_code",
        "request",
        "route",
        "sent_at",
        "server",
        "tried",
        "unknown_outcome_code",
        "upstream_request",
    )

    def __init__(self, *, node, connection, request):
        self.node = node
        self.connection = connection
        self.request = request
        self.answer = None
        self.done = False
        self.route = None
        self.dispatcher = None
        self.server = None
        self.upstream_request = None
        self.sent_at = 0.0
        self.expires_at = 0.0
        self.queued_at = None
        self.give_up_at = None
        self.attempts = 0
        self.misdirected_count = 0
        # Owner that answered that it does not hold the key, and the time until which
        # the request is not sent to it again.
        self._misdirected_by = None
        self._avoid_owner_until = 0.0
        # Servers to which this request has been sent.
        self.tried = ()
        # Result code of an earlier attempt that may have run, or None.
        self.unknown_outcome_code = None
        # Result code if the request leaves its queue without being sent.
        self.refusal_code = codes.QUEUE_FULL
        self._encoded_head = None

    def start(self):
        """Finds the route of the request and dispatches it."""
        node = self.node
        request = self.request
        if node.routing_table is None:
            self.refuse(codes.NOT_READY, node.RETRY_AFTER_UNAVAILABLE_S)
            return
        route = node.routing_table.find(request.host, request.path)
        if route is None:
            self.refuse(codes.UNKNOWN_SERVICE)
            return
        self.route = route
        self.dispatcher = node.dispatcher(route.next_service())
        self.expires_at = request.expires_at(route)
        self.dispatcher.count_request(self)
        node.metrics.observe(
            "receive_seconds", route.priority, request.completed_at - request.arrived_at
        )
        if self.dispatcher.keyed and (request.key is None or request.key > MAX_KEY):
            self.refuse(codes.MISSING_KEY)
            return
        if self._refuse_if_held_back(sending=False):
            return
        if self.dispatcher.admits(self):
            node.timers.add(self.expires_at, self)
            self.dispatcher.dispatch(self)

    def record_misdirected_by(self, owner):
        """Records that an owner answered that it does not hold the key."""
        self._misdirected_by = owner
        self._avoid_owner_until = self.node.now() + SAME_OWNER_RETRY_DELAY_S

    def may_send_to(self, owner):
        """Returns whether the request may be sent to the owner of its key now.

        An owner that answered that it does not hold the key gets the request again only
        after a delay, unless its incarnation or fencing token has changed.
        """
        return (
            self._misdirected_by is None
            or owner is None
            or (owner.server_instance, owner.fence)
            != (self._misdirected_by.server_instance, self._misdirected_by.fence)
            or self.node.now() >= self._avoid_owner_until
        )

    def refuse_if_too_late(self, server=None):
        """Refuses the request if its answer may come after the process has stopped.

        :param server: the server that would get it, or None if that is not known.
        :returns: whether it was refused.
        """
        if self.node.now() <= self.dispatcher.latest_start(self, server):
            return False
        self.refuse(codes.SHUTTING_DOWN, self.node.RETRY_AFTER_UNAVAILABLE_S)
        return True

    def _refuse_if_held_back(self, *, sending):
        """Refuses the request if servers end when they run it.

        :param sending: whether it is about to be sent.
        :returns: whether it was refused.
        """
        retry_after_s = self.node.crashes.refusal(self.request, sending=sending)
        if retry_after_s is None:
            return False
        self.refuse(codes.ENDS_SERVERS, min(MAX_RETRY_AFTER_S, retry_after_s))
        return True

    def send(self, server):
        """Sends the request to a server that has capacity for it."""
        if self.refuse_if_too_late(server) or self._refuse_if_held_back(sending=True):
            return
        now = self.node.now()
        if not self.tried:
            self.node.metrics.observe(
                "queue_seconds", self.route.priority, now - self.request.completed_at
            )
        self.queued_at = None
        self.server = server
        self.sent_at = now
        self.tried = (*self.tried, server)
        self.attempts += 1
        server.request_sent(self)
        if server.limit.per_s is not None:
            self.node.metrics.count("limited_sends_total", self.dispatcher.name)
            self.node.rate_limits.take_permit(server)
        request = self.request
        self.upstream_request = server.send(
            self._encode_head(server, now),
            self._handle_answer,
            body=request.body,
            idempotent=self.route.idempotent,
            objective_s=self.route.objective_s,
            echo=(header_names.REQUEST_ID, request.request_id)
            if request.request_id
            else None,
            is_head=request.method == b"HEAD",
            may_write=self._may_write,
        )
        if self.upstream_request.written:
            self.node.link.record_write(request.size_bytes)

    def _may_write(self):
        """Returns whether the request is written to a connection that is ready."""
        size_bytes = self.request.size_bytes
        selection = self.dispatcher.selection
        if not selection.can_arrive(self.server, size_bytes, connects=False):
            return False
        self.node.link.record_write(size_bytes)
        return True

    def _encode_head(self, server, now):
        request = self.request
        if self._encoded_head is None:
            options = connection_options(request.headers)
            parts = [b"%b %b HTTP/1.1" % (request.method, request.target)]
            for name, value in request.headers:
                if name not in _REPLACED_HEADERS and name not in options:
                    parts.append(name + b": " + value)
            if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
                parts.append(b"content-length: %d" % len(request.body))
            self._encoded_head = b"\r\n".join(parts)
        remaining_ms = max(1, int((self.expires_at - now) * 1000))
        return b"%b\r\n%b: %d\r\n%b: %b\r\n\r\n" % (
            self._encoded_head,
            header_names.DEADLINE_MS,
            remaining_ms,
            header_names.TARGET_SERVER,
            server.target,
        )

    def _handle_answer(self, answer):
        server, self.server = self.server, None
        self.upstream_request = None
        server.request_ended(self)
        try:
            self._process_answer(server, answer)
        except Exception:
            # The caller gets an answer now, and one that does not claim more than is
            # known about the request.
            log.exception("requests: cannot process an answer")
            self.node.metrics.count("internal_errors_total", "answer")
            if answer.sent or self.server is not None:
                self._end_unknown(codes.OUTCOME_UNKNOWN)
            else:
                self._end_not_run(
                    codes.OWNER_UNREACHABLE, self.node.RETRY_AFTER_UNAVAILABLE_S
                )
        self.dispatcher.on_request_ended(server)

    def _process_answer(self, server, answer):
        if self._tells_limit(server, answer):
            self.node.rate_limits.record_answer(
                self.dispatcher.name, server, answer, self.sent_at
            )
            self.node.coldness.server_answered(
                self.dispatcher.name, server, answer, self.sent_at
            )
        if answer.status is None:
            self._handle_failure(server, answer)
            return
        answering_id = answer.get(header_names.SERVER_ID)
        if answering_id is None or answering_id == server.target:
            server.connect_failures = 0
            self.node.crashes.server_answered(server, self.sent_at)
            self.node.notices.record_answer(self.dispatcher.name, server, answer)
            serverload.record_answer(self.node, self.dispatcher, server, answer)
        else:
            self.node.crashes.server_replaced(server)
        if answer.get(header_names.NOT_RUN) is not None or answer.status == 421:
            self._handle_not_run(server, answer)
        else:
            self._handle_server_answer(server, answer)

    def _handle_server_answer(self, server, answer):
        now = self.node.now()
        self.node.crashes.run_ended(self.request)
        self.node.metrics.observe(
            "server_seconds", self.dispatcher.name, now - self.sent_at
        )
        if _is_spoiled(answer):
            server.record_loss()
            self.node.metrics.count("attempts_total", "spoiled")
            self._retry_or_fail(server, codes.ANSWER_MALFORMED, "spoiled")
            return
        if answer.status < 500:
            self.dispatcher.count_answer(self, server, now - self.sent_at)
            self.node.metrics.count("attempts_total", "answered")
        else:
            server.record_loss()
            self.node.metrics.count("attempts_total", "server-error")
            if self.route.idempotent and self._may_retry("server-error"):
                self.unknown_outcome_code = codes.OUTCOME_UNKNOWN
                self.dispatcher.dispatch(self)
                return
        if answer.status in PROMISING_STATUSES and self.unknown_outcome_code:
            # The refusal of a retry does not say whether an earlier attempt has run.
            self._end_unknown(self.unknown_outcome_code)
            return
        self._end(answer)

    def _tells_limit(self, server, answer):
        """Returns whether an answer tells if the server has a rate limit."""
        if answer.status is None or _is_spoiled(answer):
            return False
        server_id = answer.get(header_names.SERVER_ID)
        return server_id is None or server_id == server.target

    def _handle_not_run(self, server, answer):
        """Retries or ends a request that the server has not run."""
        if answer.status == 421:
            self.node.metrics.count("attempts_total", "misdirected")
            self.attempts -= 1
            self.misdirected_count += 1
            self.dispatcher.on_misdirected(
                self, server, answer.get(header_names.SERVER_ID)
            )
            if self.misdirected_count <= MAX_MISDIRECTED_RETRIES and self._spend_retry(
                "misdirected"
            ):
                self.dispatcher.wait_for_server(self, codes.PARTITION_MOVING)
                return
            self._end_not_run(
                codes.PARTITION_MOVING, self.node.RETRY_AFTER_UNAVAILABLE_S
            )
            return
        self.node.metrics.count("attempts_total", "shed")
        self.dispatcher.on_shed(server)
        if self._may_retry("shed"):
            self.dispatcher.dispatch(self)
            return
        self._end_not_run(codes.SERVER_SHED, self.node.RETRY_AFTER_LOAD_S)

    def _handle_failure(self, server, answer):
        if answer.failure == WITHDRAWN or _is_unsent(answer):
            if answer.failure != WITHDRAWN:
                self.node.metrics.count("attempts_total", "unsent")
            self.attempts -= 1
            self.tried = self.tried[:-1]
            self.dispatcher.dispatch(self)
            return
        self.node.crashes.attempt_failed(
            self.dispatcher.name, server, self.request, answer.failure
        )
        self.node.metrics.count("attempts_total", answer.failure)
        if answer.failure in UNREACHABLE_FAILURES:
            server.record_unreachable(connected=answer.sent)
        else:
            # The server was reachable and may answer other requests, so it is not
            # counted as unreachable.
            server.record_loss()
            if answer.failure == "reset":
                self.dispatcher.on_reset(server)
        if not answer.sent:
            self.attempts -= 1
            self.dispatcher.on_unreachable(self, server)
            return
        self._retry_or_fail(server, codes.OUTCOME_UNKNOWN, answer.failure)

    def _retry_or_fail(self, server, code, reason):
        self.node.request_log.log_attempt(self, server, reason)
        self.unknown_outcome_code = code
        if (
            self.route.idempotent
            and self._may_repeat(reason)
            and self._may_retry(reason)
        ):
            self.dispatcher.dispatch(self)
        else:
            self._end_unknown(code)

    def _may_repeat(self, reason):
        return reason not in CRASH_FAILURES or self.node.crashes.may_repeat(
            self.request
        )

    def _may_retry(self, reason):
        if self.done or self.attempts >= self.route.max_attempts:
            return False
        if self.node.now() >= self.expires_at:
            return False
        return self._spend_retry(reason)

    def _spend_retry(self, reason):
        if self.done or not self.dispatcher.spend_retry(self.node.now()):
            return False
        self.node.metrics.count("retries_total", reason)
        return True

    def refuse(self, code, retry_after_s=None):
        """Answers that the request has not run.

        :param code: the :class:`briarspoke.codes.ResultCode`.
        :param retry_after_s: seconds after which the caller may retry, or None.
        """
        self._end_not_run(code, retry_after_s)

    def _end_not_run(self, code, retry_after_s):
        if self.unknown_outcome_code is not None:
            # The refusal of a retry does not say whether an earlier attempt has run.
            self._end_unknown(self.unknown_outcome_code)
            return
        self._end((code, "no", retry_after_s))

    def _end_unknown(self, code):
        self._end((code, "unknown", None))

    def on_timer(self, now):
        """Ends the request if its wait in a queue or its deadline has expired.

        :returns: time of the next call, or None if none is needed.
        """
        if self.done:
            return None
        if self.queued_at is not None:
            if now < min(self.give_up_at, self.expires_at):
                return min(self.give_up_at, self.expires_at)
            self.dispatcher.dequeue(self)
            retry_after_s = self.node.RETRY_AFTER_LOAD_S
            if now >= self.expires_at:
                retry_after_s = self._useful_retry_after_s(retry_after_s)
            self._end_not_run(self.refusal_code, retry_after_s)
            return None
        if now < self.expires_at:
            return self.expires_at
        self._timed_out()
        return None

    def _useful_retry_after_s(self, seconds):
        """Returns a Retry-After at the deadline, or None if no time is left for it.

        The route's timeout can end long before the caller's own deadline.
        """
        deadline_s = self.request.deadline_s or DEFAULT_DEADLINE_S
        left_s = self.request.arrived_at + deadline_s - self.node.now()
        return seconds if seconds <= MAX_RETRY_AFTER_FRACTION * left_s else None

    def _timed_out(self):
        server = self.server
        if server is None:
            self._end_not_run(
                codes.DEADLINE_IN_QUEUE,
                self._useful_retry_after_s(self.node.RETRY_AFTER_LOAD_S),
            )
            return
        self.node.metrics.count("attempts_total", "timeout")
        written = self.upstream_request.written
        self._abandon_attempt()
        server.record_unreachable(connected=written)
        if not written:
            self._end_not_run(
                codes.OWNER_UNREACHABLE,
                self._useful_retry_after_s(self.node.RETRY_AFTER_UNAVAILABLE_S),
            )
        else:
            self.node.request_log.log_attempt(self, server, "timeout")
            self._end_unknown(codes.ANSWER_TIMEOUT)
        self.dispatcher.on_request_ended(server)

    def end_for_shutdown(self):
        """Answers the request without further waiting, because the process stops."""
        if self.done:
            return
        if self.queued_at is not None:
            self.dispatcher.dequeue(self)
        written = self.server is not None and self.upstream_request.written
        if self.server is not None:
            server = self.server
            self._abandon_attempt()
            self.node.request_log.log_attempt(self, server, "process-ends")
        if written:
            self._end_unknown(codes.OUTCOME_UNKNOWN)
        else:
            self._end_not_run(codes.SHUTTING_DOWN, self.node.RETRY_AFTER_UNAVAILABLE_S)

    def _abandon_attempt(self):
        server, self.server = self.server, None
        self.upstream_request.abandon()
        self.upstream_request = None
        server.request_ended(self)

    def caller_gone(self):
        """Ends the request without an answer, since the caller has disconnected."""
        if self.done:
            return
        self.done = True
        self._release_body()
        self.node.metrics.count("refusals_total", codes.CALLER_GONE.number)
        if self.queued_at is not None:
            self.dispatcher.dequeue(self)
        if self.server is not None:
            server = self.server
            self._abandon_attempt()
            self.dispatcher.on_request_ended(server)

    def _end(self, answer):
        if self.done:
            return
        self.done = True
        self.answer = answer
        self._release_body()
        if isinstance(answer, tuple):
            self.node.request_log.log_result(answer[0], self)
        else:
            self.node.metrics.count("answers_total", self.route.priority)
        if self.route is not None:
            self.node.metrics.observe(
                "request_seconds",
                self.route.priority,
                self.node.now() - self.request.arrived_at,
            )
        self.connection.answer_ready()

    def _release_body(self):
        # The timer keeps a reference to the exchange until the deadline.
        self.request.body = Body()
        self.node.held_requests.release_complete(self.request.held_bytes)

    @property
    def answer_bytes(self):
        """Bytes of the server's answer while it waits for its turn."""
        if self.answer is None or isinstance(self.answer, tuple):
            return 0
        return len(self.answer.body)

    def encode(self, *, close):
        """Returns the answer as bytes.

        :param close: whether the connection is closed after the answer.
        """
        is_head = self.request.method == b"HEAD"
        if isinstance(self.answer, tuple):
            code, run, retry_after_s = self.answer
            return answers.result_answer(
                code,
                request_id=self.request.request_id,
                run=run,
                retry_after_s=retry_after_s,
                close=close,
                is_head=is_head,
            )
        return answers.server_answer(self.answer, close=close, is_head=is_head)


def _is_unsent(answer):
    """Returns whether a kept connection was lost before any of a request was sent.

    This says nothing about the request or about new connections to the server.
    """
    return answer.failure in CRASH_FAILURES and not answer.sent


def _is_spoiled(answer):
    """Returns whether an answer claims success without being the server's own."""
    return 200 <= answer.status < 300 and (
        answer.get(header_names.SIGNATURE) is None
        or answer.get(b"content-encoding") is not None
    )
