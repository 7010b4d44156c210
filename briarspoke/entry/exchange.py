"""Processing of one request, from its arrival to its answer."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.entry import answers, serverload
from briarspoke.entry.arriving import Body
from briarspoke.entry.attempts import Attempt
from briarspoke.entry.crashes import CRASH_FAILURES
from briarspoke.entry.promises import (
    PROMISING_STATUSES,
    promises_too_much,
    says_not_run,
)
from briarspoke.entry.request import DEFAULT_DEADLINE_S
from briarspoke.entry.servers import MIN_CONNECT_TIMEOUT_S, WITHDRAWN
from briarspoke.http.upstream import HOP_BY_HOP
from briarspoke.http.wire import connection_options
from briarspoke.platform import headers as header_names

log = logging.getLogger(__name__)

MAX_KEY = 65_535
# Retries after a server answered that it is not responsible for the key, for example
# while the key changes owner. They do not count as attempts.
MAX_MISDIRECTED_RETRIES = 3
# Callers wait for a Retry-After at most for this fraction of the time they have left.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Failures after which the server may be unreachable.
UNREACHABLE_FAILURES = frozenset({"connect", "refused", "timeout"})
# Longest time after which a caller whose request is held back is asked to come back.
MAX_RETRY_AFTER_S = 30.0
# Delay before a request is sent again to an owner that did not hold its key yet.
SAME_OWNER_RETRY_DELAY_S = 0.08

_REPLACED_HEADERS = HOP_BY_HOP | {
    header_names.DEADLINE_MS,
    header_names.TARGET_SERVER,
    b"content-length",
    b"expect",
}


class Exchange:
    """Sends a request to a server, retries it if allowed, and answers the caller.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param connection: the caller's
        :class:`briarspoke.entry.callers.CallerConnection`.
    :param request: the :class:`briarspoke.entry.request.Request`.
    :ivar running: the :class:`Attempt` objects that are not answered yet.
    """

    __slots__ = (
        "_avoid_owner_until",
        "_encoded_head",
        "_misdirected_by",
        "_unsigned_answer",
        "answer",
        "attempts",
        "connection",
        "dispatcher",
        "done",
        "expires_at",
        "give_up_at",
        "has_copy",
        "misdirected_count",
        "node",
        "queued_at",
        "refusal_code",
        "request",
        "route",
        "running",
        "server_status",
        "tried",
        "unknown_outcome_code",
    )

    def __init__(self, *, node, connection, request):
        self.node = node
        self.connection = connection
        self.request = request
        self.answer = None
        self.done = False
        self.route = None
        self.dispatcher = None
        self.running = []
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
        # Status of a server's answer that the caller did not get, or None.
        self.server_status = None
        # Result code if the request leaves its queue without being sent.
        self.refusal_code = codes.QUEUE_FULL
        self._encoded_head = None
        # Whether the request has been sent a second time while the first one ran.
        self.has_copy = False
        # Answer without a signature that arrived while another attempt ran.
        self._unsigned_answer = None

    def start(self):
        """Finds the route of the request and dispatches it."""
        node = self.node
        request = self.request
        if node.routing_table is None:
            self.refuse(codes.NOT_READY, node.RETRY_AFTER_UNAVAILABLE_S)
            return
        route = node.routing_table.find(request.host, request.path)
        if route is None and node.view.may_lack_changes():
            self.refuse(codes.ROUTE_UNCERTAIN, node.RETRY_AFTER_UNAVAILABLE_S)
            return
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
        if not self.tried:
            now = self.node.now()
            self.node.metrics.observe(
                "queue_seconds", self.route.priority, now - self.request.completed_at
            )
        self.queued_at = None
        self._begin_attempt(server)

    def send_copy(self, server):
        """Sends the request to a second server while the first one runs it."""
        self.has_copy = True
        self._begin_attempt(server, is_copy=True)

    def _begin_attempt(self, server, *, is_copy=False):
        now = self.node.now()
        self.tried = (*self.tried, server)
        self.attempts += 1
        attempt = Attempt(exchange=self, server=server, sent_at=now, is_copy=is_copy)
        self.running.append(attempt)
        self.dispatcher.copies.in_flight_changed()
        if server.limit.per_s is not None:
            self.node.metrics.count("limited_sends_total", self.dispatcher.name)
            self.node.rate_limits.take_permit(server)
        request = self.request
        attempt.upstream_request = server.send(
            self._encode_head(server, now),
            attempt.handle_answer,
            body=request.body,
            idempotent=self.route.idempotent,
            objective_s=self.route.objective_s,
            echo=(header_names.REQUEST_ID, request.request_id)
            if request.request_id
            else None,
            is_head=request.method == b"HEAD",
            may_write=attempt.may_write,
        )
        if attempt.upstream_request.written:
            self.node.link.record_write(request.size_bytes)
        self.dispatcher.copies.schedule(attempt)

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

    def handle_answer(self, attempt, answer):
        """Handles the answer to an attempt, or its failure.

        :param answer: the :class:`briarspoke.entry.connections.Answer`.
        """
        self.running.remove(attempt)
        attempt.end()
        try:
            self._process_answer(attempt, answer)
        except Exception:
            # The caller gets an answer now, and one that does not claim more than is
            # known about the request.
            log.exception("requests: cannot process an answer")
            self.node.metrics.count("internal_errors_total", "answer")
            if answer.sent or self.running:
                self._end_unknown(codes.OUTCOME_UNKNOWN)
            else:
                self._end_not_run(
                    codes.OWNER_UNREACHABLE, self.node.RETRY_AFTER_UNAVAILABLE_S
                )
        self.dispatcher.on_request_ended(attempt.server)

    def _process_answer(self, attempt, answer):
        server = attempt.server
        if self._tells_limit(server, answer):
            self.node.rate_limits.record_answer(
                self.dispatcher.name, server, answer, attempt.sent_at
            )
            self.node.coldness.server_answered(
                self.dispatcher.name, server, answer, attempt.sent_at
            )
        if answer.status is None:
            self._handle_failure(attempt, answer)
            return
        answering_id = answer.get(header_names.SERVER_ID)
        if answering_id is None or answering_id == server.target:
            server.connect_failures = 0
            self.node.crashes.server_answered(server, attempt.sent_at)
            self.node.notices.record_answer(self.dispatcher.name, server, answer)
            serverload.record_answer(self.node, self.dispatcher, server, answer)
        else:
            self.node.crashes.server_replaced(server)
        if says_not_run(answer):
            self._handle_not_run(server, answer)
        else:
            self._handle_server_answer(attempt, answer)

    def _handle_server_answer(self, attempt, answer):
        server = attempt.server
        seconds = self.node.now() - attempt.sent_at
        self.node.crashes.run_ended(self.request)
        self.node.metrics.observe("server_seconds", self.dispatcher.name, seconds)
        if _is_spoiled(answer):
            server.record_loss()
            self.node.metrics.count("attempts_total", "spoiled")
            self._retry_or_fail(attempt, codes.ANSWER_MALFORMED, "spoiled")
            return
        if answer.status < 500:
            self.dispatcher.count_answer(self, server, seconds)
            self.node.metrics.count("attempts_total", "answered")
            if self.running and answer.status in PROMISING_STATUSES:
                return
            if self.running and answer.get(header_names.SIGNATURE) is None:
                # The other attempt may still get an answer of the server itself.
                self._unsigned_answer = answer
                return
            if self.has_copy:
                outcome = "won" if attempt.is_copy else "lost"
                self.node.metrics.count("hedges_total", outcome)
        else:
            server.record_loss()
            self.node.metrics.count("attempts_total", "server-error")
            if self.running:
                self.unknown_outcome_code = codes.OUTCOME_UNKNOWN
                return
            if self._end_unsigned():
                return
            if self.route.idempotent and self._may_retry("server-error"):
                self.unknown_outcome_code = codes.OUTCOME_UNKNOWN
                self.dispatcher.dispatch(self)
                return
        if promises_too_much(
            answer,
            idempotent=self.route.idempotent,
            earlier_unknown=self.unknown_outcome_code is not None,
        ):
            self._withhold(attempt, answer)
            return
        self._end(answer)

    def _withhold(self, attempt, answer):
        """Ends the request without the server's answer, which promises too much.

        The answer to the caller bears no signature, since it is not the server's.
        """
        self.server_status = answer.status
        self.node.metrics.count("withheld_answers_total", answer.status)
        self.node.request_log.log_attempt(attempt, f"status-{answer.status}")
        self._end_unknown(self.unknown_outcome_code or codes.ANSWER_WITHHELD)

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
            if self._is_left_to_other():
                return
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
        if self._is_left_to_other():
            return
        if self._may_retry("shed"):
            self.dispatcher.dispatch(self)
            return
        self._end_not_run(codes.SERVER_SHED, self.node.RETRY_AFTER_LOAD_S)

    def _handle_failure(self, attempt, answer):
        server = attempt.server
        if answer.failure == WITHDRAWN or _is_unsent(answer):
            if answer.failure != WITHDRAWN:
                self.node.metrics.count("attempts_total", "unsent")
            self.attempts -= 1
            self._forget_try(server)
            if not self._is_left_to_other():
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
            if not self._is_left_to_other():
                self.dispatcher.on_unreachable(self, server)
            return
        self._retry_or_fail(attempt, codes.OUTCOME_UNKNOWN, answer.failure)

    def _forget_try(self, server):
        tried = list(self.tried)
        # The latest one: an owner of keys may have got the request before.
        last = len(tried) - 1 - tried[::-1].index(server)
        self.tried = (*tried[:last], *tried[last + 1 :])

    def _retry_or_fail(self, attempt, code, reason):
        self.node.request_log.log_attempt(attempt, reason)
        self.unknown_outcome_code = code
        if self._is_left_to_other():
            return
        if (
            self.route.idempotent
            and self._may_repeat(reason)
            and self._may_retry(reason)
        ):
            self.dispatcher.dispatch(self)
        else:
            self._end_unknown(code)

    def _is_left_to_other(self):
        """Returns whether another attempt decides the result after one has failed.

        An answer that the other one has got without a signature is given now.
        """
        return bool(self.running) or self._end_unsigned()

    def _end_unsigned(self):
        if self._unsigned_answer is None:
            return False
        self._end(self._unsigned_answer)
        return True

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
        if self._end_unsigned():
            return
        if self.unknown_outcome_code is not None:
            # The refusal of a retry does not say whether an earlier attempt has run.
            self._end_unknown(self.unknown_outcome_code)
            return
        self._end((code, "no", retry_after_s))

    def _end_unknown(self, code):
        if not self._end_unsigned():
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
        attempts = self._abandon_running()
        if not attempts:
            self._end_not_run(
                codes.DEADLINE_IN_QUEUE,
                self._useful_retry_after_s(self.node.RETRY_AFTER_LOAD_S),
            )
            return
        for attempt in attempts:
            self.node.metrics.count("attempts_total", "timeout")
            if attempt.is_copy:
                # It has had less time than a request normally has.
                attempt.server.record_unfinished(self.node.now() - attempt.sent_at)
            else:
                # A connection that had little time to open says as little as a slow
                # answer.
                had_time = self.node.now() - attempt.sent_at >= MIN_CONNECT_TIMEOUT_S
                attempt.server.record_unreachable(
                    connected=attempt.may_have_run or not had_time
                )
        written = [attempt for attempt in attempts if attempt.may_have_run]
        if not written:
            self._end_not_run(
                codes.OWNER_UNREACHABLE,
                self._useful_retry_after_s(self.node.RETRY_AFTER_UNAVAILABLE_S),
            )
        else:
            for attempt in written:
                self.node.request_log.log_attempt(attempt, "timeout")
            self._end_unknown(codes.ANSWER_TIMEOUT)
        for attempt in attempts:
            self.dispatcher.on_request_ended(attempt.server)

    def end_for_shutdown(self):
        """Answers the request without further waiting, because the process stops."""
        if self.done:
            return
        if self.queued_at is not None:
            self.dispatcher.dequeue(self)
        attempts = self._abandon_running()
        for attempt in attempts:
            self.node.request_log.log_attempt(attempt, "process-ends")
        if any(attempt.may_have_run for attempt in attempts):
            self._end_unknown(codes.OUTCOME_UNKNOWN)
        else:
            self._end_not_run(codes.SHUTTING_DOWN, self.node.RETRY_AFTER_UNAVAILABLE_S)

    def _abandon_running(self):
        """Abandons all attempts and returns them."""
        attempts, self.running = self.running, []
        for attempt in attempts:
            attempt.abandon()
        return attempts

    def caller_gone(self):
        """Ends the request without an answer, since the caller has disconnected."""
        if self.done:
            self.answer = None
            return
        self.done = True
        self._release_body()
        self.node.metrics.count("refusals_total", codes.CALLER_GONE.number)
        if self.queued_at is not None:
            self.dispatcher.dequeue(self)
        for attempt in self._abandon_running():
            self.dispatcher.on_request_ended(attempt.server)

    def _end(self, answer):
        if self.done:
            return
        self.done = True
        self.answer = answer
        self._unsigned_answer = None
        abandoned = self._abandon_running()
        self._release_body()
        for attempt in abandoned:
            self.node.metrics.count("attempts_total", "abandoned")
            self.dispatcher.copies.record_abandoned(attempt)
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
        for attempt in abandoned:
            self.dispatcher.on_request_ended(attempt.server)

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
        """Returns the answer as bytes and lets go of it.

        :param close: whether the connection is closed after the answer.
        """
        # The timers keep a reference to the exchange until the deadline.
        answer, self.answer = self.answer, None
        is_head = self.request.method == b"HEAD"
        if isinstance(answer, tuple):
            code, run, retry_after_s = answer
            return answers.result_answer(
                code,
                request_id=self.request.request_id,
                run=run,
                retry_after_s=retry_after_s,
                close=close,
                is_head=is_head,
            )
        return answers.server_answer(answer, close=close, is_head=is_head)


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
