"""Injects random faults into the production ownership code in virtual time."""

from __future__ import annotations

import collections
import random

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.ownership_faults import faults_by_name
from briarspoke.benches.ownership_scenario import Scenario
from briarspoke.benches.ownership_times import controller_gaps, takeover_figures

MIXED_SCENARIOS = 10
# Extra scenarios that only pause processes and stop their clocks, which the other
# scenarios combine too rarely.
CLOCK_SCENARIOS = 3
LONG_FACTOR = 10
MIN_FAULTS = 2000
# A state or a fault that occurs less often does not count as tested.
MIN_OCCURRENCES = 5
# Limit for the time from a single loss until its keys are served again.
MAX_UNAVAILABLE_S = 4.0
# A grant may have only 1.2 s left when its controller is lost, and the takeover may
# take 1.4 s.
MAX_CONTROLLER_GAP_S = 0.2
SINGLE_LOSSES = (
    "fenced server killed",
    "fenced server frozen",
    "unfenced server killed",
    "unfenced server and an entry VM killed",
)

REQUIRED_STATES = (
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


def scenarios(seed, mixed_count):
    """Yields scenarios with single faults, then with pairs, then with all faults.

    :param mixed_count: number of scenarios that draw from all faults.
    """
    rng = random.Random(seed)
    names = sorted(faults_by_name)
    fault_sets = [[name] for name in names]
    fault_sets += [[name, rng.choice(names)] for name in names]
    fault_sets += [None] * mixed_count
    first_clock_scenario = len(fault_sets)
    fault_sets += [["entry-vm-paused", "controller-paused-in-move"]] * CLOCK_SCENARIOS
    for number, fault_names in enumerate(fault_sets):
        yield Scenario(
            seed=seed * 1_000_000 + number,
            fault_names=fault_names,
            # Clocks stop in every third scenario, which excludes unfenced servers.
            clocks_stop=number % 3 == 2 or number >= first_clock_scenario,
        )


def all_scenarios(seed, long):
    """Yields the scenarios of a run; a long run has ten times as many."""
    for number in range(LONG_FACTOR if long else 1):
        yield from scenarios(seed * 100 + number, MIXED_SCENARIOS)


@bench("ownership")
def run(*, seed, long):
    """Checks that random faults cause no second owner and no lost assignment."""
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
    overlapping_faults = sum(result.overlapping_faults for result in results)
    times = takeover_figures(seed)
    gaps = controller_gaps(seed)
    losses = [times[name] for name in SINGLE_LOSSES]
    figures = {
        "seconds_until_served": times,
        "seconds_without_grant_after_controller_loss": gaps,
        "scenarios": len(results),
        "faults": dict(sorted(faults.items())),
        "fault_events": total,
        "faults_during_another": overlapping_faults,
        "states": dict(sorted(counts.items())),
        "executions": executions,
        "examples": [*two_owners[:3], *lost[:3], *unserved[:3]],
    }
    bounds = [
        Bound(
            name="slowest_single_loss_s",
            value=max(phases["total"]["largest"] for phases in losses),
            limit=MAX_UNAVAILABLE_S,
        ),
        Bound(
            name="single_losses_not_served",
            value=sum(phases["not_served"] for phases in losses),
            limit=0,
        ),
        Bound(
            name="longest_gap_after_controller_loss_s",
            value=gaps["largest"],
            limit=MAX_CONTROLLER_GAP_S,
        ),
        Bound(name="moments_with_two_owners", value=len(two_owners), limit=0),
        Bound(name="acknowledged_assignments_lost", value=len(lost), limit=0),
        Bound(name="unserved_after_healing", value=len(unserved), limit=0),
        Bound(name="fault_events", value=total, limit=MIN_FAULTS, at_most=False),
        Bound(
            name="faults_during_another",
            value=overlapping_faults,
            limit=500,
            at_most=False,
        ),
        Bound(name="executions", value=executions, limit=10_000, at_most=False),
        Bound(
            name="rarest_fault",
            value=min(faults[name] for name in faults_by_name),
            limit=MIN_OCCURRENCES,
            at_most=False,
        ),
        Bound(
            name="rarest_state",
            value=min(counts[name] for name in REQUIRED_STATES),
            limit=MIN_OCCURRENCES,
            at_most=False,
        ),
    ]
    return Report(bench="ownership", seed=seed, figures=figures, bounds=bounds)
