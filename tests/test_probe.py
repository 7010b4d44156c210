from __future__ import annotations

import socket
import struct

import pytest

from briarspoke.http.probe import is_idle, lost_transports

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def pair():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        peer = socket.create_connection(listening.getsockname())
        local, _ = listening.accept()
        with peer, local:
            yield local, peer


class TestLostTransports:
    def test_open_connection_with_unread_data(self, pair):
        # Guards against dropping a caller whose connection is only paused.
        local, peer = pair
        peer.send(b"unread")
        assert lost_transports([local], []) == []
        assert lost_transports([], [local]) == []

    def test_reset_behind_unread_data(self, pair):
        # Guards against work for a caller that disconnected while it was paused.
        local, peer = pair
        peer.send(b"unread")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        peer.close()
        assert lost_transports([local], []) == [local]
        assert lost_transports([], [local]) == [local]

    def test_closed_sending_direction(self, pair):
        # Guards against dropping a complete answer of a server that then closed.
        local, peer = pair
        peer.send(b"answer")
        peer.shutdown(socket.SHUT_WR)
        assert lost_transports([local], []) == [local]
        assert lost_transports([], [local]) == []


class TestIsIdle:
    def test_open_connection(self, pair):
        # Guards against opening a new connection for each request.
        local, _ = pair
        assert is_idle(local)

    def test_pending_close(self, pair):
        # Guards against a request that is written to a closed connection.
        local, peer = pair
        peer.close()
        assert not is_idle(local)

    def test_unexpected_data(self, pair):
        # Guards against unexpected data taken for the answer to the next request.
        local, peer = pair
        peer.send(b"stray")
        assert not is_idle(local)
