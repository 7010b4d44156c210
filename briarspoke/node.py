"""One entry VM: wires the parts together."""

from __future__ import annotations

import json
import logging

from twisted.internet import defer, task
from twisted.web import resource, server

from briarspoke import clock
from briarspoke.configuration.snapshot import Configuration, split_address
from briarspoke.errors import UserError
from briarspoke.http.callers import CallerFactory
from briarspoke.http.peers import PeerFactory
from briarspoke.http.router import TICK_S, Router
from briarspoke.metrics import Metrics
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.platform.store import StoreClient

log = logging.getLogger(__name__)


class _MetricsResource(resource.Resource):
    isLeaf = True

    def __init__(self, metrics):
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request):
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
        return self._metrics.render()


class Node:
    """An entry VM's process.

    :param settings: the :class:`briarspoke.settings.Settings`.
    """

    def __init__(self, *, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.metrics = Metrics(node_id=settings.node)
        self.router = Router(
            reactor=reactor,
            clock=clock.monotonic,
            metrics=self.metrics,
            node_id=settings.node,
            zone=settings.zone,
            cluster_key=settings.cluster_key,
        )
        self.store = StoreClient(reactor=reactor, base_url=settings.store_url)
        self.ports = []
        self._ticker = task.LoopingCall(self.router.tick)
        self._ticker.clock = reactor
        self.metrics.gauge("requests_in_flight", lambda: len(self.router.relays))
        self.metrics.gauge(
            "configuration_version", lambda: self.router.configuration.version
        )

    @defer.inlineCallbacks
    def start(self):
        """Reads configuration and ownership, then listens.

        :raises UserError: if an address cannot be listened on.
        """
        yield self.load()
        self._ticker.start(TICK_S, now=False)
        self._listen(
            self.settings.caller_listen, CallerFactory(router=self.router), "callers"
        )
        self._listen(
            self.settings.forward_listen, PeerFactory(router=self.router), "forward"
        )
        site = server.Site(_MetricsResource(self.metrics))
        site.noisy = False
        self._listen(self.settings.metrics_listen, site, "metrics")
        log.info("node: %s is ready", self.settings.node)

    @defer.inlineCallbacks
    def load(self):
        """Reads configuration and ownership from the store."""
        stored = yield self.store.get("config")
        if stored.value is not None:
            problems = []
            configuration = Configuration.from_json(
                json.loads(stored.value), problems, version=stored.revision
            )
            self.router.apply_configuration(configuration)
        _, entries = yield self.store.list("ownership/")
        for entry in entries:
            self.router.table.apply(OwnershipDocument.decode(entry.value))

    @defer.inlineCallbacks
    def stop(self):
        """Closes every port and connection at once."""
        if self._ticker.running:
            self._ticker.stop()
        for port in self.ports:
            yield port.stopListening()
        for pool in self.router.pools_by_server.values():
            pool.close()
        yield self.store.close()

    def _listen(self, address, factory, name):
        host, port = split_address(address)
        try:
            listening = self.reactor.listenTCP(port, factory, interface=host)
        except OSError as error:
            raise UserError(f"cannot listen on {address}: {error}") from error
        self.ports.append(listening)
        log.info("node: %s on %s", name, address)
