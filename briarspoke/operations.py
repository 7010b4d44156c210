"""Operations that several operators' commands share."""

from __future__ import annotations

import time
from urllib.parse import quote

from briarspoke import output
from briarspoke.client import EXIT_UNAVAILABLE, CallError

MAX_UPDATE_ATTEMPTS = 5
POLL_INTERVAL_S = 0.25
CODE_PRECONDITION_FAILED = 5009
CODE_CONCURRENT_CHANGE = 5010


def update_resource(api, kind, name, options):
    """Sets options of a resource and returns the new configuration version.

    If another operator changes the resource concurrently, the update is retried on
    the new version, so that it does not undo the other change.

    :param options: option values by name.
    :raises CallError: if the update fails, or conflicts on every attempt.
    """
    path = f"/v1/{kind}/{quote(name, safe='')}"
    with output.progress(f"changing {kind}/{name}"):
        for attempt in range(1, MAX_UPDATE_ATTEMPTS + 1):
            current = api.call("GET", path)
            value = {**current["resource"], **options}
            try:
                headers = {"If-Match": f'"{current["version"]}"'}
                return api.call("PUT", path, value, headers)["version"]
            except CallError as error:
                conflicts = (CODE_PRECONDITION_FAILED, CODE_CONCURRENT_CHANGE)
                is_conflict = error.answer.get("code") in conflicts
                if not is_conflict or attempt == MAX_UPDATE_ATTEMPTS:
                    raise
                # The entry VM that answers may not have the new version yet.
                time.sleep(POLL_INTERVAL_S)


def servers_of_zone(api, zone):
    """Returns the names of the servers of a zone."""
    items = api.call("GET", "/v1/servers")["items"]
    return {
        item["resource"]["name"] for item in items if item["resource"]["zone"] == zone
    }


def wait_until_unowned(api, servers, wait_s, *, version, clock):
    """Waits until none of the servers owns a partition, and prints the result.

    :param wait_s: maximum time to wait in seconds.
    :param version: configuration version to print.
    :param clock: function that returns monotonic seconds.
    :returns: exit status 0, or :data:`EXIT_UNAVAILABLE` after a timeout.
    """
    deadline = clock() + wait_s
    with output.progress("waiting for the partitions to move"):
        remaining = _count_owned_partitions(api, servers)
        while remaining and clock() < deadline:
            time.sleep(POLL_INTERVAL_S)
            remaining = _count_owned_partitions(api, servers)
    text = (
        f"{remaining} partition(s) left on {', '.join(sorted(servers)) or 'no server'}"
    )
    output.print_change(api.output, text, version)
    return EXIT_UNAVAILABLE if remaining else 0


def _count_owned_partitions(api, servers):
    by_service = api.call("GET", "/v1/status/ownership")["ownership"]
    return sum(
        count
        for view in by_service.values()
        for server, count in view["partitions"].items()
        if server in servers
    )
