"""Entry VM processes and stand-ins of the platform, all on loopback."""

from __future__ import annotations

import functools
import json
import os
import signal
import socket
import subprocess
import sys

from briarspoke.entry.process import SETTINGS_VARIABLE
from briarspoke.platform.documents import EVACUATION_PREFIX as EVACUATIONS
from briarspoke.soak import coldness, evacuations
from briarspoke.soak.proxy import Proxy
from briarspoke.standins import platform_documents
from briarspoke.standins.platform_http import (
    PlatformServerStandIn,
    PlatformStoreStandIn,
    StandInFactory,
)
from briarspoke.standins.platform_server import ServerModel
from briarspoke.standins.platform_store import StoreModel

KEYED_SERVICE, UNKEYED_SERVICE = "stock", "orders"
HOST = "soak.example"
# Name, route type and service of each route. Only requests of a "safe" route may run
# more than once.
ROUTES = (
    ("lookup", "safe", KEYED_SERVICE),
    ("order", "unsafe", UNKEYED_SERVICE),
    ("book", "unsafe", KEYED_SERVICE),
)
WORK_S = 0.02
SLOTS = 4
# Zones of the servers and entry VMs, which take turns.
ZONES = ("a", "b")
GRACE_S = 6.0


def free_port(kind=socket.SOCK_STREAM):
    """Returns a port that is free at the moment."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class EntryProcess:
    """Process of an entry VM that reaches the store through its own proxy."""

    def __init__(self, *, name, settings, directory, proxy):
        self.name = name
        self.zone = settings["zone"]
        self.settings = settings
        self.proxy = proxy
        self.process = None
        self._file = os.path.join(directory, f"{name}.json")
        self._output = os.path.join(directory, f"{name}.log")
        with open(self._file, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        """Starts the process, whose output is appended to a log file."""
        with open(self._output, "ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "briarspoke.entry.process"],
                env={**os.environ, SETTINGS_VARIABLE: self._file},
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Sends a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        """Kills the process, also if it is paused, and waits for its end."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    @property
    def caller_port(self):
        """Port that accepts callers' requests."""
        return int(self.settings["caller_listen"].rpartition(":")[2])


