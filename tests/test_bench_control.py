from __future__ import annotations

import pytest

from briarspoke.benches.control import extrapolate, links_per_node, parse_metrics
from briarspoke.metrics import Metrics


class TestExtrapolate:
    @pytest.mark.parametrize("scale", ["linear", "links"])
    def test_exact_values_are_continued(self, scale):
        # Guards against a fit that misses its own scale: values that lie on the line
        # must give exactly the value of the line at the target.
        x = float if scale == "linear" else links_per_node
        values = {size: 3.0 + 2.0 * x(size) for size in (5, 10, 20, 40)}
        assert extrapolate(values, scale)["value"] == pytest.approx(3 + 2 * x(440))

    def test_links_per_node_in_mesh_and_ring(self):
        # Guards against a fit over a number of links that differs from the number
        # that nodes open: a full mesh up to 10 nodes, a ring above.
        assert [links_per_node(n) for n in (5, 10, 40, 440)] == [4, 9, 10, 18]


class TestParseMetrics:
    def test_reads_rendered_metrics(self):
        # Guards against a change of the text format that the parser does not follow:
        # counters would then be read as 0, and every upper bound would hold.
        metrics = Metrics(node_id="n")
        metrics.count("link_bytes_total", "sent", 5)
        metrics.count("member_changes_total", "alive", 2)
        assert parse_metrics(metrics.render().decode()) == {
            ("link_bytes_total", "sent"): 5.0,
            ("member_changes_total", "alive"): 2.0,
        }
