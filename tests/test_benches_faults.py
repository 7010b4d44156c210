from __future__ import annotations

import pytest

from briarspoke.benches.faults import count_violations


class TestCountViolations:
    @pytest.mark.parametrize(
        ("result", "hashes", "name"),
        [
            (("POST", "answered", "h"), ["h", "h"], "twice"),
            (("GET", "no:2001", "h"), ["h"], "refused_but_run"),
            (("GET", "answered", "h"), [], "answered_but_not_run"),
            (("PUT", "cut", "h"), ["other"], "partial_body_run"),
            (("GET", "truncated", "h"), ["h"], "truncated"),
            (("GET", "misdelivered", "h"), ["h"], "misdelivered"),
            (("GET", "hung", "h"), [], "hung"),
        ],
    )
    def test_each_violation_is_found(self, result, hashes, name):
        # Guards against a check that never fails, so that the bench reports zero.
        counts = count_violations({"r": result}, {"r": hashes})
        assert [key for key, count in counts.items() if count] == [name]

    def test_permitted_outcomes_are_no_violations(self):
        # Guards against a retried idempotent request, or an unknown outcome of a
        # booking, that is counted as a violation.
        results = {"r": ("GET", "answered", "h"), "s": ("POST", "unknown:3101", "h")}
        assert not any(
            count_violations(results, {"r": ["h", "h"], "s": ["h"]}).values()
        )
