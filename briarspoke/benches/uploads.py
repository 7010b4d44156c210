"""Completeness and memory use of concurrent uploads to a slow server."""

from __future__ import annotations

import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.parts import Parts
from briarspoke.benches.proxy import configuration_of, start_entries

UPLOADS = 50
UPLOAD_BYTES = 20_000_000
# Per connection: 50 connections read 1 GB in about 12 s.
READ_BYTES_PER_S = 1_700_000
MEMORY_LIMIT_BYTES = 32 * 1_048_576
SLOTS = 64
WARMUP_LOAD_S = 1.0
SERVICE = {
    "name": "tabela",
    "warmup_s": 0,
    "rank_rules": [{"rank": "bulk", "methods": ["PUT"]}],
    "ranks": {"bulk": {"queue": 2 * UPLOADS}},
}


@bench("uploads")
def run(*, seed, long):
    """Checks that concurrent uploads arrive complete within a memory limit."""
    with Parts() as processes:
        server = processes.start(
            "backend",
            names=["tabela-1"],
            seed=seed,
            slots=SLOTS,
            keep_records=True,
            read_rate=READ_BYTES_PER_S,
        )
        configuration = configuration_of(
            {"tabela-1": server.ready["ports"][0]}, service=SERVICE, slots=SLOTS
        )
        entries = start_entries(processes, configuration, 2)
        ports = [entry.ready["port"] for entry in entries]
        # The first requests import modules and fill caches. This growth is not
        # caused by uploads, so it happens before the first measurement.
        processes.start("load").ask(
            ports=ports, connections=UPLOADS, seconds=WARMUP_LOAD_S, rate=200
        )
        rss_before_bytes = [entry.ask()["rss_bytes"] for entry in entries]
        load = processes.start("upload_load")
        rounds = []
        for index, port in enumerate(ports * (2 if long else 1)):
            began = time.monotonic()
            uploads = load.ask(
                port=port, count=UPLOADS, size=UPLOAD_BYTES, seed=f"{seed}-{index}"
            )
            rounds.append((uploads, time.monotonic() - began))
        states_after = [entry.ask() for entry in entries]
        executions = server.ask()["executions"]
    incomplete = 0
    for index, (uploads, _) in enumerate(rounds):
        for request_id, status, body_hash in uploads:
            hashes = executions.get(request_id, [])
            complete = len(hashes) == len(rounds) and hashes[index] == body_hash
            incomplete += status != 200 or not complete
    growth_bytes = max(
        state["rss_peak_bytes"] - rss
        for state, rss in zip(states_after, rss_before_bytes, strict=True)
    )
    return Report(
        bench="uploads",
        seed=seed,
        figures={
            "uploads": UPLOADS * len(rounds),
            "bytes_each": UPLOAD_BYTES,
            "rounds_s": [round(elapsed, 1) for _, elapsed in rounds],
            "rss_before_bytes": rss_before_bytes,
            "rss_peak_bytes": [state["rss_peak_bytes"] for state in states_after],
            "growth_mb": round(growth_bytes / 1_048_576, 2),
            "counters": [state["counters"] for state in states_after],
        },
        bounds=[
            Bound(name="incomplete uploads", limit=0, value=incomplete),
            Bound(
                name="growth of the entry process in bytes",
                limit=MEMORY_LIMIT_BYTES,
                value=growth_bytes,
            ),
        ],
    )
