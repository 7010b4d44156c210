"""Which servers are cold, as one entry VM knows it.

The load that this answers: servers that start, or return from an evacuation, while
requests wait for them at all entry VMs. Each spell ends by its own time, since an entry
in the store changes only when more than its sequence number changes, so that none may
follow.
"""

from __future__ import annotations

import logging

from briarspoke.entry import logs
from briarspoke.entry.coldlimits import cold_limit
from briarspoke.entry.serverlimits import format_limit
from briarspoke.platform.values import DecodeError
from briarspoke.platform.warmup import MAX_WARMUP_S, decode_warmup_s

log = logging.getLogger(__name__)

# An entry that arrives within this time after an event may have been written before it:
# 0.4 s collection of changes at the view, the same at its relay, and the way.
ENTRY_DELAY_S = 1.0
# A server may have restarted unseen if this many attempts to connect to it in a row
# have failed. A single one can be a lost packet.
CONNECT_FAILURES_TO_SEND_ONE = 2
# Keys do not move for a spell that ends sooner: a release, a write and a grant take
# about a second, and more when a whole zone is cold.
MIN_SPELL_TO_MOVE_S = 2.0
# Time for which the choice of the VM that sends without the controller is kept.
CHOICE_VALID_S = 1.0
# Where it was learned that a server is cold.
ENTRY = "entry"
ANSWER = "answer"
EVACUATION = "evacuation"
PEER = "peer"


class ColdSpell:
    """A time during which one lifetime of a server counts as cold.

    :param limit: the :class:`briarspoke.entry.coldlimits.ColdLimit`.
    :param began_at: start of the spell.
    :ivar until: end of the spell.
    :ivar learned_at: time at which the end was learned last.
    :ivar trusted_from: entries that arrive from then on may end the spell.
    """

    __slots__ = (
        "began_at",
        "checked_at",
        "is_first",
        "learned_at",
        "limit",
        "trusted_from",
        "until",
    )

    def __init__(self, *, limit, began_at):
        self.limit = limit
        self.began_at = began_at
        self.until = began_at
        self.learned_at = began_at
        self.trusted_from = began_at
        self.is_first = False
        self.checked_at = None

    @property
    def per_s(self):
        """Requests per second that the server takes from all entry VMs together."""
        return self.limit.per_s

    def left_s(self, now):
        """Returns the seconds for which the server stays cold."""
        return max(0.0, self.until - now)

    def lasts_for_moves(self, now):
        """Returns whether the spell lasts long enough for keys to move meanwhile."""
        return self.until - now >= MIN_SPELL_TO_MOVE_S


