"""One soak run: load, faults and checks from one seed."""

from __future__ import annotations

import os
import random
import tempfile

from twisted.internet import defer, task

from briarspoke.entry.connections import Answer, ConnectionFactory
from briarspoke.entry.heldbytes import HeldBytes
from briarspoke.soak import faults
from briarspoke.soak.checks import Checks
from briarspoke.soak.demand import Demand
from briarspoke.soak.deployment import HOST, ROUTES, Deployment
from briarspoke.standins import platform_documents

NODE_COUNT = 4
SERVERS_PER_SERVICE = 4
REQUESTS_PER_S = 60
STARTUP_S = 4.0
CHECK_INTERVAL_S = 0.1
MAX_FAULT_S = 6.0
# Time after the last fault within which requests must be served again.
RECOVERY_S = 20.0
MIN_SERVED_FRACTION = 0.5
# Rate limits that servers name, in requests per second, and the range of the times in
# which they do and do not.
LIMITS_PER_S = (0.5, 1.0, 2.0)
LIMITED_S = (8.0, 14.0)
UNLIMITED_S = (0.2, 3.0)
# Zones that are evacuated together, more often one alone; "c" has no servers. The range
# of the times in which zones are and are not evacuated.
EVACUATED_ZONES = (("a",), ("a",), ("b",), ("b",), ("a", "b"), ("c",))
EVACUATED_S = (4.0, 8.0)
NOT_EVACUATED_S = (0.5, 3.0)
# Servers write their entries about this often.
RENEWAL_INTERVAL_S = 0.87
STORE_POLL_INTERVAL_S = 0.1
MAX_ANSWER_S = 3.0
MAX_ANSWER_BYTES = 1 << 20
DEADLINE_MS = 2_000


class Caller:
    """Caller that sends one request at a time over a kept connection to an entry VM."""

    def __init__(self, *, reactor, port):
        self.busy = False
        self._reactor = reactor
        self._port = port
        self._connection = None

    def send(self, data, listener):
        """Sends a request and calls the listener with its :class:`Answer`."""
        self.busy = True

        def answered(answer):
            self.busy = False
            listener(answer)

        self._send(data, answered)

    def _send(self, data, listener):
        connection = self._connection
        if connection is not None and connection.reusable:
            connection.exchange(data, listener)
            return
        handler = _ConnectionHandler(self, data, listener)
        factory = ConnectionFactory(
            handler, handler.on_failure, HeldBytes(limit_bytes=MAX_ANSWER_BYTES)
        )
        self._reactor.connectTCP("127.0.0.1", self._port, factory, 1.0)

    def set_connection(self, connection):
        """Sets the connection for the next requests; None opens a new one."""
        self._connection = connection


class _ConnectionHandler:
    """Handler of a new ``Connection`` that sends a first request."""

    def __init__(self, caller, data, listener):
        self._caller = caller
        self._data = data
        self._listener = listener

    def connection_made(self, connection):
        self._caller.set_connection(connection)
        connection.exchange(self._data, self._listener)

    def on_failure(self, failure):
        self._listener(Answer(failure=failure, sent=False))

    def connection_lost(self, connection):
        self._caller.set_connection(None)

    def exchange_ended(self, connection):
        if not connection.reusable:
            connection.transport.loseConnection()


