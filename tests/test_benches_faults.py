from __future__ import annotations

import pytest

from briarspoke.benches.faults import check


class TestCheck:
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
        # Guards against a bench that reports zero because it checks nothing.
        found = check({"r": result}, {"r": hashes})
        assert [key for key, count in found.items() if count] == [name]

    def test_harmless_outcomes(self):
        # Guards against a repeated idempotent request counted as a fault.
        results = {"r": ("GET", "answered", "h"), "s": ("POST", "unknown:3101", "h")}
        assert not any(check(results, {"r": ["h", "h"], "s": ["h"]}).values())
