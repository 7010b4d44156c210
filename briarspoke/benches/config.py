"""Bench ``config``: concurrent configuration changes through five entry VMs."""

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
LIMIT_PAIRS = 6
OPERATOR_TOKEN = "bench-operator-token"
ZONES = ("poa", "cwb", "fln")
IN_FORCE_LIMIT_S = 3.0
READY_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 12.0
# Far shorter than in a deployment of the target size, where 1,400 changes a day come
# about 60 s apart.
PAUSE_BETWEEN_CHANGES_S = 0.1
SLOW_STORE_DELAY_S = 0.25
LOST_ANSWER_INTERVAL_S = 0.4


@bench("config")
def run(*, seed, long):
    """Measures concurrent changes through five entry VMs, with faults of the store."""
    from briarspoke import loop

    reactor = loop.install()
    outcome = {}

    def run_bench():
        try:
            outcome["report"] = _ConfigBench(
                reactor=reactor, seed=seed, long=long
            ).run()
        except BaseException as error:
            outcome["error"] = error
        finally:
            reactor.callFromThread(reactor.stop)

    thread = threading.Thread(target=run_bench)
    reactor.callWhenRunning(thread.start)
    reactor.run()
    thread.join()
    if "error" in outcome:
        raise outcome["error"]
    return outcome["report"]


class _RecordingStore:
    """Store stand-in that records every version of the configuration.

    It is served by the reactor of the bench's process. The configurations that the
    nodes report are compared with its record.
    """

    def __init__(self, *, reactor):
        from twisted.internet.threads import blockingCallFromThread

        from briarspoke import clock
        from briarspoke.standins.store import StoreStandIn, site

        self.stand_in = StoreStandIn(reactor=reactor, clock=clock.monotonic)
        self.committed_at_by_version = {}
        self.documents_by_version = {}
        self._record_puts(self.stand_in.state)
        port = blockingCallFromThread(
            reactor,
            lambda: reactor.listenTCP(0, site(self.stand_in), interface="127.0.0.1"),
        )
        self.url = f"http://127.0.0.1:{port.getHost().port}"

    @property
    def faults(self):
        return self.stand_in.faults

    def calls(self):
        """Returns the number of calls by kind since the start."""
        return dict(self.stand_in.calls_by_kind)

    def _record_puts(self, state):
        put = state.put

        def recording_put(key, value, *arguments):
            succeeded, revision = put(key, value, *arguments)
            if succeeded and key == STORE_KEY:
                document = ConfigurationDocument.decode(value)
                self.committed_at_by_version.setdefault(
                    document.version, time.monotonic()
                )
                self.documents_by_version.setdefault(document.version, []).append(
                    document
                )
            return succeeded, revision

        # The state has slots, so put() cannot be replaced on the instance. The instance
        # gets a subclass that overrides it.
        namespace = {"__slots__": (), "put": staticmethod(recording_put)}
        state.__class__ = type("ObservedState", (type(state),), namespace)


class _Node:
    """A ``briarspoke serve`` process and the records of its configuration watches."""

    def __init__(self, *, number, directory, store_url, ports, peers):
        self.number = number
        self.port = ports["admin_listen"]
        self.directory = directory
        self.process = None
        self.watch_records = []
        self.observed = []
        self.settings = {
            "node": f"entry-{number}",
            "zone": ZONES[number % len(ZONES)],
            "store_url": store_url,
            "cluster_key": "bench-cluster-key-only",
            "peers": peers,
            "operators": {"bench": {"token": OPERATOR_TOKEN, "role": "writer"}},
            "shutdown_s": 1,
            **{name: f"127.0.0.1:{port}" for name, port in ports.items()},
        }

    def start(self):
        """Starts the process without waiting until it is ready."""
        path = self.directory / f"node-{self.number}.json"
        path.write_text(json.dumps(self.settings))
        with open(self.directory / f"node-{self.number}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "briarspoke", "serve", str(path)],
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, deadline=None):
        """Waits until the node is ready, then starts to watch its configuration.

        :param deadline: monotonic time until which to wait; None for
            :data:`READY_TIMEOUT_S` from now.
        :returns: whether the node became ready.
        """
        if not self.wait_until(
            "/v1/readyz", deadline or time.monotonic() + READY_TIMEOUT_S
        ):
            return False
        record = _WatchRecord(started_at=time.monotonic())
        self.watch_records.append(record)
        threading.Thread(target=self._watch, args=(record,), daemon=True).start()
        return True

    def wait_until(self, path, deadline):
        """Waits until the node answers a path with status 200.

        :param deadline: monotonic time until which to wait.
        :returns: whether it did; False also if the process has ended.
        """
        while time.monotonic() < deadline and self.process.poll() is None:
            with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
                status, _ = call(self.port, "GET", path, timeout_s=1.0)
                if status == 200:
                    return True
            time.sleep(0.05)
        return False

    def kill(self):
        """Kills the process with SIGKILL, so that it cannot shut down gracefully."""
        if self.watch_records:
            self.watch_records[-1].ended_at = time.monotonic()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def _watch(self, record):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=15)
        with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
            connection.request("GET", "/v1/watch?from=0", headers=_headers())
            for line in connection.getresponse():
                record.apply(json.loads(line), time.monotonic())
        connection.close()


