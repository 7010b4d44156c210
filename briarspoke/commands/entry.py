"""``briarspoke entry``."""

from __future__ import annotations

from pathlib import Path

NAME = "entry"


def run(settings: Path):
    """Run an entry VM on the platform until SIGTERM.

    Parameters
    ----------
    settings:
        JSON file with the settings of the process.
    """
    from briarspoke.entry import process

    return process.run(settings)
