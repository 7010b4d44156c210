"""Fakes for tests of the operators' API: a store without sockets, an API in memory."""

from __future__ import annotations

import http.client
import io
import json

from twisted.internet import defer, task
from twisted.internet.testing import StringTransport

from briarspoke import client, operations
from briarspoke.commands import get
from briarspoke.configuration.active import ActiveConfiguration
from briarspoke.configuration.writer import ConfigurationWriter
from briarspoke.http.admin import AdminApi, AdminSite
from briarspoke.http.admin_status import NodeStatus
from briarspoke.platform.store import (
    StoreConflictError,
    StoredValue,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)

WRITER_TOKEN = "writer-token-0123456789"
READER_TOKEN = "reader-token-0123456789"


class FakeStore:
    """A store with one key and compare-and-swap.

    :param is_paused: True keeps calls pending until :meth:`release`.
    :ivar faults: faults of the next puts: ``lost`` (takes effect without an answer),
        ``dropped`` (no answer, and no effect until :meth:`apply_dropped_call`),
        ``rejected`` (status 500), ``down`` or ``""``.
    """

    def __init__(self, *, is_paused=False):
        self.value = None
        self.revision = 0
        self.history = []
        self.faults = []
        self.is_down = False
        self.is_paused = is_paused
        self.pending_calls = []
        self.dropped_calls = []
        self.gets = 0
        self.puts = 0

    def get(self, key):
        self.gets += 1
        return self._call(self._get, key)

    def put(self, key, value, *, expected_revision, lease=None):
        self.puts += 1
        return self._call(self._put, value, expected_revision)

    def release(self, index, fault=""):
        """Executes a pending call, with a fault if one is given."""
        result, function, arguments = self.pending_calls.pop(index)
        self._finish(result, function, arguments, fault)

    def _call(self, function, *arguments):
        result = defer.Deferred()
        if self.is_paused:
            self.pending_calls.append((result, function, arguments))
        else:
            fault = ""
            if function == self._put and self.faults:
                fault = self.faults.pop(0)
            self._finish(result, function, arguments, fault)
        return result

    def _finish(self, result, function, arguments, fault):
        if self.is_down or fault == "down":
            result.errback(StoreUnavailableError("down"))
        elif fault == "dropped":
            self.dropped_calls.append((function, arguments))
            result.errback(StoreOutcomeUnknownError("dropped"))
        elif fault == "rejected":
            result.errback(StoreRejectedError("status 500"))
        else:
            try:
                value = function(*arguments)
            except StoreConflictError as error:
                value = error
            if fault == "lost":
                value = StoreOutcomeUnknownError("lost")
            (result.errback if isinstance(value, Exception) else result.callback)(value)

    def apply_dropped_call(self, index):
        """Applies a dropped call late, after its sender got an error."""
        function, arguments = self.dropped_calls.pop(index)
        try:
            function(*arguments)
        except StoreConflictError:
            return

    def _get(self, key):
        return StoredValue(key=key, value=self.value, revision=self.revision)

    def _put(self, value, expected_revision):
        if expected_revision != self.revision:
            raise StoreConflictError(self.revision)
        # Revisions are global, so writes of other keys leave gaps in the numbers.
        self.revision += 3
        self.value = value
        self.history.append(value)
        return self.revision


class FakeStatus(NodeStatus):
    """Status with fixed values, without a node."""

    def __init__(self):
        self.is_ready = True
        self.owned = {"tabela-poa-1": 4}

    def ready(self):
        return self.is_ready

    def nodes(self):
        return [
            {
                "node": "entry-1",
                "zone": "poa",
                "status": "alive",
                "configuration_version": 1,
            }
        ]

    def zones(self):
        return [{"zone": "poa", "controller": "entry-1", "term": 7, "evacuated": False}]

    def ownership(self):
        return {
            "tabela": {
                "version": 3,
                "partitions": dict(self.owned),
                "unowned": 0,
                "moving": 0,
            }
        }

    def partitions_owned(self, server):
        return self.owned.get(server, 0)

    def refusals(self):
        return [{"code": 2001, "name": "queue-full", "class": "load", "count": 7}]


