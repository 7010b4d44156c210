"""Measures how long the keys of a killed server are unavailable."""

from __future__ import annotations

import time

from briarspoke.benches import Bound, Report, bench, parts, percentile
from briarspoke.benches.deployment import Deployment
from briarspoke.benches.records import Callers, count_by_code, share_ok
from briarspoke.clock import monotonic

PARTITIONS = 64
KEYS = 200
RATE = 1000.0
KILLS = 3
LONG_KILLS = 12
# Longer than the limit, so that times above it are measured.
OBSERVATION_S = 6.0
MAX_UNAVAILABLE_S = 4.0
POLL_S = 0.1
RESTART_S = 2.5
SERVICE = {"name": "tabela", "partitions": PARTITIONS, "warmup_s": 0.5}
BASELINE_S = 8.0


class _Kill:
    """The kill of a server and the times that the processes recorded for it."""

    def __init__(self, *, server, at, partitions):
        # Partitions that a balancing move assigned to the server after its kill.
        self.assigned_later = set()
        self.server = server
        self.at = at
        self.partitions = partitions
        self.written_at = None
        self.applied_everywhere_at = None
        self.granted_at = None


@bench("takeover")
def takeover(*, seed, long):
    """Measures how long the keys of a killed server are unavailable."""
    deployment = Deployment(
        seed=seed,
        zones=("poa", "cwb"),
        nodes_by_zone=2,
        servers_by_zone=3,
        services=[SERVICE],
    )
    with deployment:
        callers = deployment.start_callers(service="tabela", keys=KEYS, rate=RATE)
        time.sleep(1.0)
        names = sorted(deployment.servers_by_name)
        kills = []
        for number in range(LONG_KILLS if long else KILLS):
            name = names[(seed + number * 2) % len(names)]
            kills.append(_kill(deployment, name))
        records = callers.stop()
        two_owners = deployment.two_owners()
    return _report(seed, records, kills, two_owners, _baseline(seed))


def _kill(deployment, name):
    server = deployment.servers_by_name[name]
    owned = _owned_by(deployment, name)
    kill = _Kill(server=name, at=deployment.kill_server(name), partitions=owned)
    while monotonic() < kill.at + OBSERVATION_S:
        kill.assigned_later |= _owned_by(deployment, name) - owned
        time.sleep(POLL_S)
    _read_timestamps(deployment, kill)
    deployment.start_server(name, server.zone, server.service, port=server.port)
    time.sleep(RESTART_S)
    return kill


def _owned_by(deployment, name):
    """Returns the partitions that at least one entry VM routes to a server."""
    owned = set()
    for node in deployment.nodes_by_name.values():
        owners = node.ask(owners=True)["owners"]["tabela"]
        owned |= {number for number, owner in enumerate(owners) if owner == name}
    return owned


def _read_timestamps(deployment, kill):
    """Reads from the processes' records when each phase of the takeover ended."""
    applied = [
        min((at for at, _, _ in node.ask(log=True)["ownership_log"] if at > kill.at))
        for node in deployment.nodes_by_name.values()
    ]
    kill.written_at = min(applied)
    kill.applied_everywhere_at = max(applied)
    first_begins = {}
    for server in deployment.alive_servers():
        for partition, _, begin, _ in server.part.ask()["intervals"]:
            if begin > kill.at:
                known = first_begins.get(partition, begin)
                first_begins[partition] = min(begin, known)
    expected = {f"tabela/{number}" for number in kill.partitions}
    begins = [first_begins[name] for name in expected if name in first_begins]
    kill.granted_at = max(begins, default=None)


def _unavailable(records, kill):
    """Returns the seconds without service of each key of the killed server."""
    seconds = []
    for key in range(KEYS):
        key_records = [r for r in records if r.key == key]
        if (
            not key_records
            or key_records[0].partition(PARTITIONS) not in kill.partitions
        ):
            continue
        served = [r.ended_at for r in key_records if r.due_at >= kill.at and r.ok]
        first = min(served, default=kill.at + OBSERVATION_S)
        seconds.append(min(first, kill.at + OBSERVATION_S) - kill.at)
    return seconds


