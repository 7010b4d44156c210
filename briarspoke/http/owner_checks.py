"""Checks whether this node may currently send a request to its owner."""

from __future__ import annotations

from briarspoke import codes
from briarspoke.errors import Refusal
from briarspoke.routing.reachability import Reachability

# After about this time, the keys of a lost server are served again.
UNREACHABLE_RETRY_AFTER_MS = 2_000


class OwnerChecks:
    """Checks owners immediately before requests are sent.

    It also tracks reachability of servers, and the requests in flight to unfenced
    servers.

    :param router: the :class:`briarspoke.http.router.Router`.
    :ivar routing_leases: the :class:`RoutingLeaseHolder`, set by the node.
    :ivar on_server_report: function of (server name, whether it is reachable) that
        is called on each change of reachability, set by the node.
    """

    __slots__ = ("_reachability", "_router", "on_server_report", "routing_leases")

    def __init__(self, *, router):
        self._router = router
        self._reachability = Reachability()
        self.routing_leases = None
        self.on_server_report = None

    def check_server(self, server_name):
        """Raises :exc:`Refusal` while a server is unreachable."""
        if not self._reachability.may_try(server_name, self._router.now()):
            raise Refusal(
                codes.OWNER_UNREACHABLE, retry_after_ms=UNREACHABLE_RETRY_AFTER_MS
            )

    def check_ownership(self, proxied):
        """Raises :exc:`Refusal` unless a request may be sent to its server now.

        The owner may have changed while the request waited for a slot. An unfenced
        server does not check epochs, so its requests need a routing lease.
        """
        if self.route_changed(proxied):
            raise Refusal(codes.PARTITION_MOVING)
        classified = proxied.classified
        service = classified.service
        if service.fenced:
            return
        server = self._router.configuration.servers_by_name.get(proxied.route.server)
        if server is None:
            raise Refusal(codes.NO_OWNER, "the owner is not configured")
        now = self._router.now()
        allowed = self.routing_leases is not None and self.routing_leases.may_send(
            zone=server.zone,
            service=service.name,
            version=self._router.table.version(service.name),
            deadline_s=classified.deadline - now,
            now=now,
        )
        if not allowed:
            raise Refusal(codes.NO_ROUTING_LEASE)

    def attempt_started(self, proxied):
        """Registers that a request is being written to its server."""
        classified = proxied.classified
        self._router.load.count(
            classified.service.name, proxied.route.server, classified.partition
        )
        if not classified.service.fenced:
            proxied.in_flight_partition = (
                f"{classified.service.name}/{classified.partition}"
            )
            self.routing_leases.request_started(proxied.in_flight_partition)

    def server_answered(self, server_name):
        """Registers that a server has answered a request."""
        if self._reachability.answered(server_name, self._router.now()):
            self._report_server(server_name, True)

    def attempt_ended(self, proxied, *, may_run):
        """Registers that an attempt has ended.

        :param may_run: whether the server may still run the request. Servers respect
            the deadline, so the request counts as in flight until then.
        """
        partition_name, proxied.in_flight_partition = proxied.in_flight_partition, None
        if partition_name is None:
            return
        if may_run:
            remaining_s = max(0.0, proxied.classified.deadline - self._router.now())
            self._router.reactor.callLater(
                remaining_s, self.routing_leases.request_ended, partition_name
            )
        else:
            self.routing_leases.request_ended(partition_name)

    def server_unreachable(self, server_name):
        """Registers a failed connection attempt.

        If the server has become unreachable, requests in its queue are refused or
        routed again.
        """
        if not self._reachability.failed(server_name, self._router.now()):
            return
        self._report_server(server_name, False)
        queue = self._router.queues_by_server.get(server_name)
        for proxied in list(self._router.proxied_requests):
            ticket = proxied.ticket
            if proxied.queue is queue and ticket is not None and not ticket.running:
                proxied.server_unreachable(
                    Refusal(
                        codes.OWNER_UNREACHABLE,
                        retry_after_ms=UNREACHABLE_RETRY_AFTER_MS,
                    )
                )

    def route_changed(self, proxied):
        """Returns whether the partition of a request has another route by now."""
        classified = proxied.classified
        route = self._router.table.route(classified.service.name, classified.partition)
        return route is not proxied.route and not route.same_as(proxied.route)

    def _report_server(self, server_name, reachable):
        if self.on_server_report is not None:
            self.on_server_report(server_name, reachable)

    def forget(self, server_name):
        """Removes a server that is no longer configured."""
        self._reachability.forget(server_name)
