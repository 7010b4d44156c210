"""Runs a deployment of store, backend servers and entry VMs as processes."""

from __future__ import annotations

import itertools
import time

from briarspoke.benches import parts
from briarspoke.benches.records import Callers
from briarspoke.clock import monotonic
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument

CLUSTER_KEY = "bench-cluster-key-only"
OPERATOR_TOKEN = "bench-operator-token"
STORE_HOST = "127.0.100.1"
READY_TIMEOUT_S = 15.0


class Deployment:
    """Starts and observes the processes of one deployment.

    Each availability zone has its own loopback prefix, by which it can be cut off.

    :param zones: names of the zones.
    :param nodes_by_zone: number of entry VMs per zone.
    :param servers_by_zone: number of backend servers per zone and service.
    :param services: JSON resources of the services.
    :param service_s: service time of a request in seconds.
    """

    def __init__(
        self, *, seed, zones, nodes_by_zone, servers_by_zone, services, service_s=0.002
    ):
        self.seed = seed
        self.zones = tuple(zones)
        self.services = services
        self.service_s = service_s
        self._nodes_by_zone = nodes_by_zone
        self._servers_by_zone = servers_by_zone
        self._parts = parts.Parts()
        self.servers_by_name = {}
        self.nodes_by_name = {}
        self.killed_server_intervals = []
        self.store = None

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self._parts.__exit__()
            raise
        return self

    def __exit__(self, *exc):
        self._parts.__exit__(*exc)

    def host(self, zone):
        """Returns the loopback address that a zone's processes listen on."""
        return f"{self.prefix(zone)}1"

    def prefix(self, zone):
        """Returns the common prefix of a zone's addresses."""
        return f"127.0.{self.zones.index(zone) + 1}."

    def start_callers(self, *, service, keys, rate, zone_filter=lambda zone: True):
        """Starts :class:`Callers` of the entry VMs in the zones a filter accepts."""
        ports = [
            port
            for node, port in zip(
                self.nodes_by_name.values(), self.call_ports(), strict=True
            )
            if zone_filter(node.zone)
        ]
        return Callers(self._parts, service=service, keys=keys, rate=rate, ports=ports)

    def _start(self):
        for service in self.services:
            for zone in self.zones:
                for number in range(1, self._servers_by_zone + 1):
                    name = f"{service['name']}-{zone}-{number}"
                    self.start_server(name, zone, service)
        document = ConfigurationDocument.from_configuration(self.configuration())
        self.store = self._parts.start(
            "store", host=STORE_HOST, values={STORE_KEY: document.encode().hex()}
        )
        for zone in self.zones:
            for number in range(1, self._nodes_by_zone + 1):
                self.start_node(f"entry-{zone}-{number}", zone)
        self.wait_until(self.all_granted, READY_TIMEOUT_S, "every partition is granted")

    def configuration(self):
        """Returns the resources as JSON."""
        return {
            "zones": [{"name": zone} for zone in self.zones],
            "services": self.services,
            "servers": [
                {
                    "name": name,
                    "service": server.service["name"],
                    "zone": server.zone,
                    "address": server.address,
                }
                for name, server in self.servers_by_name.items()
            ],
        }

    def start_server(self, name, zone, service, port=0):
        """Starts a backend server; a restart passes the server's previous port."""
        server = ServerProcess(
            part=self._parts.start(
                "server",
                name=name,
                host=self.host(zone),
                port=port,
                seed=self.seed,
                service_s=self.service_s,
                fenced=service.get("fenced", True),
            ),
            zone=zone,
            service=service,
            host=self.host(zone),
        )
        self.servers_by_name[name] = server
        return server

    def start_node(self, name, zone):
        """Starts an entry VM with all running entry VMs as its peers."""
        host = self.host(zone)
        listeners = ("caller", "peer", "admin", "metrics", "forward")
        settings = {
            "node": name,
            "zone": zone,
            "store_url": f"http://{STORE_HOST}:{self.store.ready['port']}",
            "cluster_key": CLUSTER_KEY,
            "operators": {"bench": {"token": OPERATOR_TOKEN, "role": "writer"}},
            "peers": [node.ready["link"] for node in self.nodes_by_name.values()],
            **{f"{listener}_listen": f"{host}:0" for listener in listeners},
        }
        node = self._parts.start("node", settings=settings)
        node.zone = zone
        self.nodes_by_name[name] = node
        return node

    def all_granted(self):
        """Returns whether the servers hold grants for all fenced partitions."""
        held = sum(s.part.ask()["held"] for s in self.alive_servers() if s.fenced)
        expected = sum(
            service.get("partitions", 256)
            for service in self.services
            if service.get("fenced", True)
        )
        return held == expected

    def alive_servers(self):
        """Returns the servers that have not been killed."""
        return [s for s in self.servers_by_name.values() if s.alive]

    def wait_until(self, condition, timeout_s, description):
        """Waits for a condition and returns the seconds until it held.

        :raises TimeoutError: if it does not hold within the timeout.
        """
        started = monotonic()
        while monotonic() - started < timeout_s:
            if condition():
                return monotonic() - started
            time.sleep(0.02)
        raise TimeoutError(f"timed out after {timeout_s} s waiting until {description}")

    def call_ports(self):
        """Returns the (host, port) pairs on which the entry VMs accept callers."""
        return [
            (self.host(node.zone), node.ready["callers"])
            for node in self.nodes_by_name.values()
        ]

    def two_owners(self):
        """Returns the number of overlaps between grants of one partition.

        The intervals come from the servers' records, which share one clock.
        """
        intervals_by_partition = {}
        for server in self.alive_servers():
            for partition, _, begin, end in server.part.ask()["intervals"]:
                intervals_by_partition.setdefault(partition, []).append((begin, end))
        for partition, begin, end in self.killed_server_intervals:
            intervals_by_partition.setdefault(partition, []).append((begin, end))
        return sum(
            later[0] < earlier[1]
            for intervals in intervals_by_partition.values()
            for earlier, later in _neighbours(sorted(intervals))
        )

    def kill_server(self, name):
        """Kills a server, keeps its grant intervals and returns the kill time."""
        server = self.servers_by_name[name]
        # The intervals are lost with the process, so they are read before the kill.
        # The grants count as held until then.
        records = server.part.ask()["intervals"]
        killed_at = monotonic()
        server.kill()
        self.killed_server_intervals += [
            (partition, begin, min(end, killed_at))
            for partition, _, begin, end in records
        ]
        return killed_at


def _neighbours(intervals):
    return itertools.pairwise(intervals)


class ServerProcess:
    """The process of a backend server."""

    def __init__(self, *, part, zone, service, host):
        self.part = part
        self.zone = zone
        self.service = service
        self.alive = True
        self.port = part.ready["port"]
        self.address = f"{host}:{self.port}"

    @property
    def fenced(self):
        """Whether the server requires a grant to run a request."""
        return self.service.get("fenced", True)

    def kill(self):
        """Kills the process."""
        self.alive = False
        self.part.kill()
