"""An entry VM of a bench: the data path alone, without platform and links."""

from __future__ import annotations

import cProfile
import pstats
import random
import resource

from twisted.internet import task

from briarspoke import clock
from briarspoke.benches import parts
from briarspoke.benches.parts.naive import VARIANTS
from briarspoke.configuration.snapshot import Configuration
from briarspoke.http.callers import CallerFactory
from briarspoke.http.peers import PeerFactory
from briarspoke.http.router import TICK_S, Router
from briarspoke.metrics import Metrics
from briarspoke.retry.policy import Backoff
from briarspoke.standins.demo import static_ownership

_RSS_SAMPLE_S = 0.05
_BACKLOG = 1024
_COUNTERS = (
    "requests_total",
    "answers_total",
    "refusals_total",
    "first_attempts_total",
    "attempts_total",
    "retries_total",
    "retries_denied_total",
    "forwards_total",
    "invariants_total",
)
_PAGE_BYTES = resource.getpagesize()
_PROFILE_GROUPS = {
    "twisted/web": "twisted.web",
    "twisted/internet": "twisted.internet",
    "twisted": "twisted, other",
    "briarspoke/http": "briarspoke.http",
    "briarspoke/admission": "briarspoke.admission",
    "briarspoke": "briarspoke, other",
}


class _Peer:
    def __init__(self, *, node_id, zone, forward_host, forward_port):
        self.node_id = node_id
        self.zone = zone
        self.forward_host = forward_host
        self.forward_port = forward_port


def _rss_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def _run_delay_s():
    """Returns the seconds that this process was runnable but waited for a core."""
    with open("/proc/self/schedstat") as file:
        return int(file.read().split()[1]) / 1e9


class _Entry:
    """Router and ports of one entry VM.

    The parameter ``variant`` is a name in :data:`VARIANTS`, ``seed`` makes the
    jitter of the retry backoff reproducible, and ``backlog`` is the backlog of the
    listening sockets.
    """

    def __init__(self, reactor, parameters):
        self.router = Router(
            reactor=reactor,
            clock=clock.monotonic,
            metrics=Metrics(node_id=parameters["node"]),
            node_id=parameters["node"],
            zone=parameters["zone"],
            cluster_key="bench-cluster-key-only",
        )
        if "seed" in parameters:
            self.router.backoff = Backoff(random=random.Random(parameters["seed"]))
        if parameters.get("variant") is not None:
            VARIANTS[parameters["variant"]](self.router)
        problems = []
        configuration = Configuration.from_json(
            parameters["configuration"], problems, version=1
        )
        if problems:
            raise ValueError(problems)
        self.router.apply_configuration(configuration)
        for service in configuration.services_by_name.values():
            self.router.table.apply(static_ownership(configuration, service))
        task.LoopingCall(self.router.tick).start(TICK_S, now=False)
        self._backlog = parameters.get("backlog", _BACKLOG)
        self.port = self._listen(reactor, CallerFactory)
        self.forward_port = self._listen(reactor, PeerFactory)
        self.rss_peak_bytes = 0
        self._profile = None
        task.LoopingCall(self._sample_rss).start(_RSS_SAMPLE_S)

    def _listen(self, reactor, factory):
        port = reactor.listenTCP(
            0,
            factory(router=self.router),
            interface="127.0.0.1",
            backlog=self._backlog,
        )
        return port.getHost().port

    def _sample_rss(self):
        self.rss_peak_bytes = max(self.rss_peak_bytes, _rss_bytes())

    def handle(self, command):
        """Sets peers, starts or stops the profiler, and returns figures."""
        if "peers" in command:
            self.router.peers_by_id = {
                peer["node_id"]: _Peer(**peer) for peer in command["peers"]
            }
        if command.get("profile") == "start":
            self._profile = cProfile.Profile()
            self._profile.enable()
        figures = {
            "rss_bytes": _rss_bytes(),
            "rss_peak_bytes": self.rss_peak_bytes,
            "cpu_s": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]),
            "run_delay_s": _run_delay_s(),
            "in_flight": len(self.router.proxied_requests),
            "connections": sum(
                len(pool.connections) for pool in self.router.pools_by_server.values()
            ),
            "counters": {name: self.router.metrics.values(name) for name in _COUNTERS},
            "slots_held": sum(
                queue.in_flight for queue in self.router.queues_by_server.values()
            ),
        }
        if command.get("profile") == "stop":
            self._profile.disable()
            figures["profile"] = _profile_shares(self._profile, command.get("top", 0))
        return figures


def _profile_shares(profile, top):
    stats = pstats.Stats(profile).stats
    seconds_by_group = {}
    for (path, _, name), (_, _, self_s, _, _) in stats.items():
        group = "uvloop and other native code"
        for path_part, label in _PROFILE_GROUPS.items():
            if path_part in path:
                group = label
                break
        if path == "~" and "poll" in name:
            group = "waiting"
        seconds_by_group[group] = seconds_by_group.get(group, 0.0) + self_s
    total = sum(seconds_by_group.values())
    result = {
        group: round(seconds / total, 3)
        for group, seconds in sorted(seconds_by_group.items(), key=lambda i: -i[1])
    }
    if top:
        ordered = sorted(stats.items(), key=lambda item: -item[1][2])[:top]
        result["top"] = [
            f"{self_s:.3f} s {count} {path.rsplit('/', 1)[-1]}:{line} {name}"
            for (path, line, name), (_, count, self_s, _, _) in ordered
        ]
    return result


def _start(reactor, parameters):
    entry = _Entry(reactor, parameters)
    return {"port": entry.port, "forward_port": entry.forward_port}, entry.handle


if __name__ == "__main__":
    parts.run(_start)
