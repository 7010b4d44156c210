"""Plays a peer that sends without end and prints by how many bytes the process grew.

``memory_probe.py PLAY MEMORY_MB`` runs one play of ``PLAYS`` with an entry VM that may
use that much memory.
"""

from __future__ import annotations

import resource
import sys

from entry_fakes import SETTINGS, World, configuration, request, route

PEERS = 24
DATA_BYTES = 64 << 10
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UPLOAD = (
    b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
PLAYS = {
    "answers-in-small-chunks": (CHUNKED, b"2\r\nxx\r\n"),
    "answers-in-large-chunks": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "answers-until-close": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "answers-with-short-headers": (b"HTTP/1.1 200 OK\r\n", b"a:\r\n"),
    "answers-with-trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
    "uploads-in-small-chunks": (UPLOAD, b"2\r\nxx\r\n"),
    "uploads-in-large-chunks": (UPLOAD, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "requests-with-short-headers": (b"GET /lookup/1 HTTP/1.1\r\n", b"a:\r\n"),
}


def peak_bytes():
    """Returns the largest resident size of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10


def start(memory_mb):
    """Returns a world with one entry VM."""
    SETTINGS["memory_mb"] = memory_mb
    world = World()
    order = route("orders", prefix="/order/", route_type="unsafe", timeout="60000ms")
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 64 << 20,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    routes = {"order": order}
    world.store.put("op/config", configuration(routes=routes, limits=limits))
    for number in range(21, 27):
        world.add_server("orders", number, slots=PEERS)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def endless_peers(world, play):
    """Returns the connections that send without end."""
    callers = [world.caller(world.node) for _ in range(PEERS)]
    if not play.startswith("answers"):
        return callers
    for number, caller in enumerate(callers):
        caller.send(
            request(
                "POST", "/order/1", request_id=f"r{number}", deadline=60_000, body=b"x"
            )
        )
    return [world.accept()[0] for _ in range(len(world.reactor.tcpClients))]


def main():
    play, memory_mb = sys.argv[1], int(sys.argv[2])
    begin, rest = PLAYS[play]
    world = start(memory_mb)
    peers = endless_peers(world, play)
    assert len(peers) >= PEERS // 2
    rest *= max(1, DATA_BYTES // len(rest))
    before = peak_bytes()
    for peer in peers:
        peer.send(begin)
    # Kept in objects of their own, even the small pieces exceed the memory of the VM.
    for _ in range((memory_mb << 20) // len(rest) // len(peers) + 1):
        for peer in peers:
            if not peer.socket.aborted and not peer.socket.write_ended:
                peer.send(rest)
    print(peak_bytes() - before)


if __name__ == "__main__":
    main()
