"""Callers of the ``faults`` bench: some of them break off themselves."""

from __future__ import annotations

import asyncio
import hashlib
import random

import httptools
from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.benches.parts.backend import echo_answer

ANSWER_TIMEOUT_S = 5.0
# Callers that repeat at once would spend the run on one server that is down.
REFUSED_PAUSE_S = 0.02
_READ_BYTES = 65_536
# Around the limit up to which a router holds bodies, and empty ones.
_BODY_BYTES = (0, 300, 60_000, 65_536, 65_537, 150_000)
_METHODS = ("POST", "POST", "PUT", "GET")


class Cut(Exception):
    """The connection ended before a whole answer."""


class _Answer:
    """Collects one answer."""

    def __init__(self):
        self.headers = {}
        self.body = []
        self.complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, data):
        self.body.append(data)

    def on_message_complete(self):
        self.complete = True

    def reusable(self):
        return self.parser.should_keep_alive()


class _Request:
    """A request whose every byte follows from its identifier."""

    def __init__(self, request_id, chance, caller_faults):
        self.request_id = request_id
        self.method = chance.choice(_METHODS)
        size = 0 if self.method == "GET" else chance.choice(_BODY_BYTES)
        unit = hashlib.sha256(request_id.encode()).digest()
        self.body = (unit * (size // len(unit) + 1))[:size]
        self.chunked = size > 0 and chance.random() < 0.3
        self.breaks_off = chance.random() < caller_faults
        self.leaves = chance.random() < caller_faults
        self.pieces = chance.randint(1, 3)
        self.deadline_ms = 600

    def head(self):
        lines = [
            f"{self.method} /tabela/{self.request_id} HTTP/1.1",
            "Host: bench",
            f"Briarspoke-Request-Id: {self.request_id}",
            f"Briarspoke-Deadline-Ms: {self.deadline_ms}",
        ]
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif self.method != "GET":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def encoded_body(self):
        if not self.chunked:
            return self.body
        return b"%x\r\n%b\r\n0\r\n\r\n" % (len(self.body), self.body)


class _Callers:
    def __init__(self, command):
        self._ports = command["ports"]
        self._left = command["requests"]
        self._seed = command["seed"]
        self._prefix = command["prefix"]
        self._answer_bytes = command["answer_bytes"]
        self._caller_faults = command["caller_fault_rate"]
        self._workers = command["workers"]
        self.results = {}

    async def run(self):
        """Returns method, outcome and body hash by request identifier."""
        await asyncio.gather(*(self._work(number) for number in range(self._workers)))
        return self.results

    async def _work(self, worker):
        chance = random.Random(f"{self._seed}-{worker}")
        port = self._ports[worker % len(self._ports)]
        connection = None
        number = 0
        while self._left > 0:
            self._left -= 1
            number += 1
            request = _Request(
                f"{self._prefix}-w{worker}-{number}", chance, self._caller_faults
            )
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", port)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    outcome, keep = await self._exchange(request, *connection)
            except (Cut, OSError, httptools.HttpParserError):
                outcome, keep = "cut", False
            except TimeoutError:
                outcome, keep = "hung", False
            self.results[request.request_id] = (
                request.method,
                outcome,
                hashlib.sha256(request.body).hexdigest(),
            )
            if outcome.startswith("no:"):
                await asyncio.sleep(REFUSED_PAUSE_S)
            if not keep:
                connection[1].transport.abort()
                connection = None

    async def _exchange(self, request, reader, writer):
        writer.write(request.head())
        body = request.encoded_body()
        if request.breaks_off and len(body) > 1:
            writer.write(body[: len(body) // 2])
            await asyncio.sleep(0.005)
            return "broken-off", False
        step = len(body) // request.pieces + 1
        for start in range(0, len(body), step):
            writer.write(body[start : start + step])
            await asyncio.sleep(0)
        if request.leaves:
            await asyncio.sleep(0.002)
            return "left", False
        answer = _Answer()
        while not answer.complete:
            data = await reader.read(_READ_BYTES)
            if not data:
                raise Cut
            answer.parser.feed_data(data)
        return self._judge(request, answer), answer.reusable()

    def _judge(self, request, answer):
        run = answer.headers.get(b"briarspoke-run")
        own = answer.headers.get(b"briarspoke-request-id") == (
            request.request_id.encode()
        )
        if run is not None:
            code = answer.headers[b"briarspoke-code"].decode()
            known = b'"run": "' + run + b'"' in b"".join(answer.body)
            return f"{run.decode()}:{code}" if own and known else "misdelivered"
        expected = echo_answer(request.request_id.encode(), self._answer_bytes)
        body = b"".join(answer.body)
        if own and body == expected:
            return "answered"
        return "truncated" if expected.startswith(body) else "misdelivered"


def _start(reactor, parameters):
    def handle(command):
        callers = _Callers(command)
        return defer.Deferred.fromFuture(asyncio.ensure_future(callers.run()))

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