def _failed_on_other_servers(records, kill, end):
    """Returns the failed requests for keys that other servers own."""
    excluded = kill.partitions | kill.assigned_later
    return [
        r
        for r in records
        if kill.at <= r.due_at < end
        and not r.ok
        and r.partition(PARTITIONS) not in excluded
    ]


def _unavailable_later(records, kill):
    """Returns the seconds without service of keys assigned after the kill."""
    seconds = []
    for key in range(KEYS):
        key_records = [
            r
            for r in records
            if r.key == key and kill.at <= r.due_at < kill.at + OBSERVATION_S
        ]
        if (
            not key_records
            or key_records[0].partition(PARTITIONS) not in kill.assigned_later
        ):
            continue
        failed = [r.due_at for r in key_records if not r.ok]
        if failed:
            served = [r.ended_at for r in key_records if r.ok and r.due_at > failed[-1]]
            end = min(served, default=kill.at + OBSERVATION_S)
            seconds.append(end - failed[0])
    return seconds


def _report(seed, records, kills, two_owners, baseline):
    unavailable = [s for kill in kills for s in _unavailable(records, kill)]
    later = [s for kill in kills for s in _unavailable_later(records, kill)]
    unavailable += later
    others = [
        r
        for kill in kills
        for r in _failed_on_other_servers(records, kill, kill.at + OBSERVATION_S)
    ]
    phases = [
        {
            "server": kill.server,
            "partitions": len(kill.partitions),
            "detected_expired_written_s": round(kill.written_at - kill.at, 3),
            "spread_s": round(kill.applied_everywhere_at - kill.written_at, 3),
            "granted_s": round(kill.granted_at - kill.written_at, 3),
            "first_answers_s": round(
                max(_unavailable(records, kill)) - (kill.granted_at - kill.at), 3
            ),
        }
        for kill in kills
        if kill.granted_at is not None
    ]
    p99 = percentile(unavailable, 0.99)
    return Report(
        bench="takeover",
        seed=seed,
        figures={
            "kills": len(kills),
            "keys_hit": len(unavailable),
            "unavailable_p50_s": percentile(unavailable, 0.5),
            "unavailable_p99_s": p99,
            "unavailable_max_s": max(unavailable, default=None),
            "keys_assigned_after_the_kill": len(later),
            "terms": phases,
            "requests": len(records),
            "answered_share": share_ok(records),
            "failed_by_code": count_by_code(records),
            "failed_of_other_servers": count_by_code(others),
            "two_owners": two_owners,
            "static_placement_unavailable_s": baseline,
        },
        bounds=[
            Bound(name="unavailable_p99_s", value=p99, limit=MAX_UNAVAILABLE_S),
            Bound(name="other_servers_failed", value=len(others), limit=0),
            Bound(name="two_owners", value=two_owners, limit=0),
            Bound(name="kills", value=len(phases), limit=len(kills), at_most=False),
        ],
    )


def _baseline(seed):
    """Returns the seconds without service under static placement, observed for 8 s."""
    with parts.Parts() as processes:
        names = ["tabela-poa-1", "tabela-poa-2"]
        servers = [
            processes.start(
                "server", name=name, host="127.0.0.1", seed=seed, fenced=False
            )
            for name in names
        ]
        entry = processes.start("entry", **_static_parameters(names, servers))
        callers = Callers(
            processes,
            service="tabela",
            keys=20,
            rate=100.0,
            ports=[("127.0.0.1", entry.ready["port"])],
        )
        time.sleep(0.5)
        servers[0].kill()
        killed_at = monotonic()
        time.sleep(BASELINE_S)
        records = callers.stop()
    lost = {r.key for r in records if r.due_at > killed_at and not r.ok}
    served_late = [
        r.ended_at - killed_at
        for r in records
        if r.key in lost and r.ok and r.due_at > killed_at
    ]
    return min(served_late, default=f"above {BASELINE_S}")


def _static_parameters(names, servers):
    return {
        "node": "entry-static",
        "zone": "poa",
        "configuration": {
            "zones": [{"name": "poa"}],
            "services": [SERVICE],
            "servers": [
                {
                    "name": name,
                    "service": "tabela",
                    "zone": "poa",
                    "address": f"127.0.0.1:{server.ready['port']}",
                }
                for name, server in zip(names, servers, strict=True)
            ],
        },
    }
