"""``briarspoke version``."""

from __future__ import annotations

from briarspoke import __version__

NAME = "version"


def run():
    """Print the version."""
    print(__version__)
