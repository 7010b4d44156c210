"""Assigns the key ranges of one service to servers and writes its key map."""

from __future__ import annotations

import logging

from briarspoke.errors import BriarspokeError, invariant
from briarspoke.keyspace import demand, placement
from briarspoke.keyspace.allowance import Admission, Allowances
from briarspoke.keyspace.confirmation import OwnerConfirmation
from briarspoke.keyspace.evacuation import ACCEPTANCE_WAIT_S, ZoneMoves
from briarspoke.keyspace.granter import Granter
from briarspoke.keyspace.keymap import KEY_COUNT, UNOWNED, KeyMap, Owner
from briarspoke.keyspace.moves import Move, MoveState
from briarspoke.keyspace.ranges import subtract_ranges
from briarspoke.keyspace.releases import RangeReleaser
from briarspoke.keyspace.tokens import FencingTokens
from briarspoke.platform.keyvalue import ConditionFailedError

log = logging.getLogger(__name__)

# Delay before a failed write of the key map is retried.
WRITE_RETRY_S = 0.4
# Moves that end within this time share one write, since each write costs a call here
# and one at every entry VM that watches the map.
MIN_WRITE_INTERVAL_S = 0.2
# Interval between checks for an imbalance of load.
REBALANCE_INTERVAL_S = 0.3
# Interval between two plans of how many requests for overloaded owners are admitted.
ALLOWANCE_INTERVAL_S = 0.5
# Reason for the write of the first key map of a service, for the log.
FIRST_MAP = "first map"
# Reason for the first write of a term, for the log.
NEW_TERM_MAP = "new term"
# Era of a store that has never been restored.
FIRST_ERA = 1
# Reason for the first write after the store was restored, for the log.
RESTORED_MAP = "restored store"
# Each move in progress needs a release, a write and a grant.
MAX_CONCURRENT_MOVES = 20
# The first map is written once the number of usable servers has not changed for
# this long.
FIRST_MAP_SETTLE_S = 1.0


