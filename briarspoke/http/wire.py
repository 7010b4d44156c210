"""Headers and bodies that briarspoke itself writes and reads."""

from __future__ import annotations

import json

from briarspoke import codes
from briarspoke.errors import Refusal
from briarspoke.retry.policy import Attempt, Outcome

_REASONS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def check_body_length(service, length):
    """Raises :exc:`Refusal` if a body is larger than the service allows."""
    if length > service.max_body_bytes:
        raise Refusal(
            codes.BODY_TOO_LARGE, f"at most {service.max_body_bytes} bytes are allowed"
        )


def refusal_of_server(head):
    """Returns the :class:`Attempt` of an answer that says it has not run.

    :param head: the :class:`briarspoke.http.upstream.AnswerHead`.
    :returns: None for an ordinary answer.
    """
    if head.status == 503 and head.get(b"briarspoke-shed") == b"1":
        return Attempt(outcome=Outcome.NOT_RUN, reason="shed", code=codes.SERVER_SHED)
    if head.status == 409 and head.get(b"briarspoke-fence") is not None:
        return Attempt(
            outcome=Outcome.NOT_RUN, reason="fenced", code=codes.OWNER_FENCED
        )
    return None


def result_head_and_body(code, detail, run, request_id, retry_after_ms=None):
    """Returns the whole answer that reports a result code, as bytes.

    :param run: ``no`` or ``unknown``.
    """
    body = json.dumps(
        {
            "code": code.number,
            "name": code.name,
            "class": code.kind.value,
            "detail": detail,
            "request_id": request_id,
            "run": run,
        }
    ).encode()
    retry_after = b""
    if retry_after_ms is not None:
        seconds = max(1, -(-retry_after_ms // 1000))
        retry_after = b"Retry-After: %d\r\n" % seconds
    return (
        b"HTTP/1.1 %d %b\r\n"
        b"Content-Type: application/json\r\n"
        b"Content-Length: %d\r\n"
        b"Briarspoke-Code: %d\r\n"
        b"Briarspoke-Class: %b\r\n"
        b"Briarspoke-Request-Id: %b\r\n"
        b"%b\r\n"
    ) % (
        code.http_status,
        _REASONS[code.http_status],
        len(body),
        code.number,
        code.kind.value.encode(),
        request_id.encode(),
        retry_after,
    ) + body
