"""Stand-in for a server of a service."""

from __future__ import annotations

import asyncio
import http
import json
import socket
import time

from standins import http11

DEFAULT_HEARTBEAT_S = 1.5
DEFAULT_QUEUE_LENGTH = 16


class Run:
    """One request that a server has run.

    :ivar ended_at: time of the end of the work, or None if the caller left before.
    """

    __slots__ = ("body_bytes", "ended_at", "request_id", "server_id", "started_at")

    def __init__(self, *, request_id, server_id, body_bytes):
        self.request_id = request_id
        self.server_id = server_id
        self.body_bytes = body_bytes
        self.started_at = time.monotonic()
        self.ended_at = None


class Backend:
    """A server with slots, a queue and, if its service has keys, grants.

    :param work_s: function of the request's :class:`~standins.http11.Message` that
        returns the seconds of its work.
    :param runs: list to which each :class:`Run` is appended.
    """

    def __init__(self, *, store, server_id, service, runs, work_s, **options):
        self.server_id = server_id
        self.state = "ready"
        # (first, last, token, end) of the grants that hold.
        self.grants = []
        # Function of the bytes of an answer that returns those of an extra one, which
        # is written late, just before the next answer; None for no extra answers.
        self.extra_answer = None
        # (first, last, token) of all grants that were taken.
        self._taken = []
        self._store = store
        self._service = service
        self._runs = runs
        self._work_s = work_s
        self._slots = options.get("slots", 4)
        self._queue_length = options.get("queue_length", DEFAULT_QUEUE_LENGTH)
        self._heartbeat_s = options.get("heartbeat_s", DEFAULT_HEARTBEAT_S)
        self._window_bytes = options.get("window_bytes")
        self._keyed = options.get("keyed", False)
        self._zone = options.get("zone", "a")
        self._free_slots = asyncio.Semaphore(self._slots)
        self._queued = 0
        self._sequence = 0
        self._born = 0
        self._server = None
        self._writers = set()
        self.is_up = False
        self.port = None

    async def start(self, register_after_s=0.0):
        """Opens a free port, or that of an earlier start, and begins to register.

        :param register_after_s: time until the first entry.
        """
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.state = "ready"
        self.grants = []
        self._taken = []
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._window_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes)
        listener.bind(("127.0.0.1", self.port or 0))
        self._server = await asyncio.start_server(self._serve, sock=listener)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self._heartbeat = asyncio.create_task(self._send_heartbeats(register_after_s))

    def crash(self):
        """Ends the server at once; its entry stays."""
        self.is_up = False
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_heartbeats(self, register_after_s):
        await asyncio.sleep(register_after_s)
        while True:
            self.register()
            await asyncio.sleep(self._heartbeat_s)

    def register(self):
        """Writes the entry of the server to the store."""
        self._sequence += 1
        body = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "config_version": "v1",
            "slots": self._slots,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self._sequence,
            "born": self._born,
        }
        self._store.put(f"servers/{self.server_id}", json.dumps(body).encode())

    async def _serve(self, reader, writer):
        extra = b""
        self._writers.add(writer)
        try:
            while (request := await self._read(reader, writer)) is not None:
                if request.start[1].startswith("/briarspoke/"):
                    data = self._control(request)
                else:
                    data = await self._answer(request, reader)
                    if data is None:
                        return
                writer.write(extra + data)
                extra = self.extra_answer(data) if self.extra_answer else b""
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader, writer):
        """Returns the next request to answer, or None at the end of the stream.

        :param writer: for an answer to a request before its body was read.
        """
        return await http11.read_message(reader)

    def _control(self, request):
        if request.headers.get("target-instance", self.server_id) != self.server_id:
            return self._encode(421, {"Instance-Id": self.server_id})
        body = json.loads(request.body)
        first, last, fence = body["from"], body["target"], body["fence"]
        if request.start[1].endswith("/release"):
            self.grants = [
                piece for grant in self.grants for piece in _without(grant, first, last)
            ]
            return self._encode(200, {"Handover": f"h-{self.server_id}-{fence}"})
        if any(g[0] <= last and g[1] >= first and g[2] > fence for g in self._taken):
            return self._encode(409, {})
        self._taken.append((first, last, fence))
        hold_s = float(body["hold_time"][:-2]) / 1000
        self.grants.append((first, last, fence, time.monotonic() + hold_s))
        return self._encode(200, {})

    def holds(self, key):
        """Returns whether the server holds a key now."""
        now = time.monotonic()
        self.grants = [grant for grant in self.grants if grant[3] > now]
        return any(first <= key <= last for first, last, _, _ in self.grants)

    async def _answer(self, request, reader):
        """Returns the answer, or None if the caller left before its end."""
        headers = {"Request-Id": request.headers.get("request-id", "")}
        if request.headers.get("target-instance", self.server_id) != self.server_id:
            return self._encode(421, {**headers, "Instance-Id": self.server_id})
        if self._queued >= self._queue_length:
            return self._encode(503, {"Not-Executed": "1", **headers})
        self._queued += 1
        await self._free_slots.acquire()
        self._queued -= 1
        try:
            if reader.at_eof():
                return None
            key = request.headers.get("shard-key")
            if self._keyed and (key is None or not self.holds(int(key))):
                return self._encode(421, {"Not-Executed": "1", **headers})
            run = Run(
                request_id=headers["Request-Id"],
                server_id=self.server_id,
                body_bytes=len(request.body),
            )
            self._runs.append(run)
            if not await self._work(self._work_s(request), reader):
                return None
            run.ended_at = time.monotonic()
        finally:
            self._free_slots.release()
        body = f"{headers['Request-Id']} ran at {self.server_id}".encode()
        return self._encode(200, {**headers, "Response-Signature": "s"}, body)

    async def _work(self, seconds, reader):
        """Works until the end, or until the caller closes the connection."""
        until = time.monotonic() + seconds
        while (left_s := until - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(left_s, 0.02))
        return True

    def _encode(self, status, headers, body=b""):
        headers = {**headers, "Content-Length": len(body)}
        reason = http.HTTPStatus(status).phrase
        return http11.encode(f"HTTP/1.1 {status} {reason}", headers, body)


def _without(grant, first, last):
    low, high, fence, expires_at = grant
    if high < first or low > last:
        return [grant]
    pieces = []
    if low < first:
        pieces.append((low, first - 1, fence, expires_at))
    if high > last:
        pieces.append((last + 1, high, fence, expires_at))
    return pieces
