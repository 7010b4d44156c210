"""Stand-in for a backend server that speaks HTTP/1.1."""

from __future__ import annotations

import collections
import enum
import hashlib
import json

import httptools
from twisted.internet import protocol

# Longer than any deadline that the benches set.
LATE_ANSWER_DELAY_S = 1.0


class Fault(enum.Enum):
    """Fault that the stand-in injects into one request.

    ``SHED``, ``CLOSE_BEFORE``: the request does not run; the stand-in sheds it or
    closes the connection without an answer.

    ``CLOSE_AFTER``, ``CUT_HEAD``, ``CUT_BODY``, ``CUT_CHUNKED``: the request runs, and
    the connection closes before the answer or within it.

    ``MALFORMED``, ``EXTRA``, ``LATE``: the request runs, and its answer is not valid
    HTTP, is followed by a second answer, or arrives after the deadline.
    """

    SHED = "shed"
    CLOSE_BEFORE = "close-before"
    CLOSE_AFTER = "close-after"
    CUT_HEAD = "cut-head"
    CUT_BODY = "cut-body"
    CUT_CHUNKED = "cut-chunked"
    MALFORMED = "malformed"
    EXTRA = "extra"
    LATE = "late"


class Execution:
    """Record of one request that the stand-in ran.

    :param at: time at which it started to run, after its whole body had arrived.
    :param head_at: time at which its head arrived.
    :param body_hash: SHA-256 of the body in hex.
    """

    __slots__ = (
        "at",
        "body_hash",
        "body_length",
        "epoch",
        "head_at",
        "partition",
        "request_id",
    )

    def __init__(
        self, *, at, head_at, request_id, partition, epoch, body_length, body_hash
    ):
        self.at = at
        self.head_at = head_at
        self.request_id = request_id
        self.partition = partition
        self.epoch = epoch
        self.body_length = body_length
        self.body_hash = body_hash


