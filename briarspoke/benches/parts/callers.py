"""Callers of a bench: requests at a fixed rate, each with its record."""

from __future__ import annotations

import asyncio

import httptools
from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.clock import monotonic

PACE_S = 0.002
# A request without an answer counts as failed after this.
PATIENCE_S = 5.0


class _Connection(asyncio.Protocol):
    def __init__(self, target):
        self._target = target
        self._transport = None
        self._parser = None
        self._record = None
        self._code = 0

    def connection_made(self, transport):
        self._transport = transport

    def send(self, record, content):
        self._record = record
        self._code = 0
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(content)

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
            self._target.idle.append(self)
        else:
            self._transport.close()

    def connection_lost(self, error):
        if self in self._target.idle:
            self._target.idle.remove(self)
        if self._record is not None:
            self._record.end(0, 0)


class _Record:
    __slots__ = ("code", "due_at", "ended_at", "key", "status", "target")

    def __init__(self, *, key, target, due_at):
        self.key = key
        self.target = target
        self.due_at = due_at
        self.ended_at = None
        self.status = 0
        self.code = 0

    def end(self, status, code):
        self.ended_at = monotonic()
        self.status = status
        self.code = code

    def as_list(self):
        return [
            self.key,
            self.target,
            self.due_at,
            self.ended_at,
            self.status,
            self.code,
        ]


class _Target:
    """One entry VM's callers' port."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.idle = []

    async def send(self, record, content):
        if self.idle:
            self.idle.pop().send(record, content)
            return
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(self), self.host, self.port
            )
        except OSError:
            record.end(0, 0)
            return
        connection.send(record, content)


class _Callers:
    """Sends lookups of keys in turn to the entry VMs in turn."""

    def __init__(self, parameters):
        self.service = parameters["service"]
        self.keys = parameters["keys"]
        self.rate = parameters["rate"]
        self.targets = [_Target(host, port) for host, port in parameters["ports"]]
        self.records = []
        self.running = False
        self._sending = set()
        self._ended = None

    async def run(self):
        """Sends on schedule until told to stop."""
        self.running = True
        started = monotonic()
        number = 0
        while self.running:
            while started + number / self.rate <= monotonic():
                self._send(number, started + number / self.rate)
                number += 1
            await asyncio.sleep(PACE_S)

    def _send(self, number, due_at):
        # Keys and entry VMs advance apart, so that each key meets each entry VM.
        key = number % self.keys
        index = (number // self.keys + number) % len(self.targets)
        record = _Record(key=key, target=index, due_at=due_at)
        self.records.append(record)
        content = (
            b"GET /%b/key-%d HTTP/1.1\r\nHost: bench\r\n"
            b"Briarspoke-Deadline-Ms: 1500\r\n\r\n"
        ) % (self.service.encode(), key)
        sending = asyncio.ensure_future(self.targets[index].send(record, content))
        self._sending.add(sending)
        sending.add_done_callback(self._sending.discard)

    async def stop(self):
        """Returns the records once the last requests have ended."""
        self.running = False
        deadline = monotonic() + PATIENCE_S
        while monotonic() < deadline and any(r.ended_at is None for r in self.records):
            await asyncio.sleep(0.05)
        return {"records": [record.as_list() for record in self.records]}


def _start(reactor, parameters):
    callers = _Callers(parameters)

    def handle(command):
        if command.get("start"):
            callers.task = asyncio.ensure_future(callers.run())
            return {}
        return defer.Deferred.fromFuture(asyncio.ensure_future(callers.stop()))

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
