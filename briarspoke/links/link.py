"""Twisted protocol of one websocket link."""

from __future__ import annotations

import collections
import logging

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from websockets.client import ClientProtocol
from websockets.exceptions import PayloadTooBig
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri
from zope.interface import implementer

from briarspoke.links import messages, rejections
from briarspoke.links.messages import MalformedMessageError
from briarspoke.links.rejections import LinkError
from briarspoke.links.session import Session

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 2**20
# A hello takes about 200 bytes. The limit bounds what an unauthenticated peer can
# make the node buffer.
MAX_HANDSHAKE_FRAME_BYTES = 4096
HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
# Room for two documents of the maximum size. A peer that falls further behind is
# disconnected and requests the newest documents when it reconnects.
MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES
# Websocket reserves close codes from 4000 for applications; result codes of links
# start at 6000.
CLOSE_CODE_OFFSET = 4000 - 6000
# The library logs each connection at INFO, which duplicates the log lines of this
# module.
_websocket_log = logging.getLogger("briarspoke.links.websocket")
_websocket_log.setLevel(logging.CRITICAL)


@implementer(IPushProducer)
class Link(protocol.Protocol):
    """A link to another entry VM.

    :param hub: object with ``hello()``, ``cluster_key``, ``check_peer(link)``,
        ``link_ready(link)``, ``link_received(link, message)``,
        ``link_closed(link)``, ``count_link(code)``, ``count_bytes(direction, n)``
        and ``count_frame(direction)``.
    :param dialled_address: address that was dialled, or None for an accepted link.
    :ivar code: the :class:`briarspoke.codes.ResultCode` that the link was closed with,
        None while it is open.
    :ivar last_received_at: when the last frame was received, set by the hub.
    :ivar last_digest_change: ``Documents.change_count`` at the last heartbeat.
    :ivar heartbeat_phase: offset of the ticks in which heartbeats are sent.
    :ivar unused_since: when the peer ceased to be a link target, or None.
    """

    def __init__(self, *, hub, reactor, dialled_address=None):
        self.hub = hub
        self.reactor = reactor
        self.dialled_address = dialled_address
        self.session = Session(
            cluster_key=hub.cluster_key,
            is_dialler=dialled_address is not None,
            hello=hub.hello(),
        )
        if dialled_address is None:
            self._ws = ServerProtocol(
                max_size=MAX_HANDSHAKE_FRAME_BYTES, logger=_websocket_log
            )
        else:
            # Not MAX_HANDSHAKE_FRAME_BYTES, because the acceptor's first large frames
            # may arrive in the same read as its proof.
            self._ws = ClientProtocol(
                parse_uri(f"ws://{dialled_address}/link"),
                max_size=MAX_FRAME_BYTES,
                logger=_websocket_log,
            )
        self.code = None
        self.last_received_at = None
        self.last_digest_change = 0
        self.sent_heartbeats = 0
        self.heartbeat_phase = 0
        self.unused_since = None
        self._paused = False
        self._send_queue = collections.deque()
        self._queued_bytes = 0
        self._timer = None
        self._closed = False

    @property
    def is_dialler(self):
        """Whether this side opened the connection."""
        return self.session.is_dialler

    @property
    def is_ready(self):
        """Whether the peer is authenticated and the link is open."""
        return self.session.is_ready and self.code is None and not self._closed

    @property
    def node_id(self):
        """Node id of the peer, None until its hello is received."""
        return self.session.peer.node_id if self.session.peer else None

    def connectionMade(self):
        """Starts the handshake and its timeout."""
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self._timer = self.reactor.callLater(
            HANDSHAKE_TIMEOUT_S, self.close, rejections.HANDSHAKE_TIMEOUT
        )
        if self.is_dialler:
            self._ws.send_request(self._ws.connect())
            self._flush()

    def dataReceived(self, data):
        """Processes bytes from the peer."""
        self.hub.count_bytes("received", len(data))
        if self.code is not None:
            return
        self._ws.receive_data(data)
        try:
            for event in self._ws.events_received():
                self._on_event(event)
                if self.code is not None:
                    return
            self._check_websocket()
        except LinkError as error:
            self.close(error.code, error.detail)
            return
        self._flush()

    def connectionLost(self, reason=None):
        """Removes the link; counts a result code if the handshake was incomplete."""
        self._cancel_timer()
        self._closed = True
        self._send_queue.clear()
        if self.code is None and not self.session.is_ready:
            is_open = self._ws.state is not State.CONNECTING
            self.code = rejections.PEER_CLOSED if is_open else rejections.BAD_HANDSHAKE
            self.hub.count_link(self.code)
        self.hub.link_closed(self)

    # IPushProducer: the transport reports backpressure by these calls.

    def pauseProducing(self):
        """Queues further frames because the transport's buffer is full."""
        self._paused = True

    def resumeProducing(self):
        """Writes the queued frames until the transport pauses again."""
        self._paused = False
        while self._send_queue and not self._paused:
            data = self._send_queue.popleft()
            self._queued_bytes -= len(data)
            self._write_now(data)

    def stopProducing(self):
        """Discards the queued frames."""
        self._send_queue.clear()

    def send(self, message):
        """Encodes and sends a message."""
        self.send_payload(messages.encode(message))

    def send_payload(self, payload):
        """Sends an encoded message; does nothing unless the link is ready."""
        if not self.is_ready or self._ws.state is not State.OPEN:
            return
        self.hub.count_frame("sent")
        self._ws.send_binary(self.session.seal(payload))
        self._flush()

    def close(self, code, detail=""):
        """Closes the link and sends the result code to the peer.

        :param code: the :class:`briarspoke.codes.ResultCode`, which is also counted.
        :param detail: one sentence for the log.
        """
        if self.code is not None or self._closed:
            return
        self.code = code
        self.hub.count_link(code)
        log.info(
            "link: closing the link to %s: %d %s %s",
            self.node_id or self.dialled_address or "an unknown peer",
            code.number,
            code.name,
            detail,
        )
        self._cancel_timer()
        if self._paused:
            self.transport.abortConnection()
            return
        if self._ws.state is State.OPEN:
            self._ws.fail(CLOSE_CODE_OFFSET + code.number, f"{code.number} {code.name}")
            self._flush()
        self.transport.loseConnection()
        self._timer = self.reactor.callLater(CLOSE_TIMEOUT_S, self._abort)

    def _abort(self):
        self._timer = None
        self.transport.abortConnection()

    def _cancel_timer(self):
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _flush(self):
        for data in self._ws.data_to_send():
            # The library yields empty bytes to request the end of the stream.
            if not data:
                self.transport.loseConnection()
            elif not self._paused:
                self._write_now(data)
            else:
                self._send_queue.append(data)
                self._queued_bytes += len(data)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._send_queue.clear()
            self._queued_bytes = 0
            self.close(rejections.SLOW_PEER)

    def _write_now(self, data):
        self.hub.count_bytes("sent", len(data))
        try:
            self.transport.write(data)
        except RuntimeError:
            # uvloop raises this if the connection has just been reset. The error must
            # not interrupt a caller that iterates over all links.
            log.info("link: the connection to %s was reset", self.node_id)
            self.transport.abortConnection()

    def _check_websocket(self):
        error = self._ws.parser_exc or self._ws.handshake_exc
        if isinstance(error, PayloadTooBig):
            raise LinkError(rejections.OVERSIZED)
        if error is not None and not isinstance(error, EOFError):
            code = (
                rejections.MALFORMED
                if self.session.is_ready
                else rejections.BAD_HANDSHAKE
            )
            raise LinkError(code, type(error).__name__)

    def _on_event(self, event):
        if isinstance(event, Request):
            response = self._ws.accept(event)
            self._ws.send_response(response)
        elif isinstance(event, Response):
            if self._ws.handshake_exc is None:
                self._send_handshake(self.session.initial_frames())
        elif event.opcode is Opcode.BINARY and event.fin:
            self._on_frame(bytes(event.data))
        elif event.opcode is Opcode.CLOSE:
            log.info(
                "link: %s closed the link: %s",
                self.node_id or self.dialled_address or "an unknown peer",
                self._ws.close_rcvd and self._ws.close_rcvd.reason,
            )
        elif event.opcode not in (Opcode.PING, Opcode.PONG):
            raise LinkError(
                rejections.MALFORMED, "expected an unfragmented binary frame"
            )

    def _on_frame(self, frame):
        self.hub.count_frame("received")
        if not self.session.is_ready:
            self._on_handshake_frame(frame)
            return
        try:
            message = messages.decode(self.session.open(frame))
        except MalformedMessageError as error:
            raise LinkError(rejections.MALFORMED, str(error)) from error
        self.hub.link_received(self, message)

    def _on_handshake_frame(self, frame):
        had_peer = self.session.peer is not None
        replies = self.session.receive_handshake(frame)
        if not had_peer:
            self.hub.check_peer(self)
        self._send_handshake(replies)
        if self.session.is_ready:
            self._cancel_timer()
            self._ws.max_message_size = MAX_FRAME_BYTES
            self.hub.link_ready(self)

    def _send_handshake(self, frames):
        for frame in frames:
            self.hub.count_frame("sent")
            self._ws.send_binary(frame)
        self._flush()
