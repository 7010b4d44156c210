"""Entry VMs are stopped in turn while clients pipeline lookups without a pause."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case, http11
from standins.backend import Backend
from standins.clients import Attempt, Balancer, request
from standins.deployment import GRACE_S, route

# ``price-lookup`` of the site file: work with a lognormal spread, and one request in a
# hundred that takes five times as long.
MEAN_S, SPREAD, TAIL, TAIL_FACTOR, MAX_S = 0.09, 0.3, 0.01, 5, 0.68
DEADLINE_S = 2.0
TIMEOUT_S = 1.0
SERVERS, SLOTS = 14, 6
VMS = 4
CLIENTS = 14
INTERVAL_S = 0.03
WARM_UP_S, LENGTH_S = 4.0, 104.0
# The site's ``roll_term``.
GAP_S = 1.0
STOPPED_TOGETHER = 2
# Requests that are sent later than this after the signal may not be broken off.
LAST_EXCUSED_S = 3.0


def draw_work_s():
    """Returns the seconds of work of one request."""
    seconds = random.lognormvariate(math.log(MEAN_S) - SPREAD**2 / 2, SPREAD)
    if random.random() < TAIL:
        seconds *= TAIL_FACTOR
    return min(MAX_S, seconds)


class PipeliningClient:
    """Sends lookups at a steady rate, also while earlier ones are unanswered."""

    def __init__(self, *, name, balancer, attempts):
        self._name = name
        self._balancer = balancer
        self._attempts = attempts
        self._count = 0

    async def run(self):
        """Uses one connection after the other until it is cancelled."""
        while True:
            vm = self._balancer.choose()
            try:
                reader, writer = await asyncio.open_connection(vm.ip, vm.port)
            except OSError:
                await asyncio.sleep(INTERVAL_S)
                continue
            await self._use(vm, reader, writer)
            writer.close()

    async def _use(self, vm, reader, writer):
        waiting = asyncio.Queue()
        sender = asyncio.create_task(self._send(vm, writer, waiting))
        try:
            while (attempt := await waiting.get()) is not None:
                attempt.answer = await http11.read_message(reader)
                attempt.ended_at = time.monotonic()
                if attempt.answer is None:
                    break
                if attempt.answer.headers.get("connection") == "close":
                    break
        except ConnectionError:
            pass
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender

    async def _send(self, vm, writer, waiting):
        with contextlib.suppress(ConnectionError):
            while True:
                self._count += 1
                request_id = f"{self._name}-{self._count}"
                attempt = Attempt(request_id=request_id, vm=vm, deadline_s=DEADLINE_S)
                self._attempts.append(attempt)
                waiting.put_nowait(attempt)
                path = f"/prices/{self._count}"
                writer.write(request(path, request_id, deadline_s=DEADLINE_S))
                await writer.drain()
                await asyncio.sleep(INTERVAL_S * random.uniform(0.7, 1.3))
        waiting.put_nowait(None)


async def stop_and_start(deployment, vm, record, stops):
    """Stops an entry VM as the platform does and starts it again."""
    signal_at = time.monotonic()
    stops.append((vm, signal_at))
    vm.send_signal(signal.SIGTERM)
    while vm.is_running and time.monotonic() < signal_at + GRACE_S:
        await asyncio.sleep(0.02)
    record.add(f"{vm.name} ended after {time.monotonic() - signal_at:.1f} s")
    vm.end()
    vm.start()
    await deployment.wait_until_ready(vm)


async def check(deployment, record, trouble):
    runs, attempts, stops = [], [], []
    await deployment.start(
        routes={
            "prices": route(
                "tabela", "/prices/", route_type="safe", target_latency="300ms"
            )
        },
        services={"tabela": False},
        backends=lambda store: [
            Backend(
                store=store,
                server_id=f"i-{number}",
                service="tabela",
                runs=runs,
                work_s=lambda _: draw_work_s(),
                slots=SLOTS,
            )
            for number in range(SERVERS)
        ],
        vms={f"front-a-{number}": "a" for number in range(VMS)},
    )
    balancer = Balancer(deployment.vms)
    until = time.monotonic() + LENGTH_S
    clients = [
        asyncio.create_task(
            PipeliningClient(
                name=f"c{number}", balancer=balancer, attempts=attempts
            ).run()
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(WARM_UP_S)
    turn = 0
    while trouble and time.monotonic() < until - GRACE_S - 3.0:
        restarts = []
        for _ in range(STOPPED_TOGETHER):
            vm = deployment.vms[turn % VMS]
            turn += 1
            restarts.append(
                asyncio.create_task(stop_and_start(deployment, vm, record, stops))
            )
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)
        await asyncio.sleep(1.0)
    if not trouble:
        await asyncio.sleep(LENGTH_S / 3)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    balancer.stop()
    return judge(record, attempts, runs, stops)


def judge(record, attempts, runs, stops):
    """Returns whether a request was broken off while its server was at work."""
    run_by_id = {run.request_id: run for run in runs}
    counts = collections.Counter()
    late = 0
    lost = []
    for attempt in attempts:
        answer = attempt.answer
        if answer is None:
            continue
        counts[answer.status] += 1
        run = run_by_id.get(attempt.request_id)
        sent_after = [
            attempt.sent_at - signal_at
            for vm, signal_at in stops
            if vm is attempt.vm and 0 <= attempt.ended_at - signal_at <= GRACE_S + 1.0
        ]
        if run is None or not sent_after or sent_after[0] <= LAST_EXCUSED_S:
            continue
        late += 1
        if (
            attempt.ended_at - attempt.sent_at < min(DEADLINE_S, TIMEOUT_S)
            and answer.status != 200
            and "response-signature" not in answer.headers
        ):
            lost.append((attempt, run, sent_after[0]))
    record.add(f"answers by status: {dict(counts)}, runs: {len(runs)}")
    record.add(f"stops: {len(stops)}, runs of requests sent later than 3 s: {late}")
    for attempt, run, sent_after_s in lost:
        worked_ms = 1000 * (attempt.ended_at - run.started_at)
        record.add(
            f"LOST {attempt.describe()}; sent {sent_after_s:.2f} s after the signal, "
            f"{run.server_id} had worked on it for {worked_ms:.0f} ms"
        )
    return bool(lost)


case.main(__file__, check)
