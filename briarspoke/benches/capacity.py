"""Bench ``capacity``: memory and time that a node needs at the target size."""

from __future__ import annotations

import gc
import time
import tracemalloc

from briarspoke.admission.queue import ServerQueue
from briarspoke.benches import Bound, Report, bench
from briarspoke.configuration.document import ConfigurationDocument
from briarspoke.hashing import partition_of
from briarspoke.http.gateways import Gateways
from briarspoke.ownership.document import OwnershipDocument, Partition
from briarspoke.routing.peers import Peer
from briarspoke.routing.table import RoutingTable

NODES = 440
ZONES = 8
# About the same ratio to the entry VMs as in the present deployments, which have 71
# servers and 8 to 10 entry VMs.
SERVERS = 3_600
SERVICES = 88
PARTITIONS_PER_SERVICE = 1_024
KEYS = 340_000_000
MAX_STATE_MB = 32.0
MAX_STORE_VALUE_BYTES = 900_000


def _measure(build):
    """Measures the time and memory of a function that builds an object.

    :param build: function without parameters; it is called twice.
    :returns: the object, the seconds that building took and the bytes that the object
        occupies.
    """
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The time is measured in a second call because tracemalloc slows down allocation.
    started = time.perf_counter()
    build()
    return result, time.perf_counter() - started, retained_bytes


def _make_resources():
    return {
        "zones": [{"name": f"zone-{n}"} for n in range(ZONES)],
        "services": [
            {"name": f"service-{n}", "partitions": PARTITIONS_PER_SERVICE}
            for n in range(SERVICES)
        ],
        "servers": [
            {
                "name": f"server-{n}",
                "service": f"service-{n % SERVICES}",
                "zone": f"zone-{n % ZONES}",
                "address": f"10.{n // 65_536}.{n // 256 % 256}.{n % 256}:80",
            }
            for n in range(SERVERS)
        ],
    }


def _encode_ownership(number):
    owners = [f"server-{n}" for n in range(number, SERVERS, SERVICES)]
    changes = {
        n: Partition(owner=owners[n % len(owners)], epoch=1)
        for n in range(PARTITIONS_PER_SERVICE)
    }
    name = f"service-{number}"
    empty = OwnershipDocument.empty(name, PARTITIONS_PER_SERVICE)
    return empty.with_changes(changes, "bench").encode()


def _build_routing_table(encoded_documents):
    table = RoutingTable()
    for content in encoded_documents:
        table.apply(OwnershipDocument.decode(content))
    return table


def _build_queues(configuration):
    service = configuration.services_by_name["service-0"]
    return [
        ServerQueue(slots=6, policies_by_rank=service.ranks)
        for _ in range(SERVERS // NODES + 1)
    ]


def _build_gateways():
    gateways = Gateways(node_id="node-0", zone="zone-0")
    gateways.refresh(
        {
            f"node-{n}": Peer(
                node_id=f"node-{n}",
                zone=f"zone-{n % ZONES}",
                forward_host="10.0.0.1",
                forward_port=n,
            )
            for n in range(1, NODES)
        }
    )
    return gateways


def _choose_gateways(configuration):
    gateways = _build_gateways()
    for server in configuration.servers_by_name.values():
        gateways.choose(server, 0.0)
    return gateways


def _mean_seconds(function, count):
    started = time.perf_counter()
    for number in range(count):
        function(number)
    return (time.perf_counter() - started) / count


@bench("capacity")
def capacity(*, seed, long):
    """Measures state and decisions of a node among 440 nodes and 3,600 servers."""
    encoded = ConfigurationDocument.from_configuration(_make_resources()).encode()

    def decode():
        return ConfigurationDocument.decode(encoded).configuration()

    configuration, decode_s, configuration_bytes = _measure(decode)
    encoded_documents = [_encode_ownership(number) for number in range(SERVICES)]
    table, table_s, table_bytes = _measure(
        lambda: _build_routing_table(encoded_documents)
    )
    _, _, queues_bytes = _measure(lambda: _build_queues(configuration))
    _, choices_s, choices_bytes = _measure(lambda: _choose_gateways(configuration))
    service = configuration.services_by_name["service-7"]
    route_s = _mean_seconds(
        lambda n: table.route(
            service.name, partition_of(f"key-{n}", service.partitions)
        ),
        200_000 if long else 50_000,
    )
    partitions = SERVICES * PARTITIONS_PER_SERVICE
    state_mb = (configuration_bytes + table_bytes + queues_bytes + choices_bytes) / 1e6
    max_document_bytes = max(len(content) for content in encoded_documents)
    return Report(
        bench="capacity",
        seed=seed,
        figures={
            "nodes": NODES,
            "servers": SERVERS,
            "partitions": partitions,
            "keys_per_partition": KEYS // partitions,
            "configuration_packed_bytes": len(encoded),
            "configuration_bytes_per_server": round(configuration_bytes / SERVERS, 1),
            "configuration_read_s": round(decode_s, 4),
            "ownership_document_bytes": max_document_bytes,
            "ownership_read_s_per_document": round(table_s / SERVICES, 5),
            "table_bytes_per_partition": round(table_bytes / partitions, 1),
            "queue_bytes_per_server": round(queues_bytes / (SERVERS // NODES + 1)),
            "gateway_choice_s_per_server": round(choices_s / SERVERS, 6),
            "gateway_bytes_per_server": round(choices_bytes / SERVERS, 1),
            "route_s_per_request": round(route_s, 8),
            "state_mb": round(state_mb, 2),
        },
        bounds=[
            Bound(name="state_mb", value=state_mb, limit=MAX_STATE_MB),
            Bound(
                name="configuration_packed_bytes",
                value=len(encoded),
                limit=MAX_STORE_VALUE_BYTES,
            ),
            Bound(
                name="ownership_document_bytes",
                value=max_document_bytes,
                limit=MAX_STORE_VALUE_BYTES,
            ),
        ],
    )
