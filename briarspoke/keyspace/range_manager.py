"""Plans, moves and writes the key ranges of one service."""

from __future__ import annotations

import logging

from briarspoke.errors import BriarspokeError, invariant
from briarspoke.keyspace import placement
from briarspoke.keyspace.granter import HOLD_S, Granter
from briarspoke.keyspace.grantlog import lapse_time
from briarspoke.keyspace.keymap import KEY_COUNT, UNOWNED, Owner
from briarspoke.keyspace.leadership import RENEWAL_WITHOUT_STORE_S, PredecessorEnd
from briarspoke.keyspace.moves import Move, MoveState
from briarspoke.keyspace.ranges import without
from briarspoke.platform import grants
from briarspoke.platform.keyvalue import ConditionFailedError

log = logging.getLogger(__name__)

# A write of the map that failed is tried again after this time.
WRITE_RETRY_S = 0.4
# Moves that end within this time are written together, since each write costs a call
# here and one at each entry VM that watches.
WRITE_GAP_S = 0.2
# Load is looked at this often.
REBALANCE_S = 0.3
# Moves at the same time; each is a release, a write and a grant.
MAX_MOVES_AT_ONCE = 20
# The first map waits until no server has registered for this long.
FIRST_MAP_QUIET_S = 1.0


class KeyRangeManager:
    """Control of the keys of one service while this process leads.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param leadership: the :class:`briarspoke.keyspace.leadership.Leadership`.
    """

    def __init__(self, *, node, leadership, service):
        self.service = service
        self.moves = []
        self._node = node
        self._leadership = leadership
        self._term = leadership.revision
        self._granter = Granter(
            node=node,
            leadership=leadership,
            service=service,
            answered=self._grant_answered,
        )
        self._announcements = []
        self._fenced = False
        self._writing = False
        self._written_at = 0.0
        self._started = node.now()
        self._rebalance_at = 0.0
        self._first_count = 0
        self._first_at = self._started
        # Until then, grants of an earlier controller may still count.
        self._inherited_until = self._inheritance()

    def _inheritance(self):
        end = self._leadership.predecessor
        # Its last calls may still arrive until they would time out.
        arrived_at = self._started + grants.GRANT_TIMEOUT_S
        if end is PredecessorEnd.RESIGNED:
            return lapse_time(arrived_at, HOLD_S)
        if end is PredecessorEnd.RESTARTED:
            return lapse_time(arrived_at, self._node.settings.max_hold_s)
        return lapse_time(arrived_at + RENEWAL_WITHOUT_STORE_S, HOLD_S)

    # The state it works on.

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

    # One round.

    def tick(self, now):
        """Does what is due; called several times a second."""
        records = self._records()
        for record in records.values():
            self._granter.calls(record)
        if self._map is None:
            self._begin(records, now)
            return
        if not self._fenced:
            self._write(self._map, [], "new term")
            return
        self._find_moves(records, now)
        for move in self.moves:
            self._advance(move, records, now)
        self._announce()
        self._finish_moves(records, now)
        moving = [(move.first, move.last) for move in self.moves]
        self._granter.renew(self._map, records, moving, now)

    def _begin(self, records, now):
        usable = sorted(r.server_instance for r in records.values() if not r.draining)
        if len(usable) != self._first_count:
            self._first_count = len(usable)
            self._first_at = now
        if not usable or now - self._first_at < FIRST_MAP_QUIET_S:
            return
        # Without a map no controller has granted anything before.
        self._inherited_until = now
        candidates = [
            self._candidate(records[server_instance]) for server_instance in usable
        ]
        self._write(placement.initial(candidates, 1), [], "first map")

    def _candidate(self, record):
        known_s = self._node.load_estimate(self.service).service_s(record.server_id)
        server = self._node.dispatcher(self.service).servers[record.server_id]
        return placement.Candidate(
            server_instance=record.server_instance,
            slots=record.slots,
            latency_s=known_s or server.latency_s,
        )

    # Moves.

    def _find_moves(self, records, now):
        moving = [(move.first, move.last) for move in self.moves]
        for first, last, owner in self._map.ranges():
            record = records.get(owner.server_instance)
            if record is not None and not record.draining:
                continue
            reason = "gone" if record is None else "draining"
            for piece in without(first, last, moving):
                self._move(*piece, owner, None, reason)
        room = MAX_MOVES_AT_ONCE - len(self.moves)
        if room > 0 and now >= self._rebalance_at:
            self._rebalance_at = now + REBALANCE_S
            self._rebalance(records, now, room)

    def _rebalance(self, records, now, room):
        candidates = self._usable(records)
        estimate = self._node.load_estimate(self.service)
        estimate.decay(now)
        placement.assign_load(self._map, candidates, estimate.rate_by_bucket)
        estimate.learn({c.server_instance[0]: c.busy for c in candidates})
        transfers = placement.rebalance(
            self._map,
            candidates,
            estimate.rate_by_bucket,
            [(move.first, move.last, move.to) for move in self.moves],
            urgent=any(move.state is not MoveState.LAPSING for move in self.moves),
        )
        for transfer in transfers[:room]:
            owner = self._map.owner(transfer.first)
            self._move(transfer.first, transfer.last, owner, transfer.to, "load")

    def _usable(self, records):
        return [
            self._candidate(record)
            for _, record in sorted(records.items())
            if not record.draining and self._granter.calls(record).reachable
        ]

    def _move(self, first, last, owner, to, reason):
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

    def _announce(self):
        """Keeps requests from owners that are being asked to release their keys."""
        changes, self._announcements = self._announcements, []
        if changes:
            self._node.announce_owners(self.service, changes)

    def _advance(self, move, records, now):
        if move.state is MoveState.READY:
            return
        if self._has_ended(move, records):
            move.state = MoveState.READY
            return
        calls = self._granter.known(move.owner.server_instance)
        if move.state is MoveState.QUIET:
            if calls is None:
                # Known from the map alone; where it listens is not known.
                self._let_lapse(move, now)
            elif not calls.log.is_under_way(move.first, move.last, now):
                self._release(move, calls, now)
        elif now >= move.until:
            # Also while a release waits for work that outlasts the grant.
            move.state = MoveState.READY

    def _has_ended(self, move, records):
        """Returns whether nobody can hold the range under the owner's grants.

        Grants go to an address. A new process of the owner at the same address may
        have taken some, so the range may only go to that process at once.
        """
        owner = move.owner
        calls = self._granter.known(owner.server_instance)
        for record in records.values():
            if record.server_id != owner.server_id:
                continue
            if record.incarnation <= owner.incarnation:
                return False
            if calls is not None and (record.host, record.port) != (
                calls.record.host,
                calls.record.port,
            ):
                return True
            if record.draining:
                return False
            move.to = record.server_instance
            return True
        if calls is None:
            return False
        return any(
            (other.host, other.port) == (calls.record.host, calls.record.port)
            for other in self._node.all_records()
            if other.service != self.service
        )

    def _lapses_at(self, move, now):
        # A grant of an earlier controller lasts on beside a later, shorter one.
        until = max(now, self._inherited_until)
        calls = self._granter.known(move.owner.server_instance)
        if calls is not None:
            until = max(until, calls.log.lapses_at(move.first, move.last, now))
        return until

    def _let_lapse(self, move, now):
        move.until = self._lapses_at(move, now)
        move.state = MoveState.LAPSING

    def _release(self, move, calls, now):
        if calls.log.is_uncertain(move.first, move.last, now) or (
            now < self._inherited_until
            and not calls.log.was_accepted(move.first, move.last, now)
        ):
            # A grant without an answer could be applied after the release.
            self._let_lapse(move, now)
            return
        move.state = MoveState.RELEASING
        move.until = self._lapses_at(move, now)
        nobody = Owner(server_id=UNOWNED, incarnation=0, fence=move.owner.fence)
        self._announcements.append((move.first, move.last, nobody))
        self._node.spawn(self._call_release(move, calls))

    async def _call_release(self, move, calls):
        answer = await grants.release(
            calls.http, first=move.first, last=move.last, fence=move.owner.fence
        )
        self._node.metrics.count(
            "grants_total", "released" if answer.accepted else "release-failed"
        )
        now = self._node.now()
        if move.state is not MoveState.RELEASING:
            # The last grant has lapsed meanwhile.
            return
        if answer.accepted:
            move.handover = answer.handover
            move.state = MoveState.READY
            self._node.wake_control()
        else:
            log.info(
                "keys: release failed service=%s server=%s keys=%d-%d reason=%s",
                self.service,
                move.owner.server_id,
                move.first,
                move.last,
                answer.failure or "refused",
            )
            self._let_lapse(move, now)

    def _finish_moves(self, records, now):
        ready = [move for move in self.moves if move.state is MoveState.READY]
        if not ready or self._writing or now < self._written_at + WRITE_GAP_S:
            return
        candidates = self._usable(records)
        if not candidates:
            return
        estimate = self._node.load_estimate(self.service)
        placement.assign_load(self._map, candidates, estimate.rate_by_bucket)
        by_life = {candidate.server_instance: candidate for candidate in candidates}
        total_load = sum(estimate.rate_by_bucket.values())
        fence = self._map.highest_fence + 1
        changes = []
        for move in ready:
            candidate = by_life.get(move.to)
            if candidate is None:
                candidate = placement.least_busy(candidates)
            load = _load(estimate.rate_by_bucket, move.first, move.last)
            log.info(
                "keys: move ends service=%s keys=%d-%d from=%s to=%s state=%s "
                "requests_per_s=%d busy_percent=%d service_ms=%d",
                self.service,
                move.first,
                move.last,
                move.owner.server_id,
                candidate.server_instance[0],
                "released" if move.handover else "lapsed",
                load,
                candidate.busy * 100,
                candidate.latency_s * 1000,
            )
            # Keys without known load still count, so that no server gets all.
            share = (move.last - move.first + 1) / KEY_COUNT
            candidate.load += max(load, share * total_load)
            owner = Owner(
                server_id=candidate.server_instance[0],
                incarnation=candidate.server_instance[1],
                fence=fence,
            )
            changes.append((move.first, move.last, owner))
        self._write(self._map.with_owner(changes), ready, "moves", changes)

    # Writing the map.

    def _write(self, key_map, moves, reason, changes=()):
        if self._writing:
            return
        if not self._fenced:
            fence = key_map.highest_fence + 1
            owners = [
                Owner(server_id=o.server_id, incarnation=o.incarnation, fence=fence)
                for o in key_map.owners
            ]
            key_map = type(key_map)(starts=list(key_map.starts), owners=owners)
        self._writing = True
        self._node.spawn(self._call_write(key_map, moves, reason, changes))

    async def _call_write(self, key_map, moves, reason, changes):
        try:
            await self._node.write_key_map(self.service, key_map, self._term)
        except ConditionFailedError:
            # The view brings the newer map, or another controller.
            self._leadership.record_changed()
            await self._node.sleep(WRITE_RETRY_S)
            self._writing = False
            return
        except BriarspokeError as error:
            log.warning(
                "keys: cannot write service=%s error=%r", self.service, str(error)
            )
            await self._node.sleep(WRITE_RETRY_S)
            self._writing = False
            return
        self._fenced = True
        self._writing = False
        now = self._written_at = self._node.now()
        log.info(
            "keys: map written service=%s ranges=%d fence=%d reason=%s",
            self.service,
            len(key_map.starts),
            key_map.highest_fence,
            reason,
        )
        for move in moves:
            self.moves.remove(move)
        for first, last, owner in changes:
            handover = next(
                (m.handover for m in moves if m.first == first and m.last == last), None
            )
            calls = self._granter.known(owner.server_instance)
            if calls is not None:
                self._granter.send(calls, first, last, owner, handover)
        if changes:
            self._granter.map_changed(key_map, now)
        self._node.wake_control()

    def _grant_answered(self, sent, owner, *, accepted, first):
        """Takes a server's answer to a grant.

        :param first: whether the grant gave the keys, and did not renew them.
        """
        if not self._is_current(sent, owner):
            return
        if not accepted:
            # Only another controller gives higher tokens.
            self._leadership.lose(f"{owner.server_id} has seen a higher token")
        elif first:
            self._announcements.append((sent.first, sent.last, owner))
            self._node.wake_control()

    def _is_current(self, sent, owner):
        """Returns whether the map still says what was granted."""
        key_map = self._map
        if key_map is None or self._leadership.revision != self._term:
            return False
        current = key_map.owner(sent.first)
        return (
            current.server_instance == owner.server_instance
            and current.fence == owner.fence
        )


def _load(rate_by_bucket, first, last):
    low = first // placement.KEYS_PER_BUCKET
    high = last // placement.KEYS_PER_BUCKET
    return sum(rate for b, rate in rate_by_bucket.items() if low <= b <= high)
