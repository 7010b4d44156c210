"""Durations and required fields in the platform's JSON bodies."""

from __future__ import annotations

from briarspoke import durations
from briarspoke.errors import BriarspokeError


class DecodeError(BriarspokeError):
    """A body of the platform does not have the documented form."""


def parse_duration_s(text):
    """Returns the seconds of a duration such as ``1500ms`` or ``2.5s``.

    :raises DecodeError: if the text is not a duration.
    """
    try:
        return durations.parse(text)
    except ValueError as error:
        raise DecodeError(str(error)) from error


def format_duration(value_s):
    """Returns a duration in seconds as text such as ``1500ms``."""
    return f"{round(value_s * 1000)}ms"


def require_field(body, name, expected_type):
    """Returns a field of a decoded JSON object.

    :param expected_type: Python type, or tuple of types, that the value must have.
    :raises DecodeError: if the field is missing or has another type.
    """
    value = body.get(name) if isinstance(body, dict) else None
    # A JSON boolean is an int in Python.
    if not isinstance(value, expected_type) or (
        isinstance(value, bool) and expected_type is not bool
    ):
        types = expected_type if isinstance(expected_type, tuple) else (expected_type,)
        names = " or ".join(each.__name__ for each in types)
        raise DecodeError(f"{name} is missing or not of type {names}")
    return value
