"""Reading of HTTP/1.1 messages from asyncio streams."""

from __future__ import annotations

import asyncio

MAX_HEAD_BYTES = 1 << 17


class Message:
    """A request or an answer.

    :param start: the three parts of the first line as text.
    :param headers: ``{name in lower case: value}`` as text.
    """

    __slots__ = ("body", "headers", "start")

    def __init__(self, *, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start[1])


async def read_head(reader):
    """Returns (parts of the first line, headers), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the head is incomplete") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    """Returns the whole body, which has a length."""
    length = int(headers.get("content-length", "0"))
    if not length:
        return b""
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the body is incomplete") from error


async def read_message(reader):
    """Returns a :class:`Message`, or None at the end of the stream.

    :raises ConnectionResetError: if the message is incomplete.
    """
    found = await read_head(reader)
    if found is None:
        return None
    start, headers = found
    body = await read_body(reader, headers)
    return Message(start=start, headers=headers, body=body)


def encode(first_line, headers, body=b""):
    """Returns a message as bytes.

    :param headers: ``{name: value}`` as text.
    """
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
