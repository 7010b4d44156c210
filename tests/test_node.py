from __future__ import annotations

import pytest
from twisted.internet import defer
from twisted.internet.testing import MemoryReactorClock

from briarspoke import settings
from briarspoke.errors import UserError
from briarspoke.membership.members import Status, Update
from briarspoke.node import Node

VALUE = {
    "node": "a",
    "zone": "z",
    "store_url": "http://127.0.0.1:2379",
    "cluster_key": "0123456789abcdef",
}


def update(status, incarnation=1):
    return Update(
        node_id="b",
        zone="z",
        link_address="127.0.0.1:2",
        forward_address="127.0.0.1:3",
        incarnation=incarnation,
        instance=bytes(8),
        status=status,
        source="b",
    )


class CallRecorder:
    """Replaces methods by fakes that record their calls and return fired Deferreds."""

    def __init__(self):
        self.names = []

    def record(self, owner, name, result=None):
        def record_call(*args):
            self.names.append(name)
            return defer.succeed(result)

        setattr(owner, name, record_call)


@pytest.fixture
def node():
    node = Node(reactor=MemoryReactorClock(), settings=settings.from_json(VALUE))
    node.starting = node.start()
    yield node
    node.stop()


class TestStart:
    def test_without_store_and_peers(self, node):
        # Guards against a node that stops loading, or reports that it is ready, without
        # a configuration.
        for _ in range(3):
            node.reactor.advance(2.5)
        assert not node.starting.called
        assert not node.ready
        assert {"callers", "admin", "metrics"} <= node.ports_by_name.keys()

    def test_peers_without_configuration(self, node):
        # Guards against a node that is ready after it has synchronised with peers that
        # have no configuration either.
        calls = CallRecorder()
        calls.record(node.links, "when_synced", result=True)
        for _ in range(12):
            node.reactor.advance(2.5)
        assert "when_synced" in calls.names
        assert not node.ready

    def test_stop_during_loading(self, node):
        # Guards against a store watch that starts after the node was stopped.
        node.stop()
        node.reactor.advance(3.0)
        assert not node.ready
        assert not node.watcher.is_active

    def test_address_in_use(self):
        # Guards against an error in shutdown() after start() failed on a port, which
        # would hide why the start failed.
        reactor = MemoryReactorClock()
        failing = Node(reactor=reactor, settings=settings.from_json(VALUE))

        def listen(*args, **kwargs):
            raise OSError("in use")

        reactor.listenTCP = listen
        failures = []
        failing.start().addErrback(failures.append)
        failing.shutdown().addErrback(failures.append)
        assert [failure.type for failure in failures] == [UserError]


class TestRouterTicks:
    @pytest.fixture
    def ticks(self, node):
        ticks = []
        node.router.tick = lambda: ticks.append(node.reactor.seconds())
        node.reactor.advance(0.05)
        ticks.clear()
        return ticks

    def test_idle(self, node, ticks):
        # Guards against 100 wake-ups a second on a node without requests.
        node.reactor.pump([0.01] * 50)
        assert 8 <= len(ticks) <= 10

    def test_with_a_request(self, node, ticks):
        # Guards against detecting deadlines late while requests are in flight.
        node.router.proxied_requests.add(object())
        node.reactor.advance(0.05)
        ticks.clear()
        node.reactor.pump([0.0101] * 50)
        assert len(ticks) >= 49

    def test_ticks_continue_after_an_error(self, node):
        # Guards against an error in one tick that prevents all later ticks, after which
        # no deadline would be detected.
        node.router.tick = lambda: 1 / 0
        node.reactor.advance(0.05)
        assert node._router_timer.active()


class TestShutdown:
    def test_order(self, node):
        # Guards against resigning the leases or closing the links before the requests
        # have drained: servers would lose their grants and requests would be cut off.
        calls = CallRecorder()
        calls.record(node.links, "leave")
        calls.record(node, "_stop_accepting")
        calls.record(node.router, "drain", 0)
        for owner, name in ((node.control, "control"), (node.links, "links")):
            stop = owner.stop

            def stop_and_record(stop=stop, name=name):
                calls.names.append(name)
                return stop()

            owner.stop = stop_and_record
        node.shutdown()
        assert calls.names == [
            "leave",
            "_stop_accepting",
            "drain",
            "control",
            "links",
        ]

    def test_resigns_when_draining_fails(self, node):
        # Guards against an error in the drain that prevents the resignation, so that
        # the zone has no controller until the lease expires.
        calls = CallRecorder()
        calls.record(node.control, "stop")
        node.router.drain = lambda seconds: defer.fail(ValueError("fault"))
        failures = []
        node.shutdown().addErrback(failures.append)
        assert calls.names == ["stop"]
        assert [failure.type for failure in failures] == [ValueError]


class TestReportedContact:
    @pytest.fixture
    def reachable_nodes(self, node):
        reachable_nodes = []
        node.control.node_reachable = reachable_nodes.append
        node.links._handle(update(Status.ALIVE))
        return reachable_nodes

    def test_only_terminated_vms_are_reported_regularly(self, node, reachable_nodes):
        # Guards against reporting every member to the controllers of every zone four
        # times a second.
        node.reactor.advance(1.0)
        assert reachable_nodes == []

    def test_reachable_terminated_vm_is_reported(self, node, reachable_nodes):
        # Guards against taking a zone from a VM that the VM list shows as terminated
        # although it still runs.
        entry = {"id": "b", "address": "127.0.0.1:2", "zone": "z", "kind": "entry"}
        entries = [{**entry, "state": "terminated"}]
        node._vms_listed(node.vms._entry_vms(entries), entries)
        assert reachable_nodes == ["b"]
        node._run_periodic_tasks()
        assert reachable_nodes == ["b", "b"]

    @pytest.mark.parametrize("status", [Status.LEAVING, Status.DOWN])
    def test_last_contact_with_lost_member(self, node, reachable_nodes, status):
        # Guards against a missing report of the last contact, which would end the wait
        # before the VM has been unreachable for 3 s.
        node.links._handle(update(status))
        assert reachable_nodes == ["b"]
