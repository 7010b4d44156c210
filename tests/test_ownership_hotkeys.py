from __future__ import annotations

import random

from briarspoke.ownership.hotkeys import DEFAULT_COUNTERS, ServerLoad, SpaceSaving


class TestSpaceSaving:
    def test_memory_is_bounded(self):
        # Guards against memory that grows with the number of keys (340 million).
        sketch = SpaceSaving()
        for number in range(10_000):
            sketch.add(number)
        assert len(sketch) == DEFAULT_COUNTERS

    def test_bounds_hold_the_true_count(self):
        # Guards against missing a key above the requested share.
        chooser, sketch, true_counts = random.Random(1), SpaceSaving(counters=20), {}
        for _ in range(5_000):
            key = int(chooser.paretovariate(0.8))
            true_counts[key] = true_counts.get(key, 0) + 1
            sketch.add(key)
        assert {counter.key for counter in sketch.top(3)} == set(
            sorted(true_counts, key=true_counts.get)[-3:]
        )
        for counter in sketch.top(20):
            assert (
                counter.count - counter.error
                <= true_counts[counter.key]
                <= counter.count
            )


class TestServerLoad:
    def test_rates_are_per_second_since_the_last_report(self):
        # Guards against a partition that keeps an outdated rate.
        load = ServerLoad(now=10.0)
        for _ in range(20):
            load.add(3, "k")
        assert load.rates(15.0) == {3: 4.0}
        assert load.rates(20.0) == {}
