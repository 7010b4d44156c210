from __future__ import annotations

import ast
import importlib
import json
import re
import shlex
import subprocess
import sys
from pathlib import Path

import pytest
from operators_fakes import connect_commands

from briarspoke import cli, codes, metrics
from briarspoke.settings import read_json

ROOT = Path(__file__).resolve().parents[1]
PAGES = sorted([ROOT / "README.md", *ROOT.glob("docs/**/*.md")])
QUICK_COMMANDS = ("check", "version")
OPERATOR_COMMANDS = ("apply", "diff", "get", "watch", "drain", "evacuate")
GRANILITE = ROOT / "examples/granilite/configuration.json"


def commands_shown():
    """Returns (page, arguments) of every briarspoke command line in the pages."""
    shown = []
    for page in PAGES:
        text = page.read_text()
        lines = "\n".join(re.findall(r"```sh\n(.*?)```", text, re.S)).splitlines()
        if page.name == "README.md":
            lines += [line for line in text.splitlines() if line.startswith("    ")]
        for line in lines:
            for part in line.split("&&"):
                words = shlex.split(part)
                if words and Path(words[0]).name == "briarspoke":
                    shown.append((page, words[1:]))
        if page.parent != ROOT / "docs":
            inline = re.findall(r"`briarspoke ([^`]+)`", text)
            shown += [(page, shlex.split(words)) for words in inline]
    return shown


def parameter_id(value):
    return value.name if isinstance(value, Path) else " ".join(value)


def source_files():
    return [p for p in ROOT.glob("briarspoke/**/*.py") if "benches" not in p.parts]


class TestCommandsShown:
    """Guards against pages that show commands which the program rejects."""

    @pytest.mark.parametrize(("page", "arguments"), commands_shown(), ids=parameter_id)
    def test_is_accepted(self, page, arguments):
        # Words in capitals are placeholders for values. A page may also mention a
        # command without its arguments.
        replaced = ["1" if word.isupper() else word for word in arguments]
        app = cli.build_app()
        if len(replaced) == 1 and replaced[0] in ("serve", "diff", "apply"):
            app([*replaced, "--help"])
            return
        app.parse_args(replaced, exit_on_error=False, print_error=False)

    @pytest.mark.parametrize(
        "arguments",
        [a for _, a in commands_shown() if a[0] in QUICK_COMMANDS and "FILE" not in a],
        ids=parameter_id,
    )
    def test_quick_commands_run(self, arguments, monkeypatch):
        monkeypatch.chdir(ROOT)
        if len(arguments) > 1 or arguments[0] == "version":
            assert cli.execute(arguments) == 0

    @pytest.mark.parametrize(
        "arguments",
        [a for _, a in commands_shown() if a[0] in OPERATOR_COMMANDS and len(a) > 1],
        ids=parameter_id,
    )
    def test_operator_commands_run(self, arguments, monkeypatch, tmp_path):
        # Guards against a step of the guide that the API rejects.
        monkeypatch.chdir(ROOT)
        api = connect_commands(monkeypatch)
        api.status.owned = {}
        # The addresses of the examples overlap because they are two deployments.
        is_other = any("lavendelhaus" in word for word in arguments)
        resources = {} if is_other else read_json(GRANILITE)
        assert api.call("POST", "/v1/apply", {"resources": resources}).status == 200
        guide = (ROOT / "docs/user/first-service.md").read_text()
        file = tmp_path / "service.json"
        file.write_text(re.search(r"```json\n(.*?)```", guide, re.S)[1])
        values = {
            "service.json": str(file),
            "SERVER": "tabela-poa-1",
            "ZONE": "poa",
            "FILE": str(GRANILITE),
            "URL": "http://127.0.0.1:8082",
            "ID": "w-1",
            "VERSION": "1",
        }
        replaced = [values.get(word, word) for word in arguments]
        differs = {1} if arguments[0] == "diff" else set()
        assert cli.execute(replaced) in {0} | differs

    def test_commands_are_found(self):
        assert len(commands_shown()) > 20


class TestReferencePages:
    """Guards against reference pages that differ from the code."""

    def test_generated_pages_are_current(self):
        script = [sys.executable, ROOT / "scripts" / "generate_docs.py", "--check"]
        run = subprocess.run(script, capture_output=True, text=True)
        assert run.returncode == 0, run.stderr

    def test_codes_match_the_page(self):
        text = (ROOT / "docs/user/result-codes.md").read_text()
        documented = {int(n) for n in re.findall(r"^\| (\d{4}) ", text, re.M)}
        assert codes.by_number.keys() <= documented
        registered = {
            int(number)
            for path in ROOT.glob("briarspoke/**/*.py")
            for number in re.findall(
                r"(?:register|_code)\(\s*(\d{4}),", path.read_text()
            )
        }
        assert documented == registered

    def test_metrics_match_the_page(self):
        text = (ROOT / "docs/user/metrics.md").read_text()
        documented = set(re.findall(r"`briarspoke_(\w+)`", text))
        assert documented == self.declared_metrics()

    def declared_metrics(self):
        return (
            metrics.COUNTERS.keys() | metrics.GAUGES.keys() | metrics.HISTOGRAMS.keys()
        )

    def test_counted_metrics_are_declared(self):
        # Guards against an undeclared counter, which fails only when it is rendered.
        used = set()
        for path in source_files():
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                    receiver = ast.unparse(node.func.value)
                    first = node.args[0] if node.args else None
                    if receiver.endswith("metrics") and isinstance(first, ast.Constant):
                        used.add(first.value)
        declared = self.declared_metrics()
        assert used <= declared, used - declared


class TestAlarms:
    def test_link_codes_are_read_where_they_are_counted(self):
        # Guards against an alarm on refusals_total for codes that are counted only in
        # link_results_total.
        for page in ROOT.glob("docs/user/alarms/*.md"):
            assert not re.search(r'refusals_total{code=~?"6', page.read_text()), page


class TestLinks:
    @pytest.mark.parametrize("page", PAGES, ids=lambda p: str(p.relative_to(ROOT)))
    def test_targets_exist(self, page):
        # Guards against links to pages that were renamed or removed.
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), target

    def test_alarms_name_known_codes_and_metrics(self):
        # Guards against an alarm that can never fire.
        importlib.import_module("briarspoke.links.rejections")
        known = {str(number) for number in codes.by_number}
        for page in ROOT.glob("docs/user/alarms/*.md"):
            text = page.read_text()
            for name in re.findall(r"briarspoke_(\w+)", text):
                assert name in metrics.COUNTERS or name in metrics.GAUGES, name
            for pattern in re.findall(r'code=~?"([^"]+)"', text):
                for part in pattern.replace("\\", "").split("|"):
                    assert any(re.fullmatch(part, n) for n in known), part

    def test_json_shown_in_the_guide_is_valid(self, tmp_path):
        text = (ROOT / "docs/user/first-service.md").read_text()
        for block in re.findall(r"```json\n(.*?)```", text, re.S):
            path = tmp_path / "shown.json"
            path.write_text(json.dumps(json.loads(block)))
            assert read_json(path)
            assert cli.execute(["check", str(path)]) == 0
