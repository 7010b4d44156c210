"""``briarspoke demo``."""

from __future__ import annotations

from briarspoke import loop

NAME = "demo"


def run(*, check: bool = False):
    """Run entry VM, platform stand-in and backend servers on loopback.

    Parameters
    ----------
    check:
        Send requests of all ranks, print a summary and exit.
    """
    reactor = loop.install()
    from briarspoke.standins.demo import Demo

    demo = Demo(reactor=reactor, check=check)
    reactor.callWhenRunning(demo.start)
    reactor.run()
    return demo.exit_status
