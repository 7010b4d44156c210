"""Documents and requests that operators, servers and callers send to the platform."""

from __future__ import annotations

import json

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1 << 20,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def registration(
    *,
    service,
    address,
    slots,
    state="ready",
    born=1,
    sequence=1,
    zone="a",
    warmup_left_s=0.0,
):
    """Returns the encoded registration of a server.

    :param warmup_left_s: seconds for which the server is still cold.
    """
    body = {
        "service": service,
        "address": address,
        "zone": zone,
        "slots": slots,
        "state": state,
        "warmup_left": f"{round(warmup_left_s * 1000)}ms",
        "seq": sequence,
        "born": born,
    }
    return json.dumps(body).encode()


def configuration(*, version, routes, services):
    """Returns the encoded configuration document.

    :param version: number from which ``config_version`` is formed.
    """
    body = {
        "config_version": f"r{version}",
        "routes": routes,
        "services": services,
        "limits": LIMITS,
    }
    return json.dumps(body).encode()


def request(*, method, path, host, request_id, key, deadline_ms):
    """Returns the encoded HTTP request of a caller, without a body.

    :param key: integer that is sent as the ``Shard-Key`` header.
    """
    return (
        b"%b %b HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\n"
        b"Deadline-Ms: %d\r\nShard-Key: %d\r\nContent-Length: 0\r\n\r\n"
    ) % (method, path, host, request_id, deadline_ms, key)
