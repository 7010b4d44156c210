"""A load client: fixed concurrency, or a fixed rate of requests."""

from __future__ import annotations

import asyncio
import time

import httptools
from twisted.internet import defer

from briarspoke.benches import parts, percentile

_PACE_S = 0.001


class _Connection(asyncio.Protocol):
    def __init__(self, run):
        self._run = run
        self._transport = None
        self._parser = None
        self._began = 0.0

    def connection_made(self, transport):
        self._transport = transport
        self._run.free(self)

    def send(self, began):
        """Sends a request that was due at ``began``."""
        self._began = began
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(self._run.next_request())

    def data_received(self, data):
        self._parser.feed_data(data)

    def on_message_complete(self):
        ok = self._parser.get_status_code() == 200
        self._run.answered(ok, time.perf_counter() - self._began)
        self._run.free(self)

    def connection_lost(self, error):
        self._run.lost += 1

    def close(self):
        self._transport.abort()


class _Run:
    """One run against the given ports.

    :param rate: requests per second, or None for as many as the connections
        allow.
    """

    def __init__(self, *, ports, connections, seconds, warmup_s, rate):
        self._ports = ports
        self._connections = connections
        self._seconds = seconds
        self._warmup_s = warmup_s
        self._rate = rate
        self._idle = []
        self._due = []
        self._number = 0
        self._measuring = False
        self._ended = False
        self.latencies = []
        self.failed = 0
        self.lost = 0

    def next_request(self):
        """Returns the bytes of the next request."""
        self._number += 1
        return (
            b"GET /tabela/key-%d HTTP/1.1\r\nHost: bench\r\n"
            b"User-Agent: bench\r\nAccept: */*\r\n\r\n"
        ) % (self._number % 5003)

    def answered(self, ok, latency_s):
        if self._measuring:
            self.latencies.append(latency_s)
            self.failed += not ok

    def free(self, connection):
        if self._ended:
            return
        if self._rate is None:
            connection.send(time.perf_counter())
        elif self._due:
            connection.send(self._due.pop(0))
        else:
            self._idle.append(connection)

    async def run(self):
        """Returns the figures of the run."""
        event_loop = asyncio.get_running_loop()
        connections = []
        for number in range(self._connections):
            _, connection = await event_loop.create_connection(
                lambda: _Connection(self),
                "127.0.0.1",
                self._ports[number % len(self._ports)],
            )
            connections.append(connection)
        pace = asyncio.ensure_future(self._pace()) if self._rate else None
        await asyncio.sleep(self._warmup_s)
        self._measuring = True
        began = time.perf_counter()
        await asyncio.sleep(self._seconds)
        elapsed = time.perf_counter() - began
        self._measuring = False
        self._ended = True
        if pace is not None:
            pace.cancel()
        lost = self.lost
        for connection in connections:
            connection.close()
        return {
            "requests": len(self.latencies),
            "rate": round(len(self.latencies) / elapsed, 1),
            "failed": self.failed,
            "lost": lost,
            "p50_ms": _ms(percentile(self.latencies, 0.5)),
            "p99_ms": _ms(percentile(self.latencies, 0.99)),
        }

    async def _pace(self):
        began = time.perf_counter()
        sent = 0
        while True:
            now = time.perf_counter()
            while began + sent / self._rate <= now:
                due = began + sent / self._rate
                sent += 1
                if self._idle:
                    self._idle.pop().send(due)
                else:
                    self._due.append(due)
            await asyncio.sleep(_PACE_S)


def _ms(seconds):
    return None if seconds is None else round(seconds * 1000, 2)


def _start(reactor, parameters):
    def handle(command):
        run = _Run(
            ports=command["ports"],
            connections=command["connections"],
            seconds=command["seconds"],
            warmup_s=command.get("warmup_s", 1.0),
            rate=command.get("rate"),
        )
        return defer.Deferred.fromFuture(asyncio.ensure_future(run.run()))

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
