"""Runs the candidates and controllers of all zones on one node."""

from __future__ import annotations

import logging

from twisted.internet import defer, task

from briarspoke.ownership import candidate as lease
from briarspoke.ownership import commands, events
from briarspoke.ownership.candidate import Candidate, StoreOutcome
from briarspoke.ownership.controller import ZoneController
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.ownership.routing_leases import RoutingLeaseHolder
from briarspoke.ownership.servers import ServerCalls
from briarspoke.ownership.timing import LEASE_S
from briarspoke.platform.store import (
    LeaseExpiredError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

log = logging.getLogger(__name__)

TICK_S = 0.05
# A longer gap between two visits of the event loop is a pause.
PAUSE_S = 0.2
MEMBERS_EVERY_S = 0.25
OWNERSHIP_PREFIX = "ownership/"
RECORD_PREFIX = "controllers/"


class _Zone:
    """What this node does for one zone."""

    __slots__ = ("candidate", "controller")

    def __init__(self, *, candidate, controller):
        self.candidate = candidate
        self.controller = controller


class ControlRunner:
    """Connects the decisions to store, servers and links.

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
    :param vms: function that returns the VM list as last seen.
    :param instance: random number of this process.
    :param reachable_zones: function that returns the zones whose entry VMs have been
        heard just now; partitions are moved to these alone. Without it they are
        the zones of the members.
    :param needs_routing_lease: function of a zone that tells whether this node
        sends to unfenced servers there.
    :param count_grant_bytes: function of (``sent`` or ``received``, bytes) for
        the calls to servers.
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
        self._members_at = 0.0
        self._members = {}
        self._visited_at = None
        self._calls = ServerCalls(
            reactor=reactor,
            settled=self._server_settled,
            count_bytes=count_grant_bytes,
        )
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor

    def start(self):
        """Begins to take part in the control of all zones."""
        self.running = True
        self._ticker.start(TICK_S, now=False)

    def set_incarnation(self, incarnation):
        """Takes this process's incarnation; until then it holds no lease.

        :param incarnation: higher than that of any earlier process of the node.
        """
        self.incarnation = incarnation
        for zone in self._zones.values():
            zone.controller.incarnation = incarnation

    def needs_watch(self):
        """Returns whether a candidate here needs to see the lease records."""
        return any(zone.candidate.needs_watch for zone in self._zones.values())

    def stop(self):
        """Gives up every lease and stops; returns a Deferred."""
        if not self.running:
            return defer.succeed(None)
        now = self.clock()
        revoked = []
        for name, zone in self._zones.items():
            for command in self._run(name, zone.candidate.give_up(now)):
                if command is not None:
                    revoked.append(command)
        self.running = False
        if self._ticker.running:
            self._ticker.stop()
        done = defer.DeferredList(revoked, consumeErrors=True)
        done.addCallback(lambda _: self._calls.close())
        return done

    # What the node tells.

    def configuration_changed(self, configuration):
        """Takes a configuration that has come into force."""
        self._configuration = configuration
        for name in configuration.zones_by_name:
            if name not in self._zones:
                self._zones[name] = _Zone(
                    candidate=Candidate(
                        zone=name,
                        node_id=self.node_id,
                        node_zone=self.zone,
                        nonce_prefix=f"{self.routing_leases.incarnation:x}-",
                    ),
                    controller=ZoneController(
                        zone=name, node_id=self.node_id, incarnation=self.incarnation
                    ),
                )
                self._decide(name, events.ZonesAlive(zones=self._zones_alive))
        self._decide_all(events.ConfigurationChanged(configuration=configuration))

    def document_changed(self, key, version, content):
        """Takes a document that another node has disseminated."""
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
                self._settle(
                    zone.candidate.zone, zone.candidate.tick(now, self._members)
                )

    def resign_received(self, *, zone, term, remaining_s, node_id=None):
        """Takes a peer's message that its term has ended."""
        self._decide(zone, events.PeerResigned(term=term, remaining_s=remaining_s))

    def term_asked(self, *, node_id, zone, term, incarnation, by_term):
        """Takes a peer's question whether a term of this node has ended."""
        self._decide(
            zone,
            events.TermAsked(
                node_id=node_id, term=term, incarnation=incarnation, by_term=by_term
            ),
        )

    def routing_lease_requested(self, *, zone, request):
        """Takes a peer's request for a routing lease.

        :param request: the :class:`events.RoutingLeaseRequested`.
        """
        self._decide(zone, request)

    def routing_lease_received(
        self, *, zone, term, sent_at, duration_s, version_by_service
    ):
        """Takes a routing lease for this node."""
        self.routing_leases.granted(
            zone=zone,
            term=term,
            sent_at=sent_at,
            duration_s=duration_s,
            version_by_service=version_by_service,
        )

    def node_heard(self, node_id):
        """Notes that another entry VM has sent something."""
        self._decide_all(events.NodeHeard(node_id=node_id))

    def server_reported(self, server, reachable):
        """Takes a gateway's report on an unfenced server."""
        self._decide_all(events.ServerReported(server=server, reachable=reachable))

    def load_reported(self, service, server, rate_by_partition):
        """Takes a gateway's report on load."""
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
        """Returns ``{service: numbers}`` that no controller here can move."""
        stuck = {}
        for zone in self._zones.values():
            for service, numbers in zone.controller.stuck_partitions().items():
                stuck.setdefault(service, set()).update(numbers)
        return {service: sorted(numbers) for service, numbers in stuck.items()}

    def holder_of(self, zone_name):
        """Returns the node that holds a zone's lease, as known here, or None."""
        zone = self._zones.get(zone_name)
        return zone.candidate.holder if zone is not None else None

    def holder_of_server(self, server_name):
        """Returns the controller's node of a server's zone, or None."""
        server = self._configuration.servers_by_name.get(server_name)
        return self.holder_of(server.zone) if server is not None else None

    # Time.

    def _tick(self):
        now = self.clock()
        self._observe_pause(now)
        self._visited_at = now
        if now >= self._members_at:
            self._members_at = now + MEMBERS_EVERY_S
            self._read_members(now)
        for name, zone in self._zones.items():
            if self.incarnation:
                self._run(name, zone.candidate.tick(now, self._members))
            if zone.controller.needs_ticks:
                self._decide(name, events.Tick())
            self._request_routing_lease(name, zone, now)

    def _observe_pause(self, now):
        """Notices a pause, also when an answer is read before the first tick."""
        if self._visited_at is None:
            return
        pause_s = now - self._visited_at - TICK_S
        if pause_s > PAUSE_S:
            self._visited_at = now
            log.warning("ownership: the event loop stood still for %.2f s", pause_s)
            for name, zone in self._zones.items():
                self._run(name, zone.candidate.paused(now))

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
                server.address: name
                for name, server in self._configuration.servers_by_name.items()
            }
        for vm in self.vms() or ():
            state_by_id[vm["id"]] = vm["state"]
            name = name_by_address.get(vm.get("address"))
            if name is not None:
                state_by_id[name] = vm["state"]
        self._decide_all(events.VmsListed(state_by_id=state_by_id))

    def _request_routing_lease(self, name, zone, now):
        holder = zone.candidate.holder
        if holder is None or not self.routing_leases.is_due(name, now):
            return
        versions = {
            key.removeprefix(OWNERSHIP_PREFIX): version
            for key, version in self._version_by_key.items()
            if key.startswith(OWNERSHIP_PREFIX)
        }
        if not any(not s.fenced for s in self._configuration.services_by_name.values()):
            return
        if not self.needs_routing_lease(name):
            return
        request = self.routing_leases.request(name, versions, now)
        if holder == self.node_id:
            self._decide(name, request)
        else:
            self.links.send(
                holder, commands.RequestRoutingLease(zone=name, request=request)
            )

    # Decisions and their execution.

    def _decide_all(self, event):
        for name in list(self._zones):
            self._decide(name, event)

    def _decide(self, name, event):
        zone = self._zones.get(name)
        if zone is None:
            return []
        now = self.clock()
        self._observe_pause(now)
        return self._run(name, zone.controller.handle(event, now))

    def _run(self, name, found):
        results = []
        for command in found:
            handler = _executors.get(type(command))
            if handler is None:
                results.extend(self._decide(name, command))
            else:
                results.append(handler(self, name, command))
        return results

    def _settle(self, name, found):
        """Runs what a candidate answers to a settled call."""
        if self.running:
            self._run(name, found)

    @defer.inlineCallbacks
    def _grant_lease(self, name, command):
        candidate = self._zones[name].candidate
        try:
            granted = yield self.store.grant_lease(LEASE_S)
        except StoreError:
            self._settle(name, candidate.lease_failed(self.clock()))
        else:
            self._settle(name, candidate.lease_granted(granted, self.clock()))

    @defer.inlineCallbacks
    def _put_record(self, name, command):
        candidate = self._zones[name].candidate
        revision = 0
        try:
            revision = yield self.store.put(
                command.key, command.value, expected_revision=0, lease=command.lease
            )
            settled = StoreOutcome.DONE
        except (StoreConflictError, LeaseExpiredError, StoreUnavailableError):
            settled = StoreOutcome.REFUSED
        except StoreError:
            settled = StoreOutcome.UNKNOWN
        self._settle(name, candidate.put_settled(settled, revision, self.clock()))
        if settled is StoreOutcome.DONE:
            self._accepted(command.key, revision, command.value)

    @defer.inlineCallbacks
    def _read_record(self, name, command):
        candidate = self._zones[name].candidate
        try:
            stored = yield self.store.get(command.key)
        except StoreError:
            self._settle(name, candidate.read_failed(self.clock()))
            return
        now = self.clock()
        self._settle(name, candidate.record_read(stored.value, stored.revision, now))
        if stored.value is not None:
            self._accepted(command.key, stored.revision, stored.value)

    @defer.inlineCallbacks
    def _keep_alive(self, name, command):
        candidate = self._zones[name].candidate
        try:
            yield self.store.keep_alive(command.lease)
            settled = StoreOutcome.DONE
        except LeaseExpiredError:
            settled = StoreOutcome.REFUSED
        except StoreError:
            settled = StoreOutcome.UNKNOWN
        self._settle(name, candidate.keepalive_settled(settled, self.clock()))

    @defer.inlineCallbacks
    def _revoke_lease(self, name, command):
        try:
            yield self.store.revoke_lease(command.lease)
        except StoreError as error:
            log.info("ownership: a lease was not revoked and will lapse: %s", error)

    def _confirm_lease(self, name, command):
        candidate = self._zones[name].candidate
        self._run(name, candidate.keep_alive(self.clock()))

    def _give_up_lease(self, name, command):
        self._run(name, self._zones[name].candidate.give_up(self.clock()))

    def _resign(self, name, command):
        if command.node_id is None:
            self.links.broadcast(command)
        elif command.node_id != self.node_id:
            self.links.send(command.node_id, command)
        else:
            self.resign_received(
                zone=command.zone, term=command.term, remaining_s=command.remaining_s
            )

    def _ask_term(self, name, command):
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

    def _grant_routing_lease(self, name, command):
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
    def _write_document(self, name, command):
        key = OWNERSHIP_PREFIX + command.service
        content = command.document.encode()
        revision = 0
        try:
            revision = yield self.store.put(
                key, content, expected_revision=command.expected_revision
            )
            outcome = events.WriteOutcome.TAKEN
        except StoreConflictError:
            outcome = events.WriteOutcome.CONFLICT
        except StoreUnavailableError:
            outcome = events.WriteOutcome.NOT_SENT
        except StoreError:
            outcome = events.WriteOutcome.UNKNOWN
        if not self.running:
            return
        if outcome is events.WriteOutcome.TAKEN:
            self._accepted(key, command.document.version, content)
        self._decide(
            name,
            events.WriteSettled(
                service=command.service,
                write_id=command.write_id,
                outcome=outcome,
                revision=revision,
            ),
        )

    @defer.inlineCallbacks
    def _read_document(self, name, command):
        key = OWNERSHIP_PREFIX + command.service
        try:
            stored = yield self.store.get(key)
            document = None
            if stored.value is not None:
                document = OwnershipDocument.decode(stored.value)
        except (StoreError, ValueError) as error:
            log.warning("ownership: cannot read %s: %s", key, error)
            if self.running:
                self._decide(name, events.DocumentReadFailed(service=command.service))
            return
        if not self.running:
            return
        if document is not None:
            self._accepted(key, document.version, stored.value)
        self._decide(
            name,
            events.DocumentRead(
                service=command.service, revision=stored.revision, document=document
            ),
        )

    def _send_grants(self, name, command):
        self._calls.send_grants(name, command)

    def _probe_server(self, name, command):
        self._calls.probe(name, command)

    def _server_settled(self, name, event):
        if self.running:
            self._decide(name, event)

    def _accepted(self, key, version, content):
        """Passes on a document that the store has accepted."""
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
