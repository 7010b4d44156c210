"""Plays uneven load with the real decisions, beside the division by counts.

The load: many VMs, callers that are spread unevenly over VMs and zones and change in
waves, servers of different speed, a fifth of them three times slower for 0.4 s at a
time. The servers take no more than four requests per slot in their queue, and never
answer what is beyond.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random
from types import SimpleNamespace

import pytest

from briarspoke.entry import selection
from briarspoke.entry.allowances import Gates
from briarspoke.entry.division import INTERVAL_S
from briarspoke.entry.selection import ServerSelection
from briarspoke.entry.serverload import LoadLevel
from briarspoke.entry.servers import Server, ServerRecord
from briarspoke.entry.sharenews import News, ServiceNews, ShareNews
from briarspoke.keyspace import demand
from briarspoke.keyspace.load import LoadCounts, LoadEstimate
from briarspoke.keyspace.placement import Candidate
from briarspoke.platform.load import Load

ZONES = ("a", "b", "c")
# Kinds of requests by the time that they take, relative to the mean.
WORK_BY_KIND = {"lookup": 0.9, "order": 1.3}
ORDER_FRACTION = 0.25
SLOTS = 6
QUEUE = 4 * SLOTS
WORK_S = 0.4
OBJECTIVE_S = 1.5
TIMEOUT_S = 2.5
# Until then, the estimates of demand and speed form. Requests are not counted.
SETTLED_AT = 3.0
SLOW_FACTOR = 3.0
SLOW_FRACTION = 0.2
SLOW_INTERVAL_S = 0.4
SERVICE = "s"
HOT_KEY = 7
HOT_FRACTION = 0.35


class Machine:
    """A server: slots, a queue, its speed and how slow it is now."""

    def __init__(self, day, speed):
        self.day = day
        self.speed = speed
        self.slowness = 1.0
        self.running = 0
        self.queue = collections.deque()

    def arrive(self, request):
        if self.running < SLOTS:
            self._run(request)
        elif len(self.queue) < QUEUE:
            self.queue.append(request)
        else:
            self.day.lost += 1

    def _run(self, request):
        self.running += 1
        self.day.at(request.work_s * self.slowness / self.speed, self._finish, request)

    def _finish(self, request):
        self.running -= 1
        while self.queue and self.running < SLOTS:
            self._run(self.queue.popleft())
        percent = round(100 * self.slowness)
        load = (self.running, len(self.queue), SLOTS, percent)
        request.vm.answered(request, load)


class Request:
    """A request of a caller; its key is the number of its owner's keys."""

    def __init__(self, vm, key):
        self.vm = vm
        self.request = SimpleNamespace(key=key, body=b"")
        is_order = vm.day.random.random() < ORDER_FRACTION
        self.kind = "order" if is_order else "lookup"
        self.work_s = WORK_S * WORK_BY_KIND[self.kind]
        self.work_s *= vm.day.random.uniform(0.6, 1.4)
        self.arrived_at = self.sent_at = vm.day.now
        self.tried = ()
        self.server = None


