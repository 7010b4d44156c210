"""The callers' port: ``twisted.web`` without buffering of bodies."""

from __future__ import annotations

import itertools
import logging
import os
import re

from twisted.internet import protocol
from twisted.web.http import HTTPChannel

from briarspoke import codes
from briarspoke.http import wire
from briarspoke.http.eager import write_at_once
from briarspoke.http.relay import Relay
from briarspoke.routing.classify import RequestHead

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 60.0
# From the request line to the blank line, however slowly the bytes come.
HEAD_TIMEOUT_S = 15.0
# Between two pieces of a body, time in which it was not read left out.
BODY_STALL_S = 30.0
# Closing with unread data resets the connection and can destroy an answer that
# the caller has not read; data is therefore read and dropped for this long.
LINGER_S = 3.0
# A request that crosses the start of a shutdown on a kept connection is served.
CLOSING_GRACE_S = 1.0
MAX_HEAD_BYTES = 16_384
MAX_LENGTH_DIGITS = 18

_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_request_numbers = itertools.count(1)
# Random, so that identifiers of a restarted process do not repeat.
_REQUEST_PREFIX = os.urandom(6).hex()


def new_request_id():
    """Returns a unique request identifier."""
    return f"{_REQUEST_PREFIX}-{next(_request_numbers):x}"


class _HeaderList:
    """Request headers in order, with the part of ``Headers`` the channel uses."""

    __slots__ = ("pairs",)

    def __init__(self):
        self.pairs = []

    def addRawHeader(self, name, value):
        self.pairs.append((name.lower(), value))

    def getRawHeaders(self, name):
        lower = name.lower()
        return [value for found, value in self.pairs if found == lower] or None

    def setRawHeaders(self, name, values):
        """Does nothing; the channel sets response headers, which are not used."""


