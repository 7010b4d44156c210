from __future__ import annotations

import pytest

from briarspoke.benches.control import extrapolate, links_per_node, parse_metrics
from briarspoke.metrics import Metrics


class TestExtrapolate:
    @pytest.mark.parametrize("scale", ["linear", "links"])
    def test_exact_values_are_continued(self, scale):
        # Guards against figures at the target that do not follow the measured ones.
        x = float if scale == "linear" else links_per_node
        values = {size: 3.0 + 2.0 * x(size) for size in (5, 10, 20, 40)}
        assert extrapolate(values, scale)["value"] == pytest.approx(3 + 2 * x(440))

    def test_links_are_those_of_the_design(self):
        # Guards against an extrapolation over links that nodes do not have.
        assert [links_per_node(n) for n in (5, 10, 40, 440)] == [4, 9, 10, 18]


class TestParseMetrics:
    def test_reads_what_a_node_writes(self):
        # Guards against counters that are read as 0 and so keep every bound.
        metrics = Metrics(node_id="n")
        metrics.count("link_bytes_total", "sent", 5)
        metrics.count("member_changes_total", "alive", 2)
        assert parse_metrics(metrics.render().decode()) == {
            ("link_bytes_total", "sent"): 5.0,
            ("member_changes_total", "alive"): 2.0,
        }
