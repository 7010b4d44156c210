from __future__ import annotations

from briarspoke.entry.timeofday import TimeOfDay


class TestStep:
    """Guards against a set clock that no line or metric shows."""

    def test_step_is_counted_once_and_logged(self, caplog):
        times = {"clock": 50.0, "day": 1e9}
        time_of_day = TimeOfDay(
            clock=lambda: times["clock"], time_of_day=lambda: times["day"]
        )
        times.update(clock=50.05, day=1e9 - 5.95)
        time_of_day.check()
        times.update(clock=50.10, day=1e9 - 5.90)
        time_of_day.check()
        assert time_of_day.steps == 1
        assert "entry: time of day set step_ms=-6000" in caplog.text
