"""Bench ``control``: cost of the control traffic of an idle node."""

from __future__ import annotations

import collections
import json
import math
import os
import pathlib
import random
import re
import socket
import subprocess
import sys
import tempfile
import tracemalloc

from twisted.internet import defer, task
from twisted.web import client

from briarspoke import clock, loop
from briarspoke.benches import Bound, Report, bench, parts
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument
from briarspoke.membership.members import Member, Members
from briarspoke.ownership.timing import KEEPALIVE_EVERY_S
from briarspoke.platform.store import StoreClient
from briarspoke.platform.vms import LIST_BYTES_PER_S, MIN_JITTER_FACTOR

NODE_COMMAND = ("briarspoke", "serve")
# Imports everything that a node imports, then sleeps: the memory of this process is
# the baseline that a node's memory is compared with.
BARE_INTERPRETER_CODE = """import briarspoke.loop, time
briarspoke.loop.install()
import briarspoke.node
time.sleep(60)"""
# Deployment sizes; those of one group are measured concurrently. Running all sizes
# concurrently means 75 nodes, which overloaded a machine with 10 cores. Running each
# size separately leaves only 2 s to measure it.
SIZE_GROUPS = ((5, 10, 20), (40,))
SIZES = tuple(size for group in SIZE_GROUPS for size in group)
# Starting a node takes about 0.5 s of CPU time.
START_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.5
# Sizes at which the cost of a change is measured. Nodes of both sizes are linked in a
# ring, so the two costs give a slope.
CHANGE_SIZES = (20, 40)
CHANGE_COUNT = 5
CHANGE_INTERVAL_S = 0.4
TARGET_NODES = 440
START_TIMEOUT_S = 15.0
# Until all nodes know each other, they open links that the final ring does not need.
# These links are closed within this time.
SETTLE_S = 3.0
MEASURE_S = 7.0
LONG_MEASURE_S = 90.0
MAX_CPU_SHARE = 0.027
MAX_MEMORY_MB = 32.0
MAX_CONTROL_BYTES_PER_S = 8 * 1024
MAX_STORE_WRITES_PER_S = 500.0
MAX_STORE_READS_PER_S = 2000.0
# Extrapolated figures and the scale of the fit of each. CPU and link bytes grow with
# the links per node: n - 1 in a full mesh, about 2 log2(n) in a ring. Only the ring
# sizes follow log2(n), so a fit over log2(n) that includes mesh sizes would be wrong
# at the target; the number of links is the scale instead. The number of nodes that
# read the VM list is linear in n.
SCALE_BY_FIGURE = {
    "controller_cpu_share": "links",
    "member_cpu_share": "links",
    "memory_above_bare_mb": "linear",
    "link_bytes_per_s": "links",
    "store_writes_per_s": "linear",
    "store_reads_per_s": "linear",
}
# IPv4 header and TCP header with timestamps; added per frame to estimate the bytes on
# the network.
PACKET_HEADER_BYTES = 52
# Rate at which a controller renews the lease of one zone. In a deployment of
# TARGET_NODES no node controls more than one zone.
KEEPALIVES_PER_ZONE_PER_S = 1 / KEEPALIVE_EVERY_S
PORTS_PER_NODE = 5
FIRST_PORT, LAST_PORT = 20_000, 32_000

# Zones and {service: number of servers} of each of the two deployments.
DEPLOYMENTS = (
    (
        ("poa", "cwb", "fln", "cxs"),
        {"tabela": 14, "orcamento": 8, "vistoria": 8, "sinal": 8},
    ),
    (
        ("halle-a", "buero", "scheune"),
        {"lager": 13, "abfuellung": 8, "etiketten": 6, "bestellung": 6},
    ),
)
SERVICES = tuple(service for _, counts in DEPLOYMENTS for service in counts)
ZONE_BY_SERVER = {
    f"{service}-{number:02}": zones[number % len(zones)]
    for zones, counts in DEPLOYMENTS
    for service, count in counts.items()
    for number in range(count)
}
PARTITIONS = 256
WRITE_KINDS = ("put", "delete", "lease", "keepalive")
STORE_BYTE_COUNTERS = ("store_sent_bytes_total", "store_received_bytes_total")
READ_KINDS = ("get", "list", "watch", "vms")
_METRIC = re.compile(r"^briarspoke_(\w+)\{(.*)\} (\S+)$", re.MULTILINE)
_LABEL = re.compile(r'(\w+)="([^"]*)"')


