"""Bench ``config``: changes by several operators on five entry VMs."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from briarspoke.benches import Bound, Report, bench, percentile
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument

NODES = 5
OPERATORS = 4
PAIRS = 6
TOKEN = "bench-operator-token"
ZONES = ("poa", "cwb", "fln")
IN_FORCE_LIMIT_S = 3.0
READY_LIMIT_S = 10.0
CALL_TIMEOUT_S = 12.0
# Changes of the target, 1,400 a day, come 60 s apart; this is far denser.
PAUSE_BETWEEN_CHANGES_S = 0.1
SLOW_STORE_S = 0.25
LOST_ANSWERS_EVERY_S = 0.4


@bench("config")
def run(*, seed, long):
    """Changes by several operators on five entry VMs, with faults of the store."""
    from briarspoke import loop

    reactor = loop.install()
    outcome = {}

    def work():
        try:
            outcome["report"] = _Bench(reactor=reactor, seed=seed, long=long).run()
        except BaseException as error:
            outcome["error"] = error
        finally:
            reactor.callFromThread(reactor.stop)

    thread = threading.Thread(target=work)
    reactor.callWhenRunning(thread.start)
    reactor.run()
    thread.join()
    if "error" in outcome:
        raise outcome["error"]
    return outcome["report"]


class _Store:
    """The store stand-in, served by the bench's own reactor.

    Its record of every value is the truth that nodes are compared with.
    """

    def __init__(self, *, reactor):
        from twisted.internet.threads import blockingCallFromThread

        from briarspoke import clock
        from briarspoke.standins.store import StoreStandIn, site

        self.stand_in = StoreStandIn(reactor=reactor, clock=clock.monotonic)
        self.committed_at = {}
        self.documents = {}
        self._wrap(self.stand_in.state)
        port = blockingCallFromThread(
            reactor,
            lambda: reactor.listenTCP(0, site(self.stand_in), interface="127.0.0.1"),
        )
        self.url = f"http://127.0.0.1:{port.getHost().port}"

    @property
    def faults(self):
        return self.stand_in.faults

    def calls(self):
        """Returns the number of calls so far by kind."""
        return dict(self.stand_in.calls_by_kind)

    def _wrap(self, state):
        put = state.put

        def observed(key, value, *arguments):
            taken, revision = put(key, value, *arguments)
            if taken and key == STORE_KEY:
                document = ConfigurationDocument.decode(value)
                self.committed_at.setdefault(document.version, time.monotonic())
                self.documents.setdefault(document.version, []).append(document)
            return taken, revision

        # The state has slots, so the method is replaced in a class of its own.
        members = {"__slots__": (), "put": staticmethod(observed)}
        state.__class__ = type("ObservedState", (type(state),), members)


class _Node:
    """One ``briarspoke serve`` process and what its API tells."""

    def __init__(self, *, number, directory, store_url, ports, peers):
        self.number = number
        self.port = ports["admin_listen"]
        self.directory = directory
        self.process = None
        self.lives = []
        self.observed = []
        self.settings = {
            "node": f"entry-{number}",
            "zone": ZONES[number % len(ZONES)],
            "store_url": store_url,
            "cluster_key": "bench-cluster-key-only",
            "peers": peers,
            "operators": {"bench": {"token": TOKEN, "role": "writer"}},
            "shutdown_s": 1,
            **{name: f"127.0.0.1:{port}" for name, port in ports.items()},
        }

    def start(self):
        """Starts the process; :meth:`wait_ready` tells when it serves."""
        path = self.directory / f"node-{self.number}.json"
        path.write_text(json.dumps(self.settings))
        with open(self.directory / f"node-{self.number}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "briarspoke", "serve", str(path)],
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, end=None):
        """Returns whether the node became ready, and opens a watch on it.

        :param end: monotonic time until which to wait.
        """
        if not self.wait_until("/v1/readyz", end or time.monotonic() + READY_LIMIT_S):
            return False
        life = _Life(started_at=time.monotonic())
        self.lives.append(life)
        threading.Thread(target=self._watch, args=(life,), daemon=True).start()
        return True

    def wait_until(self, path, end):
        """Returns whether a path was answered with 200 before a monotonic time."""
        while time.monotonic() < end and self.process.poll() is None:
            with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
                status, _ = call(self.port, "GET", path, timeout_s=1.0)
                if status == 200:
                    return True
            time.sleep(0.05)
        return False

    def kill(self):
        """Kills the process without notice."""
        if self.lives:
            self.lives[-1].ended_at = time.monotonic()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def _watch(self, life):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=15)
        with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
            connection.request("GET", "/v1/watch?from=0", headers=_headers())
            for line in connection.getresponse():
                life.take(json.loads(line), time.monotonic())
        connection.close()


class _Life:
    """What one process of a node showed, from readiness to its end."""

    def __init__(self, *, started_at):
        self.started_at = started_at
        self.ended_at = None
        self.first_seen_at = {}
        self.resources_by_version = {}
        self.reverted = 0
        self.version = -1
        self._resources = {}

    def take(self, event, now):
        """Takes one event of the node's watch."""
        version = event["version"]
        if version < self.version:
            self.reverted += 1
        if event["event"] == "snapshot":
            self._resources = {
                (kind, value["name"]): value
                for kind, values in event["resources"].items()
                for value in values
            }
        for change in event.get("changes", ()):
            key = change["kind"], change["name"]
            if change["after"] is None:
                self._resources.pop(key, None)
            else:
                self._resources[key] = change["after"]
        self.version = max(self.version, version)
        self.first_seen_at.setdefault(version, now)
        self.resources_by_version.setdefault(version, dict(self._resources))

    def in_force_at(self, version):
        """Returns when a version or a newer one was in force, None if never."""
        times = [t for v, t in list(self.first_seen_at.items()) if v >= version]
        return min(times, default=None)


