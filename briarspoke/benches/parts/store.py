"""The stand-in of the platform store in a bench."""

from __future__ import annotations

from briarspoke import clock
from briarspoke.benches import parts
from briarspoke.standins.store import StoreStandIn, site


def _start(reactor, parameters):
    stand_in = StoreStandIn(reactor=reactor, clock=clock.monotonic)
    for key, value in parameters.get("values", {}).items():
        stand_in.state.put(key, bytes.fromhex(value), 0, None)
    port = reactor.listenTCP(
        0, site(stand_in), interface=parameters["host"], backlog=1024
    )

    def handle(command):
        for name, value in command.get("faults", {}).items():
            setattr(stand_in.faults, name, value)
        for vm in command.get("vms", []):
            stand_in.state.vms_by_id[vm["id"]] = vm
        return {"calls": dict(stand_in.calls_by_kind)}

    return {"port": port.getHost().port}, handle


if __name__ == "__main__":
    parts.run(_start)
