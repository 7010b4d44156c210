"""The entry VM's process: creates its components, starts and stops them."""

from __future__ import annotations

import logging
import math
import os

from twisted.internet import defer, task

from briarspoke.entry import crashes, gauges, logs, relays, status
from briarspoke.entry.arrival import OwnLink
from briarspoke.entry.callers import CallerFactory
from briarspoke.entry.coldness import Coldness
from briarspoke.entry.control import Control
from briarspoke.entry.crashes import Crashes
from briarspoke.entry.discovery import ServerDiscovery
from briarspoke.entry.dispatch import Dispatcher
from briarspoke.entry.division import INTERVAL_S, Division
from briarspoke.entry.evacuations import Evacuations
from briarspoke.entry.fingerprints import Fingerprints
from briarspoke.entry.heldbytes import (
    ANSWERS_SHARE,
    OUTPUT_SHARE,
    REQUESTS_SHARE,
    HeldBytes,
)
from briarspoke.entry.httpclient import HttpClient
from briarspoke.entry.notices import Notices
from briarspoke.entry.ratelimits import RateLimits
from briarspoke.entry.registry import NodeRegistry
from briarspoke.entry.relays import HEARTBEAT_INTERVAL_S, Relay, RelayFollower
from briarspoke.entry.reports import REPORT_INTERVAL_S, Datagrams
from briarspoke.entry.requestlog import RequestLog
from briarspoke.entry.routes import DEFAULT_LIMITS
from briarspoke.entry.timeofday import TimeOfDay
from briarspoke.entry.timers import Timers
from briarspoke.entry.view import StoreView
from briarspoke.errors import BriarspokeError
from briarspoke.keyspace import keymap
from briarspoke.keyspace.deputies import KnownMaps
from briarspoke.keyspace.load import KeyLoad
from briarspoke.metrics import Metrics
from briarspoke.platform import documents, headers
from briarspoke.platform.keyvalue import KeyValueClient

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
CONNECTION_CHECK_INTERVAL_S = 0.5
# The load balancer removes a VM after two failed readiness checks, one per second.
BALANCER_REMOVAL_S = 2.2
# Pending requests get a final answer this long before the grace time ends.
STOP_MARGIN_S = 0.6
# Time to send these final answers before the process ends.
FLUSH_S = 0.3
LISTEN_BACKLOG = 512