class _Operator(threading.Thread):
    """Makes changes at random nodes and keeps what it was told."""

    def __init__(self, *, name, ports, seed, markers, stop):
        super().__init__(daemon=True)
        self.name = name
        self.ports = ports
        self.random = random.Random(f"{seed}-{name}")
        self.markers = markers
        self.stop = stop
        self.accepted = []
        self.unknown = []
        self.refused = {}
        self.lost = 0

    def run(self):
        while not self.stop.is_set():
            self._change()
            self.stop.wait(self.random.uniform(0.5, 1.5) * PAUSE_BETWEEN_CHANGES_S)

    def _change(self):
        marker = next(self.markers)
        write_id = f"{self.name}-{marker}"
        pair = self.random.randrange(PAIRS)
        body = {"resources": {"limits": pair_of(pair, marker)}}
        end = time.monotonic() + CALL_TIMEOUT_S
        while time.monotonic() < end:
            # A repetition under the same identifier takes effect at most once.
            try:
                _, answer = call(
                    self.random.choice(self.ports),
                    "POST",
                    "/v1/apply",
                    body,
                    {"Briarspoke-Write-Id": write_id},
                )
            except (OSError, ValueError, http.client.HTTPException):
                self.lost += 1
                time.sleep(0.05)
                continue
            break
        else:
            self.unknown.append(write_id)
            return
        self._note(answer, write_id, marker, pair)

    def _note(self, answer, write_id, marker, pair):
        if answer.get("status") == "accepted":
            self.accepted.append((write_id, answer["version"], marker, pair))
        elif answer.get("status") == "unknown":
            self.unknown.append(write_id)
        else:
            name = answer.get("name", "no-name")
            self.refused.setdefault(name, []).append(write_id)