class VM:
    """An entry VM: real selection, limits and news, and a queue."""

    def __init__(self, day, number, zone, nodes):
        self.day = day
        self.zone = zone
        self.name = f"vm-{number}"
        self.news = ShareNews(node=self.name)
        node = SimpleNamespace(
            settings=SimpleNamespace(zone=zone, node=self.name),
            now=lambda: day.now,
            node_count=day.vm_count,
            zone_nodes=nodes,
            division=SimpleNamespace(news=self.news),
            rate_limits=SimpleNamespace(has_permit=lambda server: True),
            evacuations=SimpleNamespace(is_active=False),
        )
        self.dispatcher = SimpleNamespace(
            name=SERVICE,
            keyed=day.keyed,
            servers={},
            gates=Gates(),
            load_level=LoadLevel(),
        )
        for index in range(len(day.machines)):
            record = ServerRecord(
                server_id=f"s-{index}",
                service=SERVICE,
                host="",
                port=0,
                zone=ZONES[index % 3],
                slots=SLOTS,
                draining=False,
                incarnation=1,
                sequence=1,
                warmup_s=0.0,
            )
            self.dispatcher.servers[index] = Server(
                record=record,
                latency_s=WORK_S,
                reactor=None,
                clock=node.now,
                held_answers=None,
            )
        self.selection = ServerSelection(node=node, dispatcher=self.dispatcher)
        self.waiting = collections.deque()
        self.arrived = 0
        self.weight = 1.0

    def arrive(self, request):
        self.arrived += 1
        self.waiting.append(request)
        self.send_waiting()

    def send_waiting(self):
        blocked = collections.deque()
        while self.waiting:
            request = self.waiting.popleft()
            if self.day.now - request.arrived_at > OBJECTIVE_S - WORK_S:
                continue
            server = self._choose(request)
            if server is not None:
                self._send(request, server)
            else:
                blocked.append(request)
                if not self.day.keyed:
                    break
        self.waiting.extendleft(reversed(blocked))

    def _choose(self, request):
        if not self.day.keyed:
            return self.selection.choose(request)
        key = request.request.key
        server = self.dispatcher.servers[key % len(self.day.machines)]
        return server if self.selection.has_capacity(server, key) else None

    def _send(self, request, server):
        request.server, request.sent_at = server, self.day.now
        server.request_sent(request)
        index = int(server.record.server_id[2:])
        self.day.count_sent(index)
        self.day.at(TIMEOUT_S, self.time_out, request)
        self.day.machines[index].arrive(request)

    def time_out(self, request):
        if request.server is not None:
            server, request.server = request.server, None
            server.request_ended(request)
            server.record_unreachable()
            self.send_waiting()

    def answered(self, request, load):
        if request.server is None:
            return
        server, request.server = request.server, None
        now = self.day.now
        server.request_ended(request)
        server.record_answer(now - request.sent_at)
        if self.day.reports:
            running, waiting, slots, percent = load
            value = Load(running=running, waiting=waiting, slots=slots, percent=percent)
            server.load.record(value, now)
            self.dispatcher.load_level.record(value)
            server.room.load_reported(value, now)
        self.day.served(request)
        self.send_waiting()


