"""Configuration resources: zones, services, servers and limits."""

from __future__ import annotations

import re

from briarspoke import schema

NAME_PATTERN = "[a-z][a-z0-9-]{0,62}"
ADDRESS_PATTERN = r"[0-9.]+:[0-9]{1,5}|\[[0-9a-fA-F:]+\]:[0-9]{1,5}"
RANKS = ("lookup", "booking", "bulk")
MAX_PARTITIONS = 4096

classes_by_kind = {}


def resource(kind):
    """Returns a decorator that registers a resource class.

    :param kind: plural name of the kind, as in API paths.
    """

    def decorate(cls):
        cls.kind = kind
        classes_by_kind[kind] = cls
        return cls

    return decorate


class Resource:
    """Base class of resources, which are converted from and to JSON by a schema."""

    __slots__ = ()
    kind = ""
    section: schema.Section

    @classmethod
    def from_json(cls, value, path, problems):
        """Returns the resource, or None if the value is invalid.

        :param value: a JSON object.
        :param path: JSON path of the value, for problems.
        :param problems: list that problems are appended to.
        """
        before = len(problems)
        checked = cls.section.check(value, path, problems)
        return cls(**checked) if len(problems) == before else None

    def as_json(self):
        """Returns the resource as a JSON object with all options."""
        return {name: _to_json(getattr(self, name)) for name in self.section.options}


def _to_json(value):
    if isinstance(value, NestedValue):
        return value.as_json()
    if isinstance(value, dict):
        return {name: _to_json(entry) for name, entry in value.items()}
    if isinstance(value, list | tuple):
        return [_to_json(entry) for entry in value]
    return value


class NestedValue:
    """Base class of structured option values."""

    __slots__ = ()

    def __init__(self, **kwargs):
        for name in self.__slots__:
            setattr(self, name, kwargs[name])

    def as_json(self):
        """Returns the value as a JSON object."""
        return {name: _to_json(getattr(self, name)) for name in self.__slots__}


class KeyRule(NestedValue):
    """The part of a request that contains its key.

    ``source`` is ``path`` (``name`` is the index of the segment after the
    service), ``header`` or ``query`` (``name`` is the name of the field).
    """

    __slots__ = ("name", "source")


class RankRule(NestedValue):
    """Assigns matching requests to a rank; the first matching rule applies."""

    __slots__ = ("header", "idempotent", "methods", "path_prefix", "rank", "value")


class RankPolicy(NestedValue):
    """Share, queue bound and default deadline of one rank of a service.

    ``share`` is the guaranteed fraction of the service's throughput, ``queue`` the
    maximum number of waiting requests per server.
    """

    __slots__ = ("deadline_ms", "queue", "share")


class IsolationPolicy(NestedValue):
    """What a zone does while it cannot reach the store.

    ``move_after_s`` is None if the zone holds its keys.
    """

    __slots__ = ("move_after_s",)


class RetryRules(NestedValue):
    """Maximum attempts and retry budget of a service."""

    __slots__ = ("attempts", "budget_ratio")


KEY_INDEX_PATTERN = "[0-9]{1,2}"


class _KeyRuleSection(schema.Section):
    """Schema of a key rule; the name of a path rule must be an index."""

    __slots__ = ()

    def check(self, value, path, problems):
        rule = super().check(value, path, problems)
        if not isinstance(rule, KeyRule) or rule.source != "path":
            return rule
        if not re.fullmatch(KEY_INDEX_PATTERN, rule.name):
            problems.append(
                schema.Problem(
                    path=f"{path}.name",
                    code=schema.OPTION_FORMAT,
                    message="is not the index of a path segment, 0 to 99",
                )
            )
        return rule

    def json_schema(self):
        # Without a source the default applies, which is a path.
        is_path = {"properties": {"source": {"const": "path"}}}
        has_index = {"properties": {"name": {"pattern": f"^(?:{KEY_INDEX_PATTERN})$"}}}
        return {**super().json_schema(), "if": is_path, "then": has_index}


_KEY_RULE = _KeyRuleSection(
    {
        "source": schema.Choice(
            ("path", "header", "query"),
            default="path",
            help="Part of the request that contains the key.",
        ),
        "name": schema.Text(
            default="0",
            max_length=100,
            help="Path segment after the service, header name or query field.",
        ),
    },
    build=KeyRule,
    help="Part of a request that contains its key.",
)

