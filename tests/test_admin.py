from __future__ import annotations

import json
import logging

import pytest
from operators_fakes import READER_TOKEN, WRITER_TOKEN, Answer, ApiInMemory

from briarspoke.configuration import codes
from briarspoke.http import admin, admin_watch
from briarspoke.http.admin_status import ownership_view, refusals_view
from briarspoke.ownership.document import OwnershipDocument, Partition, State

ZONE = {"region": "sul"}


@pytest.fixture
def api():
    return ApiInMemory()


class TestRefusedCalls:
    """Guards against malformed calls that nevertheless change the configuration."""

    @pytest.mark.parametrize(
        ("method", "path", "body", "headers", "code"),
        [
            ("PUT", "/v1/zones/poa", b"{", {}, codes.CALL_BODY_MALFORMED),
            ("PUT", "/v1/zones/poa", b"", {}, codes.CALL_BODY_MALFORMED),
            ("PUT", "/v1/zones/poa", b"\xff", {}, codes.CALL_BODY_MALFORMED),
            ("PUT", "/v1/zones/poa", b"[1]", {}, codes.CALL_BODY_MALFORMED),
            ("PUT", "/v1/zones/poa", b"[" * 99_999, {}, codes.CALL_BODY_MALFORMED),
            ("PUT", "/v1/zones/poa", b'{"x": NaN}', {}, codes.CALL_BODY_MALFORMED),
            (
                "PUT",
                "/v1/zones/poa",
                b'{"a": 1, "a": 2}',
                {},
                codes.CALL_BODY_MALFORMED,
            ),
            ("PUT", "/v1/zones/poa", {"region": 5}, {}, codes.CONFIGURATION_INVALID),
            ("PUT", "/v1/zones/POA", {}, {}, codes.CONFIGURATION_INVALID),
            ("PUT", "/v1/zones/poa", {"name": "x"}, {}, codes.CONFIGURATION_INVALID),
            ("PUT", "/v1/frogs/poa", {}, {}, codes.UNKNOWN_PATH),
            ("PUT", "/v1/zones", {}, {}, codes.METHOD_NOT_ALLOWED),
            ("PUT", "/v1/zones/a/b", {}, {}, codes.UNKNOWN_PATH),
            ("PATCH", "/v1/zones/poa", {}, {}, codes.METHOD_NOT_ALLOWED),
            ("GET", "/v1/zones/poa", None, {}, codes.RESOURCE_NOT_FOUND),
            ("DELETE", "/v1/zones/poa", None, {}, codes.RESOURCE_NOT_FOUND),
            ("PUT", "/v1/zones/poa?dry_run=yes", {}, {}, codes.BAD_PARAMETER),
            ("PUT", "/v1/zones/poa", {}, {"If-Match": "1"}, codes.BAD_PARAMETER),
            ("PUT", "/v1/zones/poa", {}, {"If-None-Match": "1"}, codes.BAD_PARAMETER),
            (
                "PUT",
                "/v1/zones/poa",
                {},
                {"If-Match": "*", "If-None-Match": "*"},
                codes.BAD_PARAMETER,
            ),
            (
                "PUT",
                "/v1/zones/poa",
                {},
                {"Briarspoke-Write-Id": "a b"},
                codes.BAD_PARAMETER,
            ),
            ("GET", "/v1/watch?from=-1", None, {}, codes.BAD_PARAMETER),
            ("GET", "/v1/writes/w?base=x", None, {}, codes.BAD_PARAMETER),
            ("GET", "/v1/status/frogs", None, {}, codes.UNKNOWN_PATH),
            ("POST", "/v1/apply", {"frogs": 1}, {}, codes.CALL_BODY_MALFORMED),
            ("POST", "/v1/apply", {"resources": 1}, {}, codes.CALL_BODY_MALFORMED),
            ("POST", "/v1/apply", {"replace": 1}, {}, codes.CALL_BODY_MALFORMED),
            (
                "POST",
                "/v1/apply",
                {"resources": {"zones": {}}},
                {},
                codes.CALL_BODY_MALFORMED,
            ),
            (
                "POST",
                "/v1/apply",
                {"delete": {"zones": [1]}},
                {},
                codes.CALL_BODY_MALFORMED,
            ),
            ("POST", "/v1/apply", {"expected": [1]}, {}, codes.CALL_BODY_MALFORMED),
            (
                "POST",
                "/v1/apply",
                {"expected": {"zones/a": True}},
                {},
                codes.CALL_BODY_MALFORMED,
            ),
            (
                "POST",
                "/v1/apply",
                {"resources": {"zones": [1]}},
                {},
                codes.CONFIGURATION_INVALID,
            ),
        ],
    )
    def test_error_code_and_no_change(self, api, method, path, body, headers, code):
        answer = api.call(method, path, body, headers=headers)
        assert answer.json["code"] == code.number
        assert answer.status == code.http_status
        assert answer.headers["briarspoke-code"] == str(code.number)
        assert answer.headers["briarspoke-configuration-version"] == "0"
        assert api.store.puts == 0
        assert api.counted_codes == [code.number]

    @pytest.mark.parametrize("token", [None, "", "wrong", WRITER_TOKEN[:-1], "\xe4"])
    @pytest.mark.parametrize(
        ("method", "path"),
        [("PUT", "/v1/zones/poa"), ("GET", "/v1/zones"), ("GET", "/v1/frogs/1/2")],
    )
    def test_unauthenticated(self, api, method, path, token):
        # Guards against changes by unauthenticated clients, and answers to them.
        answer = api.call(method, path, ZONE, token=token)
        assert answer.json["code"] == codes.UNAUTHENTICATED.number
        assert answer.headers["www-authenticate"] == "Bearer"
        assert api.store.puts == 0

    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("PUT", "/v1/zones/poa"),
            ("DELETE", "/v1/zones/poa"),
            ("POST", "/v1/apply"),
            ("POST", "/v1/apply?dry_run=1"),
        ],
    )
    def test_reader_may_not_write(self, api, method, path):
        answer = api.call(method, path, {}, token=READER_TOKEN)
        assert answer.json["code"] == codes.ROLE_REQUIRED.number
        assert api.store.puts == 0

    def test_large_body(self, api, monkeypatch):
        # Guards against a body that fills the memory of an entry VM.
        monkeypatch.setattr(admin, "MAX_BODY_BYTES", 1000)
        answer = api.call("PUT", "/v1/zones/poa", b" " * 1001)
        assert answer.json["code"] == codes.CALL_BODY_TOO_LARGE.number
        assert api.store.puts == 0

    def test_very_large_body_closes_the_connection(self, api, monkeypatch):
        monkeypatch.setattr(admin, "MAX_DISCARDED_BODY_BYTES", 2000)
        monkeypatch.setattr(admin, "MAX_BODY_BYTES", 1000)
        head = b"PUT /v1/zones/poa HTTP/1.1\r\nHost: api\r\n"
        for data in (
            head + b"Content-Length: 5000\r\n\r\n",
            head + b"Transfer-Encoding: chunked\r\n\r\n960\r\n" + b" " * 2400,
        ):
            _, transport = api.send(data)
            answer = Answer(transport.value())
            assert answer.json["code"] == codes.CALL_BODY_TOO_LARGE.number
            assert transport.disconnecting
        assert api.store.puts == 0

    @pytest.mark.parametrize(
        ("data", "number"),
        [
            (b"nonsense\r\n\r\n", 4001),
            (b"PUT /v1/zones/a HTTP/1.1\r\nContent-Length: x\r\n\r\n", 4001),
            (b"GET /v1/zones HTTP/1.1\r\nX: " + b"x" * 20_000, 4006),
        ],
    )
    def test_malformed_http(self, api, data, number):
        # Guards against errors that programs cannot parse.
        _, transport = api.send(data)
        answer = Answer(transport.value())
        assert answer.json["code"] == number
        assert answer.headers["briarspoke-configuration-version"] == "0"
        assert transport.disconnecting
        assert api.counted_codes == [number]

    def test_internal_error_hides_details(self, api, monkeypatch):
        monkeypatch.setattr(api.status, "nodes", lambda: 1 / 0)
        answer = api.call("GET", "/v1/status/nodes")
        assert (answer.status, answer.json["code"]) == (500, 7002)
        assert b"zero" not in answer.content


