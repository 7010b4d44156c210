"""Logging of an entry VM: limited in rate, and without blocking."""

from __future__ import annotations

import logging
import os
import re
import time

# Limit for lines about single requests; further lines are counted and left out.
REQUEST_LINES_PER_S = 20
REQUEST_LINES_BURST = 60
# Longer values of a field are cut off.
MAX_FIELD_LENGTH = 100

# Control characters, separators of lines and unpaired surrogates, each of which could
# end a line or change how it is shown.
_UNSAFE = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
_PLAIN_FIELD = re.compile(r"[\w.:/+@,*-]+")


def _escape(match):
    return match[0].encode("unicode_escape", "surrogatepass").decode("ascii")


def field(text):
    """Returns text of others as the value of a field, quoted if it is not one word."""
    if len(text) > MAX_FIELD_LENGTH:
        text = text[:MAX_FIELD_LENGTH] + "..."
    return text if _PLAIN_FIELD.fullmatch(text) else repr(text)


class OneLineFormatter(logging.Formatter):
    """Escapes what could end a line of the message; tracebacks stay as they are."""

    def formatMessage(self, record):
        return _UNSAFE.sub(_escape, super().formatMessage(record))


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
            line = self.format(record).encode(errors="backslashreplace")
            os.write(self._descriptor, line + b"\n")
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            # An error here must not reach the code that logs.
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
    formatter = OneLineFormatter(
        "%(asctime)s.%(msecs)03dZ %(levelname)s %(message)s", "%Y-%m-%dT%H:%M:%S"
    )
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    return handler
