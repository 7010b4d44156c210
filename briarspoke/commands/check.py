"""``briarspoke check``."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from briarspoke import output as printing
from briarspoke import settings
from briarspoke.configuration import reading, validation
from briarspoke.configuration.document import (
    ConfigurationDocument,
    ConfigurationTooLargeError,
)
from briarspoke.configuration.resources import classes_by_kind
from briarspoke.errors import UserError
from briarspoke.platform import checks
from briarspoke.schema import Problem

NAME = "check"
EXIT_PROBLEMS = 1


def run(
    *files: Path,
    in_force: Path | None = None,
    output: Literal["table", "json"] = "table",
    json: bool = False,
):
    """Check settings and configuration files without a network.

    Parameters
    ----------
    files:
        JSON files. A file whose members are kinds of resources is checked as a
        configuration, one with config_version as the platform's configuration, one
        with ready_listen or retry_ratio as the settings of an entry VM, any other as
        settings. The platform's configuration is also compared with the settings of
        entry VMs.
    in_force:
        JSON file with the platform's configuration in force; also show what differs
        from it, with the effect on requests, and exit with status 1 if anything does.
    output:
        Output format: tables for people or JSON for programs.
    json:
        The same as --output json.
    """
    if not files:
        raise UserError("at least one file is required")
    results = [_Result(path) for path in files]
    all_settings = [r.settings for r in results if r.settings is not None]
    for result in results:
        result.check_against(all_settings)
    if in_force is not None:
        _compare(in_force, results)
    if json or output == "json":
        printing.print_json([result.as_json() for result in results])
    else:
        for result in results:
            result.print()
    return EXIT_PROBLEMS if any(r.problems or r.changes for r in results) else 0


def _compare(path, results):
    before = _Result(path)
    if before.kind != "platform-configuration":
        raise UserError(f"{path} is not the platform's configuration")
    for result in results:
        if result.kind == before.kind:
            result.changes = checks.differences(before.value, result.value)


class _Result:
    """Result of the check of a file."""

    def __init__(self, path):
        self.path = path
        self.problems = []
        # The :class:`briarspoke.entry.settings.EntrySettings` in the file, or None.
        self.settings = None
        # What differs from the configuration in force.
        self.changes = []
        self.value = reading.read_json(path, self.problems)
        self.kind = "unreadable" if self._is_unreadable else _kind(self.value)
        if self.kind == "settings":
            self.problems += settings.problems_of(self.value)
        elif self.kind == "configuration":
            self.problems += _configuration_problems(self.value)
        elif self.kind == "entry-settings":
            self.settings, problems = checks.check_settings(self.value)
            self.problems += problems

    @property
    def _is_unreadable(self):
        return self.value is None and bool(self.problems)

    def check_against(self, all_settings):
        """Checks the platform's configuration with the settings of entry VMs.

        :param all_settings: list of :class:`briarspoke.entry.settings.EntrySettings`.
        """
        if self.kind == "platform-configuration":
            self.problems += checks.check_configuration(self.value, all_settings)

    def as_json(self):
        """Returns the result as a JSON object."""
        result = {
            "file": str(self.path),
            "kind": self.kind,
            "problems": [problem.as_json() for problem in self.problems],
        }
        if self.changes:
            result["changes"] = self.changes
        return result

    def print(self):
        """Prints the result as text."""
        count = len(self.problems)
        outcome = "is fine" if not count else f"has {count} problem(s)"
        print(f"{self.path} ({self.kind}) {outcome}")
        for problem in self.problems:
            # Names in the file may have characters that cannot be printed.
            text = str(problem).encode(errors="backslashreplace").decode()
            print(f"  {text}")
        printing.print_differences(self.changes)


def _kind(value):
    if checks.is_configuration(value):
        return "platform-configuration"
    if checks.is_settings(value):
        return "entry-settings"
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
