from __future__ import annotations

import json
import subprocess
import sys

import pytest
from operators_fakes import READER_TOKEN, connect_commands

from briarspoke import benches, cli, client, commands

ZONES = {"zones": [{"name": "poa"}, {"name": "cwb"}]}
SERVICE = {"name": "tabela"}
SERVER = {
    "name": "tabela-poa-1",
    "service": "tabela",
    "zone": "poa",
    "address": "10.0.0.1:80",
}


@pytest.fixture
def api(monkeypatch):
    return connect_commands(monkeypatch)


@pytest.fixture
def write_file(tmp_path):
    def write(value, name="file.json"):
        path = tmp_path / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)

    return write


class TestExitStatus:
    """Guards against failures that scripts take for success."""

    @pytest.mark.parametrize(
        "arguments",
        [
            ["frobnicate"],
            ["apply", "--nope"],
            ["apply"],
            ["apply", "--delete", "zones"],
            ["apply", "--replace"],
            ["get"],
            ["get", "frogs"],
            ["get", "zones", "poa"],
            ["get", "zones", "--output", "xml"],
            ["get", "zones", "--url", "ftp://x"],
            ["get", "zones", "--url", "http://x:port"],
            ["watch", "--from", "-1"],
            ["watch", "--from", "x"],
            ["check"],
            ["check", "/does/not/exist.json"],
            ["serve", "/does/not/exist.json"],
            ["bench", "frogs"],
        ],
    )
    def test_user_error(self, api, capsys, arguments):
        assert cli.execute(arguments) == 2
        error = capsys.readouterr().err
        assert error.startswith(("briarspoke: ", "  "))
        assert "Traceback" not in error

    def test_refused(self, api, write_file, capsys):
        value = {"zones": [{"name": "poa", "frogs": 1}, {"name": "Q"}]}
        assert cli.execute(["apply", write_file(value)]) == 1
        error = capsys.readouterr().err
        assert "$.resources.zones[0].frogs" in error
        assert "$.resources.zones[1].name" in error

    def test_conflict(self, api, write_file, capsys):
        arguments = ["apply", write_file(ZONES), "--expected-version", "7"]
        assert cli.execute(arguments) == 1
        assert "expected version 7, found 0" in capsys.readouterr().err

    def test_token(self, api, monkeypatch, write_file, capsys):
        monkeypatch.setenv("BRIARSPOKE_TOKEN", "wrong-token-0123456789")
        assert cli.execute(["get", "zones"]) == 2
        assert "wrong-token" not in capsys.readouterr().err
        monkeypatch.delenv("BRIARSPOKE_TOKEN")
        assert cli.execute(["get", "zones"]) == 2
        path = write_file(READER_TOKEN + "\n", "token")
        assert cli.execute(["get", "zones", "--token-file", path]) == 0
        assert cli.execute(["apply", write_file(ZONES), "--token-file", path]) == 2
        assert cli.execute(["get", "zones", "--token-file", path + "x"]) == 2

    @pytest.mark.parametrize("fault", ["unreachable", "lost", "no-json"])
    def test_unavailable(self, api, write_file, fault, capsys):
        api.connection.fault = fault
        assert cli.execute(["get", "zones"]) == 3
        assert cli.execute(["apply", write_file(ZONES), "--output", "json"]) == 3
        answer = json.loads(capsys.readouterr().out)
        if fault == "lost":
            # The operator needs the identifier to look up the outcome.
            assert answer["name"] == "outcome-unknown"
            assert (
                api.active_configuration.document.version_of_write(answer["write_id"])
                == 1
            )

    def test_unknown_outcome(self, api, write_file, capsys):
        api.store.faults = ["dropped"] * 1000
        assert cli.execute(["apply", write_file(ZONES), "--write-id", "w9"]) == 3
        assert "briarspoke get writes w9 --base 0" in capsys.readouterr().err


class TestBenchList:
    @pytest.mark.parametrize("arguments", [["bench"], ["bench", "list"]])
    def test_one_line_for_each_bench(self, arguments, capsys):
        # Guards against a bench that is not listed or has no description.
        assert cli.execute(arguments) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [line.split()[0] for line in lines] == sorted(benches.by_name)
        assert all(len(line.split()) > 3 and len(line) <= 100 for line in lines)


