"""``briarspoke serve``."""

from __future__ import annotations

import sys
from pathlib import Path

from briarspoke.errors import UserError

NAME = "serve"
EXIT_UNAVAILABLE = 3


def run(settings: Path):
    """Run an entry VM until SIGTERM or Ctrl-C.

    Parameters
    ----------
    settings:
        JSON file with the settings of the process.
    """
    from briarspoke import logs, loop
    from briarspoke import settings as settings_module

    loaded_settings = settings_module.load(settings)
    reactor = loop.install()
    logs.setup(loaded_settings.log_level)
    from briarspoke.node import Node

    node = Node(reactor=reactor, settings=loaded_settings)
    process = _Process(reactor=reactor, node=node)
    reactor.callWhenRunning(process.start)
    reactor.run()
    return process.exit_status


class _Process:
    """Starts the node and stops it on a signal."""

    def __init__(self, *, reactor, node):
        self.reactor = reactor
        self.node = node
        self.exit_status = 0

    def start(self):
        """Starts the node; a failure stops the reactor."""
        from twisted.internet import defer

        starting = defer.maybeDeferred(self.node.start)
        # On SIGTERM and SIGINT, the reactor fires its shutdown event and waits for
        # the Deferred that the trigger returns.
        self.reactor.addSystemEventTrigger("before", "shutdown", self._stop)
        starting.addErrback(self._start_failed)

    def _stop(self):
        from twisted.internet import defer

        stop = getattr(self.node, "shutdown", None) or self.node.stop
        return defer.maybeDeferred(stop)

    def _start_failed(self, failure):
        from twisted.internet.error import CannotListenError

        # Twisted raises CannotListenError, not an OSError, if an address is in use.
        if failure.check(UserError, CannotListenError):
            self.exit_status = 2
            print(f"briarspoke: {failure.value}", file=sys.stderr)
        else:
            import logging

            self.exit_status = EXIT_UNAVAILABLE
            logging.getLogger(__name__).error(
                "serve: the node cannot start: %s",
                failure.value,
                exc_info=_exc_info(failure),
            )
        if self.reactor.running:
            self.reactor.stop()


def _exc_info(failure):
    from briarspoke.errors import BriarspokeError

    if failure.check(BriarspokeError):
        return None
    return failure.type, failure.value, failure.getTracebackObject()
