"""The process of an entry VM: creates its components and connects them."""

from __future__ import annotations

import logging
import os
import random

from twisted.internet import defer, task
from twisted.web import resource, server

from briarspoke import clock
from briarspoke.configuration.active import ActiveConfiguration
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument
from briarspoke.configuration.snapshot import split_address
from briarspoke.configuration.writer import ConfigurationWriter
from briarspoke.errors import UserError, invariant_observers
from briarspoke.http.admin import AdminApi, AdminSite
from briarspoke.http.callers import CallerFactory
from briarspoke.http.peers import PeerFactory
from briarspoke.http.router import TICK_S, Router
from briarspoke.links.hub import LinkHub
from briarspoke.membership.documents import Documents
from briarspoke.membership.in_force import InForceVersions
from briarspoke.membership.members import Member, Members, Status
from briarspoke.metrics import Metrics
from briarspoke.node_status import RouterStatus, register_gauges
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.ownership.messaging import ControlMessaging
from briarspoke.ownership.runner import OWNERSHIP_PREFIX, RECORD_PREFIX, ControlRunner
from briarspoke.platform.store import StoreClient, StoreConflictError, StoreError
from briarspoke.platform.vms import VmPoller
from briarspoke.platform.watcher import StoreWatcher
from briarspoke.routing.load import LoadReporter
from briarspoke.routing.peers import PeerTable

log = logging.getLogger(__name__)

PERIODIC_TASKS_INTERVAL_S = 0.25
# At an idle node, 100 wake-ups a second would cause most of the CPU usage. This is
# also the longest delay in detecting the deadline of a request that arrives between
# two ticks.
IDLE_TICK_S = 0.05
# Reachable peers answer much sooner. After the timeout the store is read again.
PEER_SYNC_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.25
USABLE_STATUSES = (Status.ALIVE, Status.SUSPECT)
INCARNATION_PREFIX = "nodes/"


class _MetricsResource(resource.Resource):
    isLeaf = True

    def __init__(self, metrics):
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request):
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
        return self._metrics.render()


