"""Virtual time, network, store and backend servers in one process."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from briarspoke.standins.grants import GrantTable
from briarspoke.standins.store import StoreState

LATENCY_S = (0.0002, 0.004)
STORE_LATENCY_S = (0.001, 0.006)
STORE_TIMEOUT_S = 1.0
EXPIRE_EVERY_S = 0.02
ZONES = ("poa", "cwb")
STORE = "store"
# Mean time that a request takes; a few take until their deadline.
WORK_S = 0.02
LONG_WORK_S = 1.0
LONG_SHARE = 0.2


class Scheduler:
    """Runs functions at virtual times, in order of time and then of entry."""

    __slots__ = ("_count", "_heap", "now")

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._count = itertools.count()

    def call_at(self, at, function, *arguments):
        """Runs a function at a time, not before the present."""
        entry = (max(at, self.now), next(self._count), function, arguments)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay_s, function, *arguments):
        """Runs a function after a delay."""
        self.call_at(self.now + delay_s, function, *arguments)

    def run_until(self, end):
        """Runs everything up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        self.now = end


class SkewedClock:
    """A clock with its own rate; it can be stopped and set back to zero."""

    __slots__ = ("_base", "_rate", "_scheduler", "_since", "stopped")

    def __init__(self, *, scheduler, rate, base=0.0):
        self._scheduler = scheduler
        self._rate = rate
        self._base = base
        self._since = scheduler.now
        self.stopped = False

    def __call__(self):
        if self.stopped:
            return self._base
        return self._base + (self._scheduler.now - self._since) * self._rate

    def stop(self):
        """Stands still until :meth:`resume`."""
        self._base = self()
        self.stopped = True

    def resume(self):
        """Goes on from where it stood."""
        self._since = self._scheduler.now
        self.stopped = False

    def true_time(self, reading):
        """Returns the virtual time at which the clock shows a reading."""
        return self._since + (reading - self._base) / self._rate


class FakeStore:
    """The platform's store with faults.

    :param down: no call gets through.
    :param extra_s: added to each call's latency.
    :param lose_answers: share of answers that are lost after the call.
    """

    def __init__(self, world):
        self.world = world
        self.state = StoreState()
        self.down = False
        self.extra_s = 0.0
        self.lose_answers = 0.0
        self.history_by_key = collections.defaultdict(list)
        self.counts = collections.Counter()
        self._notified = 0
        world.scheduler.call_later(EXPIRE_EVERY_S, self._expire)

    def _expire(self):
        """Ends lapsed leases and tells the nodes that watch."""
        world = self.world
        world.scheduler.call_later(EXPIRE_EVERY_S, self._expire)
        self.state.expire(world.scheduler.now)
        if self.down or self.state.revision == self._notified:
            return
        for _, key, value in self.state.events_after("controllers/", self._notified):
            for node in list(world.nodes_by_name.values()):
                if node.is_watching() and not world.is_cut(node.name, STORE):
                    delay_s = world.random.uniform(*STORE_LATENCY_S) + self.extra_s
                    world.scheduler.call_later(
                        delay_s, node.deliver, node.record_changed, key, value
                    )
        self._notified = self.state.revision

    def call(self, node, kind, operation, settled):
        """Runs an operation and settles it at the node.

        :param operation: function of the :class:`StoreState` and the time.
        :param settled: function of (status, value); the status is ``ok``,
            ``not-sent`` or ``unknown``.
        """
        self.counts[kind] += 1
        world = self.world
        if self.down or world.is_cut(node.name, STORE):
            # Half of the calls break off only after they were sent.
            status = "not-sent" if world.random.random() < 0.5 else "unknown"
            world.scheduler.call_later(0.005, node.deliver, settled, status, None)
            return
        delay_s = world.random.uniform(*STORE_LATENCY_S) + self.extra_s
        call = {"done": False}
        world.scheduler.call_later(
            delay_s / 2, self._arrive, node, call, operation, settled
        )
        world.scheduler.call_later(
            STORE_TIMEOUT_S, self._settle, node, call, settled, "unknown", None
        )

    def _arrive(self, node, call, operation, settled):
        world = self.world
        if self.down:
            return
        self.state.expire(world.scheduler.now)
        value = operation(self.state, world.scheduler.now)
        if world.is_cut(node.name, STORE):
            return
        if world.random.random() < self.lose_answers:
            world.counts["answer-lost"] += 1
            self._settle(node, call, settled, "unknown", None)
            return
        delay_s = world.random.uniform(*STORE_LATENCY_S) / 2 + self.extra_s / 2
        world.scheduler.call_later(
            delay_s, self._settle, node, call, settled, "ok", value
        )

    def _settle(self, node, call, settled, status, value):
        if not call["done"]:
            call["done"] = True
            node.deliver(settled, status, value)

    def put(self, key, value, expected_revision, lease):
        """Returns an operation that compares and swaps."""

        def operation(state, now):
            if lease is not None and lease not in state.leases:
                return "lapsed", 0
            taken, revision = state.put(key, value, expected_revision, lease)
            if taken:
                self.history_by_key[key].append(value)
            return ("taken" if taken else "conflict"), revision

        return operation


class Execution:
    """A request that a server has run, in virtual time."""

    __slots__ = ("begin", "end", "epoch", "partition", "server")

    def __init__(self, *, server, partition, epoch, begin, end):
        self.server = server
        self.partition = partition
        self.epoch = epoch
        self.begin = begin
        self.end = end


