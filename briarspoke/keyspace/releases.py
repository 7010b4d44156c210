"""Ends the ownership of moving key ranges: releases, ended owners, expired grants."""

from __future__ import annotations

import logging

from briarspoke.entry.servers import ServerRecord
from briarspoke.keyspace.moves import Move, MoveEnd, MoveState
from briarspoke.platform import grants

log = logging.getLogger(__name__)

# Interval between two releases that only ask whether an owner has ended.
RELEASE_INTERVAL_S = 0.5


class RangeReleaser:
    """Advances moves of one service until their ranges have no owner.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param service: name of the service.
    :param granter: the :class:`briarspoke.keyspace.granter.Granter` of the term.
    :param previous_grants_expire_at: time at which grants of all earlier controllers
        have expired.
    :param on_release: called with a :class:`briarspoke.keyspace.moves.Move` before its
        owner is asked to release the range.
    :param on_other_server: called with (:class:`ServerRecord`, identifier in bytes or
        None) when another server answers at the address of an owner.
    """

    def __init__(
        self,
        *,
        node,
        service,
        granter,
        previous_grants_expire_at,
        on_release,
        on_other_server,
    ):
        self.previous_grants_expire_at = previous_grants_expire_at
        self._node = node
        self._service = service
        self._granter = granter
        self._on_release = on_release
        self._on_other_server = on_other_server

    def advance(self, move, key_map, records):
        """Advances a move.

        :param key_map: the current :class:`briarspoke.keyspace.keymap.KeyMap`.
        :param records: ``{server_instance: ServerRecord}`` of possible owners.
        """
        now = self._node.now()
        if move.state is MoveState.READY:
            return
        if self._finish_with_new_process(move, records):
            return
        client = self._owner_client(move.owner, key_map)
        if move.state is MoveState.AWAITING_CALLS:
            if client is None:
                self._wait_for_expiry(move, now)
            elif not client.log.is_pending(move.first, move.last, now):
                is_registered = move.owner.server_instance in records
                self._release(move, client, now, is_registered=is_registered)
        elif now >= move.grants_expire_at:
            # Also ends a release whose owner is busy for longer than its grant lasts.
            move.finish(MoveEnd.EXPIRED)
        elif (
            move.state is MoveState.EXPIRING
            and client is not None
            and now >= move.release_sent_at + RELEASE_INTERVAL_S
            and self._is_address_reused(client)
        ):
            self._send_release(move, client, now)

    def _finish_with_new_process(self, move, records):
        """Finishes a move if a newer process of its owner's server is registered.

        A newer process at the same address may have accepted grants that were meant for
        the owner. It becomes the heir of the range, unless it drains: then it is asked
        to release the range.

        A registration of another server at the owner's address does not count: it may
        be a late write of a server that has ended.

        :returns: whether the move was finished.
        """
        owner = move.owner
        record = next(
            (r for r in records.values() if r.server_id == owner.server_id), None
        )
        if record is None or record.incarnation <= owner.incarnation:
            return False
        client = self._granter.known_client(owner.server_instance)
        if client is not None and (record.host, record.port) != (
            client.record.host,
            client.record.port,
        ):
            move.finish(MoveEnd.OWNER_ENDED)
            return True
        if record.draining:
            return False
        move.finish(MoveEnd.OWNER_ENDED, heir=record.server_instance)
        return True

    def _owner_client(self, owner, key_map):
        """Returns the client of an owner, or None if its address is unknown.

        An owner that is not registered any more may be known from the map only.
        """
        instance = owner.server_instance
        client = self._granter.known_client(instance)
        address = key_map.address_by_instance.get(instance)
        if client is not None or address is None:
            return client
        record = ServerRecord.of_ended(
            server_instance=instance, service=self._service, address=address
        )
        return self._granter.client(record)

    def _is_address_reused(self, client):
        """Returns whether another server is registered at the address of a server."""
        return any(
            other.server_id != client.record.server_id
            and (other.host, other.port) == (client.record.host, client.record.port)
            for other in self._node.all_records()
        )

    def _wait_for_expiry(self, move, now):
        move.grants_expire_at = self._grants_expire_at(move, now)
        move.state = MoveState.EXPIRING

    def _grants_expire_at(self, move, now):
        # A shorter grant sent later does not shorten a grant of a predecessor.
        grants_expire_at = max(now, self.previous_grants_expire_at)
        client = self._granter.known_client(move.owner.server_instance)
        if client is not None:
            grants_expire_at = max(
                grants_expire_at, client.log.expires_at(move.first, move.last, now)
            )
        return grants_expire_at

    def _may_be_granted_late(self, move, client, now):
        """Returns whether a grant to the owner may arrive after a release."""
        if client.log.is_uncertain(move.first, move.last, now):
            return True
        # A predecessor may renew until the owner has seen a token of this term.
        return now < self.previous_grants_expire_at and not client.log.was_accepted(
            move.first, move.last, move.owner.incarnation, now
        )

    def is_final(self, owner, first, last):
        """Returns whether a release that is sent now ends the ownership of keys.

        Otherwise a grant may arrive after it, and the keys have no owner until all
        grants have expired.

        :param owner: the :class:`briarspoke.keyspace.keymap.Owner` of all the keys.
        """
        client = self._granter.known_client(owner.server_instance)
        move = Move(first=first, last=last, owner=owner, to=None, reason="")
        return client is not None and not self._may_be_granted_late(
            move, client, self._node.now()
        )

    def _release(self, move, client, now, *, is_registered):
        if is_registered and self._may_be_granted_late(move, client, now):
            self._wait_for_expiry(move, now)
            return
        move.state = MoveState.RELEASING
        move.grants_expire_at = self._grants_expire_at(move, now)
        self._on_release(move)
        self._send_release(move, client, now)

    def _send_release(self, move, client, now):
        move.release_sent_at = now
        is_final = not self._may_be_granted_late(move, client, now)
        self._node.spawn(self._request_release(move, client, is_final=is_final))

    async def _request_release(self, move, client, *, is_final):
        """Asks the owner to release the range.

        :param is_final: whether no grant can arrive after the release, so that its
            answer ends the ownership.
        """
        owner = move.owner
        fence = self._granter.issue_fence(client)
        self._node.rate_limits.count_call(self._service, owner.server_instance)
        answer = await grants.release(
            client.http,
            server_id=owner.server_id,
            first=move.first,
            last=move.last,
            fence=fence,
        )
        self._node.metrics.count(
            "grants_total", "released" if answer.accepted else "release-failed"
        )
        now = self._node.now()
        if move.state is MoveState.READY or move.owner is not owner:
            # The last grant expired, or the owner ended, before the answer.
            return
        if answer.by_other_server:
            # No server has the grants that were sent to the owner.
            self._on_other_server(client.record, answer.answering_id)
            move.finish(MoveEnd.OWNER_ENDED)
            self._node.wake_control()
        elif answer.accepted and is_final:
            move.handover = answer.handover
            move.finish(MoveEnd.RELEASED)
            self._node.wake_control()
        elif move.state is MoveState.RELEASING:
            log.info(
                "keys: release failed service=%s server=%s keys=%d-%d reason=%s",
                self._service,
                move.owner.server_id,
                move.first,
                move.last,
                answer.failure or "late-grants",
            )
            self._wait_for_expiry(move, now)
