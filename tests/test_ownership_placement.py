from __future__ import annotations

import collections

from briarspoke.configuration.snapshot import Configuration
from briarspoke.ownership import placement


def servers(weights, zones=("x", "y")):
    value = {
        "servers": [
            {
                "name": f"s{number}",
                "service": "s",
                "zone": zones[number % len(zones)],
                "address": "127.0.0.1:1",
                "weight": weight,
            }
            for number, weight in enumerate(weights)
        ]
    }
    return Configuration.from_json(value, []).servers_of("s")


def plan(owners, costs, candidates, **options):
    return placement.plan_moves(
        owners,
        costs,
        candidates,
        movable_from={s.name for s in candidates},
        may_move=options.pop("may_move", lambda number: True),
        **options,
    )


class TestAssign:
    def test_follows_the_weights(self):
        # An equal share would overload a small server.
        candidates = servers([1.0, 3.0])
        chosen = placement.assign(range(64), [1.0] * 64, candidates, {})
        assert collections.Counter(chosen.values()) == {"s0": 16, "s1": 48}

    def test_servers_alternate_between_zones(self):
        # Otherwise the first partitions would all be assigned to one zone.
        names = [s.zone for s in placement.interleaved(servers([1.0] * 4))]
        assert names == ["x", "y", "x", "y"]


class TestPlanMoves:
    def test_balanced_load_causes_no_moves(self):
        # Unnecessary moves make keys unavailable.
        candidates = servers([1.0, 1.0])
        assert plan(["s0", "s1"] * 8, [1.0] * 16, candidates) == []

    def test_moves_are_bounded(self):
        # Guards against a burst of moves when a server returns.
        candidates = servers([1.0, 1.0])
        assert len(plan(["s0"] * 64, [1.0] * 64, candidates, max_moves=5)) == 5

    def test_hot_partition_stays_and_others_move(self):
        # Moving the hot partition would only move the hot spot.
        candidates = servers([1.0, 1.0])
        costs = [20.0] + [1.0] * 15
        moves = plan(["s0", "s1"] * 8, costs, candidates)
        assert moves and all(m.partition != 0 for m in moves)
        assert {m.source for m in moves} == {"s0"}

    def test_partition_in_cooldown_is_not_moved(self):
        # Guards against a partition that moves back and forth.
        candidates = servers([1.0, 1.0])
        assert (
            plan(["s0"] * 8, [1.0] * 8, candidates, may_move=lambda number: False) == []
        )

    def test_returned_server_receives_partitions(self):
        # With one of fourteen servers empty, the others are only 8% above the mean,
        # which is below the threshold for moves.
        candidates = servers([1.0] * 14)
        owners = [f"s{n % 13}" for n in range(256)]
        assert {m.target for m in plan(owners, [1.0] * 256, candidates)} == {"s13"}


class TestLoadTable:
    def test_costs_have_mean_one(self):
        # Costs of services with different rates have to be comparable.
        table = placement.LoadTable()
        table.report("s", {0: 300.0, 1: 100.0})
        costs = table.costs("s", 4)
        assert abs(sum(costs) - 4) < 1e-9
        assert costs[0] > costs[1] > costs[2] > 0
