from __future__ import annotations

import pytest

from briarspoke.membership.members import Member, Members, Status, Update
from briarspoke.routing.peers import PeerTable


def update(*, incarnation=1, status=Status.ALIVE, forward="127.0.0.1:3"):
    return Update(
        node_id="b",
        zone="z",
        link_address="127.0.0.1:2",
        forward_address=forward,
        incarnation=incarnation,
        instance=bytes(8),
        status=status,
        source="b",
    )


class TestPeerTable:
    @pytest.fixture
    def members(self):
        me = Member(
            node_id="a", zone="z", link_address="127.0.0.1:1", forward_address=""
        )
        members = Members(me=me)
        members.handle(update(), 0.0)
        return members

    def test_returns_the_same_object_while_nothing_changes(self, members):
        # Guards against a comparison of all peers' fields in every tick of the router.
        table = PeerTable(members=members)
        assert table.current().keys() == {"b"}
        assert table.current() is table.current()

    @pytest.mark.parametrize("status", [Status.LEAVING, Status.SUSPECT, Status.DOWN])
    def test_removes_a_member_that_is_not_alive(self, members, status):
        # Guards against requests that are forwarded to a lost entry VM.
        table = PeerTable(members=members)
        table.current()
        members.handle(update(status=status), 1.0)
        assert table.current() == {}

    def test_uses_the_address_of_a_restarted_process(self, members):
        # Guards against requests that are forwarded to the port of a previous process.
        table = PeerTable(members=members)
        table.current()
        members.handle(update(incarnation=2, forward="127.0.0.1:4"), 1.0)
        assert table.current()["b"].forward_port == 4
