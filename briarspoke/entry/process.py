"""Entry point of the entry VM's process on the platform."""

from __future__ import annotations

import os
import signal
import sys

from briarspoke.errors import UserError

SETTINGS_VARIABLE = "BRIARSPOKE_NODE_FILE"
EXIT_USER_ERROR = 2


def run(path):
    """Runs an entry VM until a signal stops it.

    :param path: path of the settings file.
    :returns: the exit status.
    :raises UserError: if the settings have problems.
    """
    from briarspoke import clock, loop
    from briarspoke.entry import logs
    from briarspoke.entry import settings as settings_module

    settings = settings_module.load(path)
    logs.setup(settings.log_level)
    reactor = loop.install_epoll()
    from twisted.internet import defer, task

    from briarspoke.entry.node import EntryNode
    from briarspoke.entry.reload import CHECK_INTERVAL_S, SettingsReload

    node = EntryNode(reactor=reactor, settings=settings, clock=clock.monotonic)
    reload = SettingsReload(node=node, path=path)
    # The default action of SIGHUP is to end the process.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload.reload))
    task.LoopingCall(reload.check).start(CHECK_INTERVAL_S, now=False)
    reactor.callWhenRunning(node.start)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: defer.ensureDeferred(node.stop())
    )
    reactor.run()
    return 0


def main():
    """Runs an entry VM with the settings file that ``BRIARSPOKE_NODE_FILE`` names.

    The platform starts the process here and not by the command line, since importing
    the command line's library takes longer than the rest of the start.
    """
    try:
        sys.exit(run(os.environ.get(SETTINGS_VARIABLE, "settings.json")))
    except UserError as error:
        print(f"briarspoke: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)


if __name__ == "__main__":
    main()
