"""Encoding of answers to callers."""

from __future__ import annotations

import json

from briarspoke.http.upstream import HOP_BY_HOP
from briarspoke.http.wire import REASON_PHRASES, RESULT_HEADERS, connection_options

_DROPPED_HEADERS = HOP_BY_HOP | RESULT_HEADERS | {b"content-length"}
_CLOSE_HEADER = b"Connection: close\r\n"


def server_answer(answer, *, close, is_head):
    """Returns a server's answer as the bytes to write to the caller.

    :param answer: the :class:`briarspoke.entry.connections.Answer`.
    :param close: whether the connection is closed after the answer.
    :param is_head: whether the request's method is HEAD.
    """
    options = connection_options(answer.headers)
    parts = [
        b"HTTP/1.1 %d %b" % (answer.status, REASON_PHRASES.get(answer.status, b""))
    ]
    length = None
    for name, value in answer.headers:
        if name == b"content-length":
            length = value
        elif name not in _DROPPED_HEADERS and name not in options:
            parts.append(name + b": " + value)
    if close:
        parts.append(b"Connection: close")
    if answer.status not in (204, 304):
        if not is_head or length is None:
            length = b"%d" % len(answer.body)
        parts.append(b"Content-Length: " + length)
    parts.append(b"")
    parts.append(b"" if is_head else answer.body)
    return b"\r\n".join(parts)


def result_answer(code, *, request_id, run, retry_after_s, close, is_head=False):
    """Returns the bytes of an answer that the entry VM creates itself.

    :param code: the :class:`briarspoke.codes.ResultCode`.
    :param request_id: the caller's request identifier, or empty bytes.
    :param run: ``no`` if the request has not run, else ``unknown``.
    :param retry_after_s: seconds after which the caller may retry, or None.
    :param close: whether the connection is closed after the answer.
    :param is_head: whether the request's method is HEAD.
    """
    body = json.dumps(
        {
            "code": code.number,
            "name": code.name,
            "class": code.kind.value,
            "detail": code.meaning,
            "run": run,
        }
    ).encode()
    extra = _CLOSE_HEADER if close else b""
    if retry_after_s is not None:
        extra += b"Retry-After: %.2f\r\n" % retry_after_s
    if request_id:
        extra += b"Request-Id: %b\r\n" % request_id
    head = (
        b"HTTP/1.1 %d %b\r\n"
        b"Content-Type: application/json\r\n"
        b"Content-Length: %d\r\n"
        b"Briarspoke-Code: %d\r\n"
        b"Briarspoke-Class: %b\r\n"
        b"Briarspoke-Run: %b\r\n"
        b"%b\r\n"
    ) % (
        code.http_status,
        REASON_PHRASES.get(code.http_status, b""),
        len(body),
        code.number,
        code.kind.value.encode(),
        run.encode(),
        extra,
    )
    return head if is_head else head + body
