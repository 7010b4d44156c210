"""Benchmarks over the loopback interface that report figures and bounds."""

from __future__ import annotations

import importlib
import json
import pkgutil

by_name = {}


def bench(name):
    """Registers a bench function under its name.

    The function takes the keyword arguments ``seed`` and ``long`` and returns a
    :class:`Report`.
    """

    def decorate(function):
        by_name[name] = function
        return function

    return decorate


def load_all():
    """Imports every module of this package, which registers all benches."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")


class Bound:
    """A limit that a figure must stay within.

    :param at_most: True if the value must not be above the limit, False if it
        must not be below.
    """

    __slots__ = ("at_most", "limit", "name", "value")

    def __init__(self, *, name, value, limit, at_most=True):
        self.name = name
        self.value = value
        self.limit = limit
        self.at_most = at_most

    @property
    def holds(self):
        """Whether the value is within the limit; a missing value is not."""
        if self.value is None:
            return False
        if self.at_most:
            return self.value <= self.limit
        return self.value >= self.limit

    def as_json(self):
        """Returns the bound as a JSON object."""
        return {
            "name": self.name,
            "limit": self.limit,
            "kind": "at-most" if self.at_most else "at-least",
            "value": self.value,
            "holds": self.holds,
        }


class Report:
    """The result of a bench.

    :param figures: JSON object with all measurements.
    :param bounds: list of :class:`Bound`, which decide whether the bench passes.
    """

    __slots__ = ("bench", "bounds", "figures", "seed")

    def __init__(self, *, bench, seed, figures, bounds):
        self.bench = bench
        self.seed = seed
        self.figures = figures
        self.bounds = bounds

    @property
    def holds(self):
        """Whether every value is within its limit."""
        return all(bound.holds for bound in self.bounds)

    def as_line(self):
        """Returns the report as one line of JSON."""
        return json.dumps(
            {
                "bench": self.bench,
                "seed": self.seed,
                "figures": self.figures,
                "bounds": [bound.as_json() for bound in self.bounds],
                "holds": self.holds,
            }
        )


def percentile(values, fraction):
    """Returns the value at a rank of the sorted values, or None without values.

    :param fraction: rank of the percentile, from 0 to 1.
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
