"""Platform stand-ins that are served over HTTP on loopback."""

from __future__ import annotations

import random

import httptools
from twisted.internet import protocol

from briarspoke.standins.platform_store import PendingWatch

WATCH_POLL_INTERVAL_S = 0.02
# Requests that wait at a server for each of its slots before it rejects more.
QUEUE_LENGTH_PER_SLOT = 4


class Exchange:
    """Request to a stand-in, through which the answer is written.

    :param headers: header values by lower-case name, both in bytes.
    """

    __slots__ = ("body", "connection", "headers", "method", "target")

    def __init__(self, *, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection

    def respond(self, status, body=b"", headers=()):
        """Writes the answer, unless the caller has disconnected."""
        if self.connection.disconnected:
            return
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body)]
        lines += [name + b": " + value for name, value in headers]
        self.connection.transport.write(b"\r\n".join([*lines, b"", body]))


class StandInConnection(protocol.Protocol):
    """HTTP connection that passes each complete request to a handler."""

    def __init__(self, factory, handler):
        self.disconnected = False
        self._factory = factory
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._reset_message()

    def _reset_message(self):
        self._target = b""
        self._headers = {}
        self._body = []

    def on_message_begin(self):
        self._reset_message()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._headers[name.lower()] = value

    def on_body(self, data):
        self._body.append(data)

    def on_message_complete(self):
        self._handler(
            Exchange(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                connection=self,
            )
        )

    def dataReceived(self, data):
        self._parser.feed_data(data)

    def connectionMade(self):
        self._factory.connections.add(self)

    def connectionLost(self, reason):
        self.disconnected = True
        self._factory.connections.discard(self)


class StandInFactory(protocol.ServerFactory):
    """Creates connections that pass their requests to one handler.

    :param handler: function that is called with each :class:`Exchange`.
    """

    noisy = False

    def __init__(self, handler):
        self.connections = set()
        self._handler = handler

    def buildProtocol(self, address):
        return StandInConnection(self, self._handler)

    def reset_connections(self):
        """Resets all connections, as at the end of a process."""
        for connection in list(self.connections):
            connection.transport.abortConnection()


class PlatformStoreStandIn:
    """Store stand-in over HTTP that can inject faults.

    :param model: the :class:`briarspoke.standins.platform_store.StoreModel`.
    """

    def __init__(self, *, reactor, model):
        # "busy" answers every call with 503, "silent" never answers, "reset" aborts
        # the connection, and "" is no outage.
        self.outage = ""
        # Fraction of the writes that take effect without an answer.
        self.lost_answer_fraction = 0.0
        self.random = random.Random(0)
        self._reactor = reactor
        self._model = model

    def handle(self, exchange):
        """Handles a call, with the faults that are active."""
        if self.outage == "busy":
            exchange.respond(503, headers=self._model.headers)
        elif self.outage == "reset":
            exchange.connection.transport.abortConnection()
        elif not self.outage:
            reply = self._model.call(
                exchange.method.decode(), exchange.target.decode(), exchange.body
            )
            is_write = b"kv-txn" in exchange.target
            if is_write and self.random.random() < self.lost_answer_fraction:
                return
            self._respond(exchange, reply)

    def _respond(self, exchange, reply):
        if isinstance(reply, PendingWatch):
            response = None if self.outage else self._model.poll_watch(reply)
            if response is None:
                if not exchange.connection.disconnected:
                    self._reactor.callLater(
                        WATCH_POLL_INTERVAL_S, self._respond, exchange, reply
                    )
                return
            reply = response
        exchange.respond(reply.status, reply.encode(), reply.headers)


def _echo(exchange):
    request_id = exchange.headers.get(b"request-id")
    return [] if request_id is None else [(b"Request-Id", request_id)]


