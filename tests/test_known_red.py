"""The marks of the tests that KNOWN-RED.txt lists."""

from __future__ import annotations

from conftest import known_red_reasons

ENTRIES = """Known failures.

test   tests/test_a.py::TestA::test_one
seen   it is too slow, seed 1:
       3 s
issue  2

bench  briarspoke bench drain
seen   one of four runs
issue  20

test   tests/test_b.py::test_two
"""


class TestEntries:
    """Guards against a test that is passed over although no entry names it."""

    def test_only_entries_of_tests_count(self):
        assert known_red_reasons(ENTRIES) == {
            "tests/test_a.py::TestA::test_one": (
                "seen it is too slow, seed 1: 3 s issue 2"
            ),
            "tests/test_b.py::test_two": "",
        }

    def test_empty_list(self):
        assert known_red_reasons("") == {}
