"""Load of each rank in turn at ten times the capacity of the server."""

from __future__ import annotations

from briarspoke.benches import Bound, Report, bench, percentile
from briarspoke.benches.parts import Parts
from briarspoke.benches.proxy import configuration_of
from briarspoke.clock import monotonic
from briarspoke.configuration.resources import RANKS

SLOTS = 6
SERVICE_S_BY_RANK = {"lookup": 0.02, "booking": 0.04, "bulk": 0.08}
METHOD_BY_RANK = {"lookup": "GET", "booking": "POST", "bulk": "PUT"}
BODY_BYTES_BY_RANK = {"lookup": 0, "booking": 256, "bulk": 16_384}
SHARE_BY_RANK = {"lookup": 0.5, "booking": 0.3, "bulk": 0.1}
FLOOD_DEMAND = 10.0
# Demand of each rank as a fraction of the capacity, and seconds, per phase. In a
# flood, the other ranks demand more than their share, except lookups in the bulk
# flood.
PHASES = {
    "unflooded": ({"lookup": 0.3, "booking": 0.15, "bulk": 0.05}, 8.0),
    "bulk": ({"lookup": 0.3, "booking": 0.36, "bulk": FLOOD_DEMAND}, 8.0),
    "booking": ({"lookup": 0.6, "booking": FLOOD_DEMAND, "bulk": 0.15}, 5.0),
    "lookup": ({"lookup": FLOOD_DEMAND, "booking": 0.36, "bulk": 0.15}, 5.0),
}
LONG_FACTOR = 5.0
# The steady requests start this long before the flood, as in operation.
STEADY_LEAD_S = 1.5
# Shares are counted from this offset on, when the queues have filled.
SETTLE_S = 1.0
GRACE_S = 0.7
MIN_ANSWERED_SHARE = 0.995
MAX_P99_RATIO = 2.0
# Twisted's default, which limits the new connections that a flood opens.
BACKLOG = 50
SERVICE = {
    "name": "tabela",
    "fenced": True,
    "rank_rules": [{"rank": "bulk", "methods": ["PUT"]}],
    "ranks": {rank: {"share": share} for rank, share in SHARE_BY_RANK.items()},
}


def capacity(rank):
    """Returns the requests per second of one rank that the server can run."""
    return SLOTS / SERVICE_S_BY_RANK[rank]


class _Stack:
    """Server, entry VM and two load generators of one variant.

    The flood has a separate generator, because the work of sending it would delay
    the measured requests.
    """

    def __init__(self, processes, *, seed, variant):
        server = processes.start(
            "backend",
            names=["server-0"],
            slots=SLOTS,
            service_s_by_rank=SERVICE_S_BY_RANK,
            answer_bytes=0,
        )
        self.entry = processes.start(
            "entry",
            node="entry-1",
            zone="poa",
            configuration=configuration_of(
                {"server-0": server.ready["ports"][0]}, service=SERVICE, slots=SLOTS
            ),
            seed=seed,
            variant=variant,
            backlog=BACKLOG,
        )
        port = self.entry.ready["port"]
        self._steady = processes.start("streams", port=port, seed=seed)
        self._flood = processes.start("streams", port=port, seed=seed + 1)

    def start_phase(self, demand_by_rank, start_at, duration_s):
        """Starts the load of a phase on both generators."""
        for load, flooding in ((self._steady, False), (self._flood, True)):
            lead_s = 0.0 if flooding else STEADY_LEAD_S
            streams = [
                _stream(rank, demand)
                for rank, demand in demand_by_rank.items()
                if (demand >= FLOOD_DEMAND) is flooding
            ]
            load.send(
                {
                    "streams": streams,
                    "start_at": start_at + STEADY_LEAD_S - lead_s,
                    "duration_s": duration_s + lead_s,
                    "grace_s": GRACE_S,
                }
            )

    def collect_records(self):
        """Waits for the phase to end and returns its records by rank.

        Due times count from the start of the flood.
        """
        steady = {
            rank: [[due - STEADY_LEAD_S, *rest] for due, *rest in records]
            for rank, records in self._steady.receive().items()
        }
        return {**steady, **self._flood.receive()}


