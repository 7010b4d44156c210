"""``briarspoke check``."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from briarspoke import output as printing
from briarspoke import settings
from briarspoke.configuration import validation
from briarspoke.configuration.document import (
    ConfigurationDocument,
    ConfigurationTooLargeError,
)
from briarspoke.configuration.resources import classes_by_kind
from briarspoke.errors import UserError
from briarspoke.schema import Problem

NAME = "check"
EXIT_PROBLEMS = 1


def run(*files: Path, output: Literal["table", "json"] = "table"):
    """Check settings and configuration files without a network.

    Parameters
    ----------
    files:
        JSON files. A file whose members are kinds of resources is checked as a
        configuration, any other file as settings.
    output:
        Output format: tables for people or JSON for programs.
    """
    if not files:
        raise UserError("at least one file is required")
    results = [_Result(path) for path in files]
    if output == "json":
        printing.print_json([result.as_json() for result in results])
    else:
        for result in results:
            result.print()
    return EXIT_PROBLEMS if any(result.problems for result in results) else 0


class _Result:
    """Result of the check of a file."""

    def __init__(self, path):
        self.path = path
        value = settings.read_json(path)
        self.kind = _kind(value)
        if self.kind == "settings":
            self.problems = settings.problems_of(value)
        else:
            self.problems = _configuration_problems(value)

    def as_json(self):
        """Returns the result as a JSON object."""
        return {
            "file": str(self.path),
            "kind": self.kind,
            "problems": [problem.as_json() for problem in self.problems],
        }

    def print(self):
        """Prints the result as text."""
        count = len(self.problems)
        outcome = "is fine" if not count else f"has {count} problem(s)"
        print(f"{self.path} ({self.kind}) {outcome}")
        for problem in self.problems:
            print(f"  {problem}")


def _kind(value):
    is_configuration = isinstance(value, dict) and classes_by_kind.keys() & value.keys()
    return "configuration" if is_configuration else "settings"


def _configuration_problems(value):
    problems = validation.check_json(value)
    if not problems:
        try:
            ConfigurationDocument.from_configuration(value).encode()
        except ConfigurationTooLargeError as error:
            problems.append(Problem(path="$", code=error.code, message=error.detail))
    return problems
