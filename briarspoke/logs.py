"""Logging of the process."""

from __future__ import annotations

import logging
import sys

FORMAT = "%(asctime)s.%(msecs)03d %(levelname)-7s %(message)s"
DATE_FORMAT = "%Y-%m-%dT%H:%M:%S"
# Twisted logs the start and stop of every factory at INFO.
MIN_TWISTED_LEVEL = logging.WARNING


def setup(level="info", *, stream=None):
    """Sends all log records, including Twisted's, to a stream.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param stream: text stream, standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(logging.Formatter(FORMAT, DATE_FORMAT))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    _redirect_twisted(max(MIN_TWISTED_LEVEL, root.level))


def _redirect_twisted(level):
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    logging.getLogger("twisted").setLevel(level)
    globalLogBeginner.beginLoggingTo(
        [STDLibLogObserver("twisted")],
        redirectStandardIO=False,
        discardBuffer=True,
    )
