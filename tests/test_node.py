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


class Calls:
    """Records the calls of methods, which then return finished Deferreds."""

    def __init__(self):
        self.names = []

    def record(self, owner, name, result=None):
        def called(*args):
            self.names.append(name)
            return defer.succeed(result)

        setattr(owner, name, called)


@pytest.fixture
def node():
    node = Node(reactor=MemoryReactorClock(), settings=settings.from_json(VALUE))
    node.starting = node.start()
    yield node
    node.stop()


class TestStart:
    def test_without_store_and_peers(self, node):
        # Guards against a node that gives up, or serves, before it knows anything.
        for _ in range(3):
            node.reactor.advance(2.5)
        assert not node.starting.called
        assert not node.ready
        assert {"callers", "admin", "metrics"} <= node.ports_by_name.keys()

    def test_peers_that_know_nothing_either(self, node):
        # Guards against nodes that call each other ready without a configuration.
        calls = Calls()
        calls.record(node.links, "when_synced", result=True)
        for _ in range(12):
            node.reactor.advance(2.5)
        assert "when_synced" in calls.names
        assert not node.ready

    def test_stopped_while_it_loads(self, node):
        # Guards against a watch of the store that outlives the node.
        node.stop()
        node.reactor.advance(3.0)
        assert not node.ready
        assert not node.watcher.is_active

    def test_address_in_use(self):
        # Guards against a failure to stop that hides why the start failed.
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
        # Guards against 100 wake-ups a second of a node without requests.
        node.reactor.pump([0.01] * 50)
        assert 8 <= len(ticks) <= 10

    def test_with_a_request(self, node, ticks):
        # Guards against deadlines that are noticed late under load.
        node.router.relays.add(object())
        node.reactor.advance(0.05)
        ticks.clear()
        node.reactor.pump([0.0101] * 50)
        assert len(ticks) >= 49

    def test_error(self, node):
        # Guards against a fault in one tick that ends all deadlines.
        node.router.tick = lambda: 1 / 0
        node.reactor.advance(0.05)
        assert node._router_timer.active()


class TestShutdown:
    def test_order(self, node):
        # Guards against a zone without grants, and requests that are cut off.
        calls = Calls()
        calls.record(node.links, "leave")
        calls.record(node, "_stop_accepting")
        calls.record(node.router, "drain", 0)
        for owner, name in ((node.control, "control"), (node.links, "links")):
            stop = owner.stop

            def stopped(stop=stop, name=name):
                calls.names.append(name)
                return stop()

            owner.stop = stopped
        node.shutdown()
        assert calls.names == [
            "leave",
            "_stop_accepting",
            "drain",
            "control",
            "links",
        ]

    def test_resigns_when_draining_fails(self, node):
        # Guards against leases that are left to lapse because of another fault.
        calls = Calls()
        calls.record(node.control, "stop")
        node.router.drain = lambda seconds: defer.fail(ValueError("fault"))
        failures = []
        node.shutdown().addErrback(failures.append)
        assert calls.names == ["stop"]
        assert [failure.type for failure in failures] == [ValueError]


class TestHeard:
    @pytest.fixture
    def heard(self, node):
        heard = []
        node.control.node_reachable = heard.append
        node.links._handle(update(Status.ALIVE))
        return heard

    def test_only_terminated_vms_are_reported_regularly(self, node, heard):
        # Guards against work for every member and zone four times a second.
        node.reactor.advance(1.0)
        assert heard == []

    def test_vm_that_still_runs(self, node, heard):
        # Guards against a zone that is taken from a VM listed too early as gone.
        entry = {"id": "b", "address": "127.0.0.1:2", "zone": "z", "kind": "entry"}
        entries = [{**entry, "state": "terminated"}]
        node._vms_listed(node.vms._entry_vms(entries), entries)
        assert heard == ["b"]
        node._duties()
        assert heard == ["b", "b"]

    @pytest.mark.parametrize("status", [Status.LEAVING, Status.DOWN])
    def test_last_sign_of_life(self, node, heard, status):
        # Guards against a wait that ends before the VM was silent for 3 s.
        node.links._handle(update(status))
        assert heard == ["b"]
