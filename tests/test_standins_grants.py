from __future__ import annotations

import pytest

from briarspoke.ownership.grants import grants_digest
from briarspoke.standins.grants import GrantTable

PATH = "/_control/grants"


@pytest.fixture
def clock():
    return [10.0]


@pytest.fixture
def table(clock):
    return GrantTable(server="a", clock=lambda: clock[0])


def call(
    table,
    *,
    term=5,
    grants=None,
    digest="",
    revoke=(),
    expires_at=12.0,
    incarnation="1",
):
    body = {
        "zone": "z",
        "term": term,
        "server": "a",
        "grants": grants,
        "digest": digest,
        "revoke": list(revoke),
        "expires_at": expires_at,
        "incarnation": incarnation,
    }
    return table.control(PATH, body)


class TestGrantTable:
    def test_grant_expires(self, table, clock):
        # Guards against a server that keeps a partition while it is cut off from its
        # controller.
        assert call(table, grants={"s/1": 3})[0] == 200
        assert table.holds("s/1", 3)
        clock[0] = 12.0
        assert not table.holds("s/1", 3)

    def test_lower_term_is_refused(self, table):
        # Guards against a replaced controller that keeps granting partitions.
        call(table, term=9, grants={})
        assert call(table, term=8, grants={"s/1": 3})[0] == 409
        assert not table.held

    def test_reading_the_clock_raises_the_term(self, table):
        # Guards against an old controller that still grants after the first call of a
        # new one.
        call(table, term=9, expires_at=None)
        assert call(table, term=8, grants={"s/1": 3})[0] == 409

    def test_lower_epoch_is_refused(self, table):
        # Guards against a delayed grant that restores an earlier ownership.
        call(table, grants={"s/1": 3})
        call(table, grants={"s/1": 2})
        assert not table.held

    def test_grant_for_an_earlier_incarnation_is_refused(self, table):
        # Guards against an old grant that lasts too long because the clock of the
        # server started again.
        table.restart("2")
        assert call(table, grants={"s/1": 3}, incarnation="1")[0] == 409

    def test_grant_is_never_longer_than_two_seconds(self, table, clock):
        # Guards against a wrong clock reading that lets a grant last longer than the
        # controller waits for its expiry.
        call(table, grants={"s/1": 3}, expires_at=500.0)
        assert table.expires_at == clock[0] + 2.0

    def test_overtaken_call_is_ignored(self, table, clock):
        # Guards against a call that a later one overtook and that restores a revoked
        # partition until the grant expires.
        call(table, grants={"s/1": 3}, expires_at=11.8)
        call(table, grants={}, revoke=["s/1"], expires_at=12.0)
        assert call(table, grants={"s/1": 3}, expires_at=11.8)[0] == 200
        assert not table.held

    def test_call_with_another_digest_extends_no_grant(self, table):
        # Guards against a renewal of partitions that the controller has moved away.
        call(table, grants={"s/1": 3}, expires_at=11.0)
        call(table, digest=grants_digest({}), expires_at=12.0)
        assert table.expires_at == 11.0
        call(table, digest=grants_digest({"s/1": 3}), expires_at=12.0)
        assert table.expires_at == 12.0

    def test_revoked_partition_is_busy_until_its_requests_end(self, table):
        # Guards against a move that completes while the old owner still runs requests.
        call(table, grants={"s/1": 3})
        table.request_started("s/1")
        assert call(table, grants={}, revoke=["s/1"])[1]["busy"] == ["s/1"]
        assert not table.holds("s/1", 3)
        table.request_ended("s/1")
        assert call(table, grants={}, revoke=["s/1"])[1]["busy"] == []

    def test_interval_ends_with_the_revocation(self, table, clock):
        # Guards against wrong intervals, from which the benches detect two owners.
        call(table, grants={"s/1": 3})
        clock[0] = 10.5
        call(table, grants={}, revoke=["s/1"])
        assert [(i.begin, i.end) for i in table.intervals] == [(10.0, 10.5)]

    @pytest.mark.parametrize("body", [{}, [], {"server": "a"}, None])
    def test_malformed_call_is_rejected(self, table, body):
        # Guards against an exception that stops the server.
        assert table.control(PATH, body)[0] == 400

    @pytest.mark.parametrize(
        ("partition", "epoch", "owner", "reason"),
        [
            (b"s/1", b"3", b"a", None),
            (b"s/1", b"4", b"a", "other-epoch"),
            (b"s/2", b"3", b"a", "not-held"),
            (b"s/1", b"3", b"b", "other-server"),
            (b"s/1", b"", b"a", "no-epoch"),
        ],
    )
    def test_fence_reason(self, table, partition, epoch, owner, reason):
        # Guards against running a request that was routed by an outdated table.
        call(table, grants={"s/1": 3})
        headers = {
            b"briarspoke-partition": partition,
            b"briarspoke-epoch": epoch,
            b"briarspoke-owner": owner,
        }
        assert table.fence_reason(headers) == reason
