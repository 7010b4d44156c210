"""Assigns partitions to servers by weight, measured load and zone."""

from __future__ import annotations

MAX_MOVES = 8
# Below this ratio of the largest load to the mean load, a move costs more than it
# gains.
IMBALANCE_THRESHOLD = 1.25
# A server whose load is below this ratio to the mean load is new or has returned, so
# a round starts although no server is overloaded.
UNDERUSED_RATIO = 0.75
COOLDOWN_S = 30.0
# A round ends when no server's load is above the first or below the second of
# these ratios to the mean load.
MAX_BALANCED_RATIO = 1.05
MIN_BALANCED_RATIO = 0.9
# Part of a partition's cost that is independent of its request rate, so that
# partitions without measured load are distributed as well.
FIXED_COST = 0.1


class LoadTable:
    """Measured requests per second by service and partition."""

    __slots__ = ("_rates_by_service",)

    def __init__(self):
        self._rates_by_service = {}

    def report(self, service, rate_by_partition):
        """Records the rates measured by a gateway, in requests per second."""
        self._rates_by_service.setdefault(service, {}).update(rate_by_partition)

    def costs(self, service, count):
        """Returns the relative cost of each partition, with a mean of 1.

        :param count: number of partitions of the service.
        """
        rates = self._rates_by_service.get(service, {})
        total = sum(rates.values())
        if total <= 0:
            return [1.0] * count
        scale = (1 - FIXED_COST) * count / total
        return [FIXED_COST + scale * rates.get(number, 0.0) for number in range(count)]


class Move:
    """A planned owner change of a partition."""

    __slots__ = ("partition", "source", "target")

    def __init__(self, *, partition, source, target):
        self.partition = partition
        self.source = source
        self.target = target

    def __repr__(self):
        return f"<Move {self.partition} {self.source} to {self.target}>"


def interleaved(servers):
    """Returns the servers in an order that alternates between zones."""
    by_zone = {}
    for server in sorted(servers, key=lambda s: s.name):
        by_zone.setdefault(server.zone, []).append(server)
    ordered = []
    columns = [by_zone[zone] for zone in sorted(by_zone)]
    for row in range(max((len(column) for column in columns), default=0)):
        ordered.extend(column[row] for column in columns if row < len(column))
    return ordered


def assign(partitions, costs, servers, load_by_server):
    """Returns ``{partition: server name}``, assigning the costliest first.

    :param costs: cost per partition number.
    :param servers: the servers to choose from, in order of preference.
    :param load_by_server: sum of the costs that each server already has.
    """
    loads = {server.name: load_by_server.get(server.name, 0.0) for server in servers}
    chosen = {}
    for number in sorted(partitions, key=lambda n: (-costs[n], n)):
        best = min(servers, key=lambda s: (loads[s.name] + costs[number]) / s.weight)
        loads[best.name] += costs[number]
        chosen[number] = best.name
    return chosen


def loads_of(owners, costs):
    """Returns the sum of the partition costs per server.

    :param owners: server name or None per partition number.
    """
    loads = {}
    for number, owner in enumerate(owners):
        if owner is not None:
            loads[owner] = loads.get(owner, 0.0) + costs[number]
    return loads


def imbalance(loads, servers):
    """Returns the ratio of the largest load per weight to the mean load."""
    total = sum(loads.get(server.name, 0.0) for server in servers)
    weight = sum(server.weight for server in servers)
    if total <= 0 or weight <= 0:
        return 1.0
    mean = total / weight
    return max(loads.get(s.name, 0.0) / s.weight for s in servers) / mean


def plan_moves(
    owners,
    costs,
    servers,
    *,
    movable_from,
    may_move,
    max_moves=MAX_MOVES,
    threshold=IMBALANCE_THRESHOLD,
):
    """Returns the moves of one balancing round, at most ``max_moves``.

    :param owners: server name or None per partition number.
    :param costs: cost per partition number.
    :param servers: servers among which the load is balanced.
    :param movable_from: names of servers that may lose partitions.
    :param may_move: function of a partition number that returns False during the
        partition's cool-down.
    :param threshold: ratio of the largest load to the mean that starts a round.
    """
    owners = list(owners)
    loads = loads_of(owners, costs)
    if not servers:
        return []
    weight = {server.name: server.weight for server in servers}
    relative_load = {name: loads.get(name, 0.0) / weight[name] for name in weight}
    mean = sum(loads.get(name, 0.0) for name in weight) / sum(weight.values())
    if mean <= 0:
        return []
    if (
        max(relative_load.values()) <= threshold * mean
        and min(relative_load.values()) >= UNDERUSED_RATIO * mean
    ):
        return []
    moves = []
    numbers_by_owner = {}
    for number, owner in enumerate(owners):
        if owner in movable_from and owner in weight and may_move(number):
            numbers_by_owner.setdefault(owner, []).append(number)
    while len(moves) < max_moves:
        move = _best_move(numbers_by_owner, costs, relative_load, weight, mean)
        if move is None:
            break
        numbers_by_owner[move.source].remove(move.partition)
        cost = costs[move.partition]
        relative_load[move.source] -= cost / weight[move.source]
        relative_load[move.target] += cost / weight[move.target]
        moves.append(move)
    return moves


def _best_move(numbers_by_owner, costs, relative_load, weight, mean):
    """Returns the most effective move from the most loaded server, or None."""
    target = min(relative_load, key=lambda name: (relative_load[name], name))
    for source in sorted(
        numbers_by_owner, key=lambda name: (-relative_load[name], name)
    ):
        if (
            relative_load[source] <= MAX_BALANCED_RATIO * mean
            and relative_load[target] >= MIN_BALANCED_RATIO * mean
        ):
            return None
        excess = (relative_load[source] - relative_load[target]) / (
            1 / weight[source] + 1 / weight[target]
        )
        # Moving a partition that costs more would only move the hot spot.
        fitting = [n for n in numbers_by_owner[source] if costs[n] < excess * 1.2]
        if fitting and source != target:
            number = max(fitting, key=lambda n: (costs[n], -n))
            return Move(partition=number, source=source, target=target)
    return None
