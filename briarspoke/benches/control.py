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
from briarspoke.platform.vms import LIST_BYTES_PER_S, SHORTEST_JITTER
from briarspoke.standins.store import StoreStandIn, site

NODE_COMMAND = ("briarspoke", "serve")
# Waits with everything imported that a node imports.
BARE_CODE = """import briarspoke.loop, time
briarspoke.loop.install()
import briarspoke.node
time.sleep(60)"""
SIZES = (5, 10, 20, 40)
TARGET_NODES = 440
START_TIMEOUT_S = 15.0
# Links of the time when only some nodes knew each other are closed by then.
SETTLE_S = 7.0
MEASURE_S = 12.0
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
    """Measures sizes one after the other and extrapolates to the target."""
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
        control.stop_fleets()
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
        self._fleets = []
        self._agent = client.Agent(reactor)
        ports = free_ports(random.Random(seed), sum(SIZES) * PORTS_PER_NODE)
        self._addresses = iter([f"127.0.0.1:{port}" for port in ports])

    @defer.inlineCallbacks
    def run(self):
        """Returns the :class:`Report`."""
        bare_mb = yield self._bare_memory()
        # All sizes at a time, so that the time allowed goes into measuring; an
        # idle node takes about a hundredth of a core.
        results = yield defer.gatherResults(
            [self._measure(size, bare_mb) for size in SIZES], consumeErrors=True
        )
        by_size = dict(zip(SIZES, results, strict=True))
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
        yield self._sleep(1.5)
        memory_mb = resident_mb(process.pid)
        self.stop_processes()
        return memory_mb

    @defer.inlineCallbacks
    def _measure(self, size, bare_mb):
        stand_in = StoreStandIn(reactor=self.reactor, clock=clock.monotonic)
        port = self.reactor.listenTCP(0, site(stand_in), interface="127.0.0.1")
        store_url = f"http://127.0.0.1:{port.getHost().port}"
        servers = parts.Part("fleet", names=list(ZONE_BY_SERVER))
        self._fleets.append(servers)
        put_configuration(stand_in.state, servers.ready["ports"])
        nodes = self._settings(size, store_url)
        stand_in.state.vms_by_id = {n["node"]: vm_of(n) for n in nodes}
        with tempfile.TemporaryDirectory() as directory:
            processes = []
            started = clock.monotonic()
            for number, node in enumerate(nodes):
                path = pathlib.Path(directory, f"{number}.json")
                path.write_text(json.dumps(node))
                arguments = ["-m", *NODE_COMMAND, str(path)]
                processes.append(self._spawn(arguments=arguments))
            try:
                yield self._wait_until_linked(nodes)
                yield self._sleep(SETTLE_S)
                result = yield self._observe(nodes, processes, stand_in, bare_mb)
                result["partitions_held"] = servers.ask()["held"]
            finally:
                self.stop_processes(processes)
                yield port.stopListening()
        # Polls of the VM list and watches last up to 30 s, so reads are counted
        # from the start on; that includes the first listings of every node.
        reads = sum(stand_in.calls_by_kind[kind] for kind in READ_KINDS)
        result["store_reads_per_s"] = reads / (clock.monotonic() - started)
        return result

    @defer.inlineCallbacks
    def _observe(self, nodes, processes, stand_in, bare_mb):
        before = yield self._metrics(nodes)
        started, cpu = clock.monotonic(), [cpu_seconds(p.pid) for p in processes]
        calls = collections.Counter(stand_in.calls_by_kind)
        yield self._sleep(self.measure_s)
        elapsed = clock.monotonic() - started
        cpu = [
            (cpu_seconds(p.pid) - c) / elapsed
            for p, c in zip(processes, cpu, strict=True)
        ]
        calls = collections.Counter(stand_in.calls_by_kind) - calls
        memory = [resident_mb(p.pid) for p in processes]
        after = yield self._metrics(nodes)
        rates = [
            {key: (value - b.get(key, 0)) / elapsed for key, value in a.items()}
            for b, a in zip(before, after, strict=True)
        ]
        figures = summarise(rates, cpu, memory, calls, elapsed)
        figures["memory_above_bare_mb"] = figures["memory_mb"] - bare_mb
        figures["members_known"] = 1 + min(
            metrics.get(("member_changes_total", "alive"), 0) for metrics in after
        )
        return figures

    @defer.inlineCallbacks
    def _wait_until_linked(self, nodes):
        deadline = clock.monotonic() + START_TIMEOUT_S
        # The configuration and one ownership document per service.
        keys = 1 + len(SERVICES)
        while clock.monotonic() < deadline:
            yield self._sleep(0.5)
            try:
                metrics = yield self._metrics(nodes)
            except Exception:
                # A node that does not listen yet.
                continue
            if all(
                m.get(("member_changes_total", "alive"), 0) >= len(nodes) - 1
                and sum(v for (n, _), v in m.items() if n == "documents_taken_total")
                >= keys
                for m in metrics
            ):
                return
        raise RuntimeError(f"{len(nodes)} nodes did not link in {START_TIMEOUT_S} s")

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
        for process in list(self._processes) if processes is None else processes:
            self._processes.remove(process)
            process.terminate()
            try:
                process.wait(timeout=2)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def stop_fleets(self):
        """Ends the processes of the backend servers."""
        for fleet in self._fleets:
            fleet.stop()

    def _sleep(self, seconds):
        return task.deferLater(self.reactor, seconds, lambda: None)


def bounds_of(by_size, at_target, table_mb):
    """Returns the bounds at the target and on what the nodes know."""
    value = {name: entry["value"] for name, entry in at_target.items()}
    # The slope of the memory is lost in its noise at these sizes, so the member
    # table, the one part that is known to grow, is added to the largest mean.
    memory_mb = table_mb + max(f["memory_above_bare_mb"] for f in by_size.values())
    # Calls to the store but for the VM list do not depend on the number of nodes;
    # the poller bounds the bytes of the list, up to the jitter of its period.
    vm_list_bytes = LIST_BYTES_PER_S / SHORTEST_JITTER
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
            with_store("controller_store_bytes_per_s"),
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
    by_kind = {kind: round(number / elapsed, 3) for kind, number in calls.items()}
    return {
        "cpu_share_max": max(cpu),
        "controllers": len(controllers),
        "controller_cpu_share": mean(cpu[n] for n in controllers),
        "member_cpu_share": mean(cpu[n] for n in others),
        "memory_mb": mean(memory),
        "memory_mb_max": max(memory),
        "link_bytes_per_s": mean_rate("link_bytes_total"),
        "controller_store_bytes_per_s": mean(store_bytes[n] for n in controllers),
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


def put_configuration(state, ports):
    """Puts the configuration of both deployments into a store.

    :param ports: port per server, in the order of :data:`ZONE_BY_SERVER`.
    """
    zones = dict.fromkeys(ZONE_BY_SERVER.values())
    document = ConfigurationDocument.from_configuration(
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
    state.put(STORE_KEY, document.encode(), 0, None)


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


def resident_mb(pid):
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
