"""Reads a JSON file and collects what is wrong with it instead of raising."""

from __future__ import annotations

import json

from briarspoke.configuration import codes
from briarspoke.errors import UserError
from briarspoke.schema import Problem

# Longer names are cut off in messages.
MAX_NAME_LENGTH = 40


class _Object(dict):
    """A JSON object that knows which of its names occurred more than once."""

    duplicates = ()


def _build_object(pairs):
    value = _Object(pairs)
    if len(value) < len(pairs):
        seen, duplicates = set(), []
        for name, _ in pairs:
            if name in seen and name not in duplicates:
                duplicates.append(name)
            seen.add(name)
        value.duplicates = duplicates
    return value


def read_json(path, problems):
    """Returns the JSON value of a file, or None after a problem.

    :param problems: list that each :class:`briarspoke.schema.Problem` is appended to.
    :raises UserError: if the file cannot be read.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise UserError(f"cannot read {path}: {error.strerror}") from error
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        message = f"is not UTF-8 at byte {error.start}"
        problems.append(Problem(path="$", code=codes.NOT_UTF8, message=message))
        return None

    def reject_constant(name):
        message = f"has {name}, which is not a JSON value"
        problems.append(Problem(path="$", code=codes.NOT_JSON, message=message))

    try:
        value = json.loads(
            text, parse_constant=reject_constant, object_pairs_hook=_build_object
        )
    except (ValueError, RecursionError) as error:
        if isinstance(error, json.JSONDecodeError):
            message = f"line {error.lineno} column {error.colno}: {error.msg}"
        else:
            message = f"cannot be read: {error}"
        problems.append(Problem(path="$", code=codes.NOT_JSON, message=message))
        return None
    problems += _duplicates(value)
    return value


def _duplicates(value):
    problems = []
    pending = [("$", value)]
    while pending:
        path, value = pending.pop()
        if isinstance(value, dict):
            for name in value.duplicates:
                message = f"has the name {name[:MAX_NAME_LENGTH]!r} more than once"
                problems.append(
                    Problem(path=path, code=codes.DUPLICATE_NAME, message=message)
                )
            pending += [(f"{path}.{name}", each) for name, each in value.items()]
        elif isinstance(value, list):
            pending += [(f"{path}[{i}]", each) for i, each in enumerate(value)]
    return problems