_RANK_RULE = schema.Section(
    {
        "rank": schema.Choice(RANKS, help="Rank of the matching requests."),
        "methods": schema.ListOf(
            schema.Text(pattern="[A-Z]{1,16}"),
            default=list,
            max_items=16,
            help="HTTP methods that match; empty matches all.",
        ),
        "path_prefix": schema.Text(
            default="", help="Prefix of the path after the service."
        ),
        "header": schema.Nullable(
            schema.Text(max_length=100), help="Header that matching requests have."
        ),
        "value": schema.Nullable(
            schema.Text(max_length=200), help="Value that the header must have."
        ),
        "idempotent": schema.Nullable(
            schema.Boolean(),
            help="Whether matching requests may run twice; null follows the method.",
        ),
    },
    build=RankRule,
)

_DEFAULT_RANKS = {
    "lookup": {"share": 0.5, "queue": 64, "deadline_ms": 2_000},
    "booking": {"share": 0.3, "queue": 64, "deadline_ms": 10_000},
    "bulk": {"share": 0.1, "queue": 32, "deadline_ms": 120_000},
}


def _rank_policy_section(rank):
    defaults = _DEFAULT_RANKS[rank]
    return schema.Section(
        {
            "share": schema.Number(
                minimum=0.0,
                maximum=1.0,
                default=defaults["share"],
                help="Guaranteed fraction of the service's throughput.",
            ),
            "queue": schema.Integer(
                minimum=0,
                maximum=100_000,
                default=defaults["queue"],
                help="Requests that may wait at each server.",
            ),
            "deadline_ms": schema.Integer(
                minimum=1,
                maximum=3_600_000,
                default=defaults["deadline_ms"],
                help="Deadline in milliseconds of requests without one.",
            ),
        },
        build=RankPolicy,
        help=f"Policy of the service for rank {rank}.",
    )


@resource("zones")
class Zone(Resource):
    """An availability zone."""

    __slots__ = ("evacuated", "name", "region")
    section = schema.Section(
        {
            "name": schema.Text(pattern=NAME_PATTERN, help="Unique name."),
            "region": schema.Text(
                pattern=NAME_PATTERN, default="region", help="Region of the zone."
            ),
            "evacuated": schema.Boolean(
                default=False,
                help=(
                    "True moves every key away from servers that answer. Under `hold`, "
                    "servers that do not answer keep their keys until the old "
                    "controller has resigned or restarted, or its VM or the server is "
                    "terminated."
                ),
            ),
        }
    )

    def __init__(self, *, name, region, evacuated):
        self.name = name
        self.region = region
        self.evacuated = evacuated


@resource("services")
class Service(Resource):
    """A service, with the rules for keys, ranks, partitions and retries."""

    __slots__ = (
        "enabled",
        "fenced",
        "key",
        "max_body_bytes",
        "name",
        "on_isolation",
        "partitions",
        "rank_rules",
        "ranks",
        "retry",
        "warmup_s",
    )
    section = schema.Section(
        {
            "name": schema.Text(pattern=NAME_PATTERN, help="Unique name."),
            "enabled": schema.Boolean(
                default=True, help="False refuses every request of the service."
            ),
            "key": _KEY_RULE,
            "rank_rules": schema.ListOf(
                _RANK_RULE,
                default=list,
                max_items=100,
                help="Rules in order; without a match GET and HEAD are lookups, "
                "other methods are bookings.",
            ),
            "ranks": schema.Section(
                {rank: _rank_policy_section(rank) for rank in RANKS}
            ),
            "partitions": schema.Integer(
                minimum=1,
                maximum=MAX_PARTITIONS,
                default=256,
                help="Partitions that keys are hashed to; cannot change later.",
            ),
            "fenced": schema.Boolean(
                default=True, help="Whether the servers check grants and epochs."
            ),
            "on_isolation": schema.Section(
                {
                    "move_after_s": schema.Nullable(
                        schema.Number(minimum=2.0, maximum=3600.0),
                        help="Seconds after which an isolated zone gives up its "
                        "keys; null means that it holds them.",
                    )
                },
                build=IsolationPolicy,
                help="What a zone does while it cannot reach the store.",
            ),
            "warmup_s": schema.Number(
                minimum=0.0,
                maximum=600.0,
                default=2.0,
                help="Seconds until a new server gets its full number of slots.",
            ),
            "retry": schema.Section(
                {
                    "attempts": schema.Integer(
                        minimum=1,
                        maximum=10,
                        default=3,
                        help="Maximum attempts per request, including the first.",
                    ),
                    "budget_ratio": schema.Number(
                        minimum=0.0,
                        maximum=1.0,
                        default=0.1,
                        help="Retries allowed per first attempt.",
                    ),
                },
                build=RetryRules,
                help="Maximum attempts and retry budget.",
            ),
            "max_body_bytes": schema.Integer(
                minimum=0,
                maximum=1 << 40,
                default=1 << 30,
                help="Largest request body in bytes.",
            ),
        }
    )

    def __init__(
        self,
        *,
        name,
        enabled,
        key,
        rank_rules,
        ranks,
        partitions,
        fenced,
        on_isolation,
        warmup_s,
        retry,
        max_body_bytes,
    ):
        self.name = name
        self.enabled = enabled
        self.key = key
        self.rank_rules = rank_rules
        self.ranks = ranks
        self.partitions = partitions
        self.fenced = fenced
        self.on_isolation = on_isolation
        self.warmup_s = warmup_s
        self.retry = retry
        self.max_body_bytes = max_body_bytes