class Day:
    """Simulates VMs, servers and the controller.

    :param busy: requests per slot of the servers, on average.
    :param amplitude: of the wave that moves callers between zones.
    :param hot_from: time from which a key gets 35% of the requests.
    :param reports: whether servers report their load.
    :param divided: whether the controller's messages are sent.
    """

    def __init__(
        self,
        *,
        vms,
        servers,
        busy,
        keyed=False,
        amplitude=0.55,
        reports=True,
        divided=True,
        hot_from=math.inf,
        seconds=9.0,
        seed=1,
    ):
        # Decisions draw nothing, so that days with the same seed have the same load.
        self.random = random.Random(seed)
        self.random_speeds = random.Random(seed)
        self.now = 0.0
        self.vm_count, self.keyed = vms, keyed
        self.reports, self.divided = reports, divided
        self.seconds, self.amplitude = seconds, amplitude
        self.lost = 0
        self.hot_from = hot_from
        self._events = []
        self._numbers = itertools.count()
        self.machines = [
            Machine(self, self.random.uniform(0.6, 1.4)) for _ in range(servers)
        ]
        zones = [ZONES[number % 3] for number in range(vms)]
        names = {
            zone: tuple(f"vm-{n}" for n in range(vms) if zones[n] == zone)
            for zone in ZONES
        }
        self.vms = [VM(self, n, zones[n], names[zones[n]]) for n in range(vms)]
        for vm in self.vms:
            vm.weight = self.random.choice((0.5, 0.5, 1.0, 4.0))
            vm.selection.update_affinity()
        self.rate = busy * SLOTS * sum(m.speed for m in self.machines) / WORK_S
        self.rate /= 1 + SLOW_FRACTION * (SLOW_FACTOR - 1)
        self.counts = collections.Counter()
        self.estimate, self.demand = LoadEstimate(), demand.DemandEstimate()
        self.divider = demand.Divider()
        self.total, self.in_time = collections.Counter(), collections.Counter()
        self.message = 0
        self.at(0.0, self._change_speeds)
        self.at(0.0, self._arrive)
        self.at(INTERVAL_S, self._tick)

    def at(self, delay_s, function, *args):
        event = (self.now + delay_s, next(self._numbers), function, args)
        heapq.heappush(self._events, event)

    def play(self):
        while self._events[0][0] < self.seconds + OBJECTIVE_S:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        return self

    def _change_speeds(self):
        self.at(SLOW_INTERVAL_S, self._change_speeds)
        for machine in self.machines:
            is_slow = self.random_speeds.random() < SLOW_FRACTION
            machine.slowness = SLOW_FACTOR if is_slow else 1.0

    def _arrive(self):
        self.at(self.random.expovariate(self.rate), self._arrive)
        if self.now > self.seconds:
            return
        phase = 2 * math.pi * self.now / 17
        by_zone = {
            zone: 1 + self.amplitude * math.sin(phase + 2 * math.pi * number / 3)
            for number, zone in enumerate(ZONES)
        }
        weights = [vm.weight * by_zone[vm.zone] for vm in self.vms]
        (vm,) = self.random.choices(self.vms, weights)
        key = self.random.randrange(65_536)
        if self.random.random() < HOT_FRACTION and self.now >= self.hot_from:
            key = HOT_KEY
        request = Request(vm, key)
        if self.now > SETTLED_AT:
            self.total[vm.zone, request.kind] += 1
        vm.arrive(request)

    def count_sent(self, index):
        self.counts[index] += 1

    def served(self, request):
        if request.arrived_at > SETTLED_AT:
            in_time = self.now - request.arrived_at <= OBJECTIVE_S
            self.in_time[request.vm.zone, request.kind] += in_time

    def _tick(self):
        self.at(INTERVAL_S, self._tick)
        for vm in self.vms:
            vm.send_waiting()
        if not self.divided:
            return
        self.message += 1
        for vm in self.vms:
            self.demand.add(vm.name, "p", self.message, {SERVICE: vm.arrived}, self.now)
        news = News(
            controller="c",
            number=self.message,
            sent_at=self.now,
            vms=self.vm_count,
            by_service={SERVICE: self._of_owners() if self.keyed else self._shares()},
        )
        for vm in self.vms:
            vm.news.receive(news, self.now)
            vm.selection.update_share()

    def _shares(self):
        rates = self.demand.rate_by_node(SERVICE, self.now)
        busy = sum(rates.values()) * WORK_S / SLOTS / len(self.machines)
        shares = self.divider.divide(
            rates, vms=self.vm_count, utilisation=busy, now=self.now
        )
        return ServiceNews.of_names(share_by_node=shares, full_server_ids=None)

    def _of_owners(self):
        self.estimate.add(
            LoadCounts(requests=self.counts, latencies={}, rejections={}), self.now
        )
        self.counts = collections.Counter()
        candidates = []
        for index, machine in enumerate(self.machines):
            slowness = 1 + SLOW_FRACTION * (SLOW_FACTOR - 1)
            candidate = Candidate(
                server_instance=(f"s-{index}", 1),
                slots=SLOTS,
                latency_s=WORK_S * slowness / machine.speed,
            )
            candidate.load = self.estimate.rate_by_bucket.get(index, 0.0)
            candidates.append(candidate)
        full = demand.full_owners(
            [c.server_instance for c in candidates],
            candidates,
            {},
            self.estimate.age_s(self.now),
        )
        return ServiceNews.of_names(share_by_node={}, full_server_ids=full)

    def fractions(self):
        """Returns the fractions in time of all, the worst zone and the worst kind."""

        def fraction(part):
            total = sum(n for cell, n in self.total.items() if part in (None, *cell))
            in_time = sum(
                n for cell, n in self.in_time.items() if part in (None, *cell)
            )
            return in_time / total

        worst_zone = min(fraction(zone) for zone in ZONES)
        return fraction(None), worst_zone, min(map(fraction, WORK_BY_KIND))


