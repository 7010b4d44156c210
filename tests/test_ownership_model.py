"""Compares ownership under random faults with a model of one owner per partition.

To run more random examples: ``BRIARSPOKE_RANDOM_EXAMPLES=500 python -m pytest
tests/test_ownership_model.py``.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarspoke.benches.ownership_checks import Result
from briarspoke.benches.ownership_faults import faults_by_name
from briarspoke.benches.ownership_scenario import PARTITIONS, Scenario
from briarspoke.benches.world import ZONES
from briarspoke.ownership.document import OwnershipDocument

RANDOM_EXAMPLES = int(os.environ.get("BRIARSPOKE_RANDOM_EXAMPLES", "0"))
SERVICES = ("fenced-hold", "fenced-move", "open-hold")
STEP_S = 0.05


class OneOwnerTable:
    """Reference model: the last known owner and epoch per partition."""

    def __init__(self):
        self.owner_by_partition = {}

    def see(self, partition, server, epoch):
        """Compares a grant that a server holds now with the previous one."""
        known_server, known_epoch = self.owner_by_partition.get(
            partition, (server, epoch)
        )
        assert epoch >= known_epoch, f"{partition}: {server}@{epoch} is out of date"
        assert epoch > known_epoch or server == known_server, f"{partition}: two owners"
        self.owner_by_partition[partition] = server, epoch


class Ownership(RuleBasedStateMachine):
    """Injects random faults at random times."""

    def __init__(self):
        super().__init__()
        self.scenario = Scenario(seed=1, services=SERVICES)
        self.world = self.scenario.world
        self.model = OneOwnerTable()
        self.ends = []
        self.world.scheduler.call_later(1.0, self.scenario._traffic)
        self.world.scheduler.run_until(1.5)

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5, 4.0]))
    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.world.scheduler.run_until(self.world.scheduler.now + STEP_S)
            self.compare()

    @rule(name=st.sampled_from(sorted(faults_by_name)), seed=st.integers(0, 9))
    def inject(self, name, seed):
        self.scenario.random.seed(seed)
        end = faults_by_name[name](self.scenario)
        if end is not None:
            self.ends.append(end)

    @rule(index=st.integers(0, 9))
    def end_fault(self, index):
        if self.ends:
            self.ends.pop(index % len(self.ends))()

    @invariant()
    def compare(self):
        """Guards against two servers that hold one partition."""
        held = {}
        for server in self.world.servers_by_name.values():
            if not server.fenced or not server.alive:
                continue
            for partition, epoch in server.table.held.items():
                if server.table.holds(partition, epoch):
                    assert partition not in held, f"{partition}: two owners"
                    held[partition] = server.name
                    self.model.see(partition, server.name, epoch)

    @invariant()
    def store_agrees(self):
        """Guards against a grant that no accepted document contains."""
        for partition, (server, epoch) in self.model.owner_by_partition.items():
            service, _, number = partition.partition("/")
            entry = self.world.store.state.entries[f"ownership/{service}"]
            stored = OwnershipDocument.decode(entry.value).partitions[int(number)]
            assert stored.epoch >= epoch
            assert stored.epoch > epoch or stored.owner == server

    def teardown(self):
        result = Result(self.scenario, {})
        assert not result.two_owners
        assert not result.lost


Ownership.TestCase.settings = settings(
    derandomize=not RANDOM_EXAMPLES,
    database=None,
    deadline=None,
    max_examples=RANDOM_EXAMPLES or 40,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


class TestOwnershipAgainstModel(Ownership.TestCase):
    """Guards against a sequence of faults after which a key has two owners."""


def test_every_partition_is_granted_once_at_the_start():
    # Guards against a model that passes because it compares no grants.
    machine = Ownership()
    machine.advance(1.0)
    fenced = sum(name.startswith("fenced") for name in SERVICES)
    assert len(machine.model.owner_by_partition) == fenced * PARTITIONS
    assert len(ZONES) > 1
