"""HTTP client for calls to the store and to servers."""

from __future__ import annotations

from twisted.internet import defer

from briarspoke.entry.connections import Answer, ConnectionFactory

CONNECT_TIMEOUT_S = 0.5
# Idle connections are not reused after this time, since the peer may close them.
MAX_IDLE_S = 4.0


class HttpClient:
    """Makes HTTP calls to one address on persistent connections.

    :param reactor: Twisted's reactor.
    :param clock: function that returns monotonic seconds.
    :param held_answers: the :class:`briarspoke.entry.heldbytes.HeldBytes` of all
        answers that arrive at the process.
    """

    def __init__(self, *, reactor, clock, host, port, held_answers):
        self.host = host
        self.port = port
        self._reactor = reactor
        self._clock = clock
        self._held_answers = held_answers
        self._host_header = f"{host}:{port}".encode()
        self._idle = []

    def call(
        self,
        method,
        path,
        body=b"",
        *,
        timeout_s,
        headers=(),
        connection=None,
        new_connection=False,
    ):
        """Makes one call.

        :param method: HTTP method in bytes.
        :param path: path and query as text.
        :param headers: additional (name, value) pairs in bytes.
        :param connection: a connection that :meth:`take_idle` has returned, or None.
        :param new_connection: whether the call must not use a kept connection, on which
            a late second answer to an earlier call could be taken for its own.
        :returns: a Deferred that fires with an :class:`Answer`, and with an error only
            if it is cancelled; the connection is then closed.
        """
        lines = [
            b"%b %b HTTP/1.1" % (method, path.encode()),
            b"Host: " + self._host_header,
        ]
        lines += [b"%b: %b" % header for header in headers]
        if body:
            lines.append(b"Content-Type: application/json")
        if body or method == b"POST":
            lines.append(b"Content-Length: %d" % len(body))
        data = b"\r\n".join([*lines, b"", body])
        if connection is None and not new_connection:
            connection = self.take_idle()
        return _Call(
            client=self, connection=connection, data=data, timeout_s=timeout_s
        ).deferred

    def take_idle(self):
        """Returns an idle connection, or None."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.reusable:
                continue
            if self._clock() - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.abandon()
        return None

    def connect(self, call):
        """Opens a connection for a call and returns Twisted's connector."""
        factory = ConnectionFactory(call, call.connect_failed, self._held_answers)
        return self._reactor.connectTCP(
            self.host, self.port, factory, timeout=CONNECT_TIMEOUT_S
        )

    def call_later(self, delay_s, function, *args):
        """Calls a function after a delay in seconds."""
        return self._reactor.callLater(delay_s, function, *args)

    def connection_made(self, connection):
        """Does nothing, since each new connection belongs to a call."""

    def exchange_ended(self, connection):
        """Keeps a connection for the next call."""
        if connection.reusable:
            connection.idle_since = self._clock()
            self._idle.append(connection)
        else:
            connection.close()

    def connection_lost(self, connection):
        """Removes a closed connection from the idle ones."""
        if connection in self._idle:
            self._idle.remove(connection)


class _Call:
    """A call in progress and its timeout."""

    __slots__ = ("_client", "_connection", "_connector", "_data", "_timer", "deferred")

    def __init__(self, *, client, connection, data, timeout_s):
        self.deferred = defer.Deferred(self._cancelled)
        self._client = client
        self._data = data
        self._connector = None
        self._connection = connection
        self._timer = client.call_later(timeout_s, self._timed_out)
        if self._connection is None:
            self._connector = client.connect(self)
        else:
            self._connection.exchange(data, self._finish)

    def connection_made(self, connection):
        if self.deferred.called:
            connection.abandon()
            return
        connection.handler = self._client
        self._connection = connection
        connection.exchange(self._data, self._finish)

    def connection_lost(self, connection):
        """Does nothing, since the client is the handler by then."""

    def connect_failed(self, failure):
        if not self.deferred.called:
            self._finish(Answer(failure=failure, sent=False))

    def _give_up(self):
        if self._connection is not None:
            self._connection.abandon()
        else:
            self._connector.disconnect()

    def _cancelled(self, deferred):
        self._timer.cancel()
        deferred.errback(defer.CancelledError())
        self._give_up()

    def _timed_out(self):
        sent = self._connection is not None
        received_bytes = self._connection.received_bytes if sent else 0
        self._give_up()
        if not self.deferred.called:
            self._finish(
                Answer(failure="timeout", sent=sent, received_bytes=received_bytes)
            )

    def _finish(self, answer):
        if self._timer.active():
            self._timer.cancel()
        if not self.deferred.called:
            self.deferred.callback(answer)
