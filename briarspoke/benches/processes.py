"""Starts, asks and stops the processes of a bench."""

from __future__ import annotations

import json
import subprocess
import sys

STOP_TIMEOUT_S = 3.0


class Process:
    """A process that runs :mod:`briarspoke.standins.process`.

    :param role: ``entry``, ``backends`` or ``load``.
    :param spec: specification of the role as JSON.
    """

    def __init__(self, role, spec):
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "briarspoke.standins.process", role],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.tell(spec)
        self.ready = self.hear()

    def tell(self, command):
        """Sends a command; its answer has to be read with :meth:`hear`."""
        self._popen.stdin.write(json.dumps(command) + "\n")
        self._popen.stdin.flush()

    def hear(self):
        """Returns the next answer; waits for it."""
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError(f"bench process ended with {self._popen.wait()}")
        return json.loads(line)

    def ask(self, command):
        """Sends a command and returns its answer."""
        self.tell(command)
        return self.hear()

    def stop(self):
        """Ends the process."""
        self._popen.stdin.close()
        try:
            self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()
        self._popen.stdout.close()


class Processes:
    """Context manager that stops every process it has started."""

    def __init__(self):
        self._started = []

    def start(self, role, **spec):
        """Starts a process and waits until it is ready."""
        process = Process(role, spec)
        self._started.append(process)
        return process

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in reversed(self._started):
            process.stop()
