"""Calls that grant key ranges to servers and release them."""

from __future__ import annotations

import json

from briarspoke.platform import headers
from briarspoke.platform.values import format_duration

GRANT_TIMEOUT_S = 0.6
# A server answers a release when no request on its keys is in progress. After 4.5 s
# every grant with the usual hold of 4 s has expired.
RELEASE_TIMEOUT_S = 4.5


class GrantAnswer:
    """Result of a grant or a release.

    :param accepted: True, False if the server has seen a higher fencing token, or
        None if the outcome is unknown or another server answered.
    :param handover: handover token for the next owner, or None.
    :param failure: reason why the outcome is unknown, or an empty string.
    :param sent: whether the call may have reached the server.
    :param by_other_server: whether another server answered at the address. An address
        is used again only after its server has ended.
    :param answering_id: identifier of that server in bytes, or None if it is not told.
    """

    __slots__ = (
        "accepted",
        "answering_id",
        "by_other_server",
        "failure",
        "handover",
        "sent",
    )

    def __init__(
        self,
        *,
        accepted,
        handover=None,
        failure="",
        sent=True,
        by_other_server=False,
        answering_id=None,
    ):
        self.accepted = accepted
        self.handover = handover
        self.failure = failure
        self.sent = sent
        self.by_other_server = by_other_server
        self.answering_id = answering_id


_ACCEPTED_BY_STATUS = {200: True, 409: False}
_OTHER_SERVER_STATUS = 421


def _decode_answer(answer, server_id):
    if answer.status is None:
        return GrantAnswer(accepted=None, failure=answer.failure, sent=answer.sent)
    if answer.status == _OTHER_SERVER_STATUS:
        # Only a server with another identifier gives this answer to these calls.
        answering_id = answer.get(headers.SERVER_ID)
        return GrantAnswer(
            accepted=None,
            failure="421",
            sent=False,
            by_other_server=answering_id != server_id.encode(),
            answering_id=answering_id,
        )
    handover = answer.get(headers.HANDOVER)
    return GrantAnswer(
        accepted=_ACCEPTED_BY_STATUS.get(answer.status),
        handover=handover.decode("latin-1") if handover else None,
        failure="" if answer.status in _ACCEPTED_BY_STATUS else str(answer.status),
    )


# Answers to these calls do not say to which call they belong. A second copy of one
# must not confirm a change of ownership, so calls that change it use new connections.


def _target(server_id):
    return [(headers.TARGET_SERVER, server_id.encode())]


async def grant(
    http, *, server_id, first, last, fence, hold_s, handover=None, connection=None
):
    """Grants a key range to a server, or renews the grant.

    :param http: the :class:`briarspoke.entry.httpclient.HttpClient` to the server.
    :param server_id: the only server that may accept the grant.
    :param first: first key of the range.
    :param last: last key of the range.
    :param fence: fencing token of the call.
    :param hold_s: seconds that the grant lasts.
    :param handover: handover token of the previous owner, or None.
    :param connection: kept connection to use, or None for a new one.
    :returns: a :class:`GrantAnswer`.
    """
    body = {
        "from": first,
        "target": last,
        "fence": fence,
        "hold_time": format_duration(hold_s),
    }
    if handover is not None:
        body["handover"] = handover
    return _decode_answer(
        await http.call(
            b"POST",
            headers.GRANT_PATH.decode(),
            json.dumps(body).encode(),
            timeout_s=GRANT_TIMEOUT_S,
            headers=_target(server_id),
            connection=connection,
            new_connection=connection is None,
        ),
        server_id,
    )


async def release(http, *, server_id, first, last, fence):
    """Asks a server to give up a key range.

    The server answers when no request on these keys is in progress.

    :param http: the :class:`briarspoke.entry.httpclient.HttpClient` to the server.
    :param server_id: the only server that may handle the release.
    :param first: first key of the range.
    :param last: last key of the range.
    :param fence: fencing token of the call.
    :returns: a :class:`GrantAnswer`.
    """
    body = {"from": first, "target": last, "fence": fence}
    return _decode_answer(
        await http.call(
            b"POST",
            headers.RELEASE_PATH.decode(),
            json.dumps(body).encode(),
            timeout_s=RELEASE_TIMEOUT_S,
            headers=_target(server_id),
            new_connection=True,
        ),
        server_id,
    )
