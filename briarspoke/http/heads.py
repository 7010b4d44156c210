"""Encoding of request heads for backend servers and gateways."""

from __future__ import annotations

from briarspoke.http import wire
from briarspoke.http.forward import Forward, sign

_BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


def request_head(relay, connection):
    """Returns request line and headers for a connection, blank line included.

    :param relay: the :class:`briarspoke.http.relay.Relay`.
    :param connection: the :class:`briarspoke.http.upstream.UpstreamConnection`.
    """
    head = relay.head
    method = head.method.encode()
    target = head.target.encode("latin-1")
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b" % (method, target, connection.pool.host_header)
    ]
    headers = relay.raw_headers
    options = wire.connection_options(headers)
    dropped = wire.DROPPED_FROM_REQUESTS
    for name, value in headers:
        if name not in dropped and name not in options:
            lines.append(name + b": " + value)
    remaining_ms = max(1, int((relay.classified.deadline - relay.router.now()) * 1000))
    if relay.peer is None:
        lines.append(_server_headers(relay, remaining_ms))
    else:
        lines.append(_gateway_headers(relay, method, target, remaining_ms))
    if relay.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif relay.length or head.method not in _BODYLESS_METHODS:
        lines.append(b"Content-Length: %d" % relay.length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def _server_headers(relay, remaining_ms):
    classified = relay.classified
    return (
        f"Briarspoke-Epoch: {relay.route.epoch}\r\n"
        f"Briarspoke-Partition: {classified.service.name}/{classified.partition}\r\n"
        f"Briarspoke-Owner: {relay.route.server}\r\n"
        f"Briarspoke-Deadline-Ms: {remaining_ms}\r\n"
        f"Briarspoke-Request-Id: {relay.request_id}"
    ).encode()


def _gateway_headers(relay, method, target, remaining_ms):
    classified = relay.classified
    forward = Forward(
        origin=relay.router.node_id,
        gateway=relay.peer.node_id,
        service=classified.service.name,
        partition=classified.partition,
        owner=relay.route.server,
        epoch=relay.route.epoch,
        rank=classified.rank,
        deadline_ms=remaining_ms,
        idempotent=classified.idempotent,
        request_id=relay.request_id,
        caller=classified.caller,
    )
    return sign(
        forward,
        relay.router.forward_key,
        method=method,
        target=target,
        idempotency_key=relay.head.headers.get("idempotency-key", "").encode("latin-1"),
    )
