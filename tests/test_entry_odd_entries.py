"""Entries of other writers in the store, with names that nothing expects."""

from __future__ import annotations

import logging
import os

import pytest
from entry_fakes import World, configuration, registration, request, route

from briarspoke.entry import explanation, logs
from briarspoke.keyspace.allowance import Admission
from briarspoke.metrics import Metrics
from briarspoke.platform import documents
from briarspoke.platform.values import DecodeError

ODD_NAMES = [
    "\ud800",
    "a\nb",
    "a\r\nb: c",
    "a b=c",
    'a"b\\c',
    "\u2028",
    "x" * 200_000,
]


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(3.0)
    return world


@pytest.fixture
def output():
    """Yields (log, function that returns the lines written so far)."""
    reader, writer = os.pipe()
    root = logging.getLogger()
    before = root.handlers, root.level
    handler = logs.setup("info")
    handler._descriptor = writer
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)

    def lines():
        return os.read(reader, 1 << 20).decode().split("\n")[:-1]

    yield logging.getLogger("briarspoke.test"), lines
    root.handlers, level = before
    root.setLevel(level)
    os.close(reader)
    os.close(writer)


class TestLogLines:
    @pytest.mark.parametrize("name", ODD_NAMES[:-1])
    def test_message_is_one_line(self, output, name):
        # Guards against lines that a writer of the store forges.
        log, lines = output
        log.info("servers: ready id=%s service=%s", "s-1", logs.field(name))
        (line,) = lines()
        assert len(line.splitlines()) == 1
        parsed = explanation.parse(line)
        assert parsed.name == "servers: ready"
        assert set(parsed.fields) == {"id", "service"}

    def test_handler_never_raises(self, output, monkeypatch):
        # Guards against an error in code that logs what cannot be encoded.
        log, lines = output
        log.info("servers: ready id=%s", "\ud800\n")
        assert lines()[0].endswith("id=\\ud800\\n")
        monkeypatch.setattr(logging, "raiseExceptions", False)
        log.info("servers: ready id=%d", "no number")

    def test_traceback_keeps_its_lines(self, output):
        log, lines = output
        try:
            raise ValueError("a\nb")
        except ValueError:
            log.exception("store: unexpected error")
        assert len(lines()) > 3


class TestMetricsPage:
    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_odd_label_does_not_break_it(self, name):
        # Guards against a page that fails for good, or shows forged metrics.
        metrics = Metrics(node_id="n")
        metrics.count("server_crashes_total", name)
        (line,) = [
            line
            for line in metrics.render().decode().split("\n")
            if line.startswith("briarspoke_server_crashes_total")
        ]
        assert line.endswith('"} 1')


class TestRegistrations:
    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_service_that_is_not_configured_leaves_no_trace(self, world, name):
        # Guards against dispatchers and labels without end.
        services = {dispatcher.name for dispatcher in world.node.dispatchers()}
        world.store.put("servers/s-99", registration(name, 99))
        world.advance(2.0)
        assert {d.name for d in world.node.dispatchers()} == services
        assert name.encode(errors="backslashreplace") not in world.node.metrics.render()

    def test_server_is_used_once_its_service_is_configured(self, world):
        # Guards against a server that registers before its service is configured and
        # is never used.
        world.store.put("servers/s-31", registration("catalog", 31))
        world.advance(1.0)
        routes = {"read": route("catalog", prefix="/read/")}
        services = {"catalog": {"health_path": "/h", "max_conns": 110}}
        world.store.put(
            "op/config", configuration(version=9, routes=routes, services=services)
        )
        world.advance(1.0)
        world.caller(world.node).send(request(path="/read/1", key=None))
        _, address = world.accept()
        assert address == ("10.0.9.31", 80)

    def test_server_that_is_gone_is_not_used_later(self, world):
        world.store.put("servers/s-31", registration("catalog", 31))
        world.advance(1.0)
        world.store.delete("servers/s-31")
        world.advance(3.0)
        services = {"catalog": {"health_path": "/h", "max_conns": 110}}
        routes = {"read": route("catalog", prefix="/read/")}
        world.store.put(
            "op/config", configuration(version=9, routes=routes, services=services)
        )
        world.advance(1.0)
        assert not world.node.dispatcher("catalog").servers

    @pytest.mark.parametrize("server_id", ["a\r\nB: c", "a b", "\ud800", "\xe9", ""])
    def test_identifier_that_no_header_may_have(self, server_id):
        with pytest.raises(DecodeError):
            documents.decode_server(f"servers/{server_id}", registration("stock", 9))

    @pytest.mark.parametrize("field", ["born", "seq"])
    def test_number_out_of_range(self, field):
        # Guards against an entry that no later one of the server can replace.
        entry = registration("stock", 9, **{field: 10**400})
        with pytest.raises(DecodeError):
            documents.decode_server("servers/s-9", entry)


class TestMessages:
    def test_datagrams_create_no_dispatcher(self, world):
        services = {dispatcher.name for dispatcher in world.node.dispatchers()}
        world.node._allowances_announced(
            "odd", Admission(by_key={7: 0.5}, by_server={})
        )
        world.node._owners_announced("odd", [])
        world.node.rate_limits.peer_limit("odd", ("s-1", 1), 2.0, 0.0)
        assert {d.name for d in world.node.dispatchers()} == services
