"""What state and decisions cost a node at the size of the target."""

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
# Today 71 servers stand behind 8 to 10 entry VMs; about the same proportion.
SERVERS = 3_600
SERVICES = 88
PARTITIONS_PER_SERVICE = 1_024
KEYS = 340_000_000
MEMORY_LIMIT_MB = 32.0
STORE_VALUE_LIMIT_BYTES = 900_000


def _measured(build):
    """Returns (result, seconds, bytes kept) of a function."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # Timed apart, because tracing slows allocation down.
    started = time.perf_counter()
    build()
    return result, time.perf_counter() - started, kept


def _configuration():
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


def _ownership(number):
    owners = [f"server-{n}" for n in range(number, SERVERS, SERVICES)]
    changes = {
        n: Partition(owner=owners[n % len(owners)], epoch=1)
        for n in range(PARTITIONS_PER_SERVICE)
    }
    name = f"service-{number}"
    empty = OwnershipDocument.empty(name, PARTITIONS_PER_SERVICE)
    return empty.with_changes(changes, "bench").encode()


def _table(contents):
    table = RoutingTable()
    for content in contents:
        table.apply(OwnershipDocument.decode(content))
    return table


def _queues(configuration):
    service = configuration.services_by_name["service-0"]
    return [
        ServerQueue(slots=6, policies_by_rank=service.ranks)
        for _ in range(SERVERS // NODES + 1)
    ]


def _gateways():
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


def _choices(configuration):
    gateways = _gateways()
    for server in configuration.servers_by_name.values():
        gateways.choose(server, 0.0)
    return gateways


def _seconds_each(function, count):
    started = time.perf_counter()
    for number in range(count):
        function(number)
    return (time.perf_counter() - started) / count


@bench("capacity")
def capacity(*, seed, long):
    """Builds a node's state for 440 nodes and 3,600 servers and times decisions."""
    packed = ConfigurationDocument.from_configuration(_configuration()).encode()

    def read():
        return ConfigurationDocument.decode(packed).configuration()

    configuration, read_s, configuration_bytes = _measured(read)
    contents = [_ownership(number) for number in range(SERVICES)]
    table, table_s, table_bytes = _measured(lambda: _table(contents))
    _, _, queues_bytes = _measured(lambda: _queues(configuration))
    _, choices_s, choices_bytes = _measured(lambda: _choices(configuration))
    service = configuration.services_by_name["service-7"]
    route_s = _seconds_each(
        lambda n: table.route(
            service.name, partition_of(f"key-{n}", service.partitions)
        ),
        200_000 if long else 50_000,
    )
    partitions = SERVICES * PARTITIONS_PER_SERVICE
    state_mb = (configuration_bytes + table_bytes + queues_bytes + choices_bytes) / 1e6
    largest = max(len(content) for content in contents)
    return Report(
        bench="capacity",
        seed=seed,
        figures={
            "nodes": NODES,
            "servers": SERVERS,
            "partitions": partitions,
            "keys_per_partition": KEYS // partitions,
            "configuration_packed_bytes": len(packed),
            "configuration_bytes_per_server": round(configuration_bytes / SERVERS, 1),
            "configuration_read_s": round(read_s, 4),
            "ownership_document_bytes": largest,
            "ownership_read_s_per_document": round(table_s / SERVICES, 5),
            "table_bytes_per_partition": round(table_bytes / partitions, 1),
            "queue_bytes_per_server": round(queues_bytes / (SERVERS // NODES + 1)),
            "gateway_choice_s_per_server": round(choices_s / SERVERS, 6),
            "gateway_bytes_per_server": round(choices_bytes / SERVERS, 1),
            "route_s_per_request": round(route_s, 8),
            "state_mb": round(state_mb, 2),
        },
        bounds=[
            Bound(name="state_mb", value=state_mb, limit=MEMORY_LIMIT_MB),
            Bound(
                name="configuration_packed_bytes",
                value=len(packed),
                limit=STORE_VALUE_LIMIT_BYTES,
            ),
            Bound(
                name="ownership_document_bytes",
                value=largest,
                limit=STORE_VALUE_LIMIT_BYTES,
            ),
        ],
    )