class Answer:
    """A parsed HTTP response."""

    def __init__(self, data):
        head, _, self.content = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split()[1])
        self.headers = {
            name.lower(): value for name, _, value in (x.partition(": ") for x in lines)
        }
        if self.headers.get("transfer-encoding") == "chunked":
            self.content = _dechunk(self.content)

    @property
    def json(self):
        return json.loads(self.content)

    @property
    def lines(self):
        return [json.loads(line) for line in self.content.splitlines()]


class ApiInMemory:
    """The operators' API with a fake store and clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.active_configuration = ActiveConfiguration()
        self.status = FakeStatus()
        self.counted_codes = []
        self.writer = ConfigurationWriter(
            store=self.store,
            active_configuration=self.active_configuration,
            clock=self.clock.seconds,
            sleep=lambda s: task.deferLater(self.clock, s, lambda: None),
            seed=1,
        )
        self.api = AdminApi(
            reactor=self.clock,
            operators={
                "ana": {"token": WRITER_TOKEN, "role": "writer"},
                "rui": {"token": READER_TOKEN, "role": "reader"},
            },
            writer=self.writer,
            active_configuration=self.active_configuration,
            status=self.status,
            count_error=self.counted_codes.append,
        )
        self.site = AdminSite(self.api)

    def send(self, data):
        """Sends raw bytes on a new connection and returns (protocol, transport)."""
        protocol = self.site.buildProtocol(None)
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection
        protocol.makeConnection(transport)
        protocol.dataReceived(data)
        return protocol, transport

    def call(self, method, path, body=None, *, token=WRITER_TOKEN, headers=None):
        """Sends a call and returns the :class:`Answer`."""
        _, transport = self.open(method, path, body, token=token, headers=headers)
        for _ in range(100):
            if transport.value():
                break
            self.clock.advance(0.1)
        return Answer(transport.value())

    def open(self, method, path, body=None, *, token=WRITER_TOKEN, headers=None):
        """Sends a call and returns (protocol, transport)."""
        content = body
        if not isinstance(body, bytes):
            content = b"" if body is None else json.dumps(body).encode()
        head = [f"{method} {path} HTTP/1.1", "Host: api"]
        if token is not None:
            head.append(f"Authorization: Bearer {token}")
        head.append(f"Content-Length: {len(content)}")
        head += [f"{name}: {value}" for name, value in (headers or {}).items()]
        return self.send("\r\n".join(head).encode() + b"\r\n\r\n" + content)


def _dechunk(data):
    content = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        content += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return content


class _Response(io.BytesIO):
    def __init__(self, answer):
        super().__init__(answer.content)
        self.status = answer.status


class _Connection:
    """Fake of ``http.client.HTTPConnection`` that calls an :class:`ApiInMemory`."""

    api = None
    fault = ""

    def __init__(self, host, port, timeout):
        self.answer = None

    def connect(self):
        if self.fault == "unreachable":
            raise ConnectionRefusedError(111, "Connection refused")

    def request(self, method, path, content, headers):
        token = headers.pop("Authorization").removeprefix("Bearer ")
        self.answer = self.api.call(method, path, content, token=token, headers=headers)

    def getresponse(self):
        if self.fault == "lost":
            raise http.client.RemoteDisconnected("closed")
        if self.fault == "no-json":
            return _Response(Answer(b"HTTP/1.1 502 Bad\r\n\r\n<html>"))
        return _Response(self.answer)

    def close(self):
        pass


def connect_commands(monkeypatch):
    """Returns an :class:`ApiInMemory` and makes the commands of this test call it."""
    api = ApiInMemory()
    api.connection = type("Connection", (_Connection,), {"api": api})
    monkeypatch.setattr(client.http.client, "HTTPConnection", api.connection)
    monkeypatch.setenv("BRIARSPOKE_TOKEN", WRITER_TOKEN)
    monkeypatch.setattr(operations, "POLL_INTERVAL_S", 0)
    monkeypatch.setattr(get, "VERSIONS_WAIT_S", 0)
    return api
