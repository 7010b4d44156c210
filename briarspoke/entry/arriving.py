"""Memory of a message that arrives: its head and its body."""

from __future__ import annotations

import sys

# Memory of one header besides its bytes: a tuple, two objects and a place in a list.
HEADER_OVERHEAD_BYTES = 200


class ArrivingBody:
    """Body that arrives in pieces of any size.

    The pieces are joined as they come: many small ones would take far more memory as
    objects of their own. A body of one piece is not copied.
    """

    __slots__ = ("_data",)

    def __init__(self):
        self._data = b""

    def append(self, piece):
        """Adds a piece in bytes."""
        if not self._data:
            self._data = piece
            return
        if not isinstance(self._data, bytearray):
            self._data = bytearray(self._data)
        self._data += piece

    @property
    def held_bytes(self):
        """Bytes of memory that the body takes, with what is reserved for more of it."""
        return sys.getsizeof(self._data) if self._data else 0

    def data(self):
        """Returns the body as a bytes-like object, without a copy."""
        return self._data


def header_bytes(name, value):
    """Returns the bytes of memory that a header takes."""
    return HEADER_OVERHEAD_BYTES + len(name) + len(value)