def _stream(rank, demand):
    return {
        "name": rank,
        "method": METHOD_BY_RANK[rank],
        "path": "/tabela",
        "rate": demand * capacity(rank),
        "body_bytes": BODY_BYTES_BY_RANK[rank],
    }


def _figures(records_by_rank, duration_s):
    """Returns the figures of one phase by rank.

    Shares count every answer after the queues have filled, including answers to
    requests sent before the flood, because these hold slots too. All other figures
    count the requests due since the flood began.
    """
    slot_s_by_rank = {}
    figures = {}
    for rank in RANKS:
        all_records = records_by_rank.get(rank, [])
        ends = [
            due + elapsed_s
            for due, elapsed_s, status, _ in all_records
            if status == 200
        ]
        completed = sum(SETTLE_S <= end < duration_s for end in ends)
        slot_s_by_rank[rank] = completed * SERVICE_S_BY_RANK[rank]
        records = [record for record in all_records if record[0] >= 0.0]
        answered = [record for record in records if record[2] == 200]
        seconds = [record[1] for record in answered]
        codes = {}
        for record in records:
            if record[2] != 200:
                codes[str(record[3])] = codes.get(str(record[3]), 0) + 1
        figures[rank] = {
            "sent": len(records),
            "answered": round(len(answered) / len(records), 4) if records else None,
            "p50_ms": _ms(percentile(seconds, 0.5)),
            "p99_ms": _ms(percentile(seconds, 0.99)),
            "refused_by_code": codes,
        }
    total = sum(slot_s_by_rank.values())
    for rank in RANKS:
        share = slot_s_by_rank[rank] / total if total else 0.0
        figures[rank]["share"] = round(share, 4)
    figures["utilisation"] = round(total / (SLOTS * (duration_s - SETTLE_S)), 4)
    return figures


def _ms(seconds):
    return None if seconds is None else round(seconds * 1000, 2)


def _bounds(figures):
    unflooded = figures["unflooded"]["lookup"]["p99_ms"]
    bulk = figures["bulk"]["lookup"]
    bounds = [
        Bound(
            name="lookups answered under a bulk flood",
            value=bulk["answered"],
            limit=MIN_ANSWERED_SHARE,
            at_most=False,
        ),
        Bound(
            name="lookup p99 under a bulk flood over unflooded",
            value=round(bulk["p99_ms"] / unflooded, 3) if bulk["p99_ms"] else None,
            limit=MAX_P99_RATIO,
        ),
    ]
    for phase, (demand_by_rank, _) in PHASES.items():
        if phase == "unflooded":
            continue
        bounds += [
            Bound(
                name=f"share of {rank} under a {phase} flood",
                value=figures[phase][rank]["share"],
                limit=SHARE_BY_RANK[rank],
                at_most=False,
            )
            for rank, demand in demand_by_rank.items()
            if demand > SHARE_BY_RANK[rank]
        ]
    return bounds


@bench("flood")
def flood(*, seed, long):
    """Compares the shares of the ranks in a flood with those of a FIFO queue."""
    figures_by_variant = {"briarspoke": {}, "fifo": {}}
    with Parts() as processes:
        stacks = {
            "briarspoke": _Stack(processes, seed=seed, variant=None),
            "fifo": _Stack(processes, seed=seed, variant="fifo"),
        }
        for phase, (demand_by_rank, seconds) in PHASES.items():
            duration_s = seconds * (LONG_FACTOR if long else 1.0)
            start_at = monotonic() + 0.1
            for stack in stacks.values():
                stack.start_phase(demand_by_rank, start_at, duration_s)
            for variant, stack in stacks.items():
                figures_by_variant[variant][phase] = _figures(
                    stack.collect_records(), duration_s
                )
        counters = stacks["briarspoke"].entry.ask()["counters"]
    figures = {**figures_by_variant, "invariants": counters["invariants_total"]}
    return Report(
        bench="flood",
        seed=seed,
        figures=figures,
        bounds=_bounds(figures_by_variant["briarspoke"]),
    )
