from __future__ import annotations

import io
import json
from urllib.parse import urlsplit

import pytest
from twisted.internet import task
from twisted.web.test.requesthelper import DummyRequest

from briarspoke.standins.store import RateLimiter, StoreStandIn, StoreState


class FakeRequest(DummyRequest):
    """A request whose connection can be aborted."""

    def __init__(self, method, url, body):
        split = urlsplit(url)
        super().__init__([])
        self.method = method.encode()
        self.path = split.path.encode()
        for pair in filter(None, split.query.split("&")):
            name, _, value = pair.partition("=")
            self.args.setdefault(name.encode(), []).append(value.encode())
        self.content = io.BytesIO(b"" if body is None else json.dumps(body).encode())
        self.transport = self
        self.aborted = False
        self.responseCode = None

    def abortConnection(self):
        self.aborted = True

    @property
    def answer(self):
        if not self.finished:
            return None
        return self.responseCode, json.loads(b"".join(self.written))


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def store(clock):
    return StoreStandIn(reactor=clock, clock=clock.seconds, max_events=5)


@pytest.fixture
def call(clock, store):
    def send(method, url, body=None, seconds=0.01):
        request = FakeRequest(method, url, body)
        store.render(request)
        clock.advance(seconds)
        return request

    return send


PUT = {"value": "eA==", "expected_revision": 0, "lease": None}


class TestStoreState:
    def test_history_is_bounded_and_reports_missing_events(self):
        # Guards against a watcher that misses dropped events without an error.
        state = StoreState(max_events=3)
        for number in range(5):
            state.put(f"k{number}", b"x", 0, None)
        assert not state.covers(1)
        assert state.covers(2)
        assert [e[1] for e in state.events_after("k", 2)] == ["k2", "k3", "k4"]
        assert not state.covers(6)


class TestRateLimiter:
    def test_calls_are_delayed_in_order_and_excess_calls_refused(self):
        # Guards against a stand-in that accepts a higher rate than the platform.
        limiter = RateLimiter(calls_per_s=10.0)
        waits = [limiter.delay(5.0) for _ in range(30)]
        served = [w for w in waits if w is not None]
        assert served == sorted(served)
        assert len(served) == 11
        assert limiter.delay(6.0) is not None


class TestFaults:
    def test_write_with_a_lost_answer_takes_effect(self, call, store):
        # Guards against benches without writes whose answers are lost.
        call("POST", "/_faults", {"lose_answers": 1})
        assert call("PUT", "/v1/kv/a", PUT).aborted
        assert call("GET", "/v1/kv/a").answer[0] == 200

    def test_failed_write_has_no_effect(self, call):
        # Guards against a failed write that takes effect like one with a lost answer.
        call("POST", "/_faults", {"fail_writes": 1})
        assert call("PUT", "/v1/kv/a", PUT).answer[0] == 503
        assert call("GET", "/v1/kv/a").answer[0] == 404

    def test_outage_aborts_watches_and_ends(self, call, store):
        # Guards against pending watches that do not notice an outage.
        watch = call("GET", "/v1/watch?prefix=&after=0&wait_s=9")
        call("POST", "/_faults", {"down": True})
        assert watch.aborted
        assert call("GET", "/v1/kv/a").aborted
        call("POST", "/_faults", {"down": False})
        assert call("GET", "/v1/kv/a").answer[0] == 404

    def test_lease_expires_early_and_on_time(self, call, clock):
        # Guards against keys of an expired lease that remain until the next call.
        for cause in ("fault", "time"):
            lease = call("POST", "/v1/leases", {"ttl_s": 1.0}).answer[1]["lease"]
            put = call("PUT", "/v1/kv/a", {**PUT, "lease": lease})
            revision = put.answer[1]["revision"]
            watch = call("GET", f"/v1/watch?prefix=a&after={revision}&wait_s=9")
            assert watch.answer is None
            if cause == "fault":
                call("POST", "/_faults", {"lapse_leases": [lease]})
            else:
                clock.advance(1.0)
            assert watch.answer[1]["events"][0]["value"] is None
            assert call("POST", f"/v1/leases/{lease}/keepalive").answer[0] == 404

    def test_read_delay_does_not_delay_writes(self, call, clock):
        # Guards against a read delay that also delays writes.
        call("POST", "/_faults", {"read_delay_s": 1.0})
        read = call("GET", "/v1/kv/a")
        assert call("PUT", "/v1/kv/a", PUT).answer[0] == 200
        assert read.answer is None
        clock.advance(1.0)
        assert read.answer[0] == 200

    def test_stale_vm_list_is_served_until_the_fault_ends(self, call):
        # Guards against benches that cannot test decisions on an outdated VM list.
        vms = [{"id": "a"}]
        call("POST", "/_faults", {"vms": vms, "stale_vms": True})
        call("POST", "/_faults", {"vms": []})
        assert call("GET", "/v1/vms").answer[1]["vms"] == vms
        call("POST", "/_faults", {"stale_vms": False})
        assert call("GET", "/v1/vms").answer[1]["vms"] == []

    def test_unknown_fault_is_refused(self, call, store):
        # Guards against a bench that runs without its fault because of a misspelt name.
        answer = call("POST", "/_faults", {"down": True, "dwon": True}).answer
        assert answer[0] == 400
        assert not store.faults.down

    def test_watch_from_a_dropped_revision_is_refused(self, call):
        # Guards against a watcher that waits for events that were already dropped.
        for number in range(7):
            call("PUT", f"/v1/kv/k{number}", PUT)
        assert call("GET", "/v1/watch?prefix=k&after=1&wait_s=9").answer[0] == 410
