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
        Name of the bench. Without a name, or with list, the benches are listed.
    seed:
        Seed of every random choice.
    long:
        Run the long version of the bench.
    """
    benches.load_all()
    if name == LIST:
        for bench_name, function in sorted(benches.by_name.items()):
            print(f"{bench_name:14}{function.__doc__.strip().splitlines()[0]}")
        return 0
    if name not in benches.by_name:
        available = ", ".join(sorted(benches.by_name))
        raise UserError(f"unknown bench {name}; available: {available}")
    with output.progress(f"bench {name} is running"):
        report = benches.by_name[name](seed=seed, long=long)
    print(report.as_line(), flush=True)
    return 0 if report.holds else 1
