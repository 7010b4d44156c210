"""Simulates Zipf-distributed keys with changing hot keys.

Compares load-aware placement with static placement.
"""

from __future__ import annotations

import bisect
import itertools
import random

from briarspoke.benches import Bound, Report, bench
from briarspoke.configuration.snapshot import Configuration
from briarspoke.hashing import partition_of
from briarspoke.ownership import placement
from briarspoke.ownership.hotkeys import ServerLoad

SERVERS = 14
ZONES = ("poa", "cwb", "fln", "cxs")
PARTITIONS = 256
KEYS = 20_000
ZIPF_EXPONENT = 0.9
HOT_KEYS = 10
REQUESTS_PER_ROUND = 10_000
ROUND_S = 5.0
ROUNDS = 60
LONG_ROUNDS = 600
# The hottest keys change every minute.
CHANGE_EVERY_ROUNDS = 12
# Placement has not yet reacted to new hot keys in the first rounds after a change.
SETTLE_ROUNDS = 6
SERVICE = "tabela"


class _Deployment:
    """The owners of all partitions and the measured load of each server."""

    def __init__(self, servers, *, load_aware):
        self.servers = servers
        self.load_aware = load_aware
        self.table = placement.LoadTable()
        chosen = placement.assign(
            range(PARTITIONS), [1.0] * PARTITIONS, placement.interleaved(servers), {}
        )
        self.owners = [chosen[number] for number in range(PARTITIONS)]
        self.moved_at = {}
        self.moves = 0
        self.imbalances = []
        self.hot_keys_found_shares = []
        self.loads = {server.name: ServerLoad() for server in servers}

    def run_round(self, requests, hot_keys, number):
        """Counts the requests of a round, then moves partitions if load-aware."""
        now = (number + 1) * ROUND_S
        counts = dict.fromkeys(self.loads, 0)
        for key, partition in requests:
            owner = self.owners[partition]
            counts[owner] += 1
            self.loads[owner].add(partition, key)
        mean = sum(counts.values()) / len(counts)
        self.imbalances.append(max(counts.values()) / mean)
        self._record_hot_keys_found(hot_keys)
        for server in self.servers:
            rates = self.loads[server.name].rates(now)
            owned = [n for n, o in enumerate(self.owners) if o == server.name]
            self.table.report(SERVICE, {n: rates.get(n, 0.0) for n in owned})
        if self.load_aware:
            self._move(now)

    def _record_hot_keys_found(self, hot_keys):
        found_keys = [
            key
            for load in self.loads.values()
            for key in (h.key for h in load.keys.top(HOT_KEYS))
        ]
        self.hot_keys_found_shares.append(
            len(set(found_keys) & set(hot_keys)) / len(hot_keys)
        )

    def _move(self, now):
        # Each zone's controller plans for its own servers.
        for zone in ZONES:
            moves = placement.plan_moves(
                self.owners,
                self.table.costs(SERVICE, PARTITIONS),
                self.servers,
                movable_from={s.name for s in self.servers if s.zone == zone},
                may_move=lambda n: (
                    now - self.moved_at.get(n, -placement.COOLDOWN_S)
                    >= placement.COOLDOWN_S
                ),
            )
            for move in moves:
                self.owners[move.partition] = move.target
                self.moved_at[move.partition] = now
            self.moves += len(moves)


def _settled(imbalances):
    return [
        value
        for number, value in enumerate(imbalances)
        if number % CHANGE_EVERY_ROUNDS >= SETTLE_ROUNDS
    ]


def _mean(values):
    return sum(values) / len(values)


def _keys(rng):
    """Returns the keys in random order, the hottest first."""
    keys = [f"key-{number}" for number in range(KEYS)]
    rng.shuffle(keys)
    return keys


def _change_hot(keys, rng):
    """Swaps each of the hottest keys with a random other key."""
    for rank in range(HOT_KEYS):
        other = rng.randrange(HOT_KEYS, KEYS)
        keys[rank], keys[other] = keys[other], keys[rank]


def simulate(*, seed, rounds):
    """Returns two deployments (static, load-aware) after the same requests."""
    rng = random.Random(seed)
    servers = _servers()
    static = _Deployment(servers, load_aware=False)
    aware = _Deployment(servers, load_aware=True)
    keys = _keys(rng)
    weights = (1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(KEYS))
    cumulative_weights = list(itertools.accumulate(weights))
    partition_by_key = {key: partition_of(key, PARTITIONS) for key in keys}
    for number in range(rounds):
        if number and number % CHANGE_EVERY_ROUNDS == 0:
            _change_hot(keys, rng)
        requests = []
        for _ in range(REQUESTS_PER_ROUND):
            rank = bisect.bisect_left(
                cumulative_weights, rng.random() * cumulative_weights[-1]
            )
            requests.append((keys[rank], partition_by_key[keys[rank]]))
        for deployment in (static, aware):
            deployment.run_round(requests, keys[:HOT_KEYS], number)
    return static, aware


def _servers():
    value = {
        "zones": [{"name": zone} for zone in ZONES],
        "services": [{"name": SERVICE}],
        "servers": [
            {
                "name": f"{SERVICE}-{number}",
                "service": SERVICE,
                "zone": ZONES[number % len(ZONES)],
                "address": "127.0.0.1:1",
            }
            for number in range(SERVERS)
        ],
    }
    return Configuration.from_json(value, []).servers_of(SERVICE)


@bench("balance")
def run(*, seed, long):
    """Measures load imbalance and moves with and without load-aware placement."""
    rounds = LONG_ROUNDS if long else ROUNDS
    static, aware = simulate(seed=seed, rounds=rounds)
    static_ratios, aware_ratios = (
        _settled(static.imbalances),
        _settled(aware.imbalances),
    )
    hours = rounds * ROUND_S / 3600
    changes = (rounds - 1) // CHANGE_EVERY_ROUNDS
    figures = {
        "rounds": rounds,
        "hot_key_changes": changes,
        "imbalance_static": round(_mean(static_ratios), 3),
        "imbalance_aware": round(_mean(aware_ratios), 3),
        "imbalance_static_all": round(_mean(static.imbalances), 3),
        "imbalance_aware_all": round(_mean(aware.imbalances), 3),
        "moves": aware.moves,
        "moves_per_change": round(aware.moves / (changes + 1), 1),
        "moves_per_hour": round(aware.moves / hours),
        "hot_keys_found_share": round(_mean(aware.hot_keys_found_shares), 3),
    }
    bounds = [
        Bound(
            name="imbalance_aware_to_static",
            value=round(_mean(aware_ratios) / _mean(static_ratios), 3),
            limit=0.9,
        ),
        Bound(name="moves_per_change", value=aware.moves / (changes + 1), limit=64),
        Bound(name="moves", value=aware.moves, limit=1, at_most=False),
        Bound(name="hot_key_changes", value=changes, limit=4, at_most=False),
        Bound(
            name="hot_keys_found_share",
            value=round(_mean(aware.hot_keys_found_shares), 3),
            limit=0.9,
            at_most=False,
        ),
    ]
    return Report(bench="balance", seed=seed, figures=figures, bounds=bounds)
