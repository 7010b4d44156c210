"""What servers say in their answers about taking further requests."""

from __future__ import annotations

import logging

from briarspoke.entry import intake, logs
from briarspoke.platform.intake import decode_leaving, decode_pause_s
from briarspoke.platform.values import DecodeError

log = logging.getLogger(__name__)

# Other entry VMs are told again after this time while answers still say it.
TELL_INTERVAL_S = 0.5
REJECTED_STATUS = 503


class Notices:
    """Notes that servers leave or ask for a pause, and tells other entry VMs.

    A pause is for the entry VM that was asked only, so no other VM is told.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node

    def drain_until(self, learned_at):
        """Returns the time by which the last request must have arrived at a server.

        :param learned_at: earliest time at which the store can have acknowledged that
            the server leaves, or the time at which this VM learned it otherwise.
        """
        return learned_at + self._node.settings.drain_s

    def record_answer(self, service, server, answer):
        """Notes what a server says in an answer.

        :param service: name of the service.
        :param server: the :class:`briarspoke.entry.servers.Server` that has answered.
        :param answer: the :class:`briarspoke.entry.connections.Answer`.
        """
        if decode_leaving(answer.headers):
            self._record_leaving(service, server)
        if answer.status == REJECTED_STATUS:
            self._record_pause(service, server, answer)

    def _record_leaving(self, service, server):
        now = self._node.now()
        state = server.intake
        known_by = state.leaving_source
        self._leave(service, server, intake.ANSWER, now)
        is_told = known_by in (intake.PEER, intake.STORE) or (
            state.told_at is not None and now - state.told_at < TELL_INTERVAL_S
        )
        if not is_told:
            state.told_at = now
            self._node.datagrams.send_leaving(
                service, server.record.server_instance, self._node.registry.addresses()
            )

    def peer_leaving(self, service, instance):
        """Notes that another entry VM knows that a server leaves.

        :param instance: pair of server identifier and incarnation.
        """
        if not self._node.knows_service(service):
            return
        server = self._node.dispatcher(service).servers.get(instance[0])
        if server is not None and server.record.server_instance == instance:
            self._leave(service, server, intake.PEER, self._node.now())

    def _leave(self, service, server, source, learned_at):
        if not self.leave(service, server, source, learned_at):
            return
        # The controller moves the keys of servers whose record says so.
        server.record.draining = True
        log.info(
            "servers: leaving id=%s service=%s incarnation=%d source=%s",
            server.record.server_id,
            logs.field(service),
            server.record.incarnation,
            source,
        )
        self._node.wake_control()

    def leave(self, service, server, source, learned_at):
        """Closes a server that leaves, and takes back what waits to be sent to it.

        :param source: how it is known, see :mod:`briarspoke.entry.intake`.
        :param learned_at: see :meth:`drain_until`.
        :returns: whether this was not known.
        """
        if not server.intake.leave(source, self.drain_until(learned_at)):
            return False
        self._node.metrics.count("intake_closed_total", source)
        dispatcher = self._node.dispatcher(service)
        if not dispatcher.selection.can_arrive(server):
            server.withdraw_unsent()
            dispatcher.on_pause_asked(server)
        return True

    def _record_pause(self, service, server, answer):
        state = server.intake
        try:
            pause_s = decode_pause_s(answer.headers)
        except DecodeError as error:
            if not state.has_unusable_pause:
                state.has_unusable_pause = True
                log.warning(
                    "servers: pause not usable id=%s service=%s error=%r",
                    server.record.server_id,
                    logs.field(service),
                    str(error),
                )
            return
        if pause_s is None:
            return
        state.has_unusable_pause = False
        now = self._node.now()
        was_paused = now < state.asked_until
        if not state.ask_for_pause(now + pause_s):
            return
        if not was_paused:
            self._node.metrics.count("intake_closed_total", intake.ASKED)
            self._log_pause("begins", service, server, pause_s)
        server.withdraw_unsent()
        self._node.dispatcher(service).on_pause_asked(server)

    def _log_pause(self, event, service, server, pause_s):
        log.info(
            "servers: pause %s id=%s service=%s incarnation=%d pause_ms=%d",
            event,
            server.record.server_id,
            logs.field(service),
            server.record.incarnation,
            round(pause_s * 1e3),
        )

    def check(self, service, server, now):
        """Logs the end of a pause that a server has asked for."""
        state = server.intake
        if state.asked_until and now >= state.asked_until:
            state.asked_until = 0.0
            self._log_pause("ends", service, server, 0.0)
