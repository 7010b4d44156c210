from __future__ import annotations

import types

from briarspoke.ownership.document import OwnershipDocument, Partition, State
from briarspoke.ownership.handoff import Handoff, ServerView
from briarspoke.ownership.index import StoredDocument

SERVER = types.SimpleNamespace(name="a", zone="z", weight=1.0)
OTHER = types.SimpleNamespace(name="b", zone="z", weight=1.0)


def plan(pending, now, *, leaving=False):
    moving = Partition(owner="a", epoch=3, state=State.MOVING)
    document = OwnershipDocument.empty("s", 1).with_changes({0: moving}, "w")
    view = ServerView(
        server=SERVER,
        fenced=True,
        grants_expired=False,
        unreachable=False,
        leaving=leaving,
        released=frozenset(),
    )
    return Handoff(
        service=types.SimpleNamespace(name="s", fenced=True),
        stored=StoredDocument(revision=1, document=document),
        views={"a": view},
        targets=[OTHER],
        pending=pending,
        costs=[1.0],
        now=now,
    ).changes()


class TestInheritedMove:
    def test_is_cancelled_when_requests_keep_it_busy(self):
        # Guards against a partition that is unavailable for the duration of an upload
        # because an earlier controller started its move.
        pending = {}
        assert plan(pending, 10.0) == {}
        assert plan(pending, 10.9) == {}
        assert plan(pending, 11.1) == {0: Partition(owner="a", epoch=4)}

    def test_continues_while_its_server_is_leaving(self):
        # Guards against a draining server that gets its partitions back.
        pending = {}
        plan(pending, 10.0, leaving=True)
        assert plan(pending, 20.0, leaving=True) == {}
