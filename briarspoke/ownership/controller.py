"""The decisions of one availability zone's controller."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.errors import invariant
from briarspoke.ownership import commands, events, placement
from briarspoke.ownership.document import Authority, OwnershipDocument, Partition, State
from briarspoke.ownership.grants import ServerGrants, grants_digest
from briarspoke.ownership.handoff import Handoff, Pending, ServerView
from briarspoke.ownership.index import StoredDocument, partition_name
from briarspoke.ownership.routing_leases import RoutingLeaseBook
from briarspoke.ownership.takeover import Predecessors
from briarspoke.ownership.timing import (
    AUTHORITY_S,
    CLOCK_RATE,
    GRANT_WAIT_S,
    RENEW_EVERY_S,
    RESIGN_EVERY_S,
    RESIGN_TIMES,
    SILENT_AFTER_S,
    TRANSIT_S,
)

log = logging.getLogger(__name__)

READ_RETRY_S = 0.1
WRITE_RETRY_S = 0.1
BALANCE_EVERY_S = 5.0
# The VM list is passed in several times a second, mostly unchanged.
PLAN_AFTER_NEWS_S = 0.5
# A longer chain of earlier terms is cut down by a write of its own.
CHAIN_KEPT = 4

WRITE_WITHOUT_TERM = codes.register(
    7102,
    "write-without-term",
    codes.Kind.INTERNAL,
    500,
    "A controller would change a document that carries another term.",
)

_handlers = {}


def _handles(event_class):
    def decorate(method):
        _handlers[event_class] = method
        return method

    return decorate


class _Write:
    """A compare-and-swap whose outcome is not settled."""

    __slots__ = ("changes", "document", "expected_revision", "in_flight", "write_id")

    def __init__(self, *, write_id, document, expected_revision, changes):
        self.write_id = write_id
        self.document = document
        self.expected_revision = expected_revision
        self.changes = changes
        self.in_flight = True


class _Probed:
    """An unfenced server."""

    __slots__ = ("due_at", "in_flight", "reachable_at", "reported_silent")

    def __init__(self, *, known_since):
        self.due_at = known_since
        self.in_flight = False
        self.reachable_at = known_since
        self.reported_silent = False

    def is_silent(self, now):
        return now - self.reachable_at >= SILENT_AFTER_S


class _ServiceState:
    """What the controller knows of one service's document."""

    __slots__ = (
        "balance_at",
        "digests",
        "moved_at",
        "moving_known",
        "newest_version",
        "pending",
        "plan_at",
        "read_at",
        "reading",
        "stale",
        "stored",
        "write_at",
        "writes",
    )

    def __init__(self):
        self.stored = None
        # True until the store is read back after an unsettled write.
        self.stale = True
        self.moving_known = frozenset()
        self.reading = False
        self.read_at = 0.0
        self.write_at = 0.0
        self.balance_at = 0.0
        # No change can be due earlier unless an event resets this.
        self.plan_at = 0.0
        self.newest_version = 0
        self.writes = []
        self.pending = {}
        self.moved_at = {}
        self.digests = {}

    @property
    def write_in_flight(self):
        return any(write.in_flight for write in self.writes)