class Node:
    """Runs an entry VM: its ports, its links to other entry VMs and its controllers.

    :param settings: the :class:`briarspoke.settings.Settings`.
    """

    def __init__(self, *, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.ports_by_name = {}
        self.vm_list = []
        self.ready = False
        self._stopping = False
        self._rng = random.Random()
        self.metrics = Metrics(node_id=settings.node)
        invariant_observers.append(self._count_invariant_failure)
        self.router = Router(
            reactor=reactor,
            clock=clock.monotonic,
            metrics=self.metrics,
            node_id=settings.node,
            zone=settings.zone,
            cluster_key=settings.cluster_key,
        )
        self.store = StoreClient(
            reactor=reactor, base_url=settings.store_url, metrics=self.metrics
        )
        self.links = None
        self.documents = Documents()
        self.active_configuration = ActiveConfiguration()
        self.active_configuration.observe(self._configuration_in_force)
        self.writer = ConfigurationWriter(
            store=self.store,
            active_configuration=self.active_configuration,
            clock=clock.monotonic,
            sleep=lambda seconds: task.deferLater(reactor, seconds, lambda: None),
        )
        self._timers = []
        self._router_timer = None

    @defer.inlineCallbacks
    def start(self):
        """Opens the ports, links to the other entry VMs and loads the documents.

        :returns: a Deferred that fires when the node is ready or has been stopped.
        :raises UserError: if the process cannot listen on an address.
        """
        self._listen("forward", self.settings.forward_listen, self._forward_factory())
        self._join()
        self._listen("metrics", self.settings.metrics_listen, self._metrics_site())
        self._listen("admin", self.settings.admin_listen, self._admin_site())
        self._listen(
            "callers", self.settings.caller_listen, CallerFactory(router=self.router)
        )
        self._router_timer = self.reactor.callLater(TICK_S, self._tick_router)
        self._call_every(PERIODIC_TASKS_INTERVAL_S, self._run_periodic_tasks)
        self._call_every(LoadReporter.INTERVAL_S, self._report_load)
        self.control.start()
        self.vms.start()
        self._obtain_incarnation().addErrback(
            self._log_failure, "obtaining an incarnation"
        )
        yield self._load_documents()
        if self._stopping:
            return
        self.ready = True
        self.reactor.callLater(0, self.watcher.set_active, self._should_watch_store())
        log.info("node: %s is ready", self.settings.node)

    def _join(self):
        settings = self.settings
        forward_host, _ = split_address(settings.forward_listen)
        forward_port = self.ports_by_name["forward"].getHost().port
        instance = os.urandom(8)
        own_member = Member(
            node_id=settings.node,
            zone=settings.zone,
            link_address=settings.advertise or settings.peer_listen,
            forward_address=f"{forward_host}:{forward_port}",
            instance=instance,
        )
        self.members = Members(me=own_member, seeds=settings.peers)
        self.peers = PeerTable(members=self.members)
        self.links = LinkHub(
            reactor=self.reactor,
            clock=clock.monotonic,
            metrics=self.metrics,
            members=self.members,
            documents=self.documents,
            cluster_key=settings.cluster_key,
            listen=settings.peer_listen,
        )
        self.watcher = StoreWatcher(
            reactor=self.reactor,
            store=self.store,
            documents=self.documents,
            rng=self._rng,
            version_of=document_version,
        )
        self.vms = VmPoller(
            reactor=self.reactor,
            store=self.store,
            observer=self._vms_listed,
            is_watcher=lambda: self.watcher.is_active,
            peer_port=split_address(settings.peer_listen)[1],
            rng=self._rng,
        )
        messaging = ControlMessaging(links=self.links)
        self.control = ControlRunner(
            reactor=self.reactor,
            clock=clock.monotonic,
            node_id=settings.node,
            zone=settings.zone,
            store=self.store,
            publish=self._publish,
            links=messaging,
            members=lambda: {m.node_id: m.zone for m in self.members.usable()},
            vms=lambda: self.vm_list,
            # 48 bits fit into every encoding of the number.
            instance=int.from_bytes(instance[:6], "big"),
            reachable_zones=lambda: self.members.reachable_zones(clock.monotonic()),
            needs_routing_lease=self.router.is_gateway_of_unfenced_servers,
            count_grant_bytes=lambda direction, count: self.metrics.count(
                "grant_bytes_total", direction, count
            ),
        )
        messaging.connect(self.control)
        self.router.owner_checks.routing_leases = self.control.routing_leases
        self.router.owner_checks.on_server_report = self.control.server_reported
        self.load_reporter = LoadReporter(
            load=self.router.load, links=self.links, control=self.control
        )
        self.in_force = InForceVersions(
            links=self.links,
            node_id=settings.node,
            version=lambda: self.active_configuration.document.version,
        )
        self.links.observe_members(self._member_changed)
        self.documents.observe(STORE_KEY, self._configuration_received)
        self.documents.observe(OWNERSHIP_PREFIX, self._ownership_received)
        self.documents.observe(RECORD_PREFIX, self._lease_record_received)
        self.links.start()

    @defer.inlineCallbacks
    def _load_documents(self):
        """Loads configuration and ownership from the store, or else from peers.

        Retries until one of them has delivered a configuration.
        """
        loaded = False
        while not loaded and not self._stopping:
            loaded = yield self._load_from_store()
            if not loaded:
                yield self.links.when_synced(PEER_SYNC_TIMEOUT_S)
                # Peers that also started without the store have no configuration.
                loaded = self.active_configuration.document.version > 0
            if not loaded:
                yield task.deferLater(self.reactor, RETRY_DELAY_S, lambda: None)

    @defer.inlineCallbacks
    def _load_from_store(self):
        try:
            for prefix in (STORE_KEY, OWNERSHIP_PREFIX, RECORD_PREFIX):
                revision, entries = yield self.store.list(prefix)
                self.watcher.offer_listing(prefix, revision, entries)
        except StoreError as error:
            log.warning("node: cannot read the store, asking peers: %s", error)
            return False
        return True

    @defer.inlineCallbacks
    def _obtain_incarnation(self):
        """Obtains an incarnation above that of every earlier process of this node.

        The ports are bound first, so an earlier process on this VM has already ended.
        """
        key = INCARNATION_PREFIX + self.settings.node
        while not self._stopping:
            try:
                stored = yield self.store.get(key)
                revision = yield self.store.put(
                    key, b"", expected_revision=stored.revision
                )
            except StoreConflictError:
                continue
            except StoreError:
                yield task.deferLater(self.reactor, RETRY_DELAY_S, lambda: None)
                continue
            self.control.set_incarnation(revision)
            return

    def _publish(self, key, version, content):
        self.documents.offer(key, version, content)

    def _configuration_received(self, document):
        if document.key != STORE_KEY or not document.content:
            return
        self.active_configuration.apply(ConfigurationDocument.decode(document.content))

    def _configuration_in_force(self, active_configuration):
        document = active_configuration.document
        # A version received over a link or from the store is in the documents already.
        if document.version > self.documents.version(STORE_KEY):
            self._publish(STORE_KEY, document.version, document.encode())
        configuration = document.configuration()
        self.router.apply_configuration(configuration)
        self.control.configuration_changed(configuration)
        self.in_force.notify_changed()

    def _ownership_received(self, document):
        if document.content:
            ownership = OwnershipDocument.decode(document.content)
            self.router.apply_ownership(ownership)
            self.control.document_changed(
                document.key, document.version, document.content
            )

    def _lease_record_received(self, document):
        self.control.document_changed(document.key, document.version, document.content)

    def _run_periodic_tasks(self):
        self.router.peers_by_id = self.peers.current()
        self.watcher.set_active(self._should_watch_store())
        self._report_reachable_terminated_vms()

    def _report_reachable_terminated_vms(self):
        """Tells the controllers which VMs listed as terminated are still reachable.

        The controllers need regular updates of the last contact only for these VMs.
        For other members it is reported when they stop being usable: reporting 440
        nodes four times a second for each zone would take several percent of a core.
        """
        for member in self.members.by_id.values():
            if member.terminated and member.usable:
                self.control.node_reachable(member.node_id)

    def _member_changed(self, member, previous_status):
        if (
            member is not self.members.me
            and previous_status in USABLE_STATUSES
            and not member.usable
        ):
            self.control.node_reachable(member.node_id)

    def _should_watch_store(self):
        # The controller of a zone is the first to receive changes in its zone and
        # passes them on.
        controllers = {
            controller
            for zone in self.active_configuration.document.configuration().zones_by_name
            if (controller := self.control.holder_of(zone)) is not None
        }
        return self.control.needs_watch() or self.members.watches_store(controllers)

    def _report_load(self):
        self.load_reporter.report()

    def _vms_listed(self, entry_vms, entries):
        self.links.vms_listed(entry_vms)
        # Reported before the controllers read the list, because a VM listed as
        # terminated may have been reachable until now.
        self._report_reachable_terminated_vms()
        self.vm_list = entries

    def _tick_router(self):
        self._call_and_log_errors(self.router.tick)
        delay_s = TICK_S if self.router.proxied_requests else IDLE_TICK_S
        self._router_timer = self.reactor.callLater(delay_s, self._tick_router)

    def _call_every(self, interval_s, function):
        timer = task.LoopingCall(self._call_and_log_errors, function)
        timer.clock = self.reactor
        timer.start(interval_s, now=False)
        self._timers.append(timer)

    def _call_and_log_errors(self, function):
        # An error in one call must not prevent all later calls.
        try:
            function()
        except Exception:
            log.exception("node: %s failed", function.__name__)

    def _count_invariant_failure(self, code):
        self.metrics.count("invariants_total", code.number)

    def _log_failure(self, failure, action):
        log.error("node: %s failed: %s", action, failure.value)

    def _forward_factory(self):
        return PeerFactory(router=self.router)

    def _metrics_site(self):
        register_gauges(self)
        self.metrics.gauge(
            "requests_in_flight", lambda: len(self.router.proxied_requests)
        )
        self.metrics.gauge(
            "configuration_version", lambda: self.active_configuration.document.version
        )
        return _make_site(_MetricsResource(self.metrics))

    def _admin_site(self):
        status = RouterStatus(node=self)
        api = AdminApi(
            reactor=self.reactor,
            operators=self.settings.operators,
            writer=self.writer,
            active_configuration=self.active_configuration,
            status=status,
            count_error=lambda number: self.metrics.count("refusals_total", number),
        )
        return AdminSite(api)

    def _listen(self, name, address, factory):
        host, port = split_address(address)
        try:
            listening = self.reactor.listenTCP(
                port, factory, interface=host, backlog=1024
            )
        except Exception as error:
            raise UserError(f"cannot listen on {address}: {error}") from error
        self.ports_by_name[name] = listening
        log.info("node: %s on %s:%d", name, host, listening.getHost().port)

    def port(self, name):
        """Returns the port number of a listening port, such as ``callers``."""
        return self.ports_by_name[name].getHost().port

    @defer.inlineCallbacks
    def shutdown(self):
        """Drains the requests in flight for up to ``shutdown_s``, then stops.

        The node keeps its zone leases while requests drain, so that the servers'
        grants are renewed without a gap, and resigns them before the links close.

        :returns: a Deferred of the number of interrupted requests.
        """
        self.ready = False
        if self.links is not None:
            self.links.leave()
        try:
            yield self._stop_accepting()
            interrupted_count = yield self.router.drain(self.settings.shutdown_s)
            log.info(
                "node: %d requests were interrupted by the shutdown", interrupted_count
            )
        finally:
            # Without a resignation, a zone has no controller until the lease expires.
            yield self.stop()
        return interrupted_count

    @defer.inlineCallbacks
    def _stop_accepting(self):
        for name in ("callers", "forward"):
            port = self.ports_by_name.pop(name, None)
            if port is not None:
                yield port.stopListening()

    @defer.inlineCallbacks
    def stop(self):
        """Resigns the leases, then closes every port and connection."""
        if self._stopping:
            return
        self._stopping = True
        invariant_observers.remove(self._count_invariant_failure)
        for timer in self._timers:
            if timer.running:
                timer.stop()
        if self._router_timer is not None:
            self._router_timer.cancel()
        # There are no links if start() failed before joining the other entry VMs.
        if self.links is not None:
            self.watcher.set_active(False)
            self.vms.stop()
            yield self.control.stop()
            yield self.links.stop()
        for port in self.ports_by_name.values():
            yield port.stopListening()
        yield self.store.close()


def document_version(key, revision, content):
    """Returns the version of a document read from the store.

    Configuration and ownership documents contain their version, so that all nodes
    agree on it. The version of a lease record is its store revision.

    :returns: the version, or None if the document is malformed or has no content.
    """
    if not key.startswith((STORE_KEY, OWNERSHIP_PREFIX)):
        return revision
    if not content:
        return None
    decode = ConfigurationDocument.decode
    if key.startswith(OWNERSHIP_PREFIX):
        decode = OwnershipDocument.decode
    try:
        return decode(content).version
    except ValueError as error:
        log.error("node: %s in the store is malformed: %s", key, error)
        return None


def _make_site(root):
    site = server.Site(root)
    site.noisy = False
    site.displayTracebacks = False
    return site
