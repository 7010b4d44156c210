"""Routes, services and limits of one configuration version."""

from __future__ import annotations

import math


class CallerLimits:
    """Limits on the size of requests and on the time for sending them.

    :param head_bytes: largest size of the request line and headers.
    :param body_bytes: largest size of a body.
    :param head_timeout_s: time within which a caller must send the headers.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    __slots__ = ("body_bytes", "head_bytes", "head_timeout_s", "idle_timeout_s")

    def __init__(self, *, head_bytes, body_bytes, head_timeout_s, idle_timeout_s):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


# In force until the first configuration has been read.
DEFAULT_LIMITS = CallerLimits(
    head_bytes=16_384,
    body_bytes=64 << 20,
    head_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class Service:
    """A group of servers to which routes send requests.

    :param health_path: path of the servers' health check.
    :param max_connections: connections that one server accepts from all callers.
    :param keyed: whether the service has keys, each owned by a single server.
    :param cold_per_s: requests per second that a cold server tolerates from all entry
        VMs together, or None without a bound.
    :param warmup_s: seconds for which a server is cold.
    """

    __slots__ = (
        "cold_per_s",
        "health_path",
        "keyed",
        "max_connections",
        "name",
        "warmup_s",
    )

    def __init__(
        self,
        *,
        name,
        health_path,
        max_connections,
        keyed,
        cold_per_s=None,
        warmup_s=0.0,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.keyed = keyed
        self.cold_per_s = cold_per_s
        self.warmup_s = warmup_s


class Share:
    """Weight of one service among the services of a route.

    :param service: name of the service.
    """

    __slots__ = ("service", "weight")

    def __init__(self, *, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """Rules for the requests to one host below one path prefix.

    :param idempotent: whether a request may run twice.
    :param timeout_s: longest time that a request may wait for its answer, or None.
    :param objective_s: latency objective in seconds.
    :param max_attempts: number of attempts per request.
    :param priority: 0 is the most urgent.
    :param shares: list of :class:`Share`.
    """

    __slots__ = (
        "_credits",
        "host",
        "idempotent",
        "max_attempts",
        "name",
        "objective_s",
        "prefix",
        "priority",
        "shares",
        "timeout_s",
    )

    def __init__(
        self,
        *,
        name,
        host,
        prefix,
        idempotent,
        timeout_s,
        objective_s,
        max_attempts,
        priority,
        shares,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.idempotent = idempotent
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.max_attempts = max_attempts
        self.priority = priority
        self.shares = shares
        self._credits = [0.0] * len(shares)

    def next_service(self):
        """Returns the name of the service for the next request.

        Smooth weighted round robin keeps the number of requests of each service within
        one of its weighted share, which random selection would not.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = 0.0
        best = 0
        for index, share in enumerate(self.shares):
            self._credits[index] += share.weight
            total += share.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= total
        return self.shares[best].service


class RoutingTable:
    """Routes, services and limits of one configuration version.

    :param version: integer that grows with each version.
    :param routes: iterable of :class:`Route`.
    :param services: ``{name: Service}``.
    :param limits: the :class:`CallerLimits`.
    """

    __slots__ = (
        "_objective_s_by_service",
        "_routes_by_host",
        "limits",
        "routes",
        "services",
        "version",
    )

    def __init__(self, *, version, routes, services, limits):
        self.version = version
        self.routes = tuple(routes)
        self.services = services
        self.limits = limits
        self._routes_by_host = {}
        self._objective_s_by_service = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            by_prefix = self._routes_by_host.setdefault(route.host.encode(), {})
            by_prefix[route.prefix.encode()] = route
            for share in route.shares:
                known_s = self._objective_s_by_service.get(share.service, math.inf)
                self._objective_s_by_service[share.service] = min(
                    known_s, route.objective_s
                )

    def shortest_objective_s(self, service):
        """Returns the shortest latency objective of a service's routes, or None."""
        return self._objective_s_by_service.get(service)

    def find(self, host, path):
        """Returns the route with the longest prefix of the path, or None.

        :param host: value of the Host header as bytes in lower case, without port.
        :param path: path of the request as bytes.
        """
        by_prefix = self._routes_by_host.get(host)
        if by_prefix is None:
            return None
        # Every prefix ends with a slash, so only substrings that do can match.
        end = path.rfind(b"/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None
