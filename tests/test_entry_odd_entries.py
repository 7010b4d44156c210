"""Entries of other writers in the store, with names that nothing expects."""

from __future__ import annotations

import logging
import os

import pytest
from entry_fakes import World, configuration

from briarspoke.entry import explanation, logs
from briarspoke.metrics import Metrics

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
