"""The port for callers: ``twisted.web`` channels that do not buffer bodies."""

from __future__ import annotations

from twisted.internet import protocol
from twisted.web.http import HTTPChannel

from briarspoke import codes
from briarspoke.http import wire
from briarspoke.http.delivery import Delivery
from briarspoke.http.exchange import CallerExchange, new_request_id, request_id_of
from briarspoke.http.proxied_request import ProxiedRequest

IDLE_TIMEOUT_S = 60.0
# From the request line to the blank line, even if bytes keep arriving.
HEAD_TIMEOUT_S = 15.0
# Between two pieces of a body, not counting the time in which reading was paused.
BODY_STALL_TIMEOUT_S = 30.0
# Closing a connection that has unread data resets it, and the caller can lose an
# answer that it has not read yet. Data is therefore read and dropped for this long
# after the caller has got everything.
LINGER_S = 3.0
# A request that was sent on a kept connection just before the shutdown is served.
CLOSING_GRACE_S = 1.0
MAX_HEAD_BYTES = 16_384
MAX_LENGTH_DIGITS = 18


class CallerChannel(HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallerExchange
    totalHeadersSize = MAX_HEAD_BYTES
    # A periodic sweep over all channels replaces a timer for each request.
    timeOut = None

    def __init__(self, router):
        super().__init__()
        self.router = router
        self.peer_host = ""
        self.idle_since = self.last_data_at = self.head_started_at = router.now()
        self._closes_at = None
        self._delivery = None

    def new_proxied_request(self, exchange, head, length):
        """Returns the proxied request for a head that is complete.

        :param exchange: the :class:`briarspoke.http.exchange.CallerExchange`.
        :param head: the :class:`briarspoke.routing.classify.RequestHead`.
        :param length: body length in bytes, or None for a chunked body.
        """
        return ProxiedRequest(
            router=self.router,
            exchange=exchange,
            head=head,
            raw_headers=exchange.requestHeaders.pairs,
            length=length,
            request_id=request_id_of(head),
        )

    def connectionMade(self):
        self.peer_host = self.transport.getPeer().host
        self.router.channels.add(self)
        self._delivery = Delivery(transport=self.transport)
        super().connectionMade()

    def connectionLost(self, reason):
        self.router.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data):
        if self._closes_at is None:
            self.last_data_at = self.router.now()
            super().dataReceived(data)

    def requestDone(self, request):
        self.idle_since = self.router.now()
        super().requestDone(request)

    def resumeProducing(self):
        # The transport calls this when its write buffer has drained. That must not
        # resume a body which is paused because the buffer to the server is full.
        exchange = self.requests[0] if self.requests else None
        if exchange is None or not exchange.paused:
            super().resumeProducing()
            return
        self._waitingForTransport = False
        if self._requestProducer is not None:
            self._requestProducer.resumeProducing()

    def linger(self):
        """Closes the connection for writing, and drops data for ``LINGER_S`` after the
        caller has got everything.
        """
        if self._closes_at is None:
            self._closes_at = self.router.now() + LINGER_S
            self.persistent = False
            # The rest of a rejected head must not be parsed as another request.
            self.clearLineBuffer()
            if not self.transport.disconnecting:
                self.transport.resumeProducing()
                # The transport does not end its output while a producer is registered.
                self.transport.unregisterProducer()
                self.transport.loseWriteConnection()

    def _check_linger(self, now):
        delivery = self._delivery
        delivery.update(now, asks_kernel=True)
        if delivery.is_stalled(now, IDLE_TIMEOUT_S):
            self.transport.abortConnection()
        elif delivery.undelivered_bytes:
            self._closes_at = now + LINGER_S
        elif now >= self._closes_at:
            # A reset could make the caller lose what it has not read yet.
            self.transport.loseConnection()

    def sweep(self, now):
        """Ends the connection or its request if the caller has been idle too long."""
        if self._closes_at is not None:
            self._check_linger(now)
        elif not self.requests:
            limit = CLOSING_GRACE_S if self.router.closing else IDLE_TIMEOUT_S
            if now - self.idle_since > limit:
                self.linger()
        elif self.requests[0].proxied is None:
            if (
                not self.requests[0].finished
                and now - self.head_started_at > HEAD_TIMEOUT_S
            ):
                self._reject(codes.REQUEST_TIMEOUT)
        elif self._body_stalled(self.requests[0], now):
            self.requests[0].proxied.interrupt(codes.REQUEST_TIMEOUT)

    def _body_stalled(self, exchange, now):
        return (
            not exchange.request_complete
            and not exchange.paused
            and not self._waitingForTransport
            and now - self.last_data_at > BODY_STALL_TIMEOUT_S
        )

    def lineLengthExceeded(self, line):
        self._reject(codes.HEAD_TOO_LARGE)

    def _maybeChooseTransferDecoder(self, header, data):
        if header == b"Content-Length" and len(data) > MAX_LENGTH_DIGITS:
            # Python raises ValueError for numbers of thousands of digits.
            return self._failChooseTransferDecoder()
        return super()._maybeChooseTransferDecoder(header, data)

    def _send100Continue(self):
        # A final answer may have been written already.
        if not self.requests[-1].finished:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self):
        code = codes.MALFORMED_REQUEST
        if (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        ):
            code = codes.HEAD_TOO_LARGE
        self._reject(code)

    def _reject(self, code):
        if self._closes_at is not None:
            return
        exchange = self.requests[-1] if self.requests else None
        if exchange is not None and exchange.finished:
            self.linger()
            return
        if exchange is not None and exchange.proxied is not None:
            exchange.proxied.interrupt(code)
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
    """Creates a channel for each connection of a caller."""

    noisy = False
    channel_class = CallerChannel

    def __init__(self, *, router):
        self.router = router

    def buildProtocol(self, address):
        return self.channel_class(self.router)
