"""Entry VMs and servers whose connections a test carries, on a simulated clock."""

from __future__ import annotations

import re

from entry_fakes import Peer, World, answer, configuration, registration, request, route
from twisted.internet import error
from twisted.python.failure import Failure

DOWN_S = 3.0
REFUSED = Failure(error.ConnectionRefusedError())


class Server:
    """A backend server that ends when it gets a deadly request.

    :ivar reply: function of (request identifier) that returns its answer.
    """

    def __init__(self, number):
        self.number = number
        self.lives = 1
        self.down_until = 0.0
        self.peers = []
        self.reply = lambda request_id: answer(request_id=request_id)
        # Times at which requests arrived.
        self.arrivals = []
        # (time, peer, identifier) of the answers that are due.
        self.running = []


class Estate:
    """Entry VMs and servers of a service without keys."""

    def __init__(self, *, nodes=2, servers=6):
        self.world = World()
        routes = {
            "read": route("catalog", prefix="/read/"),
            "order": route("catalog", prefix="/order/", route_type="unsafe"),
        }
        services = {"catalog": {"health_path": "/h", "max_conns": 110}}
        document = configuration(routes=routes, services=services)
        self.world.store.put("op/config", document)
        self.by_address = {}
        for number in range(1, servers + 1):
            server = Server(number)
            self.by_address[f"10.0.9.{number}"] = server
            self.register(server)
        self.nodes = [
            self.world.add_node(f"front-poa-{number}", number)
            for number in range(1, nodes + 1)
        ]
        # Times at which a deadly request reached a server.
        self.arrivals = []
        self.crashes = []
        # Answers to the requests that were sent, by identifier.
        self.answers = {}
        # Seconds that servers take for each request.
        self.service_s = 0.0
        self._callers = []
        self._sent = 0
        self.advance(3.0)

    def register(self, server, **changes):
        """Writes the registration of a server to the store."""
        self.world.store.put(
            f"servers/s-{server.number}",
            registration("catalog", server.number, born=server.lives, **changes),
        )

    def now(self):
        return self.world.reactor.seconds()

    def advance(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.world.advance(0.02)
            for server in self.by_address.values():
                if server.down_until and self.now() >= server.down_until:
                    server.down_until = 0.0
                    server.lives += 1
                    self.register(server)
            self._connect()
            for server in self.by_address.values():
                for peer in list(server.peers):
                    self._serve(server, peer)
                self._answer(server)
            for request_id, caller in list(self._callers):
                data = caller.take()
                if data:
                    self.answers[request_id] = data
                    self._callers.remove((request_id, caller))

    def _connect(self):
        clients = self.world.reactor.tcpClients
        for attempt in [a for a in clients if a[0] in self.by_address]:
            clients.remove(attempt)
            host, _, factory = attempt[:3]
            server = self.by_address[host]
            if server.down_until:
                factory.clientConnectionFailed(None, REFUSED)
            else:
                server.peers.append(Peer(factory.buildProtocol(None)))

    def _serve(self, server, peer):
        data = peer.take()
        if not data or peer not in server.peers:
            return
        if b"/deadly" in data:
            self.arrivals.append(self.now())
            self.crash(server)
            return
        request_id = re.search(rb"(?i)request-id: (\S+)", data)[1].decode()
        server.arrivals.append(self.now())
        server.running.append((self.now() + self.service_s, peer, request_id))

    def _answer(self, server):
        while server.running and server.running[0][0] <= self.now():
            _, peer, request_id = server.running.pop(0)
            if peer in server.peers and not peer.socket.aborted:
                peer.send(server.reply(request_id))

    def crash(self, server):
        self.crashes.append(self.now())
        server.down_until = self.now() + DOWN_S
        peers, server.peers = server.peers, []
        server.running = []
        for peer in peers:
            peer.close()

    def send(self, path, node=None, *, cookie="caller=1", **options):
        """Sends a request at a VM, in turns by default; returns its identifier."""
        self._sent += 1
        request_id = f"q{self._sent}"
        if node is None:
            node = self.nodes[self._sent % len(self.nodes)]
        data = request(path=path, request_id=request_id, key=None, **options)
        head, separator, body = data.partition(b"\r\n\r\n")
        head += b"\r\nCookie: " + cookie.encode()
        caller = self.world.caller(node)
        caller.send(head + separator + body)
        self._callers.append((request_id, caller))
        return request_id

    def status(self, request_id):
        return int(self.answers[request_id].split(b" ", 2)[1])

    def repeat(self, path, seconds, *, interval_s=0.44, **options):
        """Sends a request again and again, and returns the identifiers."""
        ids = []
        for _ in range(round(seconds / interval_s)):
            ids.append(self.send(path, **options))
            self.advance(interval_s)
        return ids
