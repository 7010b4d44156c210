"""``briarspoke soak``."""

from __future__ import annotations

NAME = "soak"
EXIT_VIOLATED = 1


def run(*, seed: int, minutes: float = 1.0):
    """Run entry VMs under random faults and check what callers and servers see.

    Parameters
    ----------
    seed:
        Seed of the faults, their times and the requests.
    minutes:
        Duration of the phase with faults.
    """
    import json
    import sys

    from twisted.internet import defer

    from briarspoke import loop
    from briarspoke.soak.run import SoakRun, remove_logs

    reactor = loop.install_epoll()
    print(f"soak: seed {seed}, {minutes} min of faults", file=sys.stderr)
    soak = SoakRun(reactor=reactor, seed=seed, seconds=minutes * 60)
    results = []

    def execute():
        execution = defer.ensureDeferred(soak.execute())
        execution.addCallbacks(results.append, lambda failure: failure.printTraceback())
        execution.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(execute)
    reactor.run()
    if not results:
        return EXIT_VIOLATED
    result = results[0]
    if not result["violations"]:
        remove_logs(soak.directory)
    print(f"soak: injected {' '.join(soak.injected)}", file=sys.stderr)
    print(json.dumps(result))
    return EXIT_VIOLATED if result["violations"] else 0
