"""Requests that wait for permits of servers with a rate limit."""

from __future__ import annotations

import collections

from briarspoke import codes

# Added to the rank of repeats at a server with a rate limit, so that they follow all
# first tries.
REPEAT_RANK = 1_000
# Rank of a permit for which no request waits yet.
SPARE_RANK = 2 * REPEAT_RANK


class PermitQueue:
    """Queues the requests of a service for permits, and refuses those that get none.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param dispatcher: the :class:`briarspoke.entry.dispatch.Dispatcher` of the service.
    """

    __slots__ = ("_dispatcher", "_node")

    def __init__(self, *, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher

    def wait(self, exchange, waiting, servers):
        """Queues or refuses a request that only servers with a rate limit can take.

        :param waiting: the queue.
        :param servers: servers that can take the request.
        """
        rank = self._rank(exchange, servers[0])
        ahead = sum(1 for entry in waiting if entry[0] <= rank)
        latency_s = sum(server.latency_s for server in servers) / len(servers)
        in_flight_limit = sum(
            self._dispatcher.selection.in_flight_limit(server) for server in servers
        )
        wait_s = self._expected_wait_s(servers, rank, ahead)
        self._dispatcher.queue_or_refuse(
            exchange,
            waiting,
            max(wait_s, ahead * latency_s / in_flight_limit),
            latency_s,
            code=codes.SERVER_RATE_LIMIT,
            rank=rank,
        )
        for server in servers:
            if self._node.rate_limits.needs_controller(server):
                # Requests are refused at once, so none waits that would ask for a
                # permit and show that the controller answers again.
                server.wants_spare_permit = True
            self.ask(server)

    def _rank(self, exchange, server):
        priority = exchange.route.priority
        is_repeat = exchange.attempts > 0 and server.limit.per_s is not None
        return priority + REPEAT_RANK if is_repeat else priority

    def ask(self, server):
        """Tells the controller how many requests wait for a server with a limit."""
        if server.limit.per_s is None:
            return
        dispatcher = self._dispatcher
        wanted_by_rank = collections.Counter(entry[0] for entry in server.waiting)
        limited = []
        if dispatcher.waiting and not dispatcher.keyed:
            limited = [
                s for s in dispatcher.selection.usable() if s.limit.per_s is not None
            ]
        for rank, number, exchange in dispatcher.waiting:
            if dispatcher.keyed:
                asked = dispatcher.owner_server(exchange.request.key)
            elif limited:
                # A permit of another server for the same request would be lost.
                asked = limited[number % len(limited)]
            else:
                break
            if asked is server:
                wanted_by_rank[rank] += 1
        if server.wants_spare_permit:
            wanted_by_rank[SPARE_RANK] = 1
        self._node.rate_limits.ask(dispatcher.name, server, wanted_by_rank)

    def arrived(self, server):
        """Sends the requests that have permits, and refuses those that get none."""
        server.wants_spare_permit = False
        self._dispatcher.on_request_ended(server)
        if server.limit.per_s is None:
            return
        self.refuse_late(server.waiting, [server])
        if not self._dispatcher.keyed:
            usable = self._dispatcher.selection.usable()
            if usable and all(s.limit.per_s is not None for s in usable):
                self.refuse_late(self._dispatcher.waiting, usable)
        self.ask(server)

    def refuse_late(self, waiting, servers):
        """Refuses the requests of a queue that would get a permit too late."""
        now = self._node.now()
        for ahead, entry in enumerate(sorted(waiting, key=lambda e: e[:2])):
            exchange = entry[2]
            if exchange.done or exchange.queued_at is None:
                continue
            wait_s = self._expected_wait_s(servers, entry[0], ahead)
            late_s = now + wait_s - exchange.give_up_at
            if late_s > 0:
                self._dispatcher.dequeue(exchange)
                self._dispatcher.refuse_for(exchange, codes.SERVER_RATE_LIMIT, late_s)

    def _expected_wait_s(self, servers, rank, ahead):
        """Returns the expected wait until one of some servers has a permit.

        :param rank: rank of the request.
        :param ahead: requests that wait for the same servers before it.
        """
        ahead //= len(servers)
        return min(
            self._node.rate_limits.expected_wait_s(server, rank=rank, ahead=ahead)
            for server in servers
        )
