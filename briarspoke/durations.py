"""Parses durations such as ``1500ms`` or ``2.5s``."""

from __future__ import annotations

import re

PATTERN = r"(\d+(?:\.\d+)?)(ms|s)"

_DURATION = re.compile(PATTERN)


def parse(text):
    """Returns a duration in seconds.

    :raises ValueError: if the text is not a duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a duration")
    value = float(match[1])
    return value / 1000 if match[2] == "ms" else value
