"""Calls of the servers' control endpoint over pooled HTTP."""

from __future__ import annotations

import json

from twisted.internet import defer, endpoints, error, protocol, task

from briarspoke import clock
from briarspoke.configuration.snapshot import split_address
from briarspoke.http.pool import ConnectionPool
from briarspoke.ownership import events
from briarspoke.retry.policy import Outcome

# Below the interval of renewals, so that one call is in flight per server.
CALL_TIMEOUT_S = 0.35
# After a pause timers run before the sockets are read, so an answer that has
# arrived in time may still be waiting there.
LATE_TIMER_S = 0.05
# A call that timed out still counts until its connection has been closed.
CONNECTIONS_PER_SERVER = 2
CLOSE_IDLE_EVERY_S = 5.0
# An answer lists at most the server's partitions.
MAX_ANSWER_BYTES = 1_048_576
# "HTTP/1.1 200 OK" with the line ends of the status line and of the head.
STATUS_LINE_BYTES = 19


class ServerCalls:
    """Sends grants and probes; results go to ``settled(zone, event)``.

    :param count_bytes: function of (``sent`` or ``received``, bytes).
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
        """Sends a :class:`commands.SendGrants`."""
        call = _Call(
            reactor=self._reactor,
            command=command,
            head=_head(command),
            ended=lambda event: self._settled(zone, event),
            count_bytes=self._count_bytes,
        )
        call.start_timer(CALL_TIMEOUT_S)
        self._pool(command.address).acquire(call)

    @defer.inlineCallbacks
    def probe(self, zone, command):
        """Tries a connection for a :class:`commands.ProbeServer`."""
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


class _Call:
    """One control call: waiter of the pool and listener of the exchange.

    :param ended: function that takes the event in which the call ends.
    """

    __slots__ = (
        "_body",
        "_command",
        "_connection",
        "_count_bytes",
        "_ended",
        "_head",
        "_reactor",
        "_size",
        "_status",
        "_timer",
        "done",
    )

    def __init__(self, *, reactor, command, head, ended, count_bytes):
        self.done = False
        self._count_bytes = count_bytes
        self._reactor = reactor
        self._timer = None
        self._command = command
        self._head = head
        self._ended = ended
        self._connection = None
        self._status = 0
        self._body = []
        self._size = 0

    def connected(self, connection):
        """Writes the call; from here on it may be delivered."""
        self._connection = connection
        connection.start(self._head, self)
        connection.end_request()
        self._count_bytes("sent", len(self._head))

    def answer_head(self, head):
        """Takes the status of the answer."""
        self._status = head.status
        fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
        self._count_bytes("received", STATUS_LINE_BYTES + fields)

    def answer_data(self, data):
        """Takes a part of the answer."""
        self._body.append(data)
        self._size += len(data)
        self._count_bytes("received", len(data))
        if self._size > MAX_ANSWER_BYTES and not self.done:
            self._connection.abort()
            self._end(self._failure(refused=False))

    def answer_flush(self):
        """Has nothing to pass on before the answer is complete."""

    def answer_complete(self):
        """Ends the call with the server's answer."""
        if not self.done:
            self._end(self._answer())

    def attempt_failed(self, attempt):
        """Ends the call without an answer."""
        if not self.done:
            # Only a call of which nothing was written cannot be delivered later.
            self._end(self._failure(refused=attempt.outcome is Outcome.NOT_RUN))

    def start_timer(self, seconds):
        """Bounds the time until the answer."""
        due_at = self._reactor.seconds() + seconds
        self._timer = self._reactor.callLater(seconds, self._time_out, due_at)

    def _time_out(self, due_at):
        if self._reactor.seconds() - due_at > LATE_TIMER_S:
            self.start_timer(LATE_TIMER_S)
            return
        if self._connection is not None:
            self._connection.abort()
        self._end(self._failure(refused=self._connection is None))

    def _end(self, event):
        self.done = True
        if self._timer.active():
            self._timer.cancel()
        self._ended(event)

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


def _head(command):
    """Returns the whole request as bytes."""
    body = json.dumps(command.body(), separators=(",", ":")).encode()
    return (
        b"POST /_control/grants HTTP/1.1\r\nHost: %b\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
        % (command.address.encode(), len(body), body)
    )
