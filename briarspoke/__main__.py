"""Runs the command line with ``python -m briarspoke``."""

from __future__ import annotations

from briarspoke.cli import main

if __name__ == "__main__":
    main()
