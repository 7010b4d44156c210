"""``briarspoke bench``."""

from __future__ import annotations

from briarspoke import benches, output
from briarspoke.errors import UserError

NAME = "bench"
LIST = "list"


def run(name: str = LIST, *, seed: int = 1, long: bool = False):
    """Run an experiment on loopback and print its report as JSON.

    Parameters
    ----------
    name:
        Name of the bench; without one, or with list, all are listed.
    seed:
        Seed of every random choice.
    long:
        Run a long version.
    """
    benches.load_all()
    if name == LIST:
        for known, function in sorted(benches.by_name.items()):
            print(f"{known:14}{function.__doc__.strip().splitlines()[0]}")
        return 0
    if name not in benches.by_name:
        known = ", ".join(sorted(benches.by_name))
        raise UserError(f"there is no bench {name}; there are: {known}")
    with output.progress(f"bench {name} is running"):
        report = benches.by_name[name](seed=seed, long=long)
    print(report.as_line(), flush=True)
    return 0 if report.holds else 1
