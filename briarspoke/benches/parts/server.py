"""One backend server of a bench, with grants and records of its executions."""

from __future__ import annotations

import random

from briarspoke import clock
from briarspoke.benches import parts
from briarspoke.standins.backend import BackendFactory, BackendStandIn
from briarspoke.standins.grants import GrantTable


class _Server:
    def __init__(self, reactor, parameters):
        name = parameters["name"]
        self._random = random.Random(f"{name}{parameters['seed']}")
        self._mean_s = parameters.get("service_s", 0.002)
        self.grants = None
        if parameters.get("fenced", True):
            self.grants = GrantTable(
                server=name,
                clock=clock.monotonic,
                incarnation=str(clock.monotonic()),
            )
        self.backend = BackendStandIn(
            name=name,
            reactor=reactor,
            clock=clock.monotonic,
            slots=parameters.get("slots", 6),
            service_s=self._service_s,
            grants=self.grants,
            keep_records=parameters.get("keep_records", True),
        )
        self.port = reactor.listenTCP(
            parameters.get("port", 0),
            BackendFactory(self.backend),
            interface=parameters["host"],
            backlog=256,
        )

    def _service_s(self, connection):
        # Exponentially distributed times keep requests from synchronising.
        return self._random.expovariate(1 / self._mean_s)

    def handle(self, command):
        """Returns the server's ownership intervals, executions and counters."""
        intervals = []
        if self.grants is not None:
            intervals = [
                [i.partition, i.epoch, i.begin, i.end] for i in self.grants.intervals
            ]
        return {
            "intervals": intervals,
            "executions": [
                [e.at, e.request_id, e.partition, e.epoch, e.head_at]
                for e in self.backend.executions
            ],
            "fenced_off": self.backend.fenced_off,
            "expired": self.backend.expired,
            "held": len(self.grants.held) if self.grants else 0,
        }


def _start(reactor, parameters):
    server = _Server(reactor, parameters)
    return {"port": server.port.getHost().port}, server.handle


if __name__ == "__main__":
    parts.run(_start)
