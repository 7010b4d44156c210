"""Faults at every point of a request, checked against the servers' records."""

from __future__ import annotations

import collections
import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.parts import Parts
from briarspoke.benches.proxy import configuration_of, start_entries

REQUESTS = 21_000
BACKEND_PROCESSES = 3
SERVERS_PER_PROCESS = 2
ENTRY_PROCESSES = 2
LOAD_PROCESSES = 2
WORKERS = 48
FAULT_RATE = 0.08
CALLER_FAULT_RATE = 0.02
ANSWER_BYTES = 20_000
SERVICE_S = 0.002


def count_violations(results, executions):
    """Returns the number of requests that violate each guarantee, by its name.

    :param results: (method, outcome, hash of the body) by request identifier.
    :param executions: hashes of the bodies that servers ran, by request
        identifier.
    """
    violations = dict.fromkeys(
        (
            "twice",
            "refused_but_run",
            "answered_but_not_run",
            "partial_body_run",
            "truncated",
            "misdelivered",
            "hung",
            "unknown_requests",
        ),
        0,
    )
    violations["unknown_requests"] = len(executions.keys() - results.keys())
    for request_id, (method, outcome, body_hash) in results.items():
        hashes = executions.get(request_id, [])
        violations["twice"] += method == "POST" and len(hashes) > 1
        violations["refused_but_run"] += outcome.startswith("no:") and bool(hashes)
        violations["answered_but_not_run"] += outcome == "answered" and not hashes
        violations["partial_body_run"] += any(run != body_hash for run in hashes)
        for name in ("truncated", "misdelivered", "hung"):
            violations[name] += outcome == name
    return violations


def _load(loads, entries, requests, seed):
    ports = [entry.ready["port"] for entry in entries]
    for number, load in enumerate(loads):
        load.send(
            {
                "ports": ports,
                "requests": requests // len(loads),
                "seed": f"{seed}-{number}",
                "prefix": f"p{number}",
                "answer_bytes": ANSWER_BYTES,
                "caller_fault_rate": CALLER_FAULT_RATE,
                "workers": WORKERS,
            }
        )
    results = {}
    for load in loads:
        results.update(load.receive())
    return results


@bench("faults")
def run(*, seed, long):
    """Checks that faults do not duplicate, lose or mix up requests."""
    with Parts() as processes:
        servers = []
        ports_by_name = {}
        for number in range(BACKEND_PROCESSES):
            names = [f"tabela-{number}-{index}" for index in range(SERVERS_PER_PROCESS)]
            part = processes.start(
                "backend",
                names=names,
                seed=seed * 100 + number,
                echo=True,
                answer_bytes=ANSWER_BYTES,
                service_s=SERVICE_S,
                keep_records=True,
                fault_rate=FAULT_RATE,
            )
            servers.append(part)
            ports_by_name.update(zip(names, part.ready["ports"], strict=True))
        entries = start_entries(
            processes, configuration_of(ports_by_name), ENTRY_PROCESSES
        )
        loads = [processes.start("faults_load") for _ in range(LOAD_PROCESSES)]
        began = time.monotonic()
        results = _load(loads, entries, REQUESTS * (5 if long else 1), seed)
        elapsed = time.monotonic() - began
        # Executions that start after the caller has stopped waiting count too.
        time.sleep(2.0)
        records = [part.ask() for part in servers]
        states = [entry.ask() for entry in entries]
    executions = collections.defaultdict(list)
    injected_faults = collections.Counter()
    for record in records:
        injected_faults.update(record["faults"])
        for request_id, hashes in record["executions"].items():
            executions[request_id] += hashes
    violations = count_violations(results, executions)
    held_requests = sum(state["in_flight"] for state in states)
    figures = {
        "requests": len(results),
        "seconds": round(elapsed, 1),
        "outcomes": dict(collections.Counter(r[1] for r in results.values())),
        "methods": dict(collections.Counter(r[0] for r in results.values())),
        "injected": dict(injected_faults),
        "executions": sum(len(hashes) for hashes in executions.values()),
        "violations": violations,
        "held_at_the_end": held_requests,
        "counters": [state["counters"] for state in states],
    }
    bounds = [
        Bound(name="requests", limit=20_000, value=len(results), at_most=False),
        Bound(name="requests held at the end", limit=0, value=held_requests),
    ]
    bounds += [Bound(name=name, limit=0, value=n) for name, n in violations.items()]
    return Report(bench="faults", seed=seed, figures=figures, bounds=bounds)
