"""What the peer of a connection has got."""

from __future__ import annotations

import socket
import time

import pytest

from briarspoke.http import delivery

WAIT_S = 5.0


class Transport:
    """Transport over a socket that the test has opened."""

    offset = 0
    _tempDataLen = 0

    def __init__(self, sock):
        self._socket = sock
        self.dataBuffer = b""

    def fileno(self):
        return self._socket.fileno()

    def getHandle(self):
        return self._socket

    def doWrite(self):
        try:
            sent = self._socket.send(self.dataBuffer)
        except BlockingIOError:
            return
        self.dataBuffer = self.dataBuffer[sent:]


@pytest.fixture
def pair():
    """Returns both ends of a connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname())
        peer, _ = listener.accept()
    # The kernel does not enlarge a buffer whose size is set.
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
    ours.setblocking(False)
    peer.settimeout(WAIT_S)
    yield ours, peer
    ours.close()
    peer.close()


def wait_until(condition):
    """Waits for a condition that the kernel brings about."""
    give_up_at = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < give_up_at
        time.sleep(0.001)


def fill(sock):
    """Writes until the kernel takes no more; returns the bytes that it took."""
    taken = 0
    while True:
        try:
            taken += sock.send(bytes(65_536))
        except BlockingIOError:
            return taken


def read(peer, count):
    """Reads a number of bytes."""
    while count:
        count -= len(peer.recv(min(count, 1 << 20)))


class TestUndeliveredBytes:
    """Guards against bytes that the kernel holds and that count as read by the peer."""

    def test_they_end_with_the_acknowledgement(self, pair):
        ours, peer = pair
        transport = Transport(ours)
        assert delivery.undelivered_bytes(transport) == 0
        taken = fill(ours)
        transport.dataBuffer = b"waits"
        assert delivery.undelivered_bytes(transport) > len(b"waits")
        transport.dataBuffer = b""
        read(peer, taken)
        wait_until(lambda: delivery.undelivered_bytes(transport) == 0)

    def test_end_of_the_stream_counts_until_it_has_arrived(self, pair):
        ours, peer = pair
        transport = Transport(ours)
        taken = fill(ours)
        ours.shutdown(socket.SHUT_WR)
        assert delivery.undelivered_bytes(transport) > 0
        read(peer, taken)
        wait_until(lambda: delivery.undelivered_bytes(transport) == 0)
        assert peer.recv(1) == b""

    def test_lost_connection_has_none(self, pair):
        ours, _ = pair
        ours.close()
        assert delivery.undelivered_bytes(Transport(ours)) == 0


class TestHandOver:
    """Guards against data that waits in a process which ends."""

    def test_the_peer_gets_it_after_the_socket_is_closed(self, pair):
        ours, peer = pair
        transport = Transport(ours)
        taken = fill(ours)
        transport.dataBuffer = b"x" * 60_000
        delivery.hand_over(transport)
        assert transport.dataBuffer == b""
        ours.close()
        read(peer, taken)
        data = b""
        while piece := peer.recv(1 << 20):
            data += piece
        assert data == b"x" * 60_000

    def test_it_ends_when_the_kernel_takes_no_more(self, pair):
        ours, _ = pair
        transport = Transport(ours)
        transport.dataBuffer = bytes(16 << 20)
        delivery.hand_over(transport)
        assert transport.dataBuffer


class TestDelivery:
    """Guards against a peer that reads slowly and counts as one that reads nothing."""

    @pytest.fixture
    def followed(self, monkeypatch):
        counts = iter(())

        def follow(*values):
            nonlocal counts
            counts = iter(values)
            return delivery.Delivery(transport=Transport(None))

        monkeypatch.setattr(delivery, "undelivered_bytes", lambda _: next(counts))
        return follow

    def test_progress_ends_a_standstill(self, followed):
        followed = followed(100, 100, 99, 99, 99)
        stalled = []
        for now in (10.0, 20.0, 21.0, 35.0, 37.0):
            followed.update(now, asks_kernel=True)
            stalled.append(followed.is_stalled(now, 15.0))
        assert stalled == [False, False, False, False, True]

    def test_earlier_standstill_does_not_count(self, followed):
        followed = followed(100, 100)
        followed.update(10.0, asks_kernel=True)
        followed.update(11.0, asks_kernel=False)
        followed.update(50.0, asks_kernel=True)
        assert not followed.is_stalled(50.0, 15.0)
