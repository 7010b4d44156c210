from __future__ import annotations

import pytest

from briarspoke.ownership.events import GrantAnswered, GrantFailed
from briarspoke.ownership.grants import ServerGrants, grants_digest
from briarspoke.ownership.timing import GRANT_S, GRANT_WAIT_S

HELD = {"s/1": 4}


class Calls:
    """Drives a :class:`ServerGrants` with a server whose clock is 100 ahead."""

    def __init__(self):
        self.grants = ServerGrants(name="a", known_since=0.0)

    def send(self, now, *, wanted=HELD, revoke=(), renew=True):
        return self.grants.next_call(
            now=now,
            address="127.0.0.1:1",
            zone="z",
            term=5,
            wanted=wanted,
            digest=grants_digest(wanted),
            revoke=revoke,
            renew=renew,
        )

    def answer(self, call, now, *, incarnation="1", busy=(), accepted=True, clock=None):
        event = GrantAnswered(
            server="a",
            call_id=call.call_id,
            accepted=accepted,
            clock=now + 100 if clock is None else clock,
            incarnation=incarnation,
            term=5,
            digest=call.digest,
            busy=frozenset(busy),
        )
        return self.grants.answered(event, now)

    def fail(self, call, now, *, refused):
        event = GrantFailed(server="a", call_id=call.call_id, refused=refused)
        self.grants.failed(event, now)

    def met(self):
        self.answer(self.send(0.0, renew=False), 0.0)
        return self


class TestExpiry:
    def test_grant_ends_by_the_servers_clock(self):
        # A grant counted from its sending would outlive the controller's wait.
        calls = Calls().met()
        call = calls.send(0.4)
        assert call.expires_at == 100.0 + GRANT_S
        assert calls.grants.granted_until == GRANT_WAIT_S

    def test_wait_covers_the_slowest_clock(self):
        # 2.0 s times 1.02 is too short for a clock at 98% of the local rate.
        assert GRANT_WAIT_S * 0.98 >= GRANT_S - 1e-9

    def test_refused_call_does_not_extend(self):
        # A server that is down would stay unowned longer than necessary.
        calls = Calls().met()
        calls.answer(calls.send(0.4), 0.4)
        calls.fail(calls.send(0.8), 0.8, refused=True)
        assert calls.grants.granted_until == GRANT_WAIT_S

    def test_lost_call_extends(self):
        # A call without an answer may have been delivered.
        calls = Calls().met()
        calls.answer(calls.send(0.4), 0.4)
        calls.fail(calls.send(0.8), 1.1, refused=False)
        assert calls.grants.granted_until == 0.4 + GRANT_WAIT_S
        assert not calls.grants.all_expired(2.0)
        assert calls.grants.all_expired(0.4 + GRANT_WAIT_S)

    def test_old_reading_grants_nothing(self):
        # A grant that is nearly over would only confuse the server's record.
        assert Calls().met().send(1.6).expires_at is None


class TestRevoke:
    @pytest.mark.parametrize("busy", [(), ("s/1",)])
    def test_busy_partition_is_not_released(self, busy):
        # The new owner would run requests beside those still in flight.
        calls = Calls().met()
        call = calls.send(0.4, wanted={}, revoke=["s/1"])
        calls.answer(call, 0.4, busy=busy)
        assert (calls.grants.released == {"s/1"}) is (not busy)

    def test_lost_call_delays_the_release(self):
        # The lost call could arrive after the revocation and grant again.
        calls = Calls().met()
        calls.fail(calls.send(0.4), 0.75, refused=False)
        calls.answer(calls.send(0.8, wanted={}, revoke=["s/1"]), 0.8)
        assert not calls.grants.released
        calls.answer(calls.send(1.2, wanted={}, revoke=["s/1"]), 1.2)
        assert not calls.grants.released
        calls.answer(calls.send(2.1, wanted={}, revoke=["s/1"]), 2.1)
        assert calls.grants.released == {"s/1"}

    def test_release_of_an_earlier_move_does_not_count(self):
        # A move that was taken back and begun again would complete at once.
        calls = Calls().met()
        calls.answer(calls.send(0.4, wanted={}, revoke=["s/1"]), 0.4)
        calls.send(0.8)
        assert not calls.grants.released

    def test_call_that_was_not_applied_releases_nothing(self):
        # The server ignores a call that was overtaken or has expired.
        calls = Calls().met()
        call = calls.send(0.4, wanted={}, revoke=["s/1"])
        call.digest = grants_digest(HELD)
        calls.answer(call, 0.4)
        assert not calls.grants.released


class TestTrust:
    def test_restarted_server_needs_a_later_confirmation(self):
        # A restarted server has forgotten higher terms and accepts any.
        calls = Calls().met()
        calls.grants.confirm(0.1)
        assert calls.grants.trusted
        calls.answer(calls.send(0.4), 0.4, incarnation="2")
        calls.grants.confirm(0.3)
        assert not calls.grants.trusted
        calls.grants.confirm(0.5)
        assert calls.grants.trusted

    def test_stopped_clock_is_noticed(self):
        # A controller whose clock stood still would miscount its authority.
        calls = Calls().met()
        calls.answer(calls.send(0.4), 0.4, clock=103.0)
        assert calls.grants.clock_stopped

    def test_answer_from_before_a_pause_proves_nothing(self):
        # Another term may have reached the server during the pause.
        calls = Calls().met()
        call = calls.send(0.4)
        calls.grants.paused(9.0)
        assert not calls.answer(call, 9.0)
        assert not calls.grants.verified
        assert not calls.grants.is_unreachable(9.0)