class PlatformServerStandIn:
    """Backend server stand-in over HTTP, with slots, a queue and key ownership.

    :param model: the :class:`briarspoke.standins.platform_server.ServerModel`.
    :param keyed: whether requests run only for keys that the server holds.
    :param work_s: mean service time in seconds.
    :param slots: maximum number of requests that run at the same time.
    :param on_run: function that is called with the request id and the key, or None,
        when a request starts to run.
    :param on_arrival: function that is called with the request id of each request that
        arrives, or None.
    :param on_limit: function that is called with the request id and the rate limit that
        the answer names, or None.
    :param on_leaving: function that is called with the request id of each answer that
        says that the server leaves, or None.
    :param on_pause: function that is called with the request id and the seconds of each
        rejection that asks for a pause, or None.
    :param on_misdirected: function that is called with the request id of each request
        that is answered 421, or None.
    """

    def __init__(
        self,
        *,
        reactor,
        model,
        keyed,
        work_s,
        slots,
        on_run,
        on_arrival=None,
        on_limit=None,
        on_leaving=None,
        on_pause=None,
        on_misdirected=None,
    ):
        self.running_count = 0
        self.stopped = False
        # Fraction of the requests that run without an answer.
        self.lost_answer_fraction = 0.0
        # Whether a request that finds the queue full gets a reset and no answer.
        self.resets_when_full = False
        # Requests per second that answers name as the server's limit, or None.
        self.limit_per_s = None
        # Whether all answers say that the server leaves.
        self.leaving = False
        # Seconds for which rejections ask for a pause; None if nothing is rejected.
        self.pause_s = None
        # Whether the connection of a lost answer is aborted or stays open.
        self.resets_lost_answers = False
        # Whether answers report the server's load, and how many times longer than usual
        # work takes.
        self.reports_load = False
        self.slowness = 1.0
        # Value of the reports in place of the true load, or None.
        self.false_load = None
        # Whether answers name the time for which the server is still cold.
        self.reports_warmup = False
        self.cold_until = 0.0
        self.random = random.Random(0)
        self._reactor = reactor
        self._model = model
        self._keyed = keyed
        self._work_s = work_s
        self._slots = slots
        self._on_run = on_run
        self._on_arrival = on_arrival
        self._on_limit = on_limit
        self._on_leaving = on_leaving
        self._on_pause = on_pause
        self._on_misdirected = on_misdirected
        self._queue = []

    def handle(self, exchange):
        """Handles a request, a grant or a release."""
        if self.stopped:
            exchange.connection.transport.abortConnection()
            return
        if exchange.target.startswith(b"/briarspoke/"):
            target = exchange.headers.get(b"target-instance")
            status, headers = self._model.call(
                exchange.target.decode(),
                exchange.body,
                target=None if target is None else target.decode(),
            )
            pairs = [(n.encode(), v.encode()) for n, v in headers.items()]
            exchange.respond(status, b"", pairs)
            return
        own_id = self._model.server_id.encode()
        if self._on_arrival is not None:
            self._on_arrival(exchange.headers.get(b"request-id"))
        if exchange.headers.get(b"target-instance", own_id) != own_id:
            self._respond(exchange, 421, [(b"Instance-Id", own_id)])
        elif self.pause_s is not None:
            if self._on_pause is not None:
                self._on_pause(exchange.headers.get(b"request-id"), self.pause_s)
            headers = [(b"Not-Executed", b"1"), (b"Retry-After", b"%g" % self.pause_s)]
            self._respond(exchange, 503, headers)
        elif len(self._queue) >= QUEUE_LENGTH_PER_SLOT * self._slots:
            if self.resets_when_full:
                exchange.connection.transport.abortConnection()
            else:
                self._respond(exchange, 503, [(b"Not-Executed", b"1")])
        else:
            self._queue.append(exchange)
            self._start_queued()

    def _start_queued(self):
        while self._queue and self.running_count < self._slots:
            exchange = self._queue.pop(0)
            if exchange.connection.disconnected:
                continue
            key = int(exchange.headers[b"shard-key"]) if self._keyed else None
            if key is not None and not self._model.holds(key):
                self._respond(exchange, 421, [(b"Not-Executed", b"1")])
                continue
            self.running_count += 1
            self._on_run(exchange.headers[b"request-id"], key)
            work_s = self._work_s * self.slowness * (0.5 + self.random.random())
            self._reactor.callLater(work_s, self._finish, exchange)

    def _finish(self, exchange):
        self.running_count -= 1
        loses_answer = self.random.random() < self.lost_answer_fraction
        if (
            loses_answer
            and self.resets_lost_answers
            and not exchange.connection.disconnected
        ):
            exchange.connection.transport.abortConnection()
        if not self.stopped and not loses_answer:
            body = b"ran " + exchange.headers[b"request-id"]
            self._respond(exchange, 200, [(b"Response-Signature", b"s")], body)
        if not self.stopped:
            self._start_queued()

    @property
    def warmup_left_s(self):
        """Seconds for which the server is still cold."""
        return max(0.0, self.cold_until - self._reactor.seconds())

    def _load(self):
        return b"%d,%d,%d,%d" % (
            self.running_count,
            len(self._queue),
            self._slots,
            round(100 * self.slowness),
        )

    def _respond(self, exchange, status, headers, body=b""):
        headers = [*_echo(exchange), *headers]
        if status == 421 and self._on_misdirected is not None:
            self._on_misdirected(exchange.headers.get(b"request-id"))
        if self.reports_load:
            headers.append((b"Server-Load", self.false_load or self._load()))
        if self.reports_warmup:
            headers.append((b"Warmup-Ms", b"%d" % round(self.warmup_left_s * 1000)))
        if self.limit_per_s is not None:
            headers.append((b"Server-Limit", b"%g" % self.limit_per_s))
            if self._on_limit is not None:
                self._on_limit(exchange.headers.get(b"request-id"), self.limit_per_s)
        if self.leaving:
            headers.append((b"Server-Leaving", b"1"))
            if self._on_leaving is not None:
                self._on_leaving(exchange.headers.get(b"request-id"))
        exchange.respond(status, body, headers)
