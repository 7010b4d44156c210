"""Settings, metrics, documents, retry budget and timers of an entry VM."""

from __future__ import annotations

import json

import pytest
from entry_fakes import (
    SETTINGS,
    World,
    answer,
    configuration,
    registration,
    request,
    route,
)

from briarspoke.entry import settings as entry_settings
from briarspoke.entry.budget import RetryBudget
from briarspoke.entry.gauges import LoopLag
from briarspoke.entry.timers import Timers
from briarspoke.platform import documents, values
from briarspoke.settings import InvalidValuesError


class TestSettings:
    def test_durations_and_addresses_are_decoded(self):
        settings = entry_settings.parse(SETTINGS, "test")
        assert settings.drain_s == 2.0
        assert settings.max_hold_s == 10.0
        assert (settings.store.host, settings.store.port) == ("10.0.0.1", 80)

    def test_every_problem_is_reported(self):
        # Guards against reporting only the first problem, so that an operator needs one
        # start of the process per problem.
        wrong = {**SETTINGS, "store": "nowhere", "grace_s": "soon", "extra": 1}
        del wrong["node"]
        with pytest.raises(InvalidValuesError) as raised:
            entry_settings.parse(wrong, "test")
        paths = {problem.path for problem in raised.value.problems}
        assert paths == {"$.store", "$.grace_s", "$.extra", "$.node"}


class TestMetricsPage:
    @pytest.fixture
    def world(self):
        world = World()
        world.store.put("op/config", configuration())
        world.add_server("stock", 11)
        world.node = world.add_node()
        world.advance(3.0)
        return world

    def samples(self, world):
        """Returns ``{metric with labels: value}`` of the metrics page."""
        lines = world.node.metrics.render().decode().splitlines()
        pairs = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
        return {
            name.replace('node="front-poa-1"', "").replace(",}", "}"): float(value)
            for name, value in pairs
        }

    def test_request_times_are_in_the_histograms(self, world):
        # Guards against a slow stage of a request that no histogram shows.
        caller = world.caller(world.node)
        caller.send(request())
        server, _ = world.accept()
        world.reactor.advance(0.4)
        server.send(answer())
        found = self.samples(world)
        times = {
            name: value for name, value in found.items() if "_seconds_bucket" in name
        }
        assert any("server_seconds" in name for name in times)
        slow = [n for n in times if "request_seconds" in n and 'le="0.5"' in n]
        fast = [n for n in times if "request_seconds" in n and 'le="0.25"' in n]
        assert [times[n] for n in slow] == [1.0]
        assert [times[n] for n in fast] == [0.0]

    def test_state_of_the_node_is_shown(self, world):
        found = self.samples(world)
        assert found["briarspoke_configuration_version{}"] == 4
        assert found["briarspoke_servers_known{}"] == 1
        assert found["briarspoke_controls{}"] == 1
        assert found["briarspoke_store_reachable{}"] == 1
        assert found["briarspoke_store_age_seconds{}"] < 3.0

    def test_loop_lag_is_reset_when_read(self):
        lag = LoopLag(period_s=0.05)
        for now in (1.0, 1.05, 1.4, 1.45):
            lag.record_call(now)
        assert 0.29 < lag.take() < 0.31
        assert lag.take() == 0.0


class TestConfigurationDocument:
    def test_longest_prefix_wins(self):
        routes = {
            "short": route("a", prefix="/x/"),
            "long": route("a", prefix="/x/y/"),
        }
        services = {"a": {"health_path": "/h", "max_conns": 1}}
        table = documents.decode_configuration(
            configuration(routes=routes, services=services)
        )
        assert table.find(b"shop.example", b"/x/y/z").name == "long"
        assert table.find(b"shop.example", b"/x/yy").name == "short"
        assert table.find(b"shop.example", b"/xy") is None
        assert table.find(b"other.example", b"/x/y") is None

    @pytest.mark.parametrize(
        "change",
        [
            {"config_version": "12"},
            {"routes": []},
            {"routes": {"r": route("missing")}},
            {"routes": {"r": route("stock", route_type="maybe")}},
            {"routes": {"r": route("stock", timeout="soon")}},
            {"limits": {}},
        ],
    )
    def test_unusable_configurations_are_rejected_as_a_whole(self, change):
        # Guards against a configuration of which only the valid part comes into force.
        body = {**json.loads(configuration()), **change}
        with pytest.raises(values.DecodeError):
            documents.decode_configuration(json.dumps(body).encode())

    @pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff\xfe"])
    def test_other_data_is_rejected(self, data):
        with pytest.raises(values.DecodeError):
            documents.decode_configuration(data)


class TestServerEntry:
    def test_fields_are_decoded(self):
        record = documents.decode_server(
            "servers/s-1", registration("stock", 1, state="draining")
        )
        assert record.server_instance == ("s-1", 1)
        assert record.sequence == 1
        assert record.draining
        assert (record.host, record.port) == ("10.0.9.1", 80)

    @pytest.mark.parametrize(
        "change",
        [
            {"service": 5},
            {"address": "nowhere"},
            {"state": "resting"},
            {"born": "early"},
            {"seq": "first"},
            {"seq": 1.5},
            {"seq": True},
            {"slots": None},
            {"zone": None},
        ],
    )
    def test_malformed_registrations_are_rejected(self, change):
        with pytest.raises(values.DecodeError):
            body = {**json.loads(registration("stock", 1)), **change}
            documents.decode_server("servers/s-1", json.dumps(body).encode())


class TestRetryBudget:
    def budget(self):
        return RetryBudget(ratio=0.2, slack=10, window_s=10.0)

    def test_all_nodes_together_stay_within_the_shared_budget(self):
        # Guards against entry VMs that each spend the whole slack.
        nodes = 5
        spent = 0
        for _ in range(nodes):
            budget = self.budget()
            for _ in range(100):
                budget.count_request(1000.0)
            spent += sum(budget.spend(1000.0, nodes) for _ in range(100))
        assert 0 < spent <= 0.2 * 100 * nodes + 10

    def test_requests_no_longer_count_after_the_window(self):
        budget = self.budget()
        for _ in range(100):
            budget.count_request(1000.0)
        assert budget.spend(1001.0, 100)
        assert not budget.spend(1020.0, 100)


class TestTimers:
    class Item:
        def __init__(self):
            self.called_at = []
            self.next_times = []

        def on_timer(self, now):
            self.called_at.append(now)
            return self.next_times.pop() if self.next_times else None

    def test_items_are_called_at_their_times(self):
        from twisted.internet.task import Clock

        clock = Clock()
        timers = Timers(reactor=clock, clock=clock.seconds)
        late, early = self.Item(), self.Item()
        early.next_times = [0.5]
        timers.add(1.0, late)
        timers.add(0.2, early)
        for _ in range(120):
            clock.advance(0.01)
        assert [round(at, 1) for at in early.called_at] == [0.2, 0.5]
        assert [round(at, 1) for at in late.called_at] == [1.0]
        assert not clock.getDelayedCalls()
