"""How long keys are unavailable after a single loss, in virtual time."""

from __future__ import annotations

from briarspoke.benches import percentile
from briarspoke.benches.ownership_scenario import Scenario

TRIALS = 15
WATCH_S = 12.0
STEP_S = 0.005


class Takeover:
    """Times of one loss in seconds, None if it did not happen.

    :param written: from the loss to the accepted document without the lost owner.
    :param granted: from there until the new owners hold their grants.
    :param known: from there until every entry VM routes by the document.
    """

    __slots__ = ("granted", "known", "written")

    def __init__(self):
        self.written = None
        self.granted = None
        self.known = None

    @property
    def total(self):
        """Time until the keys are served again."""
        if None in (self.written, self.granted, self.known):
            return None
        return self.written + max(self.granted, self.known)


class _Watch:
    """Follows the partitions that a server owned when it was lost."""

    def __init__(self, scenario, server):
        self.world = scenario.world
        self.service = server.name.rsplit("-", 2)[0]
        self.server = server
        self.lost_at = self.world.scheduler.now
        document = scenario.documents[self.service]
        self.numbers = sorted(document.owned_by(server.name))
        self.takeover = Takeover()
        self._written_at = None
        self._scenario = scenario

    def look(self):
        """Notes what has become true."""
        now = self.world.scheduler.now
        document = self._scenario.documents[self.service]
        partitions = [document.partitions[n] for n in self.numbers]
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
            for n, p in zip(self.numbers, partitions, strict=True)
        )

    def _is_known(self, document):
        return all(
            node.table.version(self.service) >= document.version
            for node in self.world.nodes_by_name.values()
            if node.alive
        )


def _trial(seed, service, lose):
    scenario = Scenario(seed=seed)
    scheduler = scenario.world.scheduler
    scheduler.run_until(4.0 + scenario.random.random())
    server = scenario.world.servers_by_name[f"{service}-poa-0"]
    watch = _Watch(scenario, server)
    lose(scenario, server)
    end = scheduler.now + WATCH_S
    while scheduler.now < end and watch.takeover.total is None:
        scheduler.run_until(scheduler.now + STEP_S)
        watch.look()
    return watch.takeover


def _kill(scenario, server):
    server.kill()


def _freeze(scenario, server):
    server.freeze()


def _controller(scenario):
    return next(
        node
        for node in scenario.world.nodes_by_name.values()
        if node.controllers["poa"].active
    )


def _kill_both(scenario, server):
    server.kill()
    node = _controller(scenario)
    node.kill()
    scenario.world.list_vm(node.name, "terminated")


def _kill_entry_vm_too(scenario, server):
    server.kill()
    node = next(
        node
        for node in scenario.world.nodes_by_name.values()
        if not any(c.active for c in node.controllers.values())
    )
    node.kill()


CASES = {
    "fenced server killed": ("fenced-hold", _kill),
    "fenced server frozen": ("fenced-hold", _freeze),
    "unfenced server killed": ("open-hold", _kill),
    "unfenced server and an entry VM killed": ("open-hold", _kill_entry_vm_too),
    "fenced server and controller killed, hold": ("fenced-hold", _kill_both),
    "fenced server and controller killed, 2 s": ("fenced-move", _kill_both),
}


def takeover_figures(seed, trials=TRIALS):
    """Returns figures in seconds per case: median and largest, term by term."""
    figures = {}
    for name, (service, lose) in CASES.items():
        found = [_trial(seed * 1000 + n, service, lose) for n in range(trials)]
        terms = {}
        for term in ("written", "granted", "known", "total"):
            values = [getattr(t, term) for t in found if getattr(t, term) is not None]
            terms[term] = {
                "median": _rounded(percentile(values, 0.5)),
                "largest": _rounded(max(values, default=None)),
            }
        terms["not_served"] = sum(t.total is None for t in found)
        figures[name] = terms
    return figures


def controller_gaps(seed, trials=TRIALS):
    """Returns the longest time without a grant after a controller's loss."""
    gaps = []
    for number in range(trials):
        scenario = Scenario(seed=seed * 1000 + number)
        scheduler = scenario.world.scheduler
        scheduler.run_until(4.0 + scenario.random.random())
        _controller(scenario).kill()
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
        for service, document in scenario.documents.items()
        if service.startswith("fenced")
        for n, p in enumerate(document.partitions)
    )


def _rounded(value):
    return None if value is None else round(value, 3)
