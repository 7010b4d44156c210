"""A simulated entry VM that runs the production ownership code on fake I/O."""

from __future__ import annotations

import collections

from briarspoke.benches.world import SkewedClock
from briarspoke.ownership import candidate as lease_commands
from briarspoke.ownership import commands, events
from briarspoke.ownership.candidate import Candidate, StoreOutcome
from briarspoke.ownership.controller import ZoneController
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.ownership.routing_leases import RoutingLeaseHolder
from briarspoke.ownership.timing import LEASE_S
from briarspoke.routing.table import RoutingTable

TICK_S = 0.1
PAUSE_THRESHOLD_S = 0.2
CALL_TIMEOUT_S = 0.35
DEADLINE_S = 1.2


class FakeNode:
    """A process on an entry VM; each restart creates a new object.

    :param configuration: configuration at the start of the process.
    """

    def __init__(self, *, world, name, zone, configuration):
        self.world = world
        self.name = name
        self.zone = zone
        self.incarnation = next(world.incarnations)
        self.alive = True
        self.paused = False
        self.table = RoutingTable()
        self.holder = RoutingLeaseHolder(node_id=name, incarnation=self.incarnation)
        self.clock = SkewedClock(
            scheduler=world.scheduler,
            rate=world.random.uniform(0.9905, 1.0095),
            base=world.random.uniform(0.0, 1000.0),
        )
        self.configuration = configuration
        self.candidates = {}
        self.controllers = {}
        self.acknowledged = []
        self._queue = collections.deque()
        self._last_active_at = self.clock()
        for zone_name in configuration.zones_by_name:
            self.candidates[zone_name] = Candidate(
                zone=zone_name,
                node_id=name,
                node_zone=zone,
                nonce_prefix=f"{self.incarnation}-",
            )
            self.controllers[zone_name] = ZoneController(
                zone=zone_name, node_id=name, incarnation=self.incarnation
            )
        self.configure(configuration)
        world.scheduler.call_later(world.random.uniform(0, TICK_S), self._tick)

    def kill(self):
        """Ends the process."""
        self.alive = False

    def pause(self, *, clock_stops):
        """Stops the process until :meth:`resume`.

        :param clock_stops: whether its clock stops too.
        """
        self.paused = True
        if clock_stops:
            self.clock.stop()

    def resume(self):
        """Continues the process with the events that arrived during the pause."""
        self.paused = False
        if self.clock.stopped:
            self.clock.resume()
        while self._queue and not self.paused and self.alive:
            function, arguments = self._queue.popleft()
            self._run_in_process(function, arguments)

    def deliver(self, function, *arguments):
        """Runs a function in the process, after :meth:`resume` if paused."""
        if not self.alive:
            return
        if self.paused:
            self._queue.append((function, arguments))
        else:
            self._run_in_process(function, arguments)

    def _run_in_process(self, function, arguments):
        now = self.clock()
        if now - self._last_active_at - TICK_S > PAUSE_THRESHOLD_S:
            self._last_active_at = now
            for zone, candidate in self.candidates.items():
                self._execute(zone, candidate.paused(now))
        function(*arguments)

    def _tick(self):
        if not self.alive:
            return
        self.world.scheduler.call_later(TICK_S, self._tick)
        if not self.paused:
            self._run_in_process(self._on_tick, ())

    def _on_tick(self):
        now = self._last_active_at = self.clock()
        members = self._members()
        zones = frozenset(members.values())
        for zone in self.candidates:
            self._handle_event(zone, events.ZonesAlive(zones=zones))
            self._handle_event(
                zone, events.VmsListed(state_by_id=dict(self.world.vm_state_by_id))
            )
            self._execute(zone, self.candidates[zone].tick(now, members))
            self._handle_event(zone, events.Tick())
            if self.holder.is_due(zone, now):
                self._request_routing_lease(zone, now)
        self._send_heartbeat(members)

    def _members(self):
        return {
            node.name: node.zone
            for node in self.world.nodes_by_name.values()
            if node.alive and not self.world.is_cut(self.name, node.name)
        }

    def is_watching(self):
        """Returns whether this node watches the lease records."""
        return any(candidate.needs_watch for candidate in self.candidates.values())

    def record_changed(self, key, value):
        """Handles a change of a lease record that the watch reported."""
        zone = key.removeprefix("controllers/")
        candidate, now = self.candidates[zone], self.clock()
        self._execute(zone, candidate.record_seen(value, now))
        self._execute(zone, candidate.tick(now, self._members()))

    def configure(self, configuration):
        """Puts a configuration into force."""
        self.configuration = configuration
        for zone in self.controllers:
            self._handle_event(
                zone, events.ConfigurationChanged(configuration=configuration)
            )

    def _send_heartbeat(self, members):
        others = sorted(name for name in members if name != self.name)
        if not others:
            return
        peer = self.world.random.choice(others)
        self.world.send(
            self.name,
            peer,
            self.world.nodes_by_name[peer].receive_heartbeat,
            self.name,
            self.incarnation,
            dict(self.table.documents_by_service),
        )

    def receive_heartbeat(self, name, incarnation, documents):
        """Handles a peer's heartbeat with its ownership documents."""
        for zone in self.controllers:
            self._handle_event(zone, events.NodeReachable(node_id=name))
            self._handle_event(
                zone, events.PeerSeen(node_id=name, incarnation=incarnation)
            )
        for document in documents.values():
            self._apply_document(document)

    def _apply_document(self, document):
        if document is not None and self.table.apply(document):
            for zone in self.controllers:
                self._handle_event(
                    zone,
                    events.VersionSeen(
                        service=document.service, version=document.version
                    ),
                )

    def _publish(self, document):
        self._apply_document(document)
        for observe in self.world.document_observers:
            observe(document)
        for node in list(self.world.nodes_by_name.values()):
            if node is not self:
                self.world.send(self.name, node.name, node._apply_document, document)

    def _request_routing_lease(self, zone, now):
        versions = {
            service: document.version
            for service, document in self.table.documents_by_service.items()
        }
        request = self.holder.request(zone, versions, now)
        holder = self.world.nodes_by_name.get(self.candidates[zone].holder)
        if holder is self:
            self._handle_event(zone, request)
        elif holder is not None:
            self.world.send(self.name, holder.name, holder._handle_event, zone, request)

    def routing_lease_granted(self, command):
        """Handles a routing lease granted by a controller."""
        self.holder.granted(
            zone=command.zone,
            term=command.term,
            sent_at=command.sent_at,
            duration_s=command.duration_s,
            version_by_service=command.version_by_service,
        )

    def request(self, service, partition):
        """Sends a request to the owner in this node's routing table."""
        if not self.alive or self.paused:
            return
        document = self.table.documents_by_service.get(service)
        if document is None:
            return
        route = self.table.route(service, partition)
        if route is None or route.server is None or route.moving:
            return
        server = self.world.servers_by_name[route.server]
        name = f"{service}/{partition}"
        deadline_at = self.world.scheduler.now + DEADLINE_S
        if not server.fenced and not self.holder.may_send(
            zone=server.zone,
            service=service,
            version=document.version,
            deadline_s=DEADLINE_S * 1.01,
            now=self.clock(),
        ):
            self.world.counts["no-routing-lease"] += 1
            return
        self.world.counts["requests"] += 1
        self.holder.request_started(name)
        request_ended = {"done": False}
        self.world.scheduler.call_later(
            DEADLINE_S, self.deliver, self._request_ended, name, request_ended
        )
        self.world.send(
            self.name,
            server.name,
            self._run_at_server,
            server,
            name,
            route.epoch,
            deadline_at,
            request_ended,
        )

    def _run_at_server(self, server, name, epoch, deadline_at, request_ended):
        work_s = server.run_request(name, epoch, deadline_at)
        if work_s is not False:
            self.world.scheduler.call_later(
                work_s,
                self.world.send,
                server.name,
                self.name,
                self._request_ended,
                name,
                request_ended,
            )

    def _request_ended(self, name, request_ended):
        if not request_ended["done"]:
            request_ended["done"] = True
            self.holder.request_ended(name)

    def _handle_event(self, zone, event):
        self._execute(zone, self.controllers[zone].handle(event, self.clock()))

    def _execute(self, zone, actions):
        for command in actions:
            execute = _executors.get(type(command))
            if execute is None:
                self._handle_event(zone, command)
            else:
                execute(self, zone, command)

    def _grant_lease(self, zone, command):
        candidate = self.candidates[zone]

        def on_settled(status, value):
            if status == "ok":
                self._execute(zone, candidate.lease_granted(value, self.clock()))
            else:
                self._execute(zone, candidate.lease_failed(self.clock()))

        self.world.store.call(
            self,
            "lease",
            lambda state, now: state.grant_lease(LEASE_S, now),
            on_settled,
        )

    def _put_record(self, zone, command):
        candidate = self.candidates[zone]

        def on_settled(status, value):
            outcome, revision = StoreOutcome.UNKNOWN, 0
            if status == "ok":
                result, revision = value
                outcome = (
                    StoreOutcome.DONE if result == "taken" else StoreOutcome.REFUSED
                )
                self.world.counts[f"record-{result}"] += 1
            elif status == "not-sent":
                outcome = StoreOutcome.REFUSED
            self._execute(zone, candidate.put_settled(outcome, revision, self.clock()))

        store = self.world.store
        operation = store.put(command.key, command.value, 0, command.lease)
        store.call(self, "put", operation, on_settled)

    def _read_record(self, zone, command):
        candidate = self.candidates[zone]

        def operation(state, now):
            entry = state.entries.get(command.key)
            return (entry.value, entry.revision) if entry else (None, 0)

        def on_settled(status, value):
            now = self.clock()
            if status == "ok":
                self._execute(zone, candidate.record_read(*value, now))
            else:
                self._execute(zone, candidate.read_failed(now))

        self.world.store.call(self, "get", operation, on_settled)

    def _keep_alive(self, zone, command):
        candidate = self.candidates[zone]

        def on_settled(status, value):
            outcome = StoreOutcome.UNKNOWN
            if status == "ok":
                outcome = (
                    StoreOutcome.DONE if value is not None else StoreOutcome.REFUSED
                )
            self._execute(zone, candidate.keepalive_settled(outcome, self.clock()))

        self.world.store.call(
            self,
            "keepalive",
            lambda state, now: state.keep_alive(command.lease, now),
            on_settled,
        )

    def _revoke_lease(self, zone, command):
        self.world.store.call(
            self,
            "lease",
            lambda state, now: state.revoke(command.lease),
            lambda status, value: None,
        )

    def _write_document(self, zone, command):
        def on_settled(status, value):
            revision = 0
            if status == "ok":
                result, revision = value
                outcome = events.WriteOutcome(result)
                if result == "taken":
                    self.acknowledged.append(command)
                    self.world.counts["acknowledged"] += 1
                    self._publish(command.document)
            elif status == "not-sent":
                outcome = events.WriteOutcome.NOT_SENT
            else:
                outcome = events.WriteOutcome.UNKNOWN
            self._handle_event(
                zone,
                events.WriteSettled(
                    service=command.service,
                    write_id=command.write_id,
                    outcome=outcome,
                    revision=revision,
                ),
            )

        store = self.world.store
        operation = store.put(
            f"ownership/{command.service}",
            command.document.encode(),
            command.expected_revision,
            None,
        )
        store.call(self, "put", operation, on_settled)

    def _read_document(self, zone, command):
        service = command.service

        def operation(state, now):
            entry = state.entries.get(f"ownership/{service}")
            return (entry.value, entry.revision) if entry else (None, 0)

        def on_settled(status, value):
            if status != "ok":
                self._handle_event(zone, events.DocumentReadFailed(service=service))
                return
            content, revision = value
            document = OwnershipDocument.decode(content) if content else None
            self._publish(document) if document else None
            self._handle_event(
                zone,
                events.DocumentRead(
                    service=service, revision=revision, document=document
                ),
            )

        self.world.store.call(self, "get", operation, on_settled)

    def _send_grants(self, zone, command):
        world = self.world
        server = world.servers_by_name[command.server]
        call = {"done": False}

        def fail(refused):
            if not call["done"]:
                call["done"] = True
                event = events.GrantFailed(
                    server=command.server, call_id=command.call_id, refused=refused
                )
                self._handle_event(zone, event)

        def answer(status, value):
            if not call["done"]:
                call["done"] = True
                event = events.GrantAnswered(
                    server=command.server,
                    call_id=command.call_id,
                    accepted=status == 200,
                    clock=value["clock"],
                    incarnation=value["incarnation"],
                    term=value["term"],
                    digest=value.get("digest", ""),
                    busy=frozenset(value.get("busy", ())),
                )
                self._handle_event(zone, event)

        def run_at_server():
            status, value = server.control(command.body())
            world.send(server.name, self.name, answer, status, value)

        if not server.alive and not world.is_cut(self.name, server.name):
            world.scheduler.call_later(0.001, self.deliver, fail, True)
            return
        world.scheduler.call_later(CALL_TIMEOUT_S, self.deliver, fail, False)
        if world.random.random() < world.delayed_call_share:
            world.counts["call-delayed"] += 1
            delay_s = world.random.uniform(0.3, 4.0)
            world.scheduler.call_later(
                delay_s, world.send, self.name, server.name, run_at_server
            )
        else:
            world.send(self.name, server.name, run_at_server)

    def _probe_server(self, zone, command):
        world = self.world
        server = world.servers_by_name[command.server]
        # A frozen process still accepts connections, but gateways get no answers.
        reachable = (
            server.alive
            and not server.frozen
            and not world.is_cut(self.name, server.name)
        )
        event = events.ProbeSettled(server=command.server, reachable=reachable)
        world.scheduler.call_later(0.002, self.deliver, self._handle_event, zone, event)

    def _confirm_lease(self, zone, command):
        self._execute(zone, self.candidates[zone].keep_alive(self.clock()))

    def _give_up_lease(self, zone, command):
        self._execute(zone, self.candidates[zone].give_up(self.clock()))

    def _resign(self, zone, command):
        event = events.PeerResigned(term=command.term, remaining_s=command.remaining_s)
        if command.node_id == self.name:
            self._handle_event(zone, event)
            return
        for node in list(self.world.nodes_by_name.values()):
            if node is not self and command.node_id in (None, node.name):
                self.world.send(self.name, node.name, node._handle_event, zone, event)

    def _ask_term(self, zone, command):
        event = events.TermAsked(
            node_id=self.name,
            term=command.term,
            incarnation=command.incarnation,
            by_term=command.by_term,
        )
        node = self.world.nodes_by_name.get(command.node_id)
        if node is self:
            self._handle_event(zone, event)
        elif node is not None:
            self.world.send(self.name, node.name, node._handle_event, zone, event)

    def _grant_routing_lease(self, zone, command):
        node = self.world.nodes_by_name.get(command.node_id)
        if node is self:
            self.routing_lease_granted(command)
        elif node is not None:
            self.world.send(self.name, node.name, node.routing_lease_granted, command)


_executors = {
    lease_commands.GrantLease: FakeNode._grant_lease,
    lease_commands.PutRecord: FakeNode._put_record,
    lease_commands.ReadRecord: FakeNode._read_record,
    lease_commands.KeepAlive: FakeNode._keep_alive,
    lease_commands.RevokeLease: FakeNode._revoke_lease,
    commands.ConfirmLease: FakeNode._confirm_lease,
    commands.GiveUpLease: FakeNode._give_up_lease,
    commands.Resign: FakeNode._resign,
    commands.AskTerm: FakeNode._ask_term,
    commands.GrantRoutingLease: FakeNode._grant_routing_lease,
    commands.WriteDocument: FakeNode._write_document,
    commands.ReadDocument: FakeNode._read_document,
    commands.SendGrants: FakeNode._send_grants,
    commands.ProbeServer: FakeNode._probe_server,
}
