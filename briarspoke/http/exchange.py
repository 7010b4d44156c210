"""The caller's side of one request."""

from __future__ import annotations

import itertools
import logging
import os
import re

from briarspoke.http import wire
from briarspoke.http.transports import write_immediately
from briarspoke.routing.classify import RequestHead

log = logging.getLogger(__name__)

_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_request_numbers = itertools.count(1)
# Random, so that a restarted process does not reuse identifiers.
_REQUEST_PREFIX = os.urandom(6).hex()


def new_request_id():
    """Returns a unique request identifier."""
    return f"{_REQUEST_PREFIX}-{next(_request_numbers):x}"


def request_id_of(head):
    """Returns the request identifier of the caller if it is valid, or a new one."""
    chosen = head.headers.get("briarspoke-request-id", "")
    return chosen if _REQUEST_ID.fullmatch(chosen) else new_request_id()


class _HeaderList:
    """Ordered request headers.

    It implements the methods of ``twisted.web.http_headers.Headers`` that
    ``HTTPChannel`` calls.
    """

    __slots__ = ("pairs",)

    def __init__(self):
        self.pairs = []

    def addRawHeader(self, name, value):
        self.pairs.append((name.lower(), value))

    def getRawHeaders(self, name):
        lower = name.lower()
        return [value for found, value in self.pairs if found == lower] or None

    def setRawHeaders(self, name, values):
        """Does nothing, because response headers set by the channel are not sent."""


class CallerExchange:
    """The caller's side of one request.

    It implements the request interface of ``HTTPChannel`` and replaces
    ``twisted.web.http.Request``, which stores the whole body in memory or in a
    temporary file before the request is processed.
    """

    def __init__(self, channel, queued=None):
        self.channel = channel
        self.requestHeaders = self.responseHeaders = _HeaderList()
        self.proxied = None
        self.request_complete = False
        self.finished = False
        self.paused = False
        self.expects_continue = False
        self._before_http_1_1 = False
        self._is_head = False
        self._chunked = False
        self._has_producer = False
        self._unwritten = []
        channel.head_started_at = channel.router.now()

    # Called by HTTPChannel.

    def parseCookies(self):
        """Does nothing, because cookies are passed on unchanged."""

    def gotLength(self, length):
        """Creates the proxied request as soon as the headers are complete."""
        channel = self.channel
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in self.requestHeaders.pairs
        }
        head = RequestHead(
            method=channel._command.decode("latin-1"),
            target=channel._path.decode("latin-1"),
            headers=headers,
            caller=headers.get("briarspoke-caller") or channel.peer_host,
        )
        self._before_http_1_1 = channel._version != b"HTTP/1.1"
        self._is_head = head.method == "HEAD"
        self.expects_continue = "expect" in headers
        self.proxied = channel.new_proxied_request(self, head, length)
        channel.router.request_started(self.proxied)
        if length != 0:
            self._call_proxied(self.proxied.start)

    def handleContentChunk(self, data):
        if not self.finished:
            self._call_proxied(self.proxied.body_data, data)

    def requestReceived(self, command, path, version):
        self.request_complete = True
        if self.finished:
            return
        if self.proxied.body_complete:
            self._call_proxied(self.proxied.start)
        else:
            self._call_proxied(self.proxied.body_end)

    def connectionLost(self, reason):
        if self.proxied is not None:
            self._call_proxied(self.proxied.caller_gone)
        self._end()

    def _call_proxied(self, function, *args):
        proxied = self.proxied
        try:
            function(*args)
        except Exception:
            log.exception("callers: request %s failed", proxied.request_id)
            proxied.internal_error()

    def _end(self):
        self.finished = True
        # Breaking the reference cycle frees the request immediately. Thousands of
        # requests left to the cyclic garbage collector pause the process for 20 ms.
        self.proxied = None

    # Called by the proxied request.

    def pause_body(self):
        """Stops reading the body from the caller."""
        self.paused = True
        self.channel.transport.pauseProducing()

    def resume_body(self):
        """Resumes reading the body from the caller."""
        self.paused = False
        if not self.finished:
            self.channel.last_data_at = self.channel.router.now()
            self.channel.transport.resumeProducing()

    def answer_head(self, head, request_id, *, from_peer=False):
        """Buffers status and headers of an answer until :meth:`flush`.

        :param from_peer: whether another entry VM has sent the answer, whose result
            headers are then kept.
        """
        # HTTP/1.0 has no chunked encoding: closing the connection ends the body,
        # and a reset tells that the body is incomplete.
        self._chunked = head.length is None and not self._before_http_1_1
        self._unwritten.append(
            wire.answer_head(
                head,
                request_id,
                chunked=self._chunked,
                close=self._closes_connection(),
                from_peer=from_peer,
            )
        )

    def answer_data(self, data):
        """Buffers body data of an answer until :meth:`flush`."""
        self._unwritten.append(
            b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data
        )

    def flush(self):
        """Writes all buffered data in one call, so that it can share a TCP segment."""
        if self._unwritten:
            unwritten, self._unwritten = self._unwritten, []
            self._write(unwritten[0] if len(unwritten) == 1 else b"".join(unwritten))

    def answer_end(self, *, reusable):
        """Ends the answer.

        :param reusable: whether the whole request was read. If not, the connection
            is closed.
        """
        if self._chunked:
            self._unwritten.append(b"0\r\n\r\n")
        self.flush()
        self._finish(reusable)

    def result(self, result, *, reusable):
        """Writes a complete answer made by briarspoke.

        :param result: the :class:`briarspoke.http.wire.Result`.
        :param reusable: whether the whole request was read. If not, the connection
            is closed.
        """
        self._write(
            result.encode(
                close=not reusable or self._closes_connection(),
                without_body=self._is_head,
            )
        )
        self._finish(reusable)

    def abort(self):
        """Resets the connection, so that the caller sees an incomplete answer."""
        if not self.finished:
            self._end()
            self.channel.transport.abortConnection()

    def register_producer(self, producer):
        """Lets the caller's connection pause the answer."""
        self._has_producer = True
        self.channel.registerProducer(producer, True)
        if self.channel._waitingForTransport:
            # Earlier answers have already filled the write buffer.
            producer.pauseProducing()

    def _closes_connection(self):
        channel = self.channel
        return not channel.persistent or channel.router.closing

    def _write(self, data):
        if not self.finished:
            write_immediately(self.channel.transport, data)

    def _finish(self, reusable):
        if self.finished:
            return
        self._end()
        if self._has_producer:
            self.channel.unregisterProducer()
        if self.channel.router.closing:
            self.channel.persistent = False
        if reusable and self.request_complete and self.channel.persistent:
            self.channel.requestDone(self)
        else:
            self.channel.linger()
