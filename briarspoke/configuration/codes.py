"""Result codes of the operators' API and the configuration."""

from __future__ import annotations

from briarspoke.codes import Kind, register

# 50xx: the API call itself.
UNAUTHENTICATED = register(
    5001,
    "unauthenticated",
    Kind.CALLER_ERROR,
    401,
    "The call carries no bearer token of a known operator.",
)
ROLE_REQUIRED = register(
    5002,
    "role-required",
    Kind.CALLER_ERROR,
    403,
    "The operator's role does not permit the call.",
)
UNKNOWN_PATH = register(
    5003, "unknown-path", Kind.CALLER_ERROR, 404, "The API has no such path."
)
RESOURCE_NOT_FOUND = register(
    5004, "resource-not-found", Kind.CALLER_ERROR, 404, "No resource has this name."
)
METHOD_NOT_ALLOWED = register(
    5005,
    "method-not-allowed",
    Kind.CALLER_ERROR,
    405,
    "The path does not support the method.",
)
CALL_BODY_TOO_LARGE = register(
    5006,
    "call-body-too-large",
    Kind.CALLER_ERROR,
    413,
    "The body of the call is larger than the API accepts.",
)
CALL_BODY_MALFORMED = register(
    5007,
    "call-body-malformed",
    Kind.CALLER_ERROR,
    400,
    "The body of the call is not a JSON object of the expected form.",
)
BAD_PARAMETER = register(
    5008,
    "bad-parameter",
    Kind.CALLER_ERROR,
    400,
    "A query parameter or header of the call has a wrong value.",
)
PRECONDITION_FAILED = register(
    5009,
    "precondition-failed",
    Kind.CALLER_ERROR,
    412,
    "The resource is not at the version that the operator expects.",
)
CONCURRENT_CHANGE = register(
    5010,
    "concurrent-change",
    Kind.CALLER_ERROR,
    409,
    "Another operator changed the same resource at the same time.",
)
CONFIGURATION_INVALID = register(
    5011,
    "configuration-invalid",
    Kind.CALLER_ERROR,
    422,
    "The change would make the configuration invalid.",
)
CONFIGURATION_TOO_LARGE = register(
    5012,
    "configuration-too-large",
    Kind.CALLER_ERROR,
    413,
    "The packed configuration would be larger than the store accepts.",
)
CONFIGURATION_STORE_UNAVAILABLE = register(
    5013,
    "configuration-store-unavailable",
    Kind.UNAVAILABLE,
    503,
    "The store cannot be reached; nothing was changed.",
)
WRITE_OUTCOME_UNKNOWN = register(
    5014,
    "write-outcome-unknown",
    Kind.UNKNOWN_OUTCOME,
    504,
    "The store did not answer; the change may or may not take effect.",
)
CONFIGURATION_UNREADABLE = register(
    5015,
    "configuration-unreadable",
    Kind.INTERNAL,
    503,
    "The stored configuration cannot be decoded; nothing was changed.",
)
CONFIGURATION_REVERTED = register(
    5016,
    "configuration-reverted",
    Kind.INTERNAL,
    503,
    "The store holds an older configuration than before; nothing was changed.",
)
TOO_MANY_WATCHES = register(
    5017,
    "too-many-watches",
    Kind.UNAVAILABLE,
    503,
    "The entry VM already serves as many watches as it allows.",
)
CHANGE_CONTENDED = register(
    5018,
    "change-contended",
    Kind.UNAVAILABLE,
    503,
    "Concurrent changes prevented this change until the timeout; it was not made.",
)
SERVER_OWNS_PARTITIONS = register(
    5019,
    "server-owns-partitions",
    Kind.CALLER_ERROR,
    409,
    "A server owns partitions; drain it first, or force the change if it is gone.",
)