class KeyRangeManager:
    """Assigns the key ranges of one service while this process is the controller.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param leadership: the :class:`briarspoke.keyspace.leadership.Leadership`.
    :param service: name of the service.
    :param deputies: the :class:`briarspoke.keyspace.deputies.Deputies` of the term.
    :param former: the manager of the service in the term that this process had when the
        store was restored, or None.
    :ivar granter: the :class:`briarspoke.keyspace.granter.Granter` of the term.
    :ivar full_owners: identifiers of the servers that have no free capacity, or None
        while that is not known; determined at ``full_owners_at``.
    :ivar moves: the :class:`briarspoke.keyspace.moves.Move` objects in progress.
    """

    def __init__(self, *, node, leadership, service, deputies, former=None):
        self.service = service
        self.moves = []
        self._node = node
        self._leadership = leadership
        self._deputies = deputies
        self._term = leadership.term
        # The tokens of this term, once they are in the store.
        self._tokens = None
        self.granter = Granter(
            node=node,
            leadership=leadership,
            service=service,
            issue_fence=self._issue_fence_of_call,
            on_answer=self._grant_answered,
            on_other_server=self._other_server_answered,
        )
        self._former_granter = None
        if former is not None and former.has_written_map:
            self._former_granter = former.granter
        self._confirmation = None
        self._announcements = []
        self.full_owners = None
        self.full_owners_at = 0.0
        self._zone_moves = ZoneMoves(node=node, service=service)
        self._allowances = Allowances()
        self._admission = Admission(by_key={}, by_server={})
        self._plan_allowances_at = 0.0
        self._fence_raised = False
        self._writing = False
        self._written_at = 0.0
        self._started_at = node.now()
        self._rebalance_at = 0.0
        # Time of the first map with the tokens of this term.
        self._term_map_at = 0.0
        self._usable_count = 0
        self._usable_count_since = self._started_at
        self._releaser = RangeReleaser(
            node=node,
            service=service,
            granter=self.granter,
            previous_grants_expire_at=leadership.previous_grants_expire_at,
            on_release=self._announce_release,
            on_other_server=self._other_server_answered,
        )

    @property
    def has_written_map(self):
        """Whether the map has tokens of this term, so that grants may be sent."""
        return self._fence_raised

    def _issue_fence_of_call(self):
        return self._tokens.issue_for_call()

    @property
    def _map(self):
        return self._node.key_maps.by_service.get(self.service)

    def _records(self):
        """Returns ``{server_instance: ServerRecord}`` of servers that may own keys."""
        return {
            server.record.server_instance: server.record
            for server in self._node.dispatcher(self.service).servers.values()
            if not server.replaced
        }

    def tick(self, now):
        """Starts, advances and finishes moves, and renews grants.

        Called several times a second.

        :param now: current time of the node's clock, in seconds.
        """
        records = self._records()
        for record in records.values():
            self.granter.client(record)
        if self._map is None:
            self._write_first_map(records, now)
            return
        if not self._fence_raised:
            self._write_map_of_term()
            return
        if self._tokens.is_used_up:
            self._leadership.step_down("its fencing tokens are used up")
            return
        self._start_moves(records, now)
        for move in self.moves:
            self._releaser.advance(move, self._map, records)
        self._send_announcements()
        self._finish_moves(records, now)
        if now >= self._plan_allowances_at:
            self._plan_allowances_at = now + ALLOWANCE_INTERVAL_S
            self._plan_allowances(records, now)
        moving = [(move.first, move.last) for move in self.moves]
        self.granter.renew(self._map, records, moving, now)

    def _write_map_of_term(self):
        if self._map.era in (None, self._term.era):
            self._write(self._map, [], NEW_TERM_MAP)
            return
        # The owners that the map in the store names may be those of a while ago.
        inherited = self._leadership.inherited
        if self._confirmation is None and inherited is None:
            uncertain = self._node.known_maps.uncertain_ranges(
                self.service, self._term.era
            )
            if uncertain is not None:
                log.info(
                    "keys: owners known since the restore service=%s uncertain=%d",
                    self.service,
                    len(uncertain),
                )
                self._write(self._map.without_owners(uncertain), [], RESTORED_MAP)
                return
        if self._confirmation is None:
            self._confirmation = OwnerConfirmation(
                node=self._node,
                key_map=self._map,
                granter=self._former_granter if inherited else None,
                only_same_process=inherited is None or inherited.was_replaceable,
            )
        if self._confirmation.is_complete:
            self._write(self._confirmation.confirmed_map(), [], RESTORED_MAP)

    def _write_first_map(self, records, now):
        settled_at = self._releaser.previous_grants_expire_at
        if self._term.era > FIRST_ERA and now < settled_at:
            # The store may have been restored from a copy that is older than the map.
            return
        usable_instances = sorted(
            r.server_instance for r in records.values() if self._zone_moves.may_own(r)
        )
        if len(usable_instances) != self._usable_count:
            self._usable_count = len(usable_instances)
            self._usable_count_since = now
        if not usable_instances or now - self._usable_count_since < FIRST_MAP_SETTLE_S:
            return
        candidates = [
            self._candidate(records[server_instance])
            for server_instance in usable_instances
        ]
        self._write(placement.initial_map(candidates, 1), [], FIRST_MAP)

    def _candidate(self, record):
        known_s = self._node.load_estimate(self.service).service_s(record.server_id)
        server = self._node.dispatcher(self.service).servers[record.server_id]
        return placement.Candidate(
            server_instance=record.server_instance,
            slots=record.slots,
            latency_s=known_s or server.latency_s,
            limit_per_s=server.limit.per_s,
            keeps_keys=server.limit.keeps_keys(self._node.now()),
        )

    def _start_moves(self, records, now):
        moving = [(move.first, move.last) for move in self.moves]
        for first, last, owner in self._map.ranges():
            record = records.get(owner.server_instance)
            if record is not None and not record.draining:
                continue
            if owner.server_id == UNOWNED:
                reason = "unowned"
            else:
                reason = "gone" if record is None else "draining"
            if reason == "draining" and not self._may_be_released(
                owner, first, last, now
            ):
                continue
            for piece in subtract_ranges(first, last, moving):
                self._start_move(*piece, owner, None, reason)
        # Without the store, a released range stays without an owner.
        may_move = self._node.view.reachable and not self._leadership.has_lost_store(
            now
        )
        if may_move:
            self._start_evacuation(records, now)
        free_moves = MAX_CONCURRENT_MOVES - len(self.moves)
        if free_moves > 0 and may_move and now >= self._rebalance_at:
            self._rebalance_at = now + REBALANCE_INTERVAL_S
            self._rebalance(records, now, free_moves)

    def _may_be_released(self, owner, first, last, now):
        """Returns whether an owner may be asked to release keys.

        In a new term it first gets time to accept a grant of that term, since a release
        before that does not end its ownership.
        """
        return now >= self._term_map_at + ACCEPTANCE_WAIT_S or self._releaser.is_final(
            owner, first, last
        )

    def _start_evacuation(self, records, now):
        transfers = self._zone_moves.transfers(
            self._map,
            records,
            lambda: self._usable_candidates(records),
            self.moves,
            now,
            is_final=self._releaser.is_final,
        )
        for transfer in transfers:
            owner = self._map.owner(transfer.first)
            self._start_move(
                transfer.first, transfer.last, owner, transfer.to, "evacuated"
            )

    def _rebalance(self, records, now, free_moves):
        candidates = self._usable_candidates(records)
        estimate = self._node.load_estimate(self.service)
        estimate.decay(now)
        placement.assign_load(self._map, candidates, estimate.rate_by_bucket)
        estimate.update_service_times(
            {c.server_instance[0]: c.utilisation for c in candidates},
            self._node.dispatcher(self.service).expected_latency_s(),
        )
        moving = [(move.first, move.last, move.next_owner) for move in self.moves]
        urgent = any(move.state is not MoveState.EXPIRING for move in self.moves)
        transfers = placement.rebalance(
            self._map,
            candidates,
            estimate.rate_by_bucket,
            moving,
            urgent=urgent,
            averaging_s=estimate.averaging_s(now),
        )
        even = []
        if not urgent:
            moving += [(t.first, t.last, t.to) for t in transfers]
            even = placement.even_out(
                self._map,
                candidates,
                estimate.steady_rate_by_bucket,
                moving,
                averaging_s=estimate.steady_averaging_s(now),
            )
        planned = [(t, "load") for t in transfers] + [(t, "speed") for t in even]
        for transfer, reason in planned[:free_moves]:
            owner = self._map.owner(transfer.first)
            self._start_move(transfer.first, transfer.last, owner, transfer.to, reason)

    def _plan_allowances(self, records, now):
        """Announces which fractions of the requests for hot keys are admitted."""
        estimate = self._node.load_estimate(self.service)
        estimate.decay(now)
        candidates = self._usable_candidates(records)
        ranges_by_instance = placement.assign_load(
            self._map, candidates, estimate.rate_by_bucket
        )
        rates_by_instance = {
            candidate.server_instance: {
                bucket * placement.KEYS_PER_BUCKET: rate
                for _, _, rates in ranges_by_instance.get(candidate.server_instance, ())
                for bucket, rate in rates
            }
            for candidate in candidates
        }
        recent_by_server = estimate.take_recent_answers()
        self.full_owners = demand.full_owners(
            records, candidates, recent_by_server, estimate.age_s(now)
        )
        self.full_owners_at = now
        before, admission = (
            self._admission,
            self._allowances.plan(candidates, rates_by_instance, recent_by_server),
        )
        self._admission = admission
        if not before and not admission:
            return
        self._node.announce_allowances(self.service, admission)
        if (
            before.by_key.keys() != admission.by_key.keys()
            or before.by_server.keys() != admission.by_server.keys()
        ):
            log.info(
                "keys: limited service=%s keys=%s admitted_percent=%s servers=%s "
                "others_admitted_percent=%s",
                self.service,
                *_format_fractions(admission.by_key),
                *_format_fractions(admission.by_server),
            )

    def _usable_candidates(self, records):
        usable = [
            record
            for _, record in sorted(records.items())
            if self._zone_moves.may_own(record)
        ]
        # A server without keys gets no grant that would show that it is back.
        reachable = [r for r in usable if self.granter.client(r).reachable]
        return [self._candidate(record) for record in reachable or usable]

    def _start_move(self, first, last, owner, to, reason):
        invariant(
            all(move.last < first or move.first > last for move in self.moves),
            f"keys {first}-{last} move twice at the same time",
        )
        self.moves.append(
            Move(first=first, last=last, owner=owner, to=to, reason=reason)
        )
        log.info(
            "keys: move begins service=%s keys=%d-%d from=%s to=%s reason=%s",
            self.service,
            first,
            last,
            owner.server_id,
            to[0] if to else "-",
            reason,
        )

    def _announce_release(self, move):
        unowned = Owner(server_id=UNOWNED, incarnation=0, fence=move.owner.fence)
        self._announcements.append((move.first, move.last, unowned))

    def _send_announcements(self):
        """Announces releases and new owners, so that requests follow them."""
        changes, self._announcements = self._announcements, []
        if changes:
            self._node.announce_owners(self.service, changes)

    def _address_by_instance(self, owners):
        known = dict(self._map.address_by_instance) if self._map else {}
        for owner in owners:
            client = self.granter.known_client(owner.server_instance)
            if client is not None:
                known[owner.server_instance] = (client.record.host, client.record.port)
        instances = {owner.server_instance for owner in owners}
        return {i: address for i, address in known.items() if i in instances}

    def _finish_moves(self, records, now):
        ready = [
            move
            for move in self.moves
            if move.state is MoveState.READY
            and self._deputies.may_change(self.service, move.first, move.last, now)
        ]
        if not ready or self._writing or now < self._written_at + MIN_WRITE_INTERVAL_S:
            return
        candidates = self._usable_candidates(records)
        if not candidates:
            return
        estimate = self._node.load_estimate(self.service)
        placement.assign_load(self._map, candidates, estimate.rate_by_bucket)
        by_instance = {candidate.server_instance: candidate for candidate in candidates}
        total_load = sum(estimate.rate_by_bucket.values())
        ready = self._without_lost_heirs(ready, by_instance)
        if not ready:
            return
        fence = self._tokens.issue_for_map()
        changes = []
        for move in ready:
            candidate = by_instance.get(move.next_owner)
            if candidate is None:
                candidate = placement.least_utilised(candidates)
            load = _load_of_range(estimate.rate_by_bucket, move.first, move.last)
            log.info(
                "keys: move ends service=%s keys=%d-%d from=%s to=%s state=%s "
                "requests_per_s=%d busy_percent=%d service_ms=%d",
                self.service,
                move.first,
                move.last,
                move.owner.server_id,
                candidate.server_instance[0],
                move.end.value,
                load,
                candidate.utilisation * 100,
                candidate.latency_s * 1000,
            )
            # Ranges without known load count by their width, so that one server does
            # not get all of them.
            share = (move.last - move.first + 1) / KEY_COUNT
            candidate.load += max(load, share * total_load)
            owner = Owner(
                server_id=candidate.server_instance[0],
                incarnation=candidate.server_instance[1],
                fence=fence,
            )
            changes.append((move.first, move.last, owner))
        self._write(self._map.with_owner(changes), ready, "moves", changes)

    def _without_lost_heirs(self, ready, candidates_by_instance):
        """Returns the moves that can end now; others start again at their heirs.

        An heir that is no candidate any more, for example because it drains by now, may
        still hold the range.
        """
        lost = [
            move
            for move in ready
            if move.heir is not None and move.heir not in candidates_by_instance
        ]
        for move in lost:
            move.move_from_heir(self._map.owner(move.first).fence)
        return [move for move in ready if move not in lost]

    def _write(self, key_map, moves, reason, changes=()):
        if self._writing:
            return
        replaced = self._map
        if not self._fence_raised:
            self._tokens = FencingTokens(
                highest=key_map.highest_fence, era=self._term.era
            )
            fence = self._tokens.issue_for_map()
            owners = [
                Owner(server_id=o.server_id, incarnation=o.incarnation, fence=fence)
                for o in key_map.owners
            ]
            key_map = KeyMap(starts=list(key_map.starts), owners=owners)
        key_map.address_by_instance = self._address_by_instance(key_map.owners)
        self._writing = True
        self._node.spawn(self._store_map(key_map, moves, reason, changes, replaced))

    async def _store_map(self, key_map, moves, reason, changes, replaced):
        try:
            await self._write_once(key_map, moves, reason, changes, replaced)
        finally:
            self._writing = False

    async def _write_once(self, key_map, moves, reason, changes, replaced):
        try:
            await self._node.write_key_map(self.service, key_map, self._term)
        except ConditionFailedError:
            # The store view will receive the newer map or the new controller's record.
            self._leadership.record_changed()
            await self._node.sleep(WRITE_RETRY_S)
            return
        except BriarspokeError as error:
            log.warning(
                "keys: cannot write service=%s error=%r", self.service, str(error)
            )
            await self._node.sleep(WRITE_RETRY_S)
            return
        if self._leadership.term is not self._term:
            return
        if reason == FIRST_MAP:
            # Without a map, no earlier controller has sent a grant.
            self._releaser.previous_grants_expire_at = self._node.now()
        now = self._written_at = self._node.now()
        if not self._fence_raised:
            self._fence_raised = True
            self._term_map_at = now
            if reason == NEW_TERM_MAP:
                self._deputies.replaced_map(self.service, replaced.writer)
            if reason != FIRST_MAP:
                # Moves for load wait for the same reason as those of draining owners.
                self._rebalance_at = now + ACCEPTANCE_WAIT_S
        log.info(
            "keys: map written service=%s ranges=%d fence=%d reason=%s",
            self.service,
            len(key_map.starts),
            key_map.highest_fence,
            reason,
        )
        for move in moves:
            self.moves.remove(move)
            self._deputies.changed(self.service, move.first, move.last)
        for first, last, owner in changes:
            handover = next(
                (m.handover for m in moves if m.first == first and m.last == last), None
            )
            client = self.granter.known_client(owner.server_instance)
            if client is not None:
                self.granter.send(client, first, last, owner, handover)
        if changes:
            self.granter.map_changed(key_map, now)
        self._node.wake_control()

    def _grant_answered(self, sent, owner, *, accepted, first):
        """Handles a server's answer to a grant.

        :param first: True for the grant that gives the range, False for a renewal.
        """
        if not self._is_current(sent, owner):
            return
        if not accepted:
            # Only another controller can have issued a higher token.
            self._leadership.step_down(f"{owner.server_id} has seen a higher token")
        elif first:
            self._announcements.append((sent.first, sent.last, owner))
            self._node.wake_control()

    def _other_server_answered(self, record, answering_id):
        """Stops using a server at whose address another server has answered."""
        server = self._node.dispatcher(self.service).servers.get(record.server_id)
        if server is not None and server.record.server_instance == (
            record.server_instance
        ):
            server.replaced = True
            self._node.server_replaced(record, answering_id)

    def _is_current(self, sent, owner):
        """Returns whether the map still has the owner and token of a grant."""
        key_map = self._map
        if key_map is None or self._leadership.term is not self._term:
            return False
        current = key_map.owner(sent.first)
        return (
            current.server_instance == owner.server_instance
            and current.fence == owner.fence
        )


def _load_of_range(rate_by_bucket, first, last):
    low = first // placement.KEYS_PER_BUCKET
    high = last // placement.KEYS_PER_BUCKET
    return sum(rate for b, rate in rate_by_bucket.items() if low <= b <= high)


def _format_fractions(fraction_by_name):
    """Returns the names and the percentages as texts for log lines."""
    if not fraction_by_name:
        return "-", "-"
    return (
        ",".join(str(name) for name in fraction_by_name),
        ",".join(f"{100 * fraction:.0f}" for fraction in fraction_by_name.values()),
    )
