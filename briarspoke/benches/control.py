"""Bench ``control``: what control costs an idle node."""

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
# Waits with everything imported that a node imports.
BARE_CODE = """import briarspoke.loop, time
briarspoke.loop.install()
import briarspoke.node
time.sleep(60)"""
# Groups of sizes measured at the same time. All sizes at once are 75 nodes, which
# overloaded a machine of 10 cores; each size alone leaves 2 s for measuring it.
GROUPS = ((5, 10, 20), (40,))
SIZES = tuple(size for group in GROUPS for size in group)
# Starting a node takes about half a second of a core.
START_EVERY_S = 0.1
LINK_CHECK_EVERY_S = 0.5
# Sizes at which the cost of changes is measured: a ring each, for a slope.
CHANGE_SIZES = (20, 40)
CHANGES = 5
CHANGE_EVERY_S = 0.4
TARGET_NODES = 440
START_TIMEOUT_S = 15.0
# Links of the time when only some nodes knew each other are closed by then.
SETTLE_S = 3.0
MEASURE_S = 7.0
LONG_MEASURE_S = 90.0
CPU_LIMIT = 0.027
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT = 8 * 1024
WRITES_LIMIT = 500.0
READS_LIMIT = 2000.0
# Figures that are extrapolated, and the scale of their fit. CPU and link bytes
# follow the links per node: n - 1 in a full mesh, about 2 log2(n) on a ring. Only
# the ring's part of a fit over log2(n) would hold at the target, so the links
# themselves are the scale. The number of readers of the VM list is linear in n.
EXTRAPOLATED = {
    "controller_cpu_share": "links",
    "member_cpu_share": "links",
    "memory_above_bare_mb": "linear",
    "link_bytes_per_s": "links",
    "store_writes_per_s": "linear",
    "store_reads_per_s": "linear",
}
# Headers of IPv4 and TCP with timestamps, for the estimate on the wire.
PACKET_HEAD_BYTES = 52
# A controller renews its lease this often; a node at the target holds one zone.
KEEPALIVES_PER_ZONE_S = 1 / KEEPALIVE_EVERY_S
PORTS_PER_NODE = 5
FIRST_PORT, LAST_PORT = 20_000, 32_000

# Zones and services of both deployments: {service: number of servers}.
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
STORE_BYTES = ("store_sent_bytes_total", "store_received_bytes_total")
READ_KINDS = ("get", "list", "watch", "vms")
_METRIC = re.compile(r"^briarspoke_(\w+)\{(.*)\} (\S+)$", re.MULTILINE)
_LABEL = re.compile(r'(\w+)="([^"]*)"')


@bench("control")
def run(*, seed, long):
    """Measures groups of sizes one after the other, extrapolates to the target."""
    reactor = loop.install()
    control = Control(reactor=reactor, seed=seed, long=long)
    outcome = []

    def end(result):
        outcome.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: control.run().addBoth(end))
    try:
        reactor.run()
    finally:
        control.stop_processes()
        control.stop_parts()
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]


