"""Ranges on their way from one server to another, and calls to servers."""

from __future__ import annotations

import enum

from briarspoke.keyspace.grantlog import GrantLog


class MoveState(enum.Enum):
    """How far a range is on its way from one server to another."""

    QUIET = "waits for calls under way"
    RELEASING = "waits for the owner to release it"
    LAPSING = "waits for the last grant to lapse"
    READY = "has no owner"


class Move:
    """A range that leaves its owner.

    :param to: life of the next owner, or None for the least busy one.
    """

    __slots__ = ("first", "handover", "last", "owner", "reason", "state", "to", "until")

    def __init__(self, *, first, last, owner, to, reason):
        self.first = first
        self.last = last
        self.owner = owner
        self.to = to
        self.reason = reason
        self.state = MoveState.QUIET
        self.until = None
        self.handover = None


class Renewal:
    """When a range is granted again."""

    __slots__ = ("due_at", "in_call")

    def __init__(self, due_at):
        self.due_at = due_at
        self.in_call = False


class ServerCalls:
    """Grant calls to one process of a server."""

    __slots__ = ("http", "log", "reachable", "record")

    def __init__(self, *, record, http):
        self.record = record
        self.http = http
        self.log = GrantLog()
        self.reachable = True
