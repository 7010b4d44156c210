from __future__ import annotations

import json

import pytest
from http_fakes import LOST, Socket
from twisted.internet import task

from briarspoke.ownership import events
from briarspoke.ownership.commands import SendGrants
from briarspoke.ownership.servers import (
    CALL_TIMEOUT_S,
    LATE_TIMER_GRACE_S,
    MAX_ANSWER_BYTES,
    ServerControlClient,
)

ANSWER = {"clock": 5, "incarnation": "1", "term": 3, "digest": "d", "busy": ["s/1"]}


class FakeReactor(task.Clock):
    """Reactor whose connections the test accepts, answers or loses."""

    def __init__(self):
        super().__init__()
        self.factories = []
        self.settled = []
        self.control = ServerControlClient(
            reactor=self, settled=lambda zone, event: self.settled.append(event)
        )

    def connectTCP(self, host, port, factory, timeout):
        self.factories.append(factory)

    def send(self, call_id=1):
        self.control.send_grants(
            "z",
            SendGrants(
                server="a",
                address="127.0.0.1:1",
                call_id=call_id,
                zone="z",
                term=3,
                grants={"s/0": 1},
                digest="d",
                revoke=(),
                expires_at=7.0,
                incarnation="1",
            ),
        )

    def accept(self):
        connection = self.factories.pop(0).buildProtocol(None)
        connection.makeConnection(Socket())
        return connection


def answer(value, status=b"200 OK"):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


@pytest.fixture
def reactor():
    return FakeReactor()


class TestAnswers:
    def test_renewals_share_a_connection(self, reactor):
        # Guards against a new connection per renewal and against answers assigned to
        # the wrong call.
        reactor.send(1)
        connection = reactor.accept()
        head, body = connection.transport.take().split(b"\r\n\r\n")
        assert head.startswith(b"POST /_control/grants HTTP/1.1\r\n")
        assert json.loads(body)["grants"] == {"s/0": 1}
        connection.dataReceived(answer(ANSWER))
        reactor.send(2)
        connection.dataReceived(answer(ANSWER, b"409 Conflict"))
        assert not reactor.factories
        assert [(e.call_id, e.accepted) for e in reactor.settled] == [
            (1, True),
            (2, False),
        ]
        assert reactor.settled[0].busy == {"s/1"}

    @pytest.mark.parametrize(
        "data",
        [
            answer({"clock": 1}),
            answer(b"[]"),
            answer(b"x" * (MAX_ANSWER_BYTES + 1)),
            answer(ANSWER, b"500 Error"),
            b"nonsense\r\n\r\n",
        ],
    )
    def test_unusable_answer_is_not_a_refusal(self, reactor, data):
        # Guards against treating a call that may have been applied as one that never
        # arrived.
        reactor.send()
        reactor.accept().dataReceived(data)
        assert [(type(e), e.refused) for e in reactor.settled] == [
            (events.GrantFailed, False)
        ]


class TestFailures:
    def test_refused_connection_is_a_refusal(self, reactor):
        # Guards against waiting for the expiry of grants that were never sent.
        reactor.send()
        reactor.factories.pop().clientConnectionFailed(None, LOST)
        assert [e.refused for e in reactor.settled] == [True]

    def test_connection_after_the_timeout_writes_nothing(self, reactor):
        # Guards against writing a call after it was reported as not sent.
        reactor.send()
        reactor.advance(CALL_TIMEOUT_S)
        assert [e.refused for e in reactor.settled] == [True]
        assert reactor.accept().transport.take() == b""

    def test_timed_out_call_closes_its_connection(self, reactor):
        # Guards against reusing a connection on which a late answer may arrive.
        reactor.send()
        connection = reactor.accept()
        reactor.advance(CALL_TIMEOUT_S)
        assert connection.transport.aborted
        connection.connectionLost(LOST)
        assert [e.refused for e in reactor.settled] == [False]
        reactor.send(2)
        assert reactor.accept() is not connection

    def test_lost_connection_is_not_a_refusal(self, reactor):
        # Guards against treating a call without an answer as not delivered.
        reactor.send()
        reactor.accept().connectionLost(LOST)
        assert [e.refused for e in reactor.settled] == [False]

    def test_answer_that_arrived_during_a_pause_counts(self, reactor):
        # Guards against a pause of this node after which every server counts as
        # unreachable.
        reactor.send()
        connection = reactor.accept()
        reactor.advance(CALL_TIMEOUT_S + 1.0)
        connection.dataReceived(answer(ANSWER))
        assert [type(e) for e in reactor.settled] == [events.GrantAnswered]

    def test_call_without_answer_ends_after_a_pause(self, reactor):
        # Guards against a call that never ends.
        reactor.send()
        reactor.accept()
        reactor.advance(CALL_TIMEOUT_S + 1.0)
        reactor.advance(LATE_TIMER_GRACE_S)
        assert [e.refused for e in reactor.settled] == [False]
