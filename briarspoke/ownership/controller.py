"""The controller of one availability zone: grants, owner changes and terms."""

from __future__ import annotations

import logging

from briarspoke.ownership import commands, events, placement
from briarspoke.ownership.grants import ServerGrants, grants_digest
from briarspoke.ownership.index import StoredDocument, partition_name
from briarspoke.ownership.planning import Planning
from briarspoke.ownership.routing_leases import RoutingLeaseRegistry
from briarspoke.ownership.service_state import ProbedServer, ServiceState
from briarspoke.ownership.takeover import Predecessors
from briarspoke.ownership.timing import (
    AUTHORITY_S,
    GRANT_WAIT_S,
    RENEW_EVERY_S,
    RESIGN_COUNT,
    RESIGN_EVERY_S,
)

log = logging.getLogger(__name__)

READ_RETRY_S = 0.1
WRITE_RETRY_S = 0.1
# The VM list arrives several times a second and is mostly unchanged.
PLAN_AFTER_VM_LIST_S = 0.5

_handlers = {}


def _handles(event_class):
    def decorate(method):
        _handlers[event_class] = method
        return method

    return decorate


class ZoneController(Planning):
    """Controls one zone while this node holds the zone's lease.

    Without the lease it issues only resignations and records what it learns
    about other holders of the lease.

    :param zone: name of the zone.
    :param node_id: identifier of this entry VM.
    :param incarnation: incarnation of this process, 0 if unknown.
    :param max_moves: maximum number of voluntary moves per service and round.
    :param balance: whether partitions are moved to balance the load.
    """

    __slots__ = (
        "_acquired_at",
        "_configuration",
        "_confirm_asked_at",
        "_confirmed_sent_at",
        "_ended_term_expires_at",
        "_loads",
        "_next_ask_at",
        "_next_resign_at",
        "_paused_at",
        "_predecessors",
        "_probes",
        "_removed_servers",
        "_resignations_left",
        "_routing_leases",
        "_seen_at",
        "_servers",
        "_states",
        "_vacated_at",
        "_write_count",
        "_zone_servers",
        "_zone_servers_by_service",
        "_zones_alive",
        "active",
        "balance",
        "counts",
        "incarnation",
        "max_moves",
        "node_id",
        "term",
        "zone",
    )

    def __init__(
        self,
        *,
        zone,
        node_id,
        incarnation=0,
        max_moves=placement.MAX_MOVES,
        balance=True,
    ):
        self.zone = zone
        self.node_id = node_id
        self.incarnation = incarnation
        self.max_moves = max_moves
        self.balance = balance
        self.active = False
        self.term = 0
        # Number of steps by kind, for metrics and benches.
        self.counts = {}
        self._configuration = None
        self._predecessors = Predecessors()
        self._loads = placement.LoadTable()
        self._zones_alive = frozenset()
        self._removed_servers = {}
        self._zone_servers = {}
        self._zone_servers_by_service = {}
        self._next_resign_at = 0.0
        self._resignations_left = 0
        self._ended_term_expires_at = 0.0
        self._next_ask_at = 0.0
        self._write_count = 0
        self._start_term(term=0, sent_at=0.0, vacated_at=0.0, now=0.0)

    def _start_term(self, *, term, sent_at, vacated_at, now):
        self.term = term
        self._confirmed_sent_at = sent_at
        self._vacated_at = vacated_at
        self._acquired_at = now
        self._paused_at = -1.0
        self._confirm_asked_at = -1.0
        self._servers = {}
        self._probes = {}
        self._states = {}
        self._routing_leases = RoutingLeaseRegistry()

    @property
    def needs_ticks(self):
        """Whether :class:`events.Tick` has an effect on this controller."""
        return self.active or self._resignations_left > 0

    def handle(self, event, now):
        """Handles an event and returns the list of commands to execute.

        :param event: an instance of one of the classes in :mod:`events`.
        :param now: monotonic time in seconds.
        """
        out = []
        _handlers[type(event)](self, event, now, out)
        if self.active:
            self._issue_commands(now, out)
        else:
            self._resend_resignation(now, out)
        return out

    @_handles(events.Tick)
    def _tick(self, event, now, out):
        if self.active:
            self._routing_leases.forget_expired(now)

    @_handles(events.LeaseAcquired)
    def _lease_acquired(self, event, now, out):
        self._count("acquired")
        self._resignations_left = 0
        self._start_term(
            term=event.term,
            sent_at=event.sent_at,
            vacated_at=event.vacated_at,
            now=now,
        )
        self.active = True
        log.info(
            "ownership: this node controls zone %s at term %d", self.zone, self.term
        )

    @_handles(events.LeaseConfirmed)
    def _lease_confirmed(self, event, now, out):
        self._confirmed_sent_at = max(self._confirmed_sent_at, event.sent_at)
        for server in self._servers.values():
            server.confirm(event.sent_at)

    @_handles(events.LeaseLost)
    def _lease_lost(self, event, now, out):
        if self.active:
            self._count("lost")
            self._step_down(now, out)

    @_handles(events.ConfigurationChanged)
    def _configuration_changed(self, event, now, out):
        known = self._configuration
        if known is not None:
            for name, server in known.servers_by_name.items():
                if name not in event.configuration.servers_by_name:
                    self._removed_servers[name] = server
        self._configuration = event.configuration
        for name in event.configuration.servers_by_name:
            self._removed_servers.pop(name, None)
        self._index_zone_servers()
        self._note_terminated(now)
        for state in self._states.values():
            state.next_plan_at = now

    def _note_terminated(self, now):
        """Records the servers that an operator has declared terminated."""
        self._predecessors.declared_terminated(
            {
                name
                for name, server in self._configuration.servers_by_name.items()
                if server.state == "terminated"
            },
            now,
        )

    def _index_zone_servers(self):
        """Indexes the zone's servers, also those removed from the configuration."""
        known = {**self._configuration.servers_by_name, **self._removed_servers}
        self._zone_servers = {n: s for n, s in known.items() if s.zone == self.zone}
        self._zone_servers_by_service = {}
        for name, server in self._zone_servers.items():
            self._zone_servers_by_service.setdefault(server.service, {})[name] = server

    @_handles(events.VersionSeen)
    def _version_seen(self, event, now, out):
        state = self._states.get(event.service)
        if state is not None:
            state.newest_version = max(state.newest_version, event.version)

    @_handles(events.DocumentRead)
    def _document_read(self, event, now, out):
        state = self._states.get(event.service)
        if state is None:
            return
        state.reading = False
        document = event.document
        if document is not None:
            for write in list(state.writes):
                if write.write_id in document.write_ids:
                    state.writes.remove(write)
        self._update_stored(state, event.revision, document, now, out)

    @_handles(events.DocumentReadFailed)
    def _document_read_failed(self, event, now, out):
        state = self._states.get(event.service)
        if state is not None:
            state.reading = False
            state.next_read_at = now + READ_RETRY_S

    @_handles(events.WriteSettled)
    def _write_settled(self, event, now, out):
        state = self._states.get(event.service)
        if state is None:
            return
        write = next((w for w in state.writes if w.write_id == event.write_id), None)
        if write is None:
            return
        write.in_flight = False
        self._count(f"write-{event.outcome.value}")
        if event.outcome is events.WriteOutcome.ACCEPTED:
            state.writes.remove(write)
            self._update_stored(state, event.revision, write.document, now, out)
            return
        state.next_plan_at = now
        state.next_write_at = now + WRITE_RETRY_S
        if event.outcome is events.WriteOutcome.NOT_SENT:
            state.writes.remove(write)
        else:
            if event.outcome is events.WriteOutcome.CONFLICT:
                state.writes.remove(write)
            # The write identifiers of the stored document show whether the
            # write took effect.
            state.stale = True

    @_handles(events.GrantAnswered)
    def _grant_answered(self, event, now, out):
        self._predecessors.record_contact(event.server, now)
        if not self.active:
            return
        if event.term > self.term:
            self._count("fenced-by-term")
            self._step_down(now, out)
            out.append(commands.GiveUpLease())
            return
        server = self._servers.get(event.server)
        if server is None or not server.answered(event, now):
            return
        if server.clock_stopped:
            server.clock_stopped = False
            self._count("clock-stopped")
            self._note_pause(now)

    @_handles(events.GrantFailed)
    def _grant_failed(self, event, now, out):
        server = self._servers.get(event.server)
        if server is not None:
            server.failed(event, now)

    @_handles(events.ProbeSettled)
    def _probe_settled(self, event, now, out):
        probe = self._probes.get(event.server)
        if probe is None:
            return
        probe.in_flight = False
        if event.reachable and not probe.reported_unreachable:
            probe.reachable_at = now

    @_handles(events.ServerReported)
    def _server_reported(self, event, now, out):
        probe = self._probes.get(event.server)
        if probe is not None:
            probe.reported_unreachable = not event.reachable
            if event.reachable:
                probe.reachable_at = now

    @_handles(events.VmsListed)
    def _vms_listed(self, event, now, out):
        for state in self._states.values():
            # The grants of a terminated VM can expire before its server counts as
            # unreachable.
            state.next_plan_at = min(state.next_plan_at, now + PLAN_AFTER_VM_LIST_S)
        self._predecessors.vms_listed(event.state_by_id, now)

    @_handles(events.NodeReachable)
    def _node_reachable(self, event, now, out):
        self._predecessors.record_contact(event.node_id, now)

    @_handles(events.PeerResigned)
    def _peer_resigned(self, event, now, out):
        self._predecessors.resigned(event.term, event.remaining_s, now)

    @_handles(events.TermAsked)
    def _term_asked(self, event, now, out):
        if event.incarnation > self.incarnation or (
            event.incarnation == self.incarnation and event.term > self.term
        ):
            return
        if self.active and event.term == self.term:
            if event.by_term > self.term:
                self._count("fenced-by-peer")
                self._step_down(now, out)
                out.append(commands.GiveUpLease())
            return
        remaining_s = max(0.0, self._ended_term_expires_at - now)
        if event.incarnation < self.incarnation or not self.incarnation:
            # The grants of an earlier process are unknown to this one.
            remaining_s = GRANT_WAIT_S
        out.append(
            commands.Resign(
                zone=self.zone,
                term=event.term,
                remaining_s=remaining_s,
                node_id=event.node_id,
            )
        )

    @_handles(events.PeerSeen)
    def _peer_seen(self, event, now, out):
        self._predecessors.seen(event.node_id, event.incarnation, now)

    @_handles(events.ZonesAlive)
    def _zones_alive_changed(self, event, now, out):
        self._zones_alive = event.zones

    @_handles(events.Paused)
    def _paused(self, event, now, out):
        if self.active:
            self._count("paused")
            self._note_pause(now)
            out.append(commands.ConfirmLease())

    @_handles(events.LoadReported)
    def _load_reported(self, event, now, out):
        state = self._states.get(event.service)
        rates = {}
        if state is not None and state.stored is not None:
            # The report omits partitions without requests.
            rates = dict.fromkeys(state.stored.partitions_of(event.server), 0.0)
        self._loads.report(event.service, {**rates, **event.rate_by_partition})

    @_handles(events.RoutingLeaseRequested)
    def _routing_lease_requested(self, event, now, out):
        self._predecessors.record_contact(event.node_id, now)
        if not self.active or self._configuration is None:
            return
        services = [
            name
            for name, state in self._states.items()
            if not self._is_fenced(name)
            and self._may_grant_routing_lease(name, state, now)
        ]
        if services:
            out.append(
                self._routing_leases.request(
                    event, services, zone=self.zone, term=self.term, now=now
                )
            )

    def has_moving_partitions(self, server_name):
        """Returns whether any partition of a server is ``moving``."""
        return any(
            state.stored is not None and server_name in state.stored.moving_by_owner
            for state in self._states.values()
        )

    def stuck_partitions(self):
        """Returns ``{service: partition numbers}`` whose owner is not configured.

        Only a controller that has seen the server in a configuration can move
        these partitions. The operator has to add the server to the configuration
        again, with state ``terminated`` if the server no longer exists.
        """
        if not self.active or self._configuration is None:
            return {}
        known = (
            self._configuration.servers_by_name.keys() | self._removed_servers.keys()
        )
        stuck = {}
        for service, state in self._states.items():
            if state.stored is not None:
                for name in state.stored.owners() - known:
                    stuck.setdefault(service, []).extend(
                        state.stored.partitions_of(name)
                    )
        return {service: sorted(numbers) for service, numbers in stuck.items()}

    def _note_pause(self, now):
        self._paused_at = now
        for server in self._servers.values():
            server.paused(now)
        for probe in self._probes.values():
            probe.reachable_at = now

    def _confirmed(self, now):
        """Returns whether the lease was confirmed recently and since the last pause."""
        return (
            self._confirmed_sent_at > self._paused_at
            and now - self._confirmed_sent_at < AUTHORITY_S
        )

    def _move_after_s(self, service, state):
        """Returns the shorter of the configured and the stored time, None if unset."""
        recorded = state.stored.document.authorities_by_zone[self.zone][-1]
        times = [
            time
            for time in (self._configured_move_after_s(service), recorded.move_after_s)
            if time is not None
        ]
        return min(times) if times else None

    def _configured_move_after_s(self, service):
        declared = self._configuration.services_by_name.get(service)
        return declared.on_isolation.move_after_s if declared else None

    def _has_barrier(self, state):
        """Returns whether the stored document contains this term.

        From then on, the writes of earlier terms cannot take effect.
        """
        return (
            state.stored is not None
            and state.stored.document is not None
            and state.stored.document.term_of(self.zone) == self.term
        )

    def _may_continue_isolated(self, service, state, now):
        """Returns whether the service lets this term continue without the store."""
        move_after_s = self._move_after_s(service, state)
        if move_after_s is None:
            return True
        return (
            self._confirmed_sent_at > self._paused_at
            and now - self._confirmed_sent_at < move_after_s
        )

    def _may_renew(self, service, state, server, now):
        if not self._has_barrier(state) or not (server.accepted and server.trusted):
            return False
        if self._confirmed(now):
            return True
        return server.verified and self._may_continue_isolated(service, state, now)

    def _may_grant_routing_lease(self, service, state, now):
        if not self._has_barrier(state):
            return False
        return self._confirmed(now) or self._may_continue_isolated(service, state, now)

    def _step_down(self, now, out):
        self.active = False
        self._ended_term_expires_at = max(
            [server.granted_until for server in self._servers.values()]
            + [self._routing_leases.last_expiry(now), now]
        )
        self._predecessors.resigned(self.term, self._ended_term_expires_at - now, now)
        self._resignations_left = RESIGN_COUNT
        self._next_resign_at = now
        log.info("ownership: term %d of zone %s has ended", self.term, self.zone)

    def _resend_resignation(self, now, out):
        if self._resignations_left and now >= self._next_resign_at:
            self._resignations_left -= 1
            self._next_resign_at = now + RESIGN_EVERY_S
            remaining_s = max(0.0, self._ended_term_expires_at - now)
            out.append(
                commands.Resign(zone=self.zone, term=self.term, remaining_s=remaining_s)
            )

    def _issue_commands(self, now, out):
        if self._configuration is None:
            return
        self._track_servers(now)
        for service, state in self._states.items():
            self._read_if_needed(service, state, now, out)
        self._call_servers(now, out)
        for service, state in self._states.items():
            self._plan(service, state, now, out)
            if not self.active:
                return
        self._confirm_if_needed(now, out)
        self._ask_predecessors(now, out)

    def _is_fenced(self, service):
        declared = self._configuration.services_by_name.get(service)
        return declared is None or declared.fenced

    def _track_servers(self, now):
        for name, server in self._zone_servers.items():
            if server.service not in self._states:
                self._states[server.service] = ServiceState()
            if self._is_fenced(server.service):
                if name not in self._servers:
                    self._servers[name] = ServerGrants(name=name, known_since=now)
            elif name not in self._probes:
                self._probes[name] = ProbedServer(known_since=now)

    def _read_if_needed(self, service, state, now, out):
        known = 0
        if state.stored is not None and state.stored.document is not None:
            known = state.stored.document.version
        state.stale = state.stale or state.newest_version > known
        busy = state.reading or state.write_in_flight
        if state.stale and not busy and now >= state.next_read_at:
            state.reading = True
            state.next_read_at = now + READ_RETRY_S
            out.append(commands.ReadDocument(service=service))

    def _update_stored(self, state, revision, document, now, out):
        """Replaces the known document with one read from or written to the store."""
        if state.stored is not None and revision < state.stored.revision:
            return
        state.stored = StoredDocument(revision=revision, document=document)
        state.next_plan_at = now
        state.stale = False
        state.writes = [
            write
            for write in state.writes
            if write.in_flight or write.expected_revision == revision
        ]
        state.digests = {}
        if document is None:
            return
        if document.term_of(self.zone) > self.term:
            self._count("fenced-by-document")
            self._step_down(now, out)
            out.append(commands.GiveUpLease())
            return
        state.newest_version = max(state.newest_version, document.version)
        moving = frozenset(
            n for moving in state.stored.moving_by_owner.values() for n in moving
        )
        state.pending = {n: p for n, p in state.pending.items() if n in moving}
        if not moving <= state.known_moving or not state.known_moving:
            self._routing_leases.require_version(document.service, document.version)
        state.known_moving = moving

    def _wanted(self, service, state, name):
        """Returns ``({partition name: epoch}, digest)`` that a server should hold."""
        known = state.digests.get(name)
        if known is not None:
            return known
        # A pending write may still take effect, so the old owner must not be granted
        # the partitions that the write reassigns.
        reassigned = {n for write in state.writes for n in write.reassigned}
        wanted = {
            partition_name(service, number): epoch
            for number, epoch in state.stored.active_by_owner.get(name, {}).items()
            if number not in reassigned
        }
        state.digests[name] = wanted, grants_digest(wanted)
        return state.digests[name]

    def _call_servers(self, now, out):
        for name, resource in self._zone_servers.items():
            service = resource.service
            state = self._states[service]
            if name in self._probes:
                self._probe(name, resource, now, out)
                continue
            server = self._servers[name]
            renew = not server.is_unreachable(now) and self._may_renew(
                service, state, server, now
            )
            wanted, digest, revoke = {}, "", ()
            if renew:
                wanted, digest = self._wanted(service, state, name)
                revoke = [
                    partition_name(service, number)
                    for number in state.stored.moving_by_owner.get(name, ())
                ]
            if server.is_due(now, digest, revoke, renew):
                self._count("renewals" if renew else "clock-reads")
                out.append(
                    server.next_call(
                        now=now,
                        address=resource.address,
                        zone=self.zone,
                        term=self.term,
                        wanted=wanted,
                        digest=digest,
                        revoke=revoke,
                        renew=renew,
                    )
                )

    def _probe(self, name, resource, now, out):
        probe = self._probes[name]
        if not probe.in_flight and now >= probe.due_at:
            probe.in_flight = True
            probe.due_at = now + RENEW_EVERY_S
            out.append(commands.ProbeServer(server=name, address=resource.address))

    def _confirm_if_needed(self, now, out):
        waiting = any(
            server.accepted and not server.trusted for server in self._servers.values()
        )
        if waiting and now - self._confirm_asked_at >= READ_RETRY_S:
            self._confirm_asked_at = now
            out.append(commands.ConfirmLease())

    def _ask_predecessors(self, now, out):
        """Asks earlier holders of the lease whose resignation is missing."""
        if now < self._next_ask_at:
            return
        self._next_ask_at = now + RESIGN_EVERY_S
        asked = set()
        for state in self._states.values():
            if self._has_barrier(state):
                asked.update(
                    (a.node_id, a.term, a.incarnation)
                    for a in self._unsettled_predecessors(state, now, 0.0)
                )
        out.extend(
            commands.AskTerm(
                node_id=node_id,
                zone=self.zone,
                term=term,
                incarnation=incarnation,
                by_term=self.term,
            )
            for node_id, term, incarnation in sorted(asked)
        )
