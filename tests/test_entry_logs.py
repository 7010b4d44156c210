from __future__ import annotations

import ast
import os
import re
from pathlib import Path

from briarspoke.entry import explanation, logs

ROOT = Path(__file__).resolve().parents[1]
LINE = "2026-12-04T09:00:0{}.000Z INFO {}"


def messages():
    """Yields (file, format) of every log call of the entry VM."""
    for folder in ("entry", "keyspace"):
        for file in sorted((ROOT / "briarspoke" / folder).glob("*.py")):
            for node in ast.walk(ast.parse(file.read_text())):
                is_call = isinstance(node, ast.Call)
                if not is_call or not isinstance(node.func, ast.Attribute):
                    continue
                owner = node.func.value
                if isinstance(owner, ast.Name) and owner.id == "log":
                    yield file.name, ast.literal_eval(node.args[0])


def documented():
    """Returns ``{event: fields}`` of the table in docs/OPERATIONS.md."""
    text = (ROOT / "docs/OPERATIONS.md").read_text()
    rows = re.findall(r"^\| (`[a-z]+: [^|]+) \| ([^|]*) \|", text, re.M)
    return {
        event: set(re.findall(r"`([a-z_]+)`", fields))
        for events, fields in rows
        for event in re.findall(r"`([a-z]+: [^`]+)`", events)
    }


class TestEvents:
    """Guards against log lines that ``explain`` cannot parse or no page documents."""

    def test_each_event_is_documented_with_its_fields(self):
        table = documented()
        for file, text in messages():
            match = re.fullmatch(r"([a-z]+): ([^=]*?)((?: [a-z_]+=%[a-z%\-:]+)*)", text)
            assert match, (file, text)
            event = f"{match[1]}: {match[2].strip()}".replace("%s", "...")
            fields = set(re.findall(r"([a-z_]+)=", match[3]))
            assert table.get(event) == fields, (file, event, fields)

    def test_a_line_is_parsed_into_event_and_fields(self):
        line = explanation.parse(
            LINE.format(1, "store: not reachable error='watch: timeout'")
        )
        assert line.name == "store: not reachable"
        assert line.fields == {"error": "watch: timeout"}


class TestExplanation:
    def test_request_is_found_with_its_context(self):
        text = [
            "front-a-1 " + LINE.format(1, "configuration: in force version=4 before=3"),
            LINE.format(
                2, "keys: move begins service=s keys=0-9 from=x to=y reason=load"
            ),
            LINE.format(
                2, "keys: move begins service=s keys=10-19 from=x to=y reason=load"
            ),
            LINE.format(
                3, "requests: partition-moving id=r1 code=3003 service=s key=7"
            ),
            LINE.format(
                3, "requests: partition-moving id=r2 code=3003 service=s key=8"
            ),
            "no line of ours",
        ]
        found = explanation.find("r1", {"log": text})
        assert [line.fields["code"] for line in found.lines] == ["3003"]
        assert [line.event for line in found.context] == ["in force", "move begins"]
        assert found.unreadable == 1

    def test_limits_of_the_service_are_named_however_old_they_are(self):
        # Guards against a refusal without its reason: a request of a service without
        # keys waits for no certain server.
        minute = "2026-12-04T09:0{}:00.000Z INFO {}"
        fields = "incarnation=1 per_s=2 before=- source=peer nodes=4"
        text = [
            minute.format(1, f"servers: limit begins id=x service=s {fields}"),
            minute.format(2, f"servers: limit begins id=y service=t {fields}"),
            minute.format(
                3,
                "requests: server-rate-limit id=r1 code=2010 service=s key=- server=- "
                "limit=-",
            ),
            minute.format(4, f"servers: limit begins id=z service=s {fields}"),
        ]
        found = explanation.find("r1", {"log": text})
        assert [line.fields["id"] for line in found.context] == ["x"]

    def test_unknown_request_has_no_lines(self):
        assert not explanation.find("r9", {"log": []}).lines


class TestRateLimit:
    def test_lines_above_the_limit_are_counted(self):
        now = [0.0]
        limit = logs.LogRateLimiter(lambda: now[0])
        allowed = sum(limit.allows() for _ in range(1000))
        assert allowed == logs.REQUEST_LINES_BURST
        assert limit.take_left_out() == 1000 - allowed
        now[0] = 1.0
        assert sum(limit.allows() for _ in range(1000)) == logs.REQUEST_LINES_PER_S

    def test_a_full_pipe_never_blocks(self):
        # Guards against a process that blocks while the reader of its output is slow.
        import logging

        reader, writer = os.pipe()
        handler = logs.OutputHandler(writer)
        record = logging.LogRecord("x", logging.INFO, "", 0, "y" * 1000, None, None)
        for _ in range(200):
            handler.emit(record)
        assert handler.dropped > 0
        os.close(reader)
        os.close(writer)


class TestHeldBackRequest:
    """Guards against a refusal with code 3009 that ``explain`` does not explain."""

    def test_lines_of_its_fingerprint_are_context(self):
        lines = [
            LINE.format(1, "crashes: held back fingerprint=ab servers=s-1,s-2"),
            LINE.format(2, "crashes: held back fingerprint=cd servers=s-3,s-4"),
            LINE.format(5, "requests: held back id=r1 fingerprint=ab servers=2"),
            LINE.format(5, "requests: ends-servers id=r1 code=3009"),
        ]
        found = explanation.find("r1", {"vm": lines})
        assert len(found.lines) == 2
        assert [line.fields["fingerprint"] for line in found.context] == ["ab"]


class TestEvacuatedZone:
    """Guards against a refusal with code 3010 that ``explain`` does not explain."""

    def test_lines_of_the_evacuation_are_context(self):
        lines = [
            LINE.format(1, "evacuations: begins zone=z1 servers=2"),
            LINE.format(5, "requests: zone-evacuated id=r1 code=3010").replace(
                ":00:05", ":40:05"
            ),
        ]
        found = explanation.find("r1", {"vm": lines})
        assert [line.event for line in found.context] == ["begins"]
