"""A node process that does nothing but membership, documents and watching.

Run as ``python -m briarspoke.benches.control_node SETTINGS``; with ``--bare`` it
only imports the same modules and waits.
"""

from __future__ import annotations

import logging
import os
import random
import signal
import sys

from twisted.internet import defer, task
from twisted.web import resource, server

from briarspoke import clock, settings
from briarspoke.configuration.snapshot import split_address
from briarspoke.links.hub import LinkHub
from briarspoke.membership.documents import Documents
from briarspoke.membership.members import Member, Members
from briarspoke.metrics import Metrics
from briarspoke.platform.store import StoreClient, StoreConflictError, StoreError
from briarspoke.platform.vms import VmPoller
from briarspoke.platform.watcher import StoreWatcher

log = logging.getLogger(__name__)

CHECK_S = 0.4
LEASE_TTL_S = 1.2
# Members find each other within this time, so that the lease of a zone is tried
# for by one node and not by each at its start.
SETTLE_CHECKS = 5


class ControlNode:
    """Membership, links, watcher and VM list of one entry VM.

    The first usable member of each zone holds the zone's lease and keeps it
    alive, as a zone controller does, so that these calls are measured too.

    :param settings: the :class:`briarspoke.settings.Settings`.
    """

    def __init__(self, *, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.metrics = Metrics(node_id=settings.node)
        self.documents = Documents()
        self.members = Members(
            me=Member(
                node_id=settings.node,
                zone=settings.zone,
                link_address=settings.advertise or settings.peer_listen,
                forward_address=settings.forward_listen,
                instance=os.urandom(8),
            ),
            seeds=settings.peers,
        )
        self.hub = LinkHub(
            reactor=reactor,
            clock=clock.monotonic,
            metrics=self.metrics,
            members=self.members,
            documents=self.documents,
            cluster_key=settings.cluster_key,
            listen=settings.peer_listen,
        )
        self.store = StoreClient(
            reactor=reactor, base_url=settings.store_url, metrics=self.metrics
        )
        rng = random.Random()
        self.watcher = StoreWatcher(
            reactor=reactor, store=self.store, documents=self.documents, rng=rng
        )
        self.vms = VmPoller(
            reactor=reactor,
            store=self.store,
            observer=self.hub.vms_listed,
            is_watcher=lambda: self.watcher.is_active,
            peer_port=split_address(settings.peer_listen)[1],
            rng=rng,
        )
        self._lease = None
        self._checks = 0
        self._checker = task.LoopingCall(self._check)
        self._checker.clock = reactor

    def start(self):
        """Starts everything."""
        self.hub.start()
        self.vms.start()
        self._checker.start(CHECK_S, now=False)
        host, port = split_address(self.settings.metrics_listen)
        site = server.Site(_MetricsResource(self.metrics))
        site.noisy = False
        self.reactor.listenTCP(port, site, interface=host)

    def _check(self):
        self._checks += 1
        if self._checks <= SETTLE_CHECKS:
            return None
        zone = [
            m.node_id for m in self.members.usable() if m.zone == self.settings.zone
        ]
        holder = zone[0] if zone else None
        watched = self.watcher.is_active
        self.watcher.set_active(self.members.watches_store({holder}))
        if self.watcher.is_active and not watched:
            self.vms.poll_now()
        if holder != self.settings.node:
            self._lease = None
            return None
        return self._hold_lease().addErrback(
            lambda failure: log.error("control: the lease failed: %s", failure)
        )

    @defer.inlineCallbacks
    def _hold_lease(self):
        try:
            if self._lease is not None:
                yield self.store.keep_alive(self._lease)
                return
            lease = yield self.store.grant_lease(LEASE_TTL_S)
            yield self.store.put(
                f"controllers/{self.settings.zone}",
                self.settings.node.encode(),
                expected_revision=0,
                lease=lease,
            )
            self._lease = lease
        except StoreConflictError:
            log.info("control: another node holds the lease")
        except StoreError as error:
            self._lease = None
            log.warning("control: %s", error)


class _MetricsResource(resource.Resource):
    isLeaf = True

    def __init__(self, metrics):
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request):
        return self._metrics.render()


def _exit_with_parent(reactor, parent):
    # A killed bench must leave no node processes.
    if os.getppid() != parent and reactor.running:
        reactor.stop()


def main(arguments):
    """Runs a node until SIGTERM."""
    from briarspoke import loop

    reactor = loop.install()
    logging.basicConfig(level=logging.WARNING)
    watch = task.LoopingCall(_exit_with_parent, reactor, os.getppid())
    watch.start(1.0, now=False)
    if arguments != ["--bare"]:
        node = ControlNode(reactor=reactor, settings=settings.load(arguments[0]))
        reactor.callWhenRunning(node.start)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
