"""Unknown outcomes of bookings when servers close idle connections."""

from __future__ import annotations

import collections
import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.parts import Parts
from briarspoke.benches.proxy import configuration_of, start_entries

SERVERS = 20
RATE = 1500.0
SECONDS = 10.0
LONG_SECONDS = 30.0
# Near the mean time between two requests of a server, so that many requests
# meet a connection that is being closed.
IDLE_CLOSE_S = 0.015
LIMIT_UNKNOWN_SHARE = 0.001


@bench("idle-close")
def run(*, seed, long):
    """Sends lookups and bookings while connections are closed all the time."""
    names = [f"tabela-{number}" for number in range(SERVERS)]
    with Parts() as running:
        backend = running.start(
            "backend",
            names=names,
            seed=seed,
            keep_records=True,
            idle_close_s=IDLE_CLOSE_S,
        )
        ports_by_name = dict(zip(names, backend.ready["ports"], strict=True))
        (entry,) = start_entries(running, configuration_of(ports_by_name), 1)
        load = running.start(
            "mixed_load",
            service="tabela",
            ports=[("127.0.0.1", entry.ready["port"])],
            rate=RATE,
            keys=997,
        )
        load.ask(start=True)
        time.sleep(LONG_SECONDS if long else SECONDS)
        records = load.ask(stop=True)["records"]
        executions = backend.ask()["executions"]
    bookings = [r for r in records if r["kind"] == "booking"]
    unknown = [r for r in bookings if not r["code"] or r["run"] == "unknown"]
    unknown = [r for r in unknown if r["status"] != 200]
    unknown_not_run = sum(not executions.get(r["request_id"]) for r in unknown)
    twice = sum(len(executions.get(r["request_id"], [])) > 1 for r in bookings)
    refused_but_run = sum(
        r["run"] == "no" and r["request_id"] in executions for r in records
    )
    share = len(unknown) / len(bookings)
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
            "unknown_share": share,
        },
        bounds=[
            Bound(name="unknown_share", value=share, limit=LIMIT_UNKNOWN_SHARE),
            Bound(name="non_idempotent_run_twice", value=twice, limit=0),
            Bound(name="refused_but_run", value=refused_but_run, limit=0),
        ],
    )
