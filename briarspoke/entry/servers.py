"""Connections, latency and health of the backend servers of one entry VM."""

from __future__ import annotations

import collections

from briarspoke.entry import room
from briarspoke.entry.connections import Answer, ConnectionFactory
from briarspoke.entry.intake import Intake
from briarspoke.entry.serverlimits import ServerLimit
from briarspoke.entry.serverload import ServerLoad
from briarspoke.entry.servicetimes import ServiceTime
from briarspoke.http.probe import is_idle

# Opening a connection takes one round trip, and longer on a saturated link. The timeout
# is bounded so that a retry still fits into the latency objective if the server is
# unreachable.
MIN_CONNECT_TIMEOUT_S = 0.3
MAX_CONNECT_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_FRACTION = 1 / 3
# A server may close an idle connection at any time. This long one is used if the server
# has not announced a keep-alive timeout.
MAX_IDLE_S = 4.0
# A request that must not run twice uses a connection only if it was in use a short time
# ago: a server that has forgotten the connection resets it, and nobody knows whether
# the request has run.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
# Fraction of the keep-alive timeout announced by a server for which an idle connection
# is used.
KEEP_ALIVE_FRACTION = 0.7
# Longest time for which an idle connection is kept, whatever the server announces. Some
# networks drop idle connections after a minute.
MAX_ANNOUNCED_IDLE_S = 30.0
# Weight of the latest service time in the moving average.
LATENCY_WEIGHT = 0.15
# Number of answers for which the assumed service time of a new server counts. The first
# answers are those of short requests.
ASSUMED_ANSWERS = 3
# Weight of the latest attempt in the loss rate.
LOSS_RATE_WEIGHT = 0.1
# An answer that took less than this fraction of the mean counts less in proportion.
# Requests that the server answers without doing any work say nothing about its speed.
FULL_WEIGHT_FRACTION = 0.25
# Factor on the mean latency of a server that is still warming up.
WARMUP_FACTOR = 2.0
# A failing server gets no requests for this long. The pause doubles with each failure.
INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
# Number of consecutive failures after which a server is paused.
FAILURES_TO_PAUSE = 2
# Failure of a request that was taken back before it was sent.
WITHDRAWN = "withdrawn"


class ServerRecord:
    """Registration of a server in the store.

    :param incarnation: start of the server's process in Unix milliseconds, or 0.
    :param sequence: number of the process's report, or 0.
    :param warmup_s: seconds for which the server is still slow after its start.
    """

    __slots__ = (
        "draining",
        "host",
        "incarnation",
        "port",
        "sequence",
        "server_id",
        "service",
        "slots",
        "warmup_s",
        "zone",
    )

    def __init__(
        self,
        *,
        server_id,
        service,
        host,
        port,
        zone,
        slots,
        draining,
        incarnation,
        sequence,
        warmup_s,
    ):
        self.server_id = server_id
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.draining = draining
        self.incarnation = incarnation
        self.sequence = sequence
        self.warmup_s = warmup_s

    @classmethod
    def of_ended(cls, *, server_instance, service, address):
        """Returns the record of a server that is not registered any more.

        :param server_instance: pair of server identifier and incarnation.
        :param address: pair of host and port.
        """
        server_id, incarnation = server_instance
        host, port = address
        return cls(
            server_id=server_id,
            service=service,
            host=host,
            port=port,
            zone="",
            slots=1,
            draining=True,
            incarnation=incarnation,
            warmup_s=0.0,
            sequence=0,
        )

    @property
    def server_instance(self):
        """Pair of server identifier and incarnation, unique for each process."""
        return (self.server_id, self.incarnation)


