"""The callers' port: ``twisted.web`` without buffering of bodies."""

from __future__ import annotations

import http
import itertools
import logging
import os

from twisted.internet import protocol
from twisted.web.http import HTTPChannel
from twisted.web.http_headers import Headers

from briarspoke import codes
from briarspoke.http import wire
from briarspoke.http.relay import Relay
from briarspoke.http.upstream import HOP_BY_HOP
from briarspoke.routing.classify import RequestHead

log = logging.getLogger(__name__)

HEAD_TIMEOUT_S = 30
MAX_HEAD_BYTES = 16_384
DISCARDED_BODY_BYTES = 1_048_576

_REASON_BY_STATUS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_request_numbers = itertools.count(1)
# Random, so that identifiers of a restarted process do not repeat.
_REQUEST_PREFIX = os.urandom(6).hex()


def new_request_id():
    """Returns a unique request identifier."""
    return f"{_REQUEST_PREFIX}-{next(_request_numbers):x}"


class CallerExchange:
    """The caller's side of one request, as ``HTTPChannel`` wants it.

    It takes the place of ``twisted.web.http.Request``, which stores the whole
    body in memory or in a temporary file before it is processed.
    """

    def __init__(self, channel, queued=None):
        self.channel = channel
        self.requestHeaders = Headers()
        self.responseHeaders = Headers()
        self.relay = None
        self._chunked = False
        self._producer = False
        self._finished = False
        self._received = False
        self._discarded = 0

    # Called by HTTPChannel.

    def parseCookies(self):
        """Does nothing; cookies are passed on as they are."""

    def gotLength(self, length):
        """Starts the relay as soon as the headers are complete."""
        channel = self.channel
        raw_headers = [
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        headers = {
            name.lower().decode("latin-1"): value.decode("latin-1")
            for name, value in raw_headers
        }
        head = RequestHead(
            method=channel._command.decode("latin-1"),
            target=channel._path.decode("latin-1"),
            headers=headers,
            caller=headers.get("briarspoke-caller") or channel.peer_host,
        )
        request_id = headers.get("briarspoke-request-id") or new_request_id()
        self.relay = Relay(
            router=channel.router,
            exchange=self,
            head=head,
            raw_headers=raw_headers,
            length=length,
            request_id=request_id,
        )
        channel.router.request_started(self.relay)
        if length != 0:
            self.relay.start()

    def handleContentChunk(self, data):
        if not self._finished:
            self.relay.body_data(data)
            return
        self._discarded += len(data)
        if self._discarded > DISCARDED_BODY_BYTES:
            self.channel.transport.loseConnection()

    def requestReceived(self, command, path, version):
        self._received = True
        if self._finished:
            self.channel.requestDone(self)
        elif self.relay.body_complete:
            self.relay.start()
        else:
            self.relay.body_end()

    def connectionLost(self, reason):
        self._finished = True
        if self.relay is not None:
            self.relay.caller_gone()

    # Called by the relay.

    def pause_body(self):
        """Stops reading from the caller."""
        self.channel.transport.pauseProducing()

    def resume_body(self):
        """Reads from the caller again."""
        if not self._finished:
            self.channel.transport.resumeProducing()

    def answer_head(self, head, request_id):
        """Writes status and headers of an answer."""
        reason = _REASON_BY_STATUS.get(head.status, b"")
        lines = [b"HTTP/1.1 %d %b" % (head.status, reason)]
        lines += [
            name + b": " + value
            for name, value in head.headers
            if name.lower() not in HOP_BY_HOP
        ]
        lines.append(b"Briarspoke-Request-Id: " + request_id.encode())
        if head.length is None:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if not self.channel.persistent:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def answer_data(self, data):
        """Writes body data of an answer."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def answer_end(self, *, reusable):
        """Ends the answer.

        :param reusable: False closes the connection, because part of the
            request was not read.
        """
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self._finish(reusable)

    def result(self, content, *, reusable):
        """Writes a whole answer made by briarspoke."""
        self._write(content)
        self._finish(reusable)

    def abort(self):
        """Cuts the connection, so that the answer is not taken for whole."""
        if not self._finished:
            self._finished = True
            self.channel.transport.abortConnection()

    def register_producer(self, producer):
        """Lets the caller's connection pause the answer."""
        self._producer = True
        self.channel.registerProducer(producer, True)

    def _write(self, data):
        if not self._finished:
            self.channel.transport.write(data)

    def _finish(self, reusable):
        if self._finished:
            return
        self._finished = True
        if self._producer:
            self.channel.unregisterProducer()
        if not reusable:
            self.channel.persistent = False
        if self._received:
            self.channel.requestDone(self)
        else:
            # Closing with unread data would reset the connection and could
            # destroy the answer before the caller has read it.
            self.channel.persistent = False
            self.channel.transport.resumeProducing()


class CallerChannel(HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallerExchange
    totalHeadersSize = MAX_HEAD_BYTES
    timeOut = HEAD_TIMEOUT_S

    def __init__(self, router):
        super().__init__()
        self.router = router
        self.peer_host = ""

    def connectionMade(self):
        self.peer_host = self.transport.getPeer().host
        super().connectionMade()

    def _respondToBadRequestAndDisconnect(self):
        code = codes.MALFORMED_REQUEST
        if self._receivedHeaderSize > self.totalHeadersSize:
            code = codes.HEAD_TOO_LARGE
        self.router.count_result(code)
        self.transport.write(
            wire.result_head_and_body(code, code.meaning, "no", new_request_id())
        )
        self.loseConnection()


class CallerFactory(protocol.ServerFactory):
    """Makes a channel for each connection of a caller."""

    noisy = False

    def __init__(self, *, router):
        self.router = router

    def buildProtocol(self, address):
        return CallerChannel(self.router)
