"""Checks the single-file program: ``check_binary.py SCRATCH``.

It must start in an empty environment, start no child processes, and write nothing to
the home or working directory.
"""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

TIMEOUT_S = 60


def children_of(pid):
    """Returns the ids of the child processes of a process."""
    child_pids = []
    for file in Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            child_pids += file.read_text().split()
        except OSError:
            continue
    return child_pids


def run(scratch, *arguments):
    """Runs the program in an empty environment.

    :returns: (elapsed seconds, set of the ids of child processes seen).
    """
    environment = {
        # The shebang line of the file looks up the interpreter that built it on PATH.
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
        sys.exit(f"{arguments} exited with status {process.returncode}")
    return seconds, children


def main():
    """Runs all checks and exits with status 1 at the first failure."""
    scratch = Path(sys.argv[1])
    unpacking_s, children = run(scratch, "version")
    print(f"first start, unpacking included: {unpacking_s:.2f} s")
    seconds, more = run(scratch, "demo", "--check")
    children |= more
    # The times are only printed, because they depend on the load of the machine; the
    # bench startup checks them.
    print(f"start, four requests and stop: {seconds:.2f} s, {len(children)} children")
    if children:
        sys.exit("the program started child processes")
    for directory in ("home", "work"):
        if list((scratch / directory).iterdir()):
            sys.exit(f"the program wrote to the {directory} directory")


main()
