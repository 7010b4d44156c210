"""Grants of one service: sends them, renews them, and knows how long each may count."""

from __future__ import annotations

import logging

from briarspoke.keyspace.moves import Renewal, ServerCalls
from briarspoke.keyspace.ranges import without
from briarspoke.platform import grants

log = logging.getLogger(__name__)

# Longer grants outlast a longer loss of the controller; shorter ones free the keys of
# a silent server sooner.
HOLD_S = 4.0
RENEWAL_S = 1.2
# A grant that failed is sent again after this time.
RETRY_S = 0.4
# After a change, neighbouring ranges of a server are renewed as one from here on.
MERGE_DELAY_S = 0.4


class Granter:
    """Sends grants while this process leads.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param leadership: the :class:`briarspoke.keyspace.leadership.Leadership`.
    :param answered: called with (sent grant, owner, accepted=, first=) when a server
        has accepted or refused a grant.
    """

    def __init__(self, *, node, leadership, service, answered):
        self._node = node
        self._leadership = leadership
        self._service = service
        self._answered = answered
        self._calls_by_life = {}
        self._renewals = {}
        self._alone = False

    def calls(self, record):
        """Returns the :class:`ServerCalls` to a server."""
        calls = self._calls_by_life.get(record.server_instance)
        if calls is None:
            http = self._node.http_client(record.host, record.port)
            calls = ServerCalls(record=record, http=http)
            self._calls_by_life[record.server_instance] = calls
        return calls

    def known(self, server_instance):
        """Returns the :class:`ServerCalls` to a process, or None if it never was."""
        return self._calls_by_life.get(server_instance)

    def map_changed(self, key_map, now):
        """Renews ranges that a change of the map has merged a little later."""
        for first, last, owner in key_map.ranges():
            key = (first, last, owner.server_instance, owner.fence)
            if key not in self._renewals:
                self._renewals[key] = Renewal(now + MERGE_DELAY_S)

    def renew(self, key_map, records, moving, now):
        """Renews what is due.

        :param records: ``{server_instance: ServerRecord}`` of possible owners.
        :param moving: (first, last) of ranges that leave their owners.
        """
        if not self._leadership.may_renew_grants(now):
            return
        was_alone, self._alone = self._alone, self._leadership.is_alone(now)
        # All ranges get the longer grants at once, as this process may end soon.
        is_due = self._alone and not was_alone
        current = {}
        for first, last, owner in key_map.ranges():
            record = records.get(owner.server_instance)
            if record is None:
                continue
            key = (first, last, owner.server_instance, owner.fence)
            renewal = self._renewals.get(key) or Renewal(now)
            current[key] = renewal
            if renewal.in_call or (now < renewal.due_at and not is_due):
                continue
            renewal.due_at = now + RENEWAL_S
            calls = self.calls(record)
            for piece in without(first, last, moving):
                self.send(calls, *piece, owner, renewal=renewal)
        self._renewals = current

    def send(self, calls, first, last, owner, handover=None, *, renewal=None):
        """Sends one grant.

        :param renewal: the :class:`Renewal`, or None if the range is new there.
        """
        now = self._node.now()
        longest_s = self._node.settings.max_hold_s
        hold_s = self._leadership.hold_s(now, HOLD_S, longest_s)
        sent = calls.log.add(first=first, last=last, hold_s=hold_s)
        if renewal is not None:
            renewal.in_call = True
        self._node.spawn(self._call(calls, sent, owner, hold_s, handover, renewal))

    async def _call(self, calls, sent, owner, hold_s, handover, renewal):
        answer = await grants.grant(
            calls.http,
            first=sent.first,
            last=sent.last,
            fence=owner.fence,
            hold_s=hold_s,
            handover=handover,
        )
        now = self._node.now()
        if renewal is not None:
            renewal.in_call = False
        self._note_reachable(calls, sent, owner, answer)
        if answer.accepted:
            sent.settle(now, answered=True)
            self._node.metrics.count("grants_total", "accepted")
            self._answered(sent, owner, accepted=True, first=renewal is None)
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
        if answer.accepted is False:
            self._answered(sent, owner, accepted=False, first=renewal is None)

    def _note_reachable(self, calls, sent, owner, answer):
        reachable = answer.accepted is not None
        if reachable == calls.reachable:
            return
        calls.reachable = reachable
        log.info(
            "keys: server %s service=%s server=%s keys=%d-%d fence=%d reason=%s",
            "takes grants" if reachable else "does not take grants",
            self._service,
            owner.server_id,
            sent.first,
            sent.last,
            owner.fence,
            answer.failure or "answered",
        )
