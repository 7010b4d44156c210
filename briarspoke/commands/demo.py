"""``briarspoke demo``."""

from __future__ import annotations

from briarspoke import loop

NAME = "demo"


def run(*, check: bool = False, free_ports: bool = False):
    """Run an entry VM, a platform stand-in and backend servers on loopback.

    Parameters
    ----------
    check:
        Send requests of all ranks, print a summary and exit.
    free_ports:
        Listen on any free ports instead of 8080 to 8084.
    """
    reactor = loop.install()
    from briarspoke.standins.demo import Demo

    demo = Demo(reactor=reactor, check=check, free_ports=free_ports)
    reactor.callWhenRunning(demo.start)
    reactor.run()
    return demo.exit_status
