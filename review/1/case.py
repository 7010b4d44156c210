"""Servers start again and soon drain, while the store loses answers to writes."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case
from standins.backend import Backend
from standins.deployment import DRAIN_S, route

HEARTBEAT_S = 0.87
SERVERS = 8
SETTLE_S = 6.0
REST_S = 2.5
TRIALS_S = 84.0
STAGGER_S = 3.6
READY_S = 0.6
DOWN_S = 0.4
# The site's ``platform_lost``.
LOST_SHARE, LOST_S = 0.35, 4.5
# Two servers may not hold the same keys for longer.
MAX_SHARED_S = 0.5


class Holds:
    """Watches which servers that are up hold the same keys."""

    def __init__(self, record):
        self.longest_s = 0.0
        self.broken = False
        self._record = record
        self._since_by_pair = {}

    async def watch(self, backends):
        """Checks all servers until the task is cancelled."""
        while True:
            now = time.monotonic()
            shared = {}
            up = [backend for backend in backends if backend.is_up]
            for index, one in enumerate(up):
                for other in up[index + 1 :]:
                    keys = _shared_keys(one, other, now)
                    if keys:
                        shared[(one.server_id, other.server_id)] = keys
            for pair, keys in shared.items():
                since = self._since_by_pair.setdefault(pair, now)
                if now == since:
                    self._record.add(f"{pair} both hold keys {keys[:3]}")
                self.longest_s = max(self.longest_s, now - since)
                if now - since > MAX_SHARED_S and not self.broken:
                    self.broken = True
                    self._record.add(f"OWNER {pair} hold {keys[:3]} for over 0.5 s")
            for pair in list(self._since_by_pair):
                if pair not in shared:
                    since = self._since_by_pair.pop(pair)
                    self._record.add(f"{pair} held the same for {now - since:.2f} s")
            await asyncio.sleep(0.02)


def _held_count(backend):
    """Returns how many keys a server holds."""
    return len(
        {
            key
            for first, last, _, until in backend.grants
            if until > time.monotonic()
            for key in range(first, last + 1)
        }
    )


def _shared_keys(one, other, now):
    shared = set()
    for first, last, _, until in one.grants:
        for low, high, _, other_until in other.grants:
            if until > now and other_until > now and first <= high and low <= last:
                shared.add((max(first, low), min(last, high)))
    return sorted(shared)


class Trials:
    """Lets servers start again and drain, one after the other."""

    def __init__(self, deployment, record, trouble):
        self._deployment = deployment
        self._record = record
        self._trouble = trouble
        self._busy = set()
        self._lost_until = 0.0
        deployment.store.loses_answer = self._loses_answer

    def _loses_answer(self):
        return time.monotonic() < self._lost_until and random.random() < LOST_SHARE

    async def run(self, until, delay_s):
        """Repeats trials after a delay until a time."""
        await asyncio.sleep(delay_s)
        while time.monotonic() < until:
            idle = [b for b in self._deployment.backends if b not in self._busy]
            backend = max(idle, key=_held_count)
            self._busy.add(backend)
            await self._try(backend)
            self._busy.remove(backend)

    def _note(self, backend, what):
        held = [grant[:3] for grant in backend.grants]
        self._record.add(f"{backend.server_id} {what}, holds {held}")

    async def _try(self, backend):
        backend.crash()
        await asyncio.sleep(DOWN_S)
        await backend.start(register_after_s=HEARTBEAT_S)
        self._note(backend, "has started again")
        if self._trouble:
            self._lost_until = time.monotonic() + LOST_S
        await asyncio.sleep(HEARTBEAT_S + READY_S)
        self._note(backend, "drains")
        backend.state = "draining"
        backend.register()
        await asyncio.sleep(DRAIN_S + 0.8)
        self._note(backend, "ends")
        backend.crash()
        self._deployment.store.delete(f"servers/{backend.server_id}")
        await asyncio.sleep(0.5)
        await backend.start()
        await asyncio.sleep(REST_S)


async def check(deployment, record, trouble):
    runs = []
    await deployment.start(
        routes={
            "prices": route(
                "tabela", "/prices/", route_type="safe", target_latency="300ms"
            )
        },
        services={"tabela": True},
        backends=lambda store: [
            Backend(
                store=store,
                server_id=f"i-{number}",
                service="tabela",
                runs=runs,
                work_s=lambda _: 0.09,
                keyed=True,
                heartbeat_s=HEARTBEAT_S,
            )
            for number in range(SERVERS)
        ],
        vms={f"front-a-{number}": "a" for number in range(3)},
    )
    holds = Holds(record)
    watch = asyncio.create_task(holds.watch(deployment.backends))
    await asyncio.sleep(SETTLE_S)
    trials = Trials(deployment, record, trouble)
    until = time.monotonic() + TRIALS_S
    await asyncio.gather(*(trials.run(until, k * STAGGER_S) for k in range(2)))
    watch.cancel()
    record.add(f"longest time: {holds.longest_s:.2f} s")
    return holds.broken


case.main(__file__, check)
