"""Callers of a bench: requests at a fixed rate, each with its record."""

from __future__ import annotations

import asyncio

from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.benches.parts.client import Record, Target
from briarspoke.clock import monotonic

PACE_S = 0.002
# A request without an answer counts as failed after this.
PATIENCE_S = 5.0


class _Call(Record):
    __slots__ = ("key", "target")

    def __init__(self, *, key, target, due_at):
        super().__init__(due_at)
        self.key = key
        self.target = target

    def as_list(self):
        return [
            self.key,
            self.target,
            self.due_at,
            self.ended_at,
            self.status or 0,
            self.code or 0,
        ]


class _Callers:
    """Sends lookups of keys in turn to the entry VMs in turn."""

    def __init__(self, parameters):
        self.service = parameters["service"]
        self.keys = parameters["keys"]
        self.rate = parameters["rate"]
        self.targets = [Target(host, port) for host, port in parameters["ports"]]
        self.records = []
        self.running = False

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
        record = _Call(key=key, target=index, due_at=due_at)
        self.records.append(record)
        content = (
            b"GET /%b/key-%d HTTP/1.1\r\nHost: bench\r\n"
            b"Briarspoke-Deadline-Ms: 1500\r\n\r\n"
        ) % (self.service.encode(), key)
        self.targets[index].send(record, content)

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
