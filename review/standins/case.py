"""Frame of a case: its record, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback

from standins.deployment import Deployment

TIME_LIMIT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines about what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._lines = []
        self._path = path
        self._started_at = time.monotonic()

    def add(self, text):
        """Adds a line."""
        self._lines.append(f"{time.monotonic() - self._started_at:8.3f} {text}")

    def write(self):
        """Writes the record to its file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


def main(file, check):
    """Runs a case and exits with its status.

    :param file: ``__file__`` of the case, in whose folder the record is written.
    :param check: coroutine function of (deployment, record, whether there is trouble)
        that returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    status = NOT_RUN
    try:
        status = asyncio.run(_run(check, record, trouble))
    except (Exception, asyncio.CancelledError):
        record.add("the case could not run: " + traceback.format_exc())
    record.add(f"exit status {status}")
    record.write()
    sys.exit(status)


async def _run(check, record, trouble):
    deployment = Deployment()
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            broken = await check(deployment, record, trouble)
    finally:
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            for vm in deployment.vms:
                text = pathlib.Path(vm.log_path).read_text()
                (pathlib.Path(logs) / f"{vm.name}.log").write_text(text)
        deployment.close()
    return BROKEN if broken else HELD
