"""Callers of all ranks behind a simulated load balancer, with slow uploads."""

from __future__ import annotations

import asyncio
import itertools

import httptools
from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.clock import monotonic

SEND_INTERVAL_S = 0.002
# Pending requests count as cut off this long after the load has stopped.
ANSWER_TIMEOUT_S = 8.0
BODY_WRITE_BYTES = 65_536
FRESH_CONNECTION_EVERY = 4
METHOD_BY_KIND = {"lookup": b"GET", "booking": b"POST", "upload": b"PUT"}
BOOKING_BODY = b"x" * 200


class _Record:
    """One request; ``fresh`` is whether it opened a new connection."""

    __slots__ = (
        "code",
        "due_at",
        "ended_at",
        "fresh",
        "kind",
        "request_id",
        "run",
        "status",
        "target",
    )

    def __init__(self, *, request_id, kind, target, fresh):
        self.request_id = request_id
        self.kind = kind
        self.target = target
        self.fresh = fresh
        self.due_at = monotonic()
        self.ended_at = None
        self.status = 0
        self.code = 0
        self.run = ""

    def as_json(self):
        """Returns the record as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


class _Connection(asyncio.Protocol):
    """A connection to an entry VM that carries one request at a time."""

    def __init__(self, target):
        self.lost = False
        self._target = target
        self._transport = None
        self._record = None
        self._parser = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        self._transport = transport

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def send(self, record, content):
        """Writes a request head and as much of the body as ``content`` holds."""
        self._record = record
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(content)

    async def send_slowly(self, size, seconds):
        """Writes a body at a steady rate; stops early if the request ends.

        :param size: length of the body in bytes.
        """
        body_writes = -(-size // BODY_WRITE_BYTES)
        for number in range(body_writes):
            if self.lost or self._record is None:
                return
            self._transport.write(
                b"x" * min(BODY_WRITE_BYTES, size - number * BODY_WRITE_BYTES)
            )
            await self._writable.wait()
            await asyncio.sleep(seconds / body_writes)

    def data_received(self, data):
        if self._record is not None:
            self._parser.feed_data(data)

    def on_header(self, name, value):
        if name.lower() == b"briarspoke-code":
            self._record.code = int(value)
        elif name.lower() == b"briarspoke-run":
            self._record.run = value.decode()

    def on_message_complete(self):
        record, self._record = self._record, None
        record.status = self._parser.get_status_code()
        record.ended_at = monotonic()
        if self._parser.should_keep_alive() and not record.fresh:
            self._target.idle.append(self)
        else:
            self._transport.close()

    def connection_lost(self, error):
        self.lost = True
        self._writable.set()
        if self in self._target.idle:
            self._target.idle.remove(self)
        if self._record is not None:
            self._record.ended_at = monotonic()
            self._record = None


class _Target:
    """The callers' port of one entry VM.

    The load balancer removes it from rotation once it refuses a connection.
    """

    def __init__(self, index, host, port):
        self.index = index
        self.host = host
        self.port = port
        self.idle = []
        self.removed_at = None

    async def connect(self):
        """Returns a new connection, or None if the port refuses it."""
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(self), self.host, self.port
            )
        except OSError:
            self.removed_at = self.removed_at or monotonic()
            return None
        return connection


class _MixedLoad:
    """Sends requests of all ranks to the entry VMs in rotation.

    :param parameters: ``service``, ``ports``, ``rate`` of short requests,
        ``keys``, and for uploads ``upload_rate``, ``upload_bytes`` and
        ``upload_s``.
    """

    def __init__(self, parameters):
        self.parameters = parameters
        self.targets = [
            _Target(index, host, port)
            for index, (host, port) in enumerate(parameters["ports"])
        ]
        self.records = []
        self.running = False
        self._target_counter = itertools.count()
        self._request_numbers = itertools.count()
        self._tasks = set()

    def start(self):
        """Starts sending short requests, and uploads if they have a rate."""
        self.running = True
        self._spawn(self._send_at_rate(self.parameters["rate"], self._send_short))
        if upload_rate := self.parameters.get("upload_rate"):
            self._spawn(self._send_at_rate(upload_rate, self._send_upload))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_at_rate(self, rate, send):
        started = monotonic()
        number = 0
        while self.running:
            while started + number / rate <= monotonic():
                number += 1
                self._spawn(send())
            await asyncio.sleep(SEND_INTERVAL_S)

    def _choose_target(self, *, fresh):
        # Idle connections to an entry VM stay usable after it is removed from
        # rotation.
        usable = [
            t for t in self.targets if t.removed_at is None or (t.idle and not fresh)
        ]
        return usable[next(self._target_counter) % len(usable)]

    async def _acquire_connection(self, *, fresh):
        while True:
            target = self._choose_target(fresh=fresh)
            if not fresh and target.idle:
                return target, target.idle.pop()
            connection = await target.connect()
            if connection is not None:
                return target, connection

    async def _send_short(self):
        number = next(self._request_numbers)
        kind = "lookup" if number % 2 else "booking"
        fresh = number // 2 % FRESH_CONNECTION_EVERY == 0
        target, connection = await self._acquire_connection(fresh=fresh)
        record = self._add_record(number, kind, target, fresh)
        body = BOOKING_BODY if kind == "booking" else b""
        key = b"key-%d" % (number % self.parameters["keys"])
        connection.send(record, self._head(record, key, len(body)) + body)

    async def _send_upload(self):
        number = next(self._request_numbers)
        target, connection = await self._acquire_connection(fresh=True)
        record = self._add_record(number, "upload", target, True)
        size = self.parameters["upload_bytes"]
        connection.send(record, self._head(record, b"photo-%d" % number, size))
        await connection.send_slowly(size, self.parameters["upload_s"])

    def _add_record(self, number, kind, target, fresh):
        record = _Record(
            request_id=f"r-{number}", kind=kind, target=target.index, fresh=fresh
        )
        self.records.append(record)
        return record

    def _head(self, record, key, length):
        return (
            b"%b /%b/%b HTTP/1.1\r\nHost: bench\r\nContent-Length: %d\r\n"
            b"Briarspoke-Request-Id: %b\r\n\r\n"
        ) % (
            METHOD_BY_KIND[record.kind],
            self.parameters["service"].encode(),
            key,
            length,
            record.request_id.encode(),
        )

    async def stop(self):
        """Stops sending, waits for pending requests and returns the records."""
        self.running = False
        deadline = monotonic() + ANSWER_TIMEOUT_S
        while monotonic() < deadline and any(r.ended_at is None for r in self.records):
            await asyncio.sleep(0.05)
        return {
            "records": [record.as_json() for record in self.records],
            "taken_out_at": [target.removed_at for target in self.targets],
        }


def _start(reactor, parameters):
    load = _MixedLoad(parameters)

    def handle(command):
        if command.get("start"):
            load.start()
            return {}
        return defer.Deferred.fromFuture(asyncio.ensure_future(load.stop()))

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
