"""One role of a bench in a process of its own: entry, backends or load.

Reads JSON objects from standard input, one a line, and answers each with one
line. The first line is the specification of the role. The process ends when its
input ends, so that none is left behind when a bench dies.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import threading

from briarspoke import loop
from briarspoke.clock import monotonic

RANK_BY_METHOD = {b"GET": "lookup", b"POST": "booking", b"PUT": "bulk"}


class EntryRole:
    """The router and the callers' port of an entry VM.

    :param variant: name in :data:`briarspoke.standins.naive.VARIANTS`, or
        None for the router as it is.
    """

    def __init__(self, reactor, *, configuration, seed, variant=None):
        from twisted.internet import task

        from briarspoke.configuration.snapshot import Configuration
        from briarspoke.http.callers import CallerFactory
        from briarspoke.http.router import TICK_S, Router
        from briarspoke.metrics import Metrics
        from briarspoke.standins.demo import static_ownership
        from briarspoke.standins.naive import VARIANTS

        self.metrics = Metrics(node_id="entry-1")
        self.router = Router(reactor=reactor, clock=monotonic, metrics=self.metrics)
        router = self.router
        router.backoff._random = random.Random(seed)
        if variant is not None:
            VARIANTS[variant](router)
        snapshot = Configuration.from_json(configuration, [], version=1)
        router.apply_configuration(snapshot)
        for service in snapshot.services_by_name.values():
            router.table.apply(static_ownership(snapshot, service))
        task.LoopingCall(router.tick).start(TICK_S, now=False)
        port = reactor.listenTCP(0, CallerFactory(router=router), interface="127.0.0.1")
        self.ready = {"port": port.getHost().port}

    def handle(self, command):
        """Returns every counter."""
        names = (
            "requests_total",
            "answers_total",
            "refusals_total",
            "first_attempts_total",
            "attempts_total",
            "retries_total",
            "retries_denied_total",
            "invariants_total",
        )
        counters = {name: self.metrics.values(name) for name in names}
        queues = self.router.queues_by_server.values()
        counters["slots_held"] = sum(queue.in_flight for queue in queues)
        return counters


class BackendsRole:
    """Backend servers with faults.

    :param servers: number of servers.
    :param service_s_by_rank: seconds of work per rank.
    """

    def __init__(self, reactor, *, servers, slots, service_s_by_rank):
        from briarspoke.standins.backend import BackendFactory
        from briarspoke.standins.faulty import FaultyBackend

        def service_s(connection):
            return service_s_by_rank[RANK_BY_METHOD[connection._parser.get_method()]]

        self.backends = [
            FaultyBackend(
                name=f"server-{number}",
                reactor=reactor,
                clock=monotonic,
                slots=slots,
                service_s=service_s,
                fenced=False,
                keep_records=False,
            )
            for number in range(servers)
        ]
        ports = [
            reactor.listenTCP(0, BackendFactory(backend), interface="127.0.0.1")
            for backend in self.backends
        ]
        self.ready = {"ports": [port.getHost().port for port in ports]}

    def handle(self, command):
        """Switches the fault if one is named; returns the servers' counts."""
        from briarspoke.standins.faulty import Fault

        if "fault" in command:
            for backend in self.backends:
                backend.set_fault(Fault(command["fault"]))
        return {
            "at": monotonic(),
            "arrivals": sum(backend.arrivals for backend in self.backends),
            "shed": sum(backend.shed for backend in self.backends),
            "peak_running": max(backend.peak_running for backend in self.backends),
        }


_REACTOR_ROLES = {"entry": EntryRole, "backends": BackendsRole}


def _say(value):
    print(json.dumps(value), flush=True)


def _run_reactor_role(cls, spec):
    reactor = loop.install()
    role = cls(reactor, **spec)
    _say(role.ready)

    def read():
        for line in sys.stdin:
            reactor.callFromThread(
                lambda text: _say(role.handle(json.loads(text))), line
            )
        reactor.callFromThread(reactor.stop)

    threading.Thread(target=read, daemon=True).start()
    reactor.run()


def _run_load(spec):
    import uvloop

    from briarspoke.standins.load import Load, Stream

    async def main():
        load = Load(**spec)
        _say({})
        event_loop = asyncio.get_running_loop()
        while line := await event_loop.run_in_executor(None, sys.stdin.readline):
            command = json.loads(line)
            streams = [Stream(**stream) for stream in command.pop("streams")]
            _say(await load.run(streams, **command))

    uvloop.run(main())


def main():
    """Runs the role named by the first argument."""
    role = sys.argv[1]
    spec = json.loads(sys.stdin.readline())
    if role == "load":
        _run_load(spec)
    else:
        _run_reactor_role(_REACTOR_ROLES[role], spec)
    # The reading thread may still hold standard input at interpreter shutdown.
    sys.stdout.flush()
    os._exit(0)


if __name__ == "__main__":
    main()
