"""Servers of the in-memory platform that answer by themselves and name rate limits."""

from __future__ import annotations

import collections
import json
import random
import re

from entry_fakes import STORE, World, answer, configuration, request, route

STEP_S = 0.01
SEED = 26
# The rule: from SETTLING_S after a server first names its limit, it gets at most
# FACTOR times what the limit allows in WINDOW_S, and EXTRA requests.
SETTLING_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5

_REQUEST_ID = re.compile(rb"(?i)\r\nrequest-id: ([^\r]*)")


class AnsweringServers:
    """Accepts the connections of all entry VMs and answers each request in time.

    :param work_s: seconds after which a request is answered, or a function that returns
        them.
    :ivar arrivals_by_number: ``{server number: [time of a request's arrival]}``.
    :ivar limit_by_number: ``{server number: text of the limit that it names}``.
    """

    def __init__(self, world, *, work_s=0.05):
        self.arrivals_by_number = {}
        self.limit_by_number = {}
        self._world = world
        self.work_s = work_s if callable(work_s) else lambda: work_s
        self._connections = []

    def step(self):
        """Accepts connections and reads requests."""
        while self._world.reactor.tcpClients:
            peer, (host, _) = self._world.accept()
            self._connections.append((peer, int(host.rpartition(".")[2])))
        for connection in list(self._connections):
            peer, number = connection
            data = peer.take()
            if data:
                now = self._world.reactor.seconds()
                self.arrivals_by_number.setdefault(number, []).append(now)
                request_id = _REQUEST_ID.search(data)[1].decode()
                self._world.reactor.callLater(
                    self.work_s(), self._reply, peer, number, request_id
                )
            elif peer.socket.aborted:
                self._connections.remove(connection)
                peer.close()

    def _reply(self, peer, number, request_id):
        if peer.socket.aborted:
            return
        limit = self.limit_by_number.get(number)
        extra = "" if limit is None else f"Server-Limit: {limit}"
        peer.send(answer(request_id=request_id, extra=extra))


class DiscardingTransport:
    """Transport of a VM whose datagrams get lost."""

    def write(self, data, address):
        pass


class Deployment:
    """Entry VMs and three servers of one service under a steady load.

    :param vms: number of entry VMs, each in its own availability zone.
    :param keyed: whether the service has keys.
    :param per_s: requests per second of all callers together.
    :param service_options: additional fields of the service's configuration.
    :param first_vm_share: fraction of them that comes to the first VM, or None if all
        VMs get the same.
    """

    def __init__(
        self,
        *,
        vms,
        keyed,
        per_s,
        first_vm_share=None,
        route_type="safe",
        service_options=None,
    ):
        # The code under test draws from the module's generator.
        random.seed(SEED)
        self.world = World()
        service = {"health_path": "/h", "max_conns": 110, "sharded": keyed}
        service.update(service_options or {})
        self.world.store.put(
            "op/config",
            configuration(
                routes={"lookup": route("stock", route_type=route_type)},
                services={"stock": service},
            ),
        )
        for number in (11, 12, 13):
            self.world.add_server("stock", number, slots=8)
        self.nodes = [
            self.world.add_node(f"front-z{n}-1", number=n, zone=f"z{n}")
            for n in range(1, vms + 1)
        ]
        self.servers = AnsweringServers(self.world)
        self.answers = []
        self._random = random.Random(SEED)
        self._request_count = 0
        self._due = 0.0
        self._per_s = per_s
        self._keyed = keyed
        self._first_vm_share = first_vm_share
        self._callers = []
        self._method = "GET" if route_type == "safe" else "POST"
        self.world.advance(5.0)

    def run(self, seconds):
        """Sends requests for a number of seconds and collects their answers."""
        for _ in range(round(seconds / STEP_S)):
            self._due += self._per_s * STEP_S
            while self._due >= 1:
                self._due -= 1
                self._send()
            self.world.advance(STEP_S)
            self.servers.step()
            self._collect()

    def _send(self):
        self._request_count += 1
        nodes = self.nodes
        if self._first_vm_share is not None:
            is_first = self._random.random() < self._first_vm_share
            nodes = nodes[:1] if is_first else nodes[1:]
        node = self._random.choice(nodes)
        caller = self.world.caller(node)
        caller.send(
            request(
                self._method,
                request_id=f"r{self._request_count}",
                key=self.next_key() if self._keyed else None,
            )
        )
        self._callers.append((caller, self.now()))

    def next_key(self):
        """Returns the key of the next request."""
        return self._random.randrange(65_536)

    def _collect(self):
        waiting = []
        for caller, sent_at in self._callers:
            data = caller.take()
            if data:
                self.answers.append((data, self.now() - sent_at))
                caller.close()
            else:
                waiting.append((caller, sent_at))
        self._callers = waiting

    def rate(self, number, since):
        """Returns the arrivals per second at a server since a time."""
        times = self.servers.arrivals_by_number.get(number, ())
        seconds = self.world.reactor.seconds() - since
        return sum(t >= since for t in times) / seconds

    def now(self):
        """Returns the current time in seconds."""
        return self.world.reactor.seconds()

    def name_limit(self, number, limit):
        """Lets a server name a limit in its answers, or none."""
        self.servers.limit_by_number[number] = limit

    def cut(self, node):
        """Cuts an entry VM off from the store and from the other VMs' datagrams."""
        node.faults(STORE).cut = True
        self.world.reactor.datagram_ports.pop((node.settings.ip, 9000), None)
        node.datagrams.transport = DiscardingTransport()

    def controller(self):
        """Returns the entry VM that is the controller."""
        return next(node for node in self.nodes if node.control.is_leader)

    def outcomes(self, since=0):
        """Returns ``{200 or result code: answers}`` without the first answers."""
        outcomes = collections.Counter()
        for data, _ in self.answers[since:]:
            status, body = status_and_body(data)
            outcomes[status if body is None else body["code"]] += 1
        return outcomes

    def owned_keys(self, server_id):
        """Returns how many keys of the map a server owns."""
        key_map = self.nodes[0].key_maps.by_service["stock"]
        return sum(
            last - first + 1
            for first, last, owner in key_map.ranges()
            if owner.server_id == server_id
        )

    def most_arrivals(self, number, since):
        """Returns the most arrivals at a server in ``WINDOW_S`` after a time."""
        times = [t for t in self.servers.arrivals_by_number[number] if t >= since]
        return max(
            (sum(start <= t < start + WINDOW_S for t in times) for start in times),
            default=0,
        )


def allowed_arrivals(per_s):
    """Returns how many arrivals in ``WINDOW_S`` the rule allows."""
    return FACTOR * per_s * WINDOW_S + EXTRA


def status_and_body(data):
    """Returns the status of an answer and its decoded JSON body, or None."""
    head, _, body = data.partition(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    return status, json.loads(body) if body.startswith(b"{") else None
