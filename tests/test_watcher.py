from __future__ import annotations

import random

import pytest
from twisted.internet import defer, task

from briarspoke.membership.documents import Documents
from briarspoke.platform import watcher as module
from briarspoke.platform.store import (
    StoredValue,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from briarspoke.platform.watcher import StoreWatcher


class FakeStore:
    """Records the calls of the watcher; the test fires their Deferreds."""

    def __init__(self):
        self.calls = []

    def list(self, prefix):
        return self._call("list", prefix)

    def watch(self, prefix, *, after, wait_s):
        return self._call(f"watch>{after}", prefix)

    def _call(self, kind, prefix):
        deferred = defer.Deferred()
        self.calls.append((kind, prefix, deferred))
        return deferred

    def pending(self, prefix):
        kind, _, deferred = [c for c in self.calls if c[1] == prefix][-1]
        return kind, deferred


def stored(key, revision, value=b"x"):
    return StoredValue(key=key, value=value, revision=revision)


class Setup:
    def __init__(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.documents = Documents()
        self.watcher = StoreWatcher(
            reactor=self.clock,
            store=self.store,
            documents=self.documents,
            rng=random.Random(1),
        )

    def answer(self, prefix, expected, result):
        kind, deferred = self.store.pending(prefix)
        assert kind == expected
        if isinstance(result, Exception):
            deferred.errback(result)
        else:
            deferred.callback(result)


@pytest.fixture
def setup():
    setup = Setup()
    setup.watcher.set_active(True)
    return setup


class TestStoreWatcher:
    def test_watch_begins_at_the_revision_of_the_listing(self, setup):
        # Guards against a gap between the listing and the first watch.
        setup.answer("ownership/", "list", (7, [stored("ownership/a", 5)]))
        setup.answer("ownership/", "watch>7", (9, [stored("ownership/a", 9, None)]))
        assert setup.store.pending("ownership/")[0] == "watch>9"
        assert setup.documents.version("ownership/a") == 9
        assert setup.documents.by_key["ownership/a"].content == b""

    def test_only_the_key_config_is_taken(self, setup):
        # Guards against documents of other keys that begin with the same word.
        setup.answer(
            "config", "list", (7, [stored("config-old", 5), stored("config", 6)])
        )
        assert setup.documents.digest() == {"config": 6}

    def test_deletion_during_an_outage_is_found_by_the_next_listing(self, setup):
        # Guards against an expired controller record that is kept indefinitely.
        setup.answer("controllers/", "list", (4, [stored("controllers/z", 4)]))
        setup.answer("controllers/", "watch>4", StoreUnavailableError("down"))
        setup.clock.advance(module.MAX_BACKOFF_S)
        setup.answer("controllers/", "list", (8, []))
        assert setup.documents.by_key["controllers/z"].content == b""
        assert setup.documents.version("controllers/z") == 8

    def test_backs_off_during_an_outage(self, setup):
        # Guards against watchers that overload a store which is recovering.
        for _ in range(200):
            _, deferred = setup.store.pending("config")
            if not deferred.called:
                deferred.errback(StoreUnavailableError("down"))
            setup.clock.advance(0.1)
        calls = [c for c in setup.store.calls if c[1] == "config"]
        assert 8 <= len(calls) <= 30

    def test_lists_again_when_the_history_is_gone(self, setup):
        # Guards against a watcher that retries a watch which cannot succeed.
        setup.answer("config", "list", (3, []))
        setup.answer("config", "watch>3", StoreHistoryGoneError("gone"))
        assert setup.store.pending("config")[0] == "list"

    def test_no_calls_after_the_stop(self, setup):
        # Guards against watches that continue after they are stopped.
        setup.watcher.set_active(False)
        count = len(setup.store.calls)
        setup.clock.advance(60)
        assert len(setup.store.calls) == count
        assert not setup.watcher.is_active
