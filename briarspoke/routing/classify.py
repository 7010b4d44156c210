"""Determines the service, partition, rank and deadline of a request.

An ``Idempotency-Key`` header is passed on to the server but does not make a
request idempotent: only the operator knows whether the service's servers honour
it. A rank rule with ``"header": "Idempotency-Key", "idempotent": true`` declares it.
"""

from __future__ import annotations

from urllib.parse import parse_qsl, unquote_to_bytes

from briarspoke import codes
from briarspoke.configuration.resources import RANKS
from briarspoke.errors import Refusal
from briarspoke.hashing import partition_of

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
LOOKUP_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_DEADLINE_MS = 3_600_000
MAX_QUERY_FIELDS = 1000

AMBIGUOUS_KEY = codes.register(
    4010,
    "ambiguous-key",
    codes.Kind.CALLER_ERROR,
    400,
    "The request carries several different keys.",
)


class RequestHead:
    """Request line and headers of a request.

    :param method: HTTP method in upper case.
    :param target: path and query as received.
    :param headers: values by header name in lower case.
    :param caller: identity of the caller for limits.
    """

    __slots__ = ("caller", "headers", "method", "target")

    def __init__(self, *, method, target, headers, caller):
        self.method = method
        self.target = target
        self.headers = headers
        self.caller = caller


class Classified:
    """A request that is ready to be routed.

    :param service: the :class:`Service`.
    :param partition: partition of its key.
    :param deadline: monotonic time in seconds.
    :param idempotent: whether the request may run twice.
    :ivar permit: permit from the operators' limits, or None.
    """

    __slots__ = (
        "caller",
        "deadline",
        "idempotent",
        "partition",
        "permit",
        "rank",
        "service",
    )

    def __init__(self, *, service, partition, rank, deadline, idempotent, caller):
        self.service = service
        self.partition = partition
        self.rank = rank
        self.deadline = deadline
        self.idempotent = idempotent
        self.caller = caller
        self.permit = None


def classify(head, configuration, now):
    """Returns the :class:`Classified` request.

    :param now: monotonic time in seconds.
    :raises Refusal: with a 1xxx or 4xxx code.
    """
    path, _, query = _origin_form(head.target).partition("?")
    segments = path.split("/")
    name = segments[1] if len(segments) > 1 else ""
    service = configuration.services_by_name.get(name)
    if service is None:
        raise Refusal(codes.UNKNOWN_SERVICE)
    if not service.enabled:
        raise Refusal(codes.SERVICE_DISABLED)
    key = _key(service.key, segments, query, head.headers)
    rank, idempotent = _rank(service, path[len(name) + 1 :], head)
    deadline_ms = _deadline_ms(head.headers, service.ranks[rank].deadline_ms)
    return Classified(
        service=service,
        partition=partition_of(key, service.partitions),
        rank=rank,
        deadline=now + deadline_ms / 1000,
        idempotent=idempotent,
        caller=head.caller,
    )


def _origin_form(target):
    """Returns path and query of a target that may be an absolute URL."""
    if target.startswith("/"):
        return target
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return target
    path_at = min(
        (at for at in (rest.find("/"), rest.find("?")) if at >= 0), default=len(rest)
    )
    path = rest[path_at:]
    return path if path.startswith("/") else "/" + path


def _key(rule, segments, query, headers):
    """Returns the key as bytes, since decoding could make different keys equal."""
    key = b""
    if rule.source == "path":
        index = int(rule.name) + 2
        key = unquote_to_bytes(segments[index]) if index < len(segments) else b""
    elif rule.source == "header":
        key = headers.get(rule.name.lower(), "").encode("latin-1", "replace")
    else:
        key = _query_key(rule.name, query)
    if not key:
        raise Refusal(codes.MISSING_KEY, f"no {rule.source} {rule.name}")
    return key


def _query_key(name, query):
    try:
        # Latin-1 maps each byte to one character and never fails.
        fields = parse_qsl(query, encoding="latin-1", max_num_fields=MAX_QUERY_FIELDS)
    except ValueError as error:
        raise Refusal(codes.MALFORMED_REQUEST, "too many query fields") from error
    wanted = name.encode().decode("latin-1")
    values = {value for field, value in fields if field == wanted}
    if len(values) > 1:
        # The server might use another of the values as the key and not own it.
        raise Refusal(AMBIGUOUS_KEY, f"query field {name} has several values")
    return values.pop().encode("latin-1") if values else b""


def _rank(service, rest, head):
    # Rules match the decoded path, so that an escaped letter cannot bypass them.
    rest = unquote_to_bytes(rest).decode("utf-8", "replace")
    for rule in service.rank_rules:
        if rule.methods and head.method not in rule.methods:
            continue
        if not rest.startswith(rule.path_prefix):
            continue
        if rule.header is not None:
            value = head.headers.get(rule.header.lower())
            if value is None or (rule.value is not None and value != rule.value):
                continue
        idempotent = rule.idempotent
        if idempotent is None:
            idempotent = head.method in IDEMPOTENT_METHODS
        return rule.rank, idempotent
    rank = RANKS[0] if head.method in LOOKUP_METHODS else RANKS[1]
    return rank, head.method in IDEMPOTENT_METHODS


def _deadline_ms(headers, default_ms):
    value = headers.get("briarspoke-deadline-ms")
    if value is None:
        return default_ms
    if not (value.isascii() and value.isdigit()) or len(value) > 12:
        raise Refusal(codes.BAD_DEADLINE)
    if not 0 < int(value) <= MAX_DEADLINE_MS:
        raise Refusal(codes.BAD_DEADLINE)
    return int(value)