@resource("servers")
class Server(Resource):
    """A backend server of one service."""

    __slots__ = (
        "address",
        "connections",
        "name",
        "service",
        "slots",
        "state",
        "weight",
        "zone",
    )
    section = schema.Section(
        {
            "name": schema.Text(pattern=NAME_PATTERN, help="Unique name."),
            "service": schema.Text(pattern=NAME_PATTERN, help="Service of the server."),
            "zone": schema.Text(pattern=NAME_PATTERN, help="Availability zone."),
            "address": schema.Text(
                pattern=ADDRESS_PATTERN, help="IP address and port."
            ),
            "slots": schema.Integer(
                minimum=1,
                maximum=10_000,
                default=6,
                help="Requests that the server runs concurrently.",
            ),
            "connections": schema.Integer(
                minimum=1,
                maximum=100_000,
                default=110,
                help="Connections that the server accepts.",
            ),
            "weight": schema.Number(
                minimum=0.01,
                maximum=1000.0,
                default=1.0,
                help="Share of the partitions relative to other servers.",
            ),
            "state": schema.Choice(
                ("active", "draining", "terminated"),
                default="active",
                help=(
                    "A draining server hands over its keys and gets no new work. A "
                    "terminated server is gone permanently, as if the VM list "
                    "reported it."
                ),
            ),
        }
    )

    def __init__(
        self, *, name, service, zone, address, slots, connections, weight, state
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.connections = connections
        self.weight = weight
        self.state = state


@resource("limits")
class Limit(Resource):
    """A limit on the rate or concurrency of requests."""

    __slots__ = ("burst", "concurrency", "name", "rank", "rate", "scope", "service")
    section = schema.Section(
        {
            "name": schema.Text(pattern=NAME_PATTERN, help="Unique name."),
            "service": schema.Text(
                pattern=NAME_PATTERN, help="Service that the limit applies to."
            ),
            "scope": schema.Choice(
                ("service", "rank", "caller"),
                default="service",
                help="Whether the limit counts all requests, one rank or each caller.",
            ),
            "rank": schema.Nullable(
                schema.Choice(RANKS),
                help="Rank that the limit applies to; null means all.",
            ),
            "rate": schema.Nullable(
                schema.Number(minimum=0.0, maximum=1e9),
                help="Requests per second in the whole fleet.",
            ),
            "burst": schema.Number(
                minimum=1.0,
                maximum=1e9,
                default=10.0,
                help="Requests that may arrive in one burst.",
            ),
            "concurrency": schema.Nullable(
                schema.Integer(minimum=1, maximum=1_000_000),
                help="Requests in flight at each entry VM.",
            ),
        }
    )

    def __init__(self, *, name, service, scope, rank, rate, burst, concurrency):
        self.name = name
        self.service = service
        self.scope = scope
        self.rank = rank
        self.rate = rate
        self.burst = burst
        self.concurrency = concurrency
