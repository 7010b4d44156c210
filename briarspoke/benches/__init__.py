"""Experiments over loopback, each with figures and bounds."""

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
    """Imports every bench module, so that the registry is full."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")


class Bound:
    """A limit that a figure has to keep.

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
        """Whether the bound is kept; a missing value keeps no bound."""
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

    :param figures: JSON object of everything measured.
    :param bounds: list of :class:`Bound`.
    """

    __slots__ = ("bench", "bounds", "figures", "seed")

    def __init__(self, *, bench, seed, figures, bounds):
        self.bench = bench
        self.seed = seed
        self.figures = figures
        self.bounds = bounds

    @property
    def holds(self):
        """Whether every bound is kept."""
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
    """Returns the value at a fraction of the sorted values, None if empty."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