@bench("control")
def run(*, seed, long):
    """Measures the control cost of idle nodes and extrapolates it to 440 nodes."""
    reactor = loop.install()
    control_bench = ControlBench(reactor=reactor, seed=seed, long=long)
    outcome = []

    def finish(result):
        outcome.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: control_bench.run().addBoth(finish))
    try:
        reactor.run()
    finally:
        control_bench.stop_processes()
        control_bench.stop_parts()
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]


class ControlBench:
    """One run of the bench.

    :param reactor: reactor of this process; the nodes run in processes of their own.
    :param seed: seed of the port numbers.
    :param long: whether to measure each size for :data:`LONG_MEASURE_S`.
    """

    def __init__(self, *, reactor, seed, long):
        self.reactor = reactor
        self.seed = seed
        self.measure_s = LONG_MEASURE_S if long else MEASURE_S
        self._processes = []
        self._parts = []
        self._agent = client.Agent(reactor)
        # The process id is part of the seed so that concurrent runs with the same seed
        # choose different ports.
        rng = random.Random(f"{seed}-{os.getpid()}")
        ports = free_ports(rng, sum(SIZES) * PORTS_PER_NODE)
        self._addresses = iter([f"127.0.0.1:{port}" for port in ports])

    @defer.inlineCallbacks
    def run(self):
        """Measures all sizes.

        :returns: Deferred of the :class:`Report`.
        """
        bare_mb = yield self._measure_bare_memory()
        by_size = {}
        for sizes in SIZE_GROUPS:
            results = yield defer.gatherResults(
                [self._measure_size(size, bare_mb) for size in sizes],
                consumeErrors=True,
            )
            by_size.update(zip(sizes, results, strict=True))
        at_target = {
            name: extrapolate(
                {n: f[name] for n, f in by_size.items() if f[name] is not None}, scale
            )
            for name, scale in SCALE_BY_FIGURE.items()
        }
        table_mb = member_table_mb(TARGET_NODES)
        return Report(
            bench="control",
            seed=self.seed,
            figures={
                "bare_interpreter_mb": bare_mb,
                "measured_s": self.measure_s,
                "by_size": by_size,
                "at_440": at_target,
                "member_table_of_440_mb": table_mb,
            },
            bounds=make_bounds(by_size, at_target, table_mb),
        )

    @defer.inlineCallbacks
    def _measure_bare_memory(self):
        process = self._spawn(arguments=["-c", BARE_INTERPRETER_CODE])
        yield self._sleep(1.0)
        memory_mb = resident_mb(process.pid)
        self.stop_processes()
        return memory_mb

    @defer.inlineCallbacks
    def _measure_size(self, size, bare_mb):
        servers = self._start_part("fleet", names=list(ZONE_BY_SERVER))
        store = self._start_part("store", host="127.0.0.1")
        store_url = f"http://127.0.0.1:{store.ready['port']}"
        nodes = self._make_settings(size, store_url)
        operator = Operator(reactor=self.reactor, store_url=store_url)
        store.ask(vms=[vm_list_entry(node) for node in nodes])
        started = clock.monotonic()
        processes = []
        try:
            yield self._start_nodes(nodes, processes)
            yield self._wait_until(nodes, lambda m: knows_members(m, size))
            # The configuration is written only after all nodes have started. If it
            # were stored earlier, the first node to start would acquire the leases of
            # all zones.
            yield operator.write(configuration(servers.ready["ports"]))
            yield self._wait_until(nodes, has_documents)
            yield self._sleep(SETTLE_S)
            result = yield self._measure_idle(nodes, processes, store, bare_mb)
            result["partitions_held"] = servers.ask()["held"]
            # A poll of the VM list or a watch lasts up to 30 s, which can be longer
            # than the measurement, so reads are counted from the start of the nodes.
            # The figure includes the initial listings of every node.
            calls = store.ask()["calls"]
            reads = sum(calls.get(kind, 0) for kind in READ_KINDS)
            result["store_reads_per_s"] = reads / (clock.monotonic() - started)
            if size in CHANGE_SIZES:
                result["changes"] = yield self._measure_changes(
                    nodes, processes, store, operator, result
                )
        finally:
            yield operator.close()
            self.stop_processes(processes)
            self.stop_parts((servers, store))
        return result

    @defer.inlineCallbacks
    def _start_nodes(self, nodes, processes):
        with tempfile.TemporaryDirectory() as directory:
            for node in nodes:
                path = pathlib.Path(directory, f"{node['node']}.json")
                path.write_text(json.dumps(node))
                arguments = ["-m", *NODE_COMMAND, str(path)]
                processes.append(self._spawn(arguments=arguments))
                yield self._sleep(START_INTERVAL_S)
            yield self._wait_until_listening(nodes)

    @defer.inlineCallbacks
    def _measure_idle(self, nodes, processes, store, bare_mb):
        busy = machine_busy_seconds()
        window = yield self._measure_window(
            nodes, processes, store, lambda: self._sleep(self.measure_s)
        )
        busy = (machine_busy_seconds() - busy) / window.elapsed / os.cpu_count()
        memory = [resident_mb(p.pid) for p in processes]
        figures = summarise(
            window.rates, window.cpu, memory, window.calls, window.elapsed
        )
        figures["memory_above_bare_mb"] = figures["memory_mb"] - bare_mb
        figures["machine_busy_share"] = busy
        figures["members_known"] = 1 + min(
            metrics.get(("member_changes_total", "alive"), 0)
            for metrics in window.metrics
        )
        return figures

    @defer.inlineCallbacks
    def _measure_window(self, nodes, processes, store, action):
        before = yield self._fetch_metrics(nodes)
        started, cpu = clock.monotonic(), [cpu_seconds(p.pid) for p in processes]
        calls = collections.Counter(store.ask()["calls"])
        yield action()
        elapsed = clock.monotonic() - started
        cpu = [
            (cpu_seconds(p.pid) - c) / elapsed
            for p, c in zip(processes, cpu, strict=True)
        ]
        calls = collections.Counter(store.ask()["calls"]) - calls
        after = yield self._fetch_metrics(nodes)
        rates = [
            {key: (value - b.get(key, 0)) / elapsed for key, value in a.items()}
            for b, a in zip(before, after, strict=True)
        ]
        return MeasurementWindow(
            rates=rates, cpu=cpu, calls=calls, elapsed=elapsed, metrics=after
        )

    @defer.inlineCallbacks
    def _measure_changes(self, nodes, processes, store, operator, idle):
        """Measures the cost of one change to a node, in excess of its idle cost.

        :param idle: figures of the same nodes without changes.
        :returns: Deferred of the costs by kind of document that changes.
        """
        window = yield self._measure_window(
            nodes, processes, store, lambda: self._repeat_change(operator.touch_zone)
        )
        configuration = change_cost(window, idle, CHANGE_COUNT)
        window = yield self._measure_window(
            nodes, processes, store, lambda: self._repeat_change(operator.drain_server)
        )
        # Each drain is one write of the configuration. All other writes are new
        # versions of ownership documents.
        writes = window.calls["put"] - CHANGE_COUNT
        ownership = change_cost(
            window, idle, writes, other_changes=(configuration, CHANGE_COUNT)
        )
        return {"configuration": configuration, "ownership": ownership}

    @defer.inlineCallbacks
    def _repeat_change(self, change):
        for _ in range(CHANGE_COUNT):
            yield change()
            yield self._sleep(CHANGE_INTERVAL_S)

    @defer.inlineCallbacks
    def _wait_until_listening(self, nodes):
        deadline = clock.monotonic() + START_TIMEOUT_S
        for node in nodes:
            while not accepts_connections(node["metrics_listen"]):
                if clock.monotonic() > deadline:
                    raise RuntimeError(f"{node['node']} does not accept connections")
                yield self._sleep(0.1)

    @defer.inlineCallbacks
    def _wait_until(self, nodes, condition):
        """Waits until the metrics of every node meet a condition.

        :param condition: function from the metrics of a node to a boolean.
        :raises RuntimeError: if a node does not meet it within
            :data:`START_TIMEOUT_S`.
        """
        deadline = clock.monotonic() + START_TIMEOUT_S
        waiting = list(nodes)
        while waiting:
            if clock.monotonic() > deadline:
                names = ", ".join(node["node"] for node in waiting)
                raise RuntimeError(
                    f"nodes not ready after {START_TIMEOUT_S} s: {names}"
                )
            metrics = yield self._fetch_metrics(waiting)
            waiting = [
                node
                for node, values in zip(waiting, metrics, strict=True)
                if not condition(values)
            ]
            if waiting:
                yield self._sleep(POLL_INTERVAL_S)

    def _fetch_metrics(self, nodes):
        return defer.gatherResults(
            [self._fetch_node_metrics(node) for node in nodes], consumeErrors=True
        )

    @defer.inlineCallbacks
    def _fetch_node_metrics(self, node):
        url = f"http://{node['metrics_listen']}/"
        response = yield self._agent.request(b"GET", url.encode())
        content = yield client.readBody(response)
        return parse_metrics(content.decode())

    def _make_settings(self, size, store_url):
        zones = [zone for names, _ in DEPLOYMENTS for zone in names]
        addresses = self._addresses
        nodes = [
            {
                "node": f"entry-{number:03}",
                "zone": zones[number % len(zones)],
                "store_url": store_url,
                "cluster_key": "bench-cluster-key-only",
                "peer_listen": next(addresses),
                "metrics_listen": next(addresses),
                "forward_listen": next(addresses),
                "caller_listen": next(addresses),
                "admin_listen": next(addresses),
            }
            for number in range(size)
        ]
        for node in nodes:
            node["peers"] = [n["peer_listen"] for n in nodes[:3]]
        return nodes

    def _spawn(self, *, arguments):
        root = pathlib.Path(__file__).parents[2]
        process = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, "PYTHONPATH": str(root)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process

    def stop_processes(self, processes=None):
        """Terminates processes that this run started.

        :param processes: processes to terminate; None for all.
        """
        ending = list(self._processes) if processes is None else processes
        for process in ending:
            self._processes.remove(process)
            process.terminate()
        for process in ending:
            try:
                process.wait(timeout=2)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _start_part(self, module, **parameters):
        part = parts.Part(module, **parameters)
        self._parts.append(part)
        return part

    def stop_parts(self, stopped=None):
        """Stops store stand-ins and backend servers.

        :param stopped: parts to stop; None for all.
        """
        for part in list(self._parts) if stopped is None else stopped:
            self._parts.remove(part)
            part.stop()

    def _sleep(self, seconds):
        return task.deferLater(self.reactor, seconds, lambda: None)


