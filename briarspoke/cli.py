"""The command line."""

from __future__ import annotations

import sys

from cyclopts import App

from briarspoke import __version__, commands
from briarspoke.errors import UserError

app = App(
    name="briarspoke",
    help="A router for backend servers that own keys exclusively.",
    version=__version__,
)
commands.register_all(app)


def main():
    """Runs the command line and exits."""
    try:
        status = app()
    except UserError as error:
        print(f"briarspoke: {error}", file=sys.stderr)
        status = 2
    sys.exit(status or 0)
