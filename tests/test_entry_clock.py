from __future__ import annotations

import json
import socket
import subprocess
import sys

from entry_fakes import SETTINGS

TIMEOUT_S = 30
# Runs an entry VM, sets the time of day back while a timer of 0.2 s is pending, and
# prints whether the timer fires within 3 s.
PROGRAM = """
import os, sys, threading, time

read_time, offset_s = time.time, [0.0]
time.time = lambda: read_time() + offset_s[0]

def set_time_back():
    while not getattr(sys.modules.get("twisted.internet.reactor"), "running", False):
        time.sleep(0.05)
    from twisted.internet import reactor
    fired = threading.Event()
    reactor.callFromThread(reactor.callLater, 0.2, fired.set)
    time.sleep(0.1)
    offset_s[0] = -6.0
    print("fired" if fired.wait(3.0) else "late", flush=True)
    os._exit(0)

from briarspoke.entry import process
threading.Thread(target=set_time_back, daemon=True).start()
process.run(sys.argv[1])
"""


class TestTimersAfterTheTimeOfDayWasSet:
    """Guards against a VM that stands still because its time of day is set back."""

    def test_timer_of_the_entry_process_fires_in_time(self, tmp_path):
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(5)]
        ports = [s.getsockname()[1] for s in sockets]
        for open_socket in sockets:
            open_socket.close()
        values = {
            **SETTINGS,
            "ip": "127.0.0.1",
            "caller_listen": f"127.0.0.1:{ports[0]}",
            "ready_listen": f"127.0.0.1:{ports[1]}",
            "store": f"127.0.0.1:{ports[2]}",
            "internal_port": ports[3],
            "metrics_port": ports[4],
        }
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(values))
        completed = subprocess.run(
            [sys.executable, "-c", PROGRAM, str(path)],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=True,
        )
        assert completed.stdout.splitlines()[-1] == "fired"
