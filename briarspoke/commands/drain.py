"""``briarspoke drain``."""

from __future__ import annotations

import time
from typing import Annotated

from cyclopts import Parameter

from briarspoke import operations, output
from briarspoke.client import Api

NAME = "drain"


def run(
    server: str,
    *,
    undo: bool = False,
    wait_s: float = 0.0,
    api: Annotated[Api | None, Parameter(name="*")] = None,
):
    """Drain a backend server, or make it active again.

    Parameters
    ----------
    server:
        Name of the server.
    undo:
        Make the server active again.
    wait_s:
        Seconds to wait until the server owns no partitions; 0 does not wait.
    """
    api = api or Api()
    state = "active" if undo else "draining"
    version = operations.update_resource(api, "servers", server, {"state": state})
    if wait_s and not undo:
        return operations.wait_until_unowned(
            api, {server}, wait_s, version=version, clock=time.monotonic
        )
    output.print_change(api.output, f"server {server} is {state}", version)
    return 0