class MeasurementWindow:
    """Measurements of all nodes over a period of time.

    :param rates: increase per second of the counters of each node.
    :param cpu: CPU time of each node as a share of one core.
    :param calls: number of calls that the store received, by kind.
    :param elapsed: length of the period in seconds.
    :param metrics: counters of each node at the end of the period.
    """

    __slots__ = ("calls", "cpu", "elapsed", "metrics", "rates")

    def __init__(self, *, rates, cpu, calls, elapsed, metrics):
        self.rates = rates
        self.cpu = cpu
        self.calls = calls
        self.elapsed = elapsed
        self.metrics = metrics

    @property
    def mean_cpu(self):
        """Mean CPU time of a node as a share of one core."""
        return sum(self.cpu) / len(self.cpu)

    @property
    def mean_bytes_per_s(self):
        """Mean bytes per second of a node on links and store connections."""
        return sum(map(control_bytes, self.rates)) / len(self.rates)


class Operator:
    """Writes the configuration to the store as an entry VM does for an operator.

    :param store_url: base URL of the store stand-in.
    """

    def __init__(self, *, reactor, store_url):
        self._store = StoreClient(reactor=reactor, base_url=store_url)
        self._document = None
        self._revision = 0
        self._change_count = 0

    @defer.inlineCallbacks
    def write(self, document):
        """Writes a document as the next version of the configuration."""
        self._revision = yield self._store.put(
            STORE_KEY, document.encode(), expected_revision=self._revision
        )
        self._document = document

    def touch_zone(self):
        """Changes the region of a zone, which no routing decision depends on."""
        return self._set_field("zones", 0, "region", f"region-{self._change_count}")

    def drain_server(self):
        """Drains one more server, so that its partitions change owner."""
        return self._set_field("servers", self._change_count, "state", "draining")

    def _set_field(self, kind, number, name, value):
        self._change_count += 1
        entry = self._document.entries_of(kind)[number].value
        changes = {(kind, entry["name"]): {**entry, name: value}}
        write_id = f"change-{self._change_count}"
        return self.write(self._document.with_changes(changes, (), write_id))

    def close(self):
        """Closes the connections to the store."""
        return self._store.close()


