from __future__ import annotations

import json
import re
import subprocess
import sys
import threading
import types

import pytest

from briarspoke import cli
from briarspoke.errors import UserError
from briarspoke.standins.demo import OPERATOR_TOKEN, Demo

# Only kills a demo that hangs; no assertion depends on this time.
KILL_AFTER_S = 120
WAIT_S = "60"


@pytest.fixture
def demo(monkeypatch):
    """Starts a demo process and sets the environment so that commands use its API."""
    process = subprocess.Popen(
        [sys.executable, "-m", "briarspoke", "demo", "--free-ports"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    killer = threading.Timer(KILL_AFTER_S, process.kill)
    killer.start()
    try:
        for line in process.stdout:
            if found := re.search(r"(http://127\.0\.0\.1:\d+)/v1/", line):
                monkeypatch.setenv("BRIARSPOKE_URL", found[1])
            if line.startswith("stop with"):
                break
        monkeypatch.setenv("BRIARSPOKE_TOKEN", OPERATOR_TOKEN)
        yield process
    finally:
        killer.cancel()
        process.kill()
        process.wait()
        process.stdout.close()


class TestCommandsAgainstADemo:
    """Guards against commands that work only with the fakes of the other tests."""

    def run(self, capsys, *arguments, status=0):
        assert cli.execute(list(arguments)) == status, capsys.readouterr().err
        return capsys.readouterr().out

    def owned(self, capsys):
        answer = json.loads(self.run(capsys, "get", "ownership", "--output", "json"))
        return answer["ownership"]["tabela"]

    def test_usual_operator_commands(self, demo, capsys, tmp_path):
        limits = {"limits": [{"name": "all", "service": "tabela", "rate": 1e6}]}
        file = tmp_path / "limits.json"
        file.write_text(json.dumps(limits))
        assert "+ limits/all" in self.run(capsys, "diff", str(file), status=1)
        self.run(capsys, "apply", str(file), "--write-id", "w-1")
        assert self.run(capsys, "diff", str(file)) == ""
        assert "accepted" in self.run(capsys, "get", "writes", "w-1")
        assert "all" in self.run(capsys, "get", "limits")
        assert "version 2" in self.run(capsys, "watch", "--from", "1", "--until", "2")
        answer = json.loads(self.run(capsys, "get", "nodes", "--output", "json"))
        assert answer["nodes"][0]["configuration_version"] == 2
        assert [zone["controller"] for zone in answer["zones"]] == ["entry-1"] * 2
        assert all(zone["term"] > 0 for zone in answer["zones"])

        delete = ["apply", "--delete", "servers/tabela-poa-1"]
        assert cli.execute(delete) == 1
        assert "drain it first" in capsys.readouterr().err
        self.run(capsys, "drain", "tabela-poa-1", "--wait-s", WAIT_S)
        assert "tabela-poa-1" not in self.owned(capsys)["partitions"]
        self.run(capsys, *delete)
        self.run(capsys, "evacuate", "cwb", "--wait-s", WAIT_S)
        assert self.owned(capsys)["partitions"] == {"tabela-poa-2": 32}
        self.run(capsys, "evacuate", "cwb", "--undo")
        refusals = self.run(capsys, "get", "refusals")
        assert "server-owns-partitions" in refusals
        assert demo.poll() is None


class TestStart:
    def test_address_in_use(self, capsys):
        # Guards against a traceback for an error that the user can fix.
        stopped = []
        reactor = types.SimpleNamespace(stop=lambda: stopped.append(True))
        demo = Demo(reactor=reactor, check=False)

        def fail():
            raise UserError("cannot listen on 127.0.0.1:8080")

        demo._start = fail
        demo.start()
        assert (demo.exit_status, stopped) == (2, [True])
        assert capsys.readouterr().err == (
            "briarspoke: cannot listen on 127.0.0.1:8080\n"
        )
