"""Unknown outcomes of bookings when servers close idle connections."""

from __future__ import annotations

import collections
import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.parts import Parts
from briarspoke.benches.proxy import configuration_of, start_entries

SERVERS = 20
RATE = 1500.0
DURATION_S = 10.0
LONG_DURATION_S = 30.0
# Close to the mean time between two requests to a server, so that many requests
# are sent on a connection that the server is closing.
IDLE_CLOSE_S = 0.015
MAX_UNKNOWN_SHARE = 0.001


@bench("idle-close")
def run(*, seed, long):
    """Counts unknown outcomes while servers close connections continuously."""
    names = [f"tabela-{number}" for number in range(SERVERS)]
    with Parts() as processes:
        backend = processes.start(
            "backend",
            names=names,
            seed=seed,
            keep_records=True,
            idle_close_s=IDLE_CLOSE_S,
        )
        ports_by_name = dict(zip(names, backend.ready["ports"], strict=True))
        (entry,) = start_entries(processes, configuration_of(ports_by_name), 1)
        load = processes.start(
            "mixed_load",
            service="tabela",
            ports=[("127.0.0.1", entry.ready["port"])],
            rate=RATE,
            keys=997,
        )
        load.ask(start=True)
        time.sleep(LONG_DURATION_S if long else DURATION_S)
        records = load.ask(stop=True)["records"]
        executions = backend.ask()["executions"]
    bookings = [r for r in records if r["kind"] == "booking"]
    unknown = [r for r in bookings if not r["code"] or r["run"] == "unknown"]
    unknown = [r for r in unknown if r["status"] != 200]
    unknown_not_run = sum(not executions.get(r["request_id"]) for r in unknown)
    run_twice = sum(len(executions.get(r["request_id"], [])) > 1 for r in bookings)
    refused_but_run = sum(
        r["run"] == "no" and r["request_id"] in executions for r in records
    )
    unknown_share = len(unknown) / len(bookings)
    return Report(
        bench="idle-close",
        seed=seed,
        figures={
            "requests": len(records),
            "bookings": len(bookings),
            "failed_by_code": dict(
                collections.Counter(
                    f"{r['kind']} {r['code']}" for r in records if r["status"] != 200
                )
            ),
            "unknown": len(unknown),
            "unknown_but_not_run": unknown_not_run,
            "unknown_share": unknown_share,
        },
        bounds=[
            Bound(name="unknown_share", value=unknown_share, limit=MAX_UNKNOWN_SHARE),
            Bound(name="non_idempotent_run_twice", value=run_twice, limit=0),
            Bound(name="refused_but_run", value=refused_but_run, limit=0),
        ],
    )
