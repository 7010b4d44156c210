"""Backend servers of an entry VM, according to their registrations in the store."""

from __future__ import annotations

import logging

from briarspoke.entry.servers import Server
from briarspoke.errors import BriarspokeError
from briarspoke.platform import documents

log = logging.getLogger(__name__)

# Servers whose registration expired during an outage of the store have this long to
# register again after the store is reachable.
REREGISTRATION_TIMEOUT_S = 2.0
# A draining server gets its last request this long before its drain time ends.
DRAIN_MARGIN_S = 0.5


class ServerDiscovery:
    """Adds registered servers to the dispatchers of their services and removes others.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        # Time at which a server is removed unless it has registered again, by the key
        # of its registration.
        self._remove_at_by_key = {}
        node.view.observe(documents.SERVER_PREFIX, self._server_changed)

    def tick(self, now):
        """Removes the servers that did not register again in time.

        :param now: current time of the node's clock, in seconds.
        """
        for key, remove_at in list(self._remove_at_by_key.items()):
            if now >= remove_at:
                del self._remove_at_by_key[key]
                self._remove_server(key)

    def _server_changed(self, key, item):
        if item is None:
            self._registration_expired(key)
            return
        try:
            record = documents.decode_server(key, item.value)
        except BriarspokeError as error:
            log.warning("servers: entry not usable key=%s error=%r", key, str(error))
            self._registration_expired(key)
            return
        self._remove_at_by_key.pop(key, None)
        self._remove_from_address(record)
        self._use(record, item.revision)
        self._node.wake_control()

    def _use(self, record, revision):
        """Adds the server of a record, or updates the one that is known."""
        node = self._node
        for dispatcher in node.dispatchers():
            if dispatcher.name != record.service:
                dispatcher.remove_server(record.server_id)
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
            dispatcher.add_server(server)
        server.record = record
        server.registration_missing = server.replaced = False
        if not record.draining:
            server.drain_until = None
        elif server.drain_until is None:
            server.drain_until = node.now() + node.settings.drain_s - DRAIN_MARGIN_S
        log.info(
            "servers: %s id=%s service=%s zone=%s address=%s:%d incarnation=%d "
            "revision=%d",
            "draining" if record.draining else "ready",
            record.server_id,
            record.service,
            record.zone,
            record.host,
            record.port,
            record.incarnation,
            revision,
        )

    def _remove_from_address(self, record):
        """Removes other servers that were registered at the address of a server."""
        for other in list(self._node.all_records()):
            is_other = other.server_id != record.server_id
            if is_other and (other.host, other.port) == (record.host, record.port):
                self._remove_server(documents.SERVER_PREFIX + other.server_id)

    def _registration_expired(self, key):
        recovered_at = self._node.view.recovered_at or 0.0
        remove_at = recovered_at + REREGISTRATION_TIMEOUT_S
        if self._node.now() < remove_at:
            self._remove_at_by_key[key] = remove_at
            server_id = key.removeprefix(documents.SERVER_PREFIX)
            for dispatcher in self._node.dispatchers():
                if server_id in dispatcher.servers:
                    dispatcher.servers[server_id].registration_missing = True
        else:
            self._remove_server(key)

    def _remove_server(self, key):
        server_id = key.removeprefix(documents.SERVER_PREFIX)
        for dispatcher in self._node.dispatchers():
            if server_id in dispatcher.servers:
                log.info("servers: gone id=%s service=%s", server_id, dispatcher.name)
                dispatcher.remove_server(server_id)
        self._node.wake_control()