def control_bytes(rate):
    """Returns the bytes on links and store connections, without the VM list.

    :param rate: counters of a node, or their increase per second.
    """
    names = ("link_bytes_total", *STORE_BYTE_COUNTERS)
    return sum(
        value for (name, kind), value in rate.items() if name in names and kind != "vms"
    )


def change_cost(window, idle, changes, other_changes=None):
    """Returns the mean cost of one change to a node.

    :param window: measurements of the period in which the changes were made.
    :param idle: figures of the same nodes without changes.
    :param changes: number of changes.
    :param other_changes: pair of the cost and the number of changes of another kind
        that were made in the same period, or None. Their cost is subtracted.
    """
    cpu_ms = (window.mean_cpu - idle["cpu_share_mean"]) * window.elapsed * 1000
    byte_count = (
        window.mean_bytes_per_s - idle["control_bytes_per_s"]
    ) * window.elapsed
    if other_changes is not None:
        cost, count = other_changes
        cpu_ms -= cost["cpu_ms_per_node"] * count
        byte_count -= cost["bytes_per_node"] * count
    return {
        "changes": changes,
        "cpu_ms_per_node": cpu_ms / changes if changes else None,
        "bytes_per_node": byte_count / changes if changes else None,
    }


def make_bounds(by_size, at_target, table_mb):
    """Returns the bounds on the figures at the target and on each measured size.

    The bounds on each size require that every node knows all members and that the
    servers hold all partitions.

    :param by_size: figures by number of nodes.
    :param at_target: extrapolations by name of the figure.
    :param table_mb: memory of the member table at the target.
    """
    value = {name: entry["value"] for name, entry in at_target.items()}
    # At the measured sizes the growth of the memory is smaller than its noise, so the
    # extrapolation alone is not reliable. The second estimate adds the member table,
    # the only part known to grow with the number of nodes, to the largest mean.
    memory_mb = table_mb + max(f["memory_above_bare_mb"] for f in by_size.values())
    # Apart from the VM list, the traffic of a node with the store does not depend on
    # the number of nodes. The poller limits the rate at which it reads the list; the
    # shortest period that the jitter allows gives the highest rate.
    vm_list_bytes = LIST_BYTES_PER_S / MIN_JITTER_FACTOR
    link_bytes = value["link_bytes_per_s"]

    def total_bytes_per_s(name):
        values = [f[name] for f in by_size.values() if f[name] is not None]
        return link_bytes + max(values) + vm_list_bytes

    limits = (
        ("controller_cpu_share", value["controller_cpu_share"], MAX_CPU_SHARE),
        ("member_cpu_share", value["member_cpu_share"], MAX_CPU_SHARE),
        (
            "memory_above_bare_mb",
            max(value["memory_above_bare_mb"], memory_mb),
            MAX_MEMORY_MB,
        ),
        (
            "controller_bytes_per_s",
            total_bytes_per_s("controller_store_bytes_per_s")
            + max(f["controller_grant_bytes_per_s"] or 0.0 for f in by_size.values()),
            MAX_CONTROL_BYTES_PER_S,
        ),
        (
            "member_bytes_per_s",
            total_bytes_per_s("member_store_bytes_per_s"),
            MAX_CONTROL_BYTES_PER_S,
        ),
        ("store_writes_per_s", value["store_writes_per_s"], MAX_STORE_WRITES_PER_S),
        ("store_reads_per_s", value["store_reads_per_s"], MAX_STORE_READS_PER_S),
    )
    bounds = [
        Bound(name=f"{name} at 440", value=value, limit=limit)
        for name, value, limit in limits
    ]
    bounds += [
        Bound(
            name=f"partitions held at {size}",
            value=figures["partitions_held"],
            limit=PARTITIONS * len(SERVICES),
            at_most=False,
        )
        for size, figures in by_size.items()
    ]
    bounds += [
        Bound(
            name=f"members known at {size}",
            value=figures["members_known"],
            limit=size,
            at_most=False,
        )
        for size, figures in by_size.items()
    ]
    return bounds


