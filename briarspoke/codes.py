"""The registry of numbered result codes."""

from __future__ import annotations

import enum


class Kind(enum.Enum):
    """What caused a result: a rule, load, a failure, the caller or the program."""

    OPERATOR_RULE = "operator-rule"
    LOAD = "load"
    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown-outcome"
    CALLER_ERROR = "caller-error"
    INTERNAL = "internal"


class ResultCode:
    """One numbered result.

    :param number: unique number; its thousands digit is the block.
    :param name: unique name in kebab case.
    :param kind: what caused the result.
    :param http_status: status of the HTTP answer that carries the code.
    :param meaning: one sentence, used in the documentation and as default detail.
    """

    __slots__ = ("http_status", "kind", "meaning", "name", "number")

    def __init__(self, *, number, name, kind, http_status, meaning):
        self.number = number
        self.name = name
        self.kind = kind
        self.http_status = http_status
        self.meaning = meaning

    def __repr__(self):
        return f"<ResultCode {self.number} {self.name}>"


by_number: dict[int, ResultCode] = {}
by_name: dict[str, ResultCode] = {}


def register(number, name, kind, http_status, meaning):
    """Adds a result code to the registry and returns it.

    :raises ValueError: if the number or the name is taken.
    """
    if number in by_number or name in by_name:
        raise ValueError(f"result code {number} {name} is already registered")
    code = ResultCode(
        number=number,
        name=name,
        kind=kind,
        http_status=http_status,
        meaning=meaning,
    )
    by_number[number] = code
    by_name[name] = code
    return code


# 1xxx: an operator's rule refused the request; it was not run.
SERVICE_RATE_LIMIT = register(
    1001,
    "service-rate-limit",
    Kind.OPERATOR_RULE,
    429,
    "The operator's rate limit for the service is exhausted.",
)
RANK_RATE_LIMIT = register(
    1002,
    "rank-rate-limit",
    Kind.OPERATOR_RULE,
    429,
    "The operator's rate limit for the rank is exhausted.",
)
CALLER_RATE_LIMIT = register(
    1003,
    "caller-rate-limit",
    Kind.OPERATOR_RULE,
    429,
    "The operator's rate limit per caller is exhausted.",
)
CALLER_CONCURRENCY_LIMIT = register(
    1004,
    "caller-concurrency-limit",
    Kind.OPERATOR_RULE,
    429,
    "The caller has as many requests in flight as the operator allows.",
)
BODY_TOO_LARGE = register(
    1005,
    "body-too-large",
    Kind.OPERATOR_RULE,
    413,
    "The request body is larger than the operator allows for the service.",
)
SERVICE_DISABLED = register(
    1006,
    "service-disabled",
    Kind.OPERATOR_RULE,
    403,
    "The operator has disabled the service.",
)

# 2xxx: a load decision refused the request; it was not run.
QUEUE_FULL = register(
    2001,
    "queue-full",
    Kind.LOAD,
    503,
    "The queue of the rank at the owning server is full.",
)
DEADLINE_IN_QUEUE = register(
    2002,
    "deadline-in-queue",
    Kind.LOAD,
    503,
    "The deadline passed while the request waited for a slot.",
)
SERVER_SHED = register(
    2003,
    "server-shed",
    Kind.LOAD,
    503,
    "The owning server shed the request and no retries are left.",
)
RETRY_BUDGET_SPENT = register(
    2004,
    "retry-budget-spent",
    Kind.LOAD,
    503,
    "The owning server shed the request and the retry budget is exhausted.",
)
NO_CONNECTION_FREE = register(
    2005,
    "no-connection-free",
    Kind.LOAD,
    503,
    "Every connection allowed to the owning server is in use.",
)
DISPLACED = register(
    2006,
    "displaced",
    Kind.LOAD,
    503,
    "A request of a more urgent rank took the request's place in the queue.",
)
DEADLINE_UNREACHABLE = register(
    2007,
    "deadline-unreachable",
    Kind.LOAD,
    503,
    "The queue is too long for the request's deadline to be met.",
)
OWNER_OVERLOADED = register(
    2008,
    "owner-overloaded",
    Kind.LOAD,
    503,
    "The key gets more requests than its owner can run; not run.",
)
MEMORY_LIMIT = register(
    2009,
    "memory-limit",
    Kind.LOAD,
    503,
    "The bodies of requests take too much memory at this entry VM; not run.",
)
SERVER_RATE_LIMIT = register(
    2010,
    "server-rate-limit",
    Kind.LOAD,
    503,
    "The server takes fewer requests a second than it gets; not run.",
)

SERVER_PAUSED = register(
    2011,
    "server-paused",
    Kind.LOAD,
    503,
    "The servers have asked for a pause that ends too late; not run.",
)