class _WatchRecord:
    """Configuration that one process of a node reported on its watch.

    :param started_at: monotonic time at which the process was ready.
    """

    def __init__(self, *, started_at):
        self.started_at = started_at
        self.ended_at = None
        self.seen_at_by_version = {}
        self.resources_by_version = {}
        self.reverted = 0
        self.version = -1
        self._resources = {}

    def apply(self, event, now):
        """Applies an event of the watch to the recorded configuration.

        :param now: monotonic time at which the event arrived.
        """
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
        self.seen_at_by_version.setdefault(version, now)
        self.resources_by_version.setdefault(version, dict(self._resources))

    def in_force_at(self, version):
        """Returns when the node first reported a version or a newer one.

        :returns: monotonic time, or None if it never did.
        """
        times = [t for v, t in list(self.seen_at_by_version.items()) if v >= version]
        return min(times, default=None)


class _Operator(threading.Thread):
    """Thread that sends changes to random nodes and records their answers.

    :param ports: ports of the operators' API of the nodes.
    :param markers: iterator over numbers, shared by all operators; each change writes
        a number of its own, so that its result can be recognised.
    :param stop: event that ends the thread.
    """

    def __init__(self, *, name, ports, seed, markers, stop):
        super().__init__(daemon=True)
        self.name = name
        self.ports = ports
        self.random = random.Random(f"{seed}-{name}")
        self.markers = markers
        self.stop = stop
        self.accepted = []
        self.unknown = []
        self.refused_ids_by_name = {}
        self.calls_without_answer = 0

    def run(self):
        while not self.stop.is_set():
            self._make_change()
            self.stop.wait(self.random.uniform(0.5, 1.5) * PAUSE_BETWEEN_CHANGES_S)

    def _make_change(self):
        marker = next(self.markers)
        write_id = f"{self.name}-{marker}"
        pair = self.random.randrange(LIMIT_PAIRS)
        body = {"resources": {"limits": limit_pair(pair, marker)}}
        deadline = time.monotonic() + CALL_TIMEOUT_S
        while time.monotonic() < deadline:
            # A retry has the same write identifier, so the change takes effect at most
            # once.
            try:
                _, answer = call(
                    self.random.choice(self.ports),
                    "POST",
                    "/v1/apply",
                    body,
                    {"Briarspoke-Write-Id": write_id},
                )
            except (OSError, ValueError, http.client.HTTPException):
                self.calls_without_answer += 1
                time.sleep(0.05)
                continue
            break
        else:
            self.unknown.append(write_id)
            return
        self._record_answer(answer, write_id, marker, pair)

    def _record_answer(self, answer, write_id, marker, pair):
        if answer.get("status") == "accepted":
            self.accepted.append((write_id, answer["version"], marker, pair))
        elif answer.get("status") == "unknown":
            self.unknown.append(write_id)
        else:
            name = answer.get("name", "no-name")
            self.refused_ids_by_name.setdefault(name, []).append(write_id)


