"""Backend servers of an entry VM, according to their registrations in the store."""

from __future__ import annotations

import logging

from briarspoke.entry import logs, registrations
from briarspoke.entry.intake import STORE
from briarspoke.entry.registrations import Registrations
from briarspoke.entry.servers import Server
from briarspoke.errors import BriarspokeError
from briarspoke.platform import documents

log = logging.getLogger(__name__)

# Servers whose registration expired during an outage of the store have this long to
# register again after the store is reachable.
REREGISTRATION_TIMEOUT_S = 2.0
# Reason for which a registration is not used, beside those of ``registrations``.
UNKNOWN_SERVICE = "unknown-service"


class ServerDiscovery:
    """Adds registered servers to the dispatchers of their services and removes others.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._registrations = Registrations()
        # {server id: (record, revision)} of servers whose service is not configured.
        self._unknown_by_id = {}
        node.view.observe(documents.SERVER_PREFIX, self._server_changed)

    def tick(self, now):
        """Removes the servers that did not register again in time.

        :param now: current time of the node's clock, in seconds.
        """
        self._apply(self._registrations.expire(now))

    def _server_changed(self, key, item):
        server_id = key.removeprefix(documents.SERVER_PREFIX)
        if item is None:
            self._registration_removed(server_id)
            return
        try:
            record = documents.decode_server(key, item.value)
        except BriarspokeError as error:
            log.warning(
                "servers: entry not usable key=%s error=%r", logs.field(key), str(error)
            )
            self._registration_removed(server_id)
            return
        now = self._node.now()
        self._apply(self._registrations.put(record, item.revision, now))

    def _registration_removed(self, server_id):
        now = self._node.now()
        recovered_at = self._node.view.recovered_at or 0.0
        return_until = recovered_at + REREGISTRATION_TIMEOUT_S
        if now < return_until:
            for dispatcher in self._node.dispatchers():
                if server_id in dispatcher.servers:
                    dispatcher.servers[server_id].registration_missing = True
        self._apply(self._registrations.remove(server_id, now, return_until))

    def _apply(self, changes):
        for change in changes:
            record = change.registration.record
            if change.reason is None:
                self._use(record, change.registration.revision)
            elif change.reason == registrations.GONE:
                self._remove_gone(record.server_id)
            else:
                self._set_aside(change)
        if changes:
            self._node.wake_control()

    def _use(self, record, revision):
        """Adds the server of a record, or updates the one that is known."""
        node = self._node
        for dispatcher in node.dispatchers():
            if dispatcher.name != record.service:
                dispatcher.remove_server(record.server_id)
        self._unknown_by_id.pop(record.server_id, None)
        if not node.knows_service(record.service):
            self._unknown_by_id[record.server_id] = (record, revision)
            self._log_not_used(record, revision, UNKNOWN_SERVICE)
            return
        dispatcher = node.dispatcher(record.service)
        server = dispatcher.servers.get(record.server_id)
        is_same_process = (
            server is not None
            and server.record.server_instance == record.server_instance
            and (server.record.host, server.record.port) == (record.host, record.port)
        )
        if not is_same_process:
            server = Server(
                record=record,
                latency_s=dispatcher.expected_latency_s(),
                reactor=node.reactor,
                clock=node.now,
                held_answers=node.held_answers,
            )
        server.record = record
        server.registration_missing = server.replaced = False
        if not record.draining:
            server.intake.withdraw()
            record.draining = server.intake.is_leaving
        else:
            node.notices.leave(record.service, server, STORE, node.view.changes_since)
        node.coldness.entry_read(server, record)
        if not is_same_process:
            # Last, since requests that wait are sent to it at once.
            dispatcher.add_server(server)
        log.info(
            "servers: %s id=%s service=%s zone=%s address=%s:%d incarnation=%d"
            " sequence=%d revision=%d",
            "draining" if record.draining else "ready",
            record.server_id,
            logs.field(record.service),
            logs.field(record.zone),
            record.host,
            record.port,
            record.incarnation,
            record.sequence,
            revision,
        )

    def configuration_changed(self):
        """Uses the servers of services that the configuration names for the first time.

        Other services get no dispatcher, since anyone who writes registrations could
        name any number of them.
        """
        for record, revision in list(self._unknown_by_id.values()):
            if self._node.knows_service(record.service):
                self._use(record, revision)

    def _set_aside(self, change):
        """Logs a registration that is not used, and removes its server if necessary."""
        record = change.registration.record
        if change.reason == registrations.ADDRESS_IN_USE:
            for dispatcher in self._node.dispatchers():
                dispatcher.remove_server(record.server_id)
            self._unknown_by_id.pop(record.server_id, None)
        self._log_not_used(record, change.registration.revision, change.reason)

    def _log_not_used(self, record, revision, reason):
        self._node.metrics.count("registrations_not_used_total", reason)
        log.info(
            "servers: not used id=%s service=%s address=%s:%d incarnation=%d"
            " sequence=%d revision=%d reason=%s",
            record.server_id,
            logs.field(record.service),
            record.host,
            record.port,
            record.incarnation,
            record.sequence,
            revision,
            reason,
        )

    def _remove_gone(self, server_id):
        self._unknown_by_id.pop(server_id, None)
        for dispatcher in self._node.dispatchers():
            if server_id in dispatcher.servers:
                log.info("servers: gone id=%s service=%s", server_id, dispatcher.name)
                dispatcher.remove_server(server_id)
