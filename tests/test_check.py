"""``briarspoke check`` of the platform's configuration."""

from __future__ import annotations

import copy
import json
import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from briarspoke import cli
from briarspoke.configuration import codes
from briarspoke.platform import checks, documents, values

PAGE = Path(__file__).resolve().parents[1] / "docs/user/check.md"
BLOCK = re.compile(r"```(json|text)(?: ([\w-]+(?: [\w-]+)*))?\n(.*?)```", re.S)
CODES_OF_THE_DECODER = {5101, 5113, 8001, 8002, 8003, 8004, 8005}


def blocks(text):
    """Returns [(language and label, content)] of the fenced blocks of a page."""
    return [(f"{m[1]} {m[2] or ''}".strip(), m[3]) for m in BLOCK.finditer(text)]


def merged(value, changes):
    """Returns a JSON value with changes, of which null removes a member."""
    if not isinstance(value, dict) or not isinstance(changes, dict):
        return changes
    result = copy.deepcopy(value)
    for name, change in changes.items():
        if change is None:
            result.pop(name, None)
        else:
            result[name] = merged(result.get(name), change)
    return result


BASE = {name: text for name, text in blocks(PAGE.read_text()) if "base" in name}
CONFIGURATION = json.loads(BASE["json base"])
SETTINGS = json.loads(BASE["json base-settings"])


def sections():
    parts = re.split(r"^##+ ", PAGE.read_text(), flags=re.M)[1:]
    return [part for part in parts if blocks(part)]


@pytest.fixture
def check(tmp_path, capsys):
    """Returns a function that checks values and returns (status, output)."""

    def run(*file_values, options=()):
        paths = []
        for number, value in enumerate(file_values):
            path = tmp_path / f"{number}.json"
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            path.write_bytes(data)
            paths.append(str(path))
        status = cli.execute(["check", *paths, *options])
        captured = capsys.readouterr()
        assert "Traceback" not in captured.err
        return status, captured.out

    return run


class TestPage:
    """Guards against a page that shows other findings than the command."""

    @pytest.mark.parametrize("section", sections(), ids=lambda s: s.split("\n")[0])
    def test_examples_have_the_findings_shown(self, section, check, tmp_path):
        files, shown, options = [], [], []
        for label, content in blocks(section):
            if label == "json":
                files.append(merged(CONFIGURATION, json.loads(content)))
            elif label == "json settings":
                files.append(merged(SETTINGS, json.loads(content)))
            elif label.startswith("json raw"):
                encoding = "latin-1" if label.endswith("latin-1") else "utf-8"
                files.append(content.rstrip("\n").encode(encoding))
            elif label == "text":
                shown = content.splitlines()
        if section.startswith("What differs"):
            path = tmp_path / "in-force.json"
            path.write_text(BASE["json base"])
            options = ["--in-force", str(path)]
        status, out = check(*files, options=options)
        lines = [line.removeprefix("  ") for line in out.splitlines()]
        if "duplicate-name" in section:
            # The rest of this example is not complete.
            assert set(shown) <= set(lines)
        elif options:
            assert out.splitlines()[1:] == shown
        else:
            findings = [line for line in lines if line.startswith("$")]
            assert findings == shown
        assert status == 1

    def test_every_finding_has_an_example(self):
        named = {
            int(line.split()[0])
            for line in re.findall(r"^### (.*)$", PAGE.read_text(), re.M)
        }
        own = {
            code.number
            for code in vars(codes).values()
            if 5120 <= getattr(code, "number", 0) < 5200
        }
        assert named == own | CODES_OF_THE_DECODER

    def test_base_is_fine(self, check):
        status, out = check(CONFIGURATION, SETTINGS)
        assert status == 0
        assert "(platform-configuration) is fine" in out
        assert "(entry-settings) is fine" in out

    def test_same_as_in_force(self, check, tmp_path):
        path = tmp_path / "same.json"
        path.write_text(json.dumps(CONFIGURATION))
        assert check(CONFIGURATION, options=["--in-force", str(path)])[0] == 0