class Server:
    """Connections, requests in flight and health of a server.

    :param record: the :class:`ServerRecord`.
    :param latency_s: service time in seconds that is assumed until the first answers.
    :param reactor: Twisted's reactor.
    :param clock: function that returns monotonic seconds.
    :param held_answers: the :class:`briarspoke.entry.heldbytes.HeldBytes` of all
        answers that arrive at the process.
    """

    def __init__(self, *, record, latency_s, reactor, clock, held_answers):
        self.record = record
        self.in_flight = 0
        self.waiting = collections.deque()
        self.latency_s = latency_s
        # The shorter of the last two service times, so that a single slow answer
        # does not count.
        self.min_recent_latency_s = latency_s
        self._last_latency_s = latency_s
        self.service_time = ServiceTime(assumed_s=latency_s)
        self.answer_count = 0
        self.failures = 0
        # Attempts to connect that have failed since the last answer.
        self.connect_failures = 0
        # Time of the first of the consecutive failures.
        self.failing_since = None
        # Moving average of the fraction of attempts without a usable answer.
        self.loss_rate = 0.0
        self.intake = Intake()
        self.warmed_up_at = clock() + record.warmup_s
        self.limit = ServerLimit()
        self.load = ServerLoad()
        self.room = room.ServerRoom()
        # The :class:`briarspoke.entry.permits.PermitHolder` while a limit is known.
        self.permits = None
        # Whether a request went to another server for lack of a permit.
        self.wants_spare_permit = False
        # Whether the registration is missing but may return after an outage of the
        # store.
        self.registration_missing = False
        # Whether another server has answered at the address of this one.
        self.replaced = False
        self._reactor = reactor
        self._clock = clock
        self._held_answers = held_answers
        self._idle = collections.deque()
        self._awaiting_connection = collections.deque()
        self._target = record.server_id.encode()

    @property
    def target(self):
        """Identifier of the server as bytes."""
        return self._target

    def expected_s(self, now):
        """Returns the expected service time of a request in seconds."""
        if now < self.warmed_up_at:
            return self.latency_s * WARMUP_FACTOR
        return self.latency_s

    def record_answer(self, seconds):
        """Records an answer and its service time in seconds.

        :returns: how much the answer tells about the server's speed, 0 to 1.
        """
        self.failures = 0
        self.failing_since = None
        self.intake.end_pause()
        self.loss_rate -= LOSS_RATE_WEIGHT * self.loss_rate
        self.service_time.record(seconds)
        weight = min(1.0, seconds / (FULL_WEIGHT_FRACTION * self.latency_s))
        latency_weight = max(
            LATENCY_WEIGHT, 1 / (self.answer_count + ASSUMED_ANSWERS + 1)
        )
        self.latency_s += weight * latency_weight * (seconds - self.latency_s)
        if weight < 1.0:
            return weight
        self.answer_count += 1
        self.min_recent_latency_s = min(seconds, self._last_latency_s)
        self._last_latency_s = seconds
        self.room.time_measured(seconds, self._clock())
        return weight

    def request_sent(self, attempt):
        """Counts a request of this VM that is sent.

        :param attempt: the :class:`briarspoke.entry.attempts.Attempt`.
        """
        self.in_flight += 1
        self.load.request_sent()
        self.room.request_sent(attempt)

    def request_ended(self, attempt):
        """Counts a request of this VM that is answered, lost or given up."""
        self.in_flight -= 1
        self.room.request_ended(attempt, self, self._clock())

    def record_loss(self):
        """Records an attempt whose answer was lost or unusable."""
        self.loss_rate += LOSS_RATE_WEIGHT * (1.0 - self.loss_rate)
        self.room.close(room.LOST, self._clock())

    def record_unfinished(self, seconds):
        """Records that an attempt was abandoned for the answer of another server.

        That is no failure, but the answer would have taken longer. Otherwise a server
        that never answers would keep its expected service time.

        :param seconds: time since the attempt was sent.
        """
        self.latency_s += LATENCY_WEIGHT * max(0.0, seconds - self.latency_s)

    def record_unreachable(self, *, connected=True):
        """Records an unreachable server; pauses it after consecutive failures.

        :param connected: whether the request was on a connection.
        """
        self.record_loss()
        if not connected:
            self.connect_failures += 1
        self.failures += 1
        if self.failing_since is None:
            self.failing_since = self._clock()
        excess_failures = self.failures - FAILURES_TO_PAUSE
        if excess_failures >= 0:
            pause_s = min(MAX_PAUSE_S, INITIAL_PAUSE_S * (1 << min(excess_failures, 8)))
            self.intake.own_until = self._clock() + pause_s

    @property
    def is_failing(self):
        """Whether the server was unreachable in the last attempts."""
        return self.failures >= FAILURES_TO_PAUSE

    def expected_recovery_s(self, now):
        """Returns the expected number of seconds until a failing server recovers.

        An outage is expected to last as long again as it has lasted so far.
        """
        return 0.0 if self.failing_since is None else now - self.failing_since

    def pause(self, seconds):
        """Sends no requests to the server for a number of seconds."""
        self.intake.pause(self._clock() + seconds)

    def send(
        self,
        head,
        listener,
        *,
        body,
        idempotent,
        objective_s,
        echo,
        is_head,
        may_write=lambda: True,
    ):
        """Sends a whole request on an idle or a new connection.

        :param head: the head as bytes.
        :param body: the :class:`briarspoke.entry.arriving.Body`.
        :param listener: called with the :class:`Answer`.
        :param idempotent: whether the request may run twice.
        :param objective_s: latency objective in seconds.
        :param echo: (header, value) that the answer must repeat, or None. Without it, a
            late answer to an earlier request could not be recognised, so the request
            gets a new connection.
        :param is_head: whether the method is HEAD.
        :param may_write: returns whether the request may still be written; called when
            a new connection is ready.
        :returns: an :class:`UpstreamRequest` that can be abandoned.
        """
        upstream_request = UpstreamRequest(
            head, listener, body=body, echo=echo, is_head=is_head, may_write=may_write
        )
        connection = None
        if echo is not None:
            connection = self._take_idle(
                MAX_ANNOUNCED_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S,
                echo,
            )
        if connection is not None:
            upstream_request.start(connection)
        else:
            self._awaiting_connection.append(upstream_request)
            timeout_s = max(
                MIN_CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_FRACTION * objective_s
            )
            self._reactor.connectTCP(
                self.record.host,
                self.record.port,
                ConnectionFactory(self, self._connect_failed, self._held_answers),
                timeout=min(MAX_CONNECT_TIMEOUT_S, timeout_s),
            )
        return upstream_request

    def _take_idle(self, max_idle_s, echo):
        """Returns the idle connection that was in use last and may be used, or None."""
        now = self._clock()
        for connection in reversed(tuple(self._idle)):
            idle_s = now - connection.idle_since
            if idle_s > max_idle_s:
                return None
            if idle_s > _max_idle_s(connection):
                continue
            if not connection.reusable:
                self._idle.remove(connection)
            elif not is_idle(connection.transport):
                # Closed by the server, which the event loop has not reported yet.
                self._idle.remove(connection)
                connection.abandon()
            elif not connection.has_carried(echo):
                self._idle.remove(connection)
                return connection
        return None

    def close_idle(self, now):
        """Closes connections that have been idle for too long."""
        for connection in list(self._idle):
            if now - connection.idle_since > _max_idle_s(connection):
                self._idle.remove(connection)
                connection.abandon()

    def close(self):
        """Closes all idle connections."""
        while self._idle:
            self._idle.popleft().abandon()

    def connection_made(self, connection):
        """Sends the next unsent request, or keeps the new connection idle."""
        if not is_idle(connection.transport):
            # A server that closes connections as soon as they are open takes none.
            connection.abandon()
            self._connect_failed("connect")
            return
        while self._awaiting_connection:
            upstream_request = self._awaiting_connection.popleft()
            if upstream_request.abandoned:
                continue
            if upstream_request.may_write():
                upstream_request.start(connection)
                return
            upstream_request.withdraw()
        self._keep_idle(connection)

    def _connect_failed(self, failure):
        if self._awaiting_connection:
            upstream_request = self._awaiting_connection.popleft()
            if not upstream_request.abandoned:
                upstream_request.listener(Answer(failure=failure, sent=False))

    def withdraw_unsent(self):
        """Takes back the requests that wait for a new connection."""
        unsent = list(self._awaiting_connection)
        self._awaiting_connection.clear()
        for upstream_request in unsent:
            if not upstream_request.abandoned:
                upstream_request.withdraw()

    def exchange_ended(self, connection):
        """Keeps a connection for the next request, or closes it."""
        if connection.reusable:
            self._keep_idle(connection)
        else:
            connection.close()

    def _keep_idle(self, connection):
        connection.idle_since = self._clock()
        self._idle.append(connection)

    def connection_lost(self, connection):
        """Removes a closed connection from the idle ones."""
        if connection in self._idle:
            self._idle.remove(connection)


