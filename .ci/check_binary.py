"""Checks what the single file promises: run as ``check_binary.py SCRATCH``."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

TIMEOUT_S = 60


def children_of(pid):
    """Returns the process ids of the children of a process."""
    child_pids = []
    for file in Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            child_pids += file.read_text().split()
        except OSError:
            continue
    return child_pids


def run(scratch, *arguments):
    """Runs the file with an empty environment; returns (seconds, children)."""
    environment = {
        # The file's first line looks for the interpreter that built it.
        "PATH": f"{sys.base_prefix}/bin:/usr/bin:/bin",
        "HOME": str(scratch / "home"),
        "SHIV_ROOT": str(scratch / "cache"),
    }
    children = set()
    start = time.monotonic()
    process = subprocess.Popen([scratch / "briarspoke", *arguments], env=environment)
    while process.poll() is None:
        children.update(children_of(process.pid))
        if time.monotonic() - start > TIMEOUT_S:
            process.kill()
        time.sleep(0.002)
    seconds = time.monotonic() - start
    if process.returncode != 0:
        sys.exit(f"{arguments} ended with {process.returncode}")
    return seconds, children


def main():
    """Runs every check and exits with 1 at the first that fails."""
    scratch = Path(sys.argv[1])
    unpacking_s, children = run(scratch, "version")
    print(f"first start, unpacking included: {unpacking_s:.2f} s")
    seconds, more = run(scratch, "demo", "--check")
    children |= more
    # Judged by the bench startup: a time depends on the load of the machine.
    print(f"start, four requests and stop: {seconds:.2f} s, {len(children)} children")
    if children:
        sys.exit("the program has child processes")
    for directory in ("home", "work"):
        if list((scratch / directory).iterdir()):
            sys.exit(f"the program wrote into {directory}")


main()
