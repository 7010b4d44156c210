"""Runs one node's candidates and controllers of all zones."""

from __future__ import annotations

import logging

from twisted.internet import defer, task

from briarspoke.ownership import candidate as lease
from briarspoke.ownership import commands, events
from briarspoke.ownership.candidate import Candidate, StoreOutcome
from briarspoke.ownership.controller import ZoneController
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.ownership.routing_leases import RoutingLeaseHolder
from briarspoke.ownership.servers import ServerControlClient
from briarspoke.ownership.timing import LEASE_S
from briarspoke.platform.store import (
    LeaseExpiredError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

log = logging.getLogger(__name__)

TICK_S = 0.05
# A larger delay between two iterations of the event loop counts as a pause.
PAUSE_S = 0.2
MEMBERS_EVERY_S = 0.25
OWNERSHIP_PREFIX = "ownership/"
RECORD_PREFIX = "controllers/"


class _Zone:
    """This node's candidate and controller for one zone."""

    __slots__ = ("candidate", "controller")

    def __init__(self, *, candidate, controller):
        self.candidate = candidate
        self.controller = controller


class ControlRunner:
    """Executes the commands of candidates and controllers and passes them events.

    :param clock: function that returns monotonic seconds.
    :param zone: zone of this node.
    :param store: a :class:`StoreClient`.
    :param publish: function of (key, version, content) for every document that
        the store has accepted; the content of a deleted record is empty.
    :param links: has ``send(node_id, message)`` and ``broadcast(message)``; the
        messages are :class:`commands.Resign`, :class:`commands.AskTerm`,
        :class:`commands.RequestRoutingLease` and
        :class:`commands.GrantRoutingLease`.
    :param members: function that returns ``{node_id: zone}`` of live entry VMs.
    :param vms: function that returns the VM list as last received.
    :param instance: random number of this process.
    :param reachable_zones: function that returns the zones whose entry VMs have
        just sent messages; partitions are moved to another zone only if no server
        elsewhere can take them. By default, the zones of the members.
    :param needs_routing_lease: function of a zone that returns whether this node
        sends requests to unfenced servers in it.
    :param count_grant_bytes: function of (``sent`` or ``received``, number of
        bytes), called for the control calls to servers.
    """

    def __init__(
        self,
        *,
        reactor,
        clock,
        node_id,
        zone,
        store,
        publish,
        links,
        members,
        vms,
        instance,
        reachable_zones=None,
        needs_routing_lease=lambda zone: True,
        count_grant_bytes=lambda direction, count: None,
    ):
        self.reactor = reactor
        self.clock = clock
        self.node_id = node_id
        self.zone = zone
        self.store = store
        self.publish = publish
        self.links = links
        self.members = members
        self.vms = vms
        self.reachable_zones = reachable_zones or (lambda: self._members.values())
        self.needs_routing_lease = needs_routing_lease
        self.incarnation = 0
        self.running = False
        self.routing_leases = RoutingLeaseHolder(node_id=node_id, incarnation=instance)
        self._configuration = None
        self._zones = {}
        self._version_by_key = {}
        self._zones_alive = frozenset()
        self._next_members_read_at = 0.0
        self._members = {}
        self._last_run_at = None
        self._control_client = ServerControlClient(
            reactor=reactor,
            settled=self._server_settled,
            count_bytes=count_grant_bytes,
        )
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor

    def start(self):
        """Starts competing for the leases of all zones."""
        self.running = True
        self._ticker.start(TICK_S, now=False)

    def set_incarnation(self, incarnation):
        """Sets this process's incarnation, without which it takes no lease.

        :param incarnation: higher than that of any earlier process of the node.
        """
        self.incarnation = incarnation
        for zone in self._zones.values():
            zone.controller.incarnation = incarnation

    def needs_watch(self):
        """Returns whether a candidate here needs to see the lease records."""
        return any(zone.candidate.needs_watch for zone in self._zones.values())

    def stop(self):
        """Releases every lease and stops.

        :returns: a Deferred that fires after the attempts to revoke the leases.
        """
        if not self.running:
            return defer.succeed(None)
        now = self.clock()
        revoked = []
        for zone_name, zone in self._zones.items():
            for command in self._run(zone_name, zone.candidate.give_up(now)):
                if command is not None:
                    revoked.append(command)
        self.running = False
        if self._ticker.running:
            self._ticker.stop()
        done = defer.DeferredList(revoked, consumeErrors=True)
        done.addCallback(lambda _: self._control_client.close())
        return done

    def configuration_changed(self, configuration):
        """Applies a configuration that has come into force."""
        self._configuration = configuration
        for zone_name in configuration.zones_by_name:
            if zone_name not in self._zones:
                self._zones[zone_name] = _Zone(
                    candidate=Candidate(
                        zone=zone_name,
                        node_id=self.node_id,
                        node_zone=self.zone,
                        nonce_prefix=f"{self.routing_leases.incarnation:x}-",
                    ),
                    controller=ZoneController(
                        zone=zone_name,
                        node_id=self.node_id,
                        incarnation=self.incarnation,
                    ),
                )
                self._decide(zone_name, events.ZonesAlive(zones=self._zones_alive))
        self._decide_all(events.ConfigurationChanged(configuration=configuration))

    def document_changed(self, key, version, content):
        """Handles a document that was read from the store or sent by another node.

        :param key: store key of the document.
        :param content: encoded document, empty if it was deleted.
        """
        if version <= self._version_by_key.get(key, 0):
            return
        self._version_by_key[key] = version
        if key.startswith(OWNERSHIP_PREFIX):
            service = key.removeprefix(OWNERSHIP_PREFIX)
            self._decide_all(events.VersionSeen(service=service, version=version))
        elif key.startswith(RECORD_PREFIX):
            zone = self._zones.get(key.removeprefix(RECORD_PREFIX))
            if zone is not None:
                now = self.clock()
                zone.candidate.record_seen(content or None, now)
                self._run_unless_stopped(
                    zone.candidate.zone, zone.candidate.tick(now, self._members)
                )

    def resign_received(self, *, zone, term, remaining_s, node_id=None):
        """Handles a peer's message that its term has ended."""
        self._decide(zone, events.PeerResigned(term=term, remaining_s=remaining_s))

    def term_asked(self, *, node_id, zone, term, incarnation, by_term):
        """Handles a peer's question whether a term of this node has ended."""
        self._decide(
            zone,
            events.TermAsked(
                node_id=node_id, term=term, incarnation=incarnation, by_term=by_term
            ),
        )

    def routing_lease_requested(self, *, zone, request):
        """Handles a peer's request for a routing lease.

        :param request: the :class:`events.RoutingLeaseRequested`.
        """
        self._decide(zone, request)

    def routing_lease_received(
        self, *, zone, term, sent_at, duration_s, version_by_service
    ):
        """Handles a routing lease granted to this node."""
        self.routing_leases.granted(
            zone=zone,
            term=term,
            sent_at=sent_at,
            duration_s=duration_s,
            version_by_service=version_by_service,
        )

    def node_reachable(self, node_id):
        """Records that another entry VM has been reachable until now."""
        self._decide_all(events.NodeReachable(node_id=node_id))

    def server_reported(self, server, reachable):
        """Handles a gateway's report on whether an unfenced server answers."""
        self._decide_all(events.ServerReported(server=server, reachable=reachable))

    def load_reported(self, service, server, rate_by_partition):
        """Handles a gateway's report of a server's load.

        :param rate_by_partition: requests per second per partition number.
        """
        self._decide_all(
            events.LoadReported(
                service=service, server=server, rate_by_partition=rate_by_partition
            )
        )

    def holds(self, zone_name):
        """Returns whether this node is a zone's controller."""
        zone = self._zones.get(zone_name)
        return zone is not None and zone.controller.active

    def stuck_partitions(self):
        """Returns ``{service: partition numbers}`` that no controller here can move.

        See :meth:`ZoneController.stuck_partitions`.
        """
        stuck = {}
        for zone in self._zones.values():
            for service, numbers in zone.controller.stuck_partitions().items():
                stuck.setdefault(service, set()).update(numbers)
        return {service: sorted(numbers) for service, numbers in stuck.items()}

    def holder_of(self, zone_name):
        """Returns the node known to hold a zone's lease, or None."""
        zone = self._zones.get(zone_name)
        return zone.candidate.holder if zone is not None else None

    def holder_of_server(self, server_name):
        """Returns the node that controls the zone of a server, or None."""
        server = self._configuration.servers_by_name.get(server_name)
        return self.holder_of(server.zone) if server is not None else None

    def _tick(self):
        now = self.clock()
        self._detect_pause(now)
        self._last_run_at = now
        if now >= self._next_members_read_at:
            self._next_members_read_at = now + MEMBERS_EVERY_S
            self._read_members(now)
        for zone_name, zone in self._zones.items():
            if self.incarnation:
                self._run(zone_name, zone.candidate.tick(now, self._members))
            if zone.controller.needs_ticks:
                self._decide(zone_name, events.Tick())
            self._request_routing_lease(zone_name, zone, now)

    def _detect_pause(self, now):
        """Detects a pause, even if an answer is handled before the next tick."""
        if self._last_run_at is None:
            return
        pause_s = now - self._last_run_at - TICK_S
        if pause_s > PAUSE_S:
            self._last_run_at = now
            log.warning("ownership: the event loop was blocked for %.2f s", pause_s)
            for zone_name, zone in self._zones.items():
                self._run(zone_name, zone.candidate.paused(now))

    def _read_members(self, now):
        members = dict(self.members())
        if members != self._members:
            self._members = members
        zones_alive = frozenset({*self.reachable_zones(), self.zone})
        if zones_alive != self._zones_alive:
            self._zones_alive = zones_alive
            self._decide_all(events.ZonesAlive(zones=zones_alive))
        state_by_id = {}
        name_by_address = {}
        if self._configuration is not None:
            name_by_address = {
                server.address: server_name
                for server_name, server in self._configuration.servers_by_name.items()
            }
        for vm in self.vms() or ():
            state_by_id[vm["id"]] = vm["state"]
            server_name = name_by_address.get(vm.get("address"))
            if server_name is not None:
                state_by_id[server_name] = vm["state"]
        self._decide_all(events.VmsListed(state_by_id=state_by_id))

    def _request_routing_lease(self, zone_name, zone, now):
        holder = zone.candidate.holder
        if holder is None or not self.routing_leases.is_due(zone_name, now):
            return
        versions = {
            key.removeprefix(OWNERSHIP_PREFIX): version
            for key, version in self._version_by_key.items()
            if key.startswith(OWNERSHIP_PREFIX)
        }
        if not any(not s.fenced for s in self._configuration.services_by_name.values()):
            return
        if not self.needs_routing_lease(zone_name):
            return
        request = self.routing_leases.request(zone_name, versions, now)
        if holder == self.node_id:
            self._decide(zone_name, request)
        else:
            self.links.send(
                holder, commands.RequestRoutingLease(zone=zone_name, request=request)
            )

    def _decide_all(self, event):
        for zone_name in list(self._zones):
            self._decide(zone_name, event)

    def _decide(self, zone_name, event):
        zone = self._zones.get(zone_name)
        if zone is None:
            return []
        now = self.clock()
        self._detect_pause(now)
        return self._run(zone_name, zone.controller.handle(event, now))

    def _run(self, zone_name, outputs):
        results = []
        for command in outputs:
            handler = _executors.get(type(command))
            if handler is None:
                results.extend(self._decide(zone_name, command))
            else:
                results.append(handler(self, zone_name, command))
        return results

    def _run_unless_stopped(self, zone_name, outputs):
        """Runs the outputs of a candidate unless this runner has stopped."""
        if self.running:
            self._run(zone_name, outputs)

    @defer.inlineCallbacks
    def _grant_lease(self, zone_name, command):
        candidate = self._zones[zone_name].candidate
        try:
            granted = yield self.store.grant_lease(LEASE_S)
        except StoreError:
            self._run_unless_stopped(zone_name, candidate.lease_failed(self.clock()))
        else:
            self._run_unless_stopped(
                zone_name, candidate.lease_granted(granted, self.clock())
            )

    @defer.inlineCallbacks
    def _put_record(self, zone_name, command):
        candidate = self._zones[zone_name].candidate
        revision = 0
        try:
            revision = yield self.store.put(
                command.key, command.value, expected_revision=0, lease=command.lease
            )
            outcome = StoreOutcome.DONE
        except (StoreConflictError, LeaseExpiredError, StoreUnavailableError):
            outcome = StoreOutcome.REFUSED
        except StoreError:
            outcome = StoreOutcome.UNKNOWN
        self._run_unless_stopped(
            zone_name, candidate.put_settled(outcome, revision, self.clock())
        )
        if outcome is StoreOutcome.DONE:
            self._publish_accepted(command.key, revision, command.value)

    @defer.inlineCallbacks
    def _read_record(self, zone_name, command):
        candidate = self._zones[zone_name].candidate
        try:
            stored = yield self.store.get(command.key)
        except StoreError:
            self._run_unless_stopped(zone_name, candidate.read_failed(self.clock()))
            return
        now = self.clock()
        self._run_unless_stopped(
            zone_name, candidate.record_read(stored.value, stored.revision, now)
        )
        if stored.value is not None:
            self._publish_accepted(command.key, stored.revision, stored.value)

    @defer.inlineCallbacks
    def _keep_alive(self, zone_name, command):
        candidate = self._zones[zone_name].candidate
        try:
            yield self.store.keep_alive(command.lease)
            outcome = StoreOutcome.DONE
        except LeaseExpiredError:
            outcome = StoreOutcome.REFUSED
        except StoreError:
            outcome = StoreOutcome.UNKNOWN
        self._run_unless_stopped(
            zone_name, candidate.keepalive_settled(outcome, self.clock())
        )

    @defer.inlineCallbacks
    def _revoke_lease(self, zone_name, command):
        try:
            yield self.store.revoke_lease(command.lease)
        except StoreError as error:
            log.info("ownership: a lease was not revoked and will expire: %s", error)

    def _confirm_lease(self, zone_name, command):
        candidate = self._zones[zone_name].candidate
        self._run(zone_name, candidate.keep_alive(self.clock()))

    def _give_up_lease(self, zone_name, command):
        self._run(zone_name, self._zones[zone_name].candidate.give_up(self.clock()))

    def _resign(self, zone_name, command):
        if command.node_id is None:
            self.links.broadcast(command)
        elif command.node_id != self.node_id:
            self.links.send(command.node_id, command)
        else:
            self.resign_received(
                zone=command.zone, term=command.term, remaining_s=command.remaining_s
            )

    def _ask_term(self, zone_name, command):
        if command.node_id != self.node_id:
            self.links.send(command.node_id, command)
            return
        self.term_asked(
            node_id=self.node_id,
            zone=command.zone,
            term=command.term,
            incarnation=command.incarnation,
            by_term=command.by_term,
        )

    def _grant_routing_lease(self, zone_name, command):
        if command.node_id != self.node_id:
            self.links.send(command.node_id, command)
            return
        self.routing_lease_received(
            zone=command.zone,
            term=command.term,
            sent_at=command.sent_at,
            duration_s=command.duration_s,
            version_by_service=command.version_by_service,
        )

    @defer.inlineCallbacks
    def _write_document(self, zone_name, command):
        key = OWNERSHIP_PREFIX + command.service
        content = command.document.encode()
        revision = 0
        try:
            revision = yield self.store.put(
                key, content, expected_revision=command.expected_revision
            )
            outcome = events.WriteOutcome.ACCEPTED
        except StoreConflictError:
            outcome = events.WriteOutcome.CONFLICT
        except StoreUnavailableError:
            outcome = events.WriteOutcome.NOT_SENT
        except StoreError:
            outcome = events.WriteOutcome.UNKNOWN
        if not self.running:
            return
        if outcome is events.WriteOutcome.ACCEPTED:
            self._publish_accepted(key, command.document.version, content)
        self._decide(
            zone_name,
            events.WriteSettled(
                service=command.service,
                write_id=command.write_id,
                outcome=outcome,
                revision=revision,
            ),
        )

    @defer.inlineCallbacks
    def _read_document(self, zone_name, command):
        key = OWNERSHIP_PREFIX + command.service
        try:
            stored = yield self.store.get(key)
            document = None
            if stored.value is not None:
                document = OwnershipDocument.decode(stored.value)
        except (StoreError, ValueError) as error:
            log.warning("ownership: cannot read %s: %s", key, error)
            if self.running:
                self._decide(
                    zone_name, events.DocumentReadFailed(service=command.service)
                )
            return
        if not self.running:
            return
        if document is not None:
            self._publish_accepted(key, document.version, stored.value)
        self._decide(
            zone_name,
            events.DocumentRead(
                service=command.service, revision=stored.revision, document=document
            ),
        )

    def _send_grants(self, zone_name, command):
        self._control_client.send_grants(zone_name, command)

    def _probe_server(self, zone_name, command):
        self._control_client.probe(zone_name, command)

    def _server_settled(self, zone_name, event):
        if self.running:
            self._decide(zone_name, event)

    def _publish_accepted(self, key, version, content):
        """Publishes a document that the store has accepted."""
        if version > self._version_by_key.get(key, 0):
            self.document_changed(key, version, content)
            self.publish(key, version, content)


_executors = {
    lease.GrantLease: ControlRunner._grant_lease,
    lease.PutRecord: ControlRunner._put_record,
    lease.ReadRecord: ControlRunner._read_record,
    lease.KeepAlive: ControlRunner._keep_alive,
    lease.RevokeLease: ControlRunner._revoke_lease,
    commands.ConfirmLease: ControlRunner._confirm_lease,
    commands.GiveUpLease: ControlRunner._give_up_lease,
    commands.Resign: ControlRunner._resign,
    commands.AskTerm: ControlRunner._ask_term,
    commands.GrantRoutingLease: ControlRunner._grant_routing_lease,
    commands.WriteDocument: ControlRunner._write_document,
    commands.ReadDocument: ControlRunner._read_document,
    commands.SendGrants: ControlRunner._send_grants,
    commands.ProbeServer: ControlRunner._probe_server,
}
