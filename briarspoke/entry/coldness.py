"""Which servers are cold, as one entry VM knows it.

The load that this answers: servers that restart, or return from an outage or an
evacuation, while requests wait for them at all entry VMs. What a VM does not know about
a server that was unreachable counts as cold, since all VMs would return to it together.
"""

from __future__ import annotations

import logging
import random

from briarspoke.entry import logs
from briarspoke.entry.coldlimits import cold_limit
from briarspoke.entry.serverlimits import format_limit
from briarspoke.platform.values import DecodeError
from briarspoke.platform.warmup import MAX_WARMUP_S, decode_warmup_s

log = logging.getLogger(__name__)

# An entry that arrives within this time after an event may have been written before it:
# 0.4 s collection of changes at the view, the same at its relay, and the way.
ENTRY_DELAY_S = 1.0
# A server that was unreachable counts as cold for this long if nobody hears of it
# again, and up to half as long again, so that VMs without any contact do not return
# together.
UNCONFIRMED_S = 30.0
UNCONFIRMED_SPREAD = 0.5
# Expected time until an entry shows whether a server that was unreachable is cold: the
# delay above and the interval of 0.87 s between two entries.
EXPECTED_CONFIRMATION_S = 2.0
# A VM that finds a server unreachable although an entry has shown within this time that
# it was not cold has a broken path of its own. Telling others would limit the server
# for all of them, each time for up to EXPECTED_CONFIRMATION_S.
RETELL_S = 5.0
# Keys do not move for a spell that ends sooner: a release, a write and a grant take
# about a second, and more when a whole zone is cold.
MIN_SPELL_TO_MOVE_S = 2.0
# Time for which the choice of the VM that sends without the controller is kept.
CHOICE_VALID_S = 1.0
# Where it was learned that a server is cold.
ENTRY = "entry"
ANSWER = "answer"
EVACUATION = "evacuation"
UNREACHABLE = "unreachable"
PEER = "peer"