def vm_list_entry(node):
    """Returns the entry of a node in the VM list."""
    return {
        "id": node["node"],
        "address": node["peer_listen"],
        "zone": node["zone"],
        "kind": "entry",
        "state": "live",
    }


def summarise(rates, cpu, memory, calls, elapsed):
    """Returns the figures of one size.

    A node that renews a lease in the store counts as a controller, any other node as a
    member.

    :param rates: increase per second of the counters of each node.
    :param cpu: CPU time of each node as a share of one core.
    :param memory: resident memory of each node in MB.
    :param calls: number of calls that the store stand-in received, by kind.
    :param elapsed: length of the measurement in seconds.
    """

    def node_rate(rate, name, label=None):
        return sum(
            v for (n, lab), v in rate.items() if n == name and label in (None, lab)
        )

    def mean(values):
        values = list(values)
        return sum(values) / len(values) if values else None

    def mean_rate(name, label=None):
        return mean(node_rate(rate, name, label) for rate in rates)

    store_bytes = [
        sum(
            value
            for (name, kind), value in rate.items()
            if name in STORE_BYTE_COUNTERS and kind != "vms"
        )
        for rate in rates
    ]
    vm_list_bytes = [
        sum(node_rate(rate, name, "vms") for name in STORE_BYTE_COUNTERS)
        for rate in rates
    ]
    controllers = [
        n
        for n, rate in enumerate(rates)
        if node_rate(rate, "store_calls_total", "keepalive") > 0
    ]
    members = [n for n in range(len(rates)) if n not in controllers]
    # In a deployment of TARGET_NODES no node controls more than one zone, so nodes that
    # control several are left out of the figures of controllers.
    single_zone_controllers = [
        n
        for n in controllers
        if node_rate(rates[n], "store_calls_total", "keepalive")
        < 1.5 * KEEPALIVES_PER_ZONE_PER_S
    ]
    by_kind = {kind: round(number / elapsed, 3) for kind, number in calls.items()}
    return {
        "cpu_share_mean": mean(cpu),
        "cpu_share_max": max(cpu),
        "controllers": len(controllers),
        "controllers_of_one_zone": len(single_zone_controllers),
        "controller_cpu_share": mean(cpu[n] for n in single_zone_controllers),
        "member_cpu_share": mean(cpu[n] for n in members),
        "memory_mb": mean(memory),
        "memory_mb_max": max(memory),
        "link_bytes_per_s": mean_rate("link_bytes_total"),
        "control_bytes_per_s": mean(map(control_bytes, rates)),
        "controller_store_bytes_per_s": mean(
            store_bytes[n] for n in single_zone_controllers
        ),
        "controller_grant_bytes_per_s": mean(
            node_rate(rates[n], "grant_bytes_total") for n in single_zone_controllers
        ),
        "member_store_bytes_per_s": mean(store_bytes[n] for n in members),
        "vm_list_bytes_per_s_max": max(vm_list_bytes),
        "link_bytes_sent_per_s": mean_rate("link_bytes_total", "sent"),
        "link_bytes_received_per_s": mean_rate("link_bytes_total", "received"),
        "link_frames_per_s": mean_rate("link_frames_total"),
        "link_bytes_with_packet_heads_per_s": mean_rate("link_bytes_total")
        + PACKET_HEADER_BYTES * mean_rate("link_frames_total"),
        "store_calls_per_s_by_kind": by_kind,
        "store_writes_per_s": sum(by_kind.get(k, 0.0) for k in WRITE_KINDS),
    }


