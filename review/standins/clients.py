"""Stand-ins for the platform's balancer and for clients with kept connections."""

from __future__ import annotations

import asyncio
import time

from standins import http11
from standins.deployment import HOST

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 1.0
MISSES = 2


class Balancer:
    """Chooses the entry VM of each new connection, as the platform does.

    It asks each VM once a second whether it is ready, and takes it out of rotation
    after two misses. If fewer than half are in rotation, it uses all.
    """

    def __init__(self, vms):
        self._vms = vms
        self._misses_by_name = {vm.name: 0 for vm in vms}
        self._next = 0
        self._task = asyncio.create_task(self._check())

    async def _check(self):
        while True:
            await asyncio.gather(*(self._check_vm(vm) for vm in self._vms))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_vm(self, vm):
        try:
            ready = await asyncio.wait_for(vm.is_ready(), CHECK_TIMEOUT_S)
        except TimeoutError:
            ready = False
        misses = self._misses_by_name
        misses[vm.name] = 0 if ready else misses[vm.name] + 1

    def choose(self):
        """Returns the entry VM for a new connection."""
        inside = [vm for vm in self._vms if self._misses_by_name[vm.name] < MISSES]
        if 2 * len(inside) < len(self._vms):
            inside = self._vms
        self._next += 1
        return inside[self._next % len(inside)]

    def stop(self):
        """Ends the checks."""
        self._task.cancel()


class Attempt:
    """One attempt of a client.

    :ivar answer: the :class:`~standins.http11.Message`, or None.
    :ivar ended_at: time of the answer or of the end of the connection.
    """

    __slots__ = ("answer", "deadline_s", "ended_at", "request_id", "sent_at", "vm")

    def __init__(self, *, request_id, vm, deadline_s):
        self.request_id = request_id
        self.vm = vm
        self.deadline_s = deadline_s
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.answer = None

    def describe(self):
        """Returns one line for the record."""
        if self.answer is None:
            outcome = "the connection ended without an answer"
        else:
            close = self.answer.headers.get("connection", "")
            outcome = f"status {self.answer.status} {close}".strip()
        return (
            f"{self.request_id} at {self.vm.name} after "
            f"{1000 * (self.ended_at - self.sent_at):.0f} ms: {outcome}"
        )


def request(path, request_id, *, deadline_s, method="GET", body=b"", headers=()):
    """Returns a request of a client as bytes."""
    fields = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": round(deadline_s * 1000),
        **dict(headers),
    }
    if method != "GET":
        fields["Content-Length"] = len(body)
    return http11.encode(f"{method} {path} HTTP/1.1", fields, body)


class Client:
    """A client that keeps its connection open for many requests.

    :param balancer: the :class:`Balancer`.
    :param attempts: list to which each :class:`Attempt` is appended.
    """

    def __init__(self, *, name, balancer, attempts):
        self._name = name
        self._balancer = balancer
        self._attempts = attempts
        self._count = 0
        self._vm = self._reader = self._writer = None

    async def send(self, paths, *, deadline_s, **options):
        """Sends requests one behind the other and waits for all answers.

        :param paths: path of each request.
        :returns: the :class:`Attempt` of each.
        """
        if self._writer is None:
            self._vm = self._balancer.choose()
            self._reader, self._writer = await asyncio.open_connection(
                self._vm.ip, self._vm.port
            )
        sent, data = [], b""
        for path in paths:
            self._count += 1
            request_id = f"{self._name}-{self._count}"
            attempt = Attempt(request_id=request_id, vm=self._vm, deadline_s=deadline_s)
            sent.append(attempt)
            data += request(path, request_id, deadline_s=deadline_s, **options)
        self._attempts += sent
        self._writer.write(data)
        closing = False
        for attempt in sent:
            if not closing:
                try:
                    attempt.answer = await http11.read_message(self._reader)
                except ConnectionError:
                    attempt.answer = None
                closing = (
                    attempt.answer is None
                    or attempt.answer.headers.get("connection") == "close"
                )
            if closing and attempt.answer is None:
                # Nothing may follow an answer that closes the connection.
                await self._read_to_the_end()
            attempt.ended_at = time.monotonic()
        if closing:
            self.close()
        return sent

    async def _read_to_the_end(self):
        try:
            while await self._reader.read(65_536):
                pass
        except ConnectionError:
            pass

    def close(self):
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._vm = self._reader = self._writer = None
