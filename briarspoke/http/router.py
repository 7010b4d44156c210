"""What the relays of one node share: table, queues, connections, counters."""

from __future__ import annotations

import collections
import gc
import logging
import random

from briarspoke import codes
from briarspoke.admission.limits import Limits
from briarspoke.admission.queue import ServerQueue, Start
from briarspoke.configuration.snapshot import Configuration, split_address
from briarspoke.errors import Refusal
from briarspoke.http.forward import classify_forward, forward_key
from briarspoke.http.gateways import Gateways
from briarspoke.http.owner_checks import OwnerChecks
from briarspoke.http.parked_requests import ParkedRequests
from briarspoke.http.pool import ConnectionPool
from briarspoke.http.probe import lost_transports
from briarspoke.http.shutdown import Shutdown
from briarspoke.retry.policy import (
    Backoff,
    Denied,
    Retry,
    RetryBudget,
    may_retry,
    plan_retry,
)
from briarspoke.routing.classify import classify
from briarspoke.routing.load import PartitionLoad
from briarspoke.routing.table import RoutingTable

log = logging.getLogger(__name__)

TICK_S = 0.01
SWEEP_INTERVAL_S = 1.0
# Each forwarded request that waits at its gateway holds a connection.
MAX_CONNECTIONS_PER_PEER = 1024


