"""The commands of the command line, one module each.

Each module has a function ``run`` and a constant ``NAME``, which equals the module's
name. A module is imported only when its command runs or the help lists it, so that
short commands do not wait for the imports of the others.
"""

from __future__ import annotations

import importlib
import pkgutil


def command_names():
    """Returns the names of all commands, sorted."""
    return sorted(module.name for module in pkgutil.iter_modules(__path__))


def register_all(app, *, lazily=True):
    """Registers the command of every module in this package.

    :param lazily: False imports the modules immediately, so that the list of
        commands shows the help of each.
    """
    for name in command_names():
        command = f"{__name__}.{name}:run"
        if not lazily:
            command = importlib.import_module(f"{__name__}.{name}").run
        app.command(command, name=name)
