"""Decoding of the warm-up time that a server names in its answers."""

from __future__ import annotations

import re

from briarspoke.platform import headers
from briarspoke.platform.values import DecodeError

# A longer warm-up than this is not believed for longer than this.
MAX_WARMUP_S = 60.0

_MILLISECONDS = re.compile(rb"\d{1,9}")
_MAX_SHOWN_BYTES = 40


def decode_warmup_s(answer_headers):
    """Returns for how many seconds a server is still cold, or None if it is not said.

    The longest of several values counts.

    :param answer_headers: list of (name in lower case, value) in bytes.
    :raises DecodeError: if no value is a whole number of milliseconds.
    """
    values = [
        value.strip() for name, value in answer_headers if name == headers.WARMUP_MS
    ]
    if not values:
        return None
    warmups = [int(value) / 1000 for value in values if _MILLISECONDS.fullmatch(value)]
    if not warmups:
        shown = values[0][:_MAX_SHOWN_BYTES].decode("latin-1")
        raise DecodeError(f"{shown!r} is no number of milliseconds")
    return min(MAX_WARMUP_S, max(warmups))
