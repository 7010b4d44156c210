from __future__ import annotations

import random

from briarspoke.ownership.hotkeys import COUNTERS, ServerLoad, SpaceSaving


class TestSpaceSaving:
    def test_memory_is_bounded(self):
        # 340 million keys must not fill the process.
        sketch = SpaceSaving()
        for number in range(10_000):
            sketch.add(number)
        assert len(sketch) == COUNTERS

    def test_bounds_hold_the_true_count(self):
        # A key above its share must not be missed.
        chooser, sketch, true = random.Random(1), SpaceSaving(counters=20), {}
        for _ in range(5_000):
            key = int(chooser.paretovariate(0.8))
            true[key] = true.get(key, 0) + 1
            sketch.add(key)
        assert {h.key for h in sketch.top(3)} == set(sorted(true, key=true.get)[-3:])
        for hot in sketch.top(20):
            assert hot.count - hot.error <= true[hot.key] <= hot.count


class TestServerLoad:
    def test_rates_are_per_second_since_the_last_report(self):
        # A partition that cooled down must not keep its old rate.
        load = ServerLoad(now=10.0)
        for _ in range(20):
            load.add(3, "k")
        assert load.rates(15.0) == {3: 4.0}
        assert load.rates(20.0) == {}
