"""Order and targets of the moves off evacuated zones, without a network."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarspoke.keyspace import evacuation
from briarspoke.keyspace.keymap import KEY_COUNT
from briarspoke.keyspace.placement import Candidate

# Time from the begin of a move until the next owner has the keys.
MOVE_S = 1.0


def candidates(count, loads=None, latencies=None, slots=6):
    made = []
    for number in range(count):
        candidate = Candidate(
            server_instance=(f"s-{number:03}", 1),
            slots=slots,
            latency_s=latencies[number] if latencies else 0.4,
        )
        candidate.load = loads[number] if loads else 0.0
        made.append(candidate)
    return made


def ranges(count, total, rates):
    """Returns every third of ``count`` equal ranges, and the load of the others."""
    leaving, kept = [], []
    for number in range(count):
        first = KEY_COUNT * number // count
        last = KEY_COUNT * (number + 1) // count - 1
        own = [(key, rate) for key, rate in rates if first <= key <= last]
        if number % 3 == 0:
            leaving.append(
                evacuation.LeavingRange(first=first, last=last, bucket_rates=own)
            )
        else:
            kept.append(sum(rate for _, rate in own))
    return leaving, kept


class Simulation:
    """Plays the rounds of an evacuation.

    :ivar moved: [(time, :class:`Transfer`)].
    :ivar most_moving: most moves that were in progress at the same time.
    """

    def __init__(self, leaving, targets, total_load):
        self.moved = []
        self.most_moving = 0
        keys_at_first = sum(each.last - each.first + 1 for each in leaving)
        left = {(each.first, each.last): each for each in leaving}
        moving = []
        for step in range(100):
            now = step * evacuation.ROUND_S
            moving = [end for end in moving if end > now]
            started = evacuation.plan(
                list(left.values()),
                targets,
                total_load,
                keys_at_first=keys_at_first,
                keys_left=sum(last - first + 1 for first, last in left),
                elapsed_s=now,
                moving_count=len(moving),
            )
            for transfer in started:
                moving.append(now + MOVE_S)
                self.moved.append((now, transfer))
                self._remove(left, transfer)
            self.most_moving = max(self.most_moving, len(moving))
            if not left:
                break
        self.ended_at = now + MOVE_S
        self.left = left

    def _remove(self, left, transfer):
        key = next(k for k in left if k[0] <= transfer.first <= k[1])
        whole = left.pop(key)
        assert transfer.first == whole.first and transfer.last <= whole.last
        if transfer.last < whole.last:
            first = transfer.last + 1
            left[first, whole.last] = evacuation.LeavingRange(
                first=first,
                last=whole.last,
                bucket_rates=[b for b in whole.bucket_rates if b[0] >= first],
            )


loads = st.lists(
    st.tuples(st.integers(0, KEY_COUNT - 1), st.floats(0.01, 300.0)), max_size=60
)


class TestAnyLoad:
    """Guards against keys that stay, move twice, or come too fast for the targets."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        loads=loads,
        servers=st.integers(3, 60),
        latencies=st.lists(st.floats(0.05, 2.0), min_size=60, max_size=60),
    )
    def test_all_keys_move_once(self, loads, servers, latencies):
        rates = sorted(dict(loads).items())
        total = sum(rate for _, rate in rates)
        leaving, kept = ranges(servers, total, rates)
        expected = sum(each.last - each.first + 1 for each in leaving)
        targets = candidates(len(kept), kept, latencies)
        simulation = Simulation(leaving, targets, total)
        assert not simulation.left
        moved = [transfer for _, transfer in simulation.moved]
        assert sum(t.last - t.first + 1 for t in moved) == expected
        assert simulation.most_moving <= max(
            evacuation.MIN_MOVES, evacuation.MOVES_PER_SERVER * len(targets)
        )
        parts = len(leaving) + 1 / evacuation.MAX_PART_SHARE
        parts += len(targets) / evacuation.MIN_PART_SHARE
        assert len(moved) <= parts + 2 * len(rates)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(loads=loads, seed=st.integers(0, 1000))
    def test_no_target_gets_more_than_it_must(self, loads, seed):
        # Guards against a server that is filled while another one has room.
        rates = sorted(dict(loads).items())
        total = sum(rate for _, rate in rates)
        leaving, kept = ranges(30, total, rates)
        pick = random.Random(seed)
        latencies = [0.4 * pick.uniform(0.7, 2.0) for _ in kept]
        targets = candidates(len(kept), kept, latencies)
        before = [target.load for target in targets]
        weights = evacuation._Weights(total)
        extra = sum(evacuation._weight(each, weights) for each in leaving)
        level = evacuation._level(targets, extra)
        largest_key = max((r for e in leaving for _, r in e.bucket_rates), default=0.0)
        Simulation(leaving, targets, total)
        part = weights.total * 2 * evacuation.MIN_PART_SHARE / len(targets)
        # Some server is at the level or below it. A key goes to the server that is the
        # least utilised with it, so to none that is more utilised than that one would
        # be.
        slack = (part + largest_key + weights.of(1, 0)) * max(latencies) / 6
        for target, load in zip(targets, before, strict=True):
            if target.load != load:
                assert target.utilisation <= level + slack + 1e-6

    def test_without_targets_nothing_moves(self):
        leaving, _ = ranges(9, 0.0, [])
        assert not evacuation.plan(
            leaving,
            [],
            0.0,
            keys_at_first=9,
            keys_left=9,
            elapsed_s=9.0,
            moving_count=0,
        )


class TestDeployments:
    """Guards against an evacuation that takes too long or fills some servers only."""

    @pytest.mark.parametrize("servers", [3, 9, 30, 113])
    def test_keys_are_away_in_time(self, servers):
        pick = random.Random(servers)
        rates = sorted(
            {pick.randrange(KEY_COUNT): 754 / 400 for _ in range(400)}.items()
        )
        total = sum(rate for _, rate in rates)
        leaving, kept = ranges(servers, total, rates)
        targets = candidates(
            len(kept), kept, [0.41 * pick.uniform(0.7, 2.0) for _ in kept]
        )
        simulation = Simulation(leaving, targets, total)
        assert simulation.ended_at <= evacuation.SPREAD_S + MOVE_S
        halfway = [t for at, t in simulation.moved if at < evacuation.SPREAD_S / 2]
        share = sum(t.last - t.first + 1 for t in halfway) / (KEY_COUNT / 3)
        assert 0.3 <= share <= 0.75
        speeds = [target.slots / target.latency_s for target in targets]
        by_speed = [
            target.load / total / (speed / sum(speeds))
            for target, speed in zip(targets, speeds, strict=True)
        ]
        print(f"{servers} servers: {len(simulation.moved)} moves, {max(by_speed):.2f}")

    def test_late_controller_moves_all_at_once(self):
        leaving, kept = ranges(30, 0.0, [])
        targets = candidates(len(kept))
        keys = sum(each.last - each.first + 1 for each in leaving)
        started = evacuation.plan(
            leaving,
            targets,
            0.0,
            keys_at_first=keys,
            keys_left=keys,
            elapsed_s=4.0,
            moving_count=0,
        )
        assert sum(t.last - t.first + 1 for t in started) == keys
