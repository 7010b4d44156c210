"""Decoding of the load that a server reports in its answers."""

from __future__ import annotations

import re

from briarspoke.platform import headers
from briarspoke.platform.values import DecodeError

# A server that is as fast as usual reports this percentage.
USUAL_PERCENT = 100
# Requests, slots and percentages beyond this are taken for this. A spoiled number must
# not dominate a sum.
MAX_COUNT = 10_000

_LIST = re.compile(rb"(\d+)\s*,\s*(\d+)\s*,\s*(\d+)(?:\s*,\s*(\d+))?")
_MAX_SHOWN_BYTES = 40


class Load:
    """Load of a server at the time of an answer.

    :param running: requests that run.
    :param waiting: requests that wait at the server.
    :param slots: requests that it can run at the same time.
    :param percent: how long work takes there now, in percent of the usual time.
    """

    __slots__ = ("percent", "running", "slots", "waiting")

    def __init__(self, *, running, waiting, slots, percent=USUAL_PERCENT):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.percent = percent


def decode_load(answer_headers):
    """Returns the :class:`Load` of an answer, or None if it reports none.

    :param answer_headers: list of (name in lower case, value) in bytes.
    :raises DecodeError: if the value is no list of three or four numbers, or has no
        slots, or there are several values.
    """
    values = [
        value.strip() for name, value in answer_headers if name == headers.SERVER_LOAD
    ]
    if not values:
        return None
    match = _LIST.fullmatch(values[0]) if len(values) == 1 else None
    if match is None:
        raise _not_usable(values[0])
    # A number of more digits than this is beyond MAX_COUNT, and slow to convert.
    running, waiting, slots, percent = (
        None if digits is None else min(MAX_COUNT, int(digits[:19]))
        for digits in match.groups()
    )
    if not slots or percent == 0:
        raise _not_usable(values[0])
    return Load(
        running=running,
        waiting=waiting,
        slots=slots,
        percent=USUAL_PERCENT if percent is None else percent,
    )


def _not_usable(value):
    shown = value[:_MAX_SHOWN_BYTES].decode("latin-1")
    return DecodeError(f"{shown!r} is no list of running, waiting, slots and percent")