class Router:
    """Routes requests of one entry VM.

    :param clock: function that returns monotonic seconds.
    :param node_id: name of this node, and ``zone`` its availability zone.
    :param cluster_key: secret shared by all entry VMs.
    """

    def __init__(self, *, reactor, clock, metrics, node_id="", zone="", cluster_key=""):
        self.reactor = reactor
        self.now = clock
        self.metrics = metrics
        self.node_id = node_id
        self.forward_key = forward_key(cluster_key)
        self.configuration = Configuration()
        self.table = RoutingTable()
        self.gateways = Gateways(node_id=node_id, zone=zone)
        # Live entry VMs, with node_id, zone, forward_host and forward_port.
        self.peers_by_id = {}
        self.queues_by_server = {}
        self.pools_by_server = {}
        self.pools_by_peer_address = {}
        self.budgets_by_service = {}
        self.limits = Limits(live_nodes=lambda: 1 + len(self.peers_by_id))
        self.backoff = Backoff(random=random.Random())
        self.warming_servers = set()
        self.load = PartitionLoad()
        self.parked_requests = ParkedRequests(router=self)
        self.owner_checks = OwnerChecks(router=self)
        self.relays = set()
        self.channels = set()
        self.shutdown = Shutdown(self)
        self._next_sweep = 0.0
        self._commands = collections.deque()
        self._running = False
        self._gc_frozen = False

    # Configuration and ownership.

    def apply_configuration(self, configuration):
        """Takes a newer configuration into use."""
        if configuration.version <= self.configuration.version:
            return False
        if self.configuration.version:
            self.warming_servers |= set(configuration.servers_by_name) - set(
                self.configuration.servers_by_name
            )
        self.configuration = configuration
        self.limits.apply(configuration.limits_by_name)
        for name, queue in list(self.queues_by_server.items()):
            if name not in configuration.servers_by_name:
                del self.queues_by_server[name]
                self.pools_by_server.pop(name).close()
                self.owner_checks.forget(name)
            else:
                self._reconfigure(queue, configuration.servers_by_name[name])
        for service in configuration.services_by_name.values():
            self.budget_of(service).ratio = service.retry.budget_ratio
        return True

    def _reconfigure(self, queue, server):
        service = self.configuration.services_by_name.get(server.service)
        if service is not None:
            self._run_commands(
                queue.reconfigure(
                    slots=server.slots,
                    policies_by_rank=service.ranks,
                    warmup_s=service.warmup_s,
                    now=self.now(),
                )
            )

    def apply_ownership(self, document):
        """Takes a newer ownership document into use."""
        if not self.table.apply(document):
            return False
        self.parked_requests.ownership_changed(document.service)
        return True

    # Called by relays.

    def request_started(self, relay):
        """Notes a new request."""
        self.relays.add(relay)

    def request_answered(self, relay):
        """Counts a request whose answer was passed on in whole."""
        classified = relay.classified
        self.metrics.count("answers_total", classified.rank)
        self.parked_requests.partition_served(classified)
        self.request_ended(relay)

    def request_ended(self, relay):
        """Forgets a request."""
        self.relays.discard(relay)
        classified = relay.classified
        if relay.parked_refusal is not None:
            self.parked_requests.forget(relay)
        if classified is not None and classified.permit is not None:
            permit, classified.permit = classified.permit, None
            self.limits.release(permit)

    def admit(self, head, forward=None):
        """Returns the classified request.

        :param forward: the signed fields of a forwarded request, or None.
        :raises Refusal: if an operator's rule or the request itself forbids it.
        """
        now = self.now()
        if self.closing and not self.shutdown.in_grace_period:
            raise Refusal(codes.SHUTTING_DOWN)
        if not self.configuration.version:
            raise Refusal(codes.NOT_READY)
        if forward is not None:
            self.metrics.count("forwards_total", "in")
            return classify_forward(forward, self.configuration, now)
        classified = classify(head, self.configuration, now)
        classified.permit = self.limits.admit(classified, now)
        self.metrics.count("requests_total", classified.rank)
        return classified

    def route(self, classified, forward=None):
        """Returns the route of the owning server.

        :param forward: the signed fields of a forwarded request, or None.
        :raises Refusal: if no server owns the partition.
        """
        route = self.table.route(classified.service.name, classified.partition)
        if route is None or route.server is None:
            raise Refusal(codes.NO_OWNER)
        if forward is not None and route.epoch < forward.epoch:
            raise Refusal(codes.OWNER_FENCED, "the gateway does not know the epoch yet")
        if route.moving:
            raise Refusal(codes.PARTITION_MOVING)
        if route.server not in self.configuration.servers_by_name:
            raise Refusal(codes.NO_OWNER, "the owner is not configured")
        return route

    # Gateways.

    def gateway_of(self, server_name):
        """Returns the peer in front of a server, or None for this node."""
        server = self.configuration.servers_by_name[server_name]
        return self.gateways.choose(server, self.now())

    def is_gateway_of_unfenced_servers(self, zone):
        """Returns whether this node is gateway of unfenced servers of a zone."""
        configuration = self.configuration
        return any(
            server.zone == zone
            and not configuration.services_by_name[server.service].fenced
            and self.gateway_of(server.name) is None
            for server in configuration.servers_by_name.values()
        )

    def forward(self, relay):
        """Sends a request to the gateway of its owner."""
        self.metrics.count("forwards_total", "out")
        peer = relay.peer
        address = (peer.forward_host, peer.forward_port)
        pool = self.pools_by_peer_address.get(address)
        if pool is None:
            pool = ConnectionPool(
                reactor=self.reactor,
                host=peer.forward_host,
                port=peer.forward_port,
                maximum=MAX_CONNECTIONS_PER_PEER,
                clock=self.now,
                unreachable=codes.GATEWAY_UNREACHABLE,
            )
            self.pools_by_peer_address[address] = pool
        pool.acquire(relay, idempotent=relay.classified.idempotent)

    def avoid_peer(self, peer):
        """Passes over a peer that takes no requests, for a while."""
        self.gateways.avoid(peer.node_id, self.now())

    # Queues and connections of servers.

    def queue_of(self, server_name, service):
        """Returns the queue of a server, made when first needed."""
        queue = self.queues_by_server.get(server_name)
        if queue is None:
            server = self.configuration.servers_by_name[server_name]
            queue = ServerQueue(
                slots=server.slots,
                policies_by_rank=service.ranks,
                warmup_s=service.warmup_s,
            )
            if server_name in self.warming_servers:
                self.warming_servers.discard(server_name)
                queue.warm_up(self.now())
            self.queues_by_server[server_name] = queue
        return queue

    def pool_of(self, server_name):
        """Returns the connections to a server."""
        pool = self.pools_by_server.get(server_name)
        if pool is None:
            server = self.configuration.servers_by_name[server_name]
            host, port = split_address(server.address)
            pool = ConnectionPool(
                reactor=self.reactor,
                host=host,
                port=port,
                maximum=server.connections,
                clock=self.now,
            )
            self.pools_by_server[server_name] = pool
        return pool

    def offer(self, queue, ticket):
        """Offers a ticket to a server's queue."""
        self._run_commands(queue.offer(ticket, self.now()))

    def release(self, queue, ticket, signal):
        """Gives back the slot of a ticket."""
        self._run_commands(queue.release(ticket, self.now(), signal))

    def cancel(self, queue, ticket):
        """Takes a ticket out of a server's queue."""
        self._run_commands(queue.cancel(ticket, self.now()))

    def retry(self, relay, attempt):
        """Starts another attempt and returns True if policy and budget allow."""
        allowed = may_retry(
            attempt,
            idempotent=relay.classified.idempotent,
            replayable=relay.body is not None,
            forwarded_bytes=relay.forwarded_bytes,
        )
        if not allowed:
            self.metrics.count("retries_denied_total", Denied.UNSAFE.value)
            return False
        plan = plan_retry(
            attempts=relay.attempts,
            rules=relay.classified.service.retry,
            budget=self.budget_of(relay.classified.service),
            backoff=self.backoff,
            remaining_s=relay.classified.deadline - self.now(),
            needed_s=relay.queue.fastest_s(relay.classified.rank)
            if relay.queue
            else 0.0,
        )
        if not isinstance(plan, Retry):
            self.metrics.count("retries_denied_total", plan.value)
            if plan is Denied.BUDGET and attempt.code is codes.SERVER_SHED:
                # Says that the whole service is short, not this one server. Other
                # causes stay named: they are no load decisions.
                attempt.code = codes.RETRY_BUDGET_SPENT
            return False
        self.metrics.count("retries_total", attempt.reason)
        self.reactor.callLater(plan.delay_s, self.retry_now, relay)
        return True

    def retry_now(self, relay):
        """Routes a request again; an error ends that request alone."""
        try:
            relay.retry_now()
        except Exception:
            self._fail_relay(relay)

    def count_first_attempt(self, service):
        """Credits the retry budget of a service with a first attempt."""
        self.metrics.count("first_attempts_total")
        self.budget_of(service).earn()

    def budget_of(self, service):
        """Returns the retry budget of a service."""
        budget = self.budgets_by_service.get(service.name)
        if budget is None:
            budget = RetryBudget(ratio=service.retry.budget_ratio)
            self.budgets_by_service[service.name] = budget
        return budget

    def count_result(self, code):
        """Counts a result made by briarspoke."""
        self.metrics.count("refusals_total", code.number)

    def count_attempt(self, outcome):
        """Counts an attempt that ended without an answer."""
        self.metrics.count("attempts_total", outcome.value)

    # Time.

    def tick(self):
        """Ends requests whose deadline has passed; called every ``TICK_S``."""
        now = self.now()
        if not self._gc_frozen:
            self._gc_frozen = True
            # Full collections would visit every object of the program's modules
            # and pause the process for 20 ms.
            gc.collect()
            gc.freeze()
        self.gateways.refresh(self.peers_by_id)
        self.parked_requests.tick(now)
        for queue in list(self.queues_by_server.values()):
            self._run_commands(queue.tick(now))
        expired = [
            relay
            for relay in self.relays
            if relay.expires_at is not None and relay.expires_at <= now
        ]
        for relay in expired:
            try:
                relay.deadline_passed()
            except Exception:
                self._fail_relay(relay)
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_INTERVAL_S
            self._sweep(now)

    def _sweep(self, now):
        for channel in list(self.channels):
            channel.sweep(now)
        pools = self.pools()
        for pool in pools:
            pool.close_idle(now)
        lost = lost_transports(
            [channel.transport for channel in self.channels],
            [connection.transport for pool in pools for connection in pool.connections],
        )
        for transport in lost:
            transport.abortConnection()

    def _run_commands(self, commands):
        """Carries commands out one after the other.

        A command may lead to further ones; carrying those out inside it would
        nest as deep as the queue is long.
        """
        self._commands.extend(commands)
        if self._running:
            return
        self._running = True
        try:
            while self._commands:
                self._run_command(self._commands.popleft())
        finally:
            self._running = False

    def _run_command(self, command):
        relay = command.ticket.context
        try:
            if isinstance(command, Start):
                if relay.ticket is command.ticket:
                    relay.slot_granted()
            elif relay.ticket is command.ticket:
                relay.ticket = None
                relay.refuse(
                    Refusal(command.code, retry_after_ms=command.retry_after_ms)
                )
        except Exception:
            self._fail_relay(relay)

    def _fail_relay(self, relay):
        log.exception("router: request %s failed", relay.request_id)
        relay.crash()

    # Shutdown.

    @property
    def closing(self):
        """Whether the graceful end has begun."""
        return self.shutdown.started

    def drain(self, timeout_s):
        """Finishes what is in flight; the ports have to be closed before.

        :returns: a Deferred of the number of requests that were cut off.
        """
        return self.shutdown.run(timeout_s)

    def pools(self):
        """Returns the connections to all servers and peers."""
        return [*self.pools_by_server.values(), *self.pools_by_peer_address.values()]
