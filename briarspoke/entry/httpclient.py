"""HTTP client for calls to the store and to servers."""

from __future__ import annotations

from twisted.internet import defer

from briarspoke.entry.connections import Answer, ConnectionFactory
from briarspoke.entry.repeating import RepeatedCall

CONNECT_TIMEOUT_S = 0.5
# Time for which a client that keeps late connections goes on with a connection attempt
# whose call has ended. The packets of a new connection wait behind those of callers,
# on a full link of 5 Mbit/s for 1 to 2 s, so a shorter attempt would never succeed.
LATE_CONNECT_TIMEOUT_S = 3.0
# A call takes over an attempt that is at most this old. The first packet of an older
# one may have been lost; TCP sends it again only 1 and 3 s after it.
MAX_ATTEMPT_AGE_S = 0.6
# Attempts without a call that go on at the same time; the oldest is stopped.
MAX_LATE_ATTEMPTS = 4
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
        # Connection attempts in progress, oldest first.
        self._attempts = []

    def call(self, method, path, body=b"", **options):
        """Makes one call, see :meth:`start_call`.

        :returns: a Deferred that fires with an :class:`Answer`, and with an error only
            if it is cancelled; the connection is then closed.
        """
        return self.start_call(method, path, body, **options).deferred

    def call_repeatedly(self, method, path, **options):
        """Makes a call that may be executed more than once.

        :param options: those of :class:`briarspoke.entry.repeating.RepeatedCall`.
        :returns: a Deferred that fires with an :class:`Answer`, and with an error only
            if it is cancelled.
        """
        return RepeatedCall(client=self, method=method, path=path, **options).deferred

    def start_call(
        self,
        method,
        path,
        body=b"",
        *,
        timeout_s,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        headers=(),
        connection=None,
        new_connection=False,
    ):
        """Starts one call.

        :param method: HTTP method in bytes.
        :param path: path and query as text.
        :param connect_timeout_s: seconds until the call fails without a connection, for
            a client that keeps late connections; None for ``timeout_s``.
        :param headers: additional (name, value) pairs in bytes.
        :param connection: a connection that :meth:`take_idle` has returned, or None.
        :param new_connection: whether the call must not use a kept connection, on which
            a late second answer to an earlier call could be taken for its own.
        :returns: the :class:`_Call`.
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
            client=self,
            connection=connection,
            data=data,
            timeout_s=timeout_s,
            connect_timeout_s=connect_timeout_s,
        )

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

    def drop_idle(self):
        """Closes the idle connections, after a call on one of them got no answer.

        What has silenced that one has probably silenced all that were open. A client
        for servers keeps them: a grant on a new connection may reach another process.
        """
        if not self.keep_late:
            return
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abandon()

    def now(self):
        """Returns monotonic seconds."""
        return self._clock()

    def connect(self, call):
        """Begins a connection attempt for a call, or gives it that of an earlier call.

        :returns: the :class:`_ConnectionAttempt`.
        """
        late = self._late_attempts()
        if late and self._clock() - late[-1].began_at <= MAX_ATTEMPT_AGE_S:
            late[-1].call = call
            return late[-1]
        attempt = _ConnectionAttempt(client=self, began_at=self._clock())
        attempt.call = call
        self._attempts.append(attempt)
        timeout_s = LATE_CONNECT_TIMEOUT_S if self.keep_late else CONNECT_TIMEOUT_S
        attempt.connector = self._reactor.connectTCP(
            self.host,
            self.port,
            ConnectionFactory(attempt, attempt.failed, self._held_answers),
            timeout=timeout_s,
        )
        return attempt

    def _late_attempts(self):
        return [attempt for attempt in self._attempts if attempt.call is None]

    def call_ended(self, attempt):
        """Goes on with the connection attempt of a call that has ended, or stops it."""
        attempt.call = None
        late = self._late_attempts()
        if not self.keep_late:
            self._stop(attempt)
        elif len(late) > MAX_LATE_ATTEMPTS:
            self._stop(late[0])

    def _stop(self, attempt):
        self.forget(attempt)
        attempt.connector.disconnect()

    def forget(self, attempt):
        """Removes a connection attempt that has ended."""
        if attempt in self._attempts:
            self._attempts.remove(attempt)

    def attempt_succeeded(self, attempt):
        """Ends an attempt that has opened a connection.

        :returns: the :class:`_Call` that gets the connection, or None. It is the one
            that has waited for longest, which then leaves its own attempt to the other.
        """
        self.forget(attempt)
        if not self.keep_late:
            return attempt.call
        waiting = [other for other in self._attempts if other.call is not None]
        if attempt.call is not None:
            waiting.append(attempt)
        if not waiting:
            return None
        first = min(waiting, key=lambda other: other.call.began_at)
        call = first.call
        if first is not attempt:
            first.call = attempt.call
            if first.call is not None:
                first.call.attempt = first
        return call

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
        call = self._client.attempt_succeeded(self)
        connection.handler = self._client
        if call is not None:
            call.connection_made(connection)
        elif self._client.keep_late:
            self._client.exchange_ended(connection)
        else:
            connection.abandon()

    def connection_lost(self, connection):
        """Does nothing, since the client is the handler by then."""

    def failed(self, failure):
        self._client.forget(self)
        if self.call is not None:
            self.call.connect_failed(failure)


class _Call:
    """A call in progress and its timeouts.

    :ivar attempt: the :class:`_ConnectionAttempt` that the call waits for, or None.
    :ivar began_at: monotonic seconds.
    """

    __slots__ = (
        "_client",
        "_connect_timer",
        "_connection",
        "_data",
        "_due_at",
        "_idle_s",
        "_timer",
        "attempt",
        "began_at",
        "deferred",
    )

    def __init__(self, *, client, connection, data, timeout_s, connect_timeout_s):
        self.deferred = defer.Deferred(self._cancelled)
        self.attempt = None
        self.began_at = client.now()
        self._client = client
        self._data = data
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
        if (
            client.keep_late
            and connect_timeout_s is not None
            and timeout_s > connect_timeout_s
        ):
            self._connect_timer = client.call_later(
                connect_timeout_s, self._connect_timed_out
            )
        self.attempt = client.connect(self)

    @property
    def is_kept(self):
        """Whether the call uses a connection that an earlier one has kept."""
        return self._idle_s is not None

    @property
    def is_sent(self):
        """Whether the call has a connection to be written to."""
        return self._connection is not None

    @property
    def received_bytes(self):
        """Bytes of the answer that have arrived so far."""
        return 0 if self._connection is None else self._connection.received_bytes

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
            self._client.call_ended(self.attempt)

    def _cancelled(self, deferred):
        self._timer.cancel()
        self._cancel_connect_timer()
        deferred.errback(defer.CancelledError())
        self._give_up()

    def _timed_out(self):
        sent, received_bytes = self.is_sent, self.received_bytes
        self._give_up()
        if not self.deferred.called:
            self._finish(
                Answer(failure="timeout", sent=sent, received_bytes=received_bytes)
            )
        if sent:
            self._client.drop_idle()

    def describe(self):
        """Returns what tells a silent connection from a late process or connection."""
        now = self._client.now()
        if self.is_kept:
            connection = f"kept idle_ms={round(self._idle_s * 1e3)}"
        elif self._connection is not None:
            connection = "new"
        else:
            began_at = now if self.attempt is None else self.attempt.began_at
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
                answer.detail = self.describe()
            self.deferred.callback(answer)
