"""Settings of the hypothesis tests; see docs/developer/testing.md."""

from __future__ import annotations

import os

from hypothesis import settings


def stateful_settings():
    """Returns settings for fixed examples, or random if BRIARSPOKE_EXAMPLES is set."""
    examples = int(os.environ.get("BRIARSPOKE_EXAMPLES", "0"))
    if examples:
        return settings(max_examples=examples, stateful_step_count=100, deadline=None)
    return settings(
        max_examples=100, stateful_step_count=40, derandomize=True, deadline=None
    )
