from __future__ import annotations

import http.client
import json
import re
import signal
import subprocess
import sys
import threading

import pytest

# Ends a process that hangs; no assertion depends on it.
KILL_AFTER_S = 60
# Nothing listens on the discard port of this loopback address.
NO_STORE = "http://127.0.99.99:9"
LISTENERS = ("caller", "peer", "forward", "admin", "metrics")


class ServeProcess:
    """A ``serve`` process, with its ports by name as read from its log."""

    def __init__(self, file):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "briarspoke", "serve", str(file)],
            stderr=subprocess.PIPE,
            text=True,
        )
        self._kill_timer = threading.Timer(KILL_AFTER_S, self.process.kill)
        self._kill_timer.start()
        self.ports = {}
        for line in self.process.stderr:
            if found := re.search(r"node: (\w+) on 127\.0\.0\.1:(\d+)", line):
                self.ports[found[1]] = int(found[2])
            if "callers" in self.ports:
                break

    def get(self, name, path):
        """Returns (status, decoded JSON body) of a GET request to a port."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[name])
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, json.loads(response.read())

    def stop(self):
        """Sends SIGTERM and returns the exit status."""
        self.process.send_signal(signal.SIGTERM)
        self.process.stderr.read()
        status = self.process.wait()
        self._kill_timer.cancel()
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
    serve_process = ServeProcess(file)
    yield serve_process
    serve_process.process.kill()
    serve_process.process.wait()
    serve_process.process.stderr.close()


class TestServe:
    def test_without_store_and_peers(self, served):
        # Guards against a node without a configuration that does not answer health
        # checks, or that reports itself ready.
        assert served.get("admin", "/v1/healthz")[0] == 200
        assert served.get("admin", "/v1/readyz")[0] == 503
        status, body = served.get("callers", "/tabela/1")
        assert (status, body["code"], body["run"]) == (503, 3008, "no")
        assert served.stop() == 0
