"""Simulates time, network, store and backend servers in one process."""

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
# Mean service times of short and long requests; some long ones reach their deadline.
MEAN_WORK_S = 0.02
MEAN_LONG_WORK_S = 1.0
LONG_WORK_SHARE = 0.2


class Scheduler:
    """Runs functions in order of virtual time, then of insertion."""

    __slots__ = ("_count", "_heap", "now")

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._count = itertools.count()

    def call_at(self, at, function, *arguments):
        """Schedules a function at a virtual time, or now if that has passed."""
        entry = (max(at, self.now), next(self._count), function, arguments)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay_s, function, *arguments):
        """Schedules a function after a delay in seconds."""
        self.call_at(self.now + delay_s, function, *arguments)

    def run_until(self, end):
        """Runs all functions due up to a time and advances to it."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        self.now = end


class SkewedClock:
    """A clock with its own rate and base, which can be stopped and resumed."""

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
        """Stops the clock until :meth:`resume`."""
        self._base = self()
        self.stopped = True

    def resume(self):
        """Continues from the reading at which the clock stopped."""
        self._since = self._scheduler.now
        self.stopped = False

    def true_time(self, reading):
        """Returns the virtual time at which the clock shows a reading."""
        return self._since + (reading - self._base) / self._rate


class FakeStore:
    """A simulation of the platform's store with injected faults.

    :ivar down: whether all calls fail.
    :ivar extra_s: seconds added to each call's latency.
    :ivar lost_share: share of calls whose answer is lost after they ran.
    """

    def __init__(self, world):
        self.world = world
        self.state = StoreState()
        self.down = False
        self.extra_s = 0.0
        self.lost_share = 0.0
        self.history_by_key = collections.defaultdict(list)
        self.counts = collections.Counter()
        self._notified = 0
        world.scheduler.call_later(EXPIRE_EVERY_S, self._expire)

    def _expire(self):
        """Removes expired leases and notifies the watching nodes."""
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

    def call(self, node, kind, operation, on_settled):
        """Runs an operation and delivers its outcome to the node.

        :param operation: called with the :class:`StoreState` and the time.
        :param on_settled: called with (status, value); the status is ``ok``,
            ``not-sent`` or ``unknown``.
        """
        self.counts[kind] += 1
        world = self.world
        if self.down or world.is_cut(node.name, STORE):
            # Half of the failing calls fail after sending: their outcome is unknown.
            status = "not-sent" if world.random.random() < 0.5 else "unknown"
            world.scheduler.call_later(0.005, node.deliver, on_settled, status, None)
            return
        delay_s = world.random.uniform(*STORE_LATENCY_S) + self.extra_s
        call = {"done": False}
        world.scheduler.call_later(
            delay_s / 2, self._arrive, node, call, operation, on_settled
        )
        world.scheduler.call_later(
            STORE_TIMEOUT_S, self._settle, node, call, on_settled, "unknown", None
        )

    def _arrive(self, node, call, operation, on_settled):
        world = self.world
        if self.down:
            return
        self.state.expire(world.scheduler.now)
        value = operation(self.state, world.scheduler.now)
        if world.is_cut(node.name, STORE):
            return
        if world.random.random() < self.lost_share:
            world.counts["answer-lost"] += 1
            self._settle(node, call, on_settled, "unknown", None)
            return
        delay_s = world.random.uniform(*STORE_LATENCY_S) / 2 + self.extra_s / 2
        world.scheduler.call_later(
            delay_s, self._settle, node, call, on_settled, "ok", value
        )

    def _settle(self, node, call, on_settled, status, value):
        if not call["done"]:
            call["done"] = True
            node.deliver(on_settled, status, value)

    def put(self, key, value, expected_revision, lease):
        """Returns a compare-and-swap operation that gives (outcome, revision)."""

        def operation(state, now):
            if lease is not None and lease not in state.leases:
                return "lapsed", 0
            accepted, revision = state.put(key, value, expected_revision, lease)
            if accepted:
                self.history_by_key[key].append(value)
            return ("taken" if accepted else "conflict"), revision

        return operation


class Execution:
    """An interval of virtual time in which a server ran a request or held a grant."""

    __slots__ = ("begin", "end", "epoch", "partition", "server")

    def __init__(self, *, server, partition, epoch, begin, end):
        self.server = server
        self.partition = partition
        self.epoch = epoch
        self.begin = begin
        self.end = end


class FakeServer:
    """A simulated backend server, which can be killed, restarted and frozen."""

    def __init__(self, *, world, name, zone, fenced):
        self.world = world
        self.name = name
        self.zone = zone
        self.fenced = fenced
        self.alive = True
        self.frozen = False
        self.incarnation = 1
        self._buffered = []
        self._running = []
        self.clock = self._new_clock()
        self.table = GrantTable(server=name, clock=lambda: self.clock())
        self.grant_intervals = []

    def _new_clock(self):
        rng = self.world.random
        return SkewedClock(
            scheduler=self.world.scheduler,
            rate=rng.uniform(0.9905, 1.0095),
            base=rng.uniform(0.0, 1000.0),
        )

    def kill(self):
        """Ends the process with its in-flight requests and buffered messages."""
        self.collect_intervals()
        for execution in self._running:
            execution.end = min(execution.end, self.world.scheduler.now)
        self._running = []
        self.alive = False
        self.frozen = False
        self._buffered = []

    def restart(self):
        """Starts a killed server with a new incarnation and another clock."""
        if self.alive:
            return
        self.alive = True
        self.incarnation += 1
        self.clock = self._new_clock()
        self.table.restart(str(self.incarnation))

    def collect_intervals(self):
        """Moves the grant table's intervals to the record in virtual time."""
        self._cancel_expired()
        now = self.clock()
        for interval in self.table.intervals:
            end = min(interval.end, now) if self.alive else interval.end
            self.grant_intervals.append(
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
        """Answers a grant request to the control endpoint."""
        self._cancel_expired()
        return self.table.control("/_control/grants", body)

    def _cancel_expired(self):
        """Ends the requests that were running when the grants expired.

        A controller waits for in-flight requests only while the server answers.
        After the grants have expired, another server may own their keys.
        """
        if not self.fenced or self.clock() < self.table.expires_at:
            return
        expired_at = self.clock.true_time(self.table.expires_at)
        for execution in self._running:
            execution.end = min(execution.end, max(expired_at, execution.begin))
            self.table.request_ended(execution.partition)
        self._running = []

    def freeze(self):
        """Buffers incoming messages until :meth:`thaw`."""
        self.frozen = True

    def thaw(self):
        """Processes the buffered messages and reads new ones again."""
        self.frozen = False
        buffered, self._buffered = self._buffered, []
        for function, arguments in buffered:
            function(*arguments)

    def receive(self, function, *arguments):
        """Runs a function in the server's process, after :meth:`thaw` if frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._buffered.append((function, arguments))
        else:
            function(*arguments)

    def run_request(self, partition, epoch, deadline_at):
        """Runs a request unless it is fenced off or its deadline has passed.

        :returns: the service time in seconds, or False if the request was not run.
        """
        now = self.world.scheduler.now
        if now >= deadline_at:
            return False
        self._cancel_expired()
        if self.fenced and not self.table.holds(partition, epoch):
            self.world.counts["fenced-off"] += 1
            return False
        mean_s = (
            MEAN_LONG_WORK_S
            if self.world.random.random() < LONG_WORK_SHARE
            else MEAN_WORK_S
        )
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
        self.world.scheduler.call_later(work_s, self._request_ended, execution)
        return work_s

    def _request_ended(self, execution):
        self._cancel_expired()
        if execution in self._running:
            self._running.remove(execution)
            if self.fenced:
                self.table.request_ended(execution.partition)


class World:
    """The simulated environment of the ownership code.

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
        self.vm_list_lag_s = 1.0
        self.delayed_call_share = 0.0
        # Called with each ownership document that the store has accepted.
        self.document_observers = []
        self.incarnations = itertools.count(1)
        self._cuts = []

    def cut(self, matches):
        """Cuts the connection between all pairs of names that a function matches."""
        self._cuts.append(matches)
        return matches

    def heal_cut(self, matches):
        """Ends a cut, identified by its function."""
        if matches in self._cuts:
            self._cuts.remove(matches)

    def is_cut(self, source, target):
        """Returns whether the connection between two names is cut."""
        return any(
            matches(source, target) or matches(target, source) for matches in self._cuts
        )

    def send(self, source, target, function, *arguments):
        """Runs a function at the target after the network latency, unless cut."""
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

    def report_vm_state(self, vm_id, state):
        """Changes a VM's state in the VM list after the list's lag."""
        self.scheduler.call_later(
            self.vm_list_lag_s, self.vm_state_by_id.__setitem__, vm_id, state
        )
