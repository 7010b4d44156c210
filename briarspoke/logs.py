"""Sets up logging for the process."""

from __future__ import annotations

import logging
import sys

FORMAT = "%(asctime)s.%(msecs)03d %(levelname)-7s %(message)s"
DATE_FORMAT = "%Y-%m-%dT%H:%M:%S"
# Twisted reports the start and stop of every factory at this level.
TWISTED_LEVEL = logging.WARNING


def setup(level="info", *, stream=None):
    """Logs to a stream, standard error by default.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(logging.Formatter(FORMAT, DATE_FORMAT))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    _route_twisted(max(TWISTED_LEVEL, root.level))


def _route_twisted(level):
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    logging.getLogger("twisted").setLevel(level)
    globalLogBeginner.beginLoggingTo(
        [STDLibLogObserver("twisted")],
        redirectStandardIO=False,
        discardBuffer=True,
    )
