"""Decoding of the rate limit that a server names in its answers."""

from __future__ import annotations

import re

from briarspoke.platform import headers
from briarspoke.platform.values import DecodeError

# A server that names less still gets a request in this many seconds' time, since only
# an answer shows that the limit has ended.
MIN_PER_S = 0.1
MAX_PER_S = 1e6

_DECIMAL = re.compile(rb"\d+\.?\d*|\.\d+")
_MAX_SHOWN_BYTES = 40


def decode_limit(answer_headers):
    """Returns the limit in requests per second, or None if the answer names none.

    The lowest of several limits counts.

    :param answer_headers: list of (name in lower case, value) in bytes.
    :raises DecodeError: if no value is a decimal number.
    """
    values = [
        value.strip() for name, value in answer_headers if name == headers.RATE_LIMIT
    ]
    if not values:
        return None
    limits = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    if not limits:
        shown = values[0][:_MAX_SHOWN_BYTES].decode("latin-1")
        raise DecodeError(f"{shown!r} is no number of requests a second")
    return min(MAX_PER_S, max(MIN_PER_S, min(limits)))
