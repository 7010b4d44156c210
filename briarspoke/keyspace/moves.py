"""Moves of key ranges between servers, and the clients for grant calls."""

from __future__ import annotations

import enum
import math

from briarspoke.keyspace.keymap import Owner


class MoveState(enum.Enum):
    """What a move of a key range waits for."""

    AWAITING_CALLS = "waits for calls under way"
    RELEASING = "waits for the owner to release it"
    EXPIRING = "waits for the last grant to lapse"
    READY = "has no owner, or may be held by its heir only"


class MoveEnd(enum.Enum):
    """Why the owner of a moving range holds it no longer."""

    RELEASED = "released"
    OWNER_ENDED = "ended"
    EXPIRED = "expired"


class Move:
    """A move of a key range away from its owner.

    :param owner: the current :class:`briarspoke.keyspace.keymap.Owner`.
    :param to: server instance of the next owner, or None for the server that is
        least utilised when the move ends.
    :param reason: why the range moves, for the log.
    :ivar grants_expire_at: when the grants of the owner have expired, or None if that
        is not known yet.
    :ivar handover: token from the release, passed on to the next owner, or None.
    :ivar release_sent_at: time of the last release call; minus infinity before it.
    :ivar end: the :class:`MoveEnd` once the range has no owner.
    :ivar heir: server instance of a newer process at the owner's address, which may
        hold the range and is the only server that may get it, or None.
    """

    __slots__ = (
        "end",
        "first",
        "grants_expire_at",
        "handover",
        "heir",
        "last",
        "owner",
        "reason",
        "release_sent_at",
        "state",
        "to",
    )

    def __init__(self, *, first, last, owner, to, reason):
        self.first = first
        self.last = last
        self.owner = owner
        self.to = to
        self.reason = reason
        self.heir = None
        self._restart()

    def _restart(self):
        self.state = MoveState.AWAITING_CALLS
        self.grants_expire_at = None
        self.handover = None
        self.release_sent_at = -math.inf
        self.end = None

    @property
    def next_owner(self):
        """Server instance of the next owner, or None for the least utilised server."""
        return self.heir or self.to

    def finish(self, end, *, heir=None):
        """Records that the range has no owner and why.

        :param end: the :class:`MoveEnd`.
        :param heir: the only server instance that may get the range, or None.
        """
        self.state = MoveState.READY
        self.end = end
        self.heir = heir

    def move_from_heir(self, fence):
        """Starts again with the heir as the owner, since it cannot get the range.

        :param fence: fencing token of the range in the key map.
        """
        server_id, incarnation = self.heir
        self.owner = Owner(server_id=server_id, incarnation=incarnation, fence=fence)
        self.heir = None
        self._restart()


class Renewal:
    """Schedule of the grant renewals of one range."""

    __slots__ = ("due_at", "in_flight")

    def __init__(self, due_at):
        self.due_at = due_at
        self.in_flight = False


class GrantClient:
    """Client for the grant calls to one server instance.

    :param record: the :class:`briarspoke.entry.servers.ServerRecord`.
    :param http: HTTP client for the address of the server.
    :param log: the :class:`briarspoke.keyspace.grantlog.GrantLog` of all processes of
        the server at its address.
    :ivar reachable: whether the last grant call was answered.
    :ivar fence: the token of the first call on the newest connection.
    """

    __slots__ = ("fence", "http", "log", "reachable", "record")

    def __init__(self, *, record, http, log):
        self.record = record
        self.http = http
        self.log = log
        self.reachable = True
        self.fence = 0
