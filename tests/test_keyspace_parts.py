"""Key maps, grant logs and placement."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarspoke.keyspace import keymap, placement
from briarspoke.keyspace.grantlog import MAX_TRANSIT_S, GrantLog, expiry_time, transit_s
from briarspoke.keyspace.load import LoadCounts, LoadEstimate
from briarspoke.keyspace.tokens import FencingTokens

SERVERS = [("a", 1), ("b", 1), ("c", 1)]


def candidates(latencies=(0.1, 0.1, 0.1)):
    return [
        placement.Candidate(
            server_instance=server_instance, slots=4, latency_s=latency_s
        )
        for server_instance, latency_s in zip(SERVERS, latencies, strict=True)
    ]


def owner(server_instance, fence):
    return keymap.Owner(
        server_id=server_instance[0], incarnation=server_instance[1], fence=fence
    )


def counts(requests, latencies=()):
    return LoadCounts(requests=requests, latencies=dict(latencies), rejections={})


changes = st.lists(
    st.tuples(st.integers(0, 65_535), st.integers(0, 3_000), st.sampled_from(SERVERS)),
    max_size=5,
)


class TestKeyMap:
    @given(rounds=st.lists(changes, max_size=4))
    def test_changes_affect_only_their_keys(self, rounds):
        # Guards against keys that a change drops or gives to another owner although
        # it does not name them.
        key_map = placement.initial_map(candidates(), 1)
        for fence, round_ in enumerate(rounds, start=2):
            taken, wanted = [], {}
            for first, length, server_instance in round_:
                last = min(65_535, first + length)
                if any(a <= last and b >= first for a, b in taken):
                    continue
                taken.append((first, last))
                wanted[first, last] = owner(server_instance, fence)
            before = key_map
            key_map = key_map.with_owner(
                [(a, b, new) for (a, b), new in wanted.items()]
            )
            probes = {0, 65_535, *(k for pair in taken for k in pair)}
            for key in probes | {k + 1 for k in probes if k < 65_535}:
                hit = [new for (a, b), new in wanted.items() if a <= key <= b]
                expected = hit[0] if hit else before.owner(key)
                assert key_map.owner(key).server_instance == expected.server_instance
                assert key_map.owner(key).fence >= expected.fence
            instances = [o.server_instance for o in key_map.owners]
            assert all(a != b for a, b in itertools.pairwise(instances))
            decoded = keymap.decode(key_map.encode(1))
            assert decoded.starts == key_map.starts

    @pytest.mark.parametrize(
        "data",
        [b"", b"{}", b'{"ranges":[]}', b'{"ranges":[[5,"a",1,1]]}', b'{"ranges":[1]}'],
    )
    def test_invalid_maps_are_rejected(self, data):
        with pytest.raises(keymap.KeyMapError):
            keymap.decode(data)


class TestKeyMaps:
    @pytest.fixture
    def maps(self):
        maps = keymap.KeyMaps()
        maps.put("s", keymap.KeyMap(starts=[0, 100], owners=[owner(("a", 1), 3)] * 2))
        return maps

    def unowned(self, fence):
        return keymap.Owner(server_id=keymap.UNOWNED, incarnation=0, fence=fence)

    def test_released_keys_have_no_owner_until_the_next_is_announced(self, maps):
        # Guards against requests that are sent to a server after it has released
        # their key.
        assert maps.announce("s", [(10, 20, self.unowned(3))], 0.0)
        assert maps.owner("s", 15).server_id == keymap.UNOWNED
        assert maps.owner("s", 9).server_id == "a"
        assert maps.by_service["s"].owner(15).server_id == "a"
        maps.announce("s", [(10, 20, owner(("b", 1), 4))], 1.0)
        assert maps.owner("s", 15).server_id == "b"

    def test_late_announcement_does_not_undo_a_newer_map(self, maps):
        # Guards against keys without an owner after datagrams arrive out of order.
        newer = maps.by_service["s"].with_owner([(10, 20, owner(("b", 1), 4))])
        maps.put("s", newer)
        assert not maps.announce("s", [(10, 20, self.unowned(3))], 0.0)
        assert not maps.announce("s", [(10, 20, owner(("c", 1), 4))], 0.0)
        assert maps.owner("s", 15).server_id == "b"

    def test_announcement_stays_after_an_older_map(self, maps):
        maps.announce("s", [(10, 20, self.unowned(3))], 0.0)
        maps.put("s", maps.by_service["s"].with_owner([(40, 50, owner(("b", 1), 4))]))
        assert maps.owner("s", 15).server_id == keymap.UNOWNED
        assert maps.owner("s", 45).server_id == "b"

    def test_move_of_a_part_keeps_the_announced_owner_of_the_rest(self, maps):
        # Guards against requests that are sent to the owner of two moves ago until the
        # next map arrives.
        maps.announce("s", [(10, 20, owner(("b", 1), 4))], 0.0)
        maps.announce("s", [(12, 13, self.unowned(4))], 0.1)
        maps.put("s", maps.by_service["s"].with_owner([(40, 50, owner(("c", 1), 5))]))
        assert maps.owner("s", 11).server_id == "b"
        assert maps.owner("s", 12).server_id == keymap.UNOWNED
        assert maps.owner("s", 14).server_id == "b"

    def test_unconfirmed_release_expires(self, maps):
        # Guards against keys that stay without an owner forever because the controller
        # ended after announcing a release.
        maps.announce("s", [(10, 20, self.unowned(3))], 0.0)
        maps.expire(keymap.ANNOUNCEMENT_TTL_S)
        assert maps.owner("s", 15).server_id == "a"


class TestFencingTokens:
    """Guards against tokens that two terms issue, or one term twice."""

    def test_term_issues_tokens_above_those_of_the_term_before(self):
        before = FencingTokens(highest=5, era=1)
        in_store = before.issue_for_map()
        of_calls = [before.issue_for_call() for _ in range(100)]
        assert of_calls == sorted(set(of_calls)) and of_calls[0] > 5
        assert FencingTokens(highest=in_store, era=1).issue_for_call() > in_store
        assert in_store > of_calls[-1]

    def test_term_ends_before_its_calls_reach_the_tokens_of_the_map(self):
        tokens = FencingTokens(highest=0, era=1)
        in_store = tokens.issue_for_map()
        while not tokens.is_used_up:
            last = tokens.issue_for_call()
        assert last < in_store

    def test_tokens_of_an_era_are_above_those_of_the_era_before(self):
        # Guards against tokens that a copy of the store does not have.
        tokens = FencingTokens(highest=5, era=1)
        before = max(tokens.issue_for_map(), tokens.issue_for_call())
        assert FencingTokens(highest=5, era=2).issue_for_call() > before


class TestGrantLog:
    def test_expiry_covers_a_slow_clock(self):
        assert expiry_time(10.0, 4.0) > 10.0 + 4.0 * 1.02

    def test_unanswered_calls_stay_uncertain_until_they_expire(self):
        # Guards against moving a range whose grant may still be applied.
        log = GrantLog()
        sent = log.add(first=0, last=9, fence=1, incarnation=1, hold_s=4.0)
        assert log.is_pending(5, 5, 1.0)
        sent.settle(0.6, answered=False)
        assert log.is_uncertain(5, 5, 1.0)
        assert not log.is_uncertain(10, 20, 1.0)
        longest_s = 0.6 + MAX_TRANSIT_S + 4.0 * 1.02
        assert log.is_uncertain(5, 5, longest_s)
        assert not log.is_uncertain(5, 5, longest_s + 0.2)

    def test_refusal_of_a_call_that_a_later_one_overtook(self):
        # Guards against a controller that takes its own later call for another's.
        log = GrantLog()
        first = log.add(first=0, last=9, fence=1, incarnation=1, hold_s=4.0)
        assert not log.was_overtaken(first, 0.0)
        log.add(first=5, last=5, fence=2, incarnation=1, hold_s=4.0)
        assert log.was_overtaken(first, 0.0)

    def test_hold_starts_at_the_latest_possible_arrival(self):
        # Guards against a key that moves while a grant is valid that arrived just
        # before its call timed out.
        log = GrantLog()
        sent = log.add(first=0, last=9, fence=1, incarnation=1, hold_s=4.0)
        sent.settle(100.6, answered=False)
        assert log.expires_at(5, 5, 101.0) >= 100.6 + 4.0 * 1.02

    def test_wide_links_have_short_queues(self):
        # Guards against keys without an owner for seconds more than the link explains.
        assert transit_s(1500) < 0.2
        assert transit_s(10) == transit_s(0) == MAX_TRANSIT_S
        assert transit_s(100) >= 1.5

    def test_call_without_effect_is_ignored(self):
        log = GrantLog()
        sent = log.add(first=0, last=9, fence=1, incarnation=1, hold_s=4.0)
        sent.discard(0.1)
        assert log.expires_at(5, 5, 0.2) == 0.2
        assert not log.was_accepted(5, 5, 1, 0.2)


class TestRebalance:
    def test_no_key_moves_twice_in_one_plan(self):
        # Guards against a plan that gives the same keys to two servers.
        key_map = placement.initial_map(candidates(), 1)
        rates = dict.fromkeys(range(0, 600, 5), 3.0)
        plan = placement.rebalance(key_map, candidates(), rates)
        assert plan
        taken = sorted((t.first, t.last) for t in plan)
        assert all(a[1] < b[0] for a, b in itertools.pairwise(taken))
        moved = {first for first, _ in taken}
        assert all(key_map.owner(first).server_instance == ("a", 1) for first in moved)

    def test_load_is_spread(self):
        key_map = placement.initial_map(candidates(), 1)
        rates = dict.fromkeys(range(0, 120), 1.0)
        for _ in range(10):
            plan = placement.rebalance(key_map, candidates(), rates)
            key_map = key_map.with_owner(
                [(t.first, t.last, owner(t.to, 5)) for t in plan]
            )
        found = candidates()
        placement.assign_load(key_map, found, rates)
        assert max(c.load for c in found) <= 1.3 * 40

    def test_one_hot_key_goes_to_the_fastest_server(self):
        # Guards against a key that never moves because its load exceeds every
        # transfer.
        found = candidates(latencies=(0.15, 0.1, 0.04))
        key_map = placement.initial_map(found, 1)
        plan = placement.rebalance(key_map, found, {100: 100.0, 101: 1.0})
        hottest = [t for t in plan if t.first == t.last == 100]
        assert [t.to for t in hottest] == [("c", 1)]

    def test_server_that_cannot_be_relieved_does_not_block_others(self):
        found = candidates(latencies=(0.04, 0.1, 0.1))
        key_map = placement.initial_map(found, 1)
        rates = {100: 200.0, **dict.fromkeys(range(30000, 30030), 2.0)}
        plan = placement.rebalance(key_map, found, rates)
        assert any(t.first >= 30_000 for t in plan)

    def test_moving_ranges_are_not_planned_again(self):
        key_map = placement.initial_map(candidates(), 1)
        rates = dict.fromkeys(range(0, 120), 1.0)
        moving = [(0, 21_844, None)]
        assert not placement.rebalance(key_map, candidates(), rates, moving)

    def test_load_of_moving_ranges_counts_at_their_next_owner(self):
        # Guards against several rounds that all choose the same idle server.
        found = candidates(latencies=(0.1, 0.1, 0.1))
        key_map = placement.initial_map(found, 1)
        rates = dict.fromkeys(range(0, 120), 1.0)
        moving = [(0, 59, ("b", 1))]
        plan = placement.rebalance(key_map, found, rates, moving)
        assert all(t.to == ("c", 1) for t in plan)

    def test_neighbours_of_a_key_that_saturates_its_server_move(self):
        # Guards against refused requests for the neighbours of a hot key.
        found = candidates(latencies=(0.04, 0.1, 0.1))
        key_map = placement.initial_map(found, 1)
        rates = {100: 300.0, **dict.fromkeys(range(200, 210), 1.0)}
        plan = placement.rebalance(key_map, found, rates)
        moved = {key for t in plan for key in range(t.first, t.last + 1)}
        assert moved >= set(range(200, 210))
        assert not any(t.first <= 100 <= t.last for t in plan)

    def test_moved_load_does_not_overload_its_target(self):
        # Guards against keys that move from server to server until they find room,
        # with nobody to serve them during each move.
        servers = [(f"s{number:02}", 1) for number in range(30)]
        found = [
            placement.Candidate(server_instance=s, slots=6, latency_s=0.5)
            for s in servers
        ]
        key_map = placement.initial_map(found, 1)
        # The busy keys lie close together, at one server.
        rates = dict.fromkeys(range(0, 1000, 10), 1.0)
        plan = placement.rebalance(key_map, found, rates)
        key_map = key_map.with_owner([(t.first, t.last, owner(t.to, 2)) for t in plan])
        placement.assign_load(key_map, found, rates)
        assert max(c.utilisation for c in found) <= 1.0
        assert len({(t.first, t.last) for t in plan}) <= 20

    def test_no_moves_at_low_utilisation(self):
        # Guards against moves, which have a cost, while no server is busy.
        key_map = placement.initial_map(candidates(), 1)
        assert not placement.rebalance(key_map, candidates(), {1: 1.0, 2: 1.0})


class TestLoadEstimate:
    def test_steady_load_converges_to_its_rate(self):
        estimate = LoadEstimate()
        for step in range(40):
            estimate.add(counts({7: 5}), step * 0.25)
        assert 16 < estimate.rate_by_bucket[7] < 26

    def test_old_load_decays(self):
        estimate = LoadEstimate()
        estimate.add(counts({7: 5}), 0.0)
        estimate.decay(30.0)
        assert not estimate.rate_by_bucket

    def test_reports_of_many_vms_decay_the_rates_a_few_times(self):
        # Guards against a controller that spends more than its processor on decaying
        # thousands of rates for each report of each entry VM.
        estimate = LoadEstimate()
        decays = 0
        for report in range(372 * 20):
            before = estimate.rate_by_bucket
            estimate.add(counts({7: 1}), report / 372)
            decays += estimate.rate_by_bucket is not before
        assert decays <= 20 * 10
        assert estimate.rate_by_bucket[7] == pytest.approx(372, rel=0.05)

    def test_queue_of_a_busy_server_does_not_change_its_service_time(self):
        # Guards against a hot key that moves away from the fastest server, because
        # the key's own queue makes this server look slow.
        estimate = LoadEstimate()
        estimate.add(counts({}, {"a": (10, 2.0)}), 0.0)
        estimate.update_service_times({}, 0.2)
        estimate.add(counts({}, {"a": (10, 20.0)}), 1.0)
        estimate.update_service_times({"a": 7.0}, 0.2)
        assert estimate.service_s("a") == 0.2
        estimate.add(counts({}, {"a": (10, 4.0)}), 2.0)
        estimate.update_service_times({"a": 0.3}, 0.2)
        assert 0.2 < estimate.service_s("a") < 0.4

    def test_new_estimate_is_right_within_a_second(self):
        # Guards against an overloaded owner that is not relieved for seconds after the
        # traffic begins or the controller changes.
        estimate = LoadEstimate()
        for step in range(5):
            estimate.add(counts({7: 5}), step * 0.25)
        assert 16 < estimate.rate_by_bucket[7] < 34

    def test_first_answers_do_not_make_a_server_fast(self):
        # Guards against a hot key that goes to a server because its first answers were
        # to requests without work.
        estimate = LoadEstimate()
        estimate.add(counts({}, {"a": (0.05, 0.0002), "b": (2.0, 1.2)}), 0.0)
        estimate.update_service_times({}, 0.6)
        assert estimate.service_s("a") > 0.58