class BackendServer:
    """Server stand-in behind a proxy, with its registration in the store."""

    def __init__(self, *, deployment, service, number):
        self.service = service
        self.number = number
        # Each zone has servers that reject by a reset and servers that answer.
        self.zone = ZONES[number // 2 % len(ZONES)]
        # Whether the server renews its registration.
        self.is_renewing = False
        self.server_id = f"{service}-{number}"
        self.incarnation = 0
        # Identifier, incarnation and sequence number of the server that had the address
        # before.
        self.replaced_server = None
        self.sequence = 0
        self.state = "ready"
        self.stand_in = None
        self.model = None
        # Name of the current process, unique for each start.
        self.process = ""
        self._deployment = deployment
        self._factory = StandInFactory(self._handle)
        self._listener = deployment.reactor.listenTCP(
            0, self._factory, interface="127.0.0.1"
        )
        self.proxy = Proxy(
            reactor=deployment.reactor, port=self._listener.getHost().port
        )
        self.restart()

    def _handle(self, exchange):
        self.stand_in.handle(exchange)

    def restart(self):
        """Simulates a new server process, which holds no keys, and registers it."""
        self.start()
        self.register()

    def replace(self):
        """Simulates a new server at the address, which is not registered yet."""
        self.replaced_server = (self.server_id, self.incarnation, self.sequence)
        self.server_id = f"{self.service}-{self.number}-{self.incarnation + 1}"
        self.start()

    def start(self):
        """Simulates a new process of the server, which holds no keys."""
        if self.stand_in is not None:
            self.stand_in.stopped = True
            self._factory.reset_connections()
            self.end_limit()
        self.is_renewing = False
        self.incarnation += 1
        self.sequence = 0
        self.state = "ready"
        server_id = self.server_id
        checks = self._deployment.checks
        self.process = f"{server_id} started as {self.incarnation}"
        self.model = ServerModel(
            server_id=server_id,
            clock=self._deployment.reactor.seconds,
            on_grant=functools.partial(checks.grant_accepted, self.process),
        )
        self.stand_in = PlatformServerStandIn(
            reactor=self._deployment.reactor,
            model=self.model,
            keyed=self.service == KEYED_SERVICE,
            work_s=WORK_S,
            slots=SLOTS,
            on_run=functools.partial(checks.request_ran, server_id),
            on_arrival=functools.partial(checks.request_arrived, self.process),
            on_limit=functools.partial(checks.limits.limit_named, self.process),
            on_leaving=functools.partial(checks.intake.leaving_said, self.process),
            on_pause=functools.partial(checks.intake.pause_asked, self.process),
            on_misdirected=functools.partial(checks.arrivals.misdirected, self.process),
        )
        checks.evacuations.process_started(self.process, self.zone)
        self.stand_in.reports_load = self.number % 4 != 3
        self.stand_in.reports_warmup = self.number % 2 == 0
        self._become_cold(is_serving=False)
        # Half of the servers reject by a reset, which does not say that nothing ran.
        self.stand_in.resets_when_full = self.number % 2 == 1

    def become_cold(self, *, is_serving=True):
        """Lets the current process be cold again, which its registration says.

        :param is_serving: whether entry VMs may send requests to it at this time.
        """
        self._become_cold(is_serving=is_serving)
        self.register()

    def _become_cold(self, *, is_serving):
        now = self._deployment.reactor.seconds()
        self.stand_in.cold_until = now + coldness.WARMUP_S
        self._deployment.checks.cold.cold_began(self.process, is_serving=is_serving)

    def name_limit(self, per_s):
        """Lets the current process name a limit in requests per second."""
        self.stand_in.limit_per_s = per_s

    def end_limit(self):
        """Lets the current process name no limit any more."""
        self.stand_in.limit_per_s = None
        self._deployment.checks.limits.limit_ended(self.process)

    def register(self):
        """Writes the registration to the store, from now on again and again."""
        self.is_renewing = True
        self.sequence += 1
        self._write_registration(
            self.server_id, self.incarnation, self.sequence, self.state
        )

    def renew_registration(self):
        """Writes the registration again unless it was deleted or the store is out."""
        if self.is_renewing and not self._deployment.store_stand_in.outage:
            self.register()

    def register_late(self):
        """Writes the registration of the server that had the address before."""
        if self.replaced_server is not None:
            self.is_renewing = False
            self._write_registration(*self.replaced_server, "ready")

    def _write_registration(self, server_id, incarnation, sequence, state):
        data = platform_documents.registration(
            service=self.service,
            address=f"127.0.0.1:{self.proxy.port}",
            slots=SLOTS,
            state=state,
            born=incarnation,
            sequence=sequence,
            zone=self.zone,
            warmup_left_s=self.stand_in.warmup_left_s,
        )
        self._deployment.store.put(f"servers/{server_id}", data)

    def expire_registration(self):
        """Deletes the registration, as the store does when its lease expires."""
        self.is_renewing = False
        self._deployment.store.delete(f"servers/{self.server_id}")


class Deployment:
    """Store, backend servers and entry VMs of a soak.

    :param directory: folder for the settings and logs of the entry VMs.
    :param checks: the :class:`~briarspoke.soak.checks.Checks` that record executions.
    :param nodes: number of entry VMs.
    :param servers: number of servers of each service.
    """

    def __init__(self, *, reactor, directory, checks, nodes, servers):
        self.reactor = reactor
        self.checks = checks
        self.store = StoreModel(clock=reactor.seconds)
        self.store_stand_in = PlatformStoreStandIn(reactor=reactor, model=self.store)
        listener = reactor.listenTCP(
            0, StandInFactory(self.store_stand_in.handle), interface="127.0.0.1"
        )
        self._store_port = listener.getHost().port
        self.version = 0
        self.write_configuration()
        self.servers = [
            BackendServer(deployment=self, service=service, number=number)
            for service in (KEYED_SERVICE, UNKEYED_SERVICE)
            for number in range(servers)
        ]
        self.nodes = [
            self._entry_process(ZONES[n % len(ZONES)], n, directory)
            for n in range(nodes)
        ]

    def _entry_process(self, zone, number, directory):
        name = f"front-{zone}-{number}"
        proxy = Proxy(reactor=self.reactor, port=self._store_port)
        settings = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "caller_listen": f"127.0.0.1:{free_port()}",
            "ready_listen": f"127.0.0.1:{free_port()}",
            "internal_port": free_port(),
            "metrics_port": free_port(),
            "store": f"127.0.0.1:{proxy.port}",
            "drain_s": "2000ms",
            "evacuation_s": f"{evacuations.EVACUATION_S}s",
            "cold_ratio": coldness.COLD_RATIO,
            "cold_slack": coldness.COLD_SLACK,
            "grace_s": f"{GRACE_S}s",
            "max_hold_s": "10000ms",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "retry_window_s": "10s",
        }
        return EntryProcess(
            name=name, settings=settings, directory=directory, proxy=proxy
        )

    def write_configuration(self):
        """Writes the next version of the configuration."""
        self.version += 1
        route = {
            "hostname": HOST,
            "timeout": "1500ms",
            "target_latency": "500ms",
            "priority": 1,
            "max_attempts": 2,
        }
        routes = {
            name: {
                **route,
                "prefix": f"/{name}/",
                "route_type": route_type,
                "service": service,
            }
            for name, route_type, service in ROUTES
        }
        service = {
            "health_path": "/h",
            "max_conns": 110,
            "warmup_per_s": coldness.WARMUP_PER_S,
            "warmup": f"{round(coldness.WARMUP_S * 1000)}ms",
        }
        services = {
            KEYED_SERVICE: {**service, "sharded": True},
            UNKEYED_SERVICE: service,
        }
        data = platform_documents.configuration(
            version=self.version, routes=routes, services=services
        )
        self.store.put("op/config", data)

    def restore_store(self, copy):
        """Restores the store; the operator and the servers write again.

        :param copy: earlier :class:`briarspoke.standins.platform_store.StoreCopy`.
        """
        written = {
            key: item["value"]
            for key, item in self.store.items.items()
            if key.startswith(("op/", "servers/"))
        }
        self.store.restore(copy)
        evacuated = [key for key in self.store.items if key.startswith(EVACUATIONS)]
        for key in evacuated:
            if key not in written:
                self.store.delete(key)
        for key, value in written.items():
            self.store.put(key, value)

    def servers_of(self, zone):
        """Returns the servers of a zone."""
        return [server for server in self.servers if server.zone == zone]

    def evacuate(self, zone):
        """Asks for the evacuation of a zone; the store acknowledges it."""
        self.store.put(f"{EVACUATIONS}{zone}", b"{}")
        self.checks.evacuations.zone_evacuated(zone)

    def withdraw_evacuation(self, zone):
        """Withdraws the evacuation of a zone."""
        self.checks.evacuations.zone_returned(zone)
        self.store.delete(f"{EVACUATIONS}{zone}")

    def start(self):
        """Starts every entry VM."""
        for node in self.nodes:
            node.start()

    def kill(self):
        """Kills every entry VM."""
        for node in self.nodes:
            node.kill()
