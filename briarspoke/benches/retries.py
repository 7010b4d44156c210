"""Retries while all servers refuse requests, stall or drop connections."""

from __future__ import annotations

import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.parts import Parts
from briarspoke.benches.proxy import configuration_of
from briarspoke.clock import monotonic

SERVERS = 4
SLOTS = 4
SERVICE_S_BY_RANK = {"lookup": 0.02, "booking": 0.02, "bulk": 0.02}
# Half of the 800 requests/s that the servers can run.
RATE_BY_METHOD = {"GET": 280.0, "POST": 120.0}
BEFORE_S = 3.0
FAULT_S = 3.0
AFTER_S = 5.0
FAULTS = ("refuse", "stall", "drop")
LONG_ROUNDS = 4
MAX_ATTEMPTS_PER_REQUEST = 1.1
MAX_RECOVERY_S = 2.0
RECOVERED_SHARE = 0.95
# Goodput before a fault is measured over this time.
GOODPUT_BEFORE_S = 1.0
# Recovery is checked in windows of this length, about 200 requests each.
WINDOW_S = 0.5
WINDOW_STEP_S = 0.05
# Twisted's default.
BACKLOG = 50
SERVICE = {
    "name": "tabela",
    "fenced": True,
    "ranks": {"lookup": {"deadline_ms": 1000}, "booking": {"deadline_ms": 2000}},
}


class _Stack:
    """Servers, entry VM and load generator of one variant."""

    def __init__(self, processes, *, seed, variant):
        names = [f"server-{number}" for number in range(SERVERS)]
        self.backends = processes.start(
            "backend",
            names=names,
            slots=SLOTS,
            service_s_by_rank=SERVICE_S_BY_RANK,
            answer_bytes=0,
            switchable=True,
        )
        ports_by_name = dict(zip(names, self.backends.ready["ports"], strict=True))
        self.entry = processes.start(
            "entry",
            node="entry-1",
            zone="poa",
            configuration=configuration_of(ports_by_name, service=SERVICE, slots=SLOTS),
            seed=seed,
            variant=variant,
            backlog=BACKLOG,
        )
        self.load = processes.start("streams", port=self.entry.ready["port"], seed=seed)
        self.windows = []

    def begin(self, start_at, duration_s):
        """Starts the load of the whole run."""
        streams = [
            {
                "name": method,
                "method": method,
                "path": "/tabela",
                "rate": rate,
                "poisson": False,
            }
            for method, rate in RATE_BY_METHOD.items()
        ]
        self.load.send(
            {
                "streams": streams,
                "start_at": start_at,
                "duration_s": duration_s,
                "grace_s": 2.5,
            }
        )

    def switch(self, fault):
        """Sets the fault of all servers.

        :returns: time of the change, and the counters before it.
        """
        counters = self.counters()
        return self.backends.ask(mode=fault)["at"], counters

    def counters(self):
        """Returns the counters of the entry VM."""
        answer = self.entry.ask()
        return {**answer["counters"], "slots_held": answer["slots_held"]}


class _FaultWindow:
    """Times and counters at the start and end of a fault."""

    __slots__ = ("began", "counters_after", "counters_before", "ended", "fault")

    def __init__(self, fault, began, counters_before):
        self.fault = fault
        self.began = began
        self.counters_before = counters_before
        self.ended = None
        self.counters_after = None

    def attempts_per_request(self):
        """Returns the attempts per attempted request during the fault.

        Requests that were refused before their first attempt are excluded, as
        they would lower the figure.
        """
        first = self._increase("first_attempts_total")
        if not first:
            return None
        return round((first + self._increase("retries_total")) / first, 4)

    def _increase(self, name):
        return _total(self.counters_after, name) - _total(self.counters_before, name)


def _total(counters, name):
    return sum(counters[name].values())


def _sleep_until(at):
    time.sleep(max(0.0, at - monotonic()))