class CallerExchange:
    """The caller's side of one request, as ``HTTPChannel`` wants it.

    It takes the place of ``twisted.web.http.Request``, which stores the whole
    body in memory or in a temporary file before it is processed.
    """

    def __init__(self, channel, queued=None):
        self.channel = channel
        self.requestHeaders = self.responseHeaders = _HeaderList()
        self.relay = None
        self.received = False
        self.finished = False
        self.paused = False
        self.expects_continue = False
        self._old_version = False
        self._head_request = False
        self._chunked = False
        self._producer = False
        self._out = []
        channel.head_since = channel.router.now()

    # Called by HTTPChannel.

    def parseCookies(self):
        """Does nothing; cookies are passed on as they are."""

    def gotLength(self, length):
        """Starts the relay as soon as the headers are complete."""
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
        self._old_version = channel._version != b"HTTP/1.1"
        self._head_request = head.method == "HEAD"
        self.expects_continue = "expect" in headers
        self.relay = channel.new_relay(self, head, length)
        channel.router.request_started(self.relay)
        if length != 0:
            self._guarded(self.relay.start)

    def handleContentChunk(self, data):
        if not self.finished:
            self._guarded(self.relay.body_data, data)

    def requestReceived(self, command, path, version):
        self.received = True
        if self.finished:
            return
        if self.relay.body_complete:
            self._guarded(self.relay.start)
        else:
            self._guarded(self.relay.body_end)

    def connectionLost(self, reason):
        if self.relay is not None:
            self._guarded(self.relay.caller_gone)
        self._end()

    def _guarded(self, function, *args):
        relay = self.relay
        try:
            function(*args)
        except Exception:
            log.exception("callers: request %s failed", relay.request_id)
            relay.crash()

    def _end(self):
        self.finished = True
        # Without the reference cycle the relay is freed at once; left to the
        # cyclic collector, thousands of relays pause the process for 20 ms.
        self.relay = None

    # Called by the relay.

    def pause_body(self):
        """Stops reading from the caller."""
        self.paused = True
        self.channel.transport.pauseProducing()

    def resume_body(self):
        """Reads from the caller again."""
        self.paused = False
        if not self.finished:
            self.channel.data_at = self.channel.router.now()
            self.channel.transport.resumeProducing()

    def answer_head(self, head, request_id, *, from_peer=False):
        """Takes status and headers of an answer, which :meth:`flush` writes."""
        # HTTP/1.0 knows no chunks; there the end of the connection ends the
        # body, and a cut shows as a reset.
        self._chunked = head.length is None and not self._old_version
        self._out.append(
            wire.answer_head(
                head,
                request_id,
                chunked=self._chunked,
                close=self._closes(),
                from_peer=from_peer,
            )
        )

    def answer_data(self, data):
        """Takes body data of an answer, which :meth:`flush` writes."""
        self._out.append(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def flush(self):
        """Writes what has been taken; head and body leave in one segment."""
        if self._out:
            out, self._out = self._out, []
            self._write(out[0] if len(out) == 1 else b"".join(out))

    def answer_end(self, *, reusable):
        """Ends the answer.

        :param reusable: False closes the connection, because part of the
            request was not read.
        """
        if self._chunked:
            self._out.append(b"0\r\n\r\n")
        self.flush()
        self._finish(reusable)

    def result(self, result, *, reusable):
        """Writes a whole answer made by briarspoke."""
        self._write(
            result.encode(
                close=not reusable or self._closes(), without_body=self._head_request
            )
        )
        self._finish(reusable)

    def abort(self):
        """Cuts the connection, so that the answer is not taken for whole."""
        if not self.finished:
            self._end()
            self.channel.transport.abortConnection()

    def register_producer(self, producer):
        """Lets the caller's connection pause the answer."""
        self._producer = True
        self.channel.registerProducer(producer, True)
        if self.channel._waitingForTransport:
            # Earlier answers already fill the write buffer.
            producer.pauseProducing()

    def _closes(self):
        channel = self.channel
        return not channel.persistent or channel.router.closing

    def _write(self, data):
        if not self.finished:
            write_at_once(self.channel.transport, data)

    def _finish(self, reusable):
        if self.finished:
            return
        self._end()
        if self._producer:
            self.channel.unregisterProducer()
        if self.channel.router.closing:
            self.channel.persistent = False
        if reusable and self.received:
            self.channel.requestDone(self)
        else:
            self.channel.linger()


class CallerChannel(HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallerExchange
    totalHeadersSize = MAX_HEAD_BYTES
    # One sweep over all channels replaces a timer for each request.
    timeOut = None

    def __init__(self, router):
        super().__init__()
        self.router = router
        self.peer_host = ""
        self.quiet_since = self.data_at = self.head_since = router.now()
        self._abort_at = None

    def new_relay(self, exchange, head, length):
        """Returns the relay of a request whose head is complete."""
        return Relay(
            router=self.router,
            exchange=exchange,
            head=head,
            raw_headers=exchange.requestHeaders.pairs,
            length=length,
            request_id=self.request_id_of(head),
        )

    @staticmethod
    def request_id_of(head):
        """Returns the identifier the caller chose, or a new one."""
        given = head.headers.get("briarspoke-request-id", "")
        return given if _REQUEST_ID.fullmatch(given) else new_request_id()

    def connectionMade(self):
        self.peer_host = self.transport.getPeer().host
        self.router.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason):
        self.router.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data):
        if self._abort_at is None:
            self.data_at = self.router.now()
            super().dataReceived(data)

    def requestDone(self, request):
        self.quiet_since = self.router.now()
        super().requestDone(request)

    def resumeProducing(self):
        # The answer's drained buffer must not restart a body that the server's
        # full buffer has paused.
        exchange = self.requests[0] if self.requests else None
        if exchange is None or not exchange.paused:
            super().resumeProducing()
            return
        self._waitingForTransport = False
        if self._requestProducer is not None:
            self._requestProducer.resumeProducing()

    def linger(self):
        """Ends the writing side and drops what still arrives, for a while."""
        if self._abort_at is None:
            self._abort_at = self.router.now() + LINGER_S
            self.persistent = False
            # The rest of a rejected head must not be read as a request.
            self.clearLineBuffer()
            self.transport.resumeProducing()
            self.transport.loseWriteConnection()

    def sweep(self, now):
        """Ends what has been waiting for the caller for too long."""
        if self._abort_at is not None:
            if now >= self._abort_at:
                self.transport.abortConnection()
        elif not self.requests:
            limit = CLOSING_GRACE_S if self.router.closing else IDLE_TIMEOUT_S
            if now - self.quiet_since > limit:
                self.linger()
        elif self.requests[0].relay is None:
            if not self.requests[0].finished and now - self.head_since > HEAD_TIMEOUT_S:
                self._reject(codes.REQUEST_TIMEOUT)
        elif self._body_stalled(self.requests[0], now):
            self.requests[0].relay.broken_off(codes.REQUEST_TIMEOUT)

    def _body_stalled(self, exchange, now):
        return (
            not exchange.received
            and not exchange.paused
            and not self._waitingForTransport
            and now - self.data_at > BODY_STALL_S
        )

    def lineLengthExceeded(self, line):
        self._reject(codes.HEAD_TOO_LARGE)

    def _maybeChooseTransferDecoder(self, header, data):
        if header == b"Content-Length" and len(data) > MAX_LENGTH_DIGITS:
            # Python refuses to convert numbers of thousands of digits.
            return self._failChooseTransferDecoder()
        return super()._maybeChooseTransferDecoder(header, data)

    def _send100Continue(self):
        # A final answer may have been written already.
        if not self.requests[-1].finished:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self):
        code = codes.MALFORMED_REQUEST
        if self._receivedHeaderSize > self.totalHeadersSize:
            code = codes.HEAD_TOO_LARGE
        self._reject(code)

    def _reject(self, code):
        if self._abort_at is not None:
            return
        exchange = self.requests[-1] if self.requests else None
        if exchange is not None and exchange.finished:
            self.linger()
            return
        if exchange is not None and exchange.relay is not None:
            exchange.relay.broken_off(code)
            return
        self.router.count_result(code)
        result = wire.Result(
            code=code, detail=code.meaning, run="no", request_id=new_request_id()
        )
        self.transport.write(result.encode(close=True))
        if exchange is not None:
            exchange.finished = True
        self.linger()


class CallerFactory(protocol.ServerFactory):
    """Makes a channel for each connection of a caller."""

    noisy = False
    channel_class = CallerChannel

    def __init__(self, *, router):
        self.router = router

    def buildProtocol(self, address):
        return self.channel_class(self.router)
