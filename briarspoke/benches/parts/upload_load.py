"""Callers of the ``uploads`` bench, which send their uploads concurrently."""

from __future__ import annotations

import asyncio
import hashlib
import random

import httptools
from twisted.internet import defer

from briarspoke.benches import parts

_BLOCK_BYTES = 65_536


class _Answer:
    def __init__(self):
        self.complete = False

    def on_message_complete(self):
        self.complete = True


async def _upload(port, number, size, seed, chunked):
    """Sends one upload.

    :returns: (request identifier, HTTP status, hash of the body); the status is 0
        without a complete answer.
    """
    block = random.Random(f"{seed}-{number}").randbytes(_BLOCK_BYTES)
    digest = hashlib.sha256()
    request_id = f"upload-{number}"
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"PUT /tabela/photos-{number} HTTP/1.1\r\nHost: bench\r\n"
        f"Briarspoke-Request-Id: {request_id}\r\n{framing}\r\n\r\n".encode()
    )
    remaining = size
    while remaining:
        data = block[: min(remaining, len(block))]
        remaining -= len(data)
        digest.update(data)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
        await writer.drain()
    if chunked:
        writer.write(b"0\r\n\r\n")
    answer = _Answer()
    parser = httptools.HttpResponseParser(answer)
    while not answer.complete:
        data = await reader.read(_BLOCK_BYTES)
        if not data:
            return request_id, 0, digest.hexdigest()
        parser.feed_data(data)
    writer.close()
    return request_id, parser.get_status_code(), digest.hexdigest()


async def _run_uploads(command):
    # Half of the uploads are chunked, the other half have a Content-Length.
    return await asyncio.gather(
        *(
            _upload(
                command["port"],
                number,
                command["size"],
                command["seed"],
                number % 2 == 1,
            )
            for number in range(command["count"])
        )
    )


def _start(reactor, parameters):
    def handle(command):
        return defer.Deferred.fromFuture(asyncio.ensure_future(_run_uploads(command)))

    return {}, handle


if __name__ == "__main__":
    parts.run(_start)