def extrapolate(values_by_size, scale):
    """Extrapolates a figure to :data:`TARGET_NODES` nodes.

    Fits a line by least squares over each of log2(n), n and the links per node.

    :param values_by_size: measured values by number of nodes.
    :param scale: ``log2``, ``linear`` or ``links``: the fit that gives ``value``.
    :returns: dictionary of ``value``, ``fit`` and all ``fits``.
    """
    sizes, values = zip(*sorted(values_by_size.items()), strict=True)
    fits = {}
    for name, transform in (
        ("log2", math.log2),
        ("linear", float),
        ("links", links_per_node),
    ):
        xs = [transform(n) for n in sizes]
        mean_x, mean_y = sum(xs) / len(xs), sum(values) / len(values)
        pairs = list(zip(xs, values, strict=True))
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum(
            (x - mean_x) ** 2 for x in xs
        )
        fits[name] = {
            "slope": slope,
            "residual": sum((y - mean_y - slope * (x - mean_x)) ** 2 for x, y in pairs),
            "at_440": mean_y + slope * (transform(TARGET_NODES) - mean_x),
        }
    return {"value": fits[scale]["at_440"], "fit": scale, "fits": fits}


def member_table(size):
    """Returns the member table of the first node of a deployment.

    :param size: number of nodes.
    """
    nodes = [
        Member(
            node_id=f"entry-{n:04}",
            zone="zone",
            link_address=f"127.0.0.1:{n}",
            forward_address=f"127.0.0.1:{n}",
            instance=n.to_bytes(8, "big"),
        )
        for n in range(size)
    ]
    members = Members(me=nodes[0])
    members.by_id.update({node.node_id: node for node in nodes})
    return members


