from __future__ import annotations

import pytest
from twisted.internet import defer, task

from briarspoke.platform.store import (
    StoreClient,
    StoreError,
    StoreUnavailableError,
)


class TestReachability:
    """Guards against an alarm that misses a store outage or continues after its end."""

    @pytest.mark.parametrize(
        ("outcome", "expected"),
        [
            ((200, {"revision": 1, "entries": []}), True),
            ((410, {}), True),
            ((500, {}), False),
            (StoreUnavailableError("down"), False),
        ],
    )
    @pytest.mark.parametrize("before", [True, False])
    def test_reachability_is_that_of_the_last_call(
        self, monkeypatch, outcome, expected, before
    ):
        client = StoreClient(reactor=task.Clock(), base_url="http://127.0.0.1:1")
        client.is_reachable = before
        is_error = isinstance(outcome, Exception)
        result = defer.fail(outcome) if is_error else defer.succeed(outcome)
        monkeypatch.setattr(client, "_exchange", lambda *arguments: result)
        client.list("config").addErrback(lambda failure: failure.trap(StoreError))
        assert client.is_reachable is expected
