from __future__ import annotations

import pytest

from briarspoke import schema
from briarspoke.configuration.resources import Service
from briarspoke.configuration.snapshot import Configuration
from briarspoke.errors import Refusal
from briarspoke.hashing import partition_of
from briarspoke.routing.classify import RequestHead, classify


def classified(target, *, method="GET", headers=None, **service):
    problems = []
    configuration = Configuration.from_json(
        {"services": [{"name": "s", **service}]}, problems, version=1
    )
    assert not problems
    head = RequestHead(
        method=method, target=target, headers=headers or {}, caller="caller"
    )
    return classify(head, configuration, 10.0)


def code_of(target, **options):
    with pytest.raises(Refusal) as raised:
        classified(target, **options)
    return raised.value.code.number


QUERY_KEY = {"source": "query", "name": "k"}


class TestKey:
    def test_different_bytes_stay_different(self):
        # Guards against a lossy decoding that sends both keys to one partition.
        assert classified("/s/%ff", partitions=4096).partition == partition_of(
            b"\xff", 4096
        )
        assert classified("/s/%fe", partitions=4096).partition == partition_of(
            b"\xfe", 4096
        )

    def test_absolute_target_is_accepted(self):
        # HTTP requires servers to accept the absolute form, which proxies use.
        assert classified("http://h:80/s/1").partition == classified("/s/1").partition

    @pytest.mark.parametrize(
        ("target", "options", "number"),
        [
            ("/s", {}, 4003),
            ("/s/", {}, 4003),
            ("/s/?k=", {"key": QUERY_KEY}, 4003),
            ("/s/?k=1&k=2", {"key": QUERY_KEY}, 4010),
            ("/s/?" + "a=1&" * 1001, {"key": QUERY_KEY}, 4001),
            ("/t/1", {}, 4002),
            ("*", {}, 4002),
            ("http://h", {}, 4002),
            ("/s/1", {"enabled": False}, 1006),
        ],
    )
    def test_invalid_request_is_refused_with_its_code(self, target, options, number):
        assert code_of(target, **options) == number


class TestDeadline:
    @pytest.mark.parametrize(
        "value", ["0", "-1", "1.5", "x", "", "\u00b2", "3600001", "0" * 11 + "19"]
    )
    def test_invalid_values_are_refused(self, value):
        # Guards against a check of the first digits only: "0...019" passed it and
        # exceeded the bound.
        headers = {"briarspoke-deadline-ms": value}
        assert code_of("/s/1", headers=headers) == 4004

    def test_header_overrides_the_default(self):
        headers = {"briarspoke-deadline-ms": "1500"}
        assert classified("/s/1", headers=headers).deadline == 11.5


class TestRank:
    RULES = [
        {"rank": "bulk", "path_prefix": "/photos"},
        {
            "rank": "booking",
            "methods": ["POST"],
            "header": "Idempotency-Key",
            "idempotent": True,
        },
    ]

    def test_escaped_path_does_not_bypass_a_rule(self):
        assert classified("/s/%70hotos", rank_rules=self.RULES).rank == "bulk"

    def test_idempotency_key_needs_a_rule(self):
        # Guards against retries at servers that ignore the header and run the request
        # twice (I5).
        headers = {"idempotency-key": "1"}
        assert not classified("/s/1", method="POST", headers=headers).idempotent
        ruled = classified(
            "/s/1", method="POST", headers=headers, rank_rules=self.RULES
        )
        assert ruled.idempotent


class TestKeyRule:
    @pytest.mark.parametrize("name", ["", "x", "-1", "1.0", "100", "\u0661"])
    def test_path_rule_needs_an_index(self, name):
        # Guards against a configuration that is accepted and then fails every request.
        problems = []
        value = {"name": "s", "key": {"source": "path", "name": name}}
        Service.from_json(value, "$", problems)
        assert [(p.path, p.code) for p in problems] == [
            ("$.key.name", schema.OPTION_FORMAT)
        ]

    def test_schema_has_the_rule(self):
        rule = Service.section.json_schema()["properties"]["key"]
        assert "pattern" in rule["then"]["properties"]["name"]
