"""Measures what is served inside and outside a zone that is cut off."""

from __future__ import annotations

import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.deployment import STORE_HOST, Deployment
from briarspoke.benches.records import (
    between,
    count_by_code,
    share_ok,
)
from briarspoke.clock import monotonic

ZONES = ("poa", "cwb", "fln")
CUT_ZONE = "poa"
ZONE_FILTER_BY_SIDE = {
    "inside": lambda zone: zone == CUT_ZONE,
    "outside": lambda zone: zone != CUT_ZONE,
}
PARTITIONS = 48
KEYS = 300
RATE_PER_SIDE = 300.0
CUT_S = 10.0
LONG_CUT_S = 90.0
# Membership needs 3 s to declare a silent member unreachable. Until then, some
# requests wait for a gateway on the other side that does not answer.
SETTLED_S = 4.0
# Requests due within this time before the cut heals could be answered after it.
DEADLINE_S = 1.5
MAX_TIME_TO_NORMAL_S = 5.0
NORMAL_SHARE = 0.99
WINDOW_S = 0.5
SERVICE = {"name": "tabela", "partitions": PARTITIONS}


@bench("zone-cut")
def zone_cut(*, seed, long):
    """Measures what is served while one of three zones is cut off."""
    cut_s = LONG_CUT_S if long else CUT_S
    deployment = Deployment(
        seed=seed,
        zones=ZONES,
        nodes_by_zone=2,
        servers_by_zone=2,
        services=[SERVICE],
    )
    with deployment:
        sides = {
            side: deployment.start_callers(
                service="tabela", keys=KEYS, rate=RATE_PER_SIDE, zone_filter=zone_filter
            )
            for side, zone_filter in ZONE_FILTER_BY_SIDE.items()
        }
        time.sleep(2.0)
        first = next(iter(deployment.nodes_by_name.values()))
        owners = first.ask(owners=True)["owners"]["tabela"]
        begin = monotonic()
        _cut(deployment)
        time.sleep(cut_s)
        end = monotonic()
        for node in deployment.nodes_by_name.values():
            node.ask(heal=True)
        time.sleep(MAX_TIME_TO_NORMAL_S + 2.0)
        records = {side: callers.stop() for side, callers in sides.items()}
        two_owners = deployment.two_owners()
    return _report(seed, records, owners, begin, end, two_owners)


def _cut(deployment):
    inside = deployment.prefix(CUT_ZONE)
    others = [deployment.prefix(zone) for zone in ZONES if zone != CUT_ZONE]
    for node in deployment.nodes_by_name.values():
        is_inside = node.zone == CUT_ZONE
        node.ask(cut=[*others, STORE_HOST] if is_inside else [inside])


def _shares(records, owners, begin, end):
    """Returns the answered shares for keys of each side during the cut, by name."""
    shares = {}
    for side, side_records in records.items():
        during = between(side_records, begin + SETTLED_S, end - DEADLINE_S)
        for own_zone in (True, False):
            is_inside = (side == "inside") == own_zone
            chosen = [
                r
                for r in during
                if owners[r.partition(PARTITIONS)].startswith(f"tabela-{CUT_ZONE}-")
                == is_inside
            ]
            name = f"{side}_{'own' if own_zone else 'other'}_side"
            shares[name] = {
                "requests": len(chosen),
                "answered_share": share_ok(chosen),
                "failed_by_code": count_by_code(chosen),
            }
    return shares


def _time_to_normal(records, end):
    """Returns the seconds after healing until every later window is normal."""
    last = max(r.due_at for r in records)
    normal_from = end
    at = end
    while at < last - WINDOW_S:
        share = share_ok(between(records, at, at + WINDOW_S))
        if share is None or share < NORMAL_SHARE:
            normal_from = at + WINDOW_S
        at += WINDOW_S
    return normal_from - end


def _report(seed, records, owners, begin, end, two_owners):
    shares = _shares(records, owners, begin, end)
    all_records = [r for side_records in records.values() for r in side_records]
    normal_s = _time_to_normal(all_records, end)
    bounds = [
        Bound(
            name=f"{side}_own_side_answered_share",
            value=shares[f"{side}_own_side"]["answered_share"],
            limit=0.99,
            at_most=False,
        )
        for side in records
    ]
    return Report(
        bench="zone-cut",
        seed=seed,
        figures={
            "cut_s": round(end - begin, 2),
            "shares": shares,
            "first_seconds_answered_share": {
                side: share_ok(between(side_records, begin, begin + SETTLED_S))
                for side, side_records in records.items()
            },
            "normal_after_s": normal_s,
            "two_owners": two_owners,
        },
        bounds=[
            *bounds,
            Bound(name="two_owners", value=two_owners, limit=0),
            Bound(name="normal_after_s", value=normal_s, limit=MAX_TIME_TO_NORMAL_S),
        ],
    )
