from __future__ import annotations

import pytest
from http_fakes import Endpoint
from twisted.internet import task

from briarspoke.standins.backend import BackendFactory, BackendStandIn
from briarspoke.standins.grants import GrantTable

GET = (
    b"GET /s/k HTTP/1.1\r\nBriarspoke-Partition: s/1\r\nBriarspoke-Epoch: 3\r\n"
    b"Content-Length: %d\r\n\r\n"
)


class _Server(task.Clock):
    def __init__(self):
        super().__init__()
        self.grants = GrantTable(server="a", clock=self.seconds)
        self.backend = BackendStandIn(
            name="a",
            reactor=self,
            clock=self.seconds,
            service_s=5.0,
            slots=1,
            backlog=1,
            grants=self.grants,
        )
        self.renew()

    def renew(self, *, revoke=()):
        """Lets the grants expire 2 s from now."""
        body = {
            "term": 5,
            "server": "a",
            "grants": {"s/1": 3},
            "digest": "",
            "revoke": list(revoke),
            "expires_at": self.seconds() + 2.0,
            "incarnation": "1",
        }
        return self.backend.control("/_control/grants", body)[1]

    def connect(self):
        return Endpoint(BackendFactory(self.backend).buildProtocol(None))


@pytest.fixture
def server():
    return _Server()


class TestExpiry:
    def test_running_request_ends_without_an_answer(self, server):
        # Guards against a request that keeps running after the grants expired, while
        # another server may own the partition.
        caller = server.connect()
        caller.send(GET % 0)
        server.advance(2.0)
        assert caller.socket.aborted
        assert not caller.socket.take()
        assert server.backend.running == 0
        server.advance(5.0)
        assert not caller.socket.take()

    def test_renewed_grant_lets_a_running_request_finish(self, server):
        # Guards against aborting a running request at the first expiry time although
        # the grant was renewed.
        caller = server.connect()
        caller.send(GET % 0)
        for _ in range(4):
            server.advance(1.5)
            server.renew()
        assert caller.socket.take().startswith(b"HTTP/1.1 200 ")

    def test_renewal_after_the_expiry_does_not_save_a_running_request(self, server):
        # Guards against a server that, after a pause, handles a renewal before the
        # overdue timer for the expiry.
        caller = server.connect()
        caller.send(GET % 0)
        server.rightNow += 3.0
        server.renew()
        assert caller.socket.aborted

    def test_request_that_has_not_run_is_fenced_off(self, server):
        # Guards against an unknown outcome for requests that have not started to run.
        running, waiting, receiving = (server.connect() for _ in range(3))
        running.send(GET % 0)
        waiting.send(GET % 0)
        receiving.send(GET % 3 + b"x")
        server.advance(2.0)
        receiving.send(b"xx")
        for caller in (waiting, receiving):
            assert b"Briarspoke-Fence: expired" in caller.socket.take()
        assert len(server.backend.executions) == 1


class TestRevocation:
    def test_request_is_in_flight_from_its_head(self, server):
        # Guards against refusing an upload at its end because a handover completed
        # while its body was received.
        caller = server.connect()
        caller.send(GET % 3 + b"x")
        assert server.renew(revoke=["s/1"])["busy"] == ["s/1"]
        caller.send(b"xx")
        assert len(server.backend.executions) == 1

    def test_lost_upload_is_not_in_flight(self, server):
        # Guards against an upload with a lost connection that stays in flight, so that
        # the partition never moves again.
        caller = server.connect()
        caller.send(GET % 3 + b"x")
        caller.disconnect()
        assert server.renew(revoke=["s/1"])["busy"] == []