class TestResources:
    def test_create_read_and_delete(self, api):
        created = api.call("PUT", "/v1/zones/poa", ZONE)
        assert created.json["version"] == 1
        assert created.headers["etag"] == '"1"'
        found = api.call("GET", "/v1/zones/poa", token=READER_TOKEN)
        assert found.json["resource"]["region"] == "sul"
        api.call("PUT", "/v1/zones/cwb", ZONE)
        assert api.call("GET", "/v1/zones/poa").headers["etag"] == '"1"'
        assert len(api.call("GET", "/v1/zones").json["items"]) == 2
        deleted = api.call("DELETE", "/v1/zones/poa", headers={"If-Match": '"1"'})
        assert deleted.json["configuration_version"] == 3
        assert api.call("GET", "/v1/zones/poa").status == 404

    def test_conflict_reports_both_versions(self, api):
        # Guards against an operator who overwrites a version that they have not seen.
        api.call("PUT", "/v1/zones/poa", ZONE)
        api.call("PUT", "/v1/zones/poa", {"region": "norte"})
        for headers, expected in (
            ({"If-Match": '"1"'}, 1),
            ({"If-None-Match": "*"}, 0),
        ):
            answer = api.call("PUT", "/v1/zones/poa", ZONE, headers=headers)
            assert answer.json["code"] == codes.PRECONDITION_FAILED.number
            assert answer.json["conflicts"] == [
                {
                    "kind": "zones",
                    "name": "poa",
                    "expected_version": expected,
                    "found_version": 2,
                }
            ]
        assert len(api.store.history) == 2

    def test_apply_is_all_or_nothing(self, api):
        # Guards against a partially applied change.
        body = {
            "resources": {
                "zones": [{"name": "poa"}, {"name": "cwb"}],
                "servers": [
                    {
                        "name": "a",
                        "service": "s",
                        "zone": "x",
                        "address": "10.0.0.1:80",
                    }
                ],
            }
        }
        answer = api.call("POST", "/v1/apply", body)
        assert [problem["path"] for problem in answer.json["problems"]] == [
            "$.resources.servers[0].service",
            "$.resources.servers[0].zone",
        ]
        assert api.store.puts == 0
        body["resources"].pop("servers")
        assert api.call("POST", "/v1/apply?dry_run=1", body).json["dry_run"]
        assert api.store.puts == 0
        assert api.call("POST", "/v1/apply", body).json["version"] == 1
        body = {"delete": {"zones": ["poa"]}, "expected": {"zones/poa": 1}}
        assert api.call("POST", "/v1/apply", body).json["version"] == 2

    def test_unknown_outcome_can_be_resolved(self, api):
        # Guards against a write whose outcome the operator cannot determine.
        api.store.faults = ["dropped"] * 1000
        headers = {"Briarspoke-Write-Id": "w-1"}
        answer = api.call("PUT", "/v1/zones/poa", ZONE, headers=headers)
        assert answer.json["code"] == codes.WRITE_OUTCOME_UNKNOWN.number
        resolve = answer.json["resolve"]
        assert api.call("GET", resolve).json["status"] == "pending"
        api.store.apply_dropped_call(0)
        found = api.call("GET", resolve).json
        assert (found["status"], found["version"]) == ("accepted", 1)

    def test_store_outage(self, api):
        # Guards against reads that fail while the store is unavailable.
        api.call("PUT", "/v1/zones/poa", ZONE)
        api.store.is_down = True
        answer = api.call("PUT", "/v1/zones/poa", {})
        assert answer.json["code"] == codes.CONFIGURATION_STORE_UNAVAILABLE.number
        assert api.call("GET", "/v1/zones/poa").status == 200

    def test_changes_are_logged_without_secrets(self, api, caplog):
        caplog.set_level(logging.DEBUG)
        api.call("PUT", "/v1/zones/poa", ZONE)
        assert "operator ana: put zones/poa" in caplog.text
        assert WRITER_TOKEN not in caplog.text
        api.call("PUT", "/v1/zones/a%0Aadmin:%20operator%20eve", ZONE)
        assert "\nadmin: operator eve" not in caplog.text


