"""An open-loop load generator: sends on schedule, whatever the answers do."""

from __future__ import annotations

import asyncio
import random

import httptools

from briarspoke.clock import monotonic

MAX_CONNECTIONS = 1500


class Stream:
    """Requests of one kind at a fixed rate.

    :param rate: requests per second.
    :param poisson: exponential gaps instead of equal ones.
    :param body_bytes: length of the request body.
    """

    __slots__ = ("body_bytes", "keys", "method", "name", "path", "poisson", "rate")

    def __init__(
        self, *, name, method, path, rate, poisson=True, body_bytes=0, keys=1000
    ):
        self.name = name
        self.method = method
        self.path = path
        self.rate = rate
        self.poisson = poisson
        self.body_bytes = body_bytes
        self.keys = keys

    def request(self, number):
        """Returns a whole request as bytes."""
        head = (
            f"{self.method} {self.path}/{number % self.keys} HTTP/1.1\r\n"
            f"Host: entry\r\nContent-Length: {self.body_bytes}\r\n\r\n"
        )
        return head.encode() + b"x" * self.body_bytes

    def schedule(self, generator, duration_s):
        """Returns the offsets in seconds at which requests are sent."""
        offsets = []
        at = generator.random() / self.rate
        while at < duration_s:
            offsets.append(at)
            gap = 1.0 / self.rate
            at += generator.expovariate(self.rate) if self.poisson else gap
        return offsets


class _Connection(asyncio.Protocol):
    def __init__(self, load):
        self._load = load
        self._transport = None
        self._record = None
        self._parser = None
        self._code = 0

    def connection_made(self, transport):
        self._transport = transport

    def send(self, record, data):
        self._record = record
        self._code = 0
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)

    def data_received(self, data):
        if self._record is not None:
            self._parser.feed_data(data)

    def on_header(self, name, value):
        if name.lower() == b"briarspoke-code":
            self._code = int(value)

    def on_message_complete(self):
        record, self._record = self._record, None
        record.end(self._parser.get_status_code(), self._code)
        if self._parser.should_keep_alive():
            self._load.idle.append(self)
        else:
            self._transport.close()

    def connection_lost(self, error):
        self._load.open -= 1
        if self in self._load.idle:
            self._load.idle.remove(self)
        if self._record is not None:
            self._record.end(0, 0)


class _Record:
    __slots__ = ("code", "due_at", "ended_at", "status", "stream")

    def __init__(self, stream, due_at):
        self.stream = stream
        self.due_at = due_at
        self.ended_at = None
        self.status = None
        self.code = None

    def end(self, status, code):
        self.ended_at = monotonic()
        self.status = status
        self.code = code


class Load:
    """Runs streams against one port and keeps a record of each request."""

    def __init__(self, *, port, seed):
        self.port = port
        self.idle = []
        self.open = 0
        self._generator = random.Random(seed)
        self._tasks = set()

    async def run(self, streams, start_at, duration_s, grace_s):
        """Returns records as ``{stream: [[due offset, seconds, status, code]]}``.

        Seconds count from the moment a request was due, not from when it was
        sent; otherwise a slow generator would hide waiting time. They are None
        without an answer within ``grace_s`` after the last request.
        """
        records = []
        plan = sorted(
            (offset, number, stream.name)
            for stream in streams
            for number, offset in enumerate(
                stream.schedule(self._generator, duration_s)
            )
        )
        by_name = {stream.name: stream for stream in streams}
        for offset, number, name in plan:
            due_at = start_at + offset
            wait = due_at - monotonic()
            if wait > 0.0005:
                await asyncio.sleep(wait)
            record = _Record(name, due_at)
            records.append(record)
            self._send(record, by_name[name].request(number))
        await asyncio.sleep(max(0.0, start_at + duration_s + grace_s - monotonic()))
        result = {stream.name: [] for stream in streams}
        for record in records:
            ended = record.ended_at
            seconds = None if ended is None else round(ended - record.due_at, 6)
            offset = round(record.due_at - start_at, 6)
            result[record.stream].append([offset, seconds, record.status, record.code])
        return result

    def _send(self, record, data):
        if self.idle:
            self.idle.pop().send(record, data)
        elif self.open < MAX_CONNECTIONS:
            self.open += 1
            task = asyncio.get_running_loop().create_task(self._connect(record, data))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            record.end(0, 0)

    async def _connect(self, record, data):
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(self), "127.0.0.1", self.port
            )
        except OSError:
            self.open -= 1
            record.end(0, 0)
            return
        connection.send(record, data)
