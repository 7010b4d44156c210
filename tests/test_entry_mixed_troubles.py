"""Tests of the time until a change is in force after a mixture of troubles."""

from __future__ import annotations

import pytest
from test_entry_lost_calls import SOUND_S
from trouble_mixtures import APPLY_S, SETUPS_BY_KIND, late_plays
from zone_mixtures import late_plays as late_zone_plays

from briarspoke.entry import httpclient, relays, repeating, view
from briarspoke.keyspace import leadership
from briarspoke.platform import keyvalue

PLAYS_BY_KIND = {"one": 60, "relay": 10, "lost-relay": 60, "slow-link": 30}
ZONE_PLAYS = 8


class TestChangeInForceAfterMixedTroubles:
    """Guards against a recovery whose steps are in time alone but not together."""

    @pytest.mark.parametrize("kind", sorted(SETUPS_BY_KIND))
    def test_last_version_is_in_force_in_time(self, kind):
        late_s_by_seed, _ = late_plays(kind, range(1, PLAYS_BY_KIND[kind] + 1))
        assert late_s_by_seed == {}


class TestChangeInForceBesideTroublesOfTheRelay:
    """Guards against a VM that nothing touched and that learns of a change too late."""

    def test_each_vm_in_touch_uses_each_version_in_time(self):
        assert late_zone_plays(range(1, ZONE_PLAYS + 1)) == {}


class TestSumOfARecovery:
    """Guards against a time limit that grows until the whole recovery is too long."""

    # Longest time that a sound path takes to open a connection and answer a small call:
    # each packet waits up to half a second behind those of callers on a link that does
    # not count as full.
    ANSWER_S = 0.5
    # Longest time that a sound path takes to carry all items.
    READ_S = 1.0

    def gap_s(self, repeat_s):
        """Returns the longest time between the beginnings of two copies of a call."""
        after_s, interval_s = repeat_s
        return max(after_s, repeating.MAX_SPREAD * interval_s)

    def test_of_a_vm_that_watches_the_store(self):
        noticed_s = view.MAX_PROOF_INTERVAL_S + keyvalue.WATCH_DOUBT_S
        assert noticed_s + self.ANSWER_S + self.ANSWER_S <= SOUND_S

    def test_of_a_vm_that_follows_a_relay(self):
        noticed_s = max(relays.HEARTBEAT_TIMEOUT_S, relays.MAX_PROOF_AGE_S)
        noticed_s += relays.CHECK_INTERVAL_S + view.MIN_WATCH_WAIT_S
        noticed_s += keyvalue.WATCH_DOUBT_S
        assert noticed_s + self.ANSWER_S <= SOUND_S

    def test_of_a_vm_that_nothing_touched(self):
        # Answer of the store on a path of its own that nothing has touched.
        answer_s = 0.3
        asked_s = relays.MAX_PROOF_AGE_S + relays.CHECK_INTERVAL_S
        assert asked_s + answer_s <= APPLY_S
        assert view.MAX_PROOF_INTERVAL_S + answer_s <= view.MAX_VIEW_AGE_S

    def test_of_a_vm_without_contact(self):
        asked_s = max(
            self.gap_s(keyvalue.PROBE_REPEAT_S),
            repeating.MAX_SPREAD * view.MAX_RETRY_S,
        )
        read_s = relays.RELAY_HEAD_START_S + self.READ_S
        assert asked_s + self.ANSWER_S + read_s <= SOUND_S

    def test_of_a_call_that_is_lost_while_all_items_are_read(self):
        lost_s = self.gap_s(keyvalue.READ_REPEAT_S)
        assert lost_s + self.ANSWER_S + self.READ_S <= SOUND_S

    def test_of_an_answer_that_stops_to_arrive(self):
        # One check sees the last bytes, the next one that there are no more.
        noticed_s = 2 * repeating.MAX_SILENCE_S
        assert noticed_s + self.ANSWER_S + self.ANSWER_S + self.READ_S <= SOUND_S

    def test_a_first_packet_that_was_lost_delays_no_step(self):
        gaps_s = (
            self.gap_s(keyvalue.PROBE_REPEAT_S),
            self.gap_s(keyvalue.READ_REPEAT_S),
            self.gap_s((keyvalue.WATCH_DOUBT_S, keyvalue.WATCH_REPEAT_INTERVAL_S)),
        )
        assert all(gap_s <= 1.0 for gap_s in gaps_s)
        assert httpclient.MAX_ATTEMPT_AGE_S <= 1.0

    def test_a_quiet_path(self):
        assert view.BATCH_DELAY_S + self.READ_S <= APPLY_S

    def test_the_lease_of_the_controller_outlasts_a_lost_renewal(self):
        lost_s = self.gap_s(keyvalue.RENEWAL_REPEAT_S)
        assert leadership.RENEWAL_INTERVAL_S + 2 * lost_s < leadership.LEASE_S