class ColdSpell:
    """A time during which one lifetime of a server counts as cold.

    :param limit: the :class:`briarspoke.entry.coldlimits.ColdLimit`.
    :param began_at: start of the spell.
    :ivar until: end of the spell.
    :ivar is_unconfirmed: whether the server was unreachable and nothing has shown since
        whether it is cold.
    :ivar is_suspected: whether only a failure says that the server is cold, although it
        may have answered since.
    :ivar event_at: time of the last failure, or when the end was learned.
    :ivar trusted_from: entries that arrive from then on may end or shorten the spell.
    """

    __slots__ = (
        "began_at",
        "checked_at",
        "event_at",
        "is_first",
        "is_suspected",
        "is_unconfirmed",
        "limit",
        "trusted_from",
        "until",
    )

    def __init__(self, *, limit, began_at):
        self.limit = limit
        self.began_at = began_at
        self.until = began_at
        self.is_unconfirmed = False
        self.is_suspected = False
        self.event_at = began_at
        self.trusted_from = began_at
        self.is_first = False
        self.checked_at = None

    @property
    def per_s(self):
        """Requests per second that the server takes from all entry VMs together."""
        return self.limit.per_s

    def left_s(self, now):
        """Returns the seconds for which the server is expected to stay cold."""
        left_s = max(0.0, self.until - now)
        return min(left_s, EXPECTED_CONFIRMATION_S) if self.is_unconfirmed else left_s

    def lasts_for_moves(self, now):
        """Returns whether the spell lasts long enough for keys to move meanwhile.

        An outage is expected to last as long again as it has lasted so far.
        """
        left_s = now - self.began_at if self.is_unconfirmed else self.until - now
        return left_s >= MIN_SPELL_TO_MOVE_S


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
        until = now + min(MAX_WARMUP_S, record.warmup_s)
        spell = server.limit.cold
        if spell is None:
            if record.warmup_s > 0:
                self._begin(service, server, until, ENTRY, trusted_from=now)
        elif now < spell.trusted_from:
            spell.until = max(spell.until, until)
        elif record.warmup_s > 0:
            spell.until, spell.is_unconfirmed = until, False
            spell.is_suspected = False
        else:
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

    def server_failed(self, name, server, *, connected):
        """Notes that a server was unreachable, since it may have restarted meanwhile.

        A request that timed out on a connection tells this only together with another
        failure; the server may just be slow.

        :param name: name of the service.
        :param connected: whether the request was on a connection.
        """
        service = self._service(name)
        if service is None or (connected and not server.is_failing):
            return
        if not self._is_known(name, server):
            return
        confirmed_at = server.limit.confirmed_at
        is_own_path = (
            confirmed_at is not None and self._node.now() - confirmed_at < RETELL_S
        )
        self._begin_unconfirmed(service, server, UNREACHABLE, tell=not is_own_path)

    def _begin_unconfirmed(self, service, server, source, *, tell=False):
        now = self._node.now()
        spread = random.uniform(1, 1 + UNCONFIRMED_SPREAD)
        self._begin(
            service,
            server,
            now + UNCONFIRMED_S * spread,
            source,
            is_unconfirmed=True,
            tell=tell,
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
        if spell is not None and sent_at < spell.event_at:
            # The server may have become cold after it got the request.
            if warmup_s:
                spell.until = max(spell.until, now + warmup_s)
            return
        if warmup_s is not None and warmup_s > 0:
            self._begin(service, server, now + warmup_s, ANSWER, tell=True)
            server.limit.cold.is_suspected = False
        elif spell is None:
            return
        elif warmup_s == 0:
            self._end(name, server, ANSWER)
        elif spell.is_unconfirmed:
            # It restarted before this answer, if it did.
            self._begin(
                service,
                server,
                now + service.warmup_s,
                ANSWER,
                trusted_from=spell.trusted_from,
                tell=True,
            )

    def peer_cold(self, name, instance, left_s, sequence):
        """Learns what another entry VM knows.

        :param instance: pair of server identifier and incarnation.
        :param left_s: seconds for which the server is still cold, or None if the VM
            found it unreachable and does not know.
        :param sequence: number of the server's entry that the VM has read last.
        """
        service = self._service(name)
        if service is None:
            return
        server = self._node.dispatcher(name).servers.get(instance[0])
        if server is None or server.record.server_instance != instance:
            return
        # Only a second later entry was certainly written after a failure elsewhere.
        newer = server.record.sequence - sequence - (left_s is None)
        if newer > 0 and server.record.warmup_s == 0 and server.limit.cold is None:
            return
        if left_s is None:
            if server.limit.cold is None:
                self._begin_unconfirmed(service, server, PEER)
            return
        until = self._node.now() + min(MAX_WARMUP_S, left_s)
        spell = server.limit.cold
        if spell is None or spell.is_unconfirmed or until > spell.until:
            self._begin(
                service,
                server,
                until,
                PEER,
                trusted_from=None if spell is None else spell.trusted_from,
            )

    def message_fields(self, server):
        """Returns (seconds left or None, entry's number) for messages to other VMs.

        :returns: None if the server is not cold.
        """
        spell = server.limit.cold
        if spell is None:
            return None
        left_s = None if spell.is_unconfirmed else spell.left_s(self._node.now())
        return left_s, server.record.sequence

    def _begin(
        self,
        service,
        server,
        until,
        source,
        *,
        is_unconfirmed=False,
        trusted_from=None,
        tell=None,
    ):
        """Begins a spell, or changes the end of the present one.

        :param trusted_from: see :class:`ColdSpell`; None for a time from now.
        :param tell: whether other VMs are told; None if only the controller tells them,
            since those that reach the store read the same there.
        """
        now = self._node.now()
        spell = server.limit.cold
        is_new = spell is None
        was_unconfirmed = not is_new and spell.is_unconfirmed
        if is_new:
            spell = ColdSpell(limit=self._limit(service), began_at=now)
            server.limit.cold = spell
        if is_new or is_unconfirmed or was_unconfirmed:
            spell.until = until
        else:
            spell.until = max(spell.until, until)
        spell.is_unconfirmed = is_unconfirmed
        spell.is_suspected = is_unconfirmed or spell.is_suspected
        spell.event_at = now
        if trusted_from is None:
            trusted_from = now + ENTRY_DELAY_S
        spell.trusted_from = max(spell.trusted_from, trusted_from)
        instance = server.record.server_instance
        self._cold_by_instance[(service.name, instance)] = server
        if not is_new and is_unconfirmed == was_unconfirmed:
            return
        if is_new:
            self._node.metrics.count("cold_spells_total", source)
        log.info(
            "servers: cold %s id=%s service=%s incarnation=%d left_ms=%s per_s=%s "
            "source=%s nodes=%d",
            "begins" if is_new else "changes",
            server.record.server_id,
            logs.field(service.name),
            server.record.incarnation,
            "-" if is_unconfirmed else round((until - now) * 1000),
            format_limit(spell.per_s),
            source,
            self._node.node_count,
        )
        if tell is None:
            tell = source != PEER and self._node.control.is_leader
        if tell:
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
        if spell.is_suspected and source == ENTRY:
            server.limit.confirmed_at = self._node.now()
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
