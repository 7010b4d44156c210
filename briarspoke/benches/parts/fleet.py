"""Many backend servers with grants, in one process of a bench."""

from __future__ import annotations

from briarspoke import clock
from briarspoke.benches import parts
from briarspoke.standins.backend import BackendFactory, BackendStandIn
from briarspoke.standins.grants import GrantTable


def _start(reactor, parameters):
    tables = []
    ports = []
    for name in parameters["names"]:
        table = GrantTable(server=name, clock=clock.monotonic)
        backend = BackendStandIn(
            name=name, reactor=reactor, clock=clock.monotonic, grants=table
        )
        port = reactor.listenTCP(0, BackendFactory(backend), interface="127.0.0.1")
        tables.append(table)
        ports.append(port.getHost().port)

    def handle(command):
        now = clock.monotonic()
        return {
            "held": sum(len(t.held) for t in tables if now < t.expires_at),
            "control_calls": sum(t.control_calls for t in tables),
        }

    return {"ports": ports}, handle


if __name__ == "__main__":
    parts.run(_start)
