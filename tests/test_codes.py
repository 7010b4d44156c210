from __future__ import annotations

import pytest

from briarspoke import codes


class TestRegistry:
    def test_numbers_and_names_are_unique(self):
        # Guards against two results that a caller could not distinguish.
        with pytest.raises(ValueError):
            codes.register(1001, "other", codes.Kind.LOAD, 503, "Taken number.")
        with pytest.raises(ValueError):
            codes.register(1999, "queue-full", codes.Kind.LOAD, 503, "Taken name.")

    def test_kind_matches_the_block(self):
        # Guards against a load decision that is reported as an operator's rule because
        # of its number.
        kinds_by_block = {
            1: {codes.Kind.OPERATOR_RULE},
            2: {codes.Kind.LOAD},
            3: {codes.Kind.UNAVAILABLE, codes.Kind.UNKNOWN_OUTCOME},
        }
        for number, code in codes.by_number.items():
            allowed = kinds_by_block.get(number // 1000)
            assert allowed is None or code.kind in allowed, code
