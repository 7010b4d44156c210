from __future__ import annotations

import json

import pytest

from briarspoke.platform import headers
from briarspoke.standins.platform_http import Exchange, PlatformStoreStandIn
from briarspoke.standins.platform_store import PendingWatch, StoreModel


@pytest.fixture
def clock():
    return [10.0]


@pytest.fixture
def store(clock):
    store = StoreModel(clock=lambda: clock[0])
    store.put("a", b"1")
    return store


def post(store, path, body=None):
    return store.call("POST", f"/briarspoke/{path}", json.dumps(body or {}).encode())


def watch(store, after):
    path = f"/briarspoke/kv-watch?prefix=&after={after}&wait_ms=1000"
    return store.call("GET", path, b"")


class TestRestore:
    def test_changes_since_the_copy_are_lost(self, store):
        copy = store.copy()
        store.put("a", b"2")
        store.put("b", b"3")
        store.restore(copy)
        assert {key: item["value"] for key, item in store.items.items()} == {"a": b"1"}

    def test_copy_can_be_restored_twice(self, store):
        copy = store.copy()
        for _ in range(2):
            store.restore(copy)
            store.put("b", b"3")
        store.restore(copy)
        assert "b" not in store.items
        assert store.era == 4

    def test_revisions_are_given_out_again(self, store):
        copy = store.copy()
        store.put("b", b"2")
        revision = store.revision
        store.restore(copy)
        store.put("c", b"3")
        assert store.revision == revision
        assert [
            event["key"] for event in watch(store, revision - 1).body["events"]
        ] == ["c"]

    def test_leases_are_given_out_again(self, store):
        copy = store.copy()
        lease = post(store, "kv-lease", {"ttl_time": "1000ms"}).body["lease"]
        store.restore(copy)
        assert post(store, f"kv-keep/{lease}").status == 404
        again = post(store, "kv-lease", {"ttl_time": "1000ms"}).body["lease"]
        assert again == lease
        assert post(store, f"kv-keep/{lease}").status == 200

    def test_leases_of_the_copy_run_on(self, store, clock):
        lease = post(store, "kv-lease", {"ttl_time": "1000ms"}).body["lease"]
        store.put("b", b"2", lease)
        clock[0] += 0.4
        copy = store.copy()
        clock[0] += 5.0
        store.restore(copy)
        clock[0] += 0.5
        store.expire()
        assert "b" in store.items
        clock[0] += 0.2
        store.expire()
        assert "b" not in store.items

    def test_pending_watch_of_a_lost_revision_gets_410(self, store):
        copy = store.copy()
        store.put("b", b"2")
        pending = watch(store, store.revision)
        assert isinstance(pending, PendingWatch)
        store.restore(copy)
        assert store.poll_watch(pending).status == 410
        assert watch(store, store.revision + 1).status == 410
        assert isinstance(watch(store, store.revision), PendingWatch)


class Connection:
    """Records the answers to an exchange."""

    disconnected = False

    def __init__(self):
        self.transport = self
        self.written = b""

    def write(self, data):
        self.written += data


class TestEraHeader:
    @pytest.mark.parametrize(
        ("method", "path", "body", "status"),
        [
            ("GET", "kv-key?key=a", {}, 200),
            ("GET", "kv-key?key=x", {}, 404),
            ("GET", "kv-range?prefix=", {}, 200),
            ("GET", "kv-watch?prefix=&after=0&wait_ms=9", {}, 200),
            ("GET", "kv-watch?prefix=&after=9&wait_ms=9", {}, 410),
            ("POST", "kv-txn", {"precondition": [{"key": "a", "rev": 9}]}, 412),
            ("POST", "kv-keep/9", {}, 404),
            ("GET", "unknown", {}, 404),
        ],
    )
    def test_every_answer_has_it(self, store, method, path, body, status):
        store.restore(store.copy())
        reply = store.call(method, f"/briarspoke/{path}", json.dumps(body).encode())
        assert reply.status == status
        assert reply.headers == [(headers.STORE_ERA, b"2")]

    @pytest.mark.parametrize("outage", ["", "busy"])
    def test_it_is_sent_over_http(self, store, outage):
        stand_in = PlatformStoreStandIn(reactor=None, model=store)
        stand_in.outage = outage
        connection = Connection()
        stand_in.handle(
            Exchange(
                method=b"GET",
                target=b"/briarspoke/kv-key?key=a",
                headers={},
                body=b"",
                connection=connection,
            )
        )
        assert b"\r\nstore-era: 1\r\n" in connection.written
