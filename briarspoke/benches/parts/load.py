"""Load generator with fixed concurrency or a fixed request rate."""

from __future__ import annotations

import asyncio

from twisted.internet import defer

from briarspoke.benches import parts, percentile
from briarspoke.benches.parts.client import Connection, Record
from briarspoke.clock import monotonic

_SEND_INTERVAL_S = 0.001


class _Run:
    """One measurement against the given ports.

    :param rate: requests per second, or None to send the next request on a
        connection as soon as it is idle.
    """

    def __init__(self, *, ports, connections, seconds, warmup_s, rate):
        self._ports = ports
        self._connections = connections
        self._seconds = seconds
        self._warmup_s = warmup_s
        self._rate = rate
        self._idle = []
        self._unsent_due_at = []
        self._records = []
        self._ended = False
        self._closed_connections = 0

    def _send(self, connection, due_at):
        number = len(self._records) + 1
        record = Record(due_at)
        self._records.append(record)
        content = (
            b"GET /tabela/key-%d HTTP/1.1\r\nHost: bench\r\n"
            b"User-Agent: bench\r\nAccept: */*\r\n\r\n"
        ) % (number % 5003)
        connection.send(record, content)

    def connection_idle(self, connection):
        """Sends the next request that is due, or keeps the connection idle."""
        if self._ended:
            return
        if self._rate is None:
            self._send(connection, monotonic())
        elif self._unsent_due_at:
            self._send(connection, self._unsent_due_at.pop(0))
        else:
            self._idle.append(connection)

    def connection_closed(self, connection):
        """Counts a connection that closed during the run."""
        self._closed_connections += 1

    async def run(self):
        """Sends requests for the whole run and returns its figures."""
        connections = [
            await self._connect(self._ports[number % len(self._ports)])
            for number in range(self._connections)
        ]
        pacing = asyncio.ensure_future(self._send_at_rate()) if self._rate else None
        await asyncio.sleep(self._warmup_s)
        began_at = monotonic()
        await asyncio.sleep(self._seconds)
        ended_at = monotonic()
        self._ended = True
        if pacing is not None:
            pacing.cancel()
        lost = self._closed_connections
        for connection in connections:
            connection.abort()
        answered = [
            record
            for record in self._records
            if record.status and began_at <= record.ended_at < ended_at
        ]
        latencies = [record.ended_at - record.due_at for record in answered]
        return {
            "requests": len(answered),
            "rate": round(len(answered) / (ended_at - began_at), 1),
            "failed": sum(record.status != 200 for record in answered),
            "lost": lost,
            "p50_ms": _ms(percentile(latencies, 0.5)),
            "p99_ms": _ms(percentile(latencies, 0.99)),
        }

    async def _connect(self, port):
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: Connection(self), "127.0.0.1", port
        )
        self.connection_idle(connection)
        return connection

    async def _send_at_rate(self):
        began = monotonic()
        sent = 0
        while True:
            now = monotonic()
            while began + sent / self._rate <= now:
                due = began + sent / self._rate
                sent += 1
                if self._idle:
                    self._send(self._idle.pop(), due)
                else:
                    self._unsent_due_at.append(due)
            await asyncio.sleep(_SEND_INTERVAL_S)


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