class TestCommands:
    def run(self, capsys, *arguments, status=0):
        assert cli.execute(list(arguments)) == status
        return capsys.readouterr().out

    def test_apply_diff_get(self, api, write_file, capsys):
        path = write_file(ZONES)
        assert "+ zones/poa" in self.run(capsys, "diff", path, status=1)
        assert "2 resource(s) would change" in self.run(
            capsys, "apply", path, "--dry-run"
        )
        assert api.store.puts == 0
        assert "version 1" in self.run(capsys, "apply", path, "--write-id", "w1")
        assert self.run(capsys, "diff", path) == ""
        assert "w1: accepted, version 1" in self.run(capsys, "get", "writes", "w1")
        table = self.run(capsys, "get", "zones").splitlines()
        assert table[0].split() == ["name", "region", "evacuated", "version"]
        assert table[1].split() == ["cwb", "region", "no", "1"]
        answer = json.loads(self.run(capsys, "get", "zones", "--output", "json"))
        assert len(answer["items"]) == 2
        assert json.loads(self.run(capsys, "get", "zones", "poa"))["name"] == "poa"
        self.run(capsys, "apply", "--delete", "zones/poa", "--delete", "zones/cwb")
        assert api.active_configuration.document.entries == {}

    def test_status_views(self, api, capsys):
        nodes = self.run(capsys, "get", "nodes").splitlines()
        assert nodes[1].split() == ["entry-1", "poa", "alive", "1"]
        assert nodes[4].split() == ["poa", "entry-1", "7", "no"]
        owned = self.run(capsys, "get", "ownership").splitlines()
        assert [line.split()[2:] for line in owned[1:]] == [
            ["tabela-poa-1", "4"],
            ["(unowned)", "0"],
            ["(moving)", "0"],
        ]
        refusals = self.run(capsys, "get", "refusals").splitlines()
        assert refusals[1].split() == ["2001", "queue-full", "load", "7"]
        assert refusals[4].split() == ["load", "7"]
        assert "zones" in self.run(capsys, "get", "configuration")

    def test_drain_and_evacuate(self, api, write_file, capsys):
        value = {**ZONES, "services": [SERVICE], "servers": [SERVER]}
        self.run(capsys, "apply", write_file(value))
        self.run(capsys, "drain", "tabela-poa-1")
        document = api.active_configuration.document
        assert document.entry("servers", "tabela-poa-1").value["state"] == "draining"
        arguments = ["drain", "tabela-poa-1", "--wait-s", "0.01"]
        assert "4 partition(s) left" in self.run(capsys, *arguments, status=3)
        api.status.owned = {}
        self.run(capsys, *arguments)
        self.run(capsys, "drain", "tabela-poa-1", "--undo")
        self.run(capsys, "evacuate", "poa", "--wait-s", "0.01")
        assert api.active_configuration.document.entry("zones", "poa").value[
            "evacuated"
        ]
        self.run(capsys, "evacuate", "poa", "--undo")
        assert not api.active_configuration.document.entry("zones", "poa").value[
            "evacuated"
        ]
        self.run(capsys, "drain", "nothing", status=2)

    def test_change_of_an_owning_server_is_refused(self, api, write_file, capsys):
        # Guards against a refusal that does not tell the operator what to do.
        value = {**ZONES, "services": [SERVICE], "servers": [SERVER]}
        self.run(capsys, "apply", write_file(value))
        moved = write_file({"servers": [{**SERVER, "zone": "cwb"}]})
        assert cli.execute(["diff", moved]) == 1
        shown = capsys.readouterr()
        assert 'zone: "poa" -> "cwb"' in shown.out
        assert "drain it first" in shown.err
        delete = ["apply", "--delete", "servers/tabela-poa-1"]
        self.run(capsys, *delete, status=1)
        assert "1 resource(s) changed" in self.run(capsys, *delete, "--force")

    def test_drain_keeps_a_concurrent_change(
        self, api, write_file, capsys, monkeypatch
    ):
        # Guards against a drain that undoes another operator's change.
        value = {**ZONES, "services": [SERVICE], "servers": [SERVER]}
        self.run(capsys, "apply", write_file(value))
        original_call = client.Api.call
        changed_paths = []

        def change_concurrently(self, method, path, *arguments):
            if method == "PUT" and not changed_paths:
                changed_paths.append(path)
                original_call(self, "PUT", path, {**SERVER, "slots": 3})
            return original_call(self, method, path, *arguments)

        monkeypatch.setattr(client.Api, "call", change_concurrently)
        self.run(capsys, "drain", "tabela-poa-1")
        value = api.active_configuration.document.entry("servers", "tabela-poa-1").value
        assert (value["slots"], value["state"]) == (3, "draining")

    def test_watch(self, api, write_file, capsys):
        self.run(capsys, "apply", write_file(ZONES))
        assert "version 1" in self.run(capsys, "watch", "--until", "1")
        out = self.run(capsys, "watch", "--until", "1", "--output", "json")
        assert json.loads(out)["event"] == "change"

    def test_check(self, write_file, capsys):
        settings = {"node": "N", "frogs": 1, "operators": {"a": {"token": "secret"}}}
        out = self.run(
            capsys, "check", write_file(settings), write_file(ZONES, "c"), status=1
        )
        assert "$.node" in out and "$.frogs" in out and "$.store_url" in out
        assert "secret" not in out
        assert "(configuration) is fine" in out
        out = self.run(capsys, "check", "--output", "json", write_file([]), status=1)
        assert json.loads(out)[0]["problems"]

    def test_version_avoids_slow_imports(self):
        # Guards against a version command that waits for unnecessary imports.
        code = (
            "import sys; from briarspoke import cli; cli.execute(['version']);"
            "print([m for m in sys.modules if m.startswith(('twisted', 'cyclopts'))])"
        )
        run = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert run.stdout.splitlines()[1] == "[]"

    @pytest.mark.parametrize("name", commands.command_names())
    def test_registration(self, name, capsys):
        # Guards against a command that has no help, or whose module has another name.
        module = __import__(f"briarspoke.commands.{name}", fromlist=["run"])
        assert name == module.NAME
        assert cli.execute([name, "--help"]) == 0
        assert module.run.__doc__.split("\n")[0] in " ".join(
            capsys.readouterr().out.split()
        )
