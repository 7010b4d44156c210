from __future__ import annotations

import collections
import random

from entry_fakes import RelayNetwork, World, configuration

from briarspoke.entry import registry, relays
from briarspoke.platform import keyvalue

# A third of the VMs of the largest deployment: one zone of it is like another.
VMS = 31
SCALE = 93 / VMS


def play(monkeypatch, *, before):
    """Plays one zone; returns calls per second of all zones, quiet and in an outage.

    :param before: whether with the intervals of before.
    """
    if before:
        monkeypatch.setattr(registry, "RENEWAL_INTERVAL_S", 3.0)
        monkeypatch.setattr(registry, "OUTAGE_RETRY_S", 0.0)
        monkeypatch.setattr(
            relays, "OUTAGE_RECONNECT_DELAY_S", relays.RECONNECT_DELAY_S
        )
    else:
        monkeypatch.undo()
    world = World()
    world.store.put("op/config", configuration())
    calls = collections.Counter()
    call_store = world._call_store

    def count(method, path, *args):
        calls[path.split("?")[0].split("/")[2]] += 1
        return call_store(method, path, *args)

    world._call_store = count
    nodes = [world.add_node(f"front-poa-{n}", n) for n in range(1, VMS + 1)]
    network = RelayNetwork(world)
    network.advance(12.0)
    rates = []
    for is_down, seconds in ((False, 12.0), (True, 20.0)):
        world.store_down = is_down
        calls.clear()
        network.advance(seconds)
        rates.append(
            {path: SCALE * count / seconds for path, count in sorted(calls.items())}
        )
    world.store_down = False
    network.advance(3.0)
    assert all(node.view.reachable for node in nodes), "not back 3 s after the outage"
    return rates


class TestStoreCalls:
    """Guards against calls to the store that grow with the number of VMs, and against
    VMs that are not back in time after an outage.
    """

    def test_fewer_than_before(self, monkeypatch, capsys):
        random.seed(1)
        now = play(monkeypatch, before=False)
        random.seed(1)
        before = play(monkeypatch, before=True)
        with capsys.disabled():
            for name, old, new in zip(("quiet", "outage"), before, now, strict=True):
                print(
                    f"\n{name}: {sum(old.values()):.1f} calls/s before, "
                    f"{sum(new.values()):.1f} now; {old}; {new}"
                )
        for old, new in zip(before, now, strict=True):
            assert sum(new.values()) < sum(old.values())

    def test_three_renewals_fit_into_the_lease(self):
        retry_s = keyvalue.CALL_TIMEOUT_S + registry.CHECK_INTERVAL_S
        assert registry.RENEWAL_INTERVAL_S + 3 * retry_s <= registry.LEASE_S
