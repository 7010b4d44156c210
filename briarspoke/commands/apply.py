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
    """Change several resources at once.

    Parameters
    ----------
    file:
        JSON file ``{kind: [resource, ...]}`` of resources to create or replace.
    delete:
        Resource to delete, as kind/name; may be repeated.
    replace:
        Delete every resource that the file does not hold.
    dry_run:
        Check and show the change without making it.
    force:
        Also delete servers that own partitions, or change their zone, service or
        address; only for servers that are gone for good.
    expected_version:
        Refuse unless the configuration is at this version.
    write_id:
        Identifier of the write; repeat a change of unknown outcome under the
        same identifier, and it takes effect at most once.
    """
    api = api or Api()
    body = body_of(file, delete or [], replace, expected_version)
    answer = submit(api, body, dry_run=dry_run, force=force, write_id=write_id)
    if api.output == "json":
        output.print_json(answer)
        return 0
    output.print_differences(answer["changes"])
    verb = "would change" if dry_run else "changed"
    count = len(answer["changes"])
    print(f"{count} resource(s) {verb}, configuration version {answer['version']}")
    return 0


def body_of(file, delete, replace, expected_version=None):
    """Returns the body of ``POST /v1/apply``."""
    if file is None and not delete:
        raise UserError("name a file or resources to delete")
    if file is None and replace:
        raise UserError("--replace needs a file")
    body = {"resources": settings.read_json(file) if file else {}, "replace": replace}
    deletes = {}
    for path in delete:
        kind, _, name = path.partition("/")
        if not name:
            raise UserError(f"{path} is not kind/name")
        deletes.setdefault(kind, []).append(name)
    if deletes:
        body["delete"] = deletes
    if expected_version is not None:
        body["expected_version"] = expected_version
    return body


def submit(api, body, *, dry_run=False, force=False, write_id=None):
    """Sends a change and returns the answer."""
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
                f"or repeat with --write-id {write_id}",
            )
        raise
