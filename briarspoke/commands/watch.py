"""``briarspoke watch``."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter

from briarspoke import output
from briarspoke.client import Api
from briarspoke.errors import UserError

NAME = "watch"


def run(
    *,
    from_: Annotated[int, Parameter(name="--from")] = 0,
    heartbeats: bool = False,
    until: int | None = None,
    api: Annotated[Api | None, Parameter(name="*")] = None,
):
    """Print changes of the configuration as they come into force.

    Parameters
    ----------
    from_:
        Print only changes after this version.
    heartbeats:
        Print heartbeats too.
    until:
        Exit once this version is in force.
    """
    api = api or Api()
    if from_ < 0:
        raise UserError("--from must not be negative")
    for event in api.iter_json_lines(f"/v1/watch?from={from_}"):
        if event["event"] != "heartbeat" or heartbeats:
            _print(event, api.output)
        if until is not None and event["version"] >= until:
            return 0
    return 0


def _print(event, output_format):
    if output_format == "json":
        output.print_json(event)
    elif event["event"] == "change":
        print(f"version {event['version']}, from {event['from']}")
        output.print_differences(event["changes"])
    elif event["event"] == "snapshot":
        counts = ", ".join(
            f"{len(entries)} {kind}" for kind, entries in event["resources"].items()
        )
        print(f"version {event['version']}: {counts}", flush=True)
    else:
        print(f"version {event['version']} is in force", flush=True)
