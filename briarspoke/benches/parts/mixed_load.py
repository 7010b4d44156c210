"""Callers of all ranks behind a load balancer, with slow uploads."""

from __future__ import annotations

import asyncio
import itertools

import httptools
from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.clock import monotonic

PACE_S = 0.002
# A request without an answer counts as cut off after this.
PATIENCE_S = 8.0
PIECE_BYTES = 65_536
FRESH_EVERY = 4
METHOD_BY_KIND = {"lookup": b"GET", "booking": b"POST", "upload": b"PUT"}
BOOKING_BODY = b"x" * 200


class _Record:
    """One request; ``fresh`` if it opened a connection of its own."""

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
        """Returns the fields by name."""
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
        """Begins a request; further data of its body may follow."""
        self._record = record
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(content)

    async def send_slowly(self, size, seconds):
        """Writes a body at a steady rate until it ends or is answered."""
        pieces = -(-size // PIECE_BYTES)
        for number in range(pieces):
            if self.lost or self._record is None:
                return
            self._transport.write(b"x" * min(PIECE_BYTES, size - number * PIECE_BYTES))
            await self._writable.wait()
            await asyncio.sleep(seconds / pieces)

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
    """One entry VM's callers' port; the load balancer drops it once it refuses."""

    def __init__(self, index, host, port):
        self.index = index
        self.host = host
        self.port = port
        self.idle = []
        self.taken_out_at = None

    async def connect(self):
        """Returns a new connection, or None if the port refuses it."""
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(self), self.host, self.port
            )
        except OSError:
            self.taken_out_at = self.taken_out_at or monotonic()
            return None
        return connection


class _MixedLoad:
    """Sends requests of all ranks to the entry VMs in turn.

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
        self._turn = itertools.count()
        self._numbers = itertools.count()
        self._tasks = set()

    def start(self):
        """Starts to send."""
        self.running = True
        self._spawn(self._send_at(self.parameters["rate"], self._short))
        if upload_rate := self.parameters.get("upload_rate"):
            self._spawn(self._send_at(upload_rate, self._upload))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_at(self, rate, send):
        started = monotonic()
        number = 0
        while self.running:
            while started + number / rate <= monotonic():
                number += 1
                self._spawn(send())
            await asyncio.sleep(PACE_S)

    def _choose(self, *, fresh):
        # Kept connections to an entry VM outlive its place in the rotation.
        usable = [
            t for t in self.targets if t.taken_out_at is None or (t.idle and not fresh)
        ]
        return usable[next(self._turn) % len(usable)]

    async def _connected(self, *, fresh):
        while True:
            target = self._choose(fresh=fresh)
            if not fresh and target.idle:
                return target, target.idle.pop()
            connection = await target.connect()
            if connection is not None:
                return target, connection

    async def _short(self):
        number = next(self._numbers)
        kind = "lookup" if number % 2 else "booking"
        fresh = number // 2 % FRESH_EVERY == 0
        target, connection = await self._connected(fresh=fresh)
        record = self._record(number, kind, target, fresh)
        body = BOOKING_BODY if kind == "booking" else b""
        key = b"key-%d" % (number % self.parameters["keys"])
        connection.send(record, self._head(record, key, len(body)) + body)

    async def _upload(self):
        number = next(self._numbers)
        target, connection = await self._connected(fresh=True)
        record = self._record(number, "upload", target, True)
        size = self.parameters["upload_bytes"]
        connection.send(record, self._head(record, b"photo-%d" % number, size))
        await connection.send_slowly(size, self.parameters["upload_s"])

    def _record(self, number, kind, target, fresh):
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
        """Returns the records once the last requests have ended."""
        self.running = False
        deadline = monotonic() + PATIENCE_S
        while monotonic() < deadline and any(r.ended_at is None for r in self.records):
            await asyncio.sleep(0.05)
        return {
            "records": [record.as_json() for record in self.records],
            "taken_out_at": [target.taken_out_at for target in self.targets],
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
