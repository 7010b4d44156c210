"""Client of the operators' API for benches."""

from __future__ import annotations

import http.client
import json

from briarspoke.benches.deployment import OPERATOR_TOKEN

TIMEOUT_S = 8.0


def call(host, port, method, path, value=None):
    """Calls the operators' API of an entry VM.

    :param value: JSON value to send as the body, or None.
    :returns: pair of the status and the JSON object of the answer; ``(0, {})`` if the
        connection failed or the answer was not valid.
    """
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    body = None if value is None else json.dumps(value)
    try:
        connection.request(
            method,
            path,
            body,
            {
                "Authorization": f"Bearer {OPERATOR_TOKEN}",
                "Content-Type": "application/json",
            },
        )
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()
