"""Which server gets which partition: by weight, measured load and zone."""

from __future__ import annotations

MAX_MOVES = 8
# Below this ratio of load to mean, moving costs more than it gains.
THRESHOLD = 1.25
# A server below this share of the mean is new or has returned.
UNDERUSED = 0.75
COOLDOWN_S = 30.0
# A round ends when the most loaded server is at most, and the least loaded at
# least, this far from the mean.
SETTLED = 1.05
FILLED = 0.9
# Part of the cost of a partition that does not depend on its rate, so that
# partitions without measured load are spread too.
FIXED_COST = 0.1


class LoadTable:
    """Measured requests per second by service and partition."""

    __slots__ = ("_rates_by_service",)

    def __init__(self):
        self._rates_by_service = {}

    def report(self, service, rate_by_partition):
        """Takes the rates that a gateway measured."""
        self._rates_by_service.setdefault(service, {}).update(rate_by_partition)

    def costs(self, service, count):
        """Returns the cost of each partition; the mean is 1."""
        rates = self._rates_by_service.get(service, {})
        total = sum(rates.values())
        if total <= 0:
            return [1.0] * count
        scale = (1 - FIXED_COST) * count / total
        return [FIXED_COST + scale * rates.get(number, 0.0) for number in range(count)]


class Move:
    """A partition that should change its owner."""

    __slots__ = ("partition", "source", "target")

    def __init__(self, *, partition, source, target):
        self.partition = partition
        self.source = source
        self.target = target

    def __repr__(self):
        return f"<Move {self.partition} {self.source} to {self.target}>"


def interleaved(servers):
    """Returns the servers ordered so that zones take turns."""
    by_zone = {}
    for server in sorted(servers, key=lambda s: s.name):
        by_zone.setdefault(server.zone, []).append(server)
    ordered = []
    columns = [by_zone[zone] for zone in sorted(by_zone)]
    for row in range(max((len(column) for column in columns), default=0)):
        ordered.extend(column[row] for column in columns if row < len(column))
    return ordered


def assign(partitions, costs, servers, load_by_server):
    """Returns ``{partition: server name}``, the dearest partitions first.

    :param costs: cost per partition number.
    :param servers: the servers to choose from, in order of preference.
    :param load_by_server: cost that each server already bears.
    """
    loads = {server.name: load_by_server.get(server.name, 0.0) for server in servers}
    chosen = {}
    for number in sorted(partitions, key=lambda n: (-costs[n], n)):
        best = min(servers, key=lambda s: (loads[s.name] + costs[number]) / s.weight)
        loads[best.name] += costs[number]
        chosen[number] = best.name
    return chosen


def loads_of(owners, costs):
    """Returns the load per server.

    :param owners: server name or None per partition number.
    """
    loads = {}
    for number, owner in enumerate(owners):
        if owner is not None:
            loads[owner] = loads.get(owner, 0.0) + costs[number]
    return loads


def imbalance(loads, servers):
    """Returns the largest load by weight over the mean."""
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
    threshold=THRESHOLD,
):
    """Returns the moves of one round, at most ``max_moves``.

    :param owners: server name or None per partition number.
    :param servers: servers that take part.
    :param movable_from: names of servers that may lose partitions.
    :param may_move: function of a partition number; False within a cool-down.
    """
    owners = list(owners)
    loads = loads_of(owners, costs)
    if not servers:
        return []
    weight = {server.name: server.weight for server in servers}
    relative = {name: loads.get(name, 0.0) / weight[name] for name in weight}
    mean = sum(loads.get(name, 0.0) for name in weight) / sum(weight.values())
    if mean <= 0:
        return []
    if (
        max(relative.values()) <= threshold * mean
        and min(relative.values()) >= UNDERUSED * mean
    ):
        return []
    moves = []
    numbers_by_owner = {}
    for number, owner in enumerate(owners):
        if owner in movable_from and owner in weight and may_move(number):
            numbers_by_owner.setdefault(owner, []).append(number)
    while len(moves) < max_moves:
        move = _best_move(numbers_by_owner, costs, relative, weight, mean)
        if move is None:
            break
        numbers_by_owner[move.source].remove(move.partition)
        cost = costs[move.partition]
        relative[move.source] -= cost / weight[move.source]
        relative[move.target] += cost / weight[move.target]
        moves.append(move)
    return moves


def _best_move(numbers_by_owner, costs, relative, weight, mean):
    """Returns the move off the most loaded server that helps most, or None."""
    target = min(relative, key=lambda name: (relative[name], name))
    for source in sorted(numbers_by_owner, key=lambda name: (-relative[name], name)):
        if relative[source] <= SETTLED * mean and relative[target] >= FILLED * mean:
            return None
        room = (relative[source] - relative[target]) / (
            1 / weight[source] + 1 / weight[target]
        )
        # A partition dearer than the room would only move the hot spot.
        fitting = [n for n in numbers_by_owner[source] if costs[n] < room * 1.2]
        if fitting and source != target:
            number = max(fitting, key=lambda n: (costs[n], -n))
            return Move(partition=number, source=source, target=target)
    return None
