"""A whole deployment in one process on loopback."""

from __future__ import annotations

import json
import logging

from twisted.internet import defer
from twisted.web import client

from briarspoke import clock, settings
from briarspoke.configuration.snapshot import Configuration
from briarspoke.node import Node
from briarspoke.ownership.document import OwnershipDocument, Partition
from briarspoke.platform.store import StoreClient
from briarspoke.standins.backend import BackendFactory, BackendStandIn
from briarspoke.standins.store import StoreStandIn, site

log = logging.getLogger(__name__)

ZONES = ("poa", "cwb")
SERVERS_PER_ZONE = 2
PARTITIONS = 32
CALLER_PORT = 8080


def demo_configuration(addresses_by_server):
    """Returns the demo's resources as JSON.

    :param addresses_by_server: address per server name ``tabela-<zone>-<n>``.
    """
    return {
        "zones": [{"name": zone} for zone in ZONES],
        "services": [
            {
                "name": "tabela",
                "partitions": PARTITIONS,
                "rank_rules": [
                    {"rank": "bulk", "methods": ["PUT"], "path_prefix": "/photos"}
                ],
            }
        ],
        "servers": [
            {
                "name": name,
                "service": "tabela",
                "zone": name.split("-")[1],
                "address": address,
            }
            for name, address in addresses_by_server.items()
        ],
    }


def static_ownership(configuration, service):
    """Returns a document that deals the partitions out in turn."""
    servers = configuration.servers_of(service.name)
    document = OwnershipDocument.empty(service.name, service.partitions)
    changes = {
        number: Partition(owner=servers[number % len(servers)].name, epoch=1)
        for number in range(service.partitions)
    }
    return document.with_changes(changes, "static")


class Demo:
    """Platform stand-in, backend servers and an entry VM in one process.

    :param check: send requests, print a summary and stop.
    """

    def __init__(self, *, reactor, check):
        self.reactor = reactor
        self.check = check
        self.exit_status = 0
        self.backends_by_name = {}
        self.node = None

    @defer.inlineCallbacks
    def start(self):
        """Starts everything."""
        try:
            yield self._start()
            if self.check:
                yield self._check()
                yield self.node.stop()
                self.reactor.stop()
            else:
                self._print_help()
        except Exception:
            log.exception("demo: cannot start")
            self.exit_status = 1
            self.reactor.stop()

    @defer.inlineCallbacks
    def _start(self):
        stand_in = StoreStandIn(reactor=self.reactor, clock=clock.monotonic)
        port = self.reactor.listenTCP(0, site(stand_in), interface="127.0.0.1")
        store_url = f"http://127.0.0.1:{port.getHost().port}"
        value = demo_configuration(self._start_backends())
        store = StoreClient(reactor=self.reactor, base_url=store_url)
        revision = yield store.put(
            "config", json.dumps(value).encode(), expected_revision=0
        )
        configuration = Configuration.from_json(value, [], version=revision)
        for service in configuration.services_by_name.values():
            document = static_ownership(configuration, service)
            yield store.put(
                f"ownership/{service.name}", document.encode(), expected_revision=0
            )
        yield store.close()
        self.node = Node(
            reactor=self.reactor,
            settings=settings.from_json(
                {
                    "node": "entry-1",
                    "zone": ZONES[0],
                    "store_url": store_url,
                    "cluster_key": "demo-cluster-key-only",
                    "caller_listen": f"127.0.0.1:{0 if self.check else CALLER_PORT}",
                    "metrics_listen": f"127.0.0.1:{0 if self.check else 8083}",
                    "forward_listen": f"127.0.0.1:{0 if self.check else 8084}",
                }
            ),
        )
        yield self.node.start()

    def _start_backends(self):
        addresses = {}
        for zone in ZONES:
            for number in range(1, SERVERS_PER_ZONE + 1):
                name = f"tabela-{zone}-{number}"
                backend = BackendStandIn(
                    name=name, reactor=self.reactor, clock=clock.monotonic
                )
                port = self.reactor.listenTCP(
                    0, BackendFactory(backend), interface="127.0.0.1"
                )
                self.backends_by_name[name] = backend
                addresses[name] = f"127.0.0.1:{port.getHost().port}"
        return addresses

    @defer.inlineCallbacks
    def _check(self):
        port = self.node.ports[0].getHost().port
        agent = client.Agent(self.reactor)
        base = f"http://127.0.0.1:{port}"
        expected = [
            ("GET", "/tabela/1", 200),
            ("POST", "/tabela/2", 200),
            ("PUT", "/tabela/photos", 200),
            ("GET", "/nothing/1", 404),
        ]
        passed = 0
        for method, path, status in expected:
            response = yield agent.request(method.encode(), (base + path).encode())
            yield client.readBody(response)
            ok = response.code == status
            passed += ok
            print(f"{'ok' if ok else 'FAILED':6} {method:4} {path} -> {response.code}")
        print(f"{passed} of {len(expected)} requests answered as expected")
        self.exit_status = 0 if passed == len(expected) else 1

    def _print_help(self):
        base = f"http://127.0.0.1:{CALLER_PORT}"
        print(f"lookup:   curl -i {base}/tabela/42")
        print(f"booking:  curl -i -d '{{}}' {base}/tabela/42")
        print(f"bulk:     curl -i -T README.md {base}/tabela/photos")
        print(f"refused:  curl -i {base}/nothing/42")
        print("metrics:  curl http://127.0.0.1:8083/")
        print("stop with Ctrl-C", flush=True)
