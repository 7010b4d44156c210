"""``briarspoke apply``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from briarspoke import output, settings
from briarspoke.client import Api, CallError
from briarspoke.errors import UserError

NAME = "apply"


def run(
    file: Path | None = None,
    *,
    delete: list[str] | None = None,
    replace: bool = False,
    dry_run: bool = False,
    force: bool = False,
    expected_version: int | None = None,
    write_id: str | None = None,
    api: Annotated[Api | None, Parameter(name="*")] = None,
):
    """Create, replace or delete several resources in one change.

    Parameters
    ----------
    file:
        JSON file ``{kind: [resource, ...]}`` of resources to create or replace.
    delete:
        Resource to delete, as kind/name; can be given more than once.
    replace:
        Delete every resource that the file does not contain.
    dry_run:
        Check and show the change without making it.
    force:
        Also delete servers that own partitions, or change their zone, service or
        address. Use it only for servers that will never run again.
    expected_version:
        Refuse unless the configuration is at this version.
    write_id:
        Identifier of the write. A change takes effect at most once under the same
        identifier, so it can be retried safely if its outcome is unknown.
    """
    api = api or Api()
    body = build_body(file, delete or [], replace, expected_version)
    answer = submit(api, body, dry_run=dry_run, force=force, write_id=write_id)
    if api.output == "json":
        output.print_json(answer)
        return 0
    output.print_differences(answer["changes"])
    verb = "would change" if dry_run else "changed"
    count = len(answer["changes"])
    print(f"{count} resource(s) {verb}, configuration version {answer['version']}")
    return 0


def build_body(file, delete, replace, expected_version=None):
    """Returns the body of ``POST /v1/apply``.

    :param delete: list of resources to delete, each ``kind/name``.
    :raises UserError: if the arguments do not describe a change.
    """
    if file is None and not delete:
        raise UserError("a file or --delete is required")
    if file is None and replace:
        raise UserError("--replace requires a file")
    body = {"resources": settings.read_json(file) if file else {}, "replace": replace}
    deletes = {}
    for path in delete:
        kind, _, name = path.partition("/")
        if not name:
            raise UserError(f"{path} is not of the form kind/name")
        deletes.setdefault(kind, []).append(name)
    if deletes:
        body["delete"] = deletes
    if expected_version is not None:
        body["expected_version"] = expected_version
    return body


def submit(api, body, *, dry_run=False, force=False, write_id=None):
    """Sends a change and returns the answer.

    :param body: body of ``POST /v1/apply``.
    :raises CallError: if the change was refused or its outcome is unknown.
    """
    write_id = write_id or f"cli-{os.urandom(9).hex()}"
    path = f"/v1/apply?dry_run={int(dry_run)}&force={int(force)}"
    try:
        with output.progress("waiting for the change to be accepted"):
            return api.call("POST", path, body, {"Briarspoke-Write-Id": write_id})
    except CallError as error:
        if error.answer.get("name") == "outcome-unknown":
            error.answer["write_id"] = write_id
            error.args = (
                f"{error}\n  find out with: briarspoke get writes {write_id}, "
                f"or retry with --write-id {write_id}",
            )
        raise
