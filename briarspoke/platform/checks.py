"""Checks of the platform's configuration beyond what an entry VM rejects.

An entry VM accepts a document with entries that get no requests, or with limits that
contradict each other or its own settings. Operators want to know before they send it.
"""

from __future__ import annotations

from briarspoke.configuration import codes
from briarspoke.configuration.changes import Difference
from briarspoke.entry import settings as entry_settings
from briarspoke.entry.budget import COPY_FRACTION, SAFETY_FACTOR
from briarspoke.entry.heldbytes import REQUESTS_SHARE
from briarspoke.platform import configuration
from briarspoke.schema import Problem

# Fields by which a document is recognised.
_CONFIGURATION_FIELD = "config_version"
_SETTINGS_FIELDS = frozenset({"ready_listen", "retry_ratio"})
# Options of a route that decide when its requests are given up, refused or repeated.
_TIMES = frozenset(
    {"timeout", "target_latency", "max_attempts", "priority", "route_type"}
)
_LIMIT_TIMES = frozenset({"header_timeout", "idle_timeout"})
_SERVERS = frozenset({"service", "traffic_split", "hostname", "prefix"})

_checks = []


def _register_check(function):
    _checks.append(function)
    return function


def is_configuration(value):
    """Returns whether a JSON value is the platform's configuration."""
    return isinstance(value, dict) and _CONFIGURATION_FIELD in value


def is_settings(value):
    """Returns whether a JSON value is the settings of an entry VM."""
    return isinstance(value, dict) and not _SETTINGS_FIELDS.isdisjoint(value)


def check_configuration(value, all_settings=()):
    """Returns every problem of the platform's configuration.

    :param all_settings: the :class:`briarspoke.entry.settings.EntrySettings` of entry
        VMs that shall use it.
    """
    problems = []
    table = configuration.decode(value, problems)
    for function in _checks:
        problems += function(table, value, all_settings)
    return problems


def check_settings(value):
    """Returns (settings, problems) of the settings of an entry VM.

    ``settings`` is None if there are problems of single options.
    """
    problems = []
    settings = entry_settings.SCHEMA.check(value, "$", problems)
    if problems:
        return None, problems
    covered = SAFETY_FACTOR * COPY_FRACTION * settings.retry_ratio
    if settings.hedge_share > covered:
        message = (
            f"is {settings.hedge_share:g}, but copies may use {covered:g} per request "
            f"of the retry budget"
        )
        problems.append(
            Problem(
                path="$.hedge_share",
                code=codes.HEDGE_SHARE_ABOVE_BUDGET,
                message=message,
            )
        )
    return settings, problems


@_register_check
def _check_hidden(table, value, all_settings):
    # Of routes with the same host and prefix, the last one in the document is used.
    last_by_place = {(r.host, r.prefix): r for r in table.routes}
    for route in table.routes:
        last = last_by_place[route.host, route.prefix]
        if last is not route:
            yield Problem(
                path=f"$.routes.{route.name}.prefix",
                code=codes.ROUTE_HIDDEN,
                message=f"is hidden by $.routes.{last.name}, which has the same host "
                "and prefix",
            )


@_register_check
def _check_matches(table, value, all_settings):
    for route in table.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Problem(
                path=f"$.routes.{route.name}.prefix",
                code=codes.ROUTE_NEVER_MATCHES,
                message="does not begin and end with a slash, so no path has it",
            )
        elif "?" in route.prefix:
            yield Problem(
                path=f"$.routes.{route.name}.prefix",
                code=codes.ROUTE_NEVER_MATCHES,
                message="has a question mark, but queries are not compared",
            )
        if not route.host or ":" in route.host or route.host.strip() != route.host:
            yield Problem(
                path=f"$.routes.{route.name}.hostname",
                code=codes.ROUTE_NEVER_MATCHES,
                message="is empty or has a port or spaces, which are not compared",
            )


@_register_check
def _check_weights(table, value, all_settings):
    for route in table.routes:
        for index, share in enumerate(route.shares):
            if share.weight <= 0:
                yield Problem(
                    path=f"$.routes.{route.name}.traffic_split[{index}].weight",
                    code=codes.SHARE_WITHOUT_WEIGHT,
                    message=f"is {share.weight:g}, so {share.service} gets no requests",
                )


@_register_check
def _check_services(table, value, all_settings):
    # Routes with other problems count, so that only what has to be mended is reported.
    routed = set()
    for body in _entries(value, "routes").values():
        parts = body.get("traffic_split", [body]) if isinstance(body, dict) else ()
        for part in parts if isinstance(parts, list) else ():
            name = part.get("service") if isinstance(part, dict) else None
            if isinstance(name, str):
                routed.add(name)
    for name in table.services:
        if name not in routed:
            yield Problem(
                path=f"$.services.{name}",
                code=codes.SERVICE_WITHOUT_ROUTE,
                message="is the service of no route",
            )


