from __future__ import annotations

import random

import pytest
from twisted.internet import defer, task

from briarspoke.platform import vms as module
from briarspoke.platform.store import StoreUnavailableError
from briarspoke.platform.vms import VmPoller


def entry(number, **kwargs):
    return {
        "id": f"n{number}",
        "address": f"10.0.0.{number}:1",
        "zone": "z",
        "kind": "entry",
        "state": "live",
        **kwargs,
    }


class Setup:
    def __init__(self):
        self.clock = task.Clock()
        self.result = []
        self.polled_at = []
        self.seen = []
        self.poller = VmPoller(
            reactor=self.clock,
            store=self,
            observer=lambda vms, entries: self.seen.append(vms),
            is_watcher=lambda: True,
            peer_port=8081,
            rng=random.Random(1),
        )

    def vms(self):
        self.polled_at.append(self.clock.seconds())
        if isinstance(self.result, Exception):
            return defer.fail(self.result)
        return defer.succeed(self.result)


@pytest.fixture
def setup():
    return Setup()


class TestVmPoller:
    def test_invalid_entries_are_left_out(self, setup):
        # Guards against one invalid entry that hides all others or stops the polling.
        setup.result = [
            entry(1, address="10.0.0.1"),
            entry(2, kind="server"),
            entry(3, address="not an address"),
            entry(4, state="dreaming"),
            "nonsense",
        ]
        setup.poller.start()
        assert [(vm.vm_id, vm.address) for vm in setup.seen[0]] == [
            ("n1", "10.0.0.1:8081")
        ]

    def test_long_lists_are_polled_less_often(self, setup):
        # Guards against a VM list that alone exceeds the bytes allowed for control.
        setup.result = [entry(n % 250) for n in range(440)]
        setup.poller.start()
        for _ in range(600):
            setup.clock.advance(1.0)
        count = len(setup.polled_at)
        assert 440 * module.ENTRY_BYTES * count / 600 <= 1.3 * module.LIST_BYTES_PER_S
        setup.poller.poll_now()
        assert len(setup.polled_at) == count + 1

    def test_polling_continues_after_an_outage(self, setup):
        # Guards against polling that never resumes after an outage of the store.
        setup.result = StoreUnavailableError("down")
        setup.poller.start()
        assert setup.seen == []
        setup.result = [entry(1)]
        setup.clock.advance(module.WATCHER_POLL_PERIOD_S * module.MAX_JITTER_FACTOR)
        assert len(setup.seen) == 1
        setup.poller.stop()
        setup.clock.advance(100)
        assert len(setup.polled_at) == 2
