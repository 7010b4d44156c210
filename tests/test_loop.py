from __future__ import annotations

import ast
import asyncio
import time
from pathlib import Path

import pytest

from briarspoke import loop

PACKAGE = Path(loop.__file__).parent


class TestImports:
    def test_only_this_module_imports_the_reactor(self):
        # Guards against Twisted's default reactor, whose timers follow the wall clock.
        importing = {
            file.relative_to(PACKAGE).as_posix()
            for file in PACKAGE.rglob("*.py")
            for node in ast.walk(ast.parse(file.read_text()))
            if isinstance(node, ast.ImportFrom)
            and node.module == "twisted.internet"
            and any(name.name == "reactor" for name in node.names)
        }
        assert importing == {"loop.py"}


class TestReactor:
    @pytest.fixture
    def reactor(self):
        event_loop = asyncio.new_event_loop()
        yield loop._make_reactor(event_loop)
        event_loop.close()

    def test_step_of_the_wall_clock_fires_no_timer(self, reactor, monkeypatch):
        # Guards against timers that follow the wall clock: when it is set, renewals
        # would stop, or all leases would expire.
        fired = []
        reactor.callLater(3600, fired.append, True)
        now = time.time()
        monkeypatch.setattr(time, "time", lambda: now + 7200)
        reactor.runUntilCurrent()
        assert not fired

    def test_timer_is_not_set_for_less_than_a_millisecond(self, reactor):
        # Guards against uvloop rounding a delay to zero, which caused 1,800 wake-ups a
        # second without work on an idle node.
        reactor.callLater(0.0002, lambda: None)
        assert reactor.timeout() >= loop.TIMER_RESOLUTION_S