class Control:
    """One run of the bench.

    :param long: measure each size for longer.
    """

    def __init__(self, *, reactor, seed, long):
        self.reactor = reactor
        self.seed = seed
        self.measure_s = LONG_MEASURE_S if long else MEASURE_S
        self._processes = []
        self._parts = []
        self._agent = client.Agent(reactor)
        # Runs with one seed at the same time must not choose the same ports.
        rng = random.Random(f"{seed}-{os.getpid()}")
        ports = free_ports(rng, sum(SIZES) * PORTS_PER_NODE)
        self._addresses = iter([f"127.0.0.1:{port}" for port in ports])

    @defer.inlineCallbacks
    def run(self):
        """Returns the :class:`Report`."""
        bare_mb = yield self._bare_memory()
        by_size = {}
        for sizes in GROUPS:
            results = yield defer.gatherResults(
                [self._measure(size, bare_mb) for size in sizes], consumeErrors=True
            )
            by_size.update(zip(sizes, results, strict=True))
        at_target = {
            name: extrapolate(
                {n: f[name] for n, f in by_size.items() if f[name] is not None}, scale
            )
            for name, scale in EXTRAPOLATED.items()
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
            bounds=bounds_of(by_size, at_target, table_mb),
        )

    @defer.inlineCallbacks
    def _bare_memory(self):
        process = self._spawn(arguments=["-c", BARE_CODE])
        yield self._sleep(1.0)
        memory_mb = resident_mb(process.pid)
        self.stop_processes()
        return memory_mb

    @defer.inlineCallbacks
    def _measure(self, size, bare_mb):
        servers = self._start_part("fleet", names=list(ZONE_BY_SERVER))
        store = self._start_part("store", host="127.0.0.1")
        store_url = f"http://127.0.0.1:{store.ready['port']}"
        nodes = self._settings(size, store_url)
        operator = Operator(reactor=self.reactor, store_url=store_url)
        store.ask(vms=[vm_of(node) for node in nodes])
        started = clock.monotonic()
        processes = []
        try:
            yield self._start_nodes(nodes, processes)
            yield self._wait_until(nodes, lambda m: knows_members(m, size))
            # With the configuration in the store from the start, the node that
            # starts first takes the leases of all zones.
            yield operator.write(configuration(servers.ready["ports"]))
            yield self._wait_until(nodes, knows_documents)
            yield self._sleep(SETTLE_S)
            result = yield self._observe(nodes, processes, store, bare_mb)
            result["partitions_held"] = servers.ask()["held"]
            # Polls of the VM list and watches last up to 30 s, so reads are counted
            # from the start on; that includes the first listings of every node.
            calls = store.ask()["calls"]
            reads = sum(calls.get(kind, 0) for kind in READ_KINDS)
            result["store_reads_per_s"] = reads / (clock.monotonic() - started)
            if size in CHANGE_SIZES:
                result["changes"] = yield self._changes(
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
                yield self._sleep(START_EVERY_S)
            yield self._wait_until_listening(nodes)

    @defer.inlineCallbacks
    def _observe(self, nodes, processes, store, bare_mb):
        busy = machine_busy_seconds()
        window = yield self._window(
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
    def _window(self, nodes, processes, store, act):
        before = yield self._metrics(nodes)
        started, cpu = clock.monotonic(), [cpu_seconds(p.pid) for p in processes]
        calls = collections.Counter(store.ask()["calls"])
        yield act()
        elapsed = clock.monotonic() - started
        cpu = [
            (cpu_seconds(p.pid) - c) / elapsed
            for p, c in zip(processes, cpu, strict=True)
        ]
        calls = collections.Counter(store.ask()["calls"]) - calls
        after = yield self._metrics(nodes)
        rates = [
            {key: (value - b.get(key, 0)) / elapsed for key, value in a.items()}
            for b, a in zip(before, after, strict=True)
        ]
        return Window(rates=rates, cpu=cpu, calls=calls, elapsed=elapsed, metrics=after)

    @defer.inlineCallbacks
    def _changes(self, nodes, processes, store, operator, idle):
        """Returns what one change costs a node, beyond its idle cost."""
        window = yield self._window(
            nodes, processes, store, lambda: self._change(operator.touch_zone)
        )
        configuration = change_cost(window, idle, CHANGES)
        window = yield self._window(
            nodes, processes, store, lambda: self._change(operator.drain_server)
        )
        # Every other write is a new version of an ownership document.
        writes = window.calls["put"] - CHANGES
        ownership = change_cost(window, idle, writes, less=(configuration, CHANGES))
        return {"configuration": configuration, "ownership": ownership}

    @defer.inlineCallbacks
    def _change(self, change):
        for _ in range(CHANGES):
            yield change()
            yield self._sleep(CHANGE_EVERY_S)

    @defer.inlineCallbacks
    def _wait_until_listening(self, nodes):
        deadline = clock.monotonic() + START_TIMEOUT_S
        for node in nodes:
            while not listens(node["metrics_listen"]):
                if clock.monotonic() > deadline:
                    raise RuntimeError(f"{node['node']} does not listen")
                yield self._sleep(0.1)

    @defer.inlineCallbacks
    def _wait_until(self, nodes, condition):
        """Waits until the metrics of each node meet a condition."""
        deadline = clock.monotonic() + START_TIMEOUT_S
        waiting = list(nodes)
        while waiting:
            if clock.monotonic() > deadline:
                names = ", ".join(node["node"] for node in waiting)
                raise RuntimeError(f"not ready in {START_TIMEOUT_S} s: {names}")
            metrics = yield self._metrics(waiting)
            waiting = [
                node
                for node, values in zip(waiting, metrics, strict=True)
                if not condition(values)
            ]
            if waiting:
                yield self._sleep(LINK_CHECK_EVERY_S)

    def _metrics(self, nodes):
        return defer.gatherResults(
            [self._metrics_of(node) for node in nodes], consumeErrors=True
        )

    @defer.inlineCallbacks
    def _metrics_of(self, node):
        url = f"http://{node['metrics_listen']}/"
        response = yield self._agent.request(b"GET", url.encode())
        content = yield client.readBody(response)
        return parse_metrics(content.decode())

    def _settings(self, size, store_url):
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
        """Ends processes that this run started; None stands for all."""
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
        """Ends store stand-ins and backend servers; None stands for all."""
        for part in list(self._parts) if stopped is None else stopped:
            self._parts.remove(part)
            part.stop()

    def _sleep(self, seconds):
        return task.deferLater(self.reactor, seconds, lambda: None)


class Window:
    """What was measured between two points in time.

    :param rates: counters per second of each node.
    :param cpu: share of a core that each node took.
    :param calls: calls that the store counted, by kind.
    :param metrics: counters of each node at the end.
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
        """Mean share of a core that a node took."""
        return sum(self.cpu) / len(self.cpu)

    @property
    def mean_bytes_per_s(self):
        """Mean bytes per second of a node on links and to the store."""
        return sum(map(control_bytes, self.rates)) / len(self.rates)


class Operator:
    """Writes configuration to the store as an entry VM does for an operator."""

    def __init__(self, *, reactor, store_url):
        self._store = StoreClient(reactor=reactor, base_url=store_url)
        self._document = None
        self._revision = 0
        self._changes = 0

    @defer.inlineCallbacks
    def write(self, document):
        """Writes the next version."""
        self._revision = yield self._store.put(
            STORE_KEY, document.encode(), expected_revision=self._revision
        )
        self._document = document

    def touch_zone(self):
        """Changes a zone's region, which no decision depends on."""
        return self._change("zones", 0, "region", f"region-{self._changes}")

    def drain_server(self):
        """Drains one more server, whose partitions then move."""
        return self._change("servers", self._changes, "state", "draining")

    def _change(self, kind, number, name, value):
        self._changes += 1
        entry = self._document.entries_of(kind)[number].value
        changes = {(kind, entry["name"]): {**entry, name: value}}
        write_id = f"change-{self._changes}"
        return self.write(self._document.with_changes(changes, (), write_id))

    def close(self):
        """Closes the connections."""
        return self._store.close()


def control_bytes(rate):
    """Returns the bytes on links and to the store among a node's counters."""
    names = ("link_bytes_total", *STORE_BYTES)
    return sum(
        value for (name, kind), value in rate.items() if name in names and kind != "vms"
    )


def change_cost(window, idle, changes, less=None):
    """Returns what each of some changes cost a node on average.

    :param idle: figures of the same nodes without changes.
    :param less: pair of the cost and number of changes of another kind that were
        made in the same time, or None.
    """
    cpu_ms = (window.mean_cpu - idle["cpu_share_mean"]) * window.elapsed * 1000
    sent = (window.mean_bytes_per_s - idle["control_bytes_per_s"]) * window.elapsed
    if less is not None:
        cost, number = less
        cpu_ms -= cost["cpu_ms_per_node"] * number
        sent -= cost["bytes_per_node"] * number
    return {
        "changes": changes,
        "cpu_ms_per_node": cpu_ms / changes if changes else None,
        "bytes_per_node": sent / changes if changes else None,
    }


def bounds_of(by_size, at_target, table_mb):
    """Returns the bounds at the target and on what the nodes know."""
    value = {name: entry["value"] for name, entry in at_target.items()}
    # The slope of the memory is lost in its noise at these sizes, so the member
    # table, the one part that is known to grow, is added to the largest mean.
    memory_mb = table_mb + max(f["memory_above_bare_mb"] for f in by_size.values())
    # Calls to the store but for the VM list do not depend on the number of nodes;
    # the poller bounds the bytes of the list, up to the jitter of its period.
    vm_list_bytes = LIST_BYTES_PER_S / MIN_JITTER_FACTOR
    link_bytes = value["link_bytes_per_s"]

    def with_store(name):
        values = [f[name] for f in by_size.values() if f[name] is not None]
        return link_bytes + max(values) + vm_list_bytes

    limits = (
        ("controller_cpu_share", value["controller_cpu_share"], CPU_LIMIT),
        ("member_cpu_share", value["member_cpu_share"], CPU_LIMIT),
        (
            "memory_above_bare_mb",
            max(value["memory_above_bare_mb"], memory_mb),
            MEMORY_LIMIT_MB,
        ),
        (
            "controller_bytes_per_s",
            with_store("controller_store_bytes_per_s")
            + max(f["controller_grant_bytes_per_s"] or 0.0 for f in by_size.values()),
            BYTES_LIMIT,
        ),
        (
            "member_bytes_per_s",
            with_store("member_store_bytes_per_s"),
            BYTES_LIMIT,
        ),
        ("store_writes_per_s", value["store_writes_per_s"], WRITES_LIMIT),
        ("store_reads_per_s", value["store_reads_per_s"], READS_LIMIT),
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


def vm_of(node):
    """Returns the VM list's entry of a node."""
    return {
        "id": node["node"],
        "address": node["peer_listen"],
        "zone": node["zone"],
        "kind": "entry",
        "state": "live",
    }


def summarise(rates, cpu, memory, calls, elapsed):
    """Returns the figures of one size; a controller is a node with a lease.

    :param rates: counters per second of each node.
    :param cpu: share of a core that each node took.
    :param memory: resident MB of each node.
    :param calls: calls that the stand-in counted, by kind.
    """

    def of_node(rate, name, label=None):
        return sum(
            v for (n, lab), v in rate.items() if n == name and label in (None, lab)
        )

    def mean(values):
        values = list(values)
        return sum(values) / len(values) if values else None

    def mean_rate(name, label=None):
        return mean(of_node(rate, name, label) for rate in rates)

    store_bytes = [
        sum(
            value
            for (name, kind), value in rate.items()
            if name in STORE_BYTES and kind != "vms"
        )
        for rate in rates
    ]
    vm_list_bytes = [
        sum(of_node(rate, name, "vms") for name in STORE_BYTES) for rate in rates
    ]
    controllers = [
        n
        for n, rate in enumerate(rates)
        if of_node(rate, "store_calls_total", "keepalive") > 0
    ]
    others = [n for n in range(len(rates)) if n not in controllers]
    # At the target no controller holds more than one zone.
    of_one_zone = [
        n
        for n in controllers
        if of_node(rates[n], "store_calls_total", "keepalive")
        < 1.5 * KEEPALIVES_PER_ZONE_S
    ]
    by_kind = {kind: round(number / elapsed, 3) for kind, number in calls.items()}
    return {
        "cpu_share_mean": mean(cpu),
        "cpu_share_max": max(cpu),
        "controllers": len(controllers),
        "controllers_of_one_zone": len(of_one_zone),
        "controller_cpu_share": mean(cpu[n] for n in of_one_zone),
        "member_cpu_share": mean(cpu[n] for n in others),
        "memory_mb": mean(memory),
        "memory_mb_max": max(memory),
        "link_bytes_per_s": mean_rate("link_bytes_total"),
        "control_bytes_per_s": mean(map(control_bytes, rates)),
        "controller_store_bytes_per_s": mean(store_bytes[n] for n in of_one_zone),
        "controller_grant_bytes_per_s": mean(
            of_node(rates[n], "grant_bytes_total") for n in of_one_zone
        ),
        "member_store_bytes_per_s": mean(store_bytes[n] for n in others),
        "vm_list_bytes_per_s_max": max(vm_list_bytes),
        "link_bytes_sent_per_s": mean_rate("link_bytes_total", "sent"),
        "link_bytes_received_per_s": mean_rate("link_bytes_total", "received"),
        "link_frames_per_s": mean_rate("link_frames_total"),
        "link_bytes_with_packet_heads_per_s": mean_rate("link_bytes_total")
        + PACKET_HEAD_BYTES * mean_rate("link_frames_total"),
        "store_calls_per_s_by_kind": by_kind,
        "store_writes_per_s": sum(by_kind.get(k, 0.0) for k in WRITE_KINDS),
    }


def extrapolate(values_by_size, scale):
    """Fits a line over log2(n), n and the links per node, by least squares.

    :param scale: ``log2``, ``linear`` or ``links``: the fit whose figure at the
        target is ``value``.
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
    """Returns the members of some nodes as the first of them knows them."""
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
    """Returns the memory of a member table."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        table = member_table(size)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / 1e6 if table else None


def links_per_node(size):
    """Returns how many links each of some nodes has, dialled and accepted."""
    members = member_table(size)
    out = {int(target.rpartition("-")[2]) for target in members.link_targets()}
    # The node at distance d before this one on the ring has a link to it if this
    # node has one to the node at distance d after it.
    return len(out | {size - distance for distance in out})


def parse_metrics(text):
    """Returns ``{(counter, label): value}`` of the text format, node left out."""
    values = {}
    for name, labels, value in _METRIC.findall(text):
        label = [v for k, v in _LABEL.findall(labels) if k != "node"]
        values[name, label[0] if label else ""] = float(value)
    return values


def knows_members(metrics, size):
    """Returns whether a node knows every other one."""
    return metrics.get(("member_changes_total", "alive"), 0) >= size - 1


def knows_documents(metrics):
    """Returns whether a node has the configuration and each ownership document."""
    taken = sum(v for (n, _), v in metrics.items() if n == "documents_taken_total")
    return taken >= 1 + len(SERVICES)


def listens(address):
    """Returns whether a loopback address accepts connections."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.settimeout(1.0)
        return probe.connect_ex((host, int(port))) == 0


def configuration(ports):
    """Returns the configuration document of both deployments.

    :param ports: port per server, in the order of :data:`ZONE_BY_SERVER`.
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
    """Returns free TCP ports below the range of outgoing connections."""
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
    """Returns user and system seconds of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def machine_busy_seconds():
    """Returns the seconds that all processors were busy, other work included."""
    fields = pathlib.Path("/proc/stat").read_text().splitlines()[0].split()[1:9]
    user, nice, system, _, _, irq, softirq, steal = map(int, fields)
    busy = user + nice + system + irq + softirq + steal
    return busy / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
