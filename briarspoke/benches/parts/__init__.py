"""Processes that benches are made of.

Each reads its parameters as the first JSON line of its standard input, prints a
JSON line when it is ready, answers each further line with one, and stops at the
end of its input.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading

from twisted.internet import defer

from briarspoke import loop

STOP_TIMEOUT_S = 5


def run(start):
    """Runs a part in this process.

    :param start: function from (reactor, parameters) to a pair of the JSON
        object to print when ready and a function from a command to its answer
        or a Deferred of it.
    """
    reactor = loop.install()
    ready, handle = start(reactor, json.loads(sys.stdin.readline()))

    def reply(value):
        print(json.dumps(value), flush=True)

    def failed(failure):
        failure.printTraceback()
        reply({"error": failure.getErrorMessage()})

    def command(line):
        defer.maybeDeferred(handle, json.loads(line)).addCallbacks(reply, failed)

    def read():
        for line in sys.stdin:
            reactor.callFromThread(command, line)
        reactor.callFromThread(reactor.stop)

    threading.Thread(target=read, daemon=True).start()
    reactor.callWhenRunning(reply, ready)
    reactor.run()


class Part:
    """A part that runs in a process of its own.

    :param module: name of the module in this package.
    :param parameters: JSON object.
    """

    def __init__(self, module, **parameters):
        self._process = subprocess.Popen(
            [sys.executable, "-m", f"{__name__}.{module}"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.send(parameters)
        self.ready = self.receive()

    def send(self, value):
        """Writes a line without waiting for the answer."""
        self._process.stdin.write(json.dumps(value) + "\n")
        self._process.stdin.flush()

    def receive(self):
        """Returns the next answer."""
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("a process of the bench ended too early")
        return json.loads(line)

    @property
    def pid(self):
        """Process identifier."""
        return self._process.pid

    def pause(self):
        """Freezes the process, as a paused VM is."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        """Lets a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def kill(self):
        """Ends the process at once."""
        self._process.kill()
        self._process.wait()

    def ask(self, **command):
        """Sends a command and returns its answer."""
        self.send(command)
        return self.receive()

    def stop(self):
        """Ends the process."""
        if self._process.poll() is None:
            self.resume()
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.close()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


class Parts:
    """Context manager that ends every part started through it."""

    def __init__(self):
        self._parts = []

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for part in reversed(self._parts):
            part.stop()

    def start(self, module, **parameters):
        """Starts a :class:`Part` and waits until it is ready."""
        part = Part(module, **parameters)
        self._parts.append(part)
        return part
