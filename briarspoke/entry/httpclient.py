"""HTTP client for calls to the store and to servers."""

from __future__ import annotations

from twisted.internet import defer

from briarspoke.entry.connections import Answer, ConnectionFactory

CONNECT_TIMEOUT_S = 0.5
# Time for which a client that keeps late connections goes on with a connection attempt
# whose call has ended. The packets of a new connection wait behind those of callers,
# on a full link of 5 Mbit/s for 1 to 2 s, so a shorter attempt would never succeed.
LATE_CONNECT_TIMEOUT_S = 3.0
# Idle connections are not reused after this time, since the peer may close them.
MAX_IDLE_S = 4.0


class HttpClient:
    """Makes HTTP calls to one address on persistent connections.

    :param reactor: Twisted's reactor.
    :param clock: function that returns monotonic seconds.
    :param held_answers: the :class:`briarspoke.entry.heldbytes.HeldBytes` of all
        answers that arrive at the process.
    :param keep_late: whether a connection that opens after its call has ended is kept
        for the next call.
    """

    def __init__(self, *, reactor, clock, host, port, held_answers, keep_late=False):
        self.host = host
        self.port = port
        self.keep_late = keep_late
        self._reactor = reactor
        self._clock = clock
        self._held_answers = held_answers
        self._host_header = f"{host}:{port}".encode()
        self._idle = []
        # The connection attempt whose call has ended, or None.
        self._late_attempt = None

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

    @property
    def idle_count(self):
        """Number of kept connections that no call uses."""
        return len(self._idle)

    def now(self):
        """Returns monotonic seconds."""
        return self._clock()

    def connect(self, call):
        """Opens a connection for a call, or gives it the attempt of an earlier call.

        :returns: the :class:`_ConnectionAttempt`.
        """
        attempt, self._late_attempt = self._late_attempt, None
        if attempt is None:
            attempt = _ConnectionAttempt(client=self, began_at=self._clock())
            timeout_s = LATE_CONNECT_TIMEOUT_S if self.keep_late else CONNECT_TIMEOUT_S
            attempt.connector = self._reactor.connectTCP(
                self.host,
                self.port,
                ConnectionFactory(attempt, attempt.failed, self._held_answers),
                timeout=timeout_s,
            )
        attempt.call = call
        return attempt

    def call_ended(self, attempt):
        """Goes on with the connection attempt of a call that has ended, or stops it."""
        attempt.call = None
        if self.keep_late and self._late_attempt is None:
            self._late_attempt = attempt
        else:
            attempt.connector.disconnect()

    def attempt_ended(self, attempt):
        """Forgets a connection attempt that has succeeded or failed."""
        if self._late_attempt is attempt:
            self._late_attempt = None

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


class _ConnectionAttempt:
    """A connection that is being opened, and the call that waits for it.

    :param began_at: monotonic seconds.
    :ivar call: the :class:`_Call`, or None after it has ended.
    :ivar connector: Twisted's connector.
    """

    __slots__ = ("_client", "began_at", "call", "connector")

    def __init__(self, *, client, began_at):
        self._client = client
        self.began_at = began_at
        self.call = None
        self.connector = None

    def connection_made(self, connection):
        self._client.attempt_ended(self)
        connection.handler = self._client
        if self.call is not None:
            self.call.connection_made(connection)
        elif self._client.keep_late:
            self._client.exchange_ended(connection)
        else:
            connection.abandon()

    def connection_lost(self, connection):
        """Does nothing, since the client is the handler by then."""

    def failed(self, failure):
        self._client.attempt_ended(self)
        if self.call is not None:
            self.call.connect_failed(failure)


class _Call:
    """A call in progress and its timeouts."""

    __slots__ = (
        "_attempt",
        "_client",
        "_connect_timer",
        "_connection",
        "_data",
        "_due_at",
        "_idle_s",
        "_timer",
        "deferred",
    )

    def __init__(self, *, client, connection, data, timeout_s):
        self.deferred = defer.Deferred(self._cancelled)
        self._client = client
        self._data = data
        self._attempt = None
        self._connection = connection
        self._connect_timer = None
        self._due_at = client.now() + timeout_s
        # Seconds for which the connection was idle before the call; None if it is new.
        self._idle_s = None
        if connection is not None:
            self._idle_s = client.now() - connection.idle_since
        self._timer = client.call_later(timeout_s, self._timed_out)
        if connection is not None:
            connection.exchange(data, self._finish)
            return
        if client.keep_late and timeout_s > CONNECT_TIMEOUT_S:
            self._connect_timer = client.call_later(
                CONNECT_TIMEOUT_S, self._connect_timed_out
            )
        self._attempt = client.connect(self)

    def connection_made(self, connection):
        if self.deferred.called:
            connection.abandon()
            return
        self._cancel_connect_timer()
        self._connection = connection
        connection.exchange(self._data, self._finish)

    def connect_failed(self, failure):
        if not self.deferred.called:
            self._finish(Answer(failure=failure, sent=False))

    def _connect_timed_out(self):
        self._give_up()
        self.connect_failed("connect")

    def _give_up(self):
        if self._connection is not None:
            self._connection.abandon()
        else:
            self._client.call_ended(self._attempt)

    def _cancelled(self, deferred):
        self._timer.cancel()
        self._cancel_connect_timer()
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

    def _describe(self):
        """Returns what tells a silent connection from a late process or connection."""
        now = self._client.now()
        if self._idle_s is not None:
            connection = f"kept idle_ms={round(self._idle_s * 1e3)}"
        elif self._connection is not None:
            connection = "new"
        else:
            began_at = now if self._attempt is None else self._attempt.began_at
            connection = f"not open attempt_ms={round((now - began_at) * 1e3)}"
        late_ms = max(0, round((now - self._due_at) * 1e3))
        return (
            f"connection={connection} others={self._client.idle_count} "
            f"late_ms={late_ms}"
        )

    def _cancel_connect_timer(self):
        if self._connect_timer is not None and self._connect_timer.active():
            self._connect_timer.cancel()

    def _finish(self, answer):
        self._cancel_connect_timer()
        if self._timer.active():
            self._timer.cancel()
        if not self.deferred.called:
            if answer.failure:
                answer.detail = self._describe()
            self.deferred.callback(answer)
