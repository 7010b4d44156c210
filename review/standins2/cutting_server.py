"""Backend server as a process of its own, which breaks off a share of its answers.

A broken answer has no length, ends after a part of its body, and its connection is
reset. All other answers are whole and keep the connection.

Arguments: identifier, share of the answers that are broken, bytes of a whole body. The
process writes its port to standard output. On SIGTERM it writes how many requests it
has run and how many answers it has broken, and ends.
"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import struct
import sys
import time

import estate

from briarspoke.standins.platform_server import ServerModel

PART_BYTES = 1_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CuttingServer:
    """Answers requests at once, and holds the keys that it is granted.

    :ivar runs: requests that have run.
    :ivar broken: answers that were broken off.
    """

    def __init__(self, *, server_id, broken_share, body_bytes):
        self.runs = self.broken = 0
        self._server_id = server_id.encode()
        self._keys = ServerModel(server_id=server_id, clock=time.monotonic)
        self._broken_share = broken_share
        self._body = b"a" * body_bytes
        self._random = random.Random(server_id)

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while (message := await estate.read_message(reader)) is not None:
                if not await self._answer(message, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message, writer):
        path = message.start.split(b" ")[1].decode()
        target = message.headers.get(b"target-instance", b"")
        if path.startswith("/briarspoke/"):
            status, headers = self._keys.call(
                path, message.body, target=target.decode()
            )
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: 0\r\n\r\n"
                % (status, lines.encode())
            )
            return True
        request_id = message.headers.get(b"request-id", b"")
        key = int(message.headers[b"shard-key"])
        if target != self._server_id or not self._keys.holds(key):
            writer.write(
                b"HTTP/1.1 421 X\r\nNot-Executed: 1\r\nRequest-Id: %b\r\n"
                b"Instance-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % (request_id, self._server_id)
            )
            return True
        self.runs += 1
        head = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: 5e.1\r\n"
            % request_id
        )
        if self._random.random() >= self._broken_share:
            length = b"Content-Length: %d\r\n\r\n" % len(self._body)
            writer.write(head + length + self._body)
            await writer.drain()
            return True
        self.broken += 1
        writer.write(head + b"\r\n" + self._body[:PART_BYTES])
        await asyncio.sleep(0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        return False


async def main(server_id, broken_share, body_bytes):
    """Runs the server until SIGTERM."""
    server = CuttingServer(
        server_id=server_id,
        broken_share=float(broken_share),
        body_bytes=int(body_bytes),
    )
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0, backlog=512)
    print(listener.sockets[0].getsockname()[1], flush=True)
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    print(server.runs, server.broken, flush=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
