"""What the relays of one node share: table, queues, connections, counters."""

from __future__ import annotations

import collections
import gc
import logging

from twisted.internet import defer, task

from briarspoke import codes
from briarspoke.admission.queue import ServerQueue, Start
from briarspoke.configuration.snapshot import Configuration, split_address
from briarspoke.errors import Refusal
from briarspoke.http.callers import CLOSING_GRACE_S, LINGER_S
from briarspoke.http.forward import classified_of, forward_key
from briarspoke.http.gateways import Gateways
from briarspoke.http.pool import ConnectionPool
from briarspoke.http.probe import lost_transports
from briarspoke.retry.policy import RetryBudget, may_retry
from briarspoke.routing.classify import classify
from briarspoke.routing.table import RoutingTable

log = logging.getLogger(__name__)

TICK_S = 0.01
SWEEP_S = 1.0
DRAIN_POLL_S = 0.02
# Each forwarded request that waits at its gateway holds a connection.
CONNECTIONS_PER_PEER = 1024


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
        self.relays = set()
        self.channels = set()
        self.closing = False
        self._closing_since = None
        self._next_sweep = 0.0
        self._commands = collections.deque()
        self._running = False
        self._settled = False

    # Configuration and ownership.

    def apply_configuration(self, configuration):
        """Takes a newer configuration into use."""
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        for name in list(self.queues_by_server):
            if name not in configuration.servers_by_name:
                del self.queues_by_server[name]
                self.pools_by_server.pop(name).close()
        return True

    # Called by relays.

    def request_started(self, relay):
        """Notes a new request."""
        self.relays.add(relay)

    def request_answered(self, relay):
        """Counts a request whose answer was passed on in whole."""
        self.metrics.count("answers_total", relay.classified.rank)
        self.request_ended(relay)

    def request_ended(self, relay):
        """Forgets a request."""
        self.relays.discard(relay)

    def admit(self, head, forward=None):
        """Returns the classified request.

        :param forward: the signed fields of a forwarded request, or None.
        :raises Refusal: if an operator's rule or the request itself forbids it.
        """
        now = self.now()
        if self.closing and now > self._closing_since + CLOSING_GRACE_S:
            raise Refusal(codes.SHUTTING_DOWN)
        if not self.configuration.version:
            raise Refusal(codes.NOT_READY)
        if forward is not None:
            self.metrics.count("forwards_total", "in")
            return classified_of(forward, self.configuration, now)
        classified = classify(head, self.configuration, now)
        self.metrics.count("requests_total", classified.rank)
        self.budget_of(classified.service).earn()
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
                maximum=CONNECTIONS_PER_PEER,
                clock=self.now,
                unreachable=codes.GATEWAY_UNREACHABLE,
            )
            self.pools_by_peer_address[address] = pool
        pool.acquire(relay)

    def avoid_peer(self, peer):
        """Passes over a peer that takes no requests, for a while."""
        self.gateways.avoid(peer.node_id, self.now())

    # Queues and connections of servers.

    def queue_of(self, server_name, service):
        """Returns the queue of a server, made when first needed."""
        queue = self.queues_by_server.get(server_name)
        if queue is None:
            server = self.configuration.servers_by_name[server_name]
            queue = ServerQueue(slots=server.slots, policies_by_rank=service.ranks)
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
        self._run(queue.offer(ticket, self.now()))

    def release(self, queue, ticket, signal):
        """Gives back the slot of a ticket."""
        self._run(queue.release(ticket, self.now(), signal))

    def cancel(self, queue, ticket):
        """Takes a ticket out of a server's queue."""
        self._run(queue.cancel(ticket, self.now()))

    def retry(self, relay, attempt):
        """Starts another attempt and returns True if policy and budget allow."""
        allowed = may_retry(
            attempt,
            idempotent=relay.classified.idempotent,
            replayable=relay.body is not None,
            forwarded_bytes=relay.forwarded_bytes,
        )
        if not allowed:
            return False
        service = relay.classified.service
        if relay.attempts >= service.retry.attempts:
            return False
        if relay.classified.deadline <= self.now():
            return False
        if not self.budget_of(service).spend():
            return False
        self.metrics.count("retries_total", attempt.reason)
        self.reactor.callLater(0.01 * relay.attempts, self._retry_now, relay)
        return True

    def _retry_now(self, relay):
        try:
            relay.retry_now()
        except Exception:
            self._crashed(relay)

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
        if not self._settled:
            self._settled = True
            # Full collections would visit every object of the program's modules
            # and pause the process for 20 ms.
            gc.collect()
            gc.freeze()
        self.gateways.refresh(self.peers_by_id)
        for queue in list(self.queues_by_server.values()):
            self._run(queue.tick(now))
        expired = [
            relay
            for relay in self.relays
            if relay.expires_at is not None and relay.expires_at <= now
        ]
        for relay in expired:
            try:
                relay.deadline_passed()
            except Exception:
                self._crashed(relay)
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_S
            self._sweep(now)

    def _sweep(self, now):
        for channel in list(self.channels):
            channel.sweep(now)
        pools = self._pools()
        for pool in pools:
            pool.close_idle(now)
        lost = lost_transports(
            [channel.transport for channel in self.channels],
            [connection.transport for pool in pools for connection in pool.connections],
        )
        for transport in lost:
            transport.abortConnection()

    def _run(self, commands):
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
                self._carry_out(self._commands.popleft())
        finally:
            self._running = False

    def _carry_out(self, command):
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
            self._crashed(relay)

    def _crashed(self, relay):
        log.exception("router: request %s failed", relay.request_id)
        relay.crash()

    # Shutdown.

    @defer.inlineCallbacks
    def drain(self, timeout_s):
        """Finishes what is in flight and logs what was left at the timeout.

        The ports have to be closed before.

        :returns: a Deferred of the number of requests that were cut off.
        """
        self.closing = True
        self._closing_since = self.now()
        deadline = self._closing_since + timeout_s
        while self._drains() and self.now() < deadline:
            yield task.deferLater(self.reactor, DRAIN_POLL_S, lambda: None)
        left = list(self.relays)
        for relay in left:
            log.warning(
                "router: request %s was cut off by the shutdown", relay.request_id
            )
            relay.broken_off(codes.SHUTTING_DOWN)
        for channel in list(self.channels):
            channel.linger()
        # The last answers are still in write buffers.
        flushed_by = self.now() + LINGER_S
        while self.channels and self.now() < flushed_by:
            yield task.deferLater(self.reactor, DRAIN_POLL_S, lambda: None)
        for pool in self._pools():
            pool.close()
        return len(left)

    def _drains(self):
        if self.relays:
            return True
        # A request may be on its way on a kept connection.
        return bool(self.channels) and (
            self.now() < self._closing_since + CLOSING_GRACE_S
        )

    def _pools(self):
        return [*self.pools_by_server.values(), *self.pools_by_peer_address.values()]
