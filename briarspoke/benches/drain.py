"""What callers notice when servers and entry VMs leave under load."""

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
WARM_S = 4.0
# Each event has this long, and requests due within the first part of it are
# counted, so that their uploads have ended before the next event.
PHASE_S = 7.0
COUNTED_S = 3.0
NEW_REQUESTS_LIMIT_S = 3.0
SHOWN_FAILURES = 5


class Call:
    """One request as its caller saw it.

    :param target: index of the entry VM, and ``fresh`` whether it opened a
        connection of its own.
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
        """Whether the server's answer arrived."""
        return self.status == 200 and not self.code

    @property
    def refused(self):
        """Whether the answer states that the request was not run."""
        return bool(self.code) and self.run == "no"

    @property
    def cut_off(self):
        """Whether it ended without an answer, or with an unknown outcome.

        A refused upload counts as well: its caller had sent part of the body.
        """
        return not self.ok and (not self.refused or self.kind == "upload")


class Execution:
    """One request in a server's own records."""

    __slots__ = ("at", "head_at", "request_id", "server")

    def __init__(self, *, at, head_at, request_id, server):
        self.at = at
        self.head_at = head_at
        self.request_id = request_id
        self.server = server


class _Events:
    """What was done to the deployment and when."""

    def __init__(self):
        self.drained = None
        self.drained_at = self.shut_at = self.killed_at = 0.0
        self.shut = self.killed = 0
        self.shutdown_s = None
        self.left_by_shutdown = None
        self.ended_at = 0.0


