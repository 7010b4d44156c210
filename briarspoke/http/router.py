"""Routing of requests, and the state that all requests of one entry VM share."""

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
# Each forwarded request holds a connection while it waits at its gateway.
MAX_CONNECTIONS_PER_PEER = 1024


class Router:
    """Routes the requests of one entry VM.

    :param clock: function that returns monotonic seconds.
    :param node_id: name of this entry VM.
    :param zone: availability zone of this entry VM.
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
        # The other live entry VMs: objects with node_id, zone, forward_host and
        # forward_port.
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
        self.proxied_requests = set()
        self.channels = set()
        self.shutdown = Shutdown(self)
        self._next_sweep_at = 0.0
        self._commands = collections.deque()
        self._running = False
        self._gc_frozen = False

    def apply_configuration(self, configuration):
        """Applies a configuration if it is newer than the one in use.

        :returns: whether it was applied.
        """
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
        """Applies an ownership document if it is newer than the one in use.

        :returns: whether it was applied.
        """
        if not self.table.apply(document):
            return False
        self.parked_requests.ownership_changed(document.service)
        return True

    def request_started(self, proxied):
        """Registers a new request."""
        self.proxied_requests.add(proxied)

    def request_answered(self, proxied):
        """Counts a request whose complete answer was passed on, and removes it."""
        classified = proxied.classified
        self.metrics.count("answers_total", classified.rank)
        self.parked_requests.partition_served(classified)
        self.request_ended(proxied)

    def request_ended(self, proxied):
        """Removes a request that has ended, and releases its limit permit."""
        self.proxied_requests.discard(proxied)
        classified = proxied.classified
        if proxied.parked_refusal is not None:
            self.parked_requests.forget(proxied)
        if classified is not None and classified.permit is not None:
            permit, classified.permit = classified.permit, None
            self.limits.release(permit)

    def admit(self, head, forward=None):
        """Classifies a request and applies the operators' limits to it.

        :param forward: the signed fields of a forwarded request, or None.
        :returns: the :class:`briarspoke.routing.classify.Classified`.
        :raises Refusal: if the request is invalid or exceeds a limit, or if this node
            is not ready or shutting down.
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
        """Returns the route to the server that owns the partition of a request.

        :param forward: the signed fields of a forwarded request, or None.
        :raises Refusal: if the partition has no configured owner, if it is moving,
            or if this node does not know the epoch of the forwarded request yet.
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

    def gateway_of(self, server_name):
        """Returns the peer that is gateway of a server, or None for this node."""
        server = self.configuration.servers_by_name[server_name]
        return self.gateways.choose(server, self.now())

    def is_gateway_of_unfenced_servers(self, zone):
        """Returns whether this node is gateway of any unfenced server in a zone."""
        configuration = self.configuration
        return any(
            server.zone == zone
            and not configuration.services_by_name[server.service].fenced
            and self.gateway_of(server.name) is None
            for server in configuration.servers_by_name.values()
        )

    def forward(self, proxied):
        """Sends a request to the gateway of the server that owns its partition."""
        self.metrics.count("forwards_total", "out")
        peer = proxied.peer
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
        pool.acquire(proxied, idempotent=proxied.classified.idempotent)

    def avoid_peer(self, peer):
        """Excludes a peer from the choice of gateways for a short time."""
        self.gateways.avoid(peer.node_id, self.now())

    def queue_of(self, server_name, service):
        """Returns the queue of a server, which is created on first use."""
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
        """Returns the connection pool of a server, which is created on first use."""
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
        """Adds a ticket to a server's queue."""
        self._run_commands(queue.offer(ticket, self.now()))

    def release(self, queue, ticket, signal):
        """Returns the slot of a ticket to a server's queue.

        :param signal: the :class:`briarspoke.admission.queue.LoadSignal` of the
            attempt that held the slot.
        """
        self._run_commands(queue.release(ticket, self.now(), signal))

    def cancel(self, queue, ticket):
        """Removes a ticket from a server's queue."""
        self._run_commands(queue.cancel(ticket, self.now()))

    def retry(self, proxied, attempt):
        """Schedules a retry if retry policy and retry budget allow it.

        :param attempt: the failed :class:`briarspoke.retry.policy.Attempt`. Its
            code is replaced if a server shed the request and the retry budget
            denies the retry.
        :returns: whether the request will be retried.
        """
        allowed = may_retry(
            attempt,
            idempotent=proxied.classified.idempotent,
            replayable=proxied.body is not None,
            forwarded_bytes=proxied.forwarded_bytes,
        )
        if not allowed:
            self.metrics.count("retries_denied_total", Denied.UNSAFE.value)
            return False
        plan = plan_retry(
            attempts=proxied.attempts,
            rules=proxied.classified.service.retry,
            budget=self.budget_of(proxied.classified.service),
            backoff=self.backoff,
            remaining_s=proxied.classified.deadline - self.now(),
            needed_s=proxied.queue.fastest_s(proxied.classified.rank)
            if proxied.queue
            else 0.0,
        )
        if not isinstance(plan, Retry):
            self.metrics.count("retries_denied_total", plan.value)
            if plan is Denied.BUDGET and attempt.code is codes.SERVER_SHED:
                # The code tells that the whole service lacks capacity, not just this
                # server. Other failures keep their codes, as load did not cause them.
                attempt.code = codes.RETRY_BUDGET_SPENT
            return False
        self.metrics.count("retries_total", attempt.reason)
        self.reactor.callLater(plan.delay_s, self.retry_now, proxied)
        return True

    def retry_now(self, proxied):
        """Routes a request again; an unexpected error ends only that request."""
        try:
            proxied.retry_now()
        except Exception:
            self._fail_proxied(proxied)

    def count_first_attempt(self, service):
        """Counts a first attempt and credits it to the retry budget of a service."""
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
        """Counts a result that briarspoke made, by its code."""
        self.metrics.count("refusals_total", code.number)

    def count_attempt(self, outcome):
        """Counts a failed attempt by its outcome."""
        self.metrics.count("attempts_total", outcome.value)

    def tick(self):
        """Ends expired requests and does periodic work; called every ``TICK_S``."""
        now = self.now()
        if not self._gc_frozen:
            self._gc_frozen = True
            # Otherwise each full garbage collection traverses the objects of all
            # imported modules and pauses the process for 20 ms.
            gc.collect()
            gc.freeze()
        self.gateways.refresh(self.peers_by_id)
        self.parked_requests.tick(now)
        for queue in list(self.queues_by_server.values()):
            self._run_commands(queue.tick(now))
        expired = [
            proxied
            for proxied in self.proxied_requests
            if proxied.expires_at is not None and proxied.expires_at <= now
        ]
        for proxied in expired:
            try:
                proxied.deadline_passed()
            except Exception:
                self._fail_proxied(proxied)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
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
        """Executes commands of queues one after another.

        A command may cause further commands. They are appended instead of executed
        recursively, because the recursion could get as deep as the queue is long.
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
        proxied = command.ticket.context
        try:
            if isinstance(command, Start):
                if proxied.ticket is command.ticket:
                    proxied.slot_granted()
            elif proxied.ticket is command.ticket:
                proxied.ticket = None
                proxied.refuse(
                    Refusal(command.code, retry_after_ms=command.retry_after_ms)
                )
        except Exception:
            self._fail_proxied(proxied)

    def _fail_proxied(self, proxied):
        log.exception("router: request %s failed", proxied.request_id)
        proxied.internal_error()

    @property
    def closing(self):
        """Whether the graceful shutdown has started."""
        return self.shutdown.started

    def drain(self, timeout_s):
        """Waits for in-flight requests; the ports must already be closed.

        :param timeout_s: seconds after which the remaining requests are ended.
        :returns: a Deferred of the number of requests that were ended.
        """
        return self.shutdown.run(timeout_s)

    def pools(self):
        """Returns the connection pools of all servers and peers."""
        return [*self.pools_by_server.values(), *self.pools_by_peer_address.values()]
