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

    checked = settings_module.load(settings)
    reactor = loop.install()
    logs.setup(checked.log_level)
    from briarspoke.node import Node

    node = Node(reactor=reactor, settings=checked)
    process = _Process(reactor=reactor, node=node)
    reactor.callWhenRunning(process.start)
    reactor.run()
    return process.exit_status


class _Process:
    """Starts the node, and stops it on a signal."""

    def __init__(self, *, reactor, node):
        self.reactor = reactor
        self.node = node
        self.exit_status = 0

    def start(self):
        """Starts the node."""
        from twisted.internet import defer

        starting = defer.maybeDeferred(self.node.start)
        # The reactor turns SIGTERM and SIGINT into its shutdown event and waits
        # for the Deferred of the trigger.
        self.reactor.addSystemEventTrigger("before", "shutdown", self._stop)
        starting.addErrback(self._failed)

    def _stop(self):
        from twisted.internet import defer

        stop = getattr(self.node, "shutdown", None) or self.node.stop
        return defer.maybeDeferred(stop)

    def _failed(self, failure):
        from twisted.internet.error import CannotListenError

        # Twisted's error about an address in use is not an OSError.
        if failure.check(UserError, CannotListenError):
            self.exit_status = 2
            print(f"briarspoke: {failure.value}", file=sys.stderr)
        else:
            import logging

            self.exit_status = EXIT_UNAVAILABLE
            logging.getLogger(__name__).error(
                "serve: the node cannot start: %s",
                failure.value,
                exc_info=_trace(failure),
            )
        if self.reactor.running:
            self.reactor.stop()


def _trace(failure):
    from briarspoke.errors import BriarspokeError

    if failure.check(BriarspokeError):
        return None
    return failure.type, failure.value, failure.getTracebackObject()