class _ConfigBench:
    """One run of the bench.

    :param reactor: reactor that serves the store stand-in.
    :param seed: seed of the changes, the nodes that receive them and the restarts.
    :param long: whether each phase takes four times as long.
    """

    def __init__(self, *, reactor, seed, long):
        self.seed = seed
        self.duration_factor = 4 if long else 1
        self.store = _RecordingStore(reactor=reactor)
        self.random = random.Random(seed)
        self.nodes = []
        self.operators = []
        self.figures = {}

    def run(self):
        """Starts the nodes, runs all phases and stops the nodes.

        :returns: :class:`Report`.
        """
        with tempfile.TemporaryDirectory() as directory:
            self._create_nodes(Path(directory))
            try:
                self._start_nodes()
                if self.figures["nodes_ready"] == NODES:
                    self._run_load()
            finally:
                for node in self.nodes:
                    node.kill()
            if self.figures["nodes_ready"] < NODES:
                self.figures["log"] = _last_line(Path(directory) / "node-0.log")
        return self._make_report()

    def _create_nodes(self, directory):
        options = ("caller", "peer", "forward", "admin", "metrics")
        ports = _free_ports(NODES * len(options))
        ports_of_nodes = [
            {f"{option}_listen": next(ports) for option in options}
            for _ in range(NODES)
        ]
        peers = [f"127.0.0.1:{ports['peer_listen']}" for ports in ports_of_nodes]
        self.nodes = [
            _Node(
                number=number,
                directory=directory,
                store_url=self.store.url,
                ports=own_ports,
                peers=[peer for index, peer in enumerate(peers) if index != number],
            )
            for number, own_ports in enumerate(ports_of_nodes)
        ]

    def _start_nodes(self):
        for node in self.nodes:
            node.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        # A node becomes ready only when it has a configuration, so the first one is
        # written as soon as a node is healthy.
        if self.nodes[0].wait_until("/v1/healthz", deadline):
            self._write_initial_configuration()
        self.figures["nodes_ready"] = sum(
            node.wait_ready(deadline) for node in self.nodes
        )

    def _run_load(self):
        # Gives the partitions time to get owners, so that the first writes of ownership
        # documents are not counted as idle calls.
        time.sleep(1.0)
        idle = self._measure_idle()
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
        self._measure_steady(idle)
        self._run_lost_answers()
        self._run_slow_store()
        self._run_restarts()
        stop.set()
        for operator in self.operators:
            operator.join(CALL_TIMEOUT_S * 2)
        time.sleep(IN_FORCE_LIMIT_S)

    def _write_initial_configuration(self):
        body = {
            "resources": {
                "zones": [{"name": zone} for zone in ZONES],
                "services": [{"name": "tabela", "partitions": 16}],
                "limits": [
                    x for pair in range(LIMIT_PAIRS) for x in limit_pair(pair, 0)
                ],
            }
        }
        _, answer = call(self.nodes[0].port, "POST", "/v1/apply", body)
        self.figures["initial"] = answer.get("status", answer.get("name"))

    def _measure_idle(self):
        seconds = 4.0 * self.duration_factor
        before = self.store.calls()
        time.sleep(seconds)
        calls = _difference(self.store.calls(), before)
        self.figures["idle_store_calls_per_s"] = {
            kind: round(count / seconds, 2) for kind, count in calls.items()
        }
        return {kind: count / seconds for kind, count in calls.items()}

    def _measure_steady(self, idle):
        seconds = 7.0 * self.duration_factor
        before, versions = self.store.calls(), len(self.store.documents_by_version)
        time.sleep(seconds)
        calls = _difference(self.store.calls(), before)
        changes = len(self.store.documents_by_version) - versions
        self.figures["changes_per_s"] = round(changes / seconds, 1)
        self.figures["store_calls_per_change"] = {
            kind: round((count - idle.get(kind, 0.0) * seconds) / max(changes, 1), 2)
            for kind, count in calls.items()
        }

    def _run_lost_answers(self):
        deadline = time.monotonic() + 4.0 * self.duration_factor
        while time.monotonic() < deadline:
            # The store loses the answer of the next write of any kind, which can also
            # be a write of a lease or of an ownership document.
            self.store.faults.lose_answers = 1
            time.sleep(LOST_ANSWER_INTERVAL_S)
        self.store.faults.lose_answers = 0

    def _run_slow_store(self):
        self.store.faults.delay_s = SLOW_STORE_DELAY_S
        time.sleep(5.0 * self.duration_factor)
        self.store.faults.delay_s = 0.0

    def _run_restarts(self):
        stale = 0
        for _ in range(2 * self.duration_factor):
            node = self.random.choice(self.nodes)
            node.kill()
            time.sleep(0.3)
            node.start()
            version = max(self.store.documents_by_version)
            if not node.wait_ready():
                self.figures["restart_failed"] = True
                continue
            time.sleep(1.5)
            stale += node.watch_records[-1].version < version
        self.figures["stale_after_restart"] = stale

    def _make_report(self):
        figures = self.figures
        if figures["nodes_ready"] == NODES:
            self._count_outcomes()
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

    def _simulate_blind_writes(self):
        """Counts the changes that writers would lose without comparing versions.

        Each simulated writer reads the document, waits as long as a slow call takes
        and writes its modified copy back. The number and rate of the changes are those
        of the accepted ones.
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
            pair = marker % LIMIT_PAIRS
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

    def _count_outcomes(self):
        accepted = [entry for o in self.operators for entry in o.accepted]
        self.figures |= {
            "accepted": len(accepted),
            "versions": len(self.store.documents_by_version),
            "unknown": sum(len(o.unknown) for o in self.operators),
            "api_calls_without_answer": sum(
                o.calls_without_answer for o in self.operators
            ),
            "refused": self._refused(),
            "refused_but_applied": self._refused_but_applied(),
            "lost": sum(self._is_lost(*entry) for entry in accepted),
            "reverted": self._reverted(),
            "partially_applied": self._partially_applied(),
            "versions_observed": sum(
                len(record.resources_by_version) for record in self._watch_records()
            ),
        }
        self.figures["simulated_blind_writes"] = self._simulate_blind_writes()
        delays, never_in_force = self._in_force_delays()
        self.figures["never_in_force"] = never_in_force
        self.figures["in_force_s"] = {
            "samples": len(delays),
            "p50": _round_seconds(percentile(delays, 0.5)),
            "p99": _round_seconds(percentile(delays, 0.99)),
            "max": _round_seconds(max(delays, default=None)),
        }

    def _watch_records(self):
        return [record for node in self.nodes for record in node.watch_records]

    def _refused(self):
        counts = {}
        for operator in self.operators:
            for name, ids in operator.refused_ids_by_name.items():
                counts[name] = counts.get(name, 0) + len(ids)
        return counts

    def _refused_but_applied(self):
        refused = {
            i
            for o in self.operators
            for ids in o.refused_ids_by_name.values()
            for i in ids
        }
        return len(refused & self._written_ids())

    def _written_ids(self):
        return {
            document.write_ids[-1][0]
            for documents in self.store.documents_by_version.values()
            for document in documents
        }

    def _is_lost(self, write_id, version, marker, pair):
        documents = self.store.documents_by_version.get(version, [])
        if len(documents) != 1 or documents[0].write_ids[-1] != (write_id, version):
            return True
        limits = [value["name"] for value in limit_pair(pair, marker)]
        values = [documents[0].entry("limits", name).value for name in limits]
        return any(value["burst"] != marker + 1 for value in values)

    def _reverted(self):
        written_twice = sum(
            len(d) > 1 for d in self.store.documents_by_version.values()
        )
        return written_twice + sum(record.reverted for record in self._watch_records())

    def _partially_applied(self):
        count = 0
        for record in self._watch_records():
            for version, resources in record.resources_by_version.items():
                if version == 0:
                    continue
                document = self.store.documents_by_version[version][0]
                expected = {key: entry.value for key, entry in document.entries.items()}
                count += resources != expected
        return count

    def _in_force_delays(self):
        delays, never_in_force = [], 0
        for version, committed_at in self.store.committed_at_by_version.items():
            for record in self._watch_records():
                deadline = committed_at + IN_FORCE_LIMIT_S
                ended_early = record.ended_at is not None and record.ended_at < deadline
                if committed_at < record.started_at or ended_early:
                    continue
                seen_at = record.in_force_at(version)
                if seen_at is None:
                    never_in_force += 1
                else:
                    delays.append(max(0.0, seen_at - committed_at))
        return delays, never_in_force


def limit_pair(pair, marker):
    """Returns two limits that a change always sets to the same burst.

    Different bursts in a pair show that a change was applied partially.

    :param pair: number of the pair.
    :param marker: number of the change, from which the burst follows.
    """
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
    """Calls the operators' API of a node.

    :param body: JSON object to send, or None.
    :returns: pair of the status and the JSON object of the answer.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, _headers() | (headers or {}))
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


def _headers():
    return {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


def _free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind(("127.0.0.1", 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return iter(ports)


def _difference(after, before):
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}


def _round_seconds(value):
    return None if value is None else round(value, 4)


def _last_line(path):
    lines = path.read_text(errors="replace").strip().splitlines()
    return lines[-1] if lines else ""