# 3xxx: the owner or this entry VM is unavailable, or the outcome is unknown.
NO_OWNER = register(
    3001,
    "no-owner",
    Kind.UNAVAILABLE,
    503,
    "No server currently owns the key; the request was not run.",
)
OWNER_UNREACHABLE = register(
    3002,
    "owner-unreachable",
    Kind.UNAVAILABLE,
    503,
    "The owning server cannot be reached; the request was not run.",
)
PARTITION_MOVING = register(
    3003,
    "partition-moving",
    Kind.UNAVAILABLE,
    503,
    "The key is being moved to another server; the request was not run.",
)
OWNER_FENCED = register(
    3004,
    "owner-fenced",
    Kind.UNAVAILABLE,
    503,
    "The server does not hold the key at this epoch; the request was not run.",
)
NO_ROUTING_LEASE = register(
    3005,
    "no-routing-lease",
    Kind.UNAVAILABLE,
    503,
    "This entry VM may not currently route to the server; not run.",
)
GATEWAY_UNREACHABLE = register(
    3006,
    "gateway-unreachable",
    Kind.UNAVAILABLE,
    503,
    "The server's gateway, another entry VM, cannot be reached; not run.",
)
SHUTTING_DOWN = register(
    3007,
    "shutting-down",
    Kind.UNAVAILABLE,
    503,
    "The entry VM is shutting down and accepts no new requests; not run.",
)
NOT_READY = register(
    3008,
    "not-ready",
    Kind.UNAVAILABLE,
    503,
    "The entry VM has no configuration yet; the request was not run.",
)
ENDS_SERVERS = register(
    3009,
    "ends-servers",
    Kind.UNAVAILABLE,
    503,
    "Servers ended each time while they ran this request; not run.",
)
ZONE_EVACUATED = register(
    3010,
    "zone-evacuated",
    Kind.UNAVAILABLE,
    503,
    "All servers of the service are in evacuated zones; the request was not run.",
)
ROUTE_UNCERTAIN = register(
    3011,
    "route-uncertain",
    Kind.UNAVAILABLE,
    503,
    "No known route matches, and the configuration may be out of date; not run.",
)
OUTCOME_UNKNOWN = register(
    3101,
    "outcome-unknown",
    Kind.UNKNOWN_OUTCOME,
    502,
    "The connection to the server failed; the request may have run.",
)
ANSWER_TIMEOUT = register(
    3102,
    "answer-timeout",
    Kind.UNKNOWN_OUTCOME,
    504,
    "No answer came before the deadline; the request may have run.",
)
ANSWER_MALFORMED = register(
    3103,
    "answer-malformed",
    Kind.UNKNOWN_OUTCOME,
    502,
    "The server's answer is not valid HTTP; the request may have run.",
)
REQUEST_INTERRUPTED = register(
    3104,
    "request-interrupted",
    Kind.UNKNOWN_OUTCOME,
    502,
    "The request was interrupted while the server received it; it may have run.",
)
ANSWER_WITHHELD = register(
    3105,
    "answer-withheld",
    Kind.UNKNOWN_OUTCOME,
    502,
    "The server's status would promise that the request has not run; it may have run.",
)

# 4xxx: an error of the caller; the request was not run.
MALFORMED_REQUEST = register(
    4001,
    "malformed-request",
    Kind.CALLER_ERROR,
    400,
    "The request is not valid HTTP.",
)
UNKNOWN_SERVICE = register(
    4002,
    "unknown-service",
    Kind.CALLER_ERROR,
    404,
    "No service has this name.",
)
MISSING_KEY = register(
    4003,
    "missing-key",
    Kind.CALLER_ERROR,
    400,
    "The request does not carry the key that the service declares.",
)
BAD_DEADLINE = register(
    4004,
    "bad-deadline",
    Kind.CALLER_ERROR,
    400,
    "The deadline is not a positive whole number of milliseconds.",
)
DEADLINE_PASSED = register(
    4005,
    "deadline-passed",
    Kind.CALLER_ERROR,
    408,
    "The deadline passed before the whole request had arrived.",
)
HEAD_TOO_LARGE = register(
    4006,
    "head-too-large",
    Kind.CALLER_ERROR,
    431,
    "The request line and headers are too large.",
)
REQUEST_TIMEOUT = register(
    4007,
    "request-timeout",
    Kind.CALLER_ERROR,
    408,
    "The rest of the request did not arrive in time.",
)
CALLER_GONE = register(
    4008,
    "caller-gone",
    Kind.CALLER_ERROR,
    400,
    "The caller closed the connection before the answer.",
)
PEER_UNAUTHENTICATED = register(
    4009,
    "peer-unauthenticated",
    Kind.CALLER_ERROR,
    401,
    "A forwarded request does not carry a valid peer signature.",
)

# 7xxx: errors inside the program.
INVARIANT = register(
    7001,
    "invariant",
    Kind.INTERNAL,
    500,
    "An assertion inside the program failed.",
)
INTERNAL_ERROR = register(
    7002,
    "internal-error",
    Kind.INTERNAL,
    500,
    "An unexpected error occurred inside the program.",
)
