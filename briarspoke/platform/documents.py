"""Decoders for the documents in the platform's key-value store."""

from __future__ import annotations

import ipaddress
import json
import math
import re

from briarspoke.entry.routes import CallerLimits, Route, RoutingTable, Service, Share
from briarspoke.entry.servers import ServerRecord
from briarspoke.platform.values import DecodeError, parse_duration_s, require_field

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
# An item below this prefix asks that the servers of the named zone get no requests.
EVACUATION_PREFIX = "op/evacuate/"

_VERSION = re.compile(r"r(\d+)")
_ADDRESS = re.compile(r"([0-9.]{7,15}):(\d{1,5})")
MAX_PORT = 65_535
# More slots than any server has; guards calculations against absurd numbers.
MAX_SLOTS = 100_000
# Identifiers of servers are sent in a header.
_SERVER_ID = re.compile(r"[\x21-\x7e]{1,200}")
# Larger numbers than any clock or counter has.
MAX_NUMBER = 1 << 53
_STATES = frozenset({"ready", "draining"})
# Whether a request on a route of this type may run twice.
_IDEMPOTENT_BY_TYPE = {"safe": True, "unsafe": False, "upload": False}


def _decode_object(data):
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"the document is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise DecodeError("the document is not a JSON object")
    return body


def decode_configuration(data):
    """Decodes the operator's configuration.

    :param data: bytes of the document.
    :returns: a :class:`briarspoke.entry.routes.RoutingTable`.
    :raises DecodeError: if any part of the document is invalid.
    """
    body = _decode_object(data)
    version = _VERSION.fullmatch(require_field(body, "config_version", str))
    if version is None:
        raise DecodeError("config_version does not have the form r12")
    services = {
        name: _decode_service(name, value)
        for name, value in require_field(body, "services", dict).items()
    }
    routes = [
        _decode_route(name, value, services)
        for name, value in require_field(body, "routes", dict).items()
    ]
    return RoutingTable(
        version=int(version[1]),
        routes=routes,
        services=services,
        limits=_decode_limits(require_field(body, "limits", dict)),
    )


def _decode_service(name, body):
    health_path = require_field(body, "health_path", str)
    keyed = bool(body.get("sharded", False))
    cold_per_s = 0.0
    if body.get("warmup_per_s") is not None:
        cold_per_s = require_field(body, "warmup_per_s", (int, float))
    warmup = body.get("warmup")
    return Service(
        name=name,
        health_path=health_path,
        max_connections=require_field(body, "max_conns", int),
        keyed=keyed,
        cold_per_s=cold_per_s if 0 < cold_per_s < math.inf else None,
        warmup_s=0.0 if warmup is None else parse_duration_s(warmup),
    )


def _decode_route(name, body, services):
    route_type = require_field(body, "route_type", str)
    if route_type not in _IDEMPOTENT_BY_TYPE:
        raise DecodeError(f"route {name} has the unknown type {route_type!r}")
    if "traffic_split" in body:
        shares = [
            Share(
                service=require_field(share_body, "service", str),
                weight=require_field(share_body, "weight", (int, float)),
            )
            for share_body in require_field(body, "traffic_split", list)
        ]
    else:
        shares = [Share(service=require_field(body, "service", str), weight=1)]
    unknown_services = [
        share.service for share in shares if share.service not in services
    ]
    if not sum(share.weight for share in shares) < math.inf:
        raise DecodeError(f"route {name} has weights that are not finite")
    if unknown_services or not shares:
        raise DecodeError(f"route {name} names unknown services {unknown_services}")
    timeout = body.get("timeout")
    return Route(
        name=name,
        host=require_field(body, "hostname", str).lower(),
        prefix=require_field(body, "prefix", str),
        idempotent=_IDEMPOTENT_BY_TYPE[route_type],
        timeout_s=parse_duration_s(timeout) if timeout else None,
        objective_s=parse_duration_s(require_field(body, "target_latency", str)),
        max_attempts=require_field(body, "max_attempts", int),
        priority=require_field(body, "priority", int),
        shares=shares,
    )


def _decode_limits(body):
    return CallerLimits(
        head_bytes=require_field(body, "max_header_bytes", int),
        body_bytes=require_field(body, "max_body_bytes", int),
        head_timeout_s=parse_duration_s(require_field(body, "header_timeout", str)),
        idle_timeout_s=parse_duration_s(require_field(body, "idle_timeout", str)),
    )


def _decode_address(text):
    address = _ADDRESS.fullmatch(text)
    if address is None:
        raise DecodeError("address does not have the form IP:PORT")
    host, port = address[1], int(address[2])
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise DecodeError(f"address has no valid IP: {error}") from error
    if not 0 < port <= MAX_PORT:
        raise DecodeError("the port of address is out of range")
    return host, port


def decode_server(key, data):
    """Decodes the registration of a server.

    :param key: key of the entry in the store.
    :param data: bytes of the entry.
    :returns: a :class:`briarspoke.entry.servers.ServerRecord`.
    :raises DecodeError: if the registration is invalid.
    """
    server_id = key.removeprefix(SERVER_PREFIX)
    if not _SERVER_ID.fullmatch(server_id):
        raise DecodeError("the identifier has characters that no header may have")
    body = _decode_object(data)
    host, port = _decode_address(require_field(body, "address", str))
    state = require_field(body, "state", str)
    if state not in _STATES:
        raise DecodeError(f"state {state[:20]!r} is unknown")
    incarnation = sequence = 0
    if body.get("born") is not None:
        incarnation = require_field(body, "born", int)
    if body.get("seq") is not None:
        sequence = require_field(body, "seq", int)
    if max(abs(incarnation), abs(sequence)) > MAX_NUMBER:
        raise DecodeError("born or seq is out of range")
    slots = require_field(body, "slots", int)
    if slots > MAX_SLOTS:
        raise DecodeError("slots is out of range")
    return ServerRecord(
        server_id=server_id,
        service=require_field(body, "service", str),
        host=host,
        port=port,
        zone=require_field(body, "zone", str),
        slots=max(1, slots),
        draining=state == "draining",
        incarnation=incarnation,
        sequence=sequence,
        warmup_s=parse_duration_s(body["warmup_left"])
        if "warmup_left" in body
        else 0.0,
    )
