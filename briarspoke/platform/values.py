"""Durations and fields of the platform's JSON bodies."""

from __future__ import annotations

from briarspoke import durations
from briarspoke.errors import BriarspokeError


class DecodeError(BriarspokeError):
    """A body of the platform does not have the documented form."""


def seconds(text):
    """Returns the seconds of a duration such as ``1500ms`` or ``2.5s``.

    :raises DecodeError: if the text is not a duration.
    """
    try:
        return durations.parse(text)
    except ValueError as error:
        raise DecodeError(str(error)) from error


def milliseconds(value_s):
    """Returns the text of a duration given in seconds."""
    return f"{round(value_s * 1000)}ms"


def member(body, name, kind):
    """Returns a member of an object.

    :param kind: the Python type that the member must have.
    :raises DecodeError: if it is missing or of another type.
    """
    value = body.get(name) if isinstance(body, dict) else None
    # A JSON boolean is an int in Python.
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise DecodeError(f"{name} is missing or not of type {kind.__name__}")
    return value
