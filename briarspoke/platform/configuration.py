"""Decoder of the operator's configuration that collects every problem.

An entry VM rejects a document with any problem as a whole; ``briarspoke check`` reports
all of them. Both use these rules.
"""

from __future__ import annotations

import math
import re

from briarspoke import schema
from briarspoke.configuration import codes
from briarspoke.entry.routes import CallerLimits, Route, RoutingTable, Service, Share
from briarspoke.platform.values import DecodeError, parse_duration_s, require_field
from briarspoke.schema import Problem

_VERSION = re.compile(r"r(\d+)")
# Whether a request on a route of this type may run twice.
_IDEMPOTENT_BY_TYPE = {"safe": True, "unsafe": False, "upload": False}


class _Fields:
    """Reads the fields of a JSON object and collects their problems.

    :param path: JSON path of the object.
    :param problems: list that each :class:`briarspoke.schema.Problem` is appended to.
    """

    __slots__ = ("_body", "_is_object", "_problem_count", "_problems", "path")

    def __init__(self, body, path, problems):
        self._is_object = isinstance(body, dict)
        self._body = body if self._is_object else {}
        self.path = path
        self._problems = problems
        self._problem_count = len(problems)
        if not self._is_object:
            self.add("", schema.OPTION_TYPE, "is not an object")

    @property
    def are_valid(self):
        """Whether no problem has been found since the start."""
        return len(self._problems) == self._problem_count

    def add(self, name, code, message):
        """Adds a problem of a field; with an empty name, of the object."""
        path = f"{self.path}.{name}" if name else self.path
        self._problems.append(Problem(path=path, code=code, message=message))

    def has(self, name):
        """Returns whether the object has a field."""
        return name in self._body

    def get(self, name):
        """Returns the unchecked value of a field, or None."""
        return self._body.get(name)

    def require(self, name, expected_type):
        """Returns a field of a type, or None after a problem."""
        if not self._is_object:
            return None
        try:
            return require_field(self._body, name, expected_type)
        except DecodeError as error:
            code = schema.OPTION_TYPE if self.has(name) else schema.OPTION_MISSING
            self.add(name, code, str(error))
            return None

    def duration_s(self, name, *, required=True):
        """Returns a duration in seconds, or None without one or after a problem."""
        if required and self.require(name, str) is None:
            return None
        value = self._body.get(name)
        if not required and not value:
            return None
        try:
            return parse_duration_s(value)
        except DecodeError as error:
            self.add(name, schema.OPTION_FORMAT, str(error))
            return None


def decode(body, problems):
    """Decodes the operator's configuration.

    :param body: the decoded JSON value.
    :param problems: list that each :class:`briarspoke.schema.Problem` is appended to.
    :returns: the :class:`briarspoke.entry.routes.RoutingTable` of the valid entries;
        version and limits are None if they are not valid.
    """
    fields = _Fields(body, "$", problems)
    version = _version(fields)
    service_bodies = fields.require("services", dict) or {}
    services = {
        name: _decode_service(name, _Fields(value, f"$.services.{name}", problems))
        for name, value in service_bodies.items()
    }
    route_bodies = fields.require("routes", dict) or {}
    routes = [
        _decode_route(name, _Fields(value, f"$.routes.{name}", problems), services)
        for name, value in route_bodies.items()
    ]
    limits_body = fields.require("limits", dict)
    limits = None
    if limits_body is not None:
        limits = _decode_limits(_Fields(limits_body, "$.limits", problems))
    return RoutingTable(
        version=version,
        routes=[route for route in routes if route is not None],
        services={name: s for name, s in services.items() if s is not None},
        limits=limits,
    )


def _version(fields):
    text = fields.require("config_version", str)
    match = None if text is None else _VERSION.fullmatch(text)
    if match is not None:
        try:
            return int(match[1])
        except ValueError:
            # Python converts no numbers of thousands of digits.
            match = None
    if text is not None:
        message = "config_version does not have the form r12"
        fields.add("config_version", schema.OPTION_FORMAT, message)
    return None


def _decode_service(name, fields):
    health_path = fields.require("health_path", str)
    max_connections = fields.require("max_conns", int)
    cold_per_s = 0.0
    if fields.get("warmup_per_s") is not None:
        cold_per_s = fields.require("warmup_per_s", (int, float))
    warmup_s = 0.0
    if fields.get("warmup") is not None:
        warmup_s = fields.duration_s("warmup")
    if not fields.are_valid:
        return None
    return Service(
        name=name,
        health_path=health_path,
        max_connections=max_connections,
        keyed=bool(fields.get("sharded")),
        cold_per_s=cold_per_s if 0 < cold_per_s < math.inf else None,
        warmup_s=warmup_s,
    )


def _decode_route(name, fields, services):
    route_type = fields.require("route_type", str)
    if route_type is not None and route_type not in _IDEMPOTENT_BY_TYPE:
        message = f"has the unknown type {route_type[:40]!r}"
        fields.add("route_type", schema.OPTION_RANGE, message)
    shares = _decode_shares(fields, services)
    timeout_s = fields.duration_s("timeout", required=False)
    host = fields.require("hostname", str)
    prefix = fields.require("prefix", str)
    for field, text in (("hostname", host), ("prefix", prefix)):
        if text is not None and not _is_encodable(text):
            fields.add(field, schema.OPTION_FORMAT, "has unpaired surrogates")
    objective_s = fields.duration_s("target_latency")
    max_attempts = fields.require("max_attempts", int)
    priority = fields.require("priority", int)
    if not fields.are_valid:
        return None
    return Route(
        name=name,
        host=host.lower(),
        prefix=prefix,
        idempotent=_IDEMPOTENT_BY_TYPE[route_type],
        timeout_s=timeout_s,
        objective_s=objective_s,
        max_attempts=max_attempts,
        priority=priority,
        shares=shares,
    )


def _is_encodable(text):
    # JSON may have unpaired surrogates, which no request has.
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _decode_shares(fields, services):
    if not fields.has("traffic_split"):
        service = fields.require("service", str)
        if service is not None and service not in services:
            message = f"no service {service[:63]!r} exists"
            fields.add("service", codes.UNKNOWN_SERVICE_NAMED, message)
        return [Share(service=service, weight=1)]
    shares = []
    for index, body in enumerate(fields.require("traffic_split", list) or ()):
        part = _Fields(body, f"{fields.path}.traffic_split[{index}]", fields._problems)
        service = part.require("service", str)
        weight = part.require("weight", (int, float))
        if service is not None and service not in services:
            message = f"no service {service[:63]!r} exists"
            part.add("service", codes.UNKNOWN_SERVICE_NAMED, message)
        if part.are_valid:
            shares.append(Share(service=service, weight=weight))
    if fields.get("traffic_split") == []:
        fields.add("traffic_split", schema.OPTION_RANGE, "has no parts")
    # An empty list is finite; it has been reported.
    if not sum(share.weight for share in shares) < math.inf:
        fields.add(
            "traffic_split", schema.OPTION_RANGE, "has weights that are not finite"
        )
    return shares


def _decode_limits(fields):
    limits = {
        "head_bytes": fields.require("max_header_bytes", int),
        "body_bytes": fields.require("max_body_bytes", int),
        "head_timeout_s": fields.duration_s("header_timeout"),
        "idle_timeout_s": fields.duration_s("idle_timeout"),
    }
    return CallerLimits(**limits) if fields.are_valid else None
