"""``briarspoke diff``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from briarspoke import output
from briarspoke.client import Api, CallError
from briarspoke.commands.apply import build_body, submit

NAME = "diff"
EXIT_DIFFERS = 1


def run(
    file: Path,
    *,
    replace: bool = False,
    force: bool = False,
    api: Annotated[Api | None, Parameter(name="*")] = None,
):
    """Show what a file would change; exit with status 1 if it changes anything.

    Parameters
    ----------
    file:
        JSON file ``{kind: [resource, ...]}``.
    replace:
        Also show the deletion of resources that the file does not contain.
    force:
        Allow changes that apply makes only with --force.
    """
    api = api or Api()
    try:
        answer = submit(api, build_body(file, [], replace), dry_run=True, force=force)
    except CallError as error:
        if api.output != "json":
            output.print_differences(error.answer.get("changes", ()))
        raise
    if api.output == "json":
        output.print_json(answer)
    else:
        output.print_differences(answer["changes"])
    return EXIT_DIFFERS if answer["changes"] else 0
