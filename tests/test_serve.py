from __future__ import annotations

import http.client
import json
import re
import signal
import subprocess
import sys
import threading

import pytest

# Only ends a process that hangs; no assertion depends on it.
KILL_AFTER_S = 60
# Nothing listens on the discard port of the loopback range used here.
NO_STORE = "http://127.0.99.99:9"
LISTENERS = ("caller", "peer", "forward", "admin", "metrics")


class Served:
    """A ``serve`` process and the ports that its log names."""

    def __init__(self, file):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "briarspoke", "serve", str(file)],
            stderr=subprocess.PIPE,
            text=True,
        )
        self._killer = threading.Timer(KILL_AFTER_S, self.process.kill)
        self._killer.start()
        self.ports = {}
        for line in self.process.stderr:
            if found := re.search(r"node: (\w+) on 127\.0\.0\.1:(\d+)", line):
                self.ports[found[1]] = int(found[2])
            if "callers" in self.ports:
                break

    def get(self, name, path):
        """Returns (status, JSON) of a call."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[name])
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, json.loads(response.read())

    def stop(self):
        """Sends SIGTERM and returns the exit status."""
        self.process.send_signal(signal.SIGTERM)
        self.process.stderr.read()
        status = self.process.wait()
        self._killer.cancel()
        return status


@pytest.fixture
def served(tmp_path):
    settings = {
        "node": "entry-1",
        "zone": "poa",
        "store_url": NO_STORE,
        "cluster_key": "a cluster key for tests",
        "shutdown_s": 1,
        **{f"{name}_listen": "127.0.0.1:0" for name in LISTENERS},
    }
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(settings))
    found = Served(file)
    yield found
    found.process.kill()
    found.process.wait()
    found.process.stderr.close()


class TestServe:
    def test_without_store_and_peers(self, served):
        # Guards against a node that cannot be asked, or that claims to be ready,
        # before it has a configuration.
        assert served.get("admin", "/v1/healthz")[0] == 200
        assert served.get("admin", "/v1/readyz")[0] == 503
        status, body = served.get("callers", "/tabela/1")
        assert (status, body["code"], body["run"]) == (503, 3008, "no")
        assert served.stop() == 0
