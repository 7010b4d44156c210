"""Memory of a message that arrives: its head and its body."""

from __future__ import annotations

import sys

# Memory of one header besides its bytes: a tuple, two objects and a place in a list.
HEADER_OVERHEAD_BYTES = 200
# Bytes of chunk headers that a body may have for each of its own, beside a fixed
# number: each chunk costs the event loop time, however small it is.
MAX_FRAMING_SHARE = 1 / 8
# Smaller pieces of a body are joined to blocks of this size.
BLOCK_BYTES = 64 << 10


class Body:
    """A complete body in blocks of bytes-like objects."""

    __slots__ = ("_length", "blocks")

    def __init__(self, *blocks):
        self.blocks = blocks
        self._length = sum(len(block) for block in blocks)

    def __len__(self):
        return self._length

    def join(self):
        """Returns the body as one bytes-like object, with a copy if it has blocks."""
        return self.blocks[0] if len(self.blocks) == 1 else b"".join(self.blocks)


class ArrivingBody:
    """Body that arrives in pieces of any size.

    Small pieces are joined as they come, since as objects of their own they would take
    far more memory. They are joined to blocks and not to one buffer: a growing buffer
    is copied again and again and leaves gaps in the heap that nothing else fits into.

    :ivar held_bytes: bytes of memory that the body takes.
    """

    __slots__ = ("_blocks", "_tail", "held_bytes")

    def __init__(self):
        self._blocks = []
        self._tail = None
        self.held_bytes = 0

    def append(self, piece):
        """Adds a piece in bytes."""
        if not self._blocks or len(piece) >= BLOCK_BYTES // 2:
            self._tail = None
            self._blocks.append(piece)
            self.held_bytes += sys.getsizeof(piece)
            return
        if self._tail is None or len(self._tail) >= BLOCK_BYTES:
            self._tail = bytearray()
            self._blocks.append(self._tail)
        else:
            self.held_bytes -= sys.getsizeof(self._tail)
        self._tail += piece
        self.held_bytes += sys.getsizeof(self._tail)

    def body(self):
        """Returns the :class:`Body`."""
        return Body(*self._blocks)


def header_bytes(name, value):
    """Returns the bytes of memory that a header takes."""
    return HEADER_OVERHEAD_BYTES + len(name) + len(value)
