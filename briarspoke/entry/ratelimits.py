"""Keeps to the rate limits of servers, together with the other entry VMs."""

from __future__ import annotations

import logging

from briarspoke.entry import coldlimits
from briarspoke.entry.permits import (
    COLD_REPEAT_INTERVAL_S,
    COLD_SPARE_ASKS_PER_PERMIT,
    PermitHolder,
    PermitIssuer,
)
from briarspoke.entry.serverlimits import format_limit
from briarspoke.platform import headers
from briarspoke.platform.limits import decode_limit
from briarspoke.platform.values import DecodeError

log = logging.getLogger(__name__)

# Time until the permits of the controllers of earlier terms have expired. A process may
# notice late that the store was restored, and with it that its term has ended.
SETTLING_S = 0.5
SETTLING_AFTER_RESTORE_S = 3.5
FIRST_ERA = 1
# A request for permits of the same server within this time is a repeat.
ASKED_RECENTLY_S = 1.0


class RateLimits:
    """The limits of all servers as one entry VM knows them, and its permits.

    As the controller it also gives out the permits of all entry VMs.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._term = None
        self._issuer = None
        self._cold_asks = coldlimits.AskBudget()

    def record_answer(self, service, server, answer, sent_at):
        """Records the limit that a server names in an answer, and tells other VMs.

        :param service: name of the service.
        :param server: the :class:`briarspoke.entry.servers.Server`.
        :param answer: the :class:`briarspoke.entry.connections.Answer`.
        :param sent_at: time at which the answered request was sent.
        """
        try:
            per_s = decode_limit(answer.headers)
        except DecodeError as error:
            if server.limit.unusable_logged:
                return
            server.limit.unusable_logged = True
            log.warning(
                "servers: limit not usable id=%s service=%s error=%r",
                server.record.server_id,
                service,
                str(error),
            )
            return
        server.limit.unusable_logged = False
        has_run = answer.get(headers.NOT_RUN) is None and answer.status != 421
        if per_s is None and not has_run:
            # Only the answer of a server that works as usual shows that it is not in
            # need any more.
            return
        before = server.limit.named_per_s
        if server.limit.learn(per_s, sent_at):
            self._changed(service, server, before, "answer")
            self._node.datagrams.send_limit(
                service,
                _instance_of(server),
                per_s,
                server.limit.age_s(self._node.now()),
                self._node.registry.addresses(),
            )

    def peer_limit(self, service, instance, per_s, age_s):
        """Learns the limit that another entry VM knows.

        :param instance: pair of server identifier and incarnation.
        :param age_s: seconds since that VM sent the answered request.
        """
        server = self._server(service, instance)
        if server is None:
            return
        before = server.limit.named_per_s
        if server.limit.learn_from_peer(per_s, age_s, self._node.now()):
            self._changed(service, server, before, "peer")

    def peers_cold(self, service, servers):
        """Learns which servers another entry VM knows to be cold.

        :param servers: [(instance, seconds left or None, entry's number)].
        """
        for instance, left_s, sequence in servers:
            self._node.coldness.peer_cold(service, instance, left_s, sequence)

    def _changed(self, service, server, before, source):
        per_s = server.limit.named_per_s
        log.info(
            "servers: limit %s id=%s service=%s incarnation=%d per_s=%s before=%s "
            "source=%s nodes=%d",
            "begins" if before is None else "ends" if per_s is None else "changes",
            server.record.server_id,
            service,
            server.record.incarnation,
            format_limit(per_s),
            format_limit(before),
            source,
            self._node.node_count,
        )
        if server.limit.per_s is None:
            server.permits = None
            self._node.dispatcher(service).permit_queue.arrived(server)

    def has_permit(self, server):
        """Returns whether a request may be sent to a server now."""
        if not self._node.coldness.may_be_used(server):
            return False
        per_s = server.limit.per_s
        if per_s is None:
            return True
        now, holder = self._node.now(), self._holder(server)
        if server.limit.cold is None:
            return holder.is_available(now, per_s, self._node.node_count)
        may_send_alone = holder.is_alone(now) and self._node.coldness.may_send_alone(
            server, now
        )
        return coldlimits.may_send(holder, now, per_s, may_send_alone=may_send_alone)

    def _alone_vms(self, server):
        """Returns how many VMs divide what is sent without the controller."""
        if server.limit.cold is None:
            return self._node.node_count
        return coldlimits.ALONE_SENDERS

    def want_spare_permit(self, server):
        """Notes that a request went elsewhere for lack of a permit.

        A permit is asked for only if it is this entry VM's turn.
        """
        spell = server.limit.cold
        if spell is not None and not spell.is_unconfirmed:
            # The spell ends by itself.
            return
        options = {} if spell is None else {"asks": COLD_SPARE_ASKS_PER_PERMIT}
        if self._holder(server).take_spare_turn(
            self._node.now(), server.limit.per_s, self._node.node_count, **options
        ):
            server.wants_spare_permit = True

    def take_permit(self, server):
        """Uses up a permit for a request that is sent now."""
        if server.limit.per_s is not None:
            self._holder(server).take(
                self._node.now(), server.limit.per_s, self._alone_vms(server)
            )

    def expected_wait_s(self, server, *, rank, ahead):
        """Returns the expected wait of a request for a permit.

        :param rank: rank of the request.
        :param ahead: requests of this rank or a more urgent one that wait here.
        """
        per_s = server.limit.per_s
        if per_s is None:
            return 0.0
        now = self._node.now()
        if self.needs_controller(server):
            # Another VM sends. Nothing is sent from here before the spell ends.
            return server.limit.cold.left_s(now)
        return self._holder(server).expected_wait_s(
            now, per_s, self._alone_vms(server), rank=rank, ahead=ahead
        )

    def needs_controller(self, server):
        """Returns whether nothing is sent until the controller answers again.

        Another entry VM sends to the cold server in the meantime.
        """
        if server.limit.cold is None:
            return False
        now = self._node.now()
        return self._holder(server).is_alone(
            now
        ) and not self._node.coldness.may_send_alone(server, now)

    def _holder(self, server):
        if server.permits is None:
            server.permits = PermitHolder()
        return server.permits

    def ask(self, service, server, wanted_by_rank):
        """Tells the controller how many permits are wanted, unless it knows.

        :param wanted_by_rank: ``{rank: requests}`` that wait at this entry VM.
        """
        now = self._node.now()
        holder = self._holder(server)
        control = self._node.control
        options = {}
        if server.limit.cold is not None:
            options["repeat_s"] = COLD_REPEAT_INTERVAL_S
        if not holder.should_ask(wanted_by_rank, now, **options):
            return
        if (
            server.limit.cold is not None
            and not control.is_leader
            and not self._cold_asks.take(
                now,
                self._node.node_count,
                is_repeat=holder.asked_since_s(now) < ASKED_RECENTLY_S,
            )
        ):
            self._node.metrics.count("cold_asks_denied_total", service)
            return
        controller = control.controller()
        process = controller.process if controller is not None else None
        number = holder.ask(wanted_by_rank, process, now)
        named_per_s = server.limit.named_per_s
        limit = (named_per_s, 0.0 if named_per_s is None else server.limit.age_s(now))
        cold = self._node.coldness.message_fields(server)
        instance = _instance_of(server)
        if control.is_leader:
            self.permits_requested(
                service, instance, number, *limit, wanted_by_rank, None, cold
            )
        elif controller is not None:
            self._node.datagrams.send_permit_request(
                service,
                instance,
                number,
                *limit,
                wanted_by_rank,
                (controller.host, controller.port),
                cold,
            )

    def permits_requested(
        self,
        service,
        instance,
        number,
        per_s,
        age_s,
        wanted_by_rank,
        address,
        cold=None,
    ):
        """Handles a request for permits, if this process is the controller.

        :param instance: pair of server identifier and incarnation.
        :param number: number of the request.
        :param per_s: limit that the server names, as the entry VM that asks knows it,
            or None if the server is only cold.
        :param age_s: seconds since it sent the answered request.
        :param wanted_by_rank: ``{rank: requests}`` that wait there.
        :param address: (host, port) of that VM, or None for this one.
        :param cold: (seconds left or None, number of the server's entry) as that VM
            knows them, or None if it does not count the server as cold.
        """
        now = self._node.now()
        issuer = self._usable_issuer(now)
        server = self._server(service, instance)
        if issuer is None or server is None:
            return
        if address is not None and per_s is not None:
            self.peer_limit(service, instance, per_s, age_s)
        if address is not None and cold is not None:
            self._node.coldness.peer_cold(service, instance, *cold)
        if server.limit.per_s is None:
            # The limit has ended, which the VM learns from the next answer.
            answers = {}
            if wanted_by_rank:
                answers[address] = issuer.grant_all(number, wanted_by_rank)
        else:
            answers = issuer.request(
                (service, instance),
                address,
                number,
                wanted_by_rank,
                server.limit.per_s,
                now,
            )
        self._send_answers(service, instance, answers)

    def _send_answers(self, service, instance, answer_by_vm):
        process = self._node.process
        for address, answer in answer_by_vm.items():
            if address is None:
                self.permits_given(service, instance, process, answer)
            else:
                self._node.datagrams.send_permits(
                    service, instance, process, answer, address
                )

    def permits_given(self, service, instance, controller, answer):
        """Takes the permits that the controller gives to this entry VM.

        :param controller: name of the controller's process.
        :param answer: the :class:`briarspoke.entry.permits.PermitAnswer`.
        """
        server = self._server(service, instance)
        if server is None or server.limit.per_s is None:
            return
        if self._holder(server).receive(answer, controller, self._node.now()):
            self._node.metrics.count("permits_total", service, by=answer.granted)
            self._node.dispatcher(service).permit_queue.arrived(server)

    def count_call(self, service, instance):
        """Counts a call of the controller to a server towards the server's limit."""
        if self._issuer is not None:
            self._issuer.count_call((service, instance))

    def tick(self, now):
        """Gives out permits that have become available, if this is the controller."""
        issuer = self._usable_issuer(now)
        if issuer is None:
            return
        answers_by_instance = issuer.tick(self._limit_of, now)
        for (service, instance), answers in answers_by_instance.items():
            self._send_answers(service, instance, answers)

    def _limit_of(self, key):
        server = self._server(*key)
        return None if server is None else server.limit.per_s

    def _usable_issuer(self, now):
        """Returns the issuer of this process's term, or None.

        Without the store, another process may be the controller already.
        """
        leadership = self._node.control.leadership
        if leadership.term is not self._term:
            self._term = leadership.term
            self._issuer = None
            if self._term is not None:
                settling_s = SETTLING_S
                if self._term.era > FIRST_ERA:
                    settling_s = SETTLING_AFTER_RESTORE_S
                self._issuer = PermitIssuer(usable_from=now + settling_s)
        if self._issuer is None or leadership.has_lost_store(now):
            return None
        return self._issuer

    def _server(self, service, instance):
        if not self._node.knows_service(service):
            return None
        server = self._node.dispatcher(service).servers.get(instance[0])
        if server is None or server.record.server_instance != instance:
            return None
        return server


def _instance_of(server):
    return server.record.server_instance
