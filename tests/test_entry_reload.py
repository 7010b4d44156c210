"""Reload of the settings while the process runs."""

from __future__ import annotations

import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from entry_fakes import SETTINGS, World, configuration

from briarspoke.entry.reload import SettingsReload

START_TIMEOUT_S = 20.0


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    return path


class TestReload:
    @pytest.fixture
    def world(self, file):
        world = World()
        world.store.put("op/config", configuration())
        world.add_server("orders", 21)
        world.node = world.add_node()
        world.advance(1.0)
        world.reload = SettingsReload(node=world.node, path=file)
        yield world
        logging.getLogger().setLevel(logging.WARNING)

    def write(self, file, **changes):
        file.write_text(json.dumps({**SETTINGS, **changes}))
        os.utime(file, ns=(1, 1))

    def test_changed_file_is_applied_without_a_signal(self, world, file):
        self.write(file, drain_s="3s", retry_ratio=0.0, retry_slack=0)
        world.reload.check()
        assert world.node.settings.drain_s == 3.0
        budget = world.node.dispatcher("orders").budget
        budget.count_request(100.0)
        assert not budget.spend(100.0, 1)

    def test_unusable_file_changes_nothing(self, world, file, caplog):
        # Guards against a process that ends or applies only a part of the settings when
        # the file has problems.
        file.write_text("{")
        world.reload.reload()
        assert world.node.settings.drain_s == 2.0
        assert "settings kept" in caplog.text

    def test_settings_that_need_a_restart_are_logged_and_not_applied(
        self, world, file, caplog
    ):
        caplog.set_level(logging.INFO)
        self.write(file, zone="cwb")
        world.reload.reload()
        assert world.node.settings.zone == "poa"
        assert "need_restart=zone" in caplog.text


class TestSignal:
    def test_process_survives_sighup(self, tmp_path):
        # Guards against a missing handler of SIGHUP, whose default action ends the
        # process.
        def free_port():
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                return probe.getsockname()[1]

        names = ("caller_listen", "ready_listen", "store")
        ports = {name: f"127.0.0.1:{free_port()}" for name in names}
        values = {
            **SETTINGS,
            **ports,
            "ip": "127.0.0.1",
            "internal_port": free_port(),
            "metrics_port": free_port(),
        }
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(values))
        output = (tmp_path / "output").open("w+b")
        process = subprocess.Popen(
            [sys.executable, "-m", "briarspoke.entry.process"],
            env={**os.environ, "BRIARSPOKE_NODE_FILE": str(path)},
            stdout=output,
            stderr=subprocess.STDOUT,
        )

        def wait_for(text):
            give_up_at = time.monotonic() + START_TIMEOUT_S
            while time.monotonic() < give_up_at:
                output.seek(0)
                if text in output.read():
                    return True
                time.sleep(0.05)
            return False

        try:
            assert wait_for(b"entry: starts")
            process.send_signal(signal.SIGHUP)
            assert wait_for(b"entry: settings read")
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()
            output.close()
