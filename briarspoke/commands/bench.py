"""``briarspoke bench``."""

from __future__ import annotations

from briarspoke import benches
from briarspoke.errors import UserError

NAME = "bench"


def run(name: str, *, seed: int = 1, long: bool = False):
    """Run an experiment on loopback and print its report as JSON.

    Parameters
    ----------
    name:
        Name of the bench; an unknown name lists them all.
    seed:
        Seed of every random choice.
    long:
        Run a long version.
    """
    benches.load_all()
    if name not in benches.by_name:
        known = ", ".join(sorted(benches.by_name))
        raise UserError(f"there is no bench {name}; there are: {known}")
    report = benches.by_name[name](seed=seed, long=long)
    print(report.as_line(), flush=True)
    return 0 if report.holds else 1
