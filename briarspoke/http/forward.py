"""Signed headers of the requests that entry VMs forward to gateways."""

from __future__ import annotations

import hmac
from urllib.parse import quote, unquote

from briarspoke import codes
from briarspoke.configuration.resources import RANKS
from briarspoke.errors import Refusal
from briarspoke.routing.classify import MAX_DEADLINE_MS, Classified

_VERSION = "1"
_KEY_LABEL = b"briarspoke forward 1"


class Forward:
    """The signed fields of a forwarded request.

    :param origin: node that accepted the request from its caller.
    :param gateway: node to which the request is addressed.
    :param owner: server that owns the partition in the routing table of the origin.
    :param epoch: epoch of the partition in the routing table of the origin.
    :param deadline_ms: time until the deadline, in milliseconds.
    :param idempotent: whether the request may run twice.
    """

    __slots__ = (
        "caller",
        "deadline_ms",
        "epoch",
        "gateway",
        "idempotent",
        "origin",
        "owner",
        "partition",
        "rank",
        "request_id",
        "service",
    )

    def __init__(
        self,
        *,
        origin,
        gateway,
        service,
        partition,
        owner,
        epoch,
        rank,
        deadline_ms,
        idempotent,
        request_id,
        caller,
    ):
        self.origin = origin
        self.gateway = gateway
        self.service = service
        self.partition = partition
        self.owner = owner
        self.epoch = epoch
        self.rank = rank
        self.deadline_ms = deadline_ms
        self.idempotent = idempotent
        self.request_id = request_id
        self.caller = caller


def forward_key(cluster_key):
    """Returns the key that signs forwarded requests.

    Links use the same cluster key with other labels, so that a signature of one
    protocol is never valid in another.
    """
    return hmac.digest(cluster_key.encode(), _KEY_LABEL, "sha256")


def _signature(key, method, target, value, idempotency_key):
    message = b"\n".join((method, target, value, idempotency_key))
    return hmac.digest(key, message, "sha256").hex().encode()


def sign(forward, key, *, method, target, idempotency_key=b""):
    """Returns the two headers of a forwarded request, as bytes.

    :param forward: the :class:`briarspoke.http.forward.Forward`.
    :param key: result of :func:`forward_key`.
    :param method: HTTP method in bytes.
    :param target: path and query in bytes.
    """
    value = " ".join(
        (
            _VERSION,
            forward.origin,
            forward.gateway,
            forward.service,
            str(forward.partition),
            forward.owner,
            str(forward.epoch),
            forward.rank,
            str(forward.deadline_ms),
            "1" if forward.idempotent else "0",
            forward.request_id,
            quote(forward.caller, safe=""),
        )
    ).encode()
    signature = _signature(key, method, target, value, idempotency_key)
    return b"Briarspoke-Forward: %b\r\nBriarspoke-Signature: %b" % (value, signature)


def verify(headers, key, *, method, target, node_id):
    """Returns the :class:`Forward` of a forwarded request.

    :param headers: values by header name in lower case.
    :param key: result of :func:`forward_key`.
    :param node_id: this node, to which the request must be addressed.
    :raises Refusal: if the signature is missing or wrong, or if the request is signed
        for another protocol version or another gateway.
    """
    value = headers.get("briarspoke-forward", "").encode("latin-1")
    received_signature = headers.get("briarspoke-signature", "").encode("latin-1")
    idempotency_key = headers.get("idempotency-key", "").encode("latin-1")
    expected_signature = _signature(key, method, target, value, idempotency_key)
    if not hmac.compare_digest(received_signature, expected_signature):
        raise Refusal(codes.PEER_UNAUTHENTICATED)
    fields = value.decode("latin-1").split(" ")
    if len(fields) != 12 or fields[0] != _VERSION or fields[2] != node_id:
        raise Refusal(
            codes.PEER_UNAUTHENTICATED, "signed for another protocol version or gateway"
        )
    return Forward(
        origin=fields[1],
        gateway=fields[2],
        service=fields[3],
        partition=int(fields[4]),
        owner=fields[5],
        epoch=int(fields[6]),
        rank=fields[7],
        deadline_ms=int(fields[8]),
        idempotent=fields[9] == "1",
        request_id=fields[10],
        caller=unquote(fields[11]),
    )


def classify_forward(forward, configuration, now):
    """Returns the :class:`Classified` of a verified forwarded request.

    The origin has already classified the request and applied the limits.

    :param now: monotonic seconds.
    :raises Refusal: if this node does not know the service, or if rank or deadline
        are invalid.
    """
    service = configuration.services_by_name.get(forward.service)
    if service is None:
        raise Refusal(codes.UNKNOWN_SERVICE)
    if forward.rank not in RANKS or not 0 < forward.deadline_ms <= MAX_DEADLINE_MS:
        raise Refusal(
            codes.MALFORMED_REQUEST, "invalid rank or deadline in the signed fields"
        )
    return Classified(
        service=service,
        partition=forward.partition,
        rank=forward.rank,
        deadline=now + forward.deadline_ms / 1000,
        idempotent=forward.idempotent,
        caller=forward.caller,
    )
