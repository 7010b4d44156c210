"""Measures the effects of a store outage on callers and operators."""

from __future__ import annotations

import time

from briarspoke.benches import Bound, Report, bench
from briarspoke.benches.admin_client import call
from briarspoke.benches.deployment import Deployment
from briarspoke.benches.records import (
    between,
    count_by_code,
    share_ok,
)
from briarspoke.clock import monotonic

KEYS = 500
RATE = 800.0
OUTAGE_S = 15.0
LONG_OUTAGE_S = 120.0
MAX_REFUSED_SHARE = 0.001
MAX_CHANGE_DELAY_S = 3.0
SERVICE = {"name": "tabela", "partitions": 64}
SERVICE_CHANGE = {"name": "limite", "service": "tabela", "rate": 1e6, "burst": 1e6}


@bench("store-outage")
def store_outage(*, seed, long):
    """Measures refused requests and delayed changes while the store is down."""
    outage_s = LONG_OUTAGE_S if long else OUTAGE_S
    deployment = Deployment(
        seed=seed,
        zones=("poa", "cwb", "fln"),
        nodes_by_zone=2,
        servers_by_zone=2,
        services=[SERVICE],
    )
    with deployment:
        callers = deployment.start_callers(service="tabela", keys=KEYS, rate=RATE)
        time.sleep(2.0)
        outage = _Outage(deployment)
        outage.run(outage_s)
        time.sleep(1.0)
        records = callers.stop()
        two_owners = deployment.two_owners()
    return _report(seed, records, outage, two_owners)


class _Outage:
    """A store outage and its effects on changes and versions."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.begin = self.end = 0.0
        self.change_during_code = None
        self.accepted_after_s = None
        self.in_force_after_s = None
        self.reverted = 0
        self._versions = {}

    def run(self, seconds):
        """Takes the store down for some seconds, with changes during and after it."""
        store = self.deployment.store
        self.begin = monotonic()
        store.ask(faults={"down": True})
        while monotonic() - self.begin < seconds:
            self._check_versions()
            if (
                self.change_during_code is None
                and monotonic() - self.begin > seconds / 2
            ):
                self.change_during_code = self._put_limit()[1].get("code", 0)
            time.sleep(0.2)
        self.end = monotonic()
        store.ask(faults={"down": False})
        self._retry_change()
        self._check_versions()

    def _retry_change(self):
        deadline = self.end + 10.0
        status = 0
        while status != 200 and monotonic() < deadline:
            time.sleep(0.01)
            status, answer = self._put_limit()
        if status != 200:
            return
        version = answer["configuration_version"]
        self.accepted_after_s = monotonic() - self.end
        self.deployment.wait_until(
            lambda: self._all_in_force(version), 10.0, "the change is in force"
        )
        self.in_force_after_s = monotonic() - self.end

    def _put_limit(self):
        node = next(iter(self.deployment.nodes_by_name.values()))
        host = self.deployment.host(node.zone)
        path = f"/v1/limits/{SERVICE_CHANGE['name']}"
        return call(host, node.ready["admin"], "PUT", path, SERVICE_CHANGE)

    def _all_in_force(self, version):
        return all(
            node.ask()["configuration"] >= version
            for node in self.deployment.nodes_by_name.values()
        )

    def _check_versions(self):
        for name, node in self.deployment.nodes_by_name.items():
            state = node.ask()
            versions = {"configuration": state["configuration"], **state["ownership"]}
            for key, version in versions.items():
                known = self._versions.get((name, key), 0)
                self.reverted += version < known
                self._versions[name, key] = max(known, version)


def _report(seed, records, outage, two_owners):
    during = between(records, outage.begin, outage.end)
    refused = None if not during else 1 - share_ok(during)
    return Report(
        bench="store-outage",
        seed=seed,
        figures={
            "outage_s": round(outage.end - outage.begin, 2),
            "requests_during": len(during),
            "refused_during_share": refused,
            "failed_by_code": count_by_code(during),
            "change_during_code": outage.change_during_code,
            "first_change_accepted_s": outage.accepted_after_s,
            "first_change_in_force_s": outage.in_force_after_s,
            "reverted": outage.reverted,
            "two_owners": two_owners,
        },
        bounds=[
            Bound(name="refused_during_share", value=refused, limit=MAX_REFUSED_SHARE),
            Bound(name="requests_during", value=len(during), limit=1000, at_most=False),
            Bound(name="reverted", value=outage.reverted, limit=0),
            Bound(
                name="first_change_in_force_s",
                value=outage.in_force_after_s,
                limit=MAX_CHANGE_DELAY_S,
            ),
            Bound(name="two_owners", value=two_owners, limit=0),
        ],
    )
