"""Marks the tests that KNOWN-RED.txt lists as expected failures."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red_reasons(text):
    """Returns ``{test: reason}`` of the entries that name a test.

    :param text: contents of KNOWN-RED.txt. An entry ends with an empty line; its line
        ``test`` has the identifier, and those behind it the reason.
    """
    reasons_by_test = {}
    for entry in text.split("\n\n"):
        word, _, rest = entry.strip().partition(" ")
        if word == "test":
            test, _, reason = rest.strip().partition("\n")
            reasons_by_test[test.split()[0]] = " ".join(reason.split())
    return reasons_by_test


def pytest_collection_modifyitems(items):
    """Lets listed tests fail, and fails those that have begun to pass.

    A test that fails in some runs only may pass; its entry says that it is flaky.
    """
    reasons_by_test = known_red_reasons(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        # A listed test may have parameters.
        reason = reasons_by_test.get(item.nodeid.partition("[")[0])
        if reason is not None:
            strict = not reason.startswith("seen flaky")
            item.add_marker(pytest.mark.xfail(strict=strict, reason=reason))
