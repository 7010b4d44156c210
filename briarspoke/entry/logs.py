"""Log lines of an entry VM: bounded in number, and never waited for."""

from __future__ import annotations

import logging
import os
import time

# Lines about single requests per second; the rest is counted.
REQUEST_LINES_PER_S = 20
REQUEST_LINES_BURST = 60


class OutputHandler(logging.Handler):
    """Writes lines to a file descriptor and drops what would block.

    :param descriptor: file descriptor, set to non-blocking.
    """

    def __init__(self, descriptor):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Writes one line."""
        try:
            os.write(self._descriptor, self.format(record).encode() + b"\n")
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.handleError(record)


def dropped_lines():
    """Returns how many lines were dropped since standard output was full."""
    handlers = logging.getLogger().handlers
    return sum(h.dropped for h in handlers if isinstance(h, OutputHandler))


class LogRateLimiter:
    """A token bucket for log lines.

    :param clock: function that returns monotonic seconds.
    """

    __slots__ = ("_at", "_clock", "_tokens", "left_out")

    def __init__(self, clock):
        self._clock = clock
        self._tokens = REQUEST_LINES_BURST
        self._at = clock()
        # Lines left out since the last one that was written.
        self.left_out = 0

    def allows(self):
        """Returns whether one more line may be written."""
        now = self._clock()
        earned = (now - self._at) * REQUEST_LINES_PER_S
        self._tokens = min(REQUEST_LINES_BURST, self._tokens + earned)
        self._at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self):
        """Returns the number of lines left out, and begins anew."""
        left_out, self.left_out = self.left_out, 0
        return left_out


def setup(level):
    """Logs to standard output.

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
