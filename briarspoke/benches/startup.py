"""Time from the start of ``briarspoke serve`` until it is ready."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from briarspoke.benches import Bound, Report, bench, parts
from briarspoke.clock import monotonic
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument

# Environment variable with the path of a single file built by scripts/build. If it
# is set, the file is measured in addition to the checkout.
FILE_VARIABLE = "BRIARSPOKE_STARTUP_FILE"
HOST = "127.0.0.1"
STARTS = 5
LONG_STARTS = 25
MAX_READY_S = 2.0
# A start that takes longer counts as not ready.
READY_TIMEOUT_S = 15.0
POLL_S = 0.005
STOP_TIMEOUT_S = 10.0
ADMIN_LINE = re.compile(r"node: admin on [0-9.]+:(\d+)")
# Nothing listens on these ports. Readiness does not depend on backend servers.
RESOURCES = {
    "zones": [{"name": "poa"}, {"name": "cwb"}],
    "services": [{"name": "tabela"}],
    "servers": [
        {
            "name": f"tabela-{zone}-{number}",
            "service": "tabela",
            "zone": zone,
            "address": f"127.0.0.1:{port}",
        }
        for port, (zone, number) in enumerate(
            ((zone, number) for zone in ("poa", "cwb") for number in range(1, 8)), 1
        )
    ],
}


@bench("startup")
def startup(*, seed, long):
    """Measures repeated starts from the checkout and from the single file."""
    starts = LONG_STARTS if long else STARTS
    content = ConfigurationDocument.from_configuration(RESOURCES).encode()
    figures, bounds = {}, []
    with parts.Parts() as processes, tempfile.TemporaryDirectory() as directory:
        store = processes.start("store", host=HOST, values={STORE_KEY: content.hex()})
        settings_file = Path(directory, "settings.json")
        settings_file.write_text(json.dumps(_settings(store.ready["port"])))
        for name, command, environment in _programs(directory):
            unpacking_s = _run_version(command, environment)
            serve = [*command, "serve", str(settings_file)]
            times = [_ready_s(serve, environment) for _ in range(starts)]
            slowest = None if None in times else max(times)
            figures[name] = {"version_s": unpacking_s, "ready_s": times}
            bounds.append(
                Bound(name=f"{name}_ready_s", value=slowest, limit=MAX_READY_S)
            )
    return Report(bench="startup", seed=seed, figures=figures, bounds=bounds)


def _programs(directory):
    """Returns a list of (name, command, environment) of the programs to measure."""
    programs = [("checkout", [sys.executable, "-m", "briarspoke"], dict(os.environ))]
    if file := os.environ.get(FILE_VARIABLE):
        environment = {
            # The shebang line of the file needs the interpreter that built it.
            "PATH": f"{sys.base_prefix}/bin:/usr/bin:/bin",
            "HOME": directory,
            "SHIV_ROOT": f"{directory}/cache",
        }
        programs.append(("file", [str(Path(file).resolve())], environment))
    return programs


def _settings(store_port):
    ports = ("caller", "peer", "forward", "admin", "metrics")
    return {
        "node": "entry-1",
        "zone": "poa",
        "store_url": f"http://{HOST}:{store_port}",
        "cluster_key": "bench-cluster-key-only",
        "shutdown_s": 1,
        **{f"{name}_listen": f"{HOST}:0" for name in ports},
    }


def _run_version(command, environment):
    """Runs ``version``, which unpacks the single file, and returns the seconds."""
    start = monotonic()
    subprocess.run(
        [*command, "version"], env=environment, check=True, stdout=subprocess.DEVNULL
    )
    return round(monotonic() - start, 3)


def _ready_s(command, environment):
    """Starts a program and returns the seconds until it is ready.

    :returns: None if it ends or is not ready within ``READY_TIMEOUT_S``.
    """
    start = monotonic()
    with tempfile.TemporaryFile("w+") as log:
        process = subprocess.Popen(command, env=environment, stderr=log)
        try:
            while monotonic() - start < READY_TIMEOUT_S and process.poll() is None:
                if _is_ready(log):
                    return round(monotonic() - start, 3)
                time.sleep(POLL_S)
            return None
        finally:
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _is_ready(log):
    # The process writes at the offset of the shared descriptor, so reading must
    # not move it.
    content = os.pread(log.fileno(), 65_536, 0).decode(errors="replace")
    match = ADMIN_LINE.search(content)
    if match is None:
        return False
    connection = http.client.HTTPConnection(HOST, int(match[1]), timeout=1.0)
    with contextlib.closing(connection):
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
