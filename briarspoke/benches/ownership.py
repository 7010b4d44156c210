"""Random faults against the real ownership code in virtual time."""

from __future__ import annotations

import collections
import random

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.ownership_faults import faults_by_name
from briarspoke.benches.ownership_scenario import Scenario
from briarspoke.benches.ownership_times import controller_gaps, takeover_figures

MIXED_SCENARIOS = 10
# Scenarios of pauses alone, in which clocks stop: the rarest state otherwise.
CLOCK_SCENARIOS = 3
LONG_FACTOR = 10
MIN_FAULTS = 2000
# A state or a fault that is visited less often was not tested.
MIN_VISITS = 5
# A key is served again within this time of a loss.
SERVED_AGAIN_S = 4.0
# The last renewal may leave 1.2 s, and the takeover may take 1.4 s.
CONTROLLER_GAP_S = 0.2
SINGLE_LOSSES = (
    "fenced server killed",
    "fenced server frozen",
    "unfenced server killed",
    "unfenced server and an entry VM killed",
)

VISITED = (
    "acquired",
    "lost",
    "barriers",
    "assignments",
    "paused",
    "paused-in-move",
    "clock-stopped",
    "fenced-by-term",
    "write-conflict",
    "write-unknown",
    "record-conflict",
    "fenced-off",
    "no-routing-lease",
    "call-delayed",
    "answer-lost",
)


def scenarios(seed, mixed):
    """Yields scenarios: each fault alone, then in pairs, then all mixed.

    :param mixed: number of scenarios with all faults.
    """
    chooser = random.Random(seed)
    names = sorted(faults_by_name)
    kinds = [[name] for name in names]
    kinds += [[name, chooser.choice(names)] for name in names]
    kinds += [None] * mixed
    first_clock = len(kinds)
    kinds += [["entry-vm-paused", "controller-paused-in-move"]] * CLOCK_SCENARIOS
    for number, chosen in enumerate(kinds):
        yield Scenario(
            seed=seed * 1_000_000 + number,
            kinds=chosen,
            # Two of three scenarios have both kinds of servers.
            clocks_stop=number % 3 == 2 or number >= first_clock,
        )


def all_scenarios(seed, long):
    """Yields the scenarios of a short or a long run."""
    for number in range(LONG_FACTOR if long else 1):
        yield from scenarios(seed * 100 + number, MIXED_SCENARIOS)


@bench("ownership")
def run(*, seed, long):
    """Shows whether random faults give a key two owners or lose an assignment."""
    results = [scenario.run() for scenario in all_scenarios(seed, long)]
    faults, counts = collections.Counter(), collections.Counter()
    for result in results:
        faults.update(result.faults)
        counts.update(result.counts)
    two_owners = [text for result in results for text in result.two_owners]
    lost = [text for result in results for text in result.lost]
    unserved = [text for result in results for text in result.unserved]
    executions = sum(result.executions for result in results)
    total = sum(faults.values())
    pairs = sum(result.pairs for result in results)
    times = takeover_figures(seed)
    gaps = controller_gaps(seed)
    losses = [times[name] for name in SINGLE_LOSSES]
    figures = {
        "seconds_until_served": times,
        "seconds_without_grant_after_controller_loss": gaps,
        "scenarios": len(results),
        "faults": dict(sorted(faults.items())),
        "fault_events": total,
        "faults_during_another": pairs,
        "states": dict(sorted(counts.items())),
        "executions": executions,
        "examples": [*two_owners[:3], *lost[:3], *unserved[:3]],
    }
    bounds = [
        Bound(
            name="slowest_single_loss_s",
            value=max(terms["total"]["largest"] for terms in losses),
            limit=SERVED_AGAIN_S,
        ),
        Bound(
            name="single_losses_not_served",
            value=sum(terms["not_served"] for terms in losses),
            limit=0,
        ),
        Bound(
            name="longest_gap_after_controller_loss_s",
            value=gaps["largest"],
            limit=CONTROLLER_GAP_S,
        ),
        Bound(name="moments_with_two_owners", value=len(two_owners), limit=0),
        Bound(name="acknowledged_assignments_lost", value=len(lost), limit=0),
        Bound(name="unserved_after_healing", value=len(unserved), limit=0),
        Bound(name="fault_events", value=total, limit=MIN_FAULTS, at_most=False),
        Bound(name="faults_during_another", value=pairs, limit=500, at_most=False),
        Bound(name="executions", value=executions, limit=10_000, at_most=False),
        Bound(
            name="rarest_fault",
            value=min(faults[name] for name in faults_by_name),
            limit=MIN_VISITS,
            at_most=False,
        ),
        Bound(
            name="rarest_state",
            value=min(counts[name] for name in VISITED),
            limit=MIN_VISITS,
            at_most=False,
        ),
    ]
    return Report(bench="ownership", seed=seed, figures=figures, bounds=bounds)