class TestOutput:
    def test_json_has_every_finding(self, check):
        changes = {"routes": {"lookup": {"service": "x", "target_latency": "9s"}}}
        for options in (["--json"], ["--output", "json"]):
            status, out = check(merged(CONFIGURATION, changes), options=options)
            (result,) = json.loads(out)
            assert status == 1
            assert result["kind"] == "platform-configuration"
            assert {"path", "code", "name", "message"} == result["problems"][0].keys()
            assert result["problems"][0]["code"] == 5101

    def test_1700_routes_are_reported_in_one_run(self, check):
        lookup = CONFIGURATION["routes"]["lookup"]
        routes = {
            f"r{n}": {**lookup, "prefix": f"/p{n}/", "timeout": "soon", "service": "x"}
            for n in range(1700)
        }
        status, out = check({**CONFIGURATION, "routes": routes})
        assert status == 1
        assert out.count("[8005 option-format]") == 1700
        assert out.count("[5101 unknown-service-named]") == 1700

    def test_file_that_cannot_be_opened(self, check):
        assert cli.execute(["check", "/does/not/exist.json"]) == 2

    @pytest.mark.parametrize("cut", range(1, len(json.dumps(CONFIGURATION)), 53))
    def test_file_that_is_cut_short(self, check, cut):
        status, out = check(json.dumps(CONFIGURATION)[:cut].encode())
        assert status == 1 and "[5129 not-json]" in out

    @pytest.mark.parametrize(
        "data",
        [b"", b"[" * 100_000, b'{"a": NaN}', b'{"a": "\\ud800"}', b"\xff\xfe{}"],
        ids=["empty", "nested", "constant", "surrogate", "utf-16"],
    )
    def test_other_files(self, check, data):
        assert check(data)[0] == 1

    def test_names_that_cannot_be_printed(self, check):
        data = json.dumps(merged(CONFIGURATION, {"routes": {"\ud800": {}}})).encode()
        status, out = check(data)
        assert status == 1 and "option-missing" in out


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 5)
    | st.floats()
    | st.sampled_from(["", "/a/", "1s", "soon", "stock", "safe", "\ud800", "r1"]),
    lambda child: (
        st.lists(child, max_size=3)
        | st.dictionaries(st.sampled_from(["stock", "service", "weight"]), child)
    ),
    max_leaves=6,
)
PLACES = [
    (section, entry, option)
    for section in ("routes", "services")
    for entry, body in CONFIGURATION[section].items()
    for option in (*body, "traffic_split", "warmup", "warmup_per_s", "sharded")
] + [("limits", name) for name in CONFIGURATION["limits"]]


class TestSameRulesAsAnEntryVm:
    """Guards against a check that finds nothing in what an entry VM rejects, and
    against the opposite.
    """

    REJECTED = frozenset({5101, 8001, 8003, 8004, 8005})

    @settings(max_examples=300, suppress_health_check=[HealthCheck.too_slow])
    @given(st.lists(st.tuples(st.sampled_from(PLACES), JSON), max_size=3))
    def test_any_values(self, changes):
        body = copy.deepcopy(CONFIGURATION)
        for place, value in changes:
            target = body
            for name in place[:-1]:
                target = target[name]
            target[place[-1]] = value
        problems = checks.check_configuration(body)
        rejected = any(problem.code.number in self.REJECTED for problem in problems)
        try:
            documents.decode_configuration(json.dumps(body).encode())
        except values.DecodeError:
            assert rejected
        else:
            assert not rejected
        for change in checks.differences(CONFIGURATION, body):
            assert change["action"] in ("create", "update", "delete")


class TestEffects:
    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"routes": {"order": {"prefix": "/buy/"}}}, ["dropped", "added"]),
            (
                {"routes": {"order": {"prefix": "/lookup/new/"}}},
                ["dropped", "moved from route lookup"],
            ),
            ({"routes": {"order": {"priority": 2}}}, ["retimed"]),
            ({"routes": {"order": {"comment": "x"}}}, ["changed"]),
            ({"services": {"stock": {"sharded": True}}}, ["moved to other servers"]),
            ({"services": {"stock": {"max_conns": 5}}}, ["changed"]),
            ({"limits": {"max_body_bytes": 5}}, ["changed"]),
        ],
    )
    def test_of_an_update(self, changes, expected):
        (change,) = checks.differences(CONFIGURATION, merged(CONFIGURATION, changes))
        assert change["effects"] == expected
