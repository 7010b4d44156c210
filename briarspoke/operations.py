"""Steps that several operators' commands share."""

from __future__ import annotations

import time
from urllib.parse import quote

from briarspoke import output
from briarspoke.client import EXIT_UNAVAILABLE, CallError

UPDATE_ATTEMPTS = 5
POLL_S = 0.25
CODE_PRECONDITION_FAILED = 5009
CODE_CONCURRENT_CHANGE = 5010


def update(api, kind, name, options):
    """Sets options of one resource and returns the configuration version.

    A concurrent change of the resource leads to another attempt on its new
    version, so no other operator's change is undone.
    """
    path = f"/v1/{kind}/{quote(name, safe='')}"
    with output.progress(f"changing {kind}/{name}"):
        for attempt in range(1, UPDATE_ATTEMPTS + 1):
            found = api.call("GET", path)
            value = {**found["resource"], **options}
            try:
                headers = {"If-Match": f'"{found["version"]}"'}
                return api.call("PUT", path, value, headers)["version"]
            except CallError as error:
                conflicts = (CODE_PRECONDITION_FAILED, CODE_CONCURRENT_CHANGE)
                is_conflict = error.answer.get("code") in conflicts
                if not is_conflict or attempt == UPDATE_ATTEMPTS:
                    raise
                # The entry VM that answers may not have the new version yet.
                time.sleep(POLL_S)


def servers_of_zone(api, zone):
    """Returns the names of the servers of a zone."""
    items = api.call("GET", "/v1/servers")["items"]
    return {
        item["resource"]["name"] for item in items if item["resource"]["zone"] == zone
    }


def wait_until_unowned(api, servers, wait_s, *, version, clock):
    """Waits until no partition is owned by any of the servers.

    :returns: exit status 0, or :data:`EXIT_UNAVAILABLE` when the time is over.
    """
    end = clock() + wait_s
    with output.progress("waiting for the partitions to move"):
        left = _owned(api, servers)
        while left and clock() < end:
            time.sleep(POLL_S)
            left = _owned(api, servers)
    text = f"{left} partition(s) left on {', '.join(sorted(servers)) or 'no server'}"
    output.print_change(api.output, text, version)
    return EXIT_UNAVAILABLE if left else 0


def _owned(api, servers):
    by_service = api.call("GET", "/v1/status/ownership")["ownership"]
    return sum(
        count
        for view in by_service.values()
        for server, count in view["partitions"].items()
        if server in servers
    )