class TestOwningServers:
    """Guards against partitions that remain with a server without a controller."""

    SERVER = {"service": "tabela", "zone": "poa", "address": "10.0.0.1:80"}
    PATH = "/v1/servers/tabela-poa-1"

    @pytest.fixture
    def api_with_owner(self, api):
        resources = {
            "zones": [{"name": "poa"}, {"name": "cwb"}],
            "services": [{"name": "tabela"}, {"name": "sinal"}],
            "servers": [{"name": "tabela-poa-1", **self.SERVER}],
        }
        assert api.call("POST", "/v1/apply", {"resources": resources}).status == 200
        return api

    @pytest.mark.parametrize(
        ("method", "path", "body", "where"),
        [
            ("DELETE", PATH, None, "$"),
            ("PUT", PATH, {**SERVER, "zone": "cwb"}, "$.zone"),
            ("PUT", PATH, {**SERVER, "service": "sinal"}, "$.service"),
            ("PUT", PATH, {**SERVER, "address": "10.0.0.2:80"}, "$.address"),
            (
                "POST",
                "/v1/apply",
                {"delete": {"servers": ["tabela-poa-1"]}},
                "$.delete.servers[0]",
            ),
            ("POST", "/v1/apply", {"replace": True}, "$.servers.tabela-poa-1"),
        ],
    )
    def test_refused_until_drained(self, api_with_owner, method, path, body, where):
        for query in ("?dry_run=1", ""):
            answer = api_with_owner.call(method, path + query, body)
            assert answer.json["code"] == codes.SERVER_OWNS_PARTITIONS.number
            assert [p["path"] for p in answer.json["problems"]] == [where]
            assert "owns 4 partition(s); drain" in answer.json["problems"][0]["message"]
            assert answer.json["changes"]
        assert api_with_owner.store.puts == 1
        api_with_owner.status.owned = {}
        assert api_with_owner.call(method, path, body).status == 200

    def test_force(self, api_with_owner, caplog):
        caplog.set_level(logging.INFO)
        assert api_with_owner.call("DELETE", f"{self.PATH}?force=1").status == 200
        assert "(forced)" in caplog.text

    def test_other_options_can_be_changed(self, api_with_owner):
        # Guards against a check that prevents the drain that it requires.
        body = {**self.SERVER, "state": "draining", "slots": 2}
        assert api_with_owner.call("PUT", self.PATH, body).status == 200


