"""``briarspoke get``."""

from __future__ import annotations

import json
import time
from typing import Annotated
from urllib.parse import quote

from cyclopts import Parameter

from briarspoke import output
from briarspoke.client import Api
from briarspoke.configuration.resources import classes_by_kind
from briarspoke.errors import UserError

NAME = "get"
STATUS_VIEWS = ("nodes", "ownership", "refusals")
# A read of the nodes requests their versions from the entry VMs. The answers arrive
# within this time, so that a second read can show them.
VERSIONS_WAIT_S = 0.3


def run(
    what: str,
    name: str | None = None,
    *,
    base: int | None = None,
    api: Annotated[Api | None, Parameter(name="*")] = None,
):
    """Show resources, a status view or the outcome of a write.

    Parameters
    ----------
    what:
        A kind (zones, services, servers, limits), configuration, nodes,
        ownership, refusals or writes.
    name:
        Name of one resource, or a write identifier.
    base:
        Version that a write was based on; it shows whether the write can still take
        effect.
    """
    api = api or Api()
    path = _path(what, name, base)
    with output.progress(f"waiting for {what}"):
        answer = api.call("GET", path)
        if what == "nodes" and name is None:
            time.sleep(VERSIONS_WAIT_S)
            answer = api.call("GET", path)
    if api.output == "json":
        output.print_json(answer)
    elif "items" in answer:
        _print_items(answer["items"])
    elif "resource" in answer:
        print(json.dumps(answer["resource"], indent=2))
    elif what == "ownership":
        _print_ownership(answer[what])
    elif what == "refusals":
        _print_refusals(answer[what])
    elif what == "nodes":
        _print_rows(answer[what])
        print()
        _print_rows(answer["zones"])
    elif isinstance(answer.get(what), list):
        _print_rows(answer[what])
    elif what == "configuration":
        print(json.dumps(answer["resources"], indent=2))
    else:
        print(f"{answer['write_id']}: {answer['status']}, version {answer['version']}")
    return 0


def _path(what, name, base):
    if what == "configuration" and name is None:
        return "/v1/configuration"
    if what in STATUS_VIEWS and name is None:
        return f"/v1/status/{what}"
    if what == "writes" and name is not None:
        query = "" if base is None else f"?base={base}"
        return f"/v1/writes/{quote(name, safe='')}{query}"
    if what in classes_by_kind:
        return f"/v1/{what}" + (f"/{quote(name, safe='')}" if name else "")
    available = ", ".join(
        [*classes_by_kind, "configuration", *STATUS_VIEWS, "writes ID"]
    )
    raise UserError(f"cannot get {what}; available: {available}")


def _print_items(items):
    rows = [{**item["resource"], "version": item["version"]} for item in items]
    _print_rows(
        [
            {key: value for key, value in row.items() if not isinstance(value, dict)}
            for row in rows
        ]
    )


def _print_rows(rows):
    columns = list(rows[0]) if rows else ["nothing"]
    output.print_table(columns, [[row.get(c) for c in columns] for row in rows])


def _print_ownership(by_service):
    rows = []
    for service, view in sorted(by_service.items()):
        for server, count in sorted(view["partitions"].items()):
            rows.append([service, view["version"], server, count])
        rows.append([service, view["version"], "(unowned)", view["unowned"]])
        # Moving partitions are also counted for the server that still owns them.
        rows.append([service, view["version"], "(moving)", view["moving"]])
    output.print_table(["service", "version", "server", "partitions"], rows)


def _print_refusals(refusals):
    counts = {}
    for refusal in refusals:
        name = refusal["class"]
        counts[name] = counts.get(name, 0) + refusal["count"]
    _print_rows(refusals)
    if counts:
        print()
        output.print_table(["class", "count"], sorted(counts.items()))
