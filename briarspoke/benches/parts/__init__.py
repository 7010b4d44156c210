"""Child processes of the benches.

A part reads its parameters as one JSON line from standard input and prints a JSON
line when it is ready. It then answers each command line with one JSON line, and
stops at the end of its input.
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
    """Runs a part in this process until its standard input ends.

    :param start: function that takes the reactor and the parameters. It returns
        the JSON object to print when ready, and a function that takes a command
        and returns its answer or a Deferred of the answer.
    """
    reactor = loop.install()
    ready, handle = start(reactor, json.loads(sys.stdin.readline()))

    def reply(value):
        print(json.dumps(value), flush=True)

    def failed(failure):
        failure.printTraceback()
        reply({"error": failure.getErrorMessage()})

    def run_command(line):
        defer.maybeDeferred(handle, json.loads(line)).addCallbacks(reply, failed)

    def read_commands():
        for line in sys.stdin:
            reactor.callFromThread(run_command, line)
        reactor.callFromThread(reactor.stop)

    threading.Thread(target=read_commands, daemon=True).start()
    reactor.callWhenRunning(reply, ready)
    reactor.run()


class Part:
    """A child process that runs one part.

    :param module: name of the module in this package.
    :param parameters: JSON object that the process reads as its first line.
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
        """Writes a JSON line without waiting for the answer."""
        self._process.stdin.write(json.dumps(value) + "\n")
        self._process.stdin.flush()

    def receive(self):
        """Returns the next answer, and waits for it.

        :raises RuntimeError: if the process has ended.
        """
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("a process of the bench ended without an answer")
        return json.loads(line)

    @property
    def pid(self):
        """Identifier of the process."""
        return self._process.pid

    def pause(self):
        """Suspends the process with SIGSTOP, which simulates a paused VM."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        """Resumes a suspended process."""
        os.kill(self.pid, signal.SIGCONT)

    def kill(self):
        """Kills the process with SIGKILL and waits for its end."""
        self._process.kill()
        self._process.wait()

    def ask(self, **command):
        """Sends a command and returns its answer."""
        self.send(command)
        return self.receive()

    def stop(self):
        """Closes the input of the process, and kills it after a timeout."""
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
    """Context manager that stops every part started through it."""

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