def member_table_mb(size):
    """Returns the memory of a node's member table in MB (10^6 bytes).

    :param size: number of nodes.
    """
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        table = member_table(size)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / 1e6 if table else None


def links_per_node(size):
    """Returns the number of links of a node, both dialled and accepted.

    :param size: number of nodes.
    """
    members = member_table(size)
    outgoing = {int(target.rpartition("-")[2]) for target in members.link_targets()}
    # The ring is symmetric: if this node dials the node d places after it, then the
    # node d places before it dials this node.
    return len(outgoing | {size - distance for distance in outgoing})


def parse_metrics(text):
    """Parses the counters of a node's metrics page.

    :param text: page in the Prometheus text format.
    :returns: ``{(counter, label): value}``; the label ``node`` is left out.
    """
    values = {}
    for name, labels, value in _METRIC.findall(text):
        label = [v for k, v in _LABEL.findall(labels) if k != "node"]
        values[name, label[0] if label else ""] = float(value)
    return values


def knows_members(metrics, size):
    """Returns whether a node knows all other nodes.

    :param metrics: counters of the node.
    :param size: number of nodes, itself included.
    """
    return metrics.get(("member_changes_total", "alive"), 0) >= size - 1


def has_documents(metrics):
    """Returns whether a node has the configuration and every ownership document."""
    applied = sum(v for (n, _), v in metrics.items() if n == "documents_taken_total")
    return applied >= 1 + len(SERVICES)


def accepts_connections(address):
    """Returns whether an address (``host:port``) accepts TCP connections."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.settimeout(1.0)
        return probe.connect_ex((host, int(port))) == 0


def configuration(ports):
    """Returns the configuration document of both deployments.

    :param ports: ports of the servers, in the order of :data:`ZONE_BY_SERVER`.
    """
    zones = dict.fromkeys(ZONE_BY_SERVER.values())
    return ConfigurationDocument.from_configuration(
        {
            "zones": [{"name": zone} for zone in zones],
            "services": [{"name": service} for service in SERVICES],
            "servers": [
                {
                    "name": name,
                    "service": name.rpartition("-")[0],
                    "zone": zone,
                    "address": f"127.0.0.1:{port}",
                }
                for (name, zone), port in zip(
                    ZONE_BY_SERVER.items(), ports, strict=True
                )
            ],
        }
    )


def free_ports(rng, count):
    """Returns free TCP ports below the ephemeral port range.

    :param rng: random number generator that chooses the ports.
    :param count: number of ports.
    """
    sockets = []
    try:
        for port in rng.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT):
            listener = socket.socket()
            try:
                listener.bind(("127.0.0.1", port))
            except OSError:
                listener.close()
                continue
            sockets.append(listener)
            if len(sockets) == count:
                break
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


def cpu_seconds(pid):
    """Returns the user and system CPU time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def machine_busy_seconds():
    """Returns the CPU time of the whole machine in seconds since it started.

    It includes the time of processes that do not belong to the bench.
    """
    fields = pathlib.Path("/proc/stat").read_text().splitlines()[0].split()[1:9]
    user, nice, system, _, _, irq, softirq, steal = map(int, fields)
    busy = user + nice + system + irq + softirq + steal
    return busy / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
