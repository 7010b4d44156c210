"""The decisions of one availability zone's controller."""

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
    RESIGN_EVERY_S,
    RESIGN_TIMES,
)

log = logging.getLogger(__name__)

READ_RETRY_S = 0.1
WRITE_RETRY_S = 0.1
# The VM list is passed in several times a second, mostly unchanged.
PLAN_AFTER_NEWS_S = 0.5

_handlers = {}


def _handles(event_class):
    def decorate(method):
        _handlers[event_class] = method
        return method

    return decorate


class ZoneController(Planning):
    """Decides for one zone while this node holds the zone's lease.

    Without the lease it only remembers what it learns about other holders.

    :param zone: name of the zone.
    :param node_id: this entry VM.
    :param incarnation: incarnation of this process, 0 if unknown.
    :param max_moves: voluntary moves per service and round.
    :param balance: whether voluntary moves are made at all.
    """

    __slots__ = (
        "_acquired_at",
        "_ask_at",
        "_book",
        "_configuration",
        "_confirm_asked_at",
        "_ended_until",
        "_loads",
        "_own",
        "_own_by_service",
        "_paused_at",
        "_predecessors",
        "_probes",
        "_resign_at",
        "_resign_left",
        "_retired",
        "_seen_at",
        "_sent_at",
        "_servers",
        "_states",
        "_vacated_at",
        "_write_count",
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
        # Times each kind of step was taken, for metrics and benches.
        self.counts = {}
        self._configuration = None
        self._predecessors = Predecessors()
        self._loads = placement.LoadTable()
        self._zones_alive = frozenset()
        self._retired = {}
        self._own = {}
        self._own_by_service = {}
        self._resign_at = 0.0
        self._resign_left = 0
        self._ended_until = 0.0
        self._ask_at = 0.0
        self._write_count = 0
        self._begin(term=0, sent_at=0.0, vacated_at=0.0, now=0.0)

    def _begin(self, *, term, sent_at, vacated_at, now):
        self.term = term
        self._sent_at = sent_at
        self._vacated_at = vacated_at
        self._acquired_at = now
        self._paused_at = -1.0
        self._confirm_asked_at = -1.0
        self._servers = {}
        self._probes = {}
        self._states = {}
        self._book = RoutingLeaseRegistry()

    @property
    def needs_ticks(self):
        """Whether something is decided here when time passes."""
        return self.active or self._resign_left > 0

    # Events.

    def handle(self, event, now):
        """Takes an event and returns the list of commands.

        :param now: monotonic time in seconds.
        """
        out = []
        _handlers[type(event)](self, event, now, out)
        if self.active:
            self._act(now, out)
        else:
            self._repeat_resignation(now, out)
        return out

    @_handles(events.Tick)
    def _tick(self, event, now, out):
        if self.active:
            self._book.forget_expired(now)

    @_handles(events.LeaseAcquired)
    def _lease_acquired(self, event, now, out):
        self._count("acquired")
        self._resign_left = 0
        self._begin(
            term=event.term,
            sent_at=event.sent_at,
            vacated_at=event.vacated_at,
            now=now,
        )
        self.active = True
        log.info("ownership: zone %s is controlled at term %d", self.zone, self.term)

    @_handles(events.LeaseConfirmed)
    def _lease_confirmed(self, event, now, out):
        self._sent_at = max(self._sent_at, event.sent_at)
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
                    self._retired[name] = server
        self._configuration = event.configuration
        for name in event.configuration.servers_by_name:
            self._retired.pop(name, None)
        self._index()
        self._note_terminated(now)
        for state in self._states.values():
            state.plan_at = now

    def _note_terminated(self, now):
        """Treats what an operator declared gone like the VM list's news."""
        self._predecessors.declared_terminated(
            {
                name
                for name, server in self._configuration.servers_by_name.items()
                if server.state == "terminated"
            },
            now,
        )

    def _index(self):
        """Collects the zone's servers, those of earlier configurations included."""
        known = {**self._configuration.servers_by_name, **self._retired}
        self._own = {n: s for n, s in known.items() if s.zone == self.zone}
        self._own_by_service = {}
        for name, server in self._own.items():
            self._own_by_service.setdefault(server.service, {})[name] = server

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
        self._store(state, event.revision, document, now, out)

    @_handles(events.DocumentReadFailed)
    def _document_read_failed(self, event, now, out):
        state = self._states.get(event.service)
        if state is not None:
            state.reading = False
            state.read_at = now + READ_RETRY_S

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
        if event.outcome is events.WriteOutcome.TAKEN:
            state.writes.remove(write)
            self._store(state, event.revision, write.document, now, out)
            return
        state.plan_at = now
        state.write_at = now + WRITE_RETRY_S
        if event.outcome is events.WriteOutcome.NOT_SENT:
            state.writes.remove(write)
        else:
            if event.outcome is events.WriteOutcome.CONFLICT:
                state.writes.remove(write)
            # The store is read back: the write identifier tells what happened.
            state.stale = True

    @_handles(events.GrantAnswered)
    def _grant_answered(self, event, now, out):
        self._predecessors.heard(event.server, now)
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
        if event.reachable and not probe.reported_silent:
            probe.reachable_at = now

    @_handles(events.ServerReported)
    def _server_reported(self, event, now, out):
        probe = self._probes.get(event.server)
        if probe is not None:
            probe.reported_silent = not event.reachable
            if event.reachable:
                probe.reachable_at = now

    @_handles(events.VmsListed)
    def _vms_listed(self, event, now, out):
        for state in self._states.values():
            # A terminated VM may free a server before it counts as silent.
            state.plan_at = min(state.plan_at, now + PLAN_AFTER_NEWS_S)
        self._predecessors.vms_listed(event.state_by_id, now)

    @_handles(events.NodeHeard)
    def _node_heard(self, event, now, out):
        self._predecessors.heard(event.node_id, now)

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
        remaining_s = max(0.0, self._ended_until - now)
        if event.incarnation < self.incarnation or not self.incarnation:
            # What an earlier process granted is not known here.
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
            # A partition without requests is not in the report.
            rates = dict.fromkeys(state.stored.numbers_of(event.server), 0.0)
        self._loads.report(event.service, {**rates, **event.rate_by_partition})

    @_handles(events.RoutingLeaseRequested)
    def _routing_lease_requested(self, event, now, out):
        self._predecessors.heard(event.node_id, now)
        if not self.active or self._configuration is None:
            return
        services = [
            name
            for name, state in self._states.items()
            if not self._is_fenced(name) and self._may_lease(name, state, now)
        ]
        if services:
            out.append(
                self._book.request(
                    event, services, zone=self.zone, term=self.term, now=now
                )
            )

    def has_moving_partitions(self, server_name):
        """Returns whether partitions of a server are ``moving``."""
        return any(
            state.stored is not None and server_name in state.stored.moving_by_owner
            for state in self._states.values()
        )

    def stuck_partitions(self):
        """Returns ``{service: numbers}`` whose owner no configuration declares.

        Only a controller that knew the server can move them; an operator
        declares the server again, and with state ``terminated`` if it is gone.
        """
        if not self.active or self._configuration is None:
            return {}
        known = self._configuration.servers_by_name.keys() | self._retired.keys()
        stuck = {}
        for service, state in self._states.items():
            if state.stored is not None:
                for name in state.stored.owners() - known:
                    stuck.setdefault(service, []).extend(state.stored.numbers_of(name))
        return {service: sorted(numbers) for service, numbers in stuck.items()}

    # Authority.

    def _note_pause(self, now):
        self._paused_at = now
        for server in self._servers.values():
            server.paused(now)
        for probe in self._probes.values():
            probe.reachable_at = now

    def _confirmed(self, now):
        """Whether the lease was confirmed recently and after the last pause."""
        return self._sent_at > self._paused_at and now - self._sent_at < AUTHORITY_S

    def _move_after_s(self, service, state):
        """Returns the shorter of the configured and the recorded time, or None."""
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
        return (
            state.stored is not None
            and state.stored.document is not None
            and state.stored.document.term_of(self.zone) == self.term
        )

    def _outlasts_isolation(self, service, state, now):
        """Whether the service's rule lets the term go on without the store."""
        move_after_s = self._move_after_s(service, state)
        if move_after_s is None:
            return True
        return self._sent_at > self._paused_at and now - self._sent_at < move_after_s

    def _may_renew(self, service, state, server, now):
        if not self._has_barrier(state) or not (server.accepted and server.trusted):
            return False
        if self._confirmed(now):
            return True
        return server.verified and self._outlasts_isolation(service, state, now)

    def _may_lease(self, service, state, now):
        if not self._has_barrier(state):
            return False
        return self._confirmed(now) or self._outlasts_isolation(service, state, now)

    def _step_down(self, now, out):
        self.active = False
        self._ended_until = max(
            [server.granted_until for server in self._servers.values()]
            + [self._book.last_end(now), now]
        )
        self._predecessors.resigned(self.term, self._ended_until - now, now)
        self._resign_left = RESIGN_TIMES
        self._resign_at = now
        log.info("ownership: term %d of zone %s has ended", self.term, self.zone)

    def _repeat_resignation(self, now, out):
        if self._resign_left and now >= self._resign_at:
            self._resign_left -= 1
            self._resign_at = now + RESIGN_EVERY_S
            remaining_s = max(0.0, self._ended_until - now)
            out.append(
                commands.Resign(zone=self.zone, term=self.term, remaining_s=remaining_s)
            )

    # Decisions.

    def _act(self, now, out):
        if self._configuration is None:
            return
        self._adopt(now)
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

    def _adopt(self, now):
        for name, server in self._own.items():
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
        if state.stale and not busy and now >= state.read_at:
            state.reading = True
            state.read_at = now + READ_RETRY_S
            out.append(commands.ReadDocument(service=service))

    def _store(self, state, revision, document, now, out):
        """Takes a document from the store."""
        if state.stored is not None and revision < state.stored.revision:
            return
        state.stored = StoredDocument(revision=revision, document=document)
        state.plan_at = now
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
            n for by in state.stored.moving_by_owner.values() for n in by
        )
        state.pending = {n: p for n, p in state.pending.items() if n in moving}
        if not moving <= state.moving_known or not state.moving_known:
            self._book.require(document.service, document.version)
        state.moving_known = moving

    def _wanted(self, service, state, name):
        """Returns (epoch per partition name, digest) that a server should hold."""
        known = state.digests.get(name)
        if known is not None:
            return known
        # A write that may yet take effect must not meet a grant of the old owner.
        leaving = {n for write in state.writes for n in write.changes}
        wanted = {
            partition_name(service, number): epoch
            for number, epoch in state.stored.active_by_owner.get(name, {}).items()
            if number not in leaving
        }
        state.digests[name] = wanted, grants_digest(wanted)
        return state.digests[name]

    def _call_servers(self, now, out):
        for name, resource in self._own.items():
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
        """Asks earlier holders whose resignation was not received."""
        if now < self._ask_at:
            return
        self._ask_at = now + RESIGN_EVERY_S
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
