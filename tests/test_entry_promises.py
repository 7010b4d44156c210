"""Which answers may promise that a request has not run."""

from __future__ import annotations

import json
import logging

import pytest
from entry_fakes import World, answer, configuration, request, route
from test_entry_requests import header, status_of

from briarspoke import codes
from briarspoke.entry import explanation

PROMISES = [408, 429, 503]
NO_PROMISES = [400, 404, 409, 413, 425, 500, 502, 504, 507]
UNSAFE_TYPES = ["unsafe", "upload"]


def start_world(route_type, *, keyed=False, max_attempts=2):
    world = World()
    routes = {
        "order": route(
            "orders",
            prefix="/order/",
            route_type=route_type,
            max_attempts=max_attempts,
        )
    }
    services = {"orders": {"health_path": "/h", "max_conns": 110, "sharded": keyed}}
    world.store.put("op/config", configuration(routes=routes, services=services))
    for number in (21, 22):
        world.add_server("orders", number)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def send(world, **options):
    """Sends an order; returns its caller and the server's side."""
    options = {"method": "POST", "path": "/order/1", "body": b"two crates", **options}
    caller = world.caller(world.node)
    caller.send(request(**options))
    server, _ = world.accept()
    assert server.take()
    return caller, server


def body_of(data):
    return json.loads(data.partition(b"\r\n\r\n")[2])


@pytest.mark.parametrize("route_type", UNSAFE_TYPES)
class TestRequestThatMustNotRunTwice:
    """Guards against an order that has run, is answered with a server's own 503, and is
    placed again by its caller.
    """

    @pytest.mark.parametrize("keyed", [False, True])
    @pytest.mark.parametrize("status", PROMISES)
    @pytest.mark.parametrize("signature", ["sig", None])
    @pytest.mark.parametrize("extra", ["", "Retry-After: 1"])
    def test_status_of_a_run_is_withheld(
        self, route_type, keyed, status, signature, extra
    ):
        world = start_world(route_type, keyed=keyed)
        caller, server = send(world)
        server.send(answer(status, body=b"own", signature=signature, extra=extra))
        got = caller.take()
        assert status_of(got) == 502
        assert body_of(got)["code"] == codes.ANSWER_WITHHELD.number
        assert body_of(got)["run"] == "unknown"
        assert header(got, b"response-signature") is None
        assert header(got, b"retry-after") is None
        assert header(got, b"request-id") == b"r1"
        assert not world.reactor.tcpClients

    @pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE"])
    def test_method_does_not_matter(self, route_type, method):
        world = start_world(route_type)
        caller, server = send(world, method=method, body=b"")
        server.send(answer(503))
        assert status_of(caller.take()) == 502

    @pytest.mark.parametrize("status", NO_PROMISES)
    def test_other_statuses_pass_unchanged(self, route_type, status):
        world = start_world(route_type)
        caller, server = send(world)
        server.send(answer(status, body=b"own"))
        got = caller.take()
        assert status_of(got) == status and got.endswith(b"\r\n\r\nown")
        assert header(got, b"response-signature") == b"sig"

    @pytest.mark.parametrize("status", PROMISES)
    def test_after_an_attempt_that_has_not_run(self, route_type, status):
        world = start_world(route_type)
        caller, server = send(world)
        server.send(answer(503, extra="Not-Executed: 1", signature=None))
        again, _ = world.accept()
        again.send(answer(status))
        assert status_of(caller.take()) == 502

    @pytest.mark.parametrize("status", [429, 503])
    def test_refusal_of_a_server_stays_a_promise(self, route_type, status):
        world = start_world(route_type, max_attempts=1)
        caller, server = send(world)
        server.send(answer(status, extra="Not-Executed: 1", signature=None))
        got = caller.take()
        assert status_of(got) == 503
        assert body_of(got)["run"] == "no"
        assert float(header(got, b"retry-after")) > 0

    def test_it_is_not_sent_again(self, route_type):
        world = start_world(route_type)
        caller, server = send(world)
        server.send(answer(503))
        caller.take()
        world.advance(2.0)
        assert not server.take() and not world.reactor.tcpClients


class TestRequestThatMayRunTwice:
    """Guards against a failure of ours in place of the server's own answer."""

    @pytest.mark.parametrize("status", [*PROMISES, *NO_PROMISES])
    def test_it_gets_the_own_answer_of_the_server(self, status):
        world = start_world("safe", max_attempts=1)
        caller, server = send(world)
        server.send(answer(status, body=b"own"))
        got = caller.take()
        assert status_of(got) == status and got.endswith(b"\r\n\r\nown")
        assert header(got, b"response-signature") == b"sig"


class TestTraces:
    """Guards against a withheld answer whose status nobody can find out."""

    def test_log_and_explanation_show_both_statuses(self, caplog):
        caplog.set_level(logging.INFO)
        world = start_world("unsafe")
        caller, server = send(world)
        server.send(answer(503))
        assert status_of(caller.take()) == 502
        lines = [
            f"2026-12-07T04:00:00.000Z INFO {record.getMessage()}"
            for record in caplog.records
        ]
        attempt, result = explanation.find("r1", {"vm": lines}).lines
        assert attempt.fields["reason"] == "status-503"
        assert attempt.fields["server"].startswith("s-2")
        assert result.fields["status"] == "502"
        assert result.fields["server_status"] == "503"
        assert result.fields["code"] == "3105"

    def test_metrics_count_the_status_of_the_server(self):
        world = start_world("unsafe")
        for number, status in enumerate((503, 503, 429)):
            caller, server = send(world, request_id=f"r{number}")
            server.send(
                answer(status, request_id=f"r{number}", extra="Connection: close")
            )
            assert status_of(caller.take()) == 502
        metrics = world.node.metrics
        assert metrics.value("withheld_answers_total", 503) == 2
        assert metrics.value("withheld_answers_total", 429) == 1
        assert metrics.value("refusals_total", codes.ANSWER_WITHHELD.number) == 3