class Coldness:
    """Learns which servers are cold, limits them, and tells other entry VMs.

    It takes effect for services with ``cold_per_s`` only.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        # {(service, server instance): Server} of cold servers.
        self._cold_by_instance = {}
        self._limit_by_terms = {}
        # {service: [Server]} of which other VMs are told at the next tick. Many servers
        # may become cold together.
        self._untold_by_service = {}
        self._view_was_complete = False

    def _service(self, name):
        """Returns the service, or None if cold servers of it have no bound."""
        table = self._node.routing_table
        service = None if table is None else table.services.get(name)
        return None if service is None or service.cold_per_s is None else service

    def _is_known(self, name, server):
        """Returns whether a server is in use, and not an earlier lifetime of one."""
        servers = self._node.dispatcher(name).servers
        return servers.get(server.record.server_id) is server

    def entry_read(self, server, record):
        """Learns from an entry in the store that is newer than those before.

        :param server: the :class:`briarspoke.entry.servers.Server`.
        :param record: the :class:`briarspoke.entry.servers.ServerRecord`.
        """
        service = self._service(record.service)
        if service is None:
            return
        now = self._node.now()
        spell = server.limit.cold
        if record.warmup_s > 0:
            until = now + min(MAX_WARMUP_S, record.warmup_s)
            self._begin(service, server, until, ENTRY)
        elif spell is not None and now >= spell.trusted_from:
            self._end(service.name, server, ENTRY)

    def zone_returned(self, zone):
        """Counts the servers of a zone as cold, whose evacuation has ended."""
        now = self._node.now()
        for dispatcher in self._node.dispatchers():
            service = self._service(dispatcher.name)
            if service is None:
                continue
            for server in list(dispatcher.servers.values()):
                if server.record.zone == zone:
                    self._begin(service, server, now + service.warmup_s, EVACUATION)

    def sends_one(self, server):
        """Returns whether this VM sends one request at a time to a server.

        It may have restarted under its old identifier, which no entry has shown yet.
        """
        return (
            server.connect_failures >= CONNECT_FAILURES_TO_SEND_ONE
            and self._service(server.record.service) is not None
        )

    def server_answered(self, name, server, answer, sent_at):
        """Learns from an answer of a server.

        :param name: name of the service.
        :param answer: the :class:`briarspoke.entry.connections.Answer`.
        :param sent_at: time at which the answered request was sent.
        """
        service = self._service(name)
        if service is None or not self._is_known(name, server):
            return
        try:
            warmup_s = decode_warmup_s(answer.headers)
            server.limit.unusable_warmup_logged = False
        except DecodeError as error:
            warmup_s = None
            if not server.limit.unusable_warmup_logged:
                server.limit.unusable_warmup_logged = True
                log.warning(
                    "servers: warm-up not usable id=%s service=%s error=%r",
                    server.record.server_id,
                    logs.field(name),
                    str(error),
                )
        now = self._node.now()
        spell = server.limit.cold
        if warmup_s is None:
            return
        if warmup_s > 0:
            self._begin(service, server, now + warmup_s, ANSWER)
        elif spell is not None and sent_at >= spell.learned_at:
            self._end(name, server, ANSWER)

    def peer_cold(self, name, instance, left_s, sequence):
        """Learns what another entry VM knows.

        :param instance: pair of server identifier and incarnation.
        :param left_s: seconds for which the server is still cold.
        :param sequence: number of the server's entry that the VM has read last.
        """
        service = self._service(name)
        if service is None:
            return
        server = self._node.dispatcher(name).servers.get(instance[0])
        if server is None or server.record.server_instance != instance:
            return
        spell = server.limit.cold
        is_later = server.record.sequence > sequence
        if spell is None and is_later and server.record.warmup_s == 0:
            return
        until = self._node.now() + min(MAX_WARMUP_S, left_s)
        if spell is None or until > spell.until:
            self._begin(service, server, until, PEER)

    def message_fields(self, server):
        """Returns (seconds left, entry's number) for messages to other VMs.

        :returns: None if the server is not cold.
        """
        spell = server.limit.cold
        if spell is None:
            return None
        return spell.left_s(self._node.now()), server.record.sequence

    def _begin(self, service, server, until, source):
        """Begins a spell, or lengthens the present one."""
        now = self._node.now()
        spell = server.limit.cold
        is_new = spell is None
        if is_new:
            spell = ColdSpell(limit=self._limit(service), began_at=now)
            server.limit.cold = spell
        spell.until = max(spell.until, until)
        spell.learned_at = now
        # Entries arrive in their order, but not in the order of other events.
        trusted_from = now if source == ENTRY else now + ENTRY_DELAY_S
        spell.trusted_from = max(spell.trusted_from, trusted_from)
        if not is_new:
            return
        instance = server.record.server_instance
        self._cold_by_instance[(service.name, instance)] = server
        self._node.metrics.count("cold_spells_total", source)
        log.info(
            "servers: cold begins id=%s service=%s incarnation=%d left_ms=%d per_s=%s "
            "source=%s nodes=%d",
            server.record.server_id,
            logs.field(service.name),
            server.record.incarnation,
            round((until - now) * 1000),
            format_limit(spell.per_s),
            source,
            self._node.node_count,
        )
        # Entries and ends of evacuations are read by all VMs that reach the store. The
        # controller tells the others.
        if source == ANSWER or (source != PEER and self._node.control.is_leader):
            self._untold_by_service.setdefault(service.name, []).append(server)

    def _tell(self):
        """Tells other VMs of the servers of which they have to know."""
        untold, self._untold_by_service = self._untold_by_service, {}
        addresses = self._node.registry.addresses()
        for name, servers in untold.items():
            cold = [
                (server.record.server_instance, *self.message_fields(server))
                for server in dict.fromkeys(servers)
                if server.limit.cold is not None
            ]
            if cold:
                self._node.datagrams.send_cold(name, cold, addresses)

    def _end(self, name, server, source):
        spell, server.limit.cold = server.limit.cold, None
        self._cold_by_instance.pop((name, server.record.server_instance), None)
        if server.limit.per_s is None:
            server.permits = None
        log.info(
            "servers: cold ends id=%s service=%s incarnation=%d lasted_ms=%d source=%s",
            server.record.server_id,
            logs.field(name),
            server.record.incarnation,
            round((self._node.now() - spell.began_at) * 1000),
            source,
        )
        self._node.dispatcher(name).permit_queue.arrived(server)

    def _limit(self, service):
        settings = self._node.settings
        terms = (service.cold_per_s, settings.cold_ratio, settings.cold_slack)
        limit = self._limit_by_terms.get(terms)
        if limit is None:
            limit = self._limit_by_terms[terms] = cold_limit(*terms)
            if not limit.is_safe:
                log.warning(
                    "servers: bound of cold servers too low service=%s bound=%g "
                    "per_s=%g",
                    logs.field(service.name),
                    terms[0] * terms[1] + terms[2],
                    limit.per_s,
                )
        return limit

    def tick(self, now):
        """Ends the spells whose time is over, and tells other VMs of new ones."""
        self._tell()
        for (name, instance), server in list(self._cold_by_instance.items()):
            known = self._node.dispatcher(name).servers.get(instance[0])
            if known is not server or server.limit.cold is None:
                del self._cold_by_instance[(name, instance)]
            elif now >= server.limit.cold.until or self._service(name) is None:
                self._end(name, server, "time")

    def may_be_used(self, server):
        """Returns whether this VM knows enough to send to a server that may be cold.

        Before its view of the store is complete, a VM neither knows which servers are
        cold nor how many VMs there are.
        """
        if not self._view_was_complete:
            self._view_was_complete = self._node.view.revision is not None
        return self._view_was_complete or self._service(server.record.service) is None

    def may_send_alone(self, server, now):
        """Returns whether this VM may send to a cold server without the controller.

        One VM takes the part of all. Each VM's equal part would add up to the number of
        VMs, since nobody keeps their turns apart.
        """
        spell = server.limit.cold
        if not spell.limit.with_fallback:
            return False
        if spell.checked_at is None or now - spell.checked_at >= CHOICE_VALID_S:
            spell.checked_at = now
            spell.is_first = self._node.registry.is_first_for(
                server.record.server_id.encode()
            )
        return spell.is_first

    def counts_by_service(self):
        """Returns ``{service: cold servers}`` of services with cold servers."""
        counts = {}
        for name, _ in self._cold_by_instance:
            counts[name] = counts.get(name, 0) + 1
        return counts
