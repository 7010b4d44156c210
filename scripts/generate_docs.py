"""Generates the reference pages from the code: ``generate_docs.py [--check]``."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

import briarspoke  # noqa: E402
from briarspoke import codes, metrics, schema, settings  # noqa: E402
from briarspoke.configuration.resources import classes_by_kind  # noqa: E402
from briarspoke.entry import settings as entry_settings  # noqa: E402

PAGES = {}
NOTE = "This page is written by `python scripts/generate_docs.py`; do not edit it.\n"
BLOCKS = {
    1: "an operator's rule refused the request; it was not run",
    2: "a load decision refused the request; it was not run",
    3: "unavailable (not run) or unknown outcome",
    4: "the caller's error; not run",
    5: "operators' API and configuration",
    6: "links between entry VMs",
    7: "invariants and internal errors",
    8: "values of settings and configuration",
}


def page(name):
    """Registers the decorated function as the renderer of a page.

    :param name: file name of the page in ``docs/user``.
    """

    def decorate(render):
        PAGES[name] = render
        return render

    return decorate


@page("result-codes.md")
def result_codes():
    """Returns the page of result codes, with a table for each block of codes."""
    lines = ["# Result codes", "", NOTE]
    for block, meaning in BLOCKS.items():
        block_codes = [
            c for n, c in sorted(codes.by_number.items()) if n // 1000 == block
        ]
        if not block_codes:
            continue
        lines += [f"## {block}xxx: {meaning}", ""]
        lines += [
            "| Code | Name | Class | HTTP | Meaning |",
            "| --- | --- | --- | --- | --- |",
        ]
        lines += [
            f"| {c.number} | `{c.name}` | {c.kind.value} | {c.http_status} "
            f"| {c.meaning} |"
            for c in block_codes
        ]
        lines.append("")
    return "\n".join(lines)


@page("metrics.md")
def metrics_table():
    """Returns the page of metrics."""
    lines = [
        "# Metrics",
        "",
        NOTE,
        "Served as Prometheus text on `metrics_listen`; every metric has the label "
        "`node`.",
        "",
        "| Metric | Kind | Label | Meaning |",
        "| --- | --- | --- | --- |",
    ]
    for name, (label, meaning) in sorted(metrics.COUNTERS.items()):
        label_cell = f"`{label}`" if label else ""
        lines.append(f"| `briarspoke_{name}` | counter | {label_cell} | {meaning} |")
    for name, (label, meaning) in sorted(metrics.GAUGES.items()):
        label_cell = f"`{label}`" if label else ""
        lines.append(f"| `briarspoke_{name}` | gauge | {label_cell} | {meaning} |")
    for name, (label, meaning) in sorted(metrics.HISTOGRAMS.items()):
        lines.append(f"| `briarspoke_{name}` | histogram | `{label}` | {meaning} |")
    return "\n".join([*lines, ""])


@page("configuration-reference.md")
def configuration_reference():
    """Returns the page of configuration options, with a table for each kind."""
    lines = [
        "# Configuration reference",
        "",
        NOTE,
        "A configuration file is a JSON object `{kind: [resource, ...]}`. Checks "
        "across resources and their codes are in [result codes](result-codes.md), "
        "51xx.",
        "",
    ]
    for kind, resource in classes_by_kind.items():
        lines += [
            f"## {kind}",
            "",
            resource.__doc__.strip(),
            "",
            *_table(resource.section),
        ]
    return "\n".join(lines)


@page("settings-reference.md")
def settings_reference():
    """Returns the page of options of the settings file."""
    return "\n".join(
        [
            "# Settings reference",
            "",
            NOTE,
            "`briarspoke serve FILE` reads one JSON object. Secrets never appear in "
            "logs or messages.",
            "",
            *_table(settings.SCHEMA),
        ]
    )


@page("entry-settings-reference.md")
def entry_settings_reference():
    """Returns the page of settings of an entry VM on the platform."""
    return "\n".join(
        [
            "# Settings of an entry VM on the platform",
            "",
            NOTE,
            "`briarspoke entry FILE` reads one JSON object; durations have the form "
            "`1500ms` or `2.5s`.",
            "",
            *_table(entry_settings.SCHEMA),
        ]
    )


def _table(section):
    rows = ["| Option | Type | Default | Meaning |", "| --- | --- | --- | --- |"]
    for path, option in _options("", section):
        default = _default(option)
        rows.append(f"| `{path}` | {_type(option)} | {default} | {option.help} |")
    return [*rows, ""]


def _options(path, section):
    for name, option in section.options.items():
        full = f"{path}.{name}" if path else name
        inner = option
        suffix = ""
        if isinstance(option, schema.ListOf):
            inner, suffix = option.item, "[]"
        elif isinstance(option, schema.MapOf):
            inner, suffix = option.item, ".*"
        if isinstance(inner, schema.Section):
            if suffix:
                yield full, option
            yield from _options(full + suffix, inner)
        else:
            yield full, option


def _type(option):
    if isinstance(option, schema.Nullable):
        return f"{_type(option.item)} or null"
    if isinstance(option, schema.ListOf):
        return f"list of {_type(option.item)}"
    if isinstance(option, schema.MapOf):
        return f"object of {_type(option.item)}"
    if isinstance(option, schema.Section):
        return "object"
    if isinstance(option, schema.Choice):
        return " or ".join(f"`{choice}`" for choice in option.choices)
    if isinstance(option, schema.Number):
        kind = option.type_name.removeprefix("a ")
        return f"{kind}, {option.minimum} to {option.maximum}"
    if isinstance(option, schema.Text) and option.pattern:
        return f"string `{option.pattern}`".replace("|", "\\|")
    return option.type_name.removeprefix("an ").removeprefix("a ")


def _default(option):
    if option.default is schema.REQUIRED:
        return "required"
    value = option.default() if callable(option.default) else option.default
    return f"`{json.dumps(value)}`"


def import_all_modules():
    """Imports every module, because modules register result codes when imported."""
    for module in pkgutil.walk_packages(briarspoke.__path__, "briarspoke."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def main():
    """Writes the pages; with ``--check``, exits with 1 if any is out of date."""
    import_all_modules()
    stale = []
    for name, render in PAGES.items():
        path = ROOT / "docs" / "user" / name
        text = render()
        if "--check" not in sys.argv:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            stale.append(str(path.relative_to(ROOT)))
    if stale:
        sys.exit(f"run scripts/generate_docs.py; out of date: {', '.join(stale)}")


if __name__ == "__main__":
    main()
