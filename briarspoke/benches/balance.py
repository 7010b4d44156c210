"""Zipf keys whose hottest change, with and without load-aware placement."""

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
# The hottest keys change within minutes.
CHANGE_EVERY_ROUNDS = 12
# The first rounds after a change show the change, not the placement.
SETTLE_ROUNDS = 6
SERVICE = "tabela"


class _Deployment:
    """Owners of all partitions and the measured load of each server."""

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
        self.top_found = []
        self.loads = {server.name: ServerLoad() for server in servers}

    def round(self, requests, hot, number):
        """Counts one round's requests and plans the moves of its end."""
        now = (number + 1) * ROUND_S
        counts = dict.fromkeys(self.loads, 0)
        for key, partition in requests:
            owner = self.owners[partition]
            counts[owner] += 1
            self.loads[owner].add(partition, key)
        mean = sum(counts.values()) / len(counts)
        self.imbalances.append(max(counts.values()) / mean)
        self._find_hot_keys(hot)
        for server in self.servers:
            rates = self.loads[server.name].rates(now)
            owned = [n for n, o in enumerate(self.owners) if o == server.name]
            self.table.report(SERVICE, {n: rates.get(n, 0.0) for n in owned})
        if self.load_aware:
            self._move(now)

    def _find_hot_keys(self, hot):
        found = [
            key
            for load in self.loads.values()
            for key in (h.key for h in load.keys.top(HOT_KEYS))
        ]
        self.top_found.append(len(set(found) & set(hot)) / len(hot))

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


def _keys(chooser):
    """Returns the keys by rank; the first ones are the hottest."""
    keys = [f"key-{number}" for number in range(KEYS)]
    chooser.shuffle(keys)
    return keys


def _change_hot(keys, chooser):
    """Replaces the hottest keys by others."""
    for rank in range(HOT_KEYS):
        other = chooser.randrange(HOT_KEYS, KEYS)
        keys[rank], keys[other] = keys[other], keys[rank]


def simulate(*, seed, rounds):
    """Returns the deployments (static, load-aware) after the same requests."""
    chooser = random.Random(seed)
    servers = _servers()
    static = _Deployment(servers, load_aware=False)
    aware = _Deployment(servers, load_aware=True)
    keys = _keys(chooser)
    weights = (1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(KEYS))
    cumulated = list(itertools.accumulate(weights))
    partition_by_key = {key: partition_of(key, PARTITIONS) for key in keys}
    for number in range(rounds):
        if number and number % CHANGE_EVERY_ROUNDS == 0:
            _change_hot(keys, chooser)
        requests = []
        for _ in range(REQUESTS_PER_ROUND):
            rank = bisect.bisect_left(cumulated, chooser.random() * cumulated[-1])
            requests.append((keys[rank], partition_by_key[keys[rank]]))
        for deployment in (static, aware):
            deployment.round(requests, keys[:HOT_KEYS], number)
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
    """Shows load imbalance and churn with and without load-aware placement."""
    rounds = LONG_ROUNDS if long else ROUNDS
    static, aware = simulate(seed=seed, rounds=rounds)
    before, after = _settled(static.imbalances), _settled(aware.imbalances)
    hours = rounds * ROUND_S / 3600
    changes = (rounds - 1) // CHANGE_EVERY_ROUNDS
    figures = {
        "rounds": rounds,
        "hot_key_changes": changes,
        "imbalance_static": round(_mean(before), 3),
        "imbalance_aware": round(_mean(after), 3),
        "imbalance_static_all": round(_mean(static.imbalances), 3),
        "imbalance_aware_all": round(_mean(aware.imbalances), 3),
        "moves": aware.moves,
        "moves_per_change": round(aware.moves / (changes + 1), 1),
        "moves_per_hour": round(aware.moves / hours),
        "hot_keys_found_share": round(_mean(aware.top_found), 3),
    }
    bounds = [
        Bound(
            name="imbalance_aware_to_static",
            value=round(_mean(after) / _mean(before), 3),
            limit=0.9,
        ),
        Bound(name="moves_per_change", value=aware.moves / (changes + 1), limit=64),
        Bound(name="moves", value=aware.moves, limit=1, at_most=False),
        Bound(name="hot_key_changes", value=changes, limit=4, at_most=False),
        Bound(
            name="hot_keys_found_share",
            value=round(_mean(aware.top_found), 3),
            limit=0.9,
            at_most=False,
        ),
    ]
    return Report(bench="balance", seed=seed, figures=figures, bounds=bounds)