def _run_faults(stacks, rounds):
    start_at = monotonic() + 0.2
    faults = FAULTS * rounds
    duration_s = BEFORE_S + len(faults) * (FAULT_S + AFTER_S)
    for stack in stacks:
        stack.begin(start_at, duration_s)
    at = start_at + BEFORE_S
    for fault in faults:
        _sleep_until(at)
        for stack in stacks:
            began, counters = stack.switch(fault)
            stack.windows.append(_FaultWindow(fault, began, counters))
        _sleep_until(at + FAULT_S)
        for stack in stacks:
            window = stack.windows[-1]
            window.ended, window.counters_after = stack.switch("none")
        at += FAULT_S + AFTER_S
    return start_at


def _goodput(answered_at, begin, end):
    return sum(begin <= at < end for at in answered_at) / (end - begin)


def _recovery_s(answered_at, goodput_before, ended):
    """Returns the seconds from the end of a fault until goodput has recovered.

    :returns: None if goodput did not recover before the next fault.
    """
    steps = int((AFTER_S - WINDOW_S) / WINDOW_STEP_S)
    for step in range(steps):
        begin = ended + step * WINDOW_STEP_S
        if (
            _goodput(answered_at, begin, begin + WINDOW_S)
            >= RECOVERED_SHARE * goodput_before
        ):
            return round(step * WINDOW_STEP_S, 2)
    return None


def _figures(stack, start_at):
    records = [
        record for records in stack.load.receive().values() for record in records
    ]
    answered_at = sorted(
        start_at + due + elapsed_s
        for due, elapsed_s, status, _ in records
        if status == 200
    )
    windows = []
    for window in stack.windows:
        # While a backlog drains, answers arrive faster than requests are sent.
        goodput_before = min(
            sum(RATE_BY_METHOD.values()),
            _goodput(answered_at, window.began - GOODPUT_BEFORE_S, window.began),
        )
        steady_from = window.ended + MAX_RECOVERY_S
        windows.append(
            {
                "fault": window.fault,
                "attempts_per_request": window.attempts_per_request(),
                "goodput_before": round(goodput_before, 1),
                "goodput_during": round(
                    _goodput(answered_at, window.began, window.ended), 1
                ),
                "goodput_after_2s": round(
                    _goodput(answered_at, steady_from, window.ended + AFTER_S - 0.1), 1
                ),
                "recovery_s": _recovery_s(answered_at, goodput_before, window.ended),
            }
        )
    counters = stack.counters()
    first = _total(counters, "first_attempts_total")
    attempts = first + _total(counters, "retries_total")
    return {
        "requests": _total(counters, "requests_total"),
        "attempts_per_request": round(attempts / first, 4),
        "arrivals_at_servers": stack.backends.ask()["arrivals"],
        "faults": windows,
        "counters": counters,
    }


def _bounds(figures):
    bounds = [
        Bound(
            name="attempts per request, whole run",
            value=figures["attempts_per_request"],
            limit=MAX_ATTEMPTS_PER_REQUEST,
        )
    ]
    for window in figures["faults"]:
        fault = window["fault"]
        goodput_before = window["goodput_before"]
        bounds += [
            Bound(
                name=f"attempts per request while servers {fault}",
                value=window["attempts_per_request"],
                limit=MAX_ATTEMPTS_PER_REQUEST,
            ),
            Bound(
                name=f"seconds to 95% of goodput after {fault}",
                value=window["recovery_s"],
                limit=MAX_RECOVERY_S,
            ),
            Bound(
                name=f"goodput from 2 s after {fault} on, over before",
                value=round(window["goodput_after_2s"] / goodput_before, 4)
                if goodput_before
                else None,
                limit=RECOVERED_SHARE,
                at_most=False,
            ),
        ]
    return bounds


@bench("retries")
def retries(*, seed, long):
    """Compares attempts and recovery in an outage with naive retries."""
    with Parts() as processes:
        stacks = {
            "briarspoke": _Stack(processes, seed=seed, variant=None),
            "naive": _Stack(processes, seed=seed, variant="naive-retries"),
        }
        start_at = _run_faults(list(stacks.values()), LONG_ROUNDS if long else 1)
        figures = {
            variant: _figures(stack, start_at) for variant, stack in stacks.items()
        }
    return Report(
        bench="retries",
        seed=seed,
        figures=figures,
        bounds=_bounds(figures["briarspoke"]),
    )
