"""Choice of a server for each request of one service, and the queue before it."""

from __future__ import annotations

import heapq
import itertools
import math

from briarspoke import codes
from briarspoke.entry.affinity import Affinity
from briarspoke.entry.budget import RetryBudget
from briarspoke.keyspace.keymap import UNOWNED

# Requests per slot that all entry VMs together keep at a server: one that runs and
# one that waits, so that a slot never idles for a round trip.
REQUESTS_PER_SLOT = 2.0
# The same for the entry VMs of the server's own zone, which prefer it.
REQUESTS_PER_SLOT_IN_ZONE = 1.5
# How much longer the expected wait in the own zone may be before a request crosses
# zones, and how much each byte adds to that, since crossings are paid by the byte.
CROSSING_FACTOR = 1.25
CROSSING_FACTOR_PER_BYTE = 1 / 30_000
# How much slower a server that this entry VM prefers may be before another is chosen:
# two requests in flight at a preferred one come before one at another.
FOREIGN_FACTOR = 2.5
# A server that loses all answers is chosen only if others are this much slower.
LOSS_FACTOR = 8.0
# Part of the latency objective that a request may always wait for a slot.
LEAST_WAIT_PART = 0.125
# Part of the latency objective within which an owner on the move is awaited.
PARK_PART = 0.5
# A server that shed a request is full; its queue drains in about this time.
SHED_PAUSE_S = 0.1
# A server that sheds is full if it is this much slower than the mean; a fast one
# sheds for another reason and takes the next request.
CONGESTED = 1.5
# Many entry VMs with one request each are more than an owner of a hot key takes: from
# this part of the objective on, an entry VM waits between two requests to it, in
# proportion to the excess and to how many VMs share one place.
PACE_FROM_PART = 0.4
PACE = 2.0
LONGEST_PACE_S = 2.5
# A server that takes no request as its own is passed over for this long.
WRONG_SERVER_PAUSE_S = 1.0