class TestStatus:
    @pytest.mark.parametrize("view", ["nodes", "ownership", "refusals"])
    def test_views(self, api, view):
        answer = api.call("GET", f"/v1/status/{view}", token=READER_TOKEN)
        assert answer.json[view] == getattr(api.status, view)()

    def test_ownership_view(self):
        # Guards against an evacuation that looks complete while partitions still move.
        changes = {
            0: Partition(owner="a", epoch=1),
            1: Partition(owner="a", epoch=1, state=State.MOVING),
        }
        document = OwnershipDocument.empty("tabela", 4).with_changes(changes, "w")
        assert ownership_view([document])["tabela"] == {
            "version": 1,
            "partitions": {"a": 2},
            "unowned": 2,
            "moving": 1,
        }

    def test_refusals_view(self):
        found = refusals_view({2001: 3, 1001: 1})
        assert [(f["code"], f["class"], f["count"]) for f in found] == [
            (1001, "operator-rule", 1),
            (2001, "load", 3),
        ]

    def test_health_needs_no_token(self, api):
        assert api.call("GET", "/v1/healthz", token=None).status == 200
        assert api.call("GET", "/v1/readyz", token=None).status == 200
        api.status.is_ready = False
        assert api.call("GET", "/v1/healthz", token=None).status == 200
        assert api.call("GET", "/v1/readyz", token=None).status == 503


class TestWatch:
    def events(self, transport):
        return Answer(transport.value()).lines

    def test_changes_and_heartbeats(self, api):
        api.call("PUT", "/v1/zones/poa", ZONE)
        _, transport = api.open("GET", "/v1/watch?from=1")
        api.call("PUT", "/v1/zones/cwb", ZONE)
        api.clock.advance(admin_watch.HEARTBEAT_INTERVAL_S)
        events = self.events(transport)
        assert [(e["event"], e["version"]) for e in events] == [
            ("heartbeat", 1),
            ("change", 2),
            ("heartbeat", 2),
        ]
        assert [c["name"] for c in events[1]["changes"]] == ["cwb"]

    def test_old_version_gets_a_snapshot(self, api):
        # Guards against a reader that misses a deletion among the forgotten changes.
        for number in range(70):
            api.call("PUT", "/v1/zones/poa", {"region": f"r{number}"})
        _, transport = api.open("GET", "/v1/watch?from=2")
        event = self.events(transport)[0]
        assert (event["event"], event["version"]) == ("snapshot", 70)
        _, transport = api.open("GET", "/v1/watch?from=99")
        assert [e["event"] for e in self.events(transport)] == ["heartbeat"]

    def test_slow_reader_is_disconnected(self, api):
        # Guards against a reader whose unread events fill the memory.
        _, transport = api.open("GET", "/v1/watch")
        transport.producer.pauseProducing()
        before = len(transport.value())
        for number in range(admin_watch.MAX_BUFFERED_EVENTS):
            api.call("PUT", "/v1/zones/poa", {"region": f"r{number}"})
        assert len(transport.value()) == before
        assert not transport.disconnecting
        api.call("PUT", "/v1/zones/poa", {"region": "last"})
        assert transport.disconnecting
        assert not api.api.watches.open

    def test_paused_reader_catches_up(self, api):
        _, transport = api.open("GET", "/v1/watch")
        transport.producer.pauseProducing()
        api.call("PUT", "/v1/zones/poa", ZONE)
        transport.producer.resumeProducing()
        assert self.events(transport)[-1]["event"] == "change"

    def test_number_of_watches_is_limited(self, api, monkeypatch):
        monkeypatch.setattr(admin_watch, "MAX_WATCHES", 1)
        protocol, _ = api.open("GET", "/v1/watch")
        answer = api.call("GET", "/v1/watch")
        assert answer.json["code"] == codes.TOO_MANY_WATCHES.number
        protocol.connectionLost(Exception())
        assert not api.api.watches.open
        _, transport = api.open("GET", "/v1/watch")
        api.site.doStop()
        assert json.loads(Answer(transport.value()).content) == {
            "event": "heartbeat",
            "version": 0,
        }