@bench("drain")
def drain(*, seed, long):
    """Drains a server, shuts one entry VM down and kills another."""
    deployment = Deployment(
        seed=seed,
        zones=("poa", "cwb"),
        nodes_by_zone=2,
        servers_by_zone=3,
        services=[SERVICE],
    )
    events = _Events()
    with deployment, parts.Parts() as own:
        load = own.start(
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
        time.sleep(WARM_S)
        _drain_server(deployment, events, seed)
        _shut_entry_down(deployment, events, seed)
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
    events.drained = names[seed % len(names)]
    node = next(iter(deployment.nodes_by_name.values()))
    host, port = deployment.host(node.zone), node.ready["admin"]
    path = f"/v1/servers/{events.drained}"
    _, found = call(host, port, "GET", path)
    events.drained_at = monotonic()
    status, answer = call(
        host, port, "PUT", path, {**found["resource"], "state": "draining"}
    )
    if status not in (200, 201):
        raise RuntimeError(f"the server was not drained: {status} {answer}")
    time.sleep(PHASE_S)
    _, found = call(host, port, "GET", path)
    call(host, port, "PUT", path, {**found["resource"], "state": "active"})
    time.sleep(1.0)


def _shut_entry_down(deployment, events, seed):
    """Shuts down a holder of a zone's lease, which has most to hand over."""
    nodes = list(deployment.nodes_by_name.values())
    holders = [i for i, node in enumerate(nodes) if node.ask()["holds"]]
    events.shut = holders[seed % len(holders)]
    events.shut_at = monotonic()
    answer = nodes[events.shut].ask(shutdown=True)
    events.shutdown_s = monotonic() - events.shut_at
    events.left_by_shutdown = answer["left_by_shutdown"]
    time.sleep(max(0.0, PHASE_S - events.shutdown_s))


def _kill_entry(deployment, events):
    nodes = list(deployment.nodes_by_name.values())
    alive = [i for i in range(len(nodes)) if i != events.shut]
    holders = [i for i in alive if nodes[i].ask()["holds"]]
    events.killed = holders[0] if holders else alive[0]
    events.killed_at = monotonic()
    nodes[events.killed].kill()
    time.sleep(PHASE_S)


def _executions(deployment):
    return [
        Execution(at=at, head_at=head_at, request_id=request_id, server=name)
        for name, server in deployment.servers_by_name.items()
        for at, request_id, _, _, head_at in server.part.ask()["executions"]
    ]


def check(calls, executions):
    """Returns how often the servers' records contradict what callers were told.

    :returns: (non-idempotent requests run twice, refused requests run).
    """
    runs = collections.Counter(execution.request_id for execution in executions)
    twice = sum(c.kind == "booking" and runs[c.request_id] > 1 for c in calls)
    refused_but_run = sum(c.refused and runs[c.request_id] > 0 for c in calls)
    return twice, refused_but_run


def in_flight_or_due(calls, begin, end):
    """Returns the calls that were in flight at ``begin`` or due until ``end``."""
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
        "first_failures": [_failure(c) for c in calls if not c.ok][:SHOWN_FAILURES],
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
    heads = [
        e.head_at
        for e in executions
        if e.server == events.drained
        and events.drained_at <= e.head_at < events.drained_at + PHASE_S
    ]
    return round(max(heads, default=events.drained_at) - events.drained_at, 3)


def _failing_s(calls, events):
    """Returns when the last request of the other entry VMs failed after the kill."""
    failed = [c.ended_at or events.ended_at for c in calls if not c.ok]
    last = max(failed, default=events.killed_at)
    return round(last - events.killed_at, 3)


def _report(seed, calls, executions, events, two_owners, expired):
    draining, shutting, killing = (
        in_flight_or_due(calls, begin, begin + COUNTED_S)
        for begin in (events.drained_at, events.shut_at, events.killed_at)
    )
    of_others = [c for c in killing if c.target != events.killed]
    fresh_elsewhere = [
        c
        for c in shutting
        if c.target != events.shut and c.fresh and c.due_at >= events.shut_at
    ]
    last_new_s = _last_new_request_s(executions, events)
    before = sum(
        e.server == events.drained and 0.0 < events.drained_at - e.head_at <= 1.0
        for e in executions
    )
    twice, refused_but_run = check(calls, executions)
    cut_by_drain = sum(c.cut_off for c in draining)
    cut_by_shutdown = sum(c.cut_off for c in shutting)
    lost_elsewhere = sum(not c.ok for c in fresh_elsewhere)
    uploads = sum(
        c.kind == "upload" and c.due_at < events.drained_at <= (c.ended_at or 0.0)
        for c in calls
    )
    figures = {
        "requests": len(calls),
        "executions": len(executions),
        "drain": {
            **_summary(draining),
            "uploads_in_flight": uploads,
            "last_new_request_s": last_new_s,
            "requests_of_the_server_in_the_second_before": before,
        },
        "shutdown": {
            **_summary(shutting),
            "seconds": round(events.shutdown_s, 3),
            "left": events.left_by_shutdown,
            "of_the_entry_vm": _summary(
                [c for c in shutting if c.target == events.shut]
            ),
            "new_connections_elsewhere": _summary(fresh_elsewhere),
        },
        "kill": {
            "of_the_entry_vm": _summary(
                [c for c in killing if c.target == events.killed]
            ),
            "of_the_others": _summary(of_others),
            "others_failed_until_s": _failing_s(of_others, events),
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
                name="last_new_request_s", value=last_new_s, limit=NEW_REQUESTS_LIMIT_S
            ),
            Bound(name="server_in_use", value=before, limit=1, at_most=False),
            Bound(name="uploads_in_flight", value=uploads, limit=1, at_most=False),
            Bound(name="cut_off_by_drain", value=cut_by_drain, limit=0),
            Bound(name="cut_off_by_shutdown", value=cut_by_shutdown, limit=0),
            Bound(name="left_by_shutdown", value=events.left_by_shutdown, limit=0),
            Bound(name="new_connections_lost", value=lost_elsewhere, limit=0),
            Bound(name="non_idempotent_run_twice", value=twice, limit=0),
            Bound(name="refused_but_run", value=refused_but_run, limit=0),
            Bound(name="two_owners", value=two_owners, limit=0),
        ],
    )