SEEDS = (1, 2)
# Standard error of the difference of two fractions of 0.95 with a thousand requests,
# which is what a zone or a kind has.
NOISE = 0.01


def play(**options):
    """Returns the mean fractions and the lost requests of days with all seeds."""
    # The largest day has enough requests.
    seeds = SEEDS if options["servers"] < 200 else SEEDS[:1]
    days = [Day(**options, seed=seed).play() for seed in seeds]
    columns = zip(*(day.fractions() for day in days), strict=True)
    return [sum(c) / len(seeds) for c in columns], sum(day.lost for day in days)


def compare(monkeypatch, **options):
    """Plays days with the division by counts and as it is, and prints both.

    :returns: the mean fractions of both.
    """
    with monkeypatch.context() as patch:
        patch.setattr(
            selection,
            "expected_done_s",
            lambda server, now, usual: server.expected_s(now) * (1 + server.in_flight),
        )
        by_counts = play(**{**options, "reports": False, "divided": False})
    by_facts = play(**options)
    print(options)
    for name, (fractions, lost) in (("counts", by_counts), ("facts", by_facts)):
        whole, zone, kind = fractions
        print(f"  {name}: {whole:.3f} zone {zone:.3f} kind {kind:.3f} lost {lost}")
    return by_counts[0], by_facts[0]


def check_not_worse(before, after):
    """Checks fractions of all, of the worst zone and of the worst kind."""
    assert after[0] >= before[0]
    assert all(a >= b - NOISE for a, b in zip(after, before, strict=True))


class TestServiceWithoutKeys:
    """Guards against callers that are refused while capacity is free elsewhere."""

    @pytest.mark.parametrize(
        ("vms", "servers", "busy", "reports"),
        [
            (30, 1, 0.8, True),
            (30, 15, 0.9, True),
            (30, 15, 0.9, False),
            (34, 61, 0.85, True),
            (93, 18, 0.85, True),
            (93, 18, 0.85, False),
            (93, 18, 0.5, True),
            (300, 20, 0.85, True),
            (30, 200, 0.8, True),
        ],
    )
    def test_more_answers_in_time(self, monkeypatch, vms, servers, busy, reports):
        before, after = compare(
            monkeypatch,
            vms=vms,
            servers=servers,
            busy=busy,
            reports=reports,
            # So that each zone has about a thousand requests.
            seconds=18.0 if servers <= 20 else 7.0 if servers < 100 else 3.8,
        )
        check_not_worse(before, after)


class TestOwnersOfKeys:
    """Guards against requests that wait for another of their VM at an idle owner."""

    @pytest.mark.parametrize(
        ("vms", "servers", "busy", "reports"),
        [
            (30, 1, 0.5, True),
            (34, 113, 0.45, True),
            (34, 113, 0.45, False),
            (93, 109, 0.3, False),
            (300, 60, 0.4, False),
            (93, 200, 0.3, True),
        ],
    )
    def test_more_answers_in_time(self, monkeypatch, vms, servers, busy, reports):
        before, after = compare(
            monkeypatch,
            vms=vms,
            servers=servers,
            busy=busy,
            reports=reports,
            keyed=True,
            seconds=8.0,
        )
        check_not_worse(before, after)

    def test_a_sudden_hot_key_loses_no_more_requests(self, monkeypatch):
        # Guards against a larger limit at all VMs for the owner of a key that has just
        # become hot: it takes 30 requests and never answers the others.
        options = {"vms": 34, "servers": 113, "busy": 0.45, "keyed": True}
        options |= {"hot_from": 5.0, "seconds": 8.0}
        by_counts, lost_by_counts = play(**options, reports=False, divided=False)
        by_facts, lost = play(**options)
        print(options, by_counts, lost_by_counts, by_facts, lost)
        # Beside one request of each VM for the key, as by counts, there may be those
        # for other keys that the owner ran before; by counts, their VMs wait.
        assert lost <= lost_by_counts + SLOTS * len(SEEDS)
        check_not_worse(by_counts, by_facts)