class BackendStandIn:
    """Backend server with slots, a queue, a service time, grants and records.

    :param name: name of the server in the configuration.
    :param slots: maximum number of requests that run at the same time.
    :param backlog: maximum number of queued requests; further ones are shed.
    :param service_s: service time in seconds, or a function from the connection to it.
    :param fenced: whether it checks grants and epochs.
    :param keep_records: whether it records every execution.
    :param answer: body of every answer, or a function from the connection to it.
    :param fault: function from the connection to a :class:`Fault` or None; None if no
        faults are injected.
    :param read_rate: bytes per second read from each connection; None for no limit.
    :param grants: the :class:`GrantTable` of a fenced server, or None.
    :param idle_close_s: seconds after which an idle connection is closed; None keeps it
        open.
    """

    def __init__(
        self,
        *,
        name,
        reactor,
        clock,
        slots=6,
        backlog=0,
        service_s=0.0,
        fenced=True,
        keep_records=True,
        answer=b"",
        fault=None,
        read_rate=None,
        grants=None,
        idle_close_s=None,
    ):
        self.name = name
        self.reactor = reactor
        self.clock = clock
        self.slots = slots
        self.backlog = backlog
        self.service_s = service_s
        self.fenced = fenced
        self.keep_records = keep_records
        self.grants = grants
        self.idle_close_s = idle_close_s
        self.answer = answer or f'{{"server": "{name}"}}'.encode()
        self.fault = fault
        self.read_rate = read_rate
        self.faults = collections.Counter()
        self.executions = []
        self.running = 0
        self.peak_running = 0
        self.shed = 0
        self.fenced_off = 0
        self.expired = 0
        # Connections whose request the grants admitted and that has not ended.
        self.in_flight = set()
        self._expiry_timer = None
        self.waiting = collections.deque()
        self.connections = set()
        self.frozen = False

    def fence_reason(self, headers):
        """Returns the reason why the grants forbid a request, or None."""
        return self.grants.fence_reason(headers) if self.grants else None

    def head_received(self, connection):
        """Checks the grants; an admitted request counts as in flight from now on.

        Receiving a body can take seconds. If the grants were checked only after it, a
        handover could complete in between and the request would be refused.
        """
        if self.grants is None:
            return
        self.end_expired()
        connection.fence_reason = self.fence_reason(connection.headers)
        if connection.fence_reason is None:
            self.in_flight.add(connection)
            self.grants.request_started(_partition_of(connection))
            self._schedule_expiry()

    def _remove_in_flight(self, connection):
        if connection in self.in_flight:
            self.in_flight.discard(connection)
            self.grants.request_ended(_partition_of(connection))

    def connection_lost(self, connection):
        """Removes a closed connection; a request that is already running continues."""
        self.connections.discard(connection)
        if connection in self.waiting:
            self.waiting.remove(connection)
        if not connection.running:
            self._remove_in_flight(connection)

    def _schedule_expiry(self):
        if self._expiry_timer is None and self.in_flight:
            self._expiry_timer = self.reactor.callLater(
                max(0.0, self.grants.expires_at - self.clock()), self._on_expiry
            )

    def _on_expiry(self):
        self._expiry_timer = None
        self.end_expired()
        self._schedule_expiry()

    def end_expired(self):
        """Ends every admitted request if the grants have expired.

        A request that has not started is fenced off. The connection of a running
        request is aborted without an answer, because its outcome is unknown.
        """
        if not self.in_flight or self.clock() < self.grants.expires_at:
            return
        for connection in list(self.in_flight):
            self.expired += 1
            self._remove_in_flight(connection)
            if connection.running:
                self._release_slot(connection)
                connection.transport.abortConnection()
            else:
                connection.fence_reason = "expired"
        while self.waiting:
            self._refuse_fenced(self.waiting.popleft())

    def _release_slot(self, connection):
        connection.running = False
        self.running -= 1
        if connection.work_timer is not None:
            connection.work_timer.cancel()
            connection.work_timer = None

    def _refuse_fenced(self, connection):
        self.fenced_off += 1
        reason = connection.fence_reason.encode()
        connection.reply(409, b"", b"Briarspoke-Fence: %b\r\n" % reason)

    def _shed(self, connection):
        self.shed += 1
        self._remove_in_flight(connection)
        connection.reply(503, b"", b"Briarspoke-Shed: 1\r\n")

    def request_received(self, connection):
        """Runs, queues, fences off or sheds a request after its whole body arrived."""
        if self.grants is not None:
            self.end_expired()
        connection.fault = self.fault(connection) if self.fault else None
        if connection.fault is not None:
            self.faults[connection.fault.value] += 1
        if connection.fault is Fault.CLOSE_BEFORE:
            connection.transport.abortConnection()
        elif connection.fault is Fault.SHED:
            self._shed(connection)
        elif connection.fence_reason is not None:
            self._refuse_fenced(connection)
        elif self.running < self.slots:
            self._run(connection)
        elif len(self.waiting) < self.backlog:
            self.waiting.append(connection)
        else:
            self._shed(connection)

    def _run(self, connection):
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        self.record_execution(connection)
        connection.running = True
        service_s = self.service_s
        if callable(service_s):
            service_s = service_s(connection)
        if service_s:
            connection.work_timer = self.reactor.callLater(
                service_s, self._request_finished, connection
            )
        else:
            self._request_finished(connection)

    def record_execution(self, connection):
        """Records an execution, which the checks compare with the answers."""
        if not self.keep_records:
            return
        headers = connection.headers
        self.executions.append(
            Execution(
                at=self.clock(),
                head_at=connection.head_at,
                request_id=headers.get(b"briarspoke-request-id", b"").decode(),
                partition=headers.get(b"briarspoke-partition", b"").decode(),
                epoch=int(headers.get(b"briarspoke-epoch", b"0")),
                body_length=connection.body_length,
                body_hash=connection.body_hash.hexdigest(),
            )
        )

    def _request_finished(self, connection):
        connection.work_timer = None
        if self.grants is not None:
            # After a pause of the process, overdue timers run in no defined order, so
            # this one may run before the timer for the expiry of the grants.
            self.end_expired()
            if not connection.running:
                return
        self._release_slot(connection)
        self._remove_in_flight(connection)
        answer = self.answer(connection) if callable(self.answer) else self.answer
        if connection.fault is None:
            connection.reply(200, answer, b"")
        else:
            connection.reply_with_fault(answer)
        while self.waiting and self.running < self.slots:
            self.request_received(self.waiting.popleft())

    def control(self, path, body):
        """Handles a call to the control endpoint and returns (status, JSON value)."""
        if self.grants is not None:
            # A renewal that arrives after the grants expired must not let requests that
            # were running at that time continue.
            self.end_expired()
        return self.grants.control(path, body) if self.grants else (404, {})

    def freeze(self):
        """Stops reading and answering, like a paused process."""
        self.frozen = True
        for connection in list(self.connections):
            connection.transport.pauseProducing()

    def thaw(self):
        """Resumes reading and sends the answers that were held back while frozen."""
        self.frozen = False
        for connection in list(self.connections):
            connection.transport.resumeProducing()
            connection.flush()


