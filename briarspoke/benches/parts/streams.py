"""Open-loop load generator: sends on schedule, independent of the answers."""

from __future__ import annotations

import asyncio
import random

from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.benches.parts.client import Record, Target
from briarspoke.clock import monotonic

MAX_CONNECTIONS = 1500


class _Stream:
    """Requests of one kind at a fixed rate.

    :param rate: requests per second.
    :param poisson: whether the gaps between requests are exponentially
        distributed; otherwise they are equal.
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
        """Returns the request with a number, encoded as bytes."""
        head = (
            f"{self.method} {self.path}/{number % self.keys} HTTP/1.1\r\n"
            f"Host: entry\r\nContent-Length: {self.body_bytes}\r\n\r\n"
        )
        return head.encode() + b"x" * self.body_bytes

    def schedule(self, generator, duration_s):
        """Returns the send times as offsets in seconds from the start."""
        offsets = []
        offset = generator.random() / self.rate
        while offset < duration_s:
            offsets.append(offset)
            even_gap_s = 1.0 / self.rate
            offset += generator.expovariate(self.rate) if self.poisson else even_gap_s
        return offsets


class _Load:
    """Runs streams against one port and keeps a record of each request."""

    def __init__(self, *, port, seed):
        self._target = Target("127.0.0.1", port, max_connections=MAX_CONNECTIONS)
        self._generator = random.Random(seed)

    async def run(self, streams, start_at, duration_s, grace_s):
        """Runs the streams and returns the records of their requests.

        :returns: ``{stream: [[due offset, seconds, status, code]]}``. Seconds
            count from the time a request was due. They are None if no answer
            arrived within ``grace_s`` after the end of the schedule.
        """
        records_by_name = {stream.name: [] for stream in streams}
        send_plan = sorted(
            (offset, number, stream.name)
            for stream in streams
            for number, offset in enumerate(
                stream.schedule(self._generator, duration_s)
            )
        )
        by_name = {stream.name: stream for stream in streams}
        for offset, number, name in send_plan:
            due_at = start_at + offset
            wait_s = due_at - monotonic()
            if wait_s > 0.0005:
                await asyncio.sleep(wait_s)
            record = Record(due_at)
            records_by_name[name].append(record)
            self._target.send(record, by_name[name].request(number))
        await asyncio.sleep(max(0.0, start_at + duration_s + grace_s - monotonic()))
        return {
            name: [_as_list(record, start_at) for record in records]
            for name, records in records_by_name.items()
        }


def _as_list(record, start_at):
    ended = record.ended_at
    seconds = None if ended is None else round(ended - record.due_at, 6)
    offset = round(record.due_at - start_at, 6)
    return [offset, seconds, record.status, record.code]


def _start(reactor, parameters):
    load = _Load(**parameters)

    def handle(command):
        streams = [_Stream(**stream) for stream in command.pop("streams")]
        running = asyncio.ensure_future(load.run(streams, **command))
        return defer.Deferred.fromFuture(running)

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
