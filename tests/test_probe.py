from __future__ import annotations

import socket
import struct

import pytest

from briarspoke.http.probe import is_idle, lost_transports

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def pair():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        far = socket.create_connection(listening.getsockname())
        near, _ = listening.accept()
        with far, near:
            yield near, far


class TestLostTransports:
    def test_open_connection_with_unread_data(self, pair):
        # Guards against cutting off a caller that is only paused.
        near, far = pair
        far.send(b"unread")
        assert lost_transports([near], []) == []
        assert lost_transports([], [near]) == []

    def test_reset_behind_unread_data(self, pair):
        # Guards against work for a caller that left while it was paused.
        near, far = pair
        far.send(b"unread")
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        far.close()
        assert lost_transports([near], []) == [near]
        assert lost_transports([], [near]) == [near]

    def test_closed_direction(self, pair):
        # Guards against dropping a whole answer of a server that has closed.
        near, far = pair
        far.send(b"answer")
        far.shutdown(socket.SHUT_WR)
        assert lost_transports([near], []) == [near]
        assert lost_transports([], [near]) == []


class TestIsQuiet:
    def test_open_connection(self, pair):
        # Guards against a connect per request.
        near, _ = pair
        assert is_idle(near)

    def test_pending_close(self, pair):
        # Guards against a request written to a connection that is closed.
        near, far = pair
        far.close()
        assert not is_idle(near)

    def test_stray_data(self, pair):
        # Guards against data that passes for the answer of the next request.
        near, far = pair
        far.send(b"stray")
        assert not is_idle(near)