class Dispatcher:
    """Servers, waiting requests and retry budget of one service.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node, name):
        self.name = name
        self.servers = {}
        self.budget = RetryBudget(
            ratio=node.settings.retry_ratio,
            slack=node.settings.retry_slack,
            window_s=node.settings.retry_window_s,
        )
        self._node = node
        self._affinity = Affinity(node=node.settings.node)
        self._waiting = []
        self._numbers = itertools.count()

    @property
    def keyed(self):
        """Whether each key of the service has one owner."""
        service = self._node.routing_table.services.get(self.name)
        return service is not None and service.keyed

    def count_request(self, exchange):
        """Counts a caller's request for budget and key load."""
        self.budget.count_request(self._node.now())
        key = exchange.request.key
        if key is not None and self.keyed:
            self._node.key_load.count(self.name, key)

    def count_answer(self, server, seconds, objective_s):
        """Counts a server's answer, and leaves a crowded owner to others for a time."""
        if not self.keyed:
            return
        self._node.key_load.answered(self.name, server.record.server_id, seconds)
        part = self._room_of_one(server)
        excess_s = server.steady_latency_s - PACE_FROM_PART * objective_s
        if part < 1 and excess_s > 0:
            server.pause(min(LONGEST_PACE_S, PACE * (1 / part - 1) * excess_s))

    def may_repeat(self, now):
        """Returns whether the retry budget allows one more send, and spends it."""
        if self.budget.spend(now, self._node.node_count):
            return True
        self._node.metrics.count("retries_denied_total", "budget")
        return False

    # Offering.

    def offer(self, exchange):
        """Sends a request, queues it, or refuses it."""
        if exchange.done:
            return
        if self.keyed:
            self._offer_keyed(exchange)
        else:
            self._offer_any(exchange)

    def _offer_any(self, exchange):
        server = self._choose(exchange)
        if server is not None:
            exchange.send(server)
            return
        usable = [s for s in self.servers.values() if self._is_usable(s)]
        if not usable:
            self.park(exchange, codes.NO_OWNER)
            return
        latency_s = sum(s.latency_s for s in usable) / len(usable)
        room = sum(self.limit(s) for s in usable)
        ahead = sum(1 for w in self._waiting if w[0] <= exchange.route.priority)
        self._queue(exchange, self._waiting, (ahead + 1) * latency_s / room, latency_s)

    def _offer_keyed(self, exchange):
        key = exchange.request.key
        owner = self._node.key_maps.owner(self.name, key)
        server = self._owner(key)
        if server is None:
            is_moving = owner is not None and owner.server_id == UNOWNED
            self.park(exchange, codes.PARTITION_MOVING if is_moving else codes.NO_OWNER)
            return
        if not exchange.may_go_to(owner):
            self.park(exchange, codes.PARTITION_MOVING)
            return
        if server.is_failing and server.paused_until > self._node.now():
            self._refuse_unreachable(exchange, server)
            return
        if self._has_room(server) and not server.waiting:
            exchange.send(server)
            return
        ahead = sum(1 for w in server.waiting if w[0] <= exchange.route.priority)
        wait_s = (ahead + 1) * server.latency_s / self.limit(server)
        self._queue(exchange, server.waiting, wait_s, server.latency_s)

    def _queue(self, exchange, waiting, wait_s, latency_s):
        """Queues a request whose expected wait leaves it worth while."""
        now = self._node.now()
        objective_s = exchange.route.objective_s
        left_s = exchange.request.arrived + objective_s - now - latency_s
        allowed_s = max(left_s, LEAST_WAIT_PART * objective_s)
        if wait_s > allowed_s:
            exchange.refuse(codes.DEADLINE_UNREACHABLE, self._node.RETRY_AFTER_LOAD_S)
            return
        self._wait(exchange, waiting, now + allowed_s, codes.QUEUE_FULL)

    def park(self, exchange, code):
        """Waits for a server of the key, for a part of the objective."""
        if exchange.done:
            return
        now = self._node.now()
        allowed_s = PARK_PART * exchange.route.objective_s
        until = exchange.request.arrived + allowed_s
        if exchange.misdirected:
            until = max(until, now + allowed_s / 2)
        if now >= until:
            exchange.refuse(code, self._node.RETRY_AFTER_UNAVAILABLE_S)
            return
        self._wait(exchange, self._waiting, until, code)

    def _wait(self, exchange, waiting, give_up_at, code):
        exchange.queued_at = self._node.now()
        exchange.give_up_at = give_up_at
        exchange.refusal = code
        entry = (exchange.route.priority, next(self._numbers), exchange)
        if waiting is self._waiting:
            heapq.heappush(waiting, entry)
        else:
            waiting.append(entry)
        self._node.timers.add(min(give_up_at, exchange.expires_at), exchange)

    def leave(self, exchange):
        """Takes a request out of its queue."""
        exchange.queued_at = None
        for waiting in (self._waiting, *(s.waiting for s in self.servers.values())):
            for entry in waiting:
                if entry[2] is exchange:
                    waiting.remove(entry)
                    if waiting is self._waiting:
                        heapq.heapify(waiting)
                    return

    # Servers.

    def limit(self, server):
        """Returns how many requests this entry VM may have at a server."""
        limit = self._room_of_one(server)
        if not self.keyed and self._affinity.prefers(server.record.server_id):
            in_zone = server.record.slots * REQUESTS_PER_SLOT_IN_ZONE
            limit = max(limit, in_zone / self._affinity.sharers)
        return max(1, math.ceil(limit))

    def _room_of_one(self, server):
        return server.record.slots * REQUESTS_PER_SLOT / self._node.node_count

    def _has_room(self, server):
        return server.in_flight < self.limit(server) and (
            server.paused_until <= self._node.now()
        )

    def _is_usable(self, server):
        if server.replaced:
            return False
        if server.drain_until is None:
            return not server.missing or self.keyed or self._most_are_missing()
        # A leaving owner serves its keys until they have moved.
        return self.keyed and self._node.now() < server.drain_until

    def _most_are_missing(self):
        """Returns whether an outage of the store hides servers that still serve.

        One that is missing among many that are not has left while this entry VM
        alone was cut off.
        """
        missing = sum(server.missing for server in self.servers.values())
        return 2 * missing > len(self.servers)

    def _choose(self, exchange):
        now = self._node.now()
        zone = self._node.settings.zone
        size = len(exchange.request.body)
        crossing = CROSSING_FACTOR + size * CROSSING_FACTOR_PER_BYTE
        best = None
        best_score = math.inf
        for server in self.servers.values():
            if not self._is_usable(server) or server in exchange.tried:
                continue
            if not self._has_room(server):
                continue
            score = server.expected_s(now) * (1 + server.in_flight)
            score *= 1 + LOSS_FACTOR * server.loss
            if not self._affinity.prefers(server.record.server_id):
                score *= self._foreign_factor()
            if server.record.zone != zone:
                score *= crossing
            if score < best_score:
                best, best_score = server, score
        return best

    def _foreign_factor(self):
        # With few entry VMs a zone all of them prefer all of its servers.
        return FOREIGN_FACTOR if self._affinity.sharers < self._zone_nodes() else 1.0

    def _zone_nodes(self):
        return len(self._node.zone_nodes)

    def _servers_changed(self):
        zone = self._node.settings.zone
        in_zone = sorted(
            server.record.server_id
            for server in self.servers.values()
            if server.record.zone == zone and self._is_usable(server)
        )
        self._affinity.update(self._node.zone_nodes, tuple(in_zone))

    def _owner(self, key):
        owner = self._node.key_maps.owner(self.name, key)
        if owner is None:
            return None
        server = self.servers.get(owner.server_id)
        if server is None or server.record.incarnation != owner.incarnation:
            return None
        return server if self._is_usable(server) else None

    def owner_of(self, exchange):
        """Returns the server that owns the request's key, or None."""
        key = exchange.request.key
        return self._owner(key) if self.keyed and key is not None else None

    def _ready_owner(self, exchange):
        key = exchange.request.key
        server = self._owner(key)
        if server is None or not self._has_room(server):
            return None
        owner = self._node.key_maps.owner(self.name, key)
        return server if exchange.may_go_to(owner) else None

    def misdirected(self, exchange, server, found_id):
        """Notes that a server did not take a request as its own.

        :param found_id: identifier of the server that answered, or None.
        """
        if found_id is not None and found_id != server.target:
            # An address is given away only after the process there has ended.
            server.replaced = True
            self._node.server_replaced(server.record, found_id)
        elif self.keyed:
            exchange.turned_away_by(
                self._node.key_maps.owner(self.name, exchange.request.key)
            )
        else:
            server.pause(WRONG_SERVER_PAUSE_S)

    def shed(self, server):
        """Notes that a server turned a request away."""
        latencies = [other.latency_s for other in self.servers.values()]
        if server.latency_s > CONGESTED * sum(latencies) / len(latencies):
            server.pause(SHED_PAUSE_S)

    def unreachable(self, exchange, server):
        """Finds another way for a request that could not be sent."""
        if exchange.done:
            return
        if not self.keyed:
            self._offer_any(exchange)
        elif server.is_failing:
            self._refuse_unreachable(exchange, server)
        else:
            self.park(exchange, codes.OWNER_UNREACHABLE)

    def _refuse_unreachable(self, exchange, server):
        back_in_s = server.back_in_s(self._node.now())
        exchange.refuse(
            codes.OWNER_UNREACHABLE,
            max(self._node.RETRY_AFTER_UNAVAILABLE_S, back_in_s),
        )

    def server_freed(self, server):
        """Starts waiting requests after one has ended."""
        while server.waiting and self._has_room(server):
            exchange = self._pop_first(server.waiting)
            if exchange is not None:
                exchange.queued_at = None
                self._offer_again(exchange)
        if self._waiting:
            self.dispatch_waiting()

    def _pop_first(self, waiting):
        entry = min(waiting)
        waiting.remove(entry)
        exchange = entry[2]
        return None if exchange.done else exchange

    def _offer_again(self, exchange):
        if self.keyed:
            server = self._ready_owner(exchange)
            if server is not None:
                exchange.send(server)
                return
        self.offer(exchange)

    def dispatch_waiting(self):
        """Sends what waits for any server, most urgent first."""
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
                server = self._choose(exchange)
            if server is None:
                blocked.append(entry)
                if not self.keyed:
                    break
                continue
            exchange.queued_at = None
            exchange.send(server)
        for entry in blocked:
            heapq.heappush(self._waiting, entry)

    def tick(self, now):
        """Starts what waited for the end of a pause, and closes idle connections."""
        if not self.keyed:
            self._servers_changed()
        for server in list(self.servers.values()):
            server.close_idle(now)
            if server.waiting:
                self.server_freed(server)
        self.dispatch_waiting()

    # Membership.

    def put(self, server):
        """Adds a server or replaces the one of the same identifier."""
        old = self.servers.get(server.record.server_id)
        self.servers[server.record.server_id] = server
        if old is not None:
            self._move_waiting(old)
        self.dispatch_waiting()

    def remove(self, server_id):
        """Removes a server that has left."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            server.close()
            self._move_waiting(server)

    def _move_waiting(self, server):
        waiting, server.waiting = list(server.waiting), type(server.waiting)()
        for _, _, exchange in sorted(waiting, key=lambda entry: entry[:2]):
            if not exchange.done:
                exchange.queued_at = None
                self.offer(exchange)
