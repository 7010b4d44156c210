"""An entry VM is stopped while clients send requests one behind the other."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case
from standins.backend import Backend
from standins.clients import Balancer, Client
from standins.deployment import GRACE_S, route

WORK_S = 0.09
DEADLINE_S = 2.0
TIMEOUT_S = 1.0
CLIENTS = 40
PAUSE_S = 0.25
WARM_UP_S = 6.0
# A client comes back after the time that a refusal names, up to a third of its time.
MAX_RETRY_AFTER_S = DEADLINE_S / 3


async def use(client, until, draw):
    """Sends a lookup of a busy service with one of another behind it, repeatedly."""
    while time.monotonic() < until:
        number = draw.randrange(1000)
        sent = await client.send(
            [f"/tabela/{number}", f"/vistoria/{number}"], deadline_s=DEADLINE_S
        )
        pause_s = PAUSE_S
        for attempt in sent:
            if attempt.answer is not None:
                asked = float(attempt.answer.headers.get("retry-after", 0))
                pause_s = max(pause_s, min(asked, MAX_RETRY_AFTER_S))
        await asyncio.sleep(pause_s * draw.uniform(0.8, 1.2))
    client.close()


async def check(deployment, record, trouble):
    runs, attempts = [], []

    def backends(store):
        counts = {"tabela": 1, "vistoria": 3}
        return [
            Backend(
                store=store,
                server_id=f"i-{service}-{number}",
                service=service,
                runs=runs,
                work_s=lambda request: WORK_S,
            )
            for service, count in counts.items()
            for number in range(count)
        ]

    await deployment.start(
        routes={
            service: route(service, f"/{service}/", route_type="safe")
            for service in ("tabela", "vistoria")
        },
        services={"tabela": False, "vistoria": False},
        backends=backends,
        vms={"front-a-1": "a", "front-a-2": "a"},
    )
    balancer = Balancer(deployment.vms)
    draw = random.Random(33)
    until = time.monotonic() + WARM_UP_S + GRACE_S + 2.0
    users = [
        asyncio.create_task(
            use(
                Client(name=f"c{number}", balancer=balancer, attempts=attempts),
                until,
                draw,
            )
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(WARM_UP_S)
    stopped = deployment.vms[0]
    signal_at = time.monotonic()
    if trouble:
        record.add(f"SIGTERM to {stopped.name}")
        stopped.send_signal(signal.SIGTERM)
    await asyncio.gather(*users)
    balancer.stop()
    return judge(record, attempts, runs, stopped, signal_at)


def judge(record, attempts, runs, stopped, signal_at):
    """Returns whether a request that a server got has lost its answer."""
    run_by_id = {run.request_id: run for run in runs}
    statuses = {}
    lost = []
    for attempt in attempts:
        status = attempt.answer.status if attempt.answer else None
        statuses[status] = statuses.get(status, 0) + 1
        record.add(attempt.describe())
        if (
            attempt.answer is None
            and attempt.request_id in run_by_id
            and attempt.vm is stopped
            and signal_at <= attempt.ended_at <= signal_at + GRACE_S + 1.0
            and attempt.ended_at - attempt.sent_at < min(DEADLINE_S, TIMEOUT_S)
        ):
            lost.append(attempt)
    record.add(f"attempts by status: {statuses}")
    for attempt in lost:
        run = run_by_id[attempt.request_id]
        end = "did not end" if run.ended_at is None else "ended well"
        record.add(f"LOST {attempt.describe()}; its run at {run.server_id} {end}")
    return bool(lost)


case.main(__file__, check)
