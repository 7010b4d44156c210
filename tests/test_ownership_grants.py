from __future__ import annotations

import pytest

from briarspoke.ownership.events import GrantAnswered, GrantFailed
from briarspoke.ownership.grants import ServerGrants, grants_digest
from briarspoke.ownership.timing import GRANT_S, GRANT_WAIT_S

HELD = {"s/1": 4}


class GrantsDriver:
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

    def after_first_answer(self):
        self.answer(self.send(0.0, renew=False), 0.0)
        return self


class TestExpiry:
    def test_grant_ends_by_the_servers_clock(self):
        # A grant that counted from its sending would outlast the controller's wait.
        driver = GrantsDriver().after_first_answer()
        call = driver.send(0.4)
        assert call.expires_at == 100.0 + GRANT_S
        assert driver.grants.granted_until == GRANT_WAIT_S

    def test_wait_covers_the_slowest_clock(self):
        # A wait of 2.0 s times 1.02 is too short for a clock at 98% of the local rate.
        assert GRANT_WAIT_S * 0.98 >= GRANT_S - 1e-9

    def test_refused_call_does_not_extend(self):
        # Otherwise partitions of a stopped server would stay without an owner for
        # longer than necessary.
        driver = GrantsDriver().after_first_answer()
        driver.answer(driver.send(0.4), 0.4)
        driver.fail(driver.send(0.8), 0.8, refused=True)
        assert driver.grants.granted_until == GRANT_WAIT_S

    def test_lost_call_extends(self):
        # A call without an answer may have been delivered.
        driver = GrantsDriver().after_first_answer()
        driver.answer(driver.send(0.4), 0.4)
        driver.fail(driver.send(0.8), 1.1, refused=False)
        assert driver.grants.granted_until == 0.4 + GRANT_WAIT_S
        assert not driver.grants.all_expired(2.0)
        assert driver.grants.all_expired(0.4 + GRANT_WAIT_S)

    def test_old_reading_grants_nothing(self):
        # A grant computed from an old clock reading expires too soon to be useful.
        assert GrantsDriver().after_first_answer().send(1.6).expires_at is None


class TestRevoke:
    @pytest.mark.parametrize("busy", [(), ("s/1",)])
    def test_busy_partition_is_not_released(self, busy):
        # Otherwise the new owner would run requests concurrently with those in flight.
        driver = GrantsDriver().after_first_answer()
        call = driver.send(0.4, wanted={}, revoke=["s/1"])
        driver.answer(call, 0.4, busy=busy)
        assert (driver.grants.released == {"s/1"}) is (not busy)

    def test_lost_call_delays_the_release(self):
        # The lost call could arrive after the revocation and grant the partition again.
        driver = GrantsDriver().after_first_answer()
        driver.fail(driver.send(0.4), 0.75, refused=False)
        driver.answer(driver.send(0.8, wanted={}, revoke=["s/1"]), 0.8)
        assert not driver.grants.released
        driver.answer(driver.send(1.2, wanted={}, revoke=["s/1"]), 1.2)
        assert not driver.grants.released
        driver.answer(driver.send(2.1, wanted={}, revoke=["s/1"]), 2.1)
        assert driver.grants.released == {"s/1"}

    def test_release_of_an_earlier_move_does_not_count(self):
        # Otherwise a move that was cancelled and started again would complete
        # immediately.
        driver = GrantsDriver().after_first_answer()
        driver.answer(driver.send(0.4, wanted={}, revoke=["s/1"]), 0.4)
        driver.send(0.8)
        assert not driver.grants.released

    def test_call_that_was_not_applied_releases_nothing(self):
        # The server ignores a call that arrives out of order or has expired.
        driver = GrantsDriver().after_first_answer()
        call = driver.send(0.4, wanted={}, revoke=["s/1"])
        call.digest = grants_digest(HELD)
        driver.answer(call, 0.4)
        assert not driver.grants.released


class TestTrust:
    def test_restarted_server_needs_a_later_confirmation(self):
        # A restarted server has lost higher terms and accepts any term.
        driver = GrantsDriver().after_first_answer()
        driver.grants.confirm(0.1)
        assert driver.grants.trusted
        driver.answer(driver.send(0.4), 0.4, incarnation="2")
        driver.grants.confirm(0.3)
        assert not driver.grants.trusted
        driver.grants.confirm(0.5)
        assert driver.grants.trusted

    def test_stopped_clock_is_noticed(self):
        # A controller whose clock had stopped would renew grants after its lease.
        driver = GrantsDriver().after_first_answer()
        driver.answer(driver.send(0.4), 0.4, clock=103.0)
        assert driver.grants.clock_stopped

    def test_answer_from_before_a_pause_proves_nothing(self):
        # The server may have received another term during the pause.
        driver = GrantsDriver().after_first_answer()
        call = driver.send(0.4)
        driver.grants.paused(9.0)
        assert not driver.answer(call, 9.0)
        assert not driver.grants.verified
        assert not driver.grants.is_unreachable(9.0)
