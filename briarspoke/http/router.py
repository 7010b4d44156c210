"""What the relays of one node share: table, queues, connections, counters."""

from __future__ import annotations

import logging
import random

from briarspoke import codes
from briarspoke.admission.limits import Limits
from briarspoke.admission.queue import ServerQueue, Start
from briarspoke.configuration.snapshot import Configuration, split_address
from briarspoke.errors import Refusal
from briarspoke.http.upstream import ConnectionPool
from briarspoke.retry.policy import Backoff, Denied, Retry, RetryBudget, plan_retry
from briarspoke.routing.classify import classify
from briarspoke.routing.table import RoutingTable

log = logging.getLogger(__name__)

TICK_S = 0.01


class Router:
    """Routes requests of one entry VM.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, reactor, clock, metrics):
        self.reactor = reactor
        self.now = clock
        self.metrics = metrics
        self.configuration = Configuration()
        self.table = RoutingTable()
        self.queues_by_server = {}
        self.pools_by_server = {}
        self.budgets_by_service = {}
        self.limits = Limits(live_nodes=lambda: 1)
        self.backoff = Backoff(random=random.Random())
        self.warming_servers = set()
        self.relays = set()
        self.closing = False

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
            else:
                self._reconfigure(queue, configuration.servers_by_name[name])
        for service in configuration.services_by_name.values():
            self.budget_of(service).ratio = service.retry.budget_ratio
        return True

    def _reconfigure(self, queue, server):
        service = self.configuration.services_by_name.get(server.service)
        if service is not None:
            self._run(
                queue.reconfigure(
                    slots=server.slots,
                    policies_by_rank=service.ranks,
                    warmup_s=service.warmup_s,
                    now=self.now(),
                )
            )

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
        classified = relay.classified
        if classified is not None and classified.permit is not None:
            permit, classified.permit = classified.permit, None
            self.limits.release(permit)

    def admit(self, head):
        """Returns the classified request.

        :raises Refusal: if an operator's rule or the request itself forbids it.
        """
        if self.closing:
            raise Refusal(codes.SHUTTING_DOWN)
        if not self.configuration.version:
            raise Refusal(codes.NOT_READY)
        classified = classify(head, self.configuration, self.now())
        classified.permit = self.limits.admit(classified, self.now())
        self.metrics.count("requests_total", classified.rank)
        return classified

    def route(self, classified):
        """Returns the route and the queue of the owning server.

        :raises Refusal: if no server owns the partition.
        """
        route = self.table.route(classified.service.name, classified.partition)
        if route is None or route.server is None:
            raise Refusal(codes.NO_OWNER)
        if route.moving:
            raise Refusal(codes.PARTITION_MOVING)
        if route.server not in self.configuration.servers_by_name:
            raise Refusal(codes.NO_OWNER, "the owner is not configured")
        return route, self.queue_of(route.server, classified.service)

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
        self._run(queue.offer(ticket, self.now()))

    def release(self, queue, ticket, signal):
        """Gives back the slot of a ticket."""
        self._run(queue.release(ticket, self.now(), signal))

    def cancel(self, queue, ticket):
        """Takes a ticket out of a server's queue."""
        self._run(queue.cancel(ticket, self.now()))

    def retry(self, relay, attempt, *, safe):
        """Starts another attempt and returns True if policy and budget allow.

        :param safe: whether it cannot make the request run twice.
        """
        if not safe:
            self.metrics.count("retries_denied_total", Denied.UNSAFE.value)
            return False
        plan = plan_retry(
            attempts=relay.attempts,
            rules=relay.classified.service.retry,
            budget=self.budget_of(relay.classified.service),
            backoff=self.backoff,
            remaining_s=relay.classified.deadline - self.now(),
            needed_s=relay.queue.fastest_s(relay.classified.rank),
        )
        if not isinstance(plan, Retry):
            self.metrics.count("retries_denied_total", plan.value)
            return False
        self.metrics.count("retries_total", attempt.reason)
        self.reactor.callLater(plan.delay_s, relay.retry_now)
        return True

    def first_attempt(self, service):
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
        for queue in list(self.queues_by_server.values()):
            self._run(queue.tick(now))
        expired = [
            relay
            for relay in self.relays
            if relay.classified is not None and relay.classified.deadline <= now
        ]
        for relay in expired:
            relay.deadline_passed()

    def _run(self, commands):
        for command in commands:
            relay = command.ticket.context
            if isinstance(command, Start):
                relay.slot_granted()
            else:
                relay.ticket = None
                relay.refuse(
                    Refusal(command.code, retry_after_ms=command.retry_after_ms)
                )
