"""Plans a controller's writes of ownership documents."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.errors import invariant
from briarspoke.ownership import commands, placement
from briarspoke.ownership.document import Authority, OwnershipDocument, Partition, State
from briarspoke.ownership.handoff import Handoff, PendingMove, ServerView
from briarspoke.ownership.index import StoredDocument, partition_name
from briarspoke.ownership.service_state import Write
from briarspoke.ownership.timing import MAX_CLOCK_RATIO, TRANSIT_S, UNREACHABLE_AFTER_S

BALANCE_EVERY_S = 5.0
# A longer chain of earlier terms is shortened by a write of its own.
MAX_CHAIN_LENGTH = 4

WRITE_WITHOUT_TERM = codes.register(
    7102,
    "write-without-term",
    codes.Kind.INTERNAL,
    500,
    "A controller would change a document that contains a newer term.",
)


class Planning:
    """Mixin of :class:`ZoneController` that plans the writes of documents."""

    __slots__ = ()

    def _plan(self, service, state, now, out):
        if state.stale or state.write_in_flight:
            return
        if now < max(state.next_plan_at, state.next_write_at):
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
            elif self._is_stable(declared, state, now):
                state.next_plan_at = self._next_plan_at(declared, state)

    def _is_stable(self, service, state, now):
        """Returns whether only a failure or load imbalance can require a change."""
        chain = state.stored.document.authorities_by_zone[self.zone]
        if state.stored.unowned or len(chain) > MAX_CHAIN_LENGTH:
            return False
        owners = state.stored.owners()
        return not any(
            name in owners
            and (
                name in state.stored.moving_by_owner
                or name in self._removed_servers
                or not self._accepts_requests(server)
                or self._is_suspect(name, now)
            )
            for name, server in self._zone_servers_by_service.get(
                service.name, {}
            ).items()
        )

    def _is_suspect(self, name, now):
        if name in self._probes:
            return self._probes[name].is_unreachable(now) or self._is_terminated(
                name, now
            )
        return not self._servers[name].ever_accepted or self._servers[
            name
        ].is_unreachable(now)

    def _next_plan_at(self, service, state):
        """Returns when an owner could become unreachable or balancing is due."""
        owners = state.stored.owners()
        times = [state.next_balance_at] if self.balance else []
        for name in self._zone_servers_by_service.get(service.name, ()):
            if name in owners and name in self._probes:
                times.append(self._probes[name].reachable_at + UNREACHABLE_AFTER_S)
            elif name in owners:
                times.append(self._servers[name].last_answer_at + UNREACHABLE_AFTER_S)
        return min(times, default=0.0)

    def _create(self, service, state, now, out):
        servers = self._configuration.servers_of(service.name)
        active = [s for s in servers if self._accepts_requests(s)] or servers
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
            for name, server in self._zone_servers_by_service.get(
                service.name, {}
            ).items()
        }
        changes_due = state.stored.unowned or any(
            view.grants_expired
            or view.leaving
            or view.unreachable
            or view.server.name in state.stored.moving_by_owner
            for view in views.values()
        )
        if not changes_due and now < state.next_balance_at:
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
        if not changes and self.balance and now >= state.next_balance_at:
            state.next_balance_at = now + BALANCE_EVERY_S
            changes = self._balance(state, views, costs, targets, now)
        return changes

    def _view(self, service, state, name, server, now):
        leaving = name in self._removed_servers or not self._accepts_requests(server)
        if name in self._probes:
            probe = self._probes[name]
            released = self._released_unfenced(service, state, name, now)
            return ServerView(
                server=server,
                fenced=False,
                grants_expired=False,
                unreachable=probe.is_unreachable(now) or self._is_terminated(name, now),
                leaving=leaving,
                released=released,
            )
        grants = self._servers[name]
        return ServerView(
            server=server,
            fenced=True,
            grants_expired=self._grants_expired(state, grants, now),
            unreachable=not grants.ever_accepted or grants.is_unreachable(now),
            leaving=leaving,
            released=grants.released,
        )

    def _is_terminated(self, name, now):
        """Returns whether a server is terminated and its grants have expired."""
        expire_at = self._predecessors.server_grants_expire_at(name)
        return expire_at is not None and now >= expire_at

    def _grants_expired(self, state, grants, now):
        """Returns whether an unreachable server surely holds no grant of any term."""
        if grants.ever_accepted:
            return grants.all_expired(now)
        if not grants.is_unreachable(now):
            return False
        return self._is_terminated(grants.name, now) or self._predecessors_expired(
            state, now
        )

    def _predecessors_expired(self, state, now, extra_s=0.0):
        return not self._unsettled_predecessors(state, now, extra_s)

    def _unsettled_predecessors(self, state, now, extra_s):
        """Returns the earlier terms whose grants may not have expired yet."""
        chain = state.stored.document.authorities_by_zone.get(self.zone, ())
        return self._predecessors.unsettled(
            [authority for authority in chain if authority.term != self.term],
            self._vacated_at,
            now,
            extra_s=extra_s,
        )

    def _max_overrun_s(self, service):
        """Returns for how many seconds a request may run after its routing lease."""
        if service.fenced:
            return 0.0
        max_deadline_s = (
            max(policy.deadline_ms for policy in service.ranks.values()) / 1000
        )
        return max_deadline_s * MAX_CLOCK_RATIO + TRANSIT_S

    def _released_unfenced(self, service, state, name, now):
        moving = state.stored.moving_by_owner.get(name)
        if not moving:
            return frozenset()
        # Routing leases of earlier terms and the requests under them are unknown.
        if not self._predecessors_expired(state, now, self._max_overrun_s(service)):
            return frozenset()
        version = self._routing_leases.min_version_by_service.get(service.name, 0)
        names = (partition_name(service.name, number) for number in moving)
        return frozenset(
            n
            for n in names
            if self._routing_leases.released(service.name, n, version, now)
        )

    def _accepts_requests(self, server):
        zone = self._configuration.zones_by_name.get(server.zone)
        return server.state == "active" and not (zone is not None and zone.evacuated)

    def _targets(self, service, state, views):
        owners = state.stored.owners()
        usable, fallback = [], []
        for server in self._configuration.servers_of(service.name):
            if not self._accepts_requests(server):
                continue
            view = views.get(server.name)
            if view is not None:
                answers = view.unreachable is False
                if view.fenced:
                    answers = answers and self._servers[server.name].trusted
                if answers:
                    usable.append(server)
            elif server.name in owners and (
                not self._zones_alive or server.zone in self._zones_alive
            ):
                usable.append(server)
            else:
                fallback.append(server)
        return placement.interleaved(usable or fallback)

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
            state.pending[move.partition] = PendingMove(target=move.target, since=now)
        return {
            move.partition: Partition(
                owner=move.source,
                epoch=document.partitions[move.partition].epoch,
                state=State.MOVING,
            )
            for move in moves
        }

    def _needs_chain_write(self, service, state, now):
        chain = state.stored.document.authorities_by_zone[self.zone]
        if chain[-1].move_after_s != service.on_isolation.move_after_s:
            return True
        return len(chain) > MAX_CHAIN_LENGTH and len(
            self._chain(service, state, now)
        ) < len(chain)

    def _chain(self, service, state, now):
        """Returns the authorities to store, with that of this term last."""
        current = Authority(
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
                state, now, self._max_overrun_s(service)
            )
        return (*earlier, current)

    def _all_fenced(self, service):
        """Returns whether every owning server of the zone refuses earlier terms."""
        owners = self._states[service].stored.owners()
        return all(
            self._servers[name].ever_accepted
            for name in self._zone_servers_by_service.get(service, ())
            if name in owners
        )

    def _write(self, service, state, changes, now, out):
        document = state.stored.document
        invariant(
            document.term_of(self.zone) <= self.term,
            f"{service.name}: stored term {document.term_of(self.zone)} > {self.term}",
            WRITE_WITHOUT_TERM,
        )
        self._write_count += 1
        write_id = f"{self.node_id}-{self.term}-{self._write_count}"
        new = document.with_changes(
            changes, write_id, zone=self.zone, chain=self._chain(service, state, now)
        )
        reassigned = {
            n for n, p in changes.items() if p.owner != document.partitions[n].owner
        }
        for number, partition in changes.items():
            if partition.state is State.MOVING and number not in state.pending:
                state.pending[number] = PendingMove(target=None, since=now)
            if number in reassigned:
                self._count("assignments")
        state.writes.append(
            Write(
                write_id=write_id,
                document=new,
                expected_revision=state.stored.revision,
                reassigned=reassigned,
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
