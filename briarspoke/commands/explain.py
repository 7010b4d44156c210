"""``briarspoke explain``."""

from __future__ import annotations

import sys
from pathlib import Path

from briarspoke.errors import UserError

NAME = "explain"
EXIT_NOT_FOUND = 1


def run(request_id: str, *files: Path):
    """Show the log lines of entry VMs that explain the result of a request.

    Parameters
    ----------
    request_id:
        Identifier of the caller's attempt.
    files:
        Files with the output of one or more entry VMs; standard input if none.
    """
    from briarspoke.entry import explanation

    sources = {}
    for file in files:
        try:
            sources[file.name] = file.read_text(errors="replace").splitlines()
        except OSError as error:
            raise UserError(f"cannot read {file}: {error.strerror}") from error
    if not files:
        sources[""] = sys.stdin
    found = explanation.find(request_id, sources)
    if found.unreadable:
        print(
            f"briarspoke: {found.unreadable} other line(s) passed over", file=sys.stderr
        )
    if not found.lines:
        print(f"briarspoke: no line about {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    lines = [("before", line) for line in found.context]
    lines += [("request", line) for line in found.lines]
    for kind, line in sorted(lines, key=lambda pair: pair[1].second_of_day):
        print(f"{kind:8}{line.source:14} {line.text}")
    return 0
