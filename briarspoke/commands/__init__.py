"""The commands of the command line, one module each.

A module has a function ``run`` and a constant ``NAME``, which is the module's
own name. Modules are imported only when their command runs or the help lists
it, so a short command does not wait for the imports of the others.
"""

from __future__ import annotations

import importlib
import pkgutil


def names():
    """Returns the names of all commands, sorted."""
    return sorted(module.name for module in pkgutil.iter_modules(__path__))


def register_all(app, *, lazily=True):
    """Registers the command of every module in this package.

    :param lazily: False imports the modules at once, so that the list of
        commands shows what each is for.
    """
    for name in names():
        command = f"{__name__}.{name}:run"
        if not lazily:
            command = importlib.import_module(f"{__name__}.{name}").run
        app.command(command, name=name)
