"""Small deployment on loopback: store, servers, entry VMs as processes, and a record.

Everything but the entry VMs runs in the asyncio loop of the script.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from briarspoke.standins.platform_server import ServerModel
from briarspoke.standins.platform_store import PendingWatch, StoreModel

ENTRY_COMMAND = ("python3", "-m", "briarspoke.entry.process")
HOST = "case.example"
WATCH_POLL_S = 0.02
LONGEST_S = 110.0
# Exit statuses of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def is_trouble():
    """Returns whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Returns a loopback port that is free for TCP and UDP at the moment."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside a script.

    :param script: path of the script.
    """

    def __init__(self, script):
        path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def note(self, text):
        """Writes one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {text}\n")
        self._file.flush()

    def conclude(self, text):
        """Writes a line and prints it."""
        self.note(text)
        print(text, flush=True)


class Message:
    """HTTP message that was read: start line, headers in lower case, body."""

    __slots__ = ("body", "headers", "start")

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Reads one message with a length, in chunks, or without a body.

    :returns: the :class:`Message`, or None if the connection ended before it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif b"content-length" in headers:
        body = await reader.readexactly(int(headers[b"content-length"]))
    return Message(start, headers, body)


class Store:
    """The platform's store, over the project's model of it."""

    def __init__(self):
        self.model = StoreModel(clock=time.monotonic)
        self.port = None

    async def start(self):
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.start.decode().split(" ", 2)
                reply = self.model.call(method, target, message.body)
                while isinstance(reply, PendingWatch):
                    await asyncio.sleep(WATCH_POLL_S)
                    reply = self.model.poll_watch(reply) or reply
                body = reply.encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                    % (reply.status, len(body))
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has left, or the script ends.
            pass
        finally:
            writer.close()


