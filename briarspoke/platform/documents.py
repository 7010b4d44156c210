"""Documents of the platform's store, decoded into the product's types."""

from __future__ import annotations

import json
import re

from briarspoke.entry.routes import CallerLimits, Route, RoutingTable, Service, Share
from briarspoke.entry.servers import ServerRecord
from briarspoke.platform.values import DecodeError, member, seconds

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"

_VERSION = re.compile(r"r(\d+)")
_ADDRESS = re.compile(r"([0-9.]+):(\d{1,5})")
_STATES = frozenset({"ready", "draining"})
# What a route of this type promises about running a request twice.
_IDEMPOTENT_BY_TYPE = {"safe": True, "unsafe": False, "upload": False}


def _object(data):
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"it is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise DecodeError("it is not a JSON object")
    return body


def decode_configuration(data):
    """Decodes the operator's configuration.

    :param data: bytes of the document.
    :returns: a :class:`briarspoke.entry.routes.RoutingTable`.
    :raises DecodeError: if any part of it cannot be used.
    """
    body = _object(data)
    version = _VERSION.fullmatch(member(body, "config_version", str))
    if version is None:
        raise DecodeError("config_version does not have the form r12")
    services = {
        name: _service(name, value)
        for name, value in member(body, "services", dict).items()
    }
    routes = [
        _route(name, value, services)
        for name, value in member(body, "routes", dict).items()
    ]
    return RoutingTable(
        version=int(version[1]),
        routes=routes,
        services=services,
        limits=_limits(member(body, "limits", dict)),
    )


def _service(name, body):
    keyed = bool(body.get("sharded", False))
    return Service(
        name=name,
        health_path=member(body, "health_path", str),
        max_connections=member(body, "max_conns", int),
        keyed=keyed,
    )


def _route(name, body, services):
    route_type = member(body, "route_type", str)
    if route_type not in _IDEMPOTENT_BY_TYPE:
        raise DecodeError(f"route {name} has the unknown type {route_type!r}")
    if "traffic_split" in body:
        shares = [
            Share(
                service=member(part, "service", str),
                weight=member(part, "weight", (int, float)),
            )
            for part in member(body, "traffic_split", list)
        ]
    else:
        shares = [Share(service=member(body, "service", str), weight=1)]
    unknown = [share.service for share in shares if share.service not in services]
    if unknown or not shares:
        raise DecodeError(f"route {name} goes to unknown services {unknown}")
    timeout = body.get("timeout")
    return Route(
        name=name,
        host=member(body, "hostname", str).lower(),
        prefix=member(body, "prefix", str),
        idempotent=_IDEMPOTENT_BY_TYPE[route_type],
        timeout_s=seconds(timeout) if timeout else None,
        objective_s=seconds(member(body, "target_latency", str)),
        max_attempts=member(body, "max_attempts", int),
        priority=member(body, "priority", int),
        shares=shares,
    )


def _limits(body):
    return CallerLimits(
        head_bytes=member(body, "max_header_bytes", int),
        body_bytes=member(body, "max_body_bytes", int),
        head_timeout_s=seconds(member(body, "header_timeout", str)),
        idle_timeout_s=seconds(member(body, "idle_timeout", str)),
    )


def decode_server(key, data):
    """Decodes the registration of a server.

    :param key: key of the entry in the store.
    :param data: bytes of the entry.
    :raises DecodeError: if it names no server that could be used.
    """
    body = _object(data)
    address = _ADDRESS.fullmatch(member(body, "address", str))
    if address is None:
        raise DecodeError("address does not have the form IP:PORT")
    state = member(body, "state", str)
    if state not in _STATES:
        raise DecodeError(f"state {state[:20]!r} is unknown")
    born = body.get("born")
    if born is not None and not isinstance(born, int):
        raise DecodeError("born is not a whole number")
    return ServerRecord(
        server_id=key.removeprefix(SERVER_PREFIX),
        service=member(body, "service", str),
        host=address[1],
        port=int(address[2]),
        zone=member(body, "zone", str),
        slots=max(1, member(body, "slots", int)),
        draining=state == "draining",
        incarnation=born or 0,
        warmup_s=seconds(body["warmup_left"]) if "warmup_left" in body else 0.0,
    )
