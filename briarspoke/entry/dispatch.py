"""Load balancing and request queues of one service."""

from __future__ import annotations

import heapq
import itertools
import math
import random

from briarspoke import codes
from briarspoke.entry import room, shares
from briarspoke.entry.allowances import Gates
from briarspoke.entry.budget import RetryBudget
from briarspoke.entry.copies import Copies
from briarspoke.entry.misdirection import MisdirectedOwners
from briarspoke.entry.permitqueue import PermitQueue
from briarspoke.entry.selection import ServerSelection
from briarspoke.entry.serverload import LoadLevel
from briarspoke.entry.servicetimes import ServiceTime
from briarspoke.keyspace.keymap import UNOWNED

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
        # Requests since the start.
        self.arrived = 0
        self.load_level = LoadLevel()
        self.gates = Gates()
        self._service_times_by_route = {}
        self._misdirected_owners = MisdirectedOwners()
        self._node = node
        self.selection = ServerSelection(node=node, dispatcher=self)
        self.permit_queue = PermitQueue(node=node, dispatcher=self)
        self.copies = Copies(node=node, dispatcher=self)
        # Heap of (rank, sequence number, exchange): requests that wait for any server,
        # or until their key has an owner. Others wait in the queue of the owner.
        self.waiting = []
        self._sequence_numbers = itertools.count()

    @property
    def keyed(self):
        """Whether the service has keys, each owned by a single server."""
        service = self._node.routing_table.services.get(self.name)
        return service is not None and service.keyed

    def count_request(self, exchange):
        """Counts a caller's request for the retry budget and the load per key."""
        self.budget.count_request(self._node.now())
        self.arrived += 1
        self.copies.count_request(exchange)
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
        gate = self._gate(exchange) if self.keyed else None
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
        self.copies.record_answer(exchange, seconds)
        self._service_time(exchange.route).record(seconds)
        if not self.keyed:
            return
        server_id = server.record.server_id
        self._node.key_load.answered(self.name, server_id, seconds, weight)
        self._misdirected_owners.record_answer(self._owner_of_key(exchange))
        if self._gate(exchange) is not None:
            # The controller limits the requests for the key.
            return
        if self.selection.owner_limits.is_known_free(server):
            # Its answers take long for another reason than its load.
            return
        objective_s = exchange.route.objective_s
        share = shares.equal_share(server.record.slots, self._node.node_count)
        excess_s = server.min_recent_latency_s - PACING_THRESHOLD_FRACTION * objective_s
        if share < 1 and excess_s > 0:
            server.pause(
                min(MAX_PACING_PAUSE_S, PACING_FACTOR * (1 / share - 1) * excess_s)
            )

    def _gate(self, exchange):
        owner = self._owner_of_key(exchange)
        return self.gates.gate(
            exchange.request.key,
            None if owner is None else owner.server_id,
            self._node.now(),
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
        if exchange.request.completed_at > self._node.reading_ends_at:
            return -math.inf
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
        server = self.selection.choose(exchange)
        if server is not None:
            exchange.send(server)
            return
        usable = self.selection.usable()
        if not usable:
            pause_ends_at = self.selection.pause_ends_at()
            if pause_ends_at is None:
                self._wait_for_usable(exchange, codes.NO_OWNER)
            else:
                latency_s = self.expected_latency_s()
                self._wait_for_pause(exchange, self.waiting, pause_ends_at, latency_s)
            return
        unlimited = [s for s in usable if s.limit.per_s is None]
        if not unlimited:
            self.permit_queue.wait(exchange, self.waiting, usable)
            return
        usable = unlimited
        latency_s = sum(s.latency_s for s in usable) / len(usable)
        capacity = min(
            self.selection.service_limit(usable),
            sum(self.selection.in_flight_limit(s) for s in usable),
        )
        ahead = sum(1 for entry in self.waiting if entry[0] <= exchange.route.priority)
        self.queue_or_refuse(
            exchange, self.waiting, (ahead + 1) * latency_s / capacity, latency_s
        )

    def _dispatch_keyed(self, exchange):
        key = exchange.request.key
        owner = self._node.key_maps.owner(self.name, key)
        server = self.owner_server(key)
        if server is None:
            is_moving = owner is not None and (
                owner.server_id == UNOWNED or self._is_closing(owner)
            )
            self._wait_for_usable(
                exchange, codes.PARTITION_MOVING if is_moving else codes.NO_OWNER
            )
            return
        if not self._can_arrive(exchange, server):
            self._wait_for_usable(exchange, codes.PARTITION_MOVING)
            return
        now = self._node.now()
        if not (
            exchange.may_send_to(owner) and self._misdirected_owners.may_try(owner, now)
        ):
            self.wait_for_server(exchange, codes.PARTITION_MOVING)
            return
        if server.is_failing and server.intake.own_until > now:
            self._refuse_unreachable(exchange, server)
            return
        if server.intake.asked_until > now:
            self._wait_for_pause(
                exchange, server.waiting, server.intake.asked_until, server.latency_s
            )
            return
        if self.selection.has_capacity(server, key) and not self._next_ready(server):
            self._send_to_owner(exchange, server, owner)
            return
        if server.limit.per_s is not None:
            self.permit_queue.wait(exchange, server.waiting, [server])
            return
        ahead = sum(
            1 for entry in server.waiting if entry[0] <= exchange.route.priority
        )
        wait_s = (ahead + 1) * server.latency_s / self.selection.in_flight_limit(server)
        self.queue_or_refuse(exchange, server.waiting, wait_s, server.latency_s)

    def _can_arrive(self, exchange, server):
        """Returns whether a request arrives at a server before requests must end."""
        selection = self.selection
        # Computing its size is not needed for most servers.
        return selection.bound_at(server) == math.inf or selection.can_arrive(
            server, exchange.request.size_bytes
        )

    def _is_closing(self, owner):
        """Returns whether an owner leaves, or its zone is evacuated."""
        server = self.servers.get(owner.server_id)
        return server is not None and self.selection.bound_at(server) < math.inf

    def _wait_for_usable(self, exchange, code):
        """Queues a request, or refuses it if no server can become usable soon."""
        if self._node.evacuations.leaves_no_server(self):
            self._node.evacuations.refuse(exchange)
        else:
            self.wait_for_server(exchange, code)

    def refuse_for(self, exchange, code, late_s):
        """Refuses a request whose queue is too long.

        :param late_s: seconds by which its turn would come too late.
        """
        # By then, as many requests have left the queue as it has too many now.
        exchange.refuse(code, _spread(max(self._node.RETRY_AFTER_LOAD_S, late_s)))

    def _wait_for_pause(self, exchange, waiting, pause_ends_at, latency_s):
        """Queues a request until servers end a pause, or refuses it at once.

        :param waiting: the queue.
        :param latency_s: expected service time after the pause.
        """
        now = self._node.now()
        max_wait_s = self._max_wait_s(exchange, latency_s)
        if now + max_wait_s > pause_ends_at:
            self._enqueue(exchange, waiting, now + max_wait_s, codes.SERVER_PAUSED)
            return
        # Callers return one after the other, and none before the end.
        pause_s = max(self._node.RETRY_AFTER_LOAD_S, pause_ends_at - now)
        exchange.refuse(
            codes.SERVER_PAUSED, pause_s * random.uniform(1, 1 + 2 * RETRY_SPREAD)
        )

    def _max_wait_s(self, exchange, latency_s):
        """Returns how long a request may wait in a queue.

        :param latency_s: expected service time after the wait.
        """
        objective_s = exchange.route.objective_s
        arrived_at = exchange.request.arrived_at
        remaining_s = arrived_at + objective_s - self._node.now() - latency_s
        return max(remaining_s, MIN_QUEUE_WAIT_FRACTION * objective_s)

    def queue_or_refuse(
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
        max_wait_s = self._max_wait_s(exchange, latency_s)
        if wait_s > max_wait_s:
            self.refuse_for(exchange, code, wait_s - max_wait_s)
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
        self._enqueue(exchange, self.waiting, wait_until, code)

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
        if waiting is self.waiting:
            heapq.heappush(waiting, entry)
        else:
            waiting.append(entry)
        self._node.timers.add(min(give_up_at, exchange.expires_at), exchange)

    def dequeue(self, exchange):
        """Removes a request from the queue in which it waits."""
        exchange.queued_at = None
        for waiting in (self.waiting, *(s.waiting for s in self.servers.values())):
            for entry in waiting:
                if entry[2] is exchange:
                    waiting.remove(entry)
                    if waiting is self.waiting:
                        heapq.heapify(waiting)
                    return

    def owner_server(self, key):
        owner = self._node.key_maps.owner(self.name, key)
        if owner is None:
            return None
        server = self.servers.get(owner.server_id)
        if server is None or server.record.incarnation != owner.incarnation:
            return None
        return server if self.selection.is_usable(server) else None

    def owner_of(self, exchange):
        """Returns the server that owns the key of a request, or None."""
        key = exchange.request.key
        return self.owner_server(key) if self.keyed and key is not None else None

    def _owner_of_key(self, exchange):
        return self._node.key_maps.owner(self.name, exchange.request.key)

    def _ready_owner(self, exchange):
        key = exchange.request.key
        server = self.owner_server(key)
        if server is None or not self.selection.has_capacity(server, key):
            return None
        owner = self._node.key_maps.owner(self.name, key)
        if not self._misdirected_owners.may_try(owner, self._node.now()):
            return None
        if not self._can_arrive(exchange, server):
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
        self.copies.record_rejection()
        if self.keyed:
            # The owner is the only server for its keys, so a retry has to wait until
            # one of its slots is likely to be free.
            self._node.key_load.rejected(self.name, server.record.server_id)
            server.room.close(room.REJECTED, self._node.now())
            server.pause(random.uniform(*FULL_OWNER_PAUSE) * server.latency_s)
        elif self._is_congested(server):
            server.pause(SHED_PAUSE_S)

    def on_pause_asked(self, server):
        """Sends the requests that wait for a server elsewhere, or refuses them."""
        self._redispatch_waiting(server)
        if self.waiting and not self.keyed and not self.selection.usable():
            waiting, self.waiting[:] = sorted(self.waiting, key=_order), []
            self._redispatch(waiting)

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
        self.copies.in_flight_changed()
        while (entry := self._next_ready(server)) is not None:
            server.waiting.remove(entry)
            exchange = entry[2]
            if not exchange.done:
                exchange.queued_at = None
                self._dispatch_again(exchange)
        if self.waiting:
            self.dispatch_waiting()

    def _next_ready(self, server):
        """Returns the most urgent request that a server has capacity for, or None.

        :returns: an entry of the server's queue.
        """
        if not server.waiting or not self.selection.has_capacity(server):
            return None
        return min(
            (
                entry
                for entry in server.waiting
                if self.selection.has_capacity(server, entry[2].request.key)
            ),
            key=_order,
            default=None,
        )

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
        if not self.waiting:
            return
        blocked = []
        while self.waiting:
            entry = heapq.heappop(self.waiting)
            exchange = entry[2]
            if exchange.done or exchange.queued_at is None:
                continue
            if self.keyed:
                server = self._ready_owner(exchange)
            else:
                server = self.selection.choose(exchange)
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
            heapq.heappush(self.waiting, entry)

    def tick(self, now):
        """Sends requests whose server's pause is over, and closes idle connections.

        The entry VM calls this method periodically.
        """
        if not self.keyed:
            self.selection.update_affinity()
            self.selection.update_share()
        self._misdirected_owners.expire(now)
        for server in list(self.servers.values()):
            server.close_idle(now)
            self._node.notices.check(self.name, server, now)
            if server.waiting and not self.selection.can_arrive(server):
                self._redispatch_waiting(server)
            if server.waiting:
                self.on_request_ended(server)
            self.permit_queue.ask(server)
        self.dispatch_waiting()

    def add_server(self, server):
        """Adds a server, or replaces the one with the same identifier."""
        old = self.servers.get(server.record.server_id)
        self.servers[server.record.server_id] = server
        if old is not None:
            old.withdraw_unsent()
            self._redispatch_waiting(old)
        self.dispatch_waiting()

    def remove_server(self, server_id):
        """Removes a server and dispatches the requests that waited for it."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            server.close()
            server.withdraw_unsent()
            self._redispatch_waiting(server)

    def _redispatch_waiting(self, server):
        waiting, server.waiting = list(server.waiting), type(server.waiting)()
        self._redispatch(sorted(waiting, key=_order))

    def _redispatch(self, entries):
        for _, _, exchange in entries:
            if not exchange.done and exchange.queued_at is not None:
                exchange.queued_at = None
                self.dispatch(exchange)


def _order(entry):
    # Exchanges have no order.
    return entry[:2]


def _spread(seconds):
    return seconds * random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
