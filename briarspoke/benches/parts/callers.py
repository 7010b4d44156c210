"""Callers of a bench that send lookups at a fixed rate and record each one."""

from __future__ import annotations

import asyncio

from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.benches.parts.client import Record, Target
from briarspoke.clock import monotonic

SEND_INTERVAL_S = 0.002
# Pending requests count as failed this long after the load has stopped.
ANSWER_TIMEOUT_S = 5.0


class _CallRecord(Record):
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
    """Sends lookups that rotate over the keys and over the entry VMs."""

    def __init__(self, parameters):
        self.service = parameters["service"]
        self.keys = parameters["keys"]
        self.rate = parameters["rate"]
        self.targets = [Target(host, port) for host, port in parameters["ports"]]
        self.records = []
        self.running = False

    async def run(self):
        """Sends requests on schedule until :meth:`stop` is called."""
        self.running = True
        started = monotonic()
        number = 0
        while self.running:
            while started + number / self.rate <= monotonic():
                self._send(number, started + number / self.rate)
                number += 1
            await asyncio.sleep(SEND_INTERVAL_S)

    def _send(self, number, due_at):
        # The index also advances once per round of keys, so that each key reaches
        # each entry VM.
        key = number % self.keys
        index = (number // self.keys + number) % len(self.targets)
        record = _CallRecord(key=key, target=index, due_at=due_at)
        self.records.append(record)
        content = (
            b"GET /%b/key-%d HTTP/1.1\r\nHost: bench\r\n"
            b"Briarspoke-Deadline-Ms: 1500\r\n\r\n"
        ) % (self.service.encode(), key)
        self.targets[index].send(record, content)

    async def stop(self):
        """Stops sending, waits for pending requests and returns the records."""
        self.running = False
        deadline = monotonic() + ANSWER_TIMEOUT_S
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
