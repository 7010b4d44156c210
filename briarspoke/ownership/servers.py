"""HTTP client of the backend servers' control endpoint, with pooled connections."""

from __future__ import annotations

import json

from twisted.internet import defer, endpoints, error, protocol, task

from briarspoke import clock
from briarspoke.configuration.snapshot import split_address
from briarspoke.http.pool import ConnectionPool
from briarspoke.ownership import events
from briarspoke.retry.policy import Outcome

# Less than the renewal interval, so that at most one call is in flight per server.
CALL_TIMEOUT_S = 0.35
# After a pause of the event loop, timers run before sockets are read, so an answer
# that arrived in time may still be unread.
LATE_TIMER_GRACE_S = 0.05
# A call that timed out occupies its connection until that has been closed.
CONNECTIONS_PER_SERVER = 2
CLOSE_IDLE_EVERY_S = 5.0
# An answer lists no more than the server's partitions.
MAX_ANSWER_BYTES = 1_048_576
# "HTTP/1.1 200 OK" with the line ends of the status line and of the header block.
STATUS_LINE_BYTES = 19


class ServerControlClient:
    """Sends grants and probes to servers.

    :param settled: function of (zone, event) that is called with each result.
    :param count_bytes: function of (``sent`` or ``received``, number of bytes).
    """

    def __init__(self, *, reactor, settled, count_bytes=lambda direction, count: None):
        self._reactor = reactor
        self._settled = settled
        self._count_bytes = count_bytes
        self._pools_by_address = {}
        self._closer = task.LoopingCall(self._close_idle)
        self._closer.clock = reactor

    def close(self):
        """Closes the pooled connections."""
        if self._closer.running:
            self._closer.stop()
        for pool in self._pools_by_address.values():
            pool.close()
        self._pools_by_address.clear()
        return defer.succeed(None)

    def send_grants(self, zone, command):
        """Executes a :class:`commands.SendGrants`."""
        call = _ControlCall(
            reactor=self._reactor,
            command=command,
            request=_encode(command),
            on_end=lambda event: self._settled(zone, event),
            count_bytes=self._count_bytes,
        )
        call.start_timer(CALL_TIMEOUT_S)
        self._pool(command.address).acquire(call)

    @defer.inlineCallbacks
    def probe(self, zone, command):
        """Executes a :class:`commands.ProbeServer` by opening a connection."""
        host, port = split_address(command.address)
        endpoint = endpoints.HostnameEndpoint(
            self._reactor, host, port, timeout=CALL_TIMEOUT_S
        )
        factory = protocol.Factory.forProtocol(protocol.Protocol)
        factory.noisy = False
        try:
            connected = yield endpoint.connect(factory)
        except error.ConnectError:
            reachable = False
        else:
            reachable = True
            connected.transport.loseConnection()
        self._settled(
            zone, events.ProbeSettled(server=command.server, reachable=reachable)
        )

    def _pool(self, address):
        pool = self._pools_by_address.get(address)
        if pool is None:
            host, port = split_address(address)
            pool = self._pools_by_address[address] = ConnectionPool(
                reactor=self._reactor,
                host=host,
                port=port,
                maximum=CONNECTIONS_PER_SERVER,
                clock=clock.monotonic,
            )
            if not self._closer.running:
                self._closer.start(CLOSE_IDLE_EVERY_S, now=False)
        return pool

    def _close_idle(self):
        now = clock.monotonic()
        for pool in self._pools_by_address.values():
            pool.close_idle(now)


class _ControlCall:
    """One control call, which waits for a connection and receives the answer.

    :param request: the encoded HTTP request.
    :param on_end: function that is called with the event that ends the call.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_command",
        "_connection",
        "_count_bytes",
        "_on_end",
        "_reactor",
        "_request",
        "_status",
        "_timer",
        "done",
    )

    def __init__(self, *, reactor, command, request, on_end, count_bytes):
        self.done = False
        self._count_bytes = count_bytes
        self._reactor = reactor
        self._timer = None
        self._command = command
        self._request = request
        self._on_end = on_end
        self._connection = None
        self._status = 0
        self._body = []
        self._body_bytes = 0

    def connected(self, connection):
        """Writes the request; from now on the server may receive it."""
        self._connection = connection
        connection.start(self._request, self)
        connection.end_request()
        self._count_bytes("sent", len(self._request))

    def answer_head(self, head):
        """Handles the status line and the headers of the answer."""
        self._status = head.status
        header_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        self._count_bytes("received", STATUS_LINE_BYTES + header_bytes)

    def answer_data(self, data):
        """Handles a part of the answer's body."""
        self._body.append(data)
        self._body_bytes += len(data)
        self._count_bytes("received", len(data))
        if self._body_bytes > MAX_ANSWER_BYTES and not self.done:
            self._connection.abort()
            self._end(self._failure(refused=False))

    def answer_flush(self):
        """Does nothing: the answer is only parsed once it is complete."""

    def answer_complete(self):
        """Parses the answer and ends the call."""
        if not self.done:
            self._end(self._answer())

    def attempt_failed(self, attempt):
        """Ends the call after a failure of the connection."""
        if not self.done:
            # Only a call of which nothing was written surely never arrives.
            self._end(self._failure(refused=attempt.outcome is Outcome.NOT_RUN))

    def start_timer(self, seconds):
        """Limits the time until the answer is complete, in seconds."""
        due_at = self._reactor.seconds() + seconds
        self._timer = self._reactor.callLater(seconds, self._time_out, due_at)

    def _time_out(self, due_at):
        if self._reactor.seconds() - due_at > LATE_TIMER_GRACE_S:
            self.start_timer(LATE_TIMER_GRACE_S)
            return
        if self._connection is not None:
            self._connection.abort()
        self._end(self._failure(refused=self._connection is None))

    def _end(self, event):
        self.done = True
        if self._timer.active():
            self._timer.cancel()
        self._on_end(event)

    def _answer(self):
        command = self._command
        if self._status not in (200, 409):
            return self._failure(refused=False)
        try:
            value = json.loads(b"".join(self._body))
            return events.GrantAnswered(
                server=command.server,
                call_id=command.call_id,
                accepted=self._status == 200,
                clock=float(value["clock"]),
                incarnation=value["incarnation"],
                term=int(value["term"]),
                digest=value.get("digest", ""),
                busy=frozenset(value.get("busy", ())),
            )
        except (AttributeError, KeyError, TypeError, ValueError):
            return self._failure(refused=False)

    def _failure(self, *, refused):
        return events.GrantFailed(
            server=self._command.server,
            call_id=self._command.call_id,
            refused=refused,
        )


def _encode(command):
    """Returns the encoded HTTP request, headers and body."""
    body = json.dumps(command.body(), separators=(",", ":")).encode()
    return (
        b"POST /_control/grants HTTP/1.1\r\nHost: %b\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
        % (command.address.encode(), len(body), body)
    )
