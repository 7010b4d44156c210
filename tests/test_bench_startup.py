from __future__ import annotations

import sys

from briarspoke.benches import Bound, startup


class TestStartup:
    def test_program_that_ends_is_never_ready(self):
        # Guards against a program that exits immediately and is reported as a fast
        # start.
        command = [sys.executable, "-c", "raise SystemExit(1)"]
        assert startup._ready_s(command, {}) is None
        assert not Bound(name="ready_s", value=None, limit=2.0).holds

    def test_file_is_measured_if_variable_is_set(self, monkeypatch, tmp_path):
        # Guards against a run that measures the checkout instead of the single file.
        monkeypatch.delenv(startup.FILE_VARIABLE, raising=False)
        names = [name for name, _, _ in startup._programs(str(tmp_path))]
        assert names == ["checkout"]
        monkeypatch.setenv(startup.FILE_VARIABLE, "dist/briarspoke")
        programs = startup._programs(str(tmp_path))
        assert [name for name, _, _ in programs] == ["checkout", "file"]
        assert programs[1][2]["SHIV_ROOT"].startswith(str(tmp_path))
