"""Simulates the load of a service without keys, with and without copies."""

from __future__ import annotations

import heapq
import itertools
import math
import random

from briarspoke.entry import shares
from briarspoke.entry.budget import RetryBudget
from briarspoke.entry.hedging import Hedging, Situation

MAX_ATTEMPTS = 2


class SimulatedServer:
    """A server with slots and a queue.

    :param speed: work done per second, 1.0 is usual.
    """

    def __init__(self, *, slots, speed):
        self.slots = slots
        self.speed = speed
        self.running = set()
        self.queue = []


class SimulatedVm:
    """What one entry VM knows of the servers."""

    def __init__(self, *, servers, latency_s):
        self.hedging = Hedging()
        self.budget = RetryBudget(ratio=0.2, slack=250, window_s=10.0)
        self.in_flight = [0] * servers
        self.latency_s = [latency_s] * servers


class Load:
    """A service under a load that is drawn from a seed.

    :param rate: function of the time in seconds that returns requests a second.
    :param share: copies per request, 0 for none.
    :param lookup_fraction: fraction of the requests that may be copied; the others are
        uploads.
    :param slow_fraction: fraction of the executions that take ``slow_factor`` times the
        work.
    :ivar latencies: times in seconds until lookups were answered, in order.
    """

    def __init__(
        self,
        *,
        seed,
        rate,
        share,
        servers=18,
        slots=6,
        vms=30,
        lookup_fraction=1.0,
        mean_s=0.144,
        upload_s=0.411,
        objective_s=0.89,
        slow_fraction=0.03,
        slow_factor=7.0,
    ):
        self.rate = rate
        self.share = share
        self._arrivals = random.Random(seed)
        self._works = random.Random(seed + 1)
        self._choices = random.Random(seed + 2)
        self.mean_s = mean_s
        self.upload_s = upload_s
        self.lookup_fraction = lookup_fraction
        self.objective_s = objective_s
        self._slow = (slow_fraction, slow_factor)
        speeds = [self._arrivals.uniform(0.7, 1.6) for _ in range(servers)]
        self.servers = [SimulatedServer(slots=slots, speed=speed) for speed in speeds]
        self.vms = [SimulatedVm(servers=servers, latency_s=mean_s) for _ in range(vms)]
        self.latencies = []
        self.first_sends = 0
        self.copy_times = []
        self._events = []
        self._numbers = itertools.count()
        self.now = 0.0

    def _at(self, when, function, *arguments):
        heapq.heappush(self._events, (when, next(self._numbers), function, arguments))

    def run(self, seconds):
        """Runs the load and returns the latencies in seconds."""
        self._at(0.0, self._arrive, seconds)
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.latencies

    def _arrive(self, until):
        vm = self._arrivals.choice(self.vms)
        # Drawn for every request, so that runs with other copies have the same ones.
        is_lookup = self._arrivals.random() < self.lookup_fraction
        mean_s = self.mean_s if is_lookup else self.upload_s
        works = [self._work(mean_s), self._work(mean_s)]
        next_at = self.now + self._arrivals.expovariate(self.rate(self.now))
        if next_at < until:
            self._at(next_at, self._arrive, until)
        vm.budget.count_request(self.now)
        vm.hedging.count_request(self.now, self.share)
        self.first_sends += 1
        request = {"vm": vm, "at": self.now, "works": works, "tried": [], "done": False}
        request["is_lookup"] = is_lookup
        self._send(request)
        if not is_lookup:
            return
        vm.hedging.count_hedgeable("lookup", self.now)
        delay_s = vm.hedging.delay_s(
            "lookup", self.now, share=self.share, objective_s=self.objective_s
        )
        if self.share and delay_s is not None:
            self._at(self.now + delay_s, self._copy, request)

    def _work(self, mean_s):
        fraction, factor = self._slow
        work = mean_s * self._works.lognormvariate(-0.045, 0.3)
        return work * (factor if self._works.random() < fraction else 1.0)

    def _send(self, request):
        vm = request["vm"]
        candidates = [i for i in range(len(self.servers)) if i not in request["tried"]]
        # With many VMs, the servers that each prefers are not the same.
        index = min(
            candidates,
            key=lambda i: (
                vm.latency_s[i] * (1 + vm.in_flight[i]) * self._choices.uniform(1, 2)
            ),
        )
        request["tried"].append(index)
        vm.in_flight[index] += 1
        vm.hedging.in_flight.update(sum(vm.in_flight), self.now)
        server = self.servers[index]
        attempt = {"request": request, "index": index, "at": self.now}
        attempt["work"] = request["works"][len(request["tried"]) - 1]
        request.setdefault("attempts", []).append(attempt)
        server.queue.append(attempt)
        self._start(server)

    def _start(self, server):
        while server.queue and len(server.running) < server.slots:
            attempt = server.queue.pop(0)
            server.running.add(id(attempt))
            self._at(
                self.now + attempt["work"] / server.speed, self._answer, server, attempt
            )

    def _answer(self, server, attempt):
        request = attempt["request"]
        if request["done"]:
            return
        request["done"] = True
        vm = request["vm"]
        if request["is_lookup"]:
            self.latencies.append(self.now - request["at"])
        for other in request["attempts"]:
            index, other_server = other["index"], self.servers[other["index"]]
            vm.in_flight[index] -= 1
            other_server.running.discard(id(other))
            if other in other_server.queue:
                other_server.queue.remove(other)
            seconds = self.now - other["at"]
            if other is attempt:
                if request["is_lookup"]:
                    vm.hedging.record_answer("lookup", seconds, self.now)
                vm.latency_s[index] += 0.15 * (seconds - vm.latency_s[index])
            else:
                vm.hedging.record_unfinished("lookup", seconds, self.now, self.share)
                vm.latency_s[index] += 0.15 * max(0.0, seconds - vm.latency_s[index])
            self._start(other_server)
        vm.hedging.in_flight.update(sum(vm.in_flight), self.now)

    def _copy(self, request):
        if request["done"]:
            return
        vm = request["vm"]
        slots = sum(server.slots for server in self.servers)
        situation = Situation(
            now=self.now,
            is_stopping=False,
            attempts=1,
            max_attempts=MAX_ATTEMPTS,
            has_failed=False,
            time_left_s=request["at"] + 2.0 - self.now,
            waiting=0,
            in_flight=sum(vm.in_flight),
            in_flight_limit=shares.service_limit(slots, len(self.vms)),
            slots=slots / len(self.vms),
        )
        if vm.hedging.why_not(situation, "lookup") is not None:
            return
        if vm.budget.spend_copy(self.now):
            vm.hedging.spend()
            self.copy_times.append(self.now)
            self._send(request)


def percentile(values, fraction):
    """Returns the value that a fraction of the values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
