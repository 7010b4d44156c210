"""Parsing and encoding of the headers and bodies that briarspoke defines."""

from __future__ import annotations

import http
import json

from briarspoke import codes
from briarspoke.errors import Refusal
from briarspoke.http.upstream import HOP_BY_HOP
from briarspoke.retry.policy import Attempt, Outcome

REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}

# Only briarspoke sends these headers. In the answer of a server they are dropped,
# because the caller would mistake them for a result of briarspoke.
RESULT_HEADERS = frozenset(
    {
        b"briarspoke-code",
        b"briarspoke-class",
        b"briarspoke-run",
        b"briarspoke-request-id",
    }
)
_DROPPED_FROM_ANSWERS = HOP_BY_HOP | RESULT_HEADERS
_DROPPED_FROM_PEER_ANSWERS = HOP_BY_HOP | {b"briarspoke-request-id"}
DROPPED_FROM_REQUESTS = HOP_BY_HOP | {
    b"host",
    b"content-length",
    b"expect",
    b"briarspoke-epoch",
    b"briarspoke-partition",
    b"briarspoke-owner",
    b"briarspoke-deadline-ms",
    b"briarspoke-request-id",
    b"briarspoke-forward",
    b"briarspoke-signature",
}


def check_body_length(service, length):
    """Raises :exc:`Refusal` if a body is larger than the service allows."""
    if length > service.max_body_bytes:
        raise Refusal(
            codes.BODY_TOO_LARGE, f"at most {service.max_body_bytes} bytes are allowed"
        )


def connection_options(headers):
    """Returns the header names that a Connection header declares hop-by-hop.

    :param headers: list of (name in lower case, value) in bytes.
    """
    options = set()
    for name, value in headers:
        if name == b"connection":
            options.update(option.strip() for option in value.lower().split(b","))
    # Headers that frame the message cannot be declared hop-by-hop.
    return options - {b"", b"close", b"keep-alive", b"content-length"}


def parse_server_refusal(head):
    """Returns the :class:`Attempt` if a server states that the request has not run.

    :param head: the :class:`briarspoke.http.upstream.AnswerHead`.
    :returns: None for any other answer.
    """
    if head.status == 503 and head.get(b"briarspoke-shed") == b"1":
        return Attempt(outcome=Outcome.NOT_RUN, reason="shed", code=codes.SERVER_SHED)
    if head.status == 409 and head.get(b"briarspoke-fence") is not None:
        return Attempt(
            outcome=Outcome.NOT_RUN, reason="fenced", code=codes.OWNER_FENCED
        )
    return None


def parse_peer_result(head):
    """Returns the :class:`Attempt` if an answer is the result of another entry VM.

    :param head: the :class:`briarspoke.http.upstream.AnswerHead`.
    :returns: None for the answer of a server that the peer has passed on.
    """
    number = head.get(b"briarspoke-code")
    if number is None:
        return None
    code = codes.by_number.get(int(number) if number.isdigit() else 0)
    # The outcome is "not run" only if the peer states exactly that.
    not_run = head.get(b"briarspoke-run") == b"no"
    return Attempt(
        outcome=Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
        reason="peer-refused" if not_run else "peer-failed",
        code=code or codes.OUTCOME_UNKNOWN,
    )


def answer_head(head, request_id, *, chunked, close, from_peer=False):
    """Returns status line and headers of an answer for the caller, as bytes."""
    dropped = _DROPPED_FROM_PEER_ANSWERS if from_peer else _DROPPED_FROM_ANSWERS
    parts = [b"HTTP/1.1 %d %b" % (head.status, REASON_PHRASES.get(head.status, b""))]
    options = connection_options(head.headers)
    for name, value in head.headers:
        if name not in dropped and name not in options:
            parts.append(name + b": " + value)
    parts.append(b"briarspoke-request-id: " + request_id.encode())
    if chunked:
        parts.append(b"transfer-encoding: chunked")
    if close:
        parts.append(b"connection: close")
    parts.append(b"\r\n")
    return b"\r\n".join(parts)


class Result:
    """An answer made by briarspoke itself.

    :param code: the :class:`briarspoke.codes.ResultCode`.
    :param detail: explanation for the caller.
    :param run: ``no`` if the request has not run, else ``unknown``.
    :param retry_after_ms: delay suggested to the caller, or None.
    """

    __slots__ = ("code", "detail", "request_id", "retry_after_ms", "run")

    def __init__(self, *, code, detail, run, request_id, retry_after_ms=None):
        self.code = code
        self.detail = detail
        self.run = run
        self.request_id = request_id
        self.retry_after_ms = retry_after_ms

    def encode(self, *, close, without_body=False):
        """Returns head and body as bytes.

        :param close: whether the connection is closed after the answer.
        :param without_body: True for the answer to a HEAD request.
        """
        code = self.code
        body = json.dumps(
            {
                "code": code.number,
                "name": code.name,
                "class": code.kind.value,
                "detail": self.detail,
                "request_id": self.request_id,
                "run": self.run,
            }
        ).encode()
        extra = b""
        if self.retry_after_ms is not None:
            seconds = max(1, -(-self.retry_after_ms // 1000))
            extra = b"Retry-After: %d\r\n" % seconds
        if close:
            extra += b"Connection: close\r\n"
        head = (
            b"HTTP/1.1 %d %b\r\n"
            b"Content-Type: application/json\r\n"
            b"Content-Length: %d\r\n"
            b"Briarspoke-Code: %d\r\n"
            b"Briarspoke-Class: %b\r\n"
            b"Briarspoke-Run: %b\r\n"
            b"Briarspoke-Request-Id: %b\r\n"
            b"%b\r\n"
        ) % (
            code.http_status,
            REASON_PHRASES.get(code.http_status, b""),
            len(body),
            code.number,
            code.kind.value.encode(),
            self.run.encode(),
            self.request_id.encode(),
            extra,
        )
        return head if without_body else head + body