# 51xx: checks across resources.
UNKNOWN_SERVICE_NAMED = register(
    5101,
    "unknown-service-named",
    Kind.CALLER_ERROR,
    422,
    "A resource refers to a service that does not exist.",
)
UNKNOWN_ZONE_NAMED = register(
    5102,
    "unknown-zone-named",
    Kind.CALLER_ERROR,
    422,
    "A server refers to a zone that does not exist.",
)
DUPLICATE_ADDRESS = register(
    5103,
    "duplicate-address",
    Kind.CALLER_ERROR,
    422,
    "Two servers have the same address.",
)
SHARES_ABOVE_ONE = register(
    5104,
    "shares-above-one",
    Kind.CALLER_ERROR,
    422,
    "The minimum shares of a service's ranks sum to more than 1.",
)
RANK_WITHOUT_SHARE = register(
    5105,
    "rank-without-share",
    Kind.CALLER_ERROR,
    422,
    "A rank that requests can be assigned to has no guaranteed share.",
)
LIMIT_WITHOUT_BOUND = register(
    5106,
    "limit-without-bound",
    Kind.CALLER_ERROR,
    422,
    "A limit has neither a rate nor a concurrency.",
)
LIMIT_WITHOUT_RANK = register(
    5107,
    "limit-without-rank",
    Kind.CALLER_ERROR,
    422,
    "A limit of scope rank names no rank.",
)
PARTITIONS_CHANGED = register(
    5108,
    "partitions-changed",
    Kind.CALLER_ERROR,
    422,
    "The number of partitions of an existing service cannot change.",
)
FENCED_CHANGED = register(
    5109,
    "fenced-changed",
    Kind.CALLER_ERROR,
    422,
    "Whether the servers of an existing service are fenced cannot change.",
)
ZONE_IN_USE = register(
    5110,
    "zone-in-use",
    Kind.CALLER_ERROR,
    422,
    "A zone that servers refer to cannot be deleted.",
)
SERVICE_IN_USE = register(
    5111,
    "service-in-use",
    Kind.CALLER_ERROR,
    422,
    "A service that servers or limits refer to cannot be deleted.",
)
DUPLICATE_NAME = register(
    5113,
    "duplicate-name",
    Kind.CALLER_ERROR,
    422,
    "Two resources of a kind have the same name.",
)
NAME_MISMATCH = register(
    5114,
    "name-mismatch",
    Kind.CALLER_ERROR,
    422,
    "The name in the resource is not the name in the path.",
)
INVALID_ADDRESS = register(
    5115,
    "invalid-address",
    Kind.CALLER_ERROR,
    422,
    "The address is not an IP address and a port from 1 to 65535.",
)

# 71xx: failed invariants.
CONFIGURATION_VERSION_NOT_GROWING = register(
    7111,
    "configuration-version-not-growing",
    Kind.INTERNAL,
    500,
    "A change of the configuration would not raise its version by one.",
)

# 512x: findings in the platform's document and the settings of entry VMs.
ROUTE_HIDDEN = register(
    5120,
    "route-hidden",
    Kind.CALLER_ERROR,
    422,
    "Another route has the same host and prefix and gets all requests.",
)
ROUTE_NEVER_MATCHES = register(
    5121,
    "route-never-matches",
    Kind.CALLER_ERROR,
    422,
    "No request can have the route's host and prefix.",
)
SHARE_WITHOUT_WEIGHT = register(
    5122,
    "share-without-weight",
    Kind.CALLER_ERROR,
    422,
    "A part of a route's split has no weight and gets no requests.",
)
SERVICE_WITHOUT_ROUTE = register(
    5123,
    "service-without-route",
    Kind.CALLER_ERROR,
    422,
    "No route sends requests to the service.",
)
OBJECTIVE_ABOVE_TIMEOUT = register(
    5124,
    "objective-above-timeout",
    Kind.CALLER_ERROR,
    422,
    "The latency objective of a route is longer than its timeout.",
)
LIMIT_ABOVE_MEMORY = register(
    5125,
    "limit-above-memory",
    Kind.CALLER_ERROR,
    422,
    "One request may be larger than the memory that an entry VM has for requests.",
)
ATTEMPTS_ABOVE_BUDGET = register(
    5126,
    "attempts-above-budget",
    Kind.CALLER_ERROR,
    422,
    "The retry budget does not cover the attempts of a single request.",
)
HEDGE_SHARE_ABOVE_BUDGET = register(
    5127,
    "hedge-share-above-budget",
    Kind.CALLER_ERROR,
    422,
    "The retry budget does not cover the copies that are allowed.",
)
NOT_UTF8 = register(
    5128, "not-utf-8", Kind.CALLER_ERROR, 422, "The file is not text in UTF-8."
)
NOT_JSON = register(
    5129, "not-json", Kind.CALLER_ERROR, 422, "The file is not a whole JSON value."
)
