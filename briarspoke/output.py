"""Prints the results of commands."""

from __future__ import annotations

import contextlib
import json
import sys
import threading

PROGRESS_INTERVAL_S = 1.0
# After this time, progress is reported only at this interval: a line per second would
# fill the log of a bench that runs for minutes.
SPARSE_PROGRESS_INTERVAL_S = 10


def print_json(value):
    """Prints a JSON value on one line."""
    print(json.dumps(value), flush=True)


def print_table(columns, rows):
    """Prints a left-aligned table with a header of column names."""
    cells = [columns, *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print(line.rstrip())
    sys.stdout.flush()


def print_differences(changes):
    """Prints the resources that a change affects, and each modified option.

    :param changes: list ``changes`` of an API answer, or of objects like those with
        the effects on requests as ``effects``.
    """
    for change in changes:
        sign = {"create": "+", "update": "~", "delete": "-"}[change["action"]]
        effects = change.get("effects")
        suffix = f" ({', '.join(effects)})" if effects else ""
        print(f"{sign} {change['kind']}/{change['name']}{suffix}")
        if change["action"] == "update":
            _print_options("", change["before"], change["after"])
    sys.stdout.flush()


def print_change(output_format, text, version):
    """Prints the outcome of a change as text or JSON.

    :param output_format: ``table`` or ``json``.
    """
    if output_format == "json":
        print_json({"result": text, "version": version})
    else:
        print(f"{text}, configuration version {version}", flush=True)


def _print_options(path, before, after):
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(before.keys() | after.keys()):
            _print_options(f"{path}.{name}", before.get(name), after.get(name))
    elif before != after:
        print(f"    {path[1:]}: {json.dumps(before)} -> {json.dumps(after)}")


@contextlib.contextmanager
def progress(text):
    """Reports an operation that takes longer than a second on standard error."""
    done = threading.Event()

    def report():
        seconds = 0
        while not done.wait(PROGRESS_INTERVAL_S):
            seconds += 1
            if (
                seconds > SPARSE_PROGRESS_INTERVAL_S
                and seconds % SPARSE_PROGRESS_INTERVAL_S
            ):
                continue
            print(f"briarspoke: {text}, {seconds} s", file=sys.stderr, flush=True)

    thread = threading.Thread(target=report, daemon=True)
    thread.start()
    try:
        yield
    finally:
        done.set()
        thread.join()


def _format_cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list):
        return json.dumps(value, separators=(",", ":"))
    return str(value)