def _partition_of(connection):
    return connection.headers.get(b"briarspoke-partition", b"").decode()


class _BackendConnection(protocol.Protocol):
    """HTTP/1.1 connection to the stand-in."""

    def __init__(self, backend):
        self.backend = backend
        self.fault = None
        self.running = False
        self.work_timer = None
        self._buffered_writes = []
        self._idle_close_timer = None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.backend.connections.add(self)
        self._reset_request()
        if self.backend.frozen:
            self.transport.pauseProducing()

    def connectionLost(self, reason):
        self._cancel_idle_close()
        self.backend.connection_lost(self)

    def _cancel_idle_close(self):
        if self._idle_close_timer is not None:
            self._idle_close_timer.cancel()
            self._idle_close_timer = None

    def _close_idle(self):
        self._idle_close_timer = None
        self.transport.loseConnection()

    def _reset_request(self):
        self.headers = {}
        self.target = b""
        self.head_at = 0.0
        self.fence_reason = None
        self.body_length = 0
        self.body_hash = hashlib.sha256()
        self._control_body = []
        self._parser = httptools.HttpRequestParser(self)

    def dataReceived(self, data):
        self._cancel_idle_close()
        rate = self.backend.read_rate
        if rate is not None:
            self.transport.pauseProducing()
            self.backend.reactor.callLater(len(data) / rate, self._resume_reading)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def _resume_reading(self):
        if not self.backend.frozen:
            self.transport.resumeProducing()

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_headers_complete(self):
        self.head_at = self.backend.clock()
        if not self.target.startswith(b"/_control/"):
            self.backend.head_received(self)

    def on_body(self, data):
        self.body_length += len(data)
        if self.target.startswith(b"/_control/"):
            self._control_body.append(data)
        else:
            self.body_hash.update(data)

    def on_message_complete(self):
        if not self.target.startswith(b"/_control/"):
            self.backend.request_received(self)
            return
        try:
            body = json.loads(b"".join(self._control_body) or b"{}")
        except ValueError:
            self.reply(400, b"", b"")
            return
        status, value = self.backend.control(self.target.decode(), body)
        self.reply(status, json.dumps(value).encode(), b"")

    def reply(self, status, body, extra_headers):
        """Writes a complete answer and resets the connection for the next request."""
        content = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (
            status,
            len(body),
            extra_headers,
            body if self._parser.get_method() != b"HEAD" else b"",
        )
        self._reset_request()
        self._write(content)
        if self.backend.idle_close_s is not None:
            self._cancel_idle_close()
            self._idle_close_timer = self.backend.reactor.callLater(
                self.backend.idle_close_s, self._close_idle
            )

    def _write(self, content):
        if self.backend.frozen:
            self._buffered_writes.append(content)
        else:
            self.transport.write(content)

    def reply_with_fault(self, body):
        """Answers a request that ran, with the fault that was chosen for it."""
        fault = self.fault
        head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body)
        if fault is Fault.CLOSE_AFTER:
            self.transport.abortConnection()
        elif fault is Fault.CUT_HEAD:
            self._write_and_close(head[:-7])
        elif fault is Fault.CUT_BODY:
            self._write_and_close(head + body[: len(body) // 2])
        elif fault is Fault.CUT_CHUNKED:
            head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            self._write_and_close(b"%b%x\r\n%b\r\n" % (head, len(body), body))
        elif fault is Fault.MALFORMED:
            self._write_and_close(b"HTTP/1.1 two hundred\r\n\r\n")
        elif fault is Fault.EXTRA:
            self.reply(200, body, b"")
            self._write(head + b"x" * len(body))
        else:
            self.backend.reactor.callLater(
                LATE_ANSWER_DELAY_S, self.reply, 200, body, b""
            )

    def _write_and_close(self, content):
        self.transport.write(content)
        self.transport.loseConnection()

    def flush(self):
        """Writes the answers that were buffered while the server was frozen."""
        buffered, self._buffered_writes = self._buffered_writes, []
        for content in buffered:
            self.transport.write(content)


class BackendFactory(protocol.ServerFactory):
    """Creates the connections of a :class:`BackendStandIn`."""

    noisy = False

    def __init__(self, backend):
        self.backend = backend

    def buildProtocol(self, address):
        return _BackendConnection(self.backend)
