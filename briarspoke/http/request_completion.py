"""The ways in which a request ends without a complete answer of its server."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.errors import Refusal
from briarspoke.http import wire
from briarspoke.retry.policy import Attempt, Outcome


class RequestCompletion:
    """Methods that end a request early; base class of ``ProxiedRequest``."""

    __slots__ = ()

    def interrupt(self, code, detail=""):
        """Ends the request because of its body, a timeout or a shutdown.

        :param code: the :class:`briarspoke.codes.ResultCode` of the cause.
        """
        if self.done:
            return
        if self.answer_started:
            self.router.count_result(code)
            self.exchange.abort()
            self._end()
        elif self._may_have_run():
            self.router.count_result(code)
            self._send_result(
                codes.REQUEST_INTERRUPTED, detail or code.meaning, "unknown"
            )
        else:
            self.refuse(Refusal(code, detail))

    def caller_gone(self):
        """Ends the request because its caller has closed the connection."""
        if self.done:
            return
        self.router.count_result(codes.CALLER_GONE)
        self._end()

    def internal_error(self):
        """Ends the request after an unexpected exception."""
        if self.done:
            return
        if self.answer_started:
            self.router.count_result(codes.INTERNAL_ERROR)
            self.exchange.abort()
            self._end()
        else:
            run = "unknown" if self._may_have_run() else "no"
            self._send_result(codes.INTERNAL_ERROR, codes.INTERNAL_ERROR.meaning, run)

    def refuse(self, refusal):
        """Answers with a refusal, or with the unknown outcome of an earlier attempt."""
        if self.unknown_attempt is not None:
            self.fail(self.unknown_attempt)
            return
        self._send_result(refusal.code, refusal.detail, "no", refusal.retry_after_ms)

    def fail(self, attempt):
        """Answers with the result of a failed attempt.

        An earlier attempt with an unknown outcome takes precedence.
        """
        attempt = self.unknown_attempt or attempt
        run = "no" if attempt.outcome is Outcome.NOT_RUN else "unknown"
        self._send_result(attempt.code, attempt.code.meaning, run)

    def deadline_passed(self):
        """Ends the request at its deadline."""
        if self.done:
            return
        if self.parked_refusal is not None:
            self.refuse(self.parked_refusal)
            return
        if self.connection is None:
            waits_for_body = not self.streaming and not self.body_complete
            code = codes.DEADLINE_IN_QUEUE
            if waits_for_body:
                code = codes.DEADLINE_PASSED
            self.refuse(Refusal(code))
            return
        connection, self.connection = self.connection, None
        connection.abort()
        self.attempt_failed(
            Attempt(
                outcome=Outcome.UNKNOWN, reason="timeout", code=codes.ANSWER_TIMEOUT
            )
        )

    def _may_have_run(self):
        return self.connection is not None or self.unknown_attempt is not None

    def _send_result(self, code, detail, run, retry_after_ms=None):
        if self.done:
            return
        self.router.count_result(code)
        self._end()
        self.exchange.result(
            wire.Result(
                code=code,
                detail=detail,
                run=run,
                request_id=self.request_id,
                retry_after_ms=retry_after_ms,
            ),
            reusable=self.body_complete,
        )

    def _end(self):
        self.done = True
        self.body = None
        self.router.owner_checks.attempt_ended(
            self, may_run=self.connection is not None
        )
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
        if self.ticket is not None:
            ticket, self.ticket = self.ticket, None
            self.router.cancel(self.queue, ticket)
        self.router.request_ended(self)

    def _release_slot(self, signal):
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            self.router.release(self.queue, ticket, signal)