class Server:
    """Backend server that runs each request for a time and signs its answer.

    :param record: the :class:`Record`.
    :param slots: requests that run at the same time; others wait.
    :param work_s: time for which a request runs.
    :param answer: function from the :class:`Message` to the body of its answer, or to
        its status and body. It is called when the request has run.
    """

    def __init__(self, *, record, server_id, service, slots, work_s, answer):
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.keys = ServerModel(server_id=server_id, clock=time.monotonic)
        # {request id: time at which its answer was written}, in the order of the runs.
        self.answered_by_id = {}
        self.runs = []
        self.port = None
        self._record = record
        self._free_slots = asyncio.Semaphore(slots)
        self._work_s = work_s
        self._answer = answer

    async def start(self, store):
        """Listens on a free port and registers in the store."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=512
        )
        self.port = server.sockets[0].getsockname()[1]
        body = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "slots": self.slots,
            "state": "ready",
            "warmup_left": "0ms",
            "seq": 1,
            "born": int(time.time() * 1000),
            "config_version": "r1",
        }
        store.model.put(f"servers/{self.server_id}", json.dumps(body).encode())

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self._handle(message, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has left, or the script ends.
            pass
        finally:
            writer.close()

    async def _handle(self, message, writer):
        path = message.start.split(b" ")[1].decode()
        if path == "/health":
            await _write(writer, 200, b"", [(b"Instance-Id", self.server_id.encode())])
            return
        request_id = message.headers.get(b"request-id", b"")
        echo = [(b"Request-Id", request_id)]
        target = message.headers.get(b"target-instance", b"").decode()
        if target not in ("", self.server_id):
            headers = [*echo, (b"Not-Executed", b"1")]
            headers.append((b"Instance-Id", self.server_id.encode()))
            await _write(writer, 421, b"", headers)
            return
        name = request_id.decode()
        async with self._free_slots:
            self.runs.append(name)
            self._record.note(f"{self.server_id} runs {name}")
            await asyncio.sleep(self._work_s)
        self.answered_by_id[name] = time.monotonic()
        answer = self._answer(message)
        status, body = answer if isinstance(answer, tuple) else (200, answer)
        self._record.note(f"{self.server_id} answers {name} with {status}")
        await _write(writer, status, body, [*echo, (b"Response-Signature", b"5e.1")])


async def _write(writer, status, body, headers):
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body)]
    lines += [name + b": " + value for name, value in headers]
    writer.write(b"\r\n".join([*lines, b"", body]))
    await writer.drain()


class EntryVm:
    """Process of an entry VM, started with the command of the deploy file.

    :param directory: folder for the settings and the output.
    :param store: the :class:`Store`.
    """

    def __init__(self, *, name, directory, store, memory_mb=300, link_mbps=1000.0):
        self.name = name
        self.process = None
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.settings = {
            "node": name,
            "zone": "a",
            "ip": "127.0.0.1",
            "caller_listen": f"127.0.0.1:{self.caller_port}",
            "ready_listen": f"127.0.0.1:{self.ready_port}",
            "internal_port": free_port(),
            "metrics_port": free_port(),
            "link_mbps": link_mbps,
            "memory_mb": memory_mb,
            "store": f"127.0.0.1:{store.port}",
            "drain_s": "2000ms",
            "grace_s": "6s",
            "max_hold_s": "10000ms",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "retry_window_s": "10s",
        }
        self._file = os.path.join(directory, f"{name}.json")
        self.output = os.path.join(directory, f"{name}.log")
        with open(self._file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def start(self):
        """Starts the process; its output is appended to a file."""
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                ENTRY_COMMAND,
                env={**os.environ, "BRIARSPOKE_NODE_FILE": self._file},
                stdout=output,
                stderr=output,
            )

    async def ready(self):
        """Waits until the readiness check gets a 200.

        :raises TimeoutError: if it does not within 20 s.
        """
        give_up_at = time.monotonic() + 20.0
        while time.monotonic() < give_up_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self):
        """Returns whether a readiness check gets a 200 now."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /briarspoke/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def kill(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def configuration(version, services, routes, *, timeout="10s", limits=None):
    """Returns the bytes of the operator's configuration.

    :param services: ``{name: whether it has keys}``.
    :param routes: ``{name: (route type, service)}``; the name is also the prefix.
    :param timeout: time limit of each route.
    """
    return json.dumps(
        {
            "config_version": f"r{version}",
            "services": {
                name: {"health_path": "/health", "max_conns": 657, "sharded": sharded}
                for name, sharded in services.items()
            },
            "routes": {
                name: {
                    "hostname": HOST,
                    "prefix": f"/{name}/",
                    "route_type": route_type,
                    "service": service,
                    "timeout": timeout,
                    "target_latency": "2s",
                    "priority": 1,
                    "max_attempts": 2,
                }
                for name, (route_type, service) in routes.items()
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4 << 20,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
                **(limits or {}),
            },
        }
    ).encode()


def request(method, path, request_id, *, deadline_ms, headers=(), body=None):
    """Returns the bytes of a client's request; a body is sent with its length."""
    lines = [
        b"%b %b HTTP/1.1" % (method, path),
        b"Host: " + HOST.encode(),
        b"Request-Id: " + request_id.encode(),
        b"Deadline-Ms: %d" % deadline_ms,
        *(name + b": " + value for name, value in headers),
    ]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body or b""])


def run(case, script):
    """Runs a case and exits with its status.

    :param case: coroutine function of the :class:`Record`, a temporary folder and a
        list to which it adds each :class:`EntryVm`; it returns whether the rule held.
    :param script: path of the script.
    """
    record = Record(script)
    vms = []
    status = COULD_NOT_RUN

    async def play(directory):
        try:
            return await asyncio.wait_for(case(record, directory, vms), LONGEST_S)
        finally:
            for vm in vms:
                vm.kill()
            # Connections of the entry VMs end before the loop does.
            await asyncio.sleep(0.2)

    with tempfile.TemporaryDirectory() as directory:
        try:
            status = HELD if asyncio.run(play(directory)) else BROKEN
        except Exception as error:
            record.conclude(f"the case could not run: {error!r}")
        if os.environ.get("KEEP_LOGS"):
            for vm in vms:
                with open(vm.output, encoding="utf-8") as output:
                    print(output.read(), file=sys.stderr)
    sys.exit(status)