class _Bench:
    """One run."""

    def __init__(self, *, reactor, seed, long):
        self.seed = seed
        self.factor = 4 if long else 1
        self.store = _Store(reactor=reactor)
        self.random = random.Random(seed)
        self.nodes = []
        self.operators = []
        self.figures = {}

    def run(self):
        """Returns the :class:`Report`."""
        with tempfile.TemporaryDirectory() as directory:
            self._make_nodes(Path(directory))
            try:
                self._start_all()
                if self.figures["nodes_ready"] == NODES:
                    self._load()
            finally:
                for node in self.nodes:
                    node.kill()
            if self.figures["nodes_ready"] < NODES:
                self.figures["log"] = _last_line(Path(directory) / "node-0.log")
        return self._report()

    def _make_nodes(self, directory):
        options = ("caller", "peer", "forward", "admin", "metrics")
        ports = _free_ports(NODES * len(options))
        by_node = [
            {f"{option}_listen": next(ports) for option in options}
            for _ in range(NODES)
        ]
        peers = [f"127.0.0.1:{ports['peer_listen']}" for ports in by_node]
        self.nodes = [
            _Node(
                number=number,
                directory=directory,
                store_url=self.store.url,
                ports=own,
                peers=[peer for index, peer in enumerate(peers) if index != number],
            )
            for number, own in enumerate(by_node)
        ]

    def _start_all(self):
        for node in self.nodes:
            node.start()
        end = time.monotonic() + READY_LIMIT_S
        # Nodes become ready with their first configuration.
        if self.nodes[0].wait_until("/v1/healthz", end):
            self._initial()
        self.figures["nodes_ready"] = sum(node.wait_ready(end) for node in self.nodes)

    def _load(self):
        # Ownership settles before calls are counted.
        time.sleep(1.0)
        idle = self._idle()
        stop = threading.Event()
        markers = itertools.count(1)
        ports = [node.port for node in self.nodes]
        self.operators = [
            _Operator(
                name=f"op{number}",
                ports=ports,
                seed=self.seed,
                markers=markers,
                stop=stop,
            )
            for number in range(OPERATORS)
        ]
        for operator in self.operators:
            operator.start()
        self._steady(idle)
        self._lost_answers()
        self._slow_store()
        self._restarts()
        stop.set()
        for operator in self.operators:
            operator.join(CALL_TIMEOUT_S * 2)
        time.sleep(IN_FORCE_LIMIT_S)

    def _initial(self):
        body = {
            "resources": {
                "zones": [{"name": zone} for zone in ZONES],
                "services": [{"name": "tabela", "partitions": 16}],
                "limits": [x for pair in range(PAIRS) for x in pair_of(pair, 0)],
            }
        }
        _, answer = call(self.nodes[0].port, "POST", "/v1/apply", body)
        self.figures["initial"] = answer.get("status", answer.get("name"))

    def _idle(self):
        seconds = 4.0 * self.factor
        before = self.store.calls()
        time.sleep(seconds)
        calls = _difference(self.store.calls(), before)
        self.figures["idle_store_calls_per_s"] = {
            kind: round(count / seconds, 2) for kind, count in calls.items()
        }
        return {kind: count / seconds for kind, count in calls.items()}

    def _steady(self, idle):
        seconds = 7.0 * self.factor
        before, versions = self.store.calls(), len(self.store.documents)
        time.sleep(seconds)
        calls = _difference(self.store.calls(), before)
        changes = len(self.store.documents) - versions
        self.figures["changes_per_s"] = round(changes / seconds, 1)
        self.figures["store_calls_per_change"] = {
            kind: round((count - idle.get(kind, 0.0) * seconds) / max(changes, 1), 2)
            for kind, count in calls.items()
        }

    def _lost_answers(self):
        end = time.monotonic() + 4.0 * self.factor
        while time.monotonic() < end:
            # One lost answer at a time can also hit a lease or an ownership write.
            self.store.faults.lose_answers = 1
            time.sleep(LOST_ANSWERS_EVERY_S)
        self.store.faults.lose_answers = 0

    def _slow_store(self):
        self.store.faults.delay_s = SLOW_STORE_S
        time.sleep(5.0 * self.factor)
        self.store.faults.delay_s = 0.0

    def _restarts(self):
        stale = 0
        for _ in range(2 * self.factor):
            node = self.random.choice(self.nodes)
            node.kill()
            time.sleep(0.3)
            node.start()
            version = max(self.store.documents)
            if not node.wait_ready():
                self.figures["restart_failed"] = True
                continue
            time.sleep(1.5)
            stale += node.lives[-1].version < version
        self.figures["stale_after_restart"] = stale

    # The outcome.

    def _report(self):
        figures = self.figures
        if figures["nodes_ready"] == NODES:
            self._count()
        bounds = [
            Bound(
                name="nodes_ready",
                value=figures["nodes_ready"],
                limit=NODES,
                at_most=False,
            ),
            Bound(
                name="in_force_p99_s",
                value=figures.get("in_force_s", {}).get("p99"),
                limit=IN_FORCE_LIMIT_S,
            ),
            *(
                Bound(name=name, value=figures.get(name), limit=0)
                for name in (
                    "never_in_force",
                    "reverted",
                    "lost",
                    "partially_applied",
                    "refused_but_applied",
                )
            ),
            Bound(
                name="stale_after_restart",
                value=figures.get("stale_after_restart"),
                limit=0,
            ),
        ]
        return Report(bench="config", seed=self.seed, figures=figures, bounds=bounds)

    def _baseline(self):
        """Counts what a writer without a comparison of versions would lose.

        It reads the document, takes the time of a slow call, and writes its copy
        back; the changes are as many and as dense as the accepted ones.
        """
        rng = random.Random(self.seed)
        pause_s = PAUSE_BETWEEN_CHANGES_S / OPERATORS
        changes = sum(len(operator.accepted) for operator in self.operators)
        events = []
        for marker in range(1, changes + 1):
            read_at = marker * pause_s * rng.uniform(0.9, 1.1)
            events.append((read_at, "read", marker))
            events.append((read_at + rng.uniform(0.005, 0.05), "write", marker))
        stored, copies, lost = {}, {}, 0
        for _, action, marker in sorted(events):
            pair = marker % PAIRS
            if action == "read":
                copies[marker] = dict(stored)
                continue
            written = {**copies.pop(marker), pair: marker}
            lost += sum(
                written.get(other) != value
                for other, value in stored.items()
                if other != pair
            )
            stored = written
        return {"changes": changes, "overwritten_by_others": lost}

    def _count(self):
        accepted = [entry for o in self.operators for entry in o.accepted]
        self.figures |= {
            "accepted": len(accepted),
            "versions": len(self.store.documents),
            "unknown": sum(len(o.unknown) for o in self.operators),
            "api_calls_without_answer": sum(o.lost for o in self.operators),
            "refused": self._refused(),
            "refused_but_applied": self._refused_but_applied(),
            "lost": sum(self._is_lost(*entry) for entry in accepted),
            "reverted": self._reverted(),
            "partially_applied": self._partially_applied(),
            "versions_observed": sum(
                len(life.resources_by_version) for life in self._lives()
            ),
        }
        self.figures["simulated_blind_writes"] = self._baseline()
        delays, never = self._delays()
        self.figures["never_in_force"] = never
        self.figures["in_force_s"] = {
            "samples": len(delays),
            "p50": _rounded(percentile(delays, 0.5)),
            "p99": _rounded(percentile(delays, 0.99)),
            "max": _rounded(max(delays, default=None)),
        }

    def _lives(self):
        return [life for node in self.nodes for life in node.lives]

    def _refused(self):
        counts = {}
        for operator in self.operators:
            for name, ids in operator.refused.items():
                counts[name] = counts.get(name, 0) + len(ids)
        return counts

    def _refused_but_applied(self):
        refused = {i for o in self.operators for ids in o.refused.values() for i in ids}
        return len(refused & self._written())

    def _written(self):
        return {
            document.write_ids[-1][0]
            for documents in self.store.documents.values()
            for document in documents
        }

    def _is_lost(self, write_id, version, marker, pair):
        documents = self.store.documents.get(version, [])
        if len(documents) != 1 or documents[0].write_ids[-1] != (write_id, version):
            return True
        limits = [value["name"] for value in pair_of(pair, marker)]
        values = [documents[0].entry("limits", name).value for name in limits]
        return any(value["burst"] != marker + 1 for value in values)

    def _reverted(self):
        written_twice = sum(len(d) > 1 for d in self.store.documents.values())
        return written_twice + sum(life.reverted for life in self._lives())

    def _partially_applied(self):
        count = 0
        for life in self._lives():
            for version, resources in life.resources_by_version.items():
                if version == 0:
                    continue
                document = self.store.documents[version][0]
                truth = {key: entry.value for key, entry in document.entries.items()}
                count += resources != truth
        return count

    def _delays(self):
        delays, never = [], 0
        for version, committed_at in self.store.committed_at.items():
            for life in self._lives():
                deadline = committed_at + IN_FORCE_LIMIT_S
                is_dead = life.ended_at is not None and life.ended_at < deadline
                if committed_at < life.started_at or is_dead:
                    continue
                seen_at = life.in_force_at(version)
                if seen_at is None:
                    never += 1
                else:
                    delays.append(max(0.0, seen_at - committed_at))
        return delays, never


def pair_of(pair, marker):
    """Returns two limits that one change always sets to the same burst."""
    return [
        {
            "name": f"pair-{pair}-{side}",
            "service": "tabela",
            "rate": 1000.0,
            "burst": float(marker + 1),
        }
        for side in ("a", "b")
    ]


def call(port, method, path, body=None, headers=None, *, timeout_s=CALL_TIMEOUT_S):
    """Returns (status, JSON object) of a call to a node's operators' API."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, _headers() | (headers or {}))
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


def _headers():
    return {"Authorization": f"Bearer {TOKEN}"}


def _free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return iter(ports)


def _difference(after, before):
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}


def _rounded(value):
    return None if value is None else round(value, 4)


def _last_line(path):
    lines = path.read_text(errors="replace").strip().splitlines()
    return lines[-1] if lines else ""
