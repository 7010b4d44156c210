from __future__ import annotations

from briarspoke.ownership.routing_leases import RoutingLeaseHolder, RoutingLeaseRegistry


class LeasePair:
    """A holder and the controller's registry, connected without a network."""

    def __init__(self):
        self.holder = RoutingLeaseHolder(node_id="n", incarnation=1)
        self.registry = RoutingLeaseRegistry()

    def lease(self, now, version, term=5):
        request = self.holder.request("z", {"s": version}, now)
        answer = self.registry.request(request, ["s"], zone="z", term=term, now=now)
        return self.receive(answer)

    def receive(self, answer):
        return self.holder.granted(
            zone="z",
            term=answer.term,
            sent_at=answer.sent_at,
            duration_s=answer.duration_s,
            version_by_service=answer.version_by_service,
        )

    def may_send(self, now, version=1, deadline_s=1.0):
        return self.holder.may_send(
            zone="z", service="s", version=version, deadline_s=deadline_s, now=now
        )


class TestRoutingLeaseHolder:
    def test_lease_ends_two_seconds_after_the_request_was_sent(self):
        # A lease that counted from the answer would outlast the controller's wait.
        pair = LeasePair()
        pair.lease(10.0, 1)
        assert pair.may_send(11.99)
        assert not pair.may_send(12.0)

    def test_version_below_the_minimum_is_refused(self):
        # The request would go to the old owner of a moved partition.
        pair = LeasePair()
        pair.registry.require_version("s", 4)
        pair.lease(10.0, 3)
        assert not pair.may_send(10.1, version=3)
        assert pair.may_send(10.1, version=4)

    def test_lower_term_is_ignored(self):
        # Guards against an isolated earlier controller that extends a routing lease.
        pair = LeasePair()
        pair.lease(10.0, 1, term=9)
        assert not pair.lease(11.0, 1, term=8)
        assert not pair.may_send(12.5)

    def test_longer_deadline_waits_for_the_next_lease(self):
        # The controller waits only for the maximum deadline that the holder announced.
        pair = LeasePair()
        pair.lease(10.0, 1)
        assert not pair.may_send(10.0, deadline_s=5.0)
        pair.lease(10.5, 1)
        assert pair.may_send(10.5, deadline_s=5.0)
        assert not pair.registry.released("s", "s/1", 2, 17.0)


class TestRoutingLeaseBook:
    def test_confirmed_version_releases(self):
        # Without the confirmation, each move would take as long as a lease.
        pair = LeasePair()
        pair.lease(10.0, 1)
        assert not pair.registry.released("s", "s/1", 2, 10.1)
        pair.lease(10.5, 2)
        assert pair.registry.released("s", "s/1", 2, 10.5)

    def test_request_in_flight_keeps_the_old_owner(self):
        # The old owner still runs the request although no new one is sent to it.
        pair = LeasePair()
        pair.lease(10.0, 1)
        pair.holder.request_started("s/1")
        pair.lease(10.5, 2)
        assert not pair.registry.released("s", "s/1", 2, 10.5)
        pair.holder.request_ended("s/1")
        pair.lease(11.0, 2)
        assert pair.registry.released("s", "s/1", 2, 11.0)

    def test_unreachable_holder_releases_after_its_requests_ended(self):
        # The holder may send until its lease expires, and its requests may run longer.
        pair = LeasePair()
        pair.lease(10.0, 1)
        assert not pair.registry.released("s", "s/1", 2, 10.0 + 2.04 + 1.5)
        assert pair.registry.released("s", "s/1", 2, 10.0 + 2.05 + 1.54 + 0.1)

    def test_new_lease_does_not_prolong_the_wait(self):
        # Otherwise a holder that never receives the version would block the move
        # permanently.
        pair = LeasePair()
        pair.lease(10.0, 1)
        pair.registry.require_version("s", 2)
        for number in range(1, 8):
            pair.lease(10.0 + number / 2, 1)
        assert pair.registry.released("s", "s/1", 2, 13.9)
