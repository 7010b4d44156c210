"""The commands of the command line, one module each."""

from __future__ import annotations

import importlib
import pkgutil


def register_all(app):
    """Registers the command of every module in this package.

    Each module has a function ``run`` and a constant ``NAME``.
    """
    for module in sorted(pkgutil.iter_modules(__path__), key=lambda m: m.name):
        command = importlib.import_module(f"{__name__}.{module.name}")
        app.command(command.run, name=command.NAME)
