"""Decoding of what a server says in an answer about taking further requests."""

from __future__ import annotations

import re

from briarspoke.platform import headers
from briarspoke.platform.values import DecodeError

# Longest pause that is believed, in seconds. A server that wants nothing for longer can
# say that it leaves; a spoiled number must not shut it out for good.
MAX_PAUSE_S = 60.0

_DECIMAL = re.compile(rb"\d+\.?\d*|\.\d+")
_MAX_SHOWN_BYTES = 40


def _values(answer_headers, name):
    return [value.strip() for found, value in answer_headers if found == name]


def decode_leaving(answer_headers):
    """Returns whether a server says that it leaves.

    :param answer_headers: list of (name in lower case, value) in bytes.
    """
    return b"1" in _values(answer_headers, headers.LEAVING)


def decode_pause_s(answer_headers):
    """Returns for how many seconds a server wants no requests, or None.

    The longest of several values counts. The form with a date is not used, since the
    clocks of servers are not known.

    :param answer_headers: list of (name in lower case, value) in bytes.
    :raises DecodeError: if no value is a decimal number.
    """
    values = _values(answer_headers, headers.RETRY_AFTER)
    if not values:
        return None
    pauses = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    if not pauses:
        shown = values[0][:_MAX_SHOWN_BYTES].decode("latin-1")
        raise DecodeError(f"{shown!r} is no number of seconds")
    return min(MAX_PAUSE_S, max(pauses)) or None