class SoakRun:
    """Runs a deployment under load and random faults, and checks the invariants.

    :param seed: seed of the faults, their times and the requests.
    :param seconds: time in seconds during which faults are injected.
    """

    def __init__(self, *, reactor, seed, seconds):
        self.reactor = reactor
        self.seed = seed
        self.seconds = seconds
        self.directory = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.checks = Checks(clock=reactor.seconds)
        self.injected = []
        self.limits_named = 0
        self.evacuated = []
        self._random = random.Random(seed)
        self.demand = Demand(random=self._random)
        self._checked_at = None
        self._max_lag_s = 0.0
        self._request_count = 0
        self._served_count = self._sent_count = 0
        self._callers_by_node = {}
        self.deployment = Deployment(
            reactor=reactor,
            directory=self.directory,
            checks=self.checks,
            nodes=NODE_COUNT,
            servers=SERVERS_PER_SERVICE,
        )

    def choose(self, items):
        """Returns a random item, chosen from the seed of the run."""
        return self._random.choice(list(items))

    def restart(self, node):
        """Restarts an entry VM process; kills it first if it is still running."""
        node.kill()
        node.start()
        self.checks.undisturbed(node.name)

    async def execute(self):
        """Executes the run and returns its report as a dict."""
        self.deployment.start()
        await self._sleep(STARTUP_S)
        loops = []
        for function, interval_s in (
            (self._send_requests, 1 / REQUESTS_PER_S),
            (self._check, CHECK_INTERVAL_S),
            (self._renew_registrations, RENEWAL_INTERVAL_S),
        ):
            loops.append(task.LoopingCall(function))
            loops[-1].start(interval_s)
        try:
            limits = defer.ensureDeferred(self._name_limits())
            evacuations = defer.ensureDeferred(self._evacuate())
            await self._inject_faults()
            await limits
            await evacuations
            await self._sleep(RECOVERY_S)
            self._served_count = self._sent_count = 0
            await self._sleep(2 * MAX_ANSWER_S)
            if self._served_count < MIN_SERVED_FRACTION * self._sent_count:
                detail = f"{self._served_count} of {self._sent_count} requests"
                self.checks.violations.append(
                    {"promise": "served again after faults", "detail": detail}
                )
        finally:
            for loop in loops:
                loop.stop()
            self.deployment.kill()
        return self._result()

    def _sleep(self, seconds):
        return task.deferLater(self.reactor, seconds, lambda: None)

    async def _inject_faults(self):
        end_at = self.reactor.seconds() + self.seconds
        pending = []
        while self.reactor.seconds() < end_at:
            name = self.choose(sorted(faults.by_name))
            end_fault = faults.by_name[name](self)
            duration_s = self._random.uniform(0.2, MAX_FAULT_S)
            self.injected.append(name)
            pending.append(task.deferLater(self.reactor, duration_s, end_fault))
            await self._sleep(self._random.expovariate(1 / 1.5))
        await defer.DeferredList(pending)

    async def _name_limits(self):
        """Lets one server or all servers of a service name limits, again and again."""
        end_at = self.reactor.seconds() + self.seconds
        while self.reactor.seconds() < end_at:
            server = self.choose(self.deployment.servers)
            servers = [
                s for s in self.deployment.servers if s.service == server.service
            ]
            if self.choose((True, False, False)):
                servers = [server]
            per_s = self.choose(LIMITS_PER_S)
            self.limits_named += len(servers)
            for server in servers:
                server.name_limit(per_s)
            await self._sleep(self._random.uniform(*LIMITED_S))
            for server in servers:
                server.end_limit()
            await self._sleep(self._random.uniform(*UNLIMITED_S))

    async def _evacuate(self):
        """Evacuates zones again and again, whose servers are cold at times."""
        end_at = self.reactor.seconds() + self.seconds
        deployment = self.deployment
        while self.reactor.seconds() < end_at:
            zones = self.choose(EVACUATED_ZONES)
            servers = [s for zone in zones for s in deployment.servers_of(zone)]
            if self.choose((True, False, False)):
                for server in servers:
                    server.restart()
            await self._store_works()
            self.evacuated.append("+".join(zones))
            for zone in zones:
                deployment.evacuate(zone)
            evacuated_s = self._random.uniform(*EVACUATED_S)
            await self._sleep(evacuated_s / 2)
            if self.choose((True, False)):
                node = self.choose(deployment.nodes)
                self.checks.disturbed(node.name)
                self.restart(node)
            await self._sleep(evacuated_s / 2)
            await self._store_works()
            if self.choose((True, True, False)):
                for server in servers:
                    if server.is_renewing:
                        server.become_cold(is_serving=False)
            for zone in zones:
                deployment.withdraw_evacuation(zone)
            await self._sleep(self._random.uniform(*NOT_EVACUATED_S))

    async def _store_works(self):
        """Waits until the store acknowledges writes."""
        while self.deployment.store_stand_in.outage:
            await self._sleep(STORE_POLL_INTERVAL_S)

    def _renew_registrations(self):
        for server in self.deployment.servers:
            server.renew_registration()

    def _check(self):
        # Arrivals are seen late by up to this lag of the soak's own process.
        now = self.reactor.seconds()
        if self._checked_at is not None:
            lag_s = now - self._checked_at - CHECK_INTERVAL_S
            self._max_lag_s = max(self._max_lag_s, lag_s)
        self._checked_at = now
        self.checks.arrivals.settle()
        self.checks.check_owners([s.model for s in self.deployment.servers if s.model])

    def _send_requests(self):
        for _ in range(self.demand.count()):
            self._send_request()

    def _send_request(self):
        self._request_count += 1
        request_id = f"{self.seed:x}-{self._request_count:x}".encode()
        route_name, route_type, _ = self.choose(ROUTES)
        node = self.demand.node(self.deployment.nodes)
        data = platform_documents.request(
            method=b"GET" if route_type == "safe" else b"POST",
            path=f"/{route_name}/1".encode(),
            host=HOST.encode(),
            request_id=request_id,
            key=self.demand.key(),
            deadline_ms=DEADLINE_MS,
        )
        self.checks.request_sent(request_id, at_most_once=route_type != "safe")
        self.checks.limits.request_sent(request_id, node.name)
        self.checks.intake.request_sent(request_id, node.name)
        self.checks.evacuations.request_sent(request_id, node.name)
        self._sent_count += 1
        self._idle_caller(node).send(
            data, lambda answer: self._request_answered(request_id, answer)
        )

    def _idle_caller(self, node):
        """Returns a caller of an entry VM that has no request in flight."""
        callers = self._callers_by_node.setdefault(node.name, [])
        idle = [caller for caller in callers if not caller.busy]
        if idle:
            return self.choose(idle)
        callers.append(Caller(reactor=self.reactor, port=node.caller_port))
        return callers[-1]

    def _request_answered(self, request_id, answer):
        self._served_count += answer.status == 200
        self.checks.request_answered(request_id, answer)

    def _result(self):
        return {
            "seed": self.seed,
            "seconds": self.seconds,
            "faults": len(self.injected),
            "limits": self.limits_named,
            "evacuated": self.evacuated,
            "max_lag_ms": round(self._max_lag_s * 1000),
            "requests": self._request_count,
            "answers": dict(self.checks.answers_by_status),
            "violations": self.checks.violations[:20],
            "logs": self.directory if self.checks.violations else "",
        }


def remove_logs(directory):
    """Removes the directory with the files of a run."""
    for name in os.listdir(directory):
        os.remove(os.path.join(directory, name))
    os.rmdir(directory)
