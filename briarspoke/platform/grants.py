"""Calls that give key ranges to servers and take them back."""

from __future__ import annotations

import json

from briarspoke.platform import headers
from briarspoke.platform.values import milliseconds

GRANT_TIMEOUT_S = 0.6
# A release answers once the work on its keys has ended; by then every grant of the
# usual 4 s has lapsed.
RELEASE_TIMEOUT_S = 4.5


class GrantAnswer:
    """What a server said to a grant or a release.

    :param accepted: True, False if it has seen a higher token, None if unknown.
    :param handover: token for the next owner, or None.
    :param failure: reason of an unknown outcome.
    :param sent: whether the call may have reached the server.
    """

    __slots__ = ("accepted", "failure", "handover", "sent")

    def __init__(self, *, accepted, handover=None, failure="", sent=True):
        self.accepted = accepted
        self.handover = handover
        self.failure = failure
        self.sent = sent


_ACCEPTED_BY_STATUS = {200: True, 409: False}


def _answer(answer):
    if answer.status is None:
        return GrantAnswer(accepted=None, failure=answer.failure, sent=answer.sent)
    handover = answer.get(headers.HANDOVER)
    return GrantAnswer(
        accepted=_ACCEPTED_BY_STATUS.get(answer.status),
        handover=handover.decode("latin-1") if handover else None,
        failure="" if answer.status in _ACCEPTED_BY_STATUS else str(answer.status),
    )


async def grant(http, *, first, last, fence, hold_s, handover=None):
    """Grants keys from ``first`` to ``last``, or renews the grant."""
    body = {
        "from": first,
        "target": last,
        "fence": fence,
        "hold_time": milliseconds(hold_s),
    }
    if handover is not None:
        body["handover"] = handover
    return _answer(
        await http.call(
            b"POST",
            headers.GRANT_PATH.decode(),
            json.dumps(body).encode(),
            timeout_s=GRANT_TIMEOUT_S,
        )
    )


async def release(http, *, first, last, fence):
    """Takes keys back; answers when the work on them has ended."""
    body = {"from": first, "target": last, "fence": fence}
    return _answer(
        await http.call(
            b"POST",
            headers.RELEASE_PATH.decode(),
            json.dumps(body).encode(),
            timeout_s=RELEASE_TIMEOUT_S,
        )
    )
