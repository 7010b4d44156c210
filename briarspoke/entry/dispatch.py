"""Load balancing and request queues of one service."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random

from briarspoke import codes
from briarspoke.entry import shares
from briarspoke.entry.affinity import Affinity
from briarspoke.entry.allowances import Gates
from briarspoke.entry.budget import RetryBudget
from briarspoke.entry.misdirection import MisdirectedOwners
from briarspoke.entry.servicetimes import ServiceTime
from briarspoke.keyspace.keymap import UNOWNED

# A request goes to another zone only if the expected wait in the own zone is longer by
# this factor. Traffic between zones is billed by the byte, so each byte of the body
# adds to the factor.
CROSS_ZONE_FACTOR = 1.25
CROSS_ZONE_FACTOR_PER_BYTE = 1 / 30_000
# Factor on the expected wait at a server that this entry VM does not prefer. With 2.5,
# a preferred server gets a second request in flight before another server gets one.
NON_PREFERRED_FACTOR = 2.5
# The expected wait at a server whose answers are all lost is multiplied by
# 1 + LOSS_FACTOR.
LOSS_FACTOR = 8.0
# A request may wait in a queue for at least this fraction of the latency objective,
# even if little or nothing of the objective remains.
MIN_QUEUE_WAIT_FRACTION = 0.125
# Fraction of the latency objective for which a request waits while no server can take
# it, for example while its key changes owner.
SERVER_WAIT_FRACTION = 0.5
# The queue of a server that shed a request drains in about this time.
SHED_PAUSE_S = 0.1
# Pause of an owner of keys that rejected a request because it is full, as a fraction of
# its service time; drawn anew each time, so that VMs do not return together.
FULL_OWNER_PAUSE = (0.15, 0.45)
# A server that sheds a request counts as overloaded if its latency exceeds the mean of
# the service by this factor. A faster one sheds for another reason and is not paused.
CONGESTION_RATIO = 1.5
# Every entry VM may have at least one request in flight at a server, so many VMs can
# together exceed the capacity of the owner of a hot key. When the owner's latency
# exceeds this fraction of the objective, each VM pauses between two requests to it. The
# pause is proportional to the excess latency and to the number of VMs per request that
# the server can take.
PACING_THRESHOLD_FRACTION = 0.4
PACING_FACTOR = 2.0
MAX_PACING_PAUSE_S = 2.5
# Service time that is assumed until a server has answered, as a fraction of the
# shortest latency objective of the service, and without a configuration.
UNKNOWN_LATENCY_FRACTION = 0.3
UNKNOWN_LATENCY_S = 0.1
# Servers that must have answered before their mean is assumed for the others.
MIN_ANSWERED_SERVERS = 3
# Callers whose key is limited return after about this fraction of the latency
# objective, which leaves time to be served within it.
LIMITED_RETRY_FRACTION = 0.4
# Retry hints are spread by this fraction to both sides, so that callers that were
# refused together do not return together.
RETRY_SPREAD = 0.3
# Added to the rank of repeats at a server with a rate limit, so that they follow all
# first tries.
REPEAT_RANK = 1_000
# Rank of a permit for which no request waits yet.
SPARE_RANK = 2 * REPEAT_RANK
# Pause of a server that answers that it is not responsible for a request, in a service
# without keys.
WRONG_SERVER_PAUSE_S = 1.0


class Dispatcher:
    """Sends the requests of one service to its servers, and queues them.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param name: name of the service.
    """

    def __init__(self, *, node, name):
        self.name = name
        self.servers = {}
        self.budget = RetryBudget(
            ratio=node.settings.retry_ratio,
            slack=node.settings.retry_slack,
            window_s=node.settings.retry_window_s,
        )
        self.gates = Gates()
        self._service_times_by_route = {}
        self._misdirected_owners = MisdirectedOwners()
        self._node = node
        self._affinity = Affinity(node=node.settings.node)
        self._waiting = []
        self._sequence_numbers = itertools.count()

    @property
    def keyed(self):
        """Whether the service has keys, each owned by a single server."""
        service = self._node.routing_table.services.get(self.name)
        return service is not None and service.keyed

    def count_request(self, exchange):
        """Counts a caller's request for the retry budget and the load per key."""
        self.budget.count_request(self._node.now())
        key = exchange.request.key
        if key is not None and self.keyed:
            self._node.key_load.count(self.name, key)

    def expected_latency_s(self):
        """Returns the service time to expect of a server that has not answered yet."""
        answered = [s.latency_s for s in self.servers.values() if s.answer_count]
        if len(answered) >= MIN_ANSWERED_SERVERS:
            return sum(answered) / len(answered)
        table = self._node.routing_table
        objective_s = None if table is None else table.shortest_objective_s(self.name)
        if objective_s is None:
            return UNKNOWN_LATENCY_S
        return UNKNOWN_LATENCY_FRACTION * objective_s

    def admits(self, exchange):
        """Returns whether a new request is admitted, and refuses it otherwise.

        Requests for the hot keys of an overloaded owner are admitted in the fraction
        that the controller has announced.
        """
        key = exchange.request.key
        gate = self.gates.gate(key, self._node.now()) if self.keyed else None
        if gate is None or gate.admits():
            return True
        retry_after_s = max(
            self._node.RETRY_AFTER_LOAD_S,
            LIMITED_RETRY_FRACTION * exchange.route.objective_s,
        )
        exchange.refuse(codes.OWNER_OVERLOADED, _spread(retry_after_s))
        return False

    def count_answer(self, exchange, server, seconds):
        """Records the answer of a server, and pauses an overloaded owner of keys.

        :param seconds: service time of the request.
        """
        weight = server.record_answer(seconds)
        self._service_time(exchange.route).record(seconds)
        if not self.keyed:
            return
        server_id = server.record.server_id
        self._node.key_load.answered(self.name, server_id, seconds, weight)
        self._misdirected_owners.record_answer(self._owner_of_key(exchange))
        if self.gates.gate(exchange.request.key, self._node.now()) is not None:
            # The controller limits the requests for the key.
            return
        objective_s = exchange.route.objective_s
        share = shares.equal_share(server.record.slots, self._node.node_count)
        excess_s = server.min_recent_latency_s - PACING_THRESHOLD_FRACTION * objective_s
        if share < 1 and excess_s > 0:
            server.pause(
                min(MAX_PACING_PAUSE_S, PACING_FACTOR * (1 / share - 1) * excess_s)
            )

    def spend_retry(self, now):
        """Takes one retry from the budget; returns False if none is left."""
        if self.budget.spend(now, self._node.node_count):
            return True
        self._node.metrics.count("retries_denied_total", "budget")
        return False

    def _service_time(self, route):
        service_time = self._service_times_by_route.get(route.name)
        if service_time is None:
            service_time = ServiceTime(assumed_s=self.expected_latency_s())
            self._service_times_by_route[route.name] = service_time
        return service_time

    def latest_start(self, exchange, server=None):
        """Returns the time until which a request may be sent before the process stops.

        :param server: the server that would get it, or None if that is not known.
        """
        due_at = self._node.answers_due_at
        if exchange.expires_at <= due_at:
            return math.inf
        needed_s = self._service_time(exchange.route).upper_s
        if server is not None:
            needed_s = max(needed_s, server.service_time.upper_s)
        return due_at - needed_s

    def dispatch(self, exchange):
        """Sends a request to a server, queues it, or refuses it."""
        if exchange.done or exchange.refuse_if_too_late():
            return
        if self.keyed:
            self._dispatch_keyed(exchange)
        else:
            self._dispatch_unkeyed(exchange)

    def _dispatch_unkeyed(self, exchange):
        server = self._choose_server(exchange)
        if server is not None:
            exchange.send(server)
            return
        usable = [s for s in self.servers.values() if self._is_usable(s)]
        if not usable:
            self.wait_for_server(exchange, codes.NO_OWNER)
            return
        unlimited = [s for s in usable if s.limit.per_s is None]
        if not unlimited:
            self._wait_for_permit(exchange, self._waiting, usable)
            return
        usable = unlimited
        latency_s = sum(s.latency_s for s in usable) / len(usable)
        capacity = min(
            self._service_limit(usable), sum(self.in_flight_limit(s) for s in usable)
        )
        ahead = sum(1 for entry in self._waiting if entry[0] <= exchange.route.priority)
        self._queue_or_refuse(
            exchange, self._waiting, (ahead + 1) * latency_s / capacity, latency_s
        )

    def _dispatch_keyed(self, exchange):
        key = exchange.request.key
        owner = self._node.key_maps.owner(self.name, key)
        server = self._owner_server(key)
        if server is None:
            is_moving = owner is not None and owner.server_id == UNOWNED
            self.wait_for_server(
                exchange, codes.PARTITION_MOVING if is_moving else codes.NO_OWNER
            )
            return
        now = self._node.now()
        if not (
            exchange.may_send_to(owner) and self._misdirected_owners.may_try(owner, now)
        ):
            self.wait_for_server(exchange, codes.PARTITION_MOVING)
            return
        if server.is_failing and server.paused_until > now:
            self._refuse_unreachable(exchange, server)
            return
        if self._has_capacity(server) and not server.waiting:
            self._send_to_owner(exchange, server, owner)
            return
        if server.limit.per_s is not None:
            self._wait_for_permit(exchange, server.waiting, [server])
            return
        ahead = sum(
            1 for entry in server.waiting if entry[0] <= exchange.route.priority
        )
        wait_s = (ahead + 1) * server.latency_s / self.in_flight_limit(server)
        self._queue_or_refuse(exchange, server.waiting, wait_s, server.latency_s)

    def _wait_for_permit(self, exchange, waiting, servers):
        """Queues or refuses a request that only servers with a rate limit can take.

        :param waiting: the queue.
        :param servers: servers that can take the request.
        """
        rank = self._rank(exchange, servers[0])
        ahead = sum(1 for entry in waiting if entry[0] <= rank)
        latency_s = sum(server.latency_s for server in servers) / len(servers)
        in_flight_limit = sum(self.in_flight_limit(server) for server in servers)
        wait_s = self._expected_permit_s(servers, rank, ahead)
        self._queue_or_refuse(
            exchange,
            waiting,
            max(wait_s, ahead * latency_s / in_flight_limit),
            latency_s,
            code=codes.SERVER_RATE_LIMIT,
            rank=rank,
        )
        for server in servers:
            self._ask_for_permits(server)

    def _rank(self, exchange, server):
        priority = exchange.route.priority
        is_repeat = exchange.attempts > 0 and server.limit.per_s is not None
        return priority + REPEAT_RANK if is_repeat else priority

    def _ask_for_permits(self, server):
        if server.limit.per_s is None:
            return
        wanted_by_rank = collections.Counter(entry[0] for entry in server.waiting)
        if self._waiting and not self.keyed:
            limited = [s for s in self.servers.values() if s.limit.per_s is not None]
        for rank, number, exchange in self._waiting:
            if self.keyed:
                asked = self._owner_server(exchange.request.key)
            else:
                # A permit of another server for the same request would be lost.
                asked = limited[number % len(limited)]
            if asked is server:
                wanted_by_rank[rank] += 1
        if server.wants_spare_permit:
            wanted_by_rank[SPARE_RANK] = 1
        self._node.rate_limits.ask(self.name, server, wanted_by_rank)

    def permits_arrived(self, server):
        """Sends the requests that have permits, and refuses those that get none."""
        server.wants_spare_permit = False
        self.on_request_ended(server)
        if server.limit.per_s is None:
            return
        self._refuse_late(server.waiting, [server])
        if not self.keyed:
            usable = [s for s in self.servers.values() if self._is_usable(s)]
            if all(s.limit.per_s is not None for s in usable):
                self._refuse_late(self._waiting, usable)
        self._ask_for_permits(server)

    def _refuse_late(self, waiting, servers):
        """Refuses the requests of a queue that would get a permit too late."""
        now = self._node.now()
        for ahead, entry in enumerate(sorted(waiting, key=lambda e: e[:2])):
            exchange = entry[2]
            if exchange.done or exchange.queued_at is None:
                continue
            wait_s = self._expected_permit_s(servers, entry[0], ahead)
            late_s = now + wait_s - exchange.give_up_at
            if late_s > 0:
                self.dequeue(exchange)
                self._refuse_for(exchange, codes.SERVER_RATE_LIMIT, late_s)

    def _expected_permit_s(self, servers, rank, ahead):
        """Returns the expected wait until one of some servers has a permit.

        :param rank: rank of the request.
        :param ahead: requests that wait for the same servers before it.
        """
        ahead //= len(servers)
        return min(
            self._node.rate_limits.expected_wait_s(server, rank=rank, ahead=ahead)
            for server in servers
        )

    def _refuse_for(self, exchange, code, late_s):
        """Refuses a request whose queue is too long.

        :param late_s: seconds by which its turn would come too late.
        """
        # By then, as many requests have left the queue as it has too many now.
        exchange.refuse(code, _spread(max(self._node.RETRY_AFTER_LOAD_S, late_s)))

    def _queue_or_refuse(
        self,
        exchange,
        waiting,
        wait_s,
        latency_s,
        *,
        code=codes.DEADLINE_UNREACHABLE,
        rank=None,
    ):
        """Queues a request, or refuses it if it is expected to wait too long.

        :param waiting: the queue.
        :param wait_s: expected wait in the queue.
        :param latency_s: expected service time after the wait.
        :param code: result code of a refusal.
        :param rank: rank in the queue; None for the priority of the route.
        """
        now = self._node.now()
        objective_s = exchange.route.objective_s
        remaining_s = exchange.request.arrived_at + objective_s - now - latency_s
        max_wait_s = max(remaining_s, MIN_QUEUE_WAIT_FRACTION * objective_s)
        if wait_s > max_wait_s:
            self._refuse_for(exchange, code, wait_s - max_wait_s)
            return
        if code is codes.DEADLINE_UNREACHABLE:
            code = codes.QUEUE_FULL
        self._enqueue(exchange, waiting, now + max_wait_s, code, rank)

    def wait_for_server(self, exchange, code):
        """Queues a request for which no server is available at present.

        :param code: result code if the wait times out.
        """
        if exchange.done:
            return
        now = self._node.now()
        max_wait_s = SERVER_WAIT_FRACTION * exchange.route.objective_s
        wait_until = exchange.request.arrived_at + max_wait_s
        if exchange.misdirected_count:
            wait_until = max(wait_until, now + max_wait_s / 2)
        if now >= wait_until:
            exchange.refuse(code, self._node.RETRY_AFTER_UNAVAILABLE_S)
            return
        self._enqueue(exchange, self._waiting, wait_until, code)

    def _enqueue(self, exchange, waiting, give_up_at, code, rank=None):
        latest_start = self.latest_start(exchange)
        if latest_start < give_up_at:
            give_up_at, code = latest_start, codes.SHUTTING_DOWN
        exchange.queued_at = self._node.now()
        exchange.give_up_at = give_up_at
        exchange.refusal_code = code
        if rank is None:
            rank = exchange.route.priority
        entry = (rank, next(self._sequence_numbers), exchange)
        if waiting is self._waiting:
            heapq.heappush(waiting, entry)
        else:
            waiting.append(entry)
        self._node.timers.add(min(give_up_at, exchange.expires_at), exchange)

    def dequeue(self, exchange):
        """Removes a request from the queue in which it waits."""
        exchange.queued_at = None
        for waiting in (self._waiting, *(s.waiting for s in self.servers.values())):
            for entry in waiting:
                if entry[2] is exchange:
                    waiting.remove(entry)
                    if waiting is self._waiting:
                        heapq.heapify(waiting)
                    return

    def in_flight_limit(self, server):
        """Returns how many requests this entry VM may have in flight at a server."""
        slots, vms = server.record.slots, self._node.node_count
        if self.keyed:
            keys_limited = self.gates.are_active(self._node.now())
            return shares.owner_limit(slots, vms, keys_limited=keys_limited)
        preferring_vms = None
        if self._affinity.prefers(server.record.server_id):
            preferring_vms = self._affinity.vms_per_server
        return shares.server_limit(slots, vms, preferring_vms=preferring_vms)

    def _service_limit(self, usable):
        slots = sum(server.record.slots for server in usable)
        return shares.service_limit(slots, self._node.node_count)

    def _has_capacity(self, server):
        return self._has_slot(server) and self._node.rate_limits.has_permit(server)

    def _has_slot(self, server):
        return server.in_flight < self.in_flight_limit(server) and (
            server.paused_until <= self._node.now()
        )

    def _is_usable(self, server):
        if server.replaced:
            return False
        if server.drain_until is None:
            return (
                not server.registration_missing
                or self.keyed
                or self._most_are_missing()
            )
        # A draining owner serves its keys until they have moved to another server.
        return self.keyed and self._node.now() < server.drain_until

    def _most_are_missing(self):
        """Returns whether more than half of the servers have no registration.

        In that case the store has probably had an outage and the servers still run. A
        server that is missing while most are registered has left the service while
        this entry VM was cut off from the store.
        """
        missing_count = sum(
            server.registration_missing for server in self.servers.values()
        )
        return 2 * missing_count > len(self.servers)

    def _choose_server(self, exchange):
        now = self._node.now()
        zone = self._node.settings.zone
        body_bytes = len(exchange.request.body)
        cross_zone_factor = CROSS_ZONE_FACTOR + body_bytes * CROSS_ZONE_FACTOR_PER_BYTE
        usable = [s for s in self.servers.values() if self._is_usable(s)]
        in_flight = sum(server.in_flight for server in usable)
        if in_flight >= self._service_limit(usable):
            return None
        best = None
        best_score = math.inf
        for server in usable:
            if server in exchange.tried or not self._has_slot(server):
                continue
            if not self._node.rate_limits.has_permit(server):
                # A later request can use it.
                server.wants_spare_permit = True
                continue
            score = server.expected_s(now) * (1 + server.in_flight)
            score *= 1 + LOSS_FACTOR * server.loss_rate
            if not self._affinity.prefers(server.record.server_id):
                score *= self._non_preferred_factor()
            if server.record.zone != zone:
                score *= cross_zone_factor
            if score < best_score:
                best, best_score = server, score
        return best

    def _non_preferred_factor(self):
        # In a zone with few entry VMs, each VM prefers all servers of the zone, so
        # there is nothing to distinguish.
        return (
            NON_PREFERRED_FACTOR
            if self._affinity.vms_per_server < self._zone_node_count()
            else 1.0
        )

    def _zone_node_count(self):
        return len(self._node.zone_nodes)

    def _update_affinity(self):
        zone = self._node.settings.zone
        in_zone = sorted(
            server.record.server_id
            for server in self.servers.values()
            if server.record.zone == zone and self._is_usable(server)
        )
        self._affinity.update(self._node.zone_nodes, tuple(in_zone))

    def _owner_server(self, key):
        owner = self._node.key_maps.owner(self.name, key)
        if owner is None:
            return None
        server = self.servers.get(owner.server_id)
        if server is None or server.record.incarnation != owner.incarnation:
            return None
        return server if self._is_usable(server) else None

    def owner_of(self, exchange):
        """Returns the server that owns the key of a request, or None."""
        key = exchange.request.key
        return self._owner_server(key) if self.keyed and key is not None else None

    def _owner_of_key(self, exchange):
        return self._node.key_maps.owner(self.name, exchange.request.key)

    def _ready_owner(self, exchange):
        key = exchange.request.key
        server = self._owner_server(key)
        if server is None or not self._has_capacity(server):
            return None
        owner = self._node.key_maps.owner(self.name, key)
        if not self._misdirected_owners.may_try(owner, self._node.now()):
            return None
        return server if exchange.may_send_to(owner) else None

    def _send_to_owner(self, exchange, server, owner):
        self._misdirected_owners.record_try(owner, self._node.now())
        exchange.send(server)

    def on_misdirected(self, exchange, server, answering_id):
        """Handles an answer that says that a server is not responsible for a request.

        :param answering_id: identifier of the server that answered, as bytes, or None.
        """
        if answering_id is not None and answering_id != server.target:
            # Another server has the address now. The platform reuses an address only
            # after the process that had it has ended.
            server.replaced = True
            self._node.server_replaced(server.record, answering_id)
        elif self.keyed:
            owner = self._node.key_maps.owner(self.name, exchange.request.key)
            exchange.record_misdirected_by(owner)
            if owner is not None and owner.server_id == server.record.server_id:
                self._misdirected_owners.record_misdirected(owner, self._node.now())
        else:
            server.pause(WRONG_SERVER_PAUSE_S)

    def on_shed(self, server):
        """Pauses a server that has shed a request."""
        if self.keyed:
            # The owner is the only server for its keys, so a retry has to wait until
            # one of its slots is likely to be free.
            self._node.key_load.rejected(self.name, server.record.server_id)
            server.pause(random.uniform(*FULL_OWNER_PAUSE) * server.latency_s)
        elif self._is_congested(server):
            server.pause(SHED_PAUSE_S)

    def on_reset(self, server):
        """Counts a reset as a rejection if the server is overloaded.

        Some servers reset the connection when they are full.
        """
        if self._is_congested(server):
            self.on_shed(server)

    def _is_congested(self, server):
        latencies = [other.latency_s for other in self.servers.values()]
        if not latencies:
            return False
        return server.latency_s > CONGESTION_RATIO * sum(latencies) / len(latencies)

    def on_unreachable(self, exchange, server):
        """Dispatches, queues or refuses a request that could not be sent."""
        if exchange.done:
            return
        if not self.keyed:
            self._dispatch_unkeyed(exchange)
        elif server.is_failing:
            self._refuse_unreachable(exchange, server)
        else:
            self.wait_for_server(exchange, codes.OWNER_UNREACHABLE)

    def _refuse_unreachable(self, exchange, server):
        recovery_s = server.expected_recovery_s(self._node.now())
        exchange.refuse(
            codes.OWNER_UNREACHABLE,
            max(self._node.RETRY_AFTER_UNAVAILABLE_S, recovery_s),
        )

    def on_request_ended(self, server):
        """Sends waiting requests after a request at a server has ended."""
        while server.waiting and self._has_capacity(server):
            exchange = self._pop_most_urgent(server.waiting)
            if exchange is not None:
                exchange.queued_at = None
                self._dispatch_again(exchange)
        if self._waiting:
            self.dispatch_waiting()

    def _pop_most_urgent(self, waiting):
        entry = min(waiting)
        waiting.remove(entry)
        exchange = entry[2]
        return None if exchange.done else exchange

    def _dispatch_again(self, exchange):
        if self.keyed:
            server = self._ready_owner(exchange)
            if server is not None:
                self._send_to_owner(exchange, server, self._owner_of_key(exchange))
                return
        self.dispatch(exchange)

    def dispatch_waiting(self):
        """Sends requests from the common queue, most urgent first.

        Requests for which no server is available stay in the queue.
        """
        if not self._waiting:
            return
        blocked = []
        while self._waiting:
            entry = heapq.heappop(self._waiting)
            exchange = entry[2]
            if exchange.done or exchange.queued_at is None:
                continue
            if self.keyed:
                server = self._ready_owner(exchange)
            else:
                server = self._choose_server(exchange)
            if server is None:
                blocked.append(entry)
                if not self.keyed:
                    break
                continue
            exchange.queued_at = None
            if self.keyed:
                self._send_to_owner(exchange, server, self._owner_of_key(exchange))
            else:
                exchange.send(server)
        for entry in blocked:
            heapq.heappush(self._waiting, entry)

    def tick(self, now):
        """Sends requests whose server's pause is over, and closes idle connections.

        The entry VM calls this method periodically.
        """
        if not self.keyed:
            self._update_affinity()
        self._misdirected_owners.expire(now)
        for server in list(self.servers.values()):
            server.close_idle(now)
            if server.waiting:
                self.on_request_ended(server)
            self._ask_for_permits(server)
        self.dispatch_waiting()

    def add_server(self, server):
        """Adds a server, or replaces the one with the same identifier."""
        old = self.servers.get(server.record.server_id)
        self.servers[server.record.server_id] = server
        if old is not None:
            self._redispatch_waiting(old)
        self.dispatch_waiting()

    def remove_server(self, server_id):
        """Removes a server and dispatches the requests that waited for it."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            server.close()
            self._redispatch_waiting(server)

    def _redispatch_waiting(self, server):
        waiting, server.waiting = list(server.waiting), type(server.waiting)()
        for _, _, exchange in sorted(waiting, key=lambda entry: entry[:2]):
            if not exchange.done:
                exchange.queued_at = None
                self.dispatch(exchange)


def _spread(seconds):
    return seconds * random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
