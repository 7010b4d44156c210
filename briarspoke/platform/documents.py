"""Decoders for the documents in the platform's key-value store."""

from __future__ import annotations

import ipaddress
import json
import re

from briarspoke.entry.servers import ServerRecord
from briarspoke.platform import configuration
from briarspoke.platform.values import DecodeError, parse_duration_s, require_field

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
# An item below this prefix asks that the servers of the named zone get no requests.
EVACUATION_PREFIX = "op/evacuate/"

_ADDRESS = re.compile(r"([0-9.]{7,15}):(\d{1,5})")
MAX_PORT = 65_535
# More slots than any server has; guards calculations against absurd numbers.
MAX_SLOTS = 100_000
# Identifiers of servers are sent in a header.
_SERVER_ID = re.compile(r"[\x21-\x7e]{1,200}")
# Larger numbers than any clock or counter has.
MAX_NUMBER = 1 << 53
_STATES = frozenset({"ready", "draining"})
# Problems of a configuration in one log line.
MAX_PROBLEMS_TOLD = 3


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
    problems = []
    table = configuration.decode(_decode_object(data), problems)
    if problems:
        raise DecodeError("; ".join(map(str, problems[:MAX_PROBLEMS_TOLD])))
    return table


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
