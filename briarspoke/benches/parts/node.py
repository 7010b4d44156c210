"""A complete entry VM of a bench, whose network can be cut."""

from __future__ import annotations

import sys

from twisted.internet import defer

from briarspoke import clock, logs, settings
from briarspoke.benches import parts
from briarspoke.benches.parts.network import CuttableReactor
from briarspoke.node import Node


class _EntryVm:
    def __init__(self, reactor, parameters):
        self.network = CuttableReactor(reactor)
        self.node = Node(
            reactor=self.network, settings=settings.from_json(parameters["settings"])
        )
        self.ownership_log = []
        apply_ownership = self.node.router.apply_ownership

        def apply_and_log(document):
            accepted = apply_ownership(document)
            if accepted:
                self.ownership_log.append(
                    [clock.monotonic(), document.service, document.version]
                )
            return accepted

        self.node.router.apply_ownership = apply_and_log

    @defer.inlineCallbacks
    def handle(self, command):
        """Cuts or restores the network, or shuts down; returns the state."""
        if "cut" in command:
            self.network.cut(command["cut"])
        if command.get("heal"):
            self.network.heal()
        remaining_requests = None
        if command.get("shutdown"):
            remaining_requests = yield self.node.shutdown()
        node = self.node
        return {
            "left_by_shutdown": remaining_requests,
            "configuration": node.active_configuration.document.version,
            "ownership": {
                name: document.version
                for name, document in node.router.table.documents_by_service.items()
            },
            "owners": {
                name: [p.owner for p in document.partitions]
                for name, document in node.router.table.documents_by_service.items()
            }
            if command.get("owners")
            else {},
            "holds": [
                zone
                for zone in (
                    node.active_configuration.document.configuration().zones_by_name
                )
                if node.control.holds(zone)
            ],
            "ownership_log": self.ownership_log if command.get("log") else [],
            "refusals": {
                str(number): count
                for number, count in node.metrics.values("refusals_total").items()
            },
        }


def _start(reactor, parameters):
    logs.setup(parameters.get("log_level", "warning"))
    vm = _EntryVm(reactor, parameters)
    started = vm.node.start()

    def failed(failure):
        failure.printTraceback(file=sys.stderr)
        reactor.stop()

    started.addErrback(failed)
    names = ("callers", "admin", "metrics")
    ports = {name: vm.node.port(name) for name in names}
    return {"link": vm.node.members.me.link_address, **ports}, vm.handle


if __name__ == "__main__":
    parts.run(_start)
