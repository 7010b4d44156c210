"""Effect on callers when servers and entry VMs leave under load."""

from __future__ import annotations

import collections
import time

from briarspoke.benches import Bound, Report, bench, parts
from briarspoke.benches.admin_client import call
from briarspoke.benches.deployment import Deployment
from briarspoke.clock import monotonic

SERVICE = {
    "name": "tabela",
    "partitions": 64,
    "warmup_s": 0.5,
    "rank_rules": [{"rank": "bulk", "methods": ["PUT"]}],
}
RATE = 400.0
UPLOAD_RATE = 2.0
LONG_RATE = 800.0
UPLOAD_BYTES = 4_000_000
UPLOAD_S = 3.0
KEYS = 200
WARMUP_S = 4.0
# Time from one event to the next. Only requests due in the first part of it are
# counted, so that their uploads end before the next event.
PHASE_S = 7.0
COUNTED_WINDOW_S = 3.0
MAX_LAST_NEW_REQUEST_S = 3.0
MAX_SHOWN_FAILURES = 5


class Call:
    """One request as recorded by its caller.

    :param target: index of the entry VM that received the request.
    :param fresh: whether the request opened a new connection.
    """

    __slots__ = (
        "code",
        "due_at",
        "ended_at",
        "fresh",
        "kind",
        "request_id",
        "run",
        "status",
        "target",
    )

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)

    @property
    def ok(self):
        """Whether the backend server's answer arrived."""
        return self.status == 200 and not self.code

    @property
    def refused(self):
        """Whether the answer states that the request was not run."""
        return bool(self.code) and self.run == "no"

    @property
    def cut_off(self):
        """Whether the request ended without an answer or with an unknown outcome.

        A refused upload counts too, because its caller had sent part of the body.
        """
        return not self.ok and (not self.refused or self.kind == "upload")


class Execution:
    """One request in the records of the server that ran it."""

    __slots__ = ("at", "head_at", "request_id", "server")

    def __init__(self, *, at, head_at, request_id, server):
        self.at = at
        self.head_at = head_at
        self.request_id = request_id
        self.server = server


class _Events:
    """The disruptions of the deployment and their times."""

    def __init__(self):
        self.drained_server = None
        self.drained_at = self.shutdown_at = self.killed_at = 0.0
        self.shut_down_index = self.killed_index = 0
        self.shutdown_s = None
        self.left_by_shutdown = None
        self.ended_at = 0.0


@bench("drain")
def drain(*, seed, long):
    """Drains a server, shuts down one entry VM and kills another."""
    deployment = Deployment(
        seed=seed,
        zones=("poa", "cwb"),
        nodes_by_zone=2,
        servers_by_zone=3,
        services=[SERVICE],
    )
    events = _Events()
    with deployment, parts.Parts() as processes:
        load = processes.start(
            "mixed_load",
            service=SERVICE["name"],
            ports=deployment.call_ports(),
            rate=LONG_RATE if long else RATE,
            upload_rate=UPLOAD_RATE,
            upload_bytes=UPLOAD_BYTES,
            upload_s=UPLOAD_S,
            keys=KEYS,
        )
        load.ask(start=True)
        time.sleep(WARMUP_S)
        _drain_server(deployment, events, seed)
        _shut_down_entry(deployment, events, seed)
        _kill_entry(deployment, events)
        events.ended_at = monotonic()
        answer = load.ask(stop=True)
        executions = _executions(deployment)
        two_owners = deployment.two_owners()
        expired = sum(
            server.part.ask()["expired"] for server in deployment.alive_servers()
        )
    calls = [Call(**record) for record in answer["records"]]
    return _report(seed, calls, executions, events, two_owners, expired)


def _drain_server(deployment, events, seed):
    names = sorted(deployment.servers_by_name)
    events.drained_server = names[seed % len(names)]
    node = next(iter(deployment.nodes_by_name.values()))
    host, port = deployment.host(node.zone), node.ready["admin"]
    path = f"/v1/servers/{events.drained_server}"
    _, current = call(host, port, "GET", path)
    events.drained_at = monotonic()
    status, answer = call(
        host, port, "PUT", path, {**current["resource"], "state": "draining"}
    )
    if status not in (200, 201):
        raise RuntimeError(
            f"could not drain {events.drained_server}: {status} {answer}"
        )
    time.sleep(PHASE_S)
    _, current = call(host, port, "GET", path)
    call(host, port, "PUT", path, {**current["resource"], "state": "active"})
    time.sleep(1.0)


def _shut_down_entry(deployment, events, seed):
    """Shuts down an entry VM that holds a zone lease, as it has most to hand over."""
    nodes = list(deployment.nodes_by_name.values())
    holders = [i for i, node in enumerate(nodes) if node.ask()["holds"]]
    events.shut_down_index = holders[seed % len(holders)]
    events.shutdown_at = monotonic()
    answer = nodes[events.shut_down_index].ask(shutdown=True)
    events.shutdown_s = monotonic() - events.shutdown_at
    events.left_by_shutdown = answer["left_by_shutdown"]
    time.sleep(max(0.0, PHASE_S - events.shutdown_s))


def _kill_entry(deployment, events):
    nodes = list(deployment.nodes_by_name.values())
    alive = [i for i in range(len(nodes)) if i != events.shut_down_index]
    holders = [i for i in alive if nodes[i].ask()["holds"]]
    events.killed_index = holders[0] if holders else alive[0]
    events.killed_at = monotonic()
    nodes[events.killed_index].kill()
    time.sleep(PHASE_S)