@_register_check
def _check_objectives(table, value, all_settings):
    for route in table.routes:
        if route.timeout_s is not None and route.objective_s > route.timeout_s:
            yield Problem(
                path=f"$.routes.{route.name}.target_latency",
                code=codes.OBJECTIVE_ABOVE_TIMEOUT,
                message=f"is {route.objective_s:g} s, above the timeout of "
                f"{route.timeout_s:g} s",
            )


@_register_check
def _check_memory(table, value, all_settings):
    if table.limits is None or not all_settings:
        return
    memory_mb = min(settings.memory_mb for settings in all_settings)
    available = int(REQUESTS_SHARE * (memory_mb << 20))
    sizes = {
        "max_header_bytes": table.limits.head_bytes,
        "max_body_bytes": table.limits.body_bytes,
    }
    for name, size in sizes.items():
        if size > available:
            yield Problem(
                path=f"$.limits.{name}",
                code=codes.LIMIT_ABOVE_MEMORY,
                message=f"is {size}, but all requests may take {available} bytes at an "
                f"entry VM with {memory_mb} MB",
            )


@_register_check
def _check_attempts(table, value, all_settings):
    if not all_settings:
        return
    # What the budget allows if one request is all there is in its window.
    retries = min(SAFETY_FACTOR * (s.retry_ratio + s.retry_slack) for s in all_settings)
    for route in table.routes:
        if route.max_attempts - 1 > retries:
            yield Problem(
                path=f"$.routes.{route.name}.max_attempts",
                code=codes.ATTEMPTS_ABOVE_BUDGET,
                message=f"is {route.max_attempts}, but the retry budget allows a "
                f"single request {int(retries)} retries",
            )


def differences(before, after):
    """Returns what differs between two configurations, with the effects on requests.

    :param before: JSON value of the configuration in force.
    :param after: JSON value of the other one.
    :returns: list of JSON objects as of
        :class:`briarspoke.configuration.changes.Difference`, each with ``effects``.
    """
    old, new = (configuration.decode(value, []) for value in (before, after))
    found = []
    for kind in ("routes", "services"):
        entries = [_entries(value, kind) for value in (before, after)]
        for name in sorted(entries[0].keys() | entries[1].keys()):
            found.append(_difference(kind, name, entries))
    entries = [{"limits": _entries(value, "limits")} for value in (before, after)]
    found.append(_difference("limits", "limits", entries))
    return [
        {**difference.as_json(), "effects": _effects(difference, old, new)}
        for difference in found
        if difference.before != difference.after
    ]


def _entries(value, kind):
    entries = value.get(kind) if isinstance(value, dict) else None
    return entries if isinstance(entries, dict) else {}


def _difference(kind, name, entries):
    before, after = (each.get(name) for each in entries)
    return Difference(kind=kind, name=name, before=before, after=after)


def _effects(difference, old, new):
    if difference.kind == "routes":
        if difference.action == "create":
            return [_effect_at(difference.after, old, "added", "from")]
        if difference.action == "delete":
            return [_effect_at(difference.before, new, "dropped", "to")]
    if difference.action != "update":
        # A service alone neither gets nor loses requests; its routes do.
        return []
    options = {path.split(".")[1].split("[")[0] for path in difference.options()}
    effects = []
    if difference.kind == "routes":
        if options & {"hostname", "prefix"}:
            effects.append(_effect_at(difference.before, new, "dropped", "to"))
            effects.append(_effect_at(difference.after, old, "added", "from"))
        elif options & _SERVERS:
            effects.append("moved to other servers")
        if options & _TIMES:
            effects.append("retimed")
    elif difference.kind == "services" and "sharded" in options:
        effects.append("moved to other servers")
    elif difference.kind == "limits" and options & _LIMIT_TIMES:
        effects.append("retimed")
    return effects or ["changed"]


def _effect_at(body, table, effect, direction):
    """Returns the effect of a route that appears or disappears at a place.

    :param body: JSON object of the route.
    :param table: the :class:`RoutingTable` without it.
    :param effect: effect if no other route gets the requests there.
    """
    host, prefix = (
        body.get(name) if isinstance(body, dict) else None
        for name in ("hostname", "prefix")
    )
    if not isinstance(host, str) or not isinstance(prefix, str):
        return "changed"
    # No route has text that cannot be encoded.
    encoded = (text.encode(errors="replace") for text in (host.lower(), prefix))
    other = table.find(*encoded)
    return effect if other is None else f"moved {direction} route {other.name}"
