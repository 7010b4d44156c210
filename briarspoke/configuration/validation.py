"""Checks of a configuration across its resources."""

from __future__ import annotations

import ipaddress

from briarspoke.configuration import codes
from briarspoke.configuration.snapshot import Configuration, split_address
from briarspoke.schema import Problem

# Ranks of the requests that match no rank rule.
RANKS_WITHOUT_RULE = frozenset({"lookup", "booking"})
# The binary sum of decimal shares can differ from 1 by a rounding error.
SHARE_TOLERANCE = 1e-9

_checks = []


def _register_check(function):
    _checks.append(function)
    return function


class _Findings:
    """Collects problems under the JSON paths of the operator's input."""

    __slots__ = ("_declared", "_paths", "problems")

    def __init__(self, paths, declared=()):
        self._paths = paths
        self._declared = declared
        self.problems = []

    def add(self, resource, option, code, message):
        path = self.path(resource.kind, resource.name)
        self.problems.append(
            Problem(
                path=f"{path}.{option}" if option else path, code=code, message=message
            )
        )

    def exists(self, by_name, kind, name):
        return name in by_name or (kind, name) in self._declared

    def path(self, kind, name):
        return self._paths.get((kind, name), f"$.{kind}.{name}")


def check(configuration, *, paths=None):
    """Returns the problems of one configuration.

    :param paths: JSON path by (kind, name); the default is ``$.kind.name``.
    """
    findings = _Findings(paths or {})
    for function in _checks:
        function(configuration, findings)
    return findings.problems


def check_transition(before, after, *, paths=None):
    """Returns the problems of a transition from one document to another."""
    findings = _Findings(paths or {})
    old, new = before.configuration(), after.configuration()
    for name, service in new.services_by_name.items():
        earlier = old.services_by_name.get(name)
        if earlier is None:
            continue
        if earlier.partitions != service.partitions:
            message = f"cannot change from {earlier.partitions}"
            findings.add(service, "partitions", codes.PARTITIONS_CHANGED, message)
        if earlier.fenced != service.fenced:
            message = f"cannot change from {str(earlier.fenced).lower()}"
            findings.add(service, "fenced", codes.FENCED_CHANGED, message)
    _check_removed_in_use(old, new, findings)
    return findings.problems


def check_json(value):
    """Returns the schema and other problems of ``{kind: [resource, ...]}``."""
    problems = []
    if not isinstance(value, dict):
        return [
            Problem(
                path="$", code=codes.CALL_BODY_MALFORMED, message="is not an object"
            )
        ]
    configuration = Configuration.from_json(value, problems)
    paths = {}
    for kind, entries in value.items():
        for index, entry in enumerate(entries if isinstance(entries, list) else ()):
            name = entry.get("name") if isinstance(entry, dict) else None
            path = f"$.{kind}[{index}]"
            if not isinstance(name, str):
                continue
            if (kind, name) in paths:
                message = f"is also the name of {paths[kind, name]}"
                problems.append(
                    Problem(
                        path=f"{path}.name", code=codes.DUPLICATE_NAME, message=message
                    )
                )
            paths[kind, name] = path
    # Invalid resources are missing in the configuration. Their names count as
    # declared, so that references to them are not reported as unknown.
    findings = _Findings(paths, declared=paths.keys())
    for function in _checks:
        function(configuration, findings)
    return problems + findings.problems


def _check_removed_in_use(old, new, findings):
    zones = old.zones_by_name.keys() - new.zones_by_name.keys()
    services = old.services_by_name.keys() - new.services_by_name.keys()
    for server in new.servers_by_name.values():
        if server.zone in zones:
            message = f"refers to zone {server.zone!r}, which would be deleted"
            findings.add(server, "zone", codes.ZONE_IN_USE, message)
        if server.service in services:
            message = f"refers to service {server.service!r}, which would be deleted"
            findings.add(server, "service", codes.SERVICE_IN_USE, message)
    for limit in new.limits_by_name.values():
        if limit.service in services:
            message = f"refers to service {limit.service!r}, which would be deleted"
            findings.add(limit, "service", codes.SERVICE_IN_USE, message)


@_register_check
def _check_references(configuration, findings):
    services, zones = configuration.services_by_name, configuration.zones_by_name
    for server in configuration.servers_by_name.values():
        if not findings.exists(services, "services", server.service):
            message = f"no service {server.service!r} exists"
            findings.add(server, "service", codes.UNKNOWN_SERVICE_NAMED, message)
        if not findings.exists(zones, "zones", server.zone):
            message = f"no zone {server.zone!r} exists"
            findings.add(server, "zone", codes.UNKNOWN_ZONE_NAMED, message)
    for limit in configuration.limits_by_name.values():
        if not findings.exists(services, "services", limit.service):
            message = f"no service {limit.service!r} exists"
            findings.add(limit, "service", codes.UNKNOWN_SERVICE_NAMED, message)


@_register_check
def _check_addresses(configuration, findings):
    first_by_address = {}
    for server in configuration.servers_by_name.values():
        address = _canonical_address(server.address)
        if address is None:
            message = "is not an IP address and a port from 1 to 65535"
            findings.add(server, "address", codes.INVALID_ADDRESS, message)
            continue
        first = first_by_address.setdefault(address, server)
        if first is not server:
            message = f"is also the address of {findings.path('servers', first.name)}"
            findings.add(server, "address", codes.DUPLICATE_ADDRESS, message)


def _canonical_address(address):
    host, port = split_address(address)
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        return None
    return (number, port) if 0 < port < 65536 else None


@_register_check
def _check_shares(configuration, findings):
    for service in configuration.services_by_name.values():
        total = sum(policy.share for policy in service.ranks.values())
        if total > 1 + SHARE_TOLERANCE:
            message = f"shares sum to {total:g}, above 1"
            findings.add(service, "ranks", codes.SHARES_ABOVE_ONE, message)
        usable_ranks = RANKS_WITHOUT_RULE | {rule.rank for rule in service.rank_rules}
        for rank, policy in service.ranks.items():
            if rank in usable_ranks and policy.share <= 0:
                message = "is 0, but requests can have this rank"
                findings.add(
                    service, f"ranks.{rank}.share", codes.RANK_WITHOUT_SHARE, message
                )


@_register_check
def _check_limits(configuration, findings):
    for limit in configuration.limits_by_name.values():
        if limit.rate is None and limit.concurrency is None:
            message = "has neither rate nor concurrency"
            findings.add(limit, "", codes.LIMIT_WITHOUT_BOUND, message)
        if limit.scope == "rank" and limit.rank is None:
            message = "is null, but the scope is rank"
            findings.add(limit, "rank", codes.LIMIT_WITHOUT_RANK, message)
