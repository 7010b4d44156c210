"""Throughput and latency of an entry VM, compared with a plain Agent proxy."""

from __future__ import annotations

import statistics

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.parts import Parts

BACKEND_PROCESSES = 3
SERVERS_PER_PROCESS = 4
CONNECTIONS = 48
MEASURED_S = 2.5
THROUGHPUT_ROUNDS = 2
# Direct and proxied latency are measured alternately, so that other load on the
# machine affects both. The bound uses the median of the differences.
LATENCY_ROUNDS = 3
LATENCY_S = 1.5
# 1.8 million requests/s on 440 nodes.
TARGET_RATE_PER_NODE = 4_100
ENTRY_PROCESSES = 3


def configuration_of(ports_by_name, *, service=None, slots=6):
    """Returns the resources of one service on the given ports, as JSON."""
    return {
        "zones": [{"name": "poa"}],
        "services": [service or {"name": "tabela"}],
        "servers": [
            {
                "name": name,
                "service": "tabela",
                "zone": "poa",
                "address": f"127.0.0.1:{port}",
                "slots": slots,
            }
            for name, port in ports_by_name.items()
        ],
    }


def start_entries(processes, configuration, count):
    """Starts entry VMs that are configured as each other's peers."""
    entries = [
        processes.start(
            "entry", node=f"entry-{number}", zone="poa", configuration=configuration
        )
        for number in range(count)
    ]
    peers = [
        {
            "node_id": f"entry-{number}",
            "zone": "poa",
            "forward_host": "127.0.0.1",
            "forward_port": entry.ready["forward_port"],
        }
        for number, entry in enumerate(entries)
    ]
    if count > 1:
        for entry in entries:
            entry.ask(peers=peers)
    return entries


def _start_servers(processes, seed):
    ports_by_name = {}
    for number in range(BACKEND_PROCESSES):
        names = [f"tabela-{number}-{index}" for index in range(SERVERS_PER_PROCESS)]
        part = processes.start("backend", names=names, seed=seed)
        ports_by_name.update(zip(names, part.ready["ports"], strict=True))
    return ports_by_name


def _measure_several_entries(processes, configuration, loads, seconds):
    """Measures the total rate of several entry VMs that forward to each other."""
    entries = start_entries(processes, configuration, ENTRY_PROCESSES)
    ports = [entry.ready["port"] for entry in entries]
    for load in loads:
        load.send({"ports": ports, "connections": CONNECTIONS, "seconds": seconds})
    results = [load.receive() for load in loads]
    forwards = {}
    for entry in entries:
        for direction, count in entry.ask()["counters"]["forwards_total"].items():
            forwards[direction] = forwards.get(direction, 0) + count
    return {
        "processes": ENTRY_PROCESSES,
        "rate": round(sum(result["rate"] for result in results), 1),
        "failed": sum(result["failed"] for result in results),
        "forwards": forwards,
    }


@bench("proxy")
def run(*, seed, long):
    """Compares the rate and latency of an entry VM with a plain Agent proxy."""
    seconds = MEASURED_S * (4 if long else 1)
    with Parts() as processes:
        ports_by_name = _start_servers(processes, seed)
        server_ports = list(ports_by_name.values())
        configuration = configuration_of(ports_by_name)
        (entry,) = start_entries(processes, configuration, 1)
        agent = processes.start("agent_proxy", ports=server_ports)
        loads = [processes.start("load") for _ in range(2)]
        load = loads[0]

        def measure(ports, measured_s=seconds, **kwargs):
            return load.ask(
                ports=ports, connections=CONNECTIONS, seconds=measured_s, **kwargs
            )

        entry_results, baseline_results = [], []
        for _ in range(THROUGHPUT_ROUNDS):
            baseline_results.append(measure([agent.ready["port"]]))
            entry_results.append(measure([entry.ready["port"]]))
        rate = statistics.median(result["rate"] for result in entry_results)
        baseline_rate = statistics.median(result["rate"] for result in baseline_results)
        latency_pairs = []
        for _ in range(LATENCY_ROUNDS):
            half_load = {"measured_s": LATENCY_S, "rate": rate / 2, "warmup_s": 0.5}
            direct = measure(server_ports, **half_load)
            before = entry.ask()["run_delay_s"]
            proxied = measure([entry.ready["port"]], **half_load)
            # Time spent waiting for a core explains tail latency that the program
            # does not cause.
            delay_s = entry.ask()["run_delay_s"] - before
            proxied["run_delay_ms"] = round(delay_s * 1000, 1)
            latency_pairs.append((direct, proxied))
        entry.ask(profile="start")
        measure([entry.ready["port"]], warmup_s=0.5)
        profile = entry.ask(profile="stop", top=30)["profile"]
        top = profile.pop("top")
        several = _measure_several_entries(processes, configuration, loads, seconds)
    figures = {
        "briarspoke": entry_results,
        "agent_proxy": baseline_results,
        "rate": rate,
        "baseline_rate": baseline_rate,
        "share_of_target_per_node": round(rate / TARGET_RATE_PER_NODE, 3),
        "direct_and_proxied_at_half": latency_pairs,
        "profile": profile,
        "profile_top": top,
        "several_processes": several,
    }
    results = [*entry_results, *(proxied for _, proxied in latency_pairs)]
    added_p99_ms = statistics.median(
        proxied["p99_ms"] - direct["p99_ms"] for direct, proxied in latency_pairs
    )
    failed = sum(result["failed"] + result["lost"] for result in results)
    return Report(
        bench="proxy",
        seed=seed,
        figures=figures,
        bounds=[
            Bound(
                name="requests/s over the Agent proxy's",
                limit=2.0,
                value=round(rate / baseline_rate, 2),
                at_most=False,
            ),
            Bound(
                name="p99 over direct at half capacity in ms",
                limit=12.0,
                value=round(added_p99_ms, 2),
            ),
            Bound(name="failed requests", limit=0, value=failed),
        ],
    )
