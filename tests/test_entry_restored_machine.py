"""A store that is restored at any time, with cuts, outages and slow calls."""

from __future__ import annotations

from entry_fakes import STORE, RelayNetwork, World, configuration
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from profiles import stateful_settings
from twisted.internet import defer

NODE_COUNT = 5
# A watch on a dead connection ends after this time.
DEAD_CONNECTION_S = 4.0


class RestoredStoreMachine(RuleBasedStateMachine):
    """Every VM follows the store in the end, and its configuration never goes back."""

    @initialize(count=st.sampled_from((1, NODE_COUNT)))
    def start(self, count):
        self.world = World()
        self.network = RelayNetwork(self.world)
        self.version = 0
        self.write_configuration()
        self.world.add_server("stock", 11)
        for number in range(1, count + 1):
            self.world.add_node(f"front-poa-{number}", number)
        self.advance(4.5)
        self.store_copy = self.world.store.copy()

    def node(self, number):
        return self.world.nodes[number % len(self.world.nodes)]

    def versions(self):
        return [node.configuration_version for node in self.world.nodes]

    def advance(self, seconds):
        before = self.versions()
        self.network.advance(seconds)
        assert all(old <= new for old, new in zip(before, self.versions(), strict=True))

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.5, 1.5)))
    def time_passes(self, seconds):
        self.advance(seconds)

    @rule()
    def write_configuration(self):
        self.version += 1
        self.world.store.put("op/config", configuration(version=self.version))

    @rule(count=st.integers(1, 20))
    def write_others(self, count):
        for number in range(count):
            self.world.store.put("op/other", b"%d" % number)

    @rule(exists=st.booleans())
    def change_server(self, exists):
        if exists:
            self.world.add_server("stock", 12)
        else:
            self.world.store.delete("servers/s-12")

    @rule()
    def take_copy(self):
        self.store_copy = self.world.store.copy()

    @rule()
    def restore(self):
        self.world.store.restore(self.store_copy)

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.store_down = down

    @rule(number=st.integers(0, NODE_COUNT - 1), cut=st.booleans())
    def cut(self, number, cut):
        self.node(number).faults(STORE).cut = cut

    @rule(
        number=st.integers(0, NODE_COUNT - 1), late_s=st.sampled_from((0.0, 0.05, 0.3))
    )
    def delay(self, number, late_s):
        self.node(number).faults(STORE).late_s = late_s

    @rule(number=st.integers(0, NODE_COUNT - 1))
    def call(self, number):
        probe = defer.ensureDeferred(self.node(number).store.probe())
        probe.addErrback(lambda failure: None)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.store_down = False
        for node in self.world.nodes:
            faults = node.faults(STORE)
            faults.cut, faults.late_s = False, 0.0
        self.write_configuration()
        self.advance(DEAD_CONNECTION_S + 0.5)
        assert self.versions() == len(self.world.nodes) * [self.version]
        self.advance(4.0)
        store = self.world.store
        expected = {
            key: (item["value"], store.era, item["rev"])
            for key, item in store.items.items()
        }
        for node in self.world.nodes:
            items = node.view.items.items()
            found = {key: (i.value, i.era, i.revision) for key, i in items}
            assert found == expected
            assert node.registry._own_key in store.items


RestoredStoreMachine.TestCase.settings = stateful_settings()
TestRestoredStoreMachine = RestoredStoreMachine.TestCase
