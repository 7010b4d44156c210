"""Encoding of request heads for backend servers and gateways."""

from __future__ import annotations

from briarspoke.http import wire
from briarspoke.http.forward import Forward, sign

_BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


def request_head(proxied, connection):
    """Returns request line and headers for a connection, blank line included.

    :param proxied: the :class:`briarspoke.http.proxied_request.ProxiedRequest`.
    :param connection: the :class:`briarspoke.http.upstream.UpstreamConnection`.
    """
    head = proxied.head
    method = head.method.encode()
    target = head.target.encode("latin-1")
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b" % (method, target, connection.pool.host_header)
    ]
    headers = proxied.raw_headers
    options = wire.connection_options(headers)
    dropped = wire.DROPPED_FROM_REQUESTS
    for name, value in headers:
        if name not in dropped and name not in options:
            lines.append(name + b": " + value)
    remaining_ms = max(
        1, int((proxied.classified.deadline - proxied.router.now()) * 1000)
    )
    if proxied.peer is None:
        lines.append(_server_headers(proxied, remaining_ms))
    else:
        lines.append(_gateway_headers(proxied, method, target, remaining_ms))
    if proxied.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif proxied.length or head.method not in _BODYLESS_METHODS:
        lines.append(b"Content-Length: %d" % proxied.length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def _server_headers(proxied, remaining_ms):
    classified = proxied.classified
    return (
        f"Briarspoke-Epoch: {proxied.route.epoch}\r\n"
        f"Briarspoke-Partition: {classified.service.name}/{classified.partition}\r\n"
        f"Briarspoke-Owner: {proxied.route.server}\r\n"
        f"Briarspoke-Deadline-Ms: {remaining_ms}\r\n"
        f"Briarspoke-Request-Id: {proxied.request_id}"
    ).encode()


def _gateway_headers(proxied, method, target, remaining_ms):
    classified = proxied.classified
    forward = Forward(
        origin=proxied.router.node_id,
        gateway=proxied.peer.node_id,
        service=classified.service.name,
        partition=classified.partition,
        owner=proxied.route.server,
        epoch=proxied.route.epoch,
        rank=classified.rank,
        deadline_ms=remaining_ms,
        idempotent=classified.idempotent,
        request_id=proxied.request_id,
        caller=classified.caller,
    )
    return sign(
        forward,
        proxied.router.forward_key,
        method=method,
        target=target,
        idempotency_key=proxied.head.headers.get("idempotency-key", "").encode(
            "latin-1"
        ),
    )
