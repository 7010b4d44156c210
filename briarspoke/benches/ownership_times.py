"""Measures the unavailability of keys after a single loss in virtual time."""

from __future__ import annotations

from briarspoke.benches import percentile
from briarspoke.benches.ownership_scenario import Scenario

TRIALS = 15
OBSERVATION_S = 12.0
STEP_S = 0.005


class Takeover:
    """Durations of a takeover in seconds; None for a phase that did not end.

    :ivar written: from the loss until the store accepts the document without the
        lost owner.
    :ivar granted: from that write until the new owners hold their grants.
    :ivar known: from that write until every entry VM routes by the document.
    """

    __slots__ = ("granted", "known", "written")

    def __init__(self):
        self.written = None
        self.granted = None
        self.known = None

    @property
    def total(self):
        """Seconds from the loss until the keys are served again, or None."""
        if None in (self.written, self.granted, self.known):
            return None
        return self.written + max(self.granted, self.known)


class _TakeoverObserver:
    """Observes the takeover of the partitions that a lost server owned."""

    def __init__(self, scenario, server):
        self.world = scenario.world
        self.service = server.name.rsplit("-", 2)[0]
        self.server = server
        self.lost_at = self.world.scheduler.now
        document = scenario.documents_by_service[self.service]
        self.partition_numbers = sorted(document.owned_by(server.name))
        self.takeover = Takeover()
        self._written_at = None
        self._scenario = scenario

    def update(self):
        """Records the phases that have ended."""
        now = self.world.scheduler.now
        document = self._scenario.documents_by_service[self.service]
        partitions = [document.partitions[n] for n in self.partition_numbers]
        if any(p.owner == self.server.name or p.state for p in partitions):
            return
        if self._written_at is None:
            self._written_at = now
            self.takeover.written = now - self.lost_at
        since_s = now - self._written_at
        if self.takeover.granted is None and self._is_granted(partitions):
            self.takeover.granted = since_s
        if self.takeover.known is None and self._is_known(document):
            self.takeover.known = since_s

    def _is_granted(self, partitions):
        if not self.server.fenced:
            return True
        return all(
            self.world.servers_by_name[p.owner].table.holds(
                f"{self.service}/{n}", p.epoch
            )
            for n, p in zip(self.partition_numbers, partitions, strict=True)
        )

    def _is_known(self, document):
        return all(
            node.table.version(self.service) >= document.version
            for node in self.world.nodes_by_name.values()
            if node.alive
        )


def _trial(seed, service, inject_loss):
    scenario = Scenario(seed=seed)
    scheduler = scenario.world.scheduler
    scheduler.run_until(4.0 + scenario.random.random())
    server = scenario.world.servers_by_name[f"{service}-poa-0"]
    observer = _TakeoverObserver(scenario, server)
    inject_loss(scenario, server)
    end = scheduler.now + OBSERVATION_S
    while scheduler.now < end and observer.takeover.total is None:
        scheduler.run_until(scheduler.now + STEP_S)
        observer.update()
    return observer.takeover


def _kill_server(scenario, server):
    server.kill()


def _freeze_server(scenario, server):
    server.freeze()


def _controller_node(scenario):
    return next(
        node
        for node in scenario.world.nodes_by_name.values()
        if node.controllers["poa"].active
    )


def _kill_server_and_controller(scenario, server):
    server.kill()
    node = _controller_node(scenario)
    node.kill()
    scenario.world.report_vm_state(node.name, "terminated")


def _kill_server_and_entry_vm(scenario, server):
    server.kill()
    node = next(
        node
        for node in scenario.world.nodes_by_name.values()
        if not any(c.active for c in node.controllers.values())
    )
    node.kill()


CASES = {
    "fenced server killed": ("fenced-hold", _kill_server),
    "fenced server frozen": ("fenced-hold", _freeze_server),
    "unfenced server killed": ("open-hold", _kill_server),
    "unfenced server and an entry VM killed": ("open-hold", _kill_server_and_entry_vm),
    "fenced server and controller killed, hold": (
        "fenced-hold",
        _kill_server_and_controller,
    ),
    "fenced server and controller killed, 2 s": (
        "fenced-move",
        _kill_server_and_controller,
    ),
}


def takeover_figures(seed, trials=TRIALS):
    """Returns the median and largest seconds of each phase, by case."""
    figures = {}
    for name, (service, inject_loss) in CASES.items():
        takeovers = [
            _trial(seed * 1000 + n, service, inject_loss) for n in range(trials)
        ]
        phases = {}
        for phase in ("written", "granted", "known", "total"):
            values = [
                getattr(t, phase) for t in takeovers if getattr(t, phase) is not None
            ]
            phases[phase] = {
                "median": _rounded(percentile(values, 0.5)),
                "largest": _rounded(max(values, default=None)),
            }
        phases["not_served"] = sum(t.total is None for t in takeovers)
        figures[name] = phases
    return figures


def controller_gaps(seed, trials=TRIALS):
    """Returns median and largest seconds without a grant after a controller's loss."""
    gaps = []
    for number in range(trials):
        scenario = Scenario(seed=seed * 1000 + number)
        scheduler = scenario.world.scheduler
        scheduler.run_until(4.0 + scenario.random.random())
        _controller_node(scenario).kill()
        gap = longest = 0.0
        end = scheduler.now + 6.0
        while scheduler.now < end:
            scheduler.run_until(scheduler.now + STEP_S)
            gap = 0.0 if _all_held(scenario) else gap + STEP_S
            longest = max(longest, gap)
        gaps.append(longest)
    return {
        "median": _rounded(percentile(gaps, 0.5)),
        "largest": _rounded(max(gaps)),
    }


def _all_held(scenario):
    return all(
        scenario.world.servers_by_name[p.owner].table.holds(f"{service}/{n}", p.epoch)
        for service, document in scenario.documents_by_service.items()
        if service.startswith("fenced")
        for n, p in enumerate(document.partitions)
    )


def _rounded(value):
    return None if value is None else round(value, 3)