class EntryNode:
    """Holds the components of an entry VM and the state that they share.

    :param reactor: the Twisted reactor.
    :param settings: :class:`briarspoke.entry.settings.EntrySettings`.
    :param clock: function that returns monotonic seconds.
    """

    # Time after which a caller may retry, for refusals due to load and for those due to
    # an unavailable server or service.
    RETRY_AFTER_LOAD_S = 0.25
    RETRY_AFTER_UNAVAILABLE_S = 0.4

    def __init__(self, *, reactor, settings, clock):
        self.reactor = reactor
        self.settings = settings
        self.now = clock
        self.metrics = Metrics(node_id=settings.node)
        self.link = OwnLink(mbps=settings.link_mbps, clock=clock)
        self.timers = Timers(reactor=reactor, clock=clock)
        # Open connections of callers.
        self.callers = set()
        memory_bytes = settings.memory_mb << 20
        self.held_answers = HeldBytes(limit_bytes=int(ANSWERS_SHARE * memory_bytes))
        self.held_output = HeldBytes(limit_bytes=int(OUTPUT_SHARE * memory_bytes))
        self.held_requests = HeldBytes(limit_bytes=int(REQUESTS_SHARE * memory_bytes))
        self.routing_table = None
        # Monotonic time at which the configuration came into force.
        self.configuration_since = None
        self.stopping = False
        # Times from which on no further request is read from kept connections, and by
        # which all requests are answered, because the process stops.
        self.reading_ends_at = math.inf
        self.answers_due_at = math.inf
        self.key_maps = keymap.KeyMaps()
        self.key_load = KeyLoad()
        # Random name of this process, new with each start.
        self.process = os.urandom(6).hex()
        self._dispatchers_by_service = {}
        self.request_log = RequestLog(node=self)
        self._ports = []
        self._loops = []
        store = self.http_client(
            settings.store.host, settings.store.port, keep_late=True
        )
        self.store = KeyValueClient(
            http=store, count=self._count_store_call, clock=clock
        )
        self.view = StoreView(client=self.store, sleep=self.sleep, clock=clock)
        self.registry = NodeRegistry(node=self)
        self.known_maps = KnownMaps(
            node=settings.node, process=self.process, highest_fence=self._highest_fence
        )
        self.store.era_observers.append(self._era_rose)
        self.control = Control(node=self)
        self.relay = Relay(view=self.view, record_write=self.link.record_write)
        self.view.is_relay = lambda: bool(self.relay.links) or self.registry.is_relay()
        self.relay_follower = RelayFollower(node=self)
        self.view.find_relay = self.relay_follower.wait_for_first_view
        self.rate_limits = RateLimits(node=self)
        self.coldness = Coldness(node=self)
        self.notices = Notices(node=self)
        self.evacuations = Evacuations(node=self)
        self.evacuations.on_ended.append(self.coldness.zone_returned)
        self.fingerprints = Fingerprints(node=self)
        self.crashes = Crashes(node=self)
        self.crashes.settings_changed()
        self.fingerprints.on_key_changed = self.crashes.key_changed
        self.division = Division(node=self)
        self.datagrams = Datagrams(
            on_load=self.control.add_load,
            on_owners=self._owners_announced,
            on_allowances=self._allowances_announced,
            on_suspect=self.crashes.reported,
            on_leaving=self.notices.peer_leaving,
            on_shares=self.division.shares_received,
            on_demand=self.division.demand_reported,
            on_map_notice=self._map_notice_received,
            on_map_receipt=self.control.map_receipt_received,
            rate_limits=self.rate_limits,
        )
        self.view.observe(documents.CONFIGURATION_KEY, self._configuration_changed)
        self._discovery = ServerDiscovery(node=self)
        self.view.observe(keymap.KEY_MAP_PREFIX, self._key_map_changed)
        self.loop_lag = gauges.LoopLag(period_s=TICK_INTERVAL_S)
        self.time_of_day = TimeOfDay(clock=clock)
        gauges.register(self, self.loop_lag)

    def sleep(self, seconds):
        """Returns a Deferred that fires after a number of seconds."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    def spawn(self, coroutine):
        """Runs a coroutine in the background and logs an unexpected error."""
        deferred = defer.ensureDeferred(coroutine)
        deferred.addErrback(
            lambda failure: log.error(
                "entry: a task failed error=%r",
                str(failure.value),
                exc_info=(failure.type, failure.value, failure.getTracebackObject()),
            )
        )
        return deferred

    def http_client(self, host, port, *, keep_late=False):
        """Returns an HTTP client for calls to the store or to a server.

        :param keep_late: whether a connection that opens after its call has ended is
            kept for the next call.
        """
        return HttpClient(
            reactor=self.reactor,
            clock=self.now,
            host=host,
            port=port,
            held_answers=self.held_answers,
            keep_late=keep_late,
        )

    def _count_store_call(self, kind, outcome, seconds):
        self.metrics.count("store_calls_total", kind)
        self.metrics.observe("store_seconds", kind, seconds)
        if outcome != "200":
            self.metrics.count("store_failures_total", kind)

    @property
    def configuration_version(self):
        """Version of the configuration in force, or 0 if none is known."""
        return 0 if self.routing_table is None else self.routing_table.version

    @property
    def limits(self):
        """Limits for callers; defaults apply until a configuration is in force."""
        return (
            DEFAULT_LIMITS if self.routing_table is None else self.routing_table.limits
        )

    @property
    def node_count(self):
        """Number of entry VMs that share the servers and the retry budget."""
        return self.registry.count

    @property
    def zone_nodes(self):
        """Names of the entry VMs in this VM's availability zone, as a tuple."""
        return self.registry.zone_nodes

    def dispatcher(self, service):
        """Returns the :class:`Dispatcher` of a service, creating it if needed."""
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is None:
            dispatcher = Dispatcher(node=self, name=service)
            self._dispatchers_by_service[service] = dispatcher
        return dispatcher

    def knows_service(self, service):
        """Returns whether a configuration has named a service since the start."""
        return service in self._dispatchers_by_service or (
            self.routing_table is not None and service in self.routing_table.services
        )

    def _dispatch_waiting(self, service):
        # Messages of others do not create a dispatcher.
        if service in self._dispatchers_by_service:
            self._dispatchers_by_service[service].dispatch_waiting()

    def dispatchers(self):
        """Returns the :class:`Dispatcher` of each service that is known."""
        return list(self._dispatchers_by_service.values())

    def all_records(self):
        """Yields the :class:`ServerRecord` of every known server."""
        for dispatcher in self._dispatchers_by_service.values():
            for server in dispatcher.servers.values():
                yield server.record

    def _configuration_changed(self, key, item):
        if item is None:
            return
        try:
            table = documents.decode_configuration(item.value)
        except BriarspokeError as error:
            log.error(
                "configuration: kept, the new one cannot be used error=%r", str(error)
            )
            return
        if (
            self.routing_table is not None
            and table.version <= self.routing_table.version
        ):
            return
        old = self.configuration_version
        self.routing_table = table
        self.configuration_since = self.now()
        missed_ms = (self.now() - self.view.changes_since) * 1e3
        log.info(
            "configuration: in force version=%d before=%d missed_ms=%s",
            table.version,
            old,
            round(missed_ms) if math.isfinite(missed_ms) else "-",
        )
        self._discovery.configuration_changed()
        for service in table.services:
            self.dispatcher(service).dispatch_waiting()

    def server_replaced(self, record, answering_id):
        """Called when an answer from a server's address has another server's id.

        :param record: the :class:`ServerRecord` of the server that was expected.
        :param answering_id: identifier in the answer in bytes, or None.
        """
        log.info(
            "servers: replaced id=%s service=%s found=%s",
            record.server_id,
            record.service,
            logs.field(answering_id.decode("latin-1")) if answering_id else "-",
        )
        self.wake_control()

    def _key_map_changed(self, key, item):
        service = key.removeprefix(keymap.KEY_MAP_PREFIX)
        if item is None:
            # Only a copy of the store lacks a map. Its owners still hold their keys.
            return
        try:
            self.key_maps.put(service, keymap.decode(item.value))
        except keymap.KeyMapError as error:
            log.error("keys: map not usable service=%s error=%r", service, str(error))
            return
        self._dispatch_waiting(service)

    def announce_owners(self, service, changes):
        """Announces new owners of key ranges to all entry VMs, including this one.

        :param changes: [(first, last, :class:`Owner`)].
        """
        self.datagrams.send_owners(service, changes, self.registry.addresses())
        self._owners_announced(service, changes)

    def _owners_announced(self, service, changes):
        if self.key_maps.announce(service, changes, self.now()):
            self._dispatch_waiting(service)

    def announce_allowances(self, service, admission):
        """Tells all entry VMs which fractions of the requests for keys to admit.

        :param admission: the :class:`briarspoke.keyspace.allowance.Admission`.
        """
        addresses = self.registry.addresses()
        self.datagrams.send_allowances(service, admission, addresses)
        self._allowances_announced(service, admission)

    def _allowances_announced(self, service, admission):
        if self.knows_service(service):
            self.dispatcher(service).gates.update(admission, self.now())

    def _highest_fence(self, service):
        key_map = self.key_maps.by_service.get(service)
        return None if key_map is None else key_map.highest_fence

    def _era_rose(self):
        self.known_maps.era_rose(self.store.era, self.now())

    def _map_notice_received(self, notice, address):
        receipt = self.known_maps.receive(
            notice,
            self.now(),
            era=self.store.era,
            may_extend=self.registry.is_registered
            and not self.stopping
            and not self.view.may_lack_changes(),
        )
        if receipt is not None:
            self.datagrams.send_map_receipt(receipt, address)

    async def write_key_map(self, service, key_map, term):
        """Writes a key map, provided that this VM is still the controller.

        :param term: the :class:`briarspoke.keyspace.leadership.Term` of this VM.
        :raises ConditionFailedError: if another VM has written the control key or the
            map has changed.
        """
        await self.control.write_key_map(service, key_map, term)

    def load_estimate(self, service):
        """Returns the controller's :class:`LoadEstimate` of a service."""
        return self.control.load_estimate(service)

    def wake_control(self):
        """Makes the controller, if it is this process, handle recent changes soon."""
        self.control.wake()

    def start(self):
        """Opens the ports and starts to watch the store."""
        settings = self.settings
        log.info(
            "entry: starts node=%s zone=%s process=%s store=%s",
            settings.node,
            settings.zone,
            self.process,
            settings.store,
        )
        self._listen(CallerFactory(self), settings.caller_listen)
        self._listen(
            status.site(headers.READY_PATH, self._ready_page), settings.ready_listen
        )
        metrics_site = status.site(b"/metrics", lambda: (200, self.metrics.render()))
        self._ports.append(
            self.reactor.listenTCP(
                settings.metrics_port, metrics_site, interface=settings.ip
            )
        )
        self._ports.append(
            self.reactor.listenUDP(
                settings.internal_port, self.datagrams, interface=settings.ip
            )
        )
        self._ports.append(
            self.reactor.listenTCP(
                settings.internal_port, self.relay, interface=settings.ip
            )
        )
        self._loop(self._tick, TICK_INTERVAL_S)
        self._loop(self._send_heartbeat, HEARTBEAT_INTERVAL_S)
        self._loop(self.relay_follower.check, relays.CHECK_INTERVAL_S)
        self._loop(self._check_connections, CONNECTION_CHECK_INTERVAL_S)
        self._loop(self._report_load, REPORT_INTERVAL_S)
        self._loop(self.division.tick, INTERVAL_S)
        self._loop(self._check_crashes, crashes.CHECK_INTERVAL_S)
        self.spawn(self.view.run())
        self.spawn(self.registry.run())
        self.control.start()

    @property
    def reading_ended(self):
        """Whether the process stops and reads nothing new from kept connections."""
        return self.now() >= self.reading_ends_at

    def may_outlast_stop(self, request):
        """Returns whether the time limit of a request ends after the process.

        :param request: the :class:`briarspoke.entry.request.Request`.
        """
        if self.routing_table is None:
            return False
        route = self.routing_table.find(request.host, request.path)
        return route is not None and request.expires_at(route) > self.answers_due_at

    def _listen(self, factory, address):
        self._ports.append(
            self.reactor.listenTCP(
                address.port, factory, backlog=LISTEN_BACKLOG, interface=address.host
            )
        )

    def _loop(self, function, period_s):
        loop = task.LoopingCall(self._call_logged, function)
        loop.clock = self.reactor
        loop.start(period_s, now=False)
        self._loops.append(loop)

    def _call_logged(self, function):
        # A LoopingCall ends for good when its function raises.
        try:
            function()
        except Exception:
            log.exception("entry: a periodic task failed")
            self.metrics.count("internal_errors_total", "periodic-task")

    def _ready_page(self):
        is_ready = self.routing_table is not None and not self.stopping
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _tick(self):
        now = self.now()
        self.loop_lag.record_call(now)
        self.time_of_day.check()
        self._discovery.tick(now)
        self.key_maps.expire(now)
        if self.routing_table is None:
            return
        self.coldness.tick(now)
        self.rate_limits.tick(now)
        self.evacuations.tick(now)
        for dispatcher in self._dispatchers_by_service.values():
            dispatcher.tick(now)

    def _send_heartbeat(self):
        if self.view.reachable and not self.view.uses_relay:
            self.relay.send_heartbeat()

    def _check_connections(self):
        now = self.now()
        limits = self.limits
        for connection in list(self.callers):
            connection.check_timeouts(now, limits)

    def _report_load(self):
        counts_by_service = self.key_load.take()
        if self.control.is_leader:
            for service, counts in counts_by_service.items():
                self.control.add_load(service, counts)
            return
        controller = self.control.controller()
        if controller is None:
            return
        for service, counts in counts_by_service.items():
            self.datagrams.send_load(
                service, counts, (controller.host, controller.port)
            )

    def _check_crashes(self):
        self.fingerprints.check()
        self.crashes.check()

    def settings_changed(self):
        """Passes changed settings to the components that keep a copy of them."""
        self.crashes.settings_changed()
        for dispatcher in self._dispatchers_by_service.values():
            dispatcher.budget.set_limits(
                ratio=self.settings.retry_ratio, slack=self.settings.retry_slack
            )

    async def stop(self):
        """Shuts down: resigns as controller, deregisters, waits for pending requests.

        Callers are still accepted until the load balancer has removed this VM. Until
        then, requests that are not likely to end within the grace time are refused, and
        those that do not end get a final answer. After that, nothing more is read from
        kept connections; of what still comes, only requests whose time limit ends
        within the grace time are sent to servers.
        """
        if self.stopping:
            return
        self.stopping = True
        now = self.now()
        grace_s = self.settings.grace_s
        self.reading_ends_at = now + min(BALANCER_REMOVAL_S, grace_s / 2)
        self.answers_due_at = now + grace_s - STOP_MARGIN_S
        log.info("entry: stops open_connections=%d", len(self.callers))
        self.spawn(self.control.stop())
        self.spawn(self.registry.leave())
        await self.sleep(self.reading_ends_at - now)
        while True:
            for connection in list(self.callers):
                connection.stop_reading()
            if not self.callers or self.now() >= self.answers_due_at:
                break
            await self.sleep(TICK_INTERVAL_S)
        unfinished = list(self.callers)
        for connection in unfinished:
            connection.finish_requests()
        if unfinished:
            await self.sleep(FLUSH_S)
        for connection in list(self.callers):
            self._call_logged(connection.hand_over)
        for loop in self._loops:
            loop.stop()
        log.info("entry: stopped open_connections=%d", len(self.callers))
