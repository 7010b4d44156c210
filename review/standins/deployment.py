"""A small deployment on loopback: store, servers and processes of entry VMs."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile

from standins import http11
from standins.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "review.example"
# The bounds of the site file ``brunnhuber-gw.toml``.
DRAIN_S = 2.0
GRACE_S = 6.0
START_TIMEOUT_S = 15.0
# Below the ports of outgoing connections.
LISTEN_PORTS = range(20_000, 32_000)


def free_port(address):
    """Returns a port that is free, and that no outgoing connection will take."""
    while True:
        port = random.choice(LISTEN_PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        return port


def route(service, prefix, *, route_type, **changes):
    """Returns a route of the operator's configuration."""
    return {
        "hostname": HOST,
        "prefix": prefix,
        "route_type": route_type,
        "timeout": "1000ms",
        "target_latency": "500ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


class EntryVm:
    """Process of an entry VM, started with the command of the deploy file."""

    def __init__(self, *, name, zone, store_port, directory, **changes):
        self.name = name
        self.ip = "127.0.0.1"
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.process = None
        self.log_path = os.path.join(directory, f"{name}.log")
        self._settings_path = os.path.join(directory, f"{name}.json")
        settings = {
            "node": name,
            "zone": zone,
            "ip": self.ip,
            "caller_listen": f"{self.ip}:{self.port}",
            "ready_listen": f"{self.ip}:{self.ready_port}",
            "internal_port": free_port(self.ip),
            "metrics_port": free_port(self.ip),
            "link_mbps": 1500.0,
            "memory_mb": 430,
            "store": f"127.0.0.1:{store_port}",
            "drain_s": f"{round(DRAIN_S * 1000)}ms",
            "grace_s": f"{GRACE_S:g}s",
            "max_hold_s": "10000ms",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "retry_window_s": "10s",
            **changes,
        }
        self.settings = settings
        with open(self._settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        """Starts the process; its output goes to a file."""
        command = _deploy_command()
        with open(self.log_path, "ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BRIARSPOKE_NODE_FILE": self._settings_path,
                },
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Kills the process if it still runs."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Asks as the platform does whether the VM takes connections."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(
                http11.encode(
                    "GET /briarspoke/ready HTTP/1.1",
                    {"Host": "ready", "Connection": "close"},
                )
            )
            answer = await http11.read_head(reader)
            return answer is not None and answer[0][1] == "200"
        except ConnectionError:
            return False
        finally:
            writer.close()


def _deploy_command():
    """Returns the command of the deploy file, run by this interpreter."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            words = line.partition("=")[2].strip().strip('"').split()
            return [sys.executable, *words[1:]]
    raise ValueError("deploy/system.toml has no command")


class Deployment:
    """Store, servers and entry VMs of one case."""

    def __init__(self):
        self.store = Store()
        self.backends = []
        self.vms = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._version = 0

    @property
    def directory(self):
        """Folder for settings and logs."""
        return self._temporary.name

    async def start(self, *, routes, services, backends, vms, **settings):
        """Starts everything and waits until all entry VMs are ready.

        :param routes: ``{name: route}``.
        :param services: ``{name: whether its servers hold keys}``.
        :param backends: function that returns the backends, given the store.
        :param vms: ``{name: zone}``.
        """
        await self.store.start()
        self.configure(routes, services)
        self.backends = backends(self.store)
        for backend in self.backends:
            await backend.start()
        for name, zone in vms.items():
            vm = EntryVm(
                name=name,
                zone=zone,
                store_port=self.store.port,
                directory=self.directory,
                **settings,
            )
            vm.start()
            self.vms.append(vm)
        for vm in self.vms:
            await self.wait_until_ready(vm)

    async def wait_until_ready(self, vm):
        """Waits until an entry VM is ready.

        :raises TimeoutError: if it does not become ready.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await vm.is_ready():
                await asyncio.sleep(0.05)

    def configure(self, routes, services):
        """Writes the next version of the operator's configuration."""
        self._version += 1
        body = {
            "config_version": f"r{self._version}",
            "routes": routes,
            "services": {
                name: {
                    "health_path": "/health",
                    "max_conns": 110,
                    "protocol": "h1",
                    "tls": False,
                    **({"sharded": True, "warm": "2s"} if keyed else {}),
                }
                for name, keyed in services.items()
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
        }
        self.store.put("op/config", json.dumps(body).encode())

    def close(self):
        """Ends all processes and removes their files."""
        for vm in self.vms:
            vm.end()
        self._temporary.cleanup()