def _executions(deployment):
    return [
        Execution(at=at, head_at=head_at, request_id=request_id, server=name)
        for name, server in deployment.servers_by_name.items()
        for at, request_id, _, _, head_at in server.part.ask()["executions"]
    ]


def count_contradictions(calls, executions):
    """Counts the answers that contradict the servers' records.

    :returns: (non-idempotent requests run twice, refused requests run).
    """
    runs = collections.Counter(execution.request_id for execution in executions)
    twice = sum(c.kind == "booking" and runs[c.request_id] > 1 for c in calls)
    refused_but_run = sum(c.refused and runs[c.request_id] > 0 for c in calls)
    return twice, refused_but_run


def in_flight_or_due(calls, begin, end):
    """Returns the calls in flight at ``begin`` or due between it and ``end``."""
    return [
        c
        for c in calls
        if c.due_at < end and (c.ended_at is None or c.ended_at >= begin)
    ]


def _summary(calls):
    return {
        "requests": len(calls),
        "uploads": sum(c.kind == "upload" for c in calls),
        "answered": sum(c.ok for c in calls),
        "cut_off": _by_kind([c for c in calls if c.cut_off]),
        "failed_by_code": _by_code([c for c in calls if not c.ok]),
        "first_failures": [_failure(c) for c in calls if not c.ok][:MAX_SHOWN_FAILURES],
    }


def _failure(call):
    return {
        "kind": call.kind,
        "entry_vm": call.target,
        "code": call.code,
        "run": call.run,
        "fresh": call.fresh,
        "seconds": call.ended_at and round(call.ended_at - call.due_at, 3),
    }


def _by_kind(calls):
    return dict(sorted(collections.Counter(c.kind for c in calls).items()))


def _by_code(calls):
    counts = collections.Counter(c.code for c in calls)
    return {str(code): count for code, count in sorted(counts.items())}


def _last_new_request_s(executions, events):
    head_times = [
        e.head_at
        for e in executions
        if e.server == events.drained_server
        and events.drained_at <= e.head_at < events.drained_at + PHASE_S
    ]
    return round(max(head_times, default=events.drained_at) - events.drained_at, 3)


def _last_failure_s(calls, events):
    """Returns the seconds from the kill until the last failure of other entry VMs."""
    failed = [c.ended_at or events.ended_at for c in calls if not c.ok]
    last = max(failed, default=events.killed_at)
    return round(last - events.killed_at, 3)


def _report(seed, calls, executions, events, two_owners, expired):
    drain_calls, shutdown_calls, kill_calls = (
        in_flight_or_due(calls, begin, begin + COUNTED_WINDOW_S)
        for begin in (events.drained_at, events.shutdown_at, events.killed_at)
    )
    calls_to_others = [c for c in kill_calls if c.target != events.killed_index]
    new_connections_elsewhere = [
        c
        for c in shutdown_calls
        if c.target != events.shut_down_index
        and c.fresh
        and c.due_at >= events.shutdown_at
    ]
    last_new_request_s = _last_new_request_s(executions, events)
    requests_before_drain = sum(
        e.server == events.drained_server and 0.0 < events.drained_at - e.head_at <= 1.0
        for e in executions
    )
    twice, refused_but_run = count_contradictions(calls, executions)
    cut_by_drain = sum(c.cut_off for c in drain_calls)
    cut_by_shutdown = sum(c.cut_off for c in shutdown_calls)
    lost_elsewhere = sum(not c.ok for c in new_connections_elsewhere)
    uploads_in_flight = sum(
        c.kind == "upload" and c.due_at < events.drained_at <= (c.ended_at or 0.0)
        for c in calls
    )
    figures = {
        "requests": len(calls),
        "executions": len(executions),
        "drain": {
            **_summary(drain_calls),
            "uploads_in_flight": uploads_in_flight,
            "last_new_request_s": last_new_request_s,
            "requests_of_the_server_in_the_second_before": requests_before_drain,
        },
        "shutdown": {
            **_summary(shutdown_calls),
            "seconds": round(events.shutdown_s, 3),
            "left": events.left_by_shutdown,
            "of_the_entry_vm": _summary(
                [c for c in shutdown_calls if c.target == events.shut_down_index]
            ),
            "new_connections_elsewhere": _summary(new_connections_elsewhere),
        },
        "kill": {
            "of_the_entry_vm": _summary(
                [c for c in kill_calls if c.target == events.killed_index]
            ),
            "of_the_others": _summary(calls_to_others),
            "others_failed_until_s": _last_failure_s(calls_to_others, events),
        },
        "ended_by_expired_grants": expired,
        "two_owners": two_owners,
    }
    return Report(
        bench="drain",
        seed=seed,
        figures=figures,
        bounds=[
            Bound(
                name="last_new_request_s",
                value=last_new_request_s,
                limit=MAX_LAST_NEW_REQUEST_S,
            ),
            Bound(
                name="server_in_use",
                value=requests_before_drain,
                limit=1,
                at_most=False,
            ),
            Bound(
                name="uploads_in_flight",
                value=uploads_in_flight,
                limit=1,
                at_most=False,
            ),
            Bound(name="cut_off_by_drain", value=cut_by_drain, limit=0),
            Bound(name="cut_off_by_shutdown", value=cut_by_shutdown, limit=0),
            Bound(name="left_by_shutdown", value=events.left_by_shutdown, limit=0),
            Bound(name="new_connections_lost", value=lost_elsewhere, limit=0),
            Bound(name="non_idempotent_run_twice", value=twice, limit=0),
            Bound(name="refused_but_run", value=refused_but_run, limit=0),
            Bound(name="two_owners", value=two_owners, limit=0),
        ],
    )
