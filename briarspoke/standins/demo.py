"""Demo: a complete deployment in one process on loopback."""

from __future__ import annotations

import logging
import sys

from twisted.internet import defer, task
from twisted.web import client

from briarspoke import clock, settings
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument
from briarspoke.errors import BriarspokeError, UserError
from briarspoke.node import Node
from briarspoke.ownership.document import OwnershipDocument, Partition
from briarspoke.platform.store import StoreClient
from briarspoke.standins.backend import BackendFactory, BackendStandIn
from briarspoke.standins.grants import GrantTable
from briarspoke.standins.store import StoreStandIn, site

log = logging.getLogger(__name__)

ZONES = ("poa", "cwb")
SERVERS_PER_ZONE = 2
PARTITIONS = 32
PORTS = 8080, 8081, 8082, 8083, 8084
OPERATOR_TOKEN = "demo-operator-token"
GRANT_TIMEOUT_S = 10.0
EXIT_USER_ERROR = 2


def demo_configuration(addresses_by_server):
    """Returns the configuration of the demo as a JSON value.

    :param addresses_by_server: address by server name, ``tabela-<zone>-<n>``.
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
    """Returns an ownership document that assigns the partitions round-robin."""
    servers = configuration.servers_of(service.name)
    document = OwnershipDocument.empty(service.name, service.partitions)
    changes = {
        number: Partition(owner=servers[number % len(servers)].name, epoch=1)
        for number in range(service.partitions)
    }
    return document.with_changes(changes, "static")


class Demo:
    """Store stand-in, backend servers and an entry VM in one process.

    :param check: whether to send a few requests, print a summary and stop.
    :param free_ports: whether to listen on free ports instead of :data:`PORTS`.
    """

    def __init__(self, *, reactor, check, free_ports=False):
        self.reactor = reactor
        self.check = check
        # A check may run while a demo occupies the fixed ports.
        self.free_ports = free_ports or check
        self.exit_status = 0
        self.backends_by_name = {}
        self.node = None

    @defer.inlineCallbacks
    def start(self):
        """Starts the deployment, and runs the check if requested.

        A :class:`UserError` is printed without a traceback.
        """
        try:
            yield self._start()
            if self.check:
                yield self._check()
                yield self.node.stop()
                self.reactor.stop()
            else:
                self._print_help()
        except UserError as error:
            print(f"briarspoke: {error}", file=sys.stderr)
            self.exit_status = EXIT_USER_ERROR
            self.reactor.stop()
        except Exception:
            log.exception("demo: cannot start")
            self.exit_status = 1
            self.reactor.stop()

    @defer.inlineCallbacks
    def _start(self):
        stand_in = StoreStandIn(reactor=self.reactor, clock=clock.monotonic)
        port = self.reactor.listenTCP(0, site(stand_in), interface="127.0.0.1")
        store_url = f"http://127.0.0.1:{port.getHost().port}"
        document = ConfigurationDocument.from_configuration(
            demo_configuration(self._start_backends())
        )
        store = StoreClient(reactor=self.reactor, base_url=store_url)
        yield store.put(STORE_KEY, document.encode(), expected_revision=0)
        yield store.close()
        self.node = Node(reactor=self.reactor, settings=self._settings(store_url))
        yield self.node.start()
        yield self._wait_for_grants()

    def _settings(self, store_url):
        ports = (0, 0, 0, 0, 0) if self.free_ports else PORTS
        names = ("caller", "peer", "admin", "metrics", "forward")
        listen = {
            f"{name}_listen": f"127.0.0.1:{port}"
            for name, port in zip(names, ports, strict=True)
        }
        return settings.from_json(
            {
                "node": "entry-1",
                "zone": ZONES[0],
                "store_url": store_url,
                "cluster_key": "demo-cluster-key-only",
                "operators": {"demo": {"token": OPERATOR_TOKEN, "role": "writer"}},
                **listen,
            }
        )

    @defer.inlineCallbacks
    def _wait_for_grants(self):
        """Waits until the backend servers together hold every partition."""
        deadline = clock.monotonic() + GRANT_TIMEOUT_S
        while clock.monotonic() < deadline:
            held = sum(len(b.grants.held) for b in self.backends_by_name.values())
            if held == PARTITIONS:
                return
            yield task.deferLater(self.reactor, 0.05, lambda: None)
        raise BriarspokeError("timed out before every partition was granted")

    def _start_backends(self):
        addresses = {}
        for zone in ZONES:
            for number in range(1, SERVERS_PER_ZONE + 1):
                name = f"tabela-{zone}-{number}"
                backend = BackendStandIn(
                    name=name,
                    reactor=self.reactor,
                    clock=clock.monotonic,
                    grants=GrantTable(server=name, clock=clock.monotonic),
                )
                port = self.reactor.listenTCP(
                    0, BackendFactory(backend), interface="127.0.0.1"
                )
                self.backends_by_name[name] = backend
                addresses[name] = f"127.0.0.1:{port.getHost().port}"
        return addresses

    @defer.inlineCallbacks
    def _check(self):
        port = self.node.port("callers")
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
            body = yield client.readBody(response)
            ok = response.code == status
            passed += ok
            print(f"{'ok' if ok else 'FAILED':6} {method:4} {path} -> {response.code}")
            if not ok:
                print(body.decode(errors="replace"))
        print(f"{passed} of {len(expected)} requests answered as expected")
        self.exit_status = 0 if passed == len(expected) else 1

    def _print_help(self):
        base = f"http://127.0.0.1:{self.node.port('callers')}"
        print(f"lookup:   curl -i {base}/tabela/42")
        print(f"booking:  curl -i -d '{{}}' {base}/tabela/42")
        print(f"bulk:     curl -i -T README.md {base}/tabela/photos")
        print(f"refused:  curl -i {base}/nothing/42")
        print(f"metrics:  curl http://127.0.0.1:{self.node.port('metrics')}/")
        print(
            f"operator: curl -H 'Authorization: Bearer {OPERATOR_TOKEN}' "
            f"http://127.0.0.1:{self.node.port('admin')}/v1/status/ownership"
        )
        print("stop with Ctrl-C", flush=True)