class FakeServer:
    """A backend server: alive, frozen or dead, fenced or not."""

    def __init__(self, *, world, name, zone, fenced):
        self.world = world
        self.name = name
        self.zone = zone
        self.fenced = fenced
        self.alive = True
        self.frozen = False
        self.boots = 1
        self._buffered = []
        self._running = []
        self.clock = self._new_clock()
        self.table = GrantTable(server=name, clock=lambda: self.clock())
        self.held = []

    def _new_clock(self):
        random_ = self.world.random
        return SkewedClock(
            scheduler=self.world.scheduler,
            rate=random_.uniform(0.9905, 1.0095),
            base=random_.uniform(0.0, 1000.0),
        )

    def kill(self):
        """Loses all state; requests in flight end."""
        self.collect()
        for execution in self._running:
            execution.end = min(execution.end, self.world.scheduler.now)
        self._running = []
        self.alive = False
        self.frozen = False
        self._buffered = []

    def restart(self):
        """Starts anew with a new incarnation and another clock."""
        if self.alive:
            return
        self.alive = True
        self.boots += 1
        self.clock = self._new_clock()
        self.table.restart(str(self.boots))

    def collect(self):
        """Moves the record of grants into virtual time."""
        self._cancel_expired()
        now = self.clock()
        for interval in self.table.intervals:
            end = min(interval.end, now) if self.alive else interval.end
            self.held.append(
                Execution(
                    server=self.name,
                    partition=interval.partition,
                    epoch=interval.epoch,
                    begin=self.clock.true_time(interval.begin),
                    end=self.clock.true_time(end),
                )
            )
        self.table.intervals.clear()

    def control(self, body):
        """Answers a call of the control endpoint."""
        self._cancel_expired()
        return self.table.control("/_control/grants", body)

    def _cancel_expired(self):
        """Ends the requests that were running when the grants expired.

        A controller waits for requests in flight only as long as the server
        answers; from expiry on, another server may own their keys.
        """
        if not self.fenced or self.clock() < self.table.expires_at:
            return
        expired_at = self.clock.true_time(self.table.expires_at)
        for execution in self._running:
            execution.end = min(execution.end, max(expired_at, execution.begin))
            self.table.request_ended(execution.partition)
        self._running = []

    def freeze(self):
        """Stops reading and answering."""
        self.frozen = True

    def thaw(self):
        """Reads what has arrived in the meantime."""
        self.frozen = False
        buffered, self._buffered = self._buffered, []
        for function, arguments in buffered:
            function(*arguments)

    def receive(self, function, *arguments):
        """Runs a function in the server's process, after a thaw if frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._buffered.append((function, arguments))
        else:
            function(*arguments)

    def run_request(self, partition, epoch, deadline_at):
        """Runs a request unless it is fenced off or its deadline has passed."""
        now = self.world.scheduler.now
        if now >= deadline_at:
            return False
        self._cancel_expired()
        if self.fenced and not self.table.holds(partition, epoch):
            self.world.counts["fenced-off"] += 1
            return False
        mean_s = LONG_WORK_S if self.world.random.random() < LONG_SHARE else WORK_S
        work_s = min(self.world.random.expovariate(1 / mean_s), deadline_at - now)
        execution = Execution(
            server=self.name,
            partition=partition,
            epoch=epoch,
            begin=now,
            end=now + work_s,
        )
        self.world.executions.append(execution)
        self._running.append(execution)
        if self.fenced:
            self.table.request_started(partition)
        self.world.scheduler.call_later(work_s, self._ended, execution)
        return work_s

    def _ended(self, execution):
        self._cancel_expired()
        if execution in self._running:
            self._running.remove(execution)
            if self.fenced:
                self.table.request_ended(execution.partition)


class World:
    """Everything outside the decision code.

    :param seed: seed of every random choice.
    """

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.scheduler = Scheduler()
        self.store = FakeStore(self)
        self.servers_by_name = {}
        self.nodes_by_name = {}
        self.vm_state_by_id = {}
        self.executions = []
        self.counts = collections.Counter()
        self.zone_by_name = {STORE: None}
        self.vm_lag_s = 1.0
        self.delayed_calls = 0.0
        # Called with each ownership document that the store has accepted.
        self.document_observers = []
        self.boots = itertools.count(1)
        self._cuts = []

    # Network.

    def cut(self, test):
        """Cuts every pair of names for which a function is true."""
        self._cuts.append(test)
        return test

    def mend(self, test):
        """Ends a cut."""
        if test in self._cuts:
            self._cuts.remove(test)

    def is_cut(self, one, other):
        """Returns whether two names cannot reach each other."""
        return any(test(one, other) or test(other, one) for test in self._cuts)

    def send(self, source, target, function, *arguments):
        """Runs a function at the target after the network's latency."""
        if self.is_cut(source, target):
            return
        self.scheduler.call_later(
            self.random.uniform(*LATENCY_S),
            self._arrive,
            source,
            target,
            function,
            arguments,
        )

    def _arrive(self, source, target, function, arguments):
        if self.is_cut(source, target):
            return
        node = self.nodes_by_name.get(target)
        if node is not None:
            node.deliver(function, *arguments)
        elif target in self.servers_by_name:
            self.servers_by_name[target].receive(function, *arguments)

    # VM list.

    def list_vm(self, vm_id, state):
        """Changes the VM list after its lag."""
        self.scheduler.call_later(
            self.vm_lag_s, self.vm_state_by_id.__setitem__, vm_id, state
        )