def _max_idle_s(connection):
    """Returns how long a connection may be idle before it is not used any more."""
    if connection.keep_alive_s is None:
        return MAX_IDLE_S
    return min(MAX_ANNOUNCED_IDLE_S, connection.keep_alive_s * KEEP_ALIVE_FRACTION)


class UpstreamRequest:
    """One attempt to send a request to a server.

    :param head: the head as bytes.
    :param listener: called with the :class:`Answer`.
    :param body: the :class:`briarspoke.entry.arriving.Body`.
    :param may_write: returns whether the request may still be written.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_echo",
        "_head",
        "_is_head",
        "abandoned",
        "listener",
        "may_write",
    )

    def __init__(self, head, listener, *, body, echo, is_head, may_write):
        self.may_write = may_write
        self.listener = listener
        self.abandoned = False
        self._head = head
        self._body = body
        self._echo = echo
        self._is_head = is_head
        self._connection = None

    @property
    def written(self):
        """Whether any byte of the request may have reached the server."""
        return self._connection is not None and self._connection.is_any_sent

    def start(self, connection):
        """Writes the request to a connection."""
        self._connection = connection
        body, self._body = self._body, None
        connection.exchange(
            self._head,
            self.listener,
            body=body,
            is_head=self._is_head,
            echo=self._echo,
        )

    def withdraw(self):
        """Takes the request back before it is written."""
        self.abandoned = True
        self.listener(Answer(failure=WITHDRAWN, sent=False))

    def abandon(self):
        """Closes the connection; servers then cancel the request."""
        self.abandoned = True
        self._body = None
        if self._connection is not None and self._connection.listener is not None:
            self._connection.abandon()
