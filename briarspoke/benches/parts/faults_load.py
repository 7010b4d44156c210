"""Callers of the ``faults`` bench, some of which abort their requests."""

from __future__ import annotations

import asyncio
import hashlib
import random

import httptools
from twisted.internet import defer

from briarspoke.benches import parts
from briarspoke.benches.parts.backend import echo_answer

ANSWER_TIMEOUT_S = 5.0
# Without a pause after a refusal, callers would use up the requests of the run
# on one server that is down.
REFUSED_PAUSE_S = 0.02
_READ_BYTES = 65_536
# Empty bodies, and sizes around 65 536 bytes, the limit up to which a router
# buffers a body.
_BODY_BYTES = (0, 300, 60_000, 65_536, 65_537, 150_000)
_METHODS = ("POST", "POST", "PUT", "GET")


class IncompleteAnswerError(Exception):
    """The connection closed before the answer was complete."""


class _Answer:
    """Parses one answer and collects its headers and body."""

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
    """A request whose body is derived from its identifier."""

    def __init__(self, request_id, rng, caller_fault_rate):
        self.request_id = request_id
        self.method = rng.choice(_METHODS)
        size = 0 if self.method == "GET" else rng.choice(_BODY_BYTES)
        unit = hashlib.sha256(request_id.encode()).digest()
        self.body = (unit * (size // len(unit) + 1))[:size]
        self.chunked = size > 0 and rng.random() < 0.3
        self.aborts_in_body = rng.random() < caller_fault_rate
        self.aborts_before_answer = rng.random() < caller_fault_rate
        self.body_writes = rng.randint(1, 3)
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
        self._remaining = command["requests"]
        self._seed = command["seed"]
        self._prefix = command["prefix"]
        self._answer_bytes = command["answer_bytes"]
        self._caller_fault_rate = command["caller_fault_rate"]
        self._workers = command["workers"]
        self.results = {}

    async def run(self):
        """Sends all requests.

        :returns: (method, outcome, hash of the body) by request identifier.
        """
        await asyncio.gather(
            *(self._run_worker(number) for number in range(self._workers))
        )
        return self.results

    async def _run_worker(self, worker):
        rng = random.Random(f"{self._seed}-{worker}")
        port = self._ports[worker % len(self._ports)]
        connection = None
        number = 0
        while self._remaining > 0:
            self._remaining -= 1
            number += 1
            request = _Request(
                f"{self._prefix}-w{worker}-{number}", rng, self._caller_fault_rate
            )
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", port)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    outcome, keep_connection = await self._exchange(
                        request, *connection
                    )
            except (IncompleteAnswerError, OSError, httptools.HttpParserError):
                outcome, keep_connection = "cut", False
            except TimeoutError:
                outcome, keep_connection = "hung", False
            self.results[request.request_id] = (
                request.method,
                outcome,
                hashlib.sha256(request.body).hexdigest(),
            )
            if outcome.startswith("no:"):
                await asyncio.sleep(REFUSED_PAUSE_S)
            if not keep_connection:
                connection[1].transport.abort()
                connection = None

    async def _exchange(self, request, reader, writer):
        writer.write(request.head())
        body = request.encoded_body()
        if request.aborts_in_body and len(body) > 1:
            writer.write(body[: len(body) // 2])
            await asyncio.sleep(0.005)
            return "broken-off", False
        step = len(body) // request.body_writes + 1
        for start in range(0, len(body), step):
            writer.write(body[start : start + step])
            await asyncio.sleep(0)
        if request.aborts_before_answer:
            await asyncio.sleep(0.002)
            return "left", False
        answer = _Answer()
        while not answer.complete:
            data = await reader.read(_READ_BYTES)
            if not data:
                raise IncompleteAnswerError
            answer.parser.feed_data(data)
        return self._classify(request, answer), answer.reusable()

    def _classify(self, request, answer):
        run = answer.headers.get(b"briarspoke-run")
        request_id_matches = answer.headers.get(b"briarspoke-request-id") == (
            request.request_id.encode()
        )
        if run is not None:
            code = answer.headers[b"briarspoke-code"].decode()
            run_matches = b'"run": "' + run + b'"' in b"".join(answer.body)
            return (
                f"{run.decode()}:{code}"
                if request_id_matches and run_matches
                else "misdelivered"
            )
        expected = echo_answer(request.request_id.encode(), self._answer_bytes)
        body = b"".join(answer.body)
        if request_id_matches and body == expected:
            return "answered"
        return "truncated" if expected.startswith(body) else "misdelivered"


def _start(reactor, parameters):
    def handle(command):
        callers = _Callers(command)
        return defer.Deferred.fromFuture(asyncio.ensure_future(callers.run()))

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
