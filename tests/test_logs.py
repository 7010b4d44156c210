from __future__ import annotations

import subprocess
import sys

SCRIPT = """
import logging
from briarspoke import logs
logs.setup("info")
from twisted.logger import Logger
from twisted.python import failure
logging.getLogger("briarspoke.node").info("node: is ready")
logging.getLogger("briarspoke.node").debug("node: hidden")
Logger("twisted.x").info("hidden factory noise")
Logger("twisted.x").failure("lost", failure.Failure(ValueError("reason")))
"""


class TestLogs:
    def test_one_stream_for_all(self):
        # Guards against unhandled errors in Deferreds that are not logged.
        run = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True
        )
        assert run.stdout == ""
        assert "INFO    node: is ready" in run.stderr
        assert "ValueError: reason" in run.stderr
        assert "hidden" not in run.stderr