class ZoneController:
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
        self._book = RoutingLeaseBook()

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
        for state in self._states.values():
            state.plan_at = now

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

    def moves_from(self, server_name):
        """Returns whether partitions of a server are ``moving``."""
        return any(
            state.stored is not None and server_name in state.stored.moving_by_owner
            for state in self._states.values()
        )

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
                self._states[server.service] = _ServiceState()
            if self._is_fenced(server.service):
                if name not in self._servers:
                    self._servers[name] = ServerGrants(name=name, known_since=now)
            elif name not in self._probes:
                self._probes[name] = _Probed(known_since=now)

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
            renew = not server.is_silent(now) and self._may_renew(
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

    # Planning of writes.

    def _plan(self, service, state, now, out):
        if state.stale or state.write_in_flight:
            return
        if now < max(state.plan_at, state.write_at):
            return
        declared = self._configuration.services_by_name.get(service)
        if declared is None or not self._confirmed(now):
            return
        if state.stored.document is None:
            self._create(declared, state, now, out)
        elif not self._has_barrier(state):
            self._count("barriers")
            self._write(declared, state, {}, now, out)
        else:
            changes = self._changes(declared, state, now)
            if changes or state.writes or self._needs_chain_write(declared, state, now):
                self._write(declared, state, changes, now, out)
            elif self._is_settled(declared, state, now):
                state.plan_at = self._next_plan_at(declared, state)

    def _is_settled(self, service, state, now):
        """Whether only a silent server or the balance can call for a change."""
        chain = state.stored.document.authorities_by_zone[self.zone]
        if state.stored.unowned or len(chain) > CHAIN_KEPT:
            return False
        owners = state.stored.owners()
        return not any(
            name in owners
            and (
                name in state.stored.moving_by_owner
                or name in self._retired
                or not self._takes_work(server)
                or self._is_doubtful(name, now)
            )
            for name, server in self._own_by_service.get(service.name, {}).items()
        )

    def _is_doubtful(self, name, now):
        if name in self._probes:
            return self._probes[name].is_silent(now) or self._is_terminated(name, now)
        return not self._servers[name].met or self._servers[name].is_silent(now)

    def _next_plan_at(self, service, state):
        """Returns when the first owner would be silent or the balance is due."""
        owners = state.stored.owners()
        times = [state.balance_at] if self.balance else []
        for name in self._own_by_service.get(service.name, ()):
            if name in owners and name in self._probes:
                times.append(self._probes[name].reachable_at + SILENT_AFTER_S)
            elif name in owners:
                times.append(self._servers[name].last_answer_at + SILENT_AFTER_S)
        return min(times, default=0.0)

    def _create(self, service, state, now, out):
        servers = self._configuration.servers_of(service.name)
        active = [s for s in servers if self._takes_work(s)] or servers
        costs = self._loads.costs(service.name, service.partitions)
        chosen = placement.assign(
            range(service.partitions), costs, placement.interleaved(active), {}
        )
        changes = {n: Partition(owner=name, epoch=1) for n, name in chosen.items()}
        state.stored = StoredDocument(
            revision=0,
            document=OwnershipDocument.empty(service.name, service.partitions),
        )
        self._count("created")
        self._write(service, state, changes, now, out)

    def _changes(self, service, state, now):
        views = {
            name: self._view(service, state, name, server, now)
            for name, server in self._own_by_service.get(service.name, {}).items()
        }
        busy = state.stored.unowned or any(
            view.free
            or view.leaving
            or view.silent
            or view.server.name in state.stored.moving_by_owner
            for view in views.values()
        )
        if not busy and now < state.balance_at:
            return {}
        costs = self._loads.costs(service.name, len(state.stored.document.partitions))
        targets = self._targets(service, state, views)
        changes = Handoff(
            service=service,
            stored=state.stored,
            views=views,
            targets=targets,
            pending=state.pending,
            costs=costs,
            now=now,
        ).changes()
        if not changes and self.balance and now >= state.balance_at:
            state.balance_at = now + BALANCE_EVERY_S
            changes = self._balance(state, views, costs, targets, now)
        return changes

    def _view(self, service, state, name, server, now):
        leaving = name in self._retired or not self._takes_work(server)
        if name in self._probes:
            probe = self._probes[name]
            released = self._released_unfenced(service, state, name, now)
            return ServerView(
                server=server,
                fenced=False,
                free=False,
                silent=probe.is_silent(now) or self._is_terminated(name, now),
                leaving=leaving,
                released=released,
            )
        grants = self._servers[name]
        return ServerView(
            server=server,
            fenced=True,
            free=self._is_free(state, grants, now),
            silent=not grants.met or grants.is_silent(now),
            leaving=leaving,
            released=grants.released,
        )

    def _is_terminated(self, name, now):
        free_at = self._predecessors.terminated_free_at(name)
        return free_at is not None and now >= free_at

    def _is_free(self, state, grants, now):
        """Whether a silent server surely holds no grant of any term."""
        if grants.met:
            return grants.is_free(now)
        if not grants.is_silent(now):
            return False
        return self._is_terminated(grants.name, now) or self._predecessors_gone(
            state, now
        )

    def _predecessors_gone(self, state, now, extra_s=0.0):
        return not self._unsettled_predecessors(state, now, extra_s)

    def _unsettled_predecessors(self, state, now, extra_s):
        chain = state.stored.document.authorities_by_zone.get(self.zone, ())
        return self._predecessors.unsettled(
            [authority for authority in chain if authority.term != self.term],
            self._vacated_at,
            now,
            extra_s=extra_s,
        )

    def _longest_use_s(self, service):
        """Returns how long a request may outlast the routing lease it needed."""
        if service.fenced:
            return 0.0
        longest_s = max(policy.deadline_ms for policy in service.ranks.values()) / 1000
        return longest_s * CLOCK_RATE + TRANSIT_S

    def _released_unfenced(self, service, state, name, now):
        moving = state.stored.moving_by_owner.get(name)
        if not moving:
            return frozenset()
        # Leases of earlier terms are unknown, and so are the requests under them.
        if not self._predecessors_gone(state, now, self._longest_use_s(service)):
            return frozenset()
        version = self._book.required_by_service.get(service.name, 0)
        names = (partition_name(service.name, number) for number in moving)
        return frozenset(
            n for n in names if self._book.released(service.name, n, version, now)
        )

    def _takes_work(self, server):
        zone = self._configuration.zones_by_name.get(server.zone)
        return server.state == "active" and not (zone is not None and zone.evacuated)

    def _targets(self, service, state, views):
        owners = state.stored.owners()
        usable, doubtful = [], []
        for server in self._configuration.servers_of(service.name):
            if not self._takes_work(server):
                continue
            view = views.get(server.name)
            if view is not None:
                answers = view.silent is False
                if view.fenced:
                    answers = answers and self._servers[server.name].trusted
                if answers:
                    usable.append(server)
            elif server.name in owners and (
                not self._zones_alive or server.zone in self._zones_alive
            ):
                usable.append(server)
            else:
                doubtful.append(server)
        return placement.interleaved(usable or doubtful)

    def _balance(self, state, views, costs, targets, now):
        if state.stored.moving_by_owner or state.stored.unowned:
            return {}
        document = state.stored.document
        moves = placement.plan_moves(
            [partition.owner for partition in document.partitions],
            costs,
            targets,
            movable_from=frozenset(views),
            may_move=lambda n: (
                now - state.moved_at.get(n, -placement.COOLDOWN_S)
                >= placement.COOLDOWN_S
            ),
            max_moves=self.max_moves,
        )
        for move in moves:
            self._count("balance-moves")
            state.moved_at[move.partition] = now
            state.pending[move.partition] = Pending(target=move.target, since=now)
        return {
            move.partition: Partition(
                owner=move.source,
                epoch=document.partitions[move.partition].epoch,
                state=State.MOVING,
            )
            for move in moves
        }

    # Writing.

    def _needs_chain_write(self, service, state, now):
        chain = state.stored.document.authorities_by_zone[self.zone]
        if chain[-1].move_after_s != service.on_isolation.move_after_s:
            return True
        return len(chain) > CHAIN_KEPT and len(self._chain(service, state, now)) < len(
            chain
        )

    def _chain(self, service, state, now):
        """Returns the authorities to record, this term's last."""
        own = Authority(
            term=self.term,
            node_id=self.node_id,
            incarnation=self.incarnation,
            move_after_s=service.on_isolation.move_after_s,
        )
        chain = state.stored.document.authorities_by_zone.get(self.zone, ())
        if not chain or (service.fenced and self._all_fenced(service.name)):
            earlier = []
        else:
            earlier = self._unsettled_predecessors(
                state, now, self._longest_use_s(service)
            )
        return (*earlier, own)

    def _all_fenced(self, service):
        """Whether every owning server of the zone refuses earlier terms."""
        owners = self._states[service].stored.owners()
        return all(
            self._servers[name].met
            for name in self._own_by_service.get(service, ())
            if name in owners
        )

    def _write(self, service, state, changes, now, out):
        document = state.stored.document
        invariant(
            document.term_of(self.zone) <= self.term,
            f"{service.name}: term {document.term_of(self.zone)} over {self.term}",
            WRITE_WITHOUT_TERM,
        )
        self._write_count += 1
        write_id = f"{self.node_id}-{self.term}-{self._write_count}"
        new = document.with_changes(
            changes, write_id, zone=self.zone, chain=self._chain(service, state, now)
        )
        leaving = {
            n for n, p in changes.items() if p.owner != document.partitions[n].owner
        }
        for number, partition in changes.items():
            if partition.state is State.MOVING and number not in state.pending:
                state.pending[number] = Pending(target=None, since=now)
            if number in leaving:
                self._count("assignments")
        state.writes.append(
            _Write(
                write_id=write_id,
                document=new,
                expected_revision=state.stored.revision,
                changes=leaving,
            )
        )
        state.digests = {}
        out.append(
            commands.WriteDocument(
                service=service.name,
                document=new,
                expected_revision=state.stored.revision,
                write_id=write_id,
            )
        )

    def _count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1
