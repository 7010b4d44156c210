"""Sends and renews the grants of one service and tracks how long they are valid."""

from __future__ import annotations

import logging

from briarspoke.keyspace.grantlog import (
    MAX_TRANSIT_S,
    GrantLog,
    expiry_time,
    transit_s,
)
from briarspoke.keyspace.moves import GrantClient, Renewal
from briarspoke.keyspace.ranges import subtract_ranges
from briarspoke.platform import grants

log = logging.getLogger(__name__)

# Longer grants outlast a longer loss of the controller; shorter ones free the keys of
# an unreachable server sooner.
HOLD_S = 4.0
RENEWAL_INTERVAL_S = 1.2
# Delay before a failed grant is retried.
RETRY_S = 0.4
# Delay after a change of the map until merged ranges are renewed as one.
MERGE_DELAY_S = 0.4


class Granter:
    """Sends and renews grants while this process is the controller.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param leadership: the :class:`briarspoke.keyspace.leadership.Leadership`.
    :param service: name of the service.
    :param issue_fence: function that returns a new fencing token.
    :param on_answer: called with (sent grant, owner, accepted=, first=) when a server
        has accepted or refused a grant.
    :param on_other_server: called with (:class:`ServerRecord`, identifier in bytes or
        None) when another server answers at the address of a server.
    """

    def __init__(
        self, *, node, leadership, service, issue_fence, on_answer, on_other_server
    ):
        self._node = node
        self._leadership = leadership
        self._service = service
        self._issue_fence = issue_fence
        self._on_answer = on_answer
        self._on_other_server = on_other_server
        self._clients_by_instance = {}
        self._logs_by_server = {}
        self._renewals = {}
        self._store_lost = False

    def client(self, record):
        """Returns the :class:`GrantClient` of a server instance, created if needed."""
        client = self._clients_by_instance.get(record.server_instance)
        if client is None:
            http = self._node.http_client(record.host, record.port)
            client = GrantClient(record=record, http=http, log=self._log(record))
            self._clients_by_instance[record.server_instance] = client
        return client

    def _log(self, record):
        server = (record.server_id, record.host, record.port)
        log_of_server = self._logs_by_server.get(server)
        if log_of_server is None:
            log_of_server = GrantLog(transit_s=transit_s(self._node.settings.link_mbps))
            self._logs_by_server[server] = log_of_server
        return log_of_server

    def known_client(self, server_instance):
        """Returns the :class:`GrantClient` of a server instance, or None if unknown."""
        return self._clients_by_instance.get(server_instance)

    def map_changed(self, key_map, now):
        """Delays the first renewal of ranges that a change of the map has created."""
        for first, last, owner in key_map.ranges():
            key = (first, last, owner.server_instance, owner.fence)
            if key not in self._renewals:
                self._renewals[key] = Renewal(now + MERGE_DELAY_S)

    def renew(self, key_map, records, moving, now):
        """Sends the renewals that are due.

        :param records: ``{server_instance: ServerRecord}`` of possible owners.
        :param moving: (first, last) of ranges that leave their owners.
        """
        if not self._leadership.may_renew_grants(now):
            return
        was_store_lost, self._store_lost = (
            self._store_lost,
            self._leadership.has_lost_store(now),
        )
        # Another controller may have moved the keys of a server that has restarted.
        only_same_process = self._store_lost
        # Renew all ranges with longer grants as soon as the store is lost, since this
        # process may end before the store is back.
        renew_all = self._store_lost and not was_store_lost
        current = {}
        for first, last, owner in key_map.ranges():
            record = records.get(owner.server_instance)
            if record is None:
                continue
            key = (first, last, owner.server_instance, owner.fence)
            renewal = self._renewals.get(key) or Renewal(now)
            current[key] = renewal
            if renewal.in_flight or (now < renewal.due_at and not renew_all):
                continue
            renewal.due_at = now + RENEWAL_INTERVAL_S
            client = self.client(record)
            for piece in subtract_ranges(first, last, moving):
                connection = client.http.take_idle()
                if connection is not None or not only_same_process:
                    self.send(
                        client, *piece, owner, renewal=renewal, connection=connection
                    )
        self._renewals = current

    def send(
        self,
        client,
        first,
        last,
        owner,
        handover=None,
        *,
        renewal=None,
        connection=None,
    ):
        """Sends one grant.

        :param renewal: the :class:`Renewal`, or None if the server gets the range
            with this grant.
        :param connection: kept connection to the server, or None for a new one.
        """
        fence = self.issue_fence(client) if connection is None else client.fence
        sent = self._record(client, first, last, fence)
        if renewal is not None:
            renewal.in_flight = True
        self._node.spawn(self._call(client, sent, owner, handover, renewal, connection))

    async def confirm(self, client, first, last, owner, *, only_same_process):
        """Repeats a grant with a new token.

        :param only_same_process: whether the call must not reach a process that has
            started since the last grant.
        :returns: whether the server has accepted it.
        """
        connection = client.http.take_idle()
        if connection is None and only_same_process:
            return False
        sent = self._record(client, first, last, self.issue_fence(client))
        await self._call(client, sent, owner, None, None, connection)
        return sent.accepted

    def _record(self, client, first, last, fence):
        """Records a grant that is sent now and returns its :class:`SentGrant`."""
        now = self._node.now()
        longest_s = self._node.settings.max_hold_s
        hold_s = self._leadership.hold_s(now, HOLD_S, longest_s)
        if hold_s > HOLD_S:
            arrived_at = now + grants.GRANT_TIMEOUT_S + MAX_TRANSIT_S
            self._leadership.record_long_grant(expiry_time(arrived_at, hold_s))
        return client.log.add(
            first=first,
            last=last,
            fence=fence,
            incarnation=client.record.incarnation,
            hold_s=hold_s,
        )

    def issue_fence(self, client):
        """Issues the token for a call that opens a new connection to a server.

        The connection may reach a new process of the server, which must not take keys
        with a token that another process had. Later calls on kept connections repeat
        the token.
        """
        client.fence = self._issue_fence()
        return client.fence

    async def _call(self, client, sent, owner, handover, renewal, connection):
        try:
            await self._call_once(client, sent, owner, handover, renewal, connection)
        finally:
            if sent.answered is None:
                # An unexpected error: the grant may have been applied.
                sent.settle(self._node.now(), answered=False)
            if renewal is not None:
                renewal.in_flight = False

    async def _call_once(self, client, sent, owner, handover, renewal, connection):
        self._node.rate_limits.count_call(self._service, owner.server_instance)
        answer = await grants.grant(
            client.http,
            server_id=owner.server_id,
            first=sent.first,
            last=sent.last,
            fence=sent.fence,
            hold_s=sent.hold_s,
            handover=handover,
            connection=connection,
        )
        now = self._node.now()
        self._note_reachable(client, sent, owner, answer)
        if answer.accepted:
            sent.settle(now, answered=True)
            self._node.metrics.count("grants_total", "accepted")
            self._on_answer(sent, owner, accepted=True, first=renewal is None)
            return
        if answer.accepted is None and answer.sent:
            sent.settle(now, answered=False)
        else:
            sent.discard(now)
        if renewal is not None:
            renewal.due_at = now + RETRY_S
        self._node.metrics.count(
            "grants_total", "refused" if answer.accepted is False else "failed"
        )
        if answer.by_other_server:
            self._on_other_server(client.record, answer.answering_id)
        if answer.accepted is False and not client.log.was_overtaken(sent, now):
            self._on_answer(sent, owner, accepted=False, first=renewal is None)

    def _note_reachable(self, client, sent, owner, answer):
        reachable = answer.accepted is not None
        if reachable == client.reachable:
            return
        client.reachable = reachable
        log.info(
            "keys: server %s service=%s server=%s keys=%d-%d fence=%d reason=%s",
            "takes grants" if reachable else "does not take grants",
            self._service,
            owner.server_id,
            sent.first,
            sent.last,
            sent.fence,
            answer.failure or "answered",
        )
