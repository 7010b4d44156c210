"""``briarspoke evacuate``."""

from __future__ import annotations

import time
from typing import Annotated

from cyclopts import Parameter

from briarspoke import operations, output
from briarspoke.client import Api

NAME = "evacuate"


def run(
    zone: str,
    *,
    undo: bool = False,
    wait_s: float = 0.0,
    api: Annotated[Api | None, Parameter(name="*")] = None,
):
    """Move all keys out of an availability zone, or let the zone own keys again.

    Evacuate an unreachable zone only if its servers can no longer serve callers.

    Parameters
    ----------
    zone:
        Name of the zone.
    undo:
        Let the zone own keys again.
    wait_s:
        Seconds to wait until its servers own no partitions; 0 does not wait.
    """
    api = api or Api()
    version = operations.update_resource(api, "zones", zone, {"evacuated": not undo})
    if wait_s and not undo:
        servers = operations.servers_of_zone(api, zone)
        return operations.wait_until_unowned(
            api, servers, wait_s, version=version, clock=time.monotonic
        )
    state = "takes keys again" if undo else "is evacuated"
    output.print_change(api.output, f"zone {zone} {state}", version)
    return 0
