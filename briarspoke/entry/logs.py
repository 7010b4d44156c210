"""Logging of an entry VM: limited in rate, and without blocking."""

from __future__ import annotations

import logging
import os
import time

# Limit for lines about single requests; further lines are counted and left out.
REQUEST_LINES_PER_S = 20
REQUEST_LINES_BURST = 60


class OutputHandler(logging.Handler):
    """Writes lines to a file descriptor and drops lines that would block.

    :param descriptor: the file descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Writes one line, or counts it as dropped."""
        try:
            os.write(self._descriptor, self.format(record).encode() + b"\n")
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.handleError(record)


def dropped_lines():
    """Returns the number of lines dropped because standard output was full."""
    handlers = logging.getLogger().handlers
    return sum(h.dropped for h in handlers if isinstance(h, OutputHandler))


class LogRateLimiter:
    """A token bucket for log lines.

    :param clock: function that returns monotonic seconds.
    """

    __slots__ = ("_clock", "_refilled_at", "_tokens", "left_out")

    def __init__(self, clock):
        self._clock = clock
        self._tokens = REQUEST_LINES_BURST
        self._refilled_at = clock()
        # Number of lines left out since the last call of take_left_out().
        self.left_out = 0

    def allows(self):
        """Takes a token and returns True, or counts a line as left out."""
        now = self._clock()
        refill = (now - self._refilled_at) * REQUEST_LINES_PER_S
        self._tokens = min(REQUEST_LINES_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self):
        """Returns the number of lines left out, and resets it."""
        left_out, self.left_out = self.left_out, 0
        return left_out


def setup(level):
    """Configures the root logger to write to standard output.

    :param level: name of the lowest level to log, such as ``info``.
    :returns: the :class:`OutputHandler`.
    """
    handler = OutputHandler(1)
    formatter = logging.Formatter(
        "%(asctime)s.%(msecs)03dZ %(levelname)s %(message)s", "%Y-%m-%dT%H:%M:%S"
    )
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    return handler
