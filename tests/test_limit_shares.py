"""Rate limits of servers, kept by all entry VMs together."""

from __future__ import annotations

import pytest
from limit_fakes import (
    SETTLING_S,
    Deployment,
    allowed_arrivals,
    status_and_body,
)

from briarspoke import codes
from briarspoke.entry.reports import Datagrams

SERVERS = (11, 12, 13)


def limited(numbers, limit, **options):
    """Returns a deployment some of whose servers have just named a limit."""
    deployment = Deployment(**options)
    deployment.run(2.0)
    for number in numbers:
        deployment.name_limit(number, limit)
    deployment.run(1.0)
    return deployment


class TestServerGetsMoreThanItsLimit:
    @pytest.mark.parametrize(
        ("vms", "per_s", "keyed", "first_vm_share"),
        [(8, 10.0, True, None), (8, 2.0, False, 0.8), (24, 2.0, True, None)],
        ids=["keyed", "uneven", "more-vms-than-requests"],
    )
    def test_arrivals_of_all_vms_keep_to_the_limit(
        self, vms, per_s, keyed, first_vm_share
    ):
        deployment = Deployment(
            vms=vms, keyed=keyed, per_s=120.0, first_vm_share=first_vm_share
        )
        deployment.run(2.0)
        deployment.name_limit(11, per_s)
        limited_at = deployment.world.reactor.seconds()
        deployment.run(12.0)
        most = deployment.most_arrivals(11, limited_at + SETTLING_S)
        assert most <= allowed_arrivals(per_s)


class TestLimitThatIsNotUsed:
    @pytest.mark.parametrize("first_vm_share", [None, 0.9], ids=["even", "uneven"])
    def test_callers_get_most_of_the_limit_wherever_they_come(self, first_vm_share):
        deployment = limited(
            SERVERS,
            10.0,
            vms=8,
            keyed=False,
            per_s=60.0,
            first_vm_share=first_vm_share,
        )
        since = deployment.now()
        deployment.run(8.0)
        for number in SERVERS:
            assert 8.0 <= deployment.rate(number, since) <= 11.0

    # Calls for grants take up to half of a limit.
    @pytest.mark.parametrize(("keyed", "least_per_s"), [(True, 0.9), (False, 1.5)])
    def test_limit_below_the_number_of_vms_is_used(self, keyed, least_per_s):
        deployment = limited(SERVERS, 2.0, vms=24, keyed=keyed, per_s=120.0)
        since = deployment.now()
        deployment.run(16.0)
        for number in SERVERS:
            assert least_per_s <= deployment.rate(number, since) <= 2.2

    def test_limit_that_has_ended_is_forgotten_by_all_vms(self):
        deployment = limited(SERVERS, 5.0, vms=8, keyed=True, per_s=60.0)
        deployment.run(4.0)
        for number in SERVERS:
            deployment.name_limit(number, None)
        deployment.run(1.5)
        answered = len(deployment.answers)
        deployment.run(3.0)
        assert deployment.outcomes(answered)[200] >= 0.97 * 3.0 * 60.0

    def test_values_that_are_no_limit_stop_nothing(self):
        for value in ("", "0x", "-3", "nan", "inf", "1e9", "9" * 400):
            deployment = limited([11], value, vms=3, keyed=True, per_s=60.0)
            answered = len(deployment.answers)
            deployment.run(2.0)
            assert deployment.outcomes(answered)[200] >= 0.97 * 2.0 * 60.0


class TestControllerOfManyVms:
    @pytest.mark.parametrize(("numbers", "most"), [((11,), 10), (SERVERS, 50)])
    def test_is_not_asked_by_each_vm_for_each_request(self, monkeypatch, numbers, most):
        asked = []
        send = Datagrams.send_permit_request
        monkeypatch.setattr(
            Datagrams,
            "send_permit_request",
            lambda *args: (asked.append(args), send(*args)),
        )
        deployment = limited(numbers, 2.0, vms=24, keyed=False, per_s=120.0)
        asked.clear()
        deployment.run(4.0)
        # For each request that the limits allow.
        assert len(asked) / (len(numbers) * 2.0 * 4.0) <= most


class TestControllerIsGone:
    @pytest.mark.parametrize("keyed", [True, False])
    def test_limit_holds_and_something_is_served(self, keyed):
        deployment = limited(SERVERS, 8.0, vms=6, keyed=keyed, per_s=90.0)
        deployment.run(3.0)
        since = deployment.now()
        deployment.cut(deployment.controller())
        deployment.run(10.0)
        for number in SERVERS:
            assert deployment.most_arrivals(number, since) <= allowed_arrivals(8.0)
            assert deployment.rate(number, since) >= 3.0

    def test_limit_holds_while_no_vm_reaches_another_or_the_store(self):
        deployment = limited(SERVERS, 8.0, vms=6, keyed=False, per_s=90.0)
        since = deployment.now()
        for node in deployment.nodes:
            deployment.cut(node)
        deployment.run(12.0)
        for number in SERVERS:
            assert deployment.most_arrivals(number, since) <= allowed_arrivals(8.0)
        late = deployment.now() - 6.0
        assert sum(deployment.rate(number, late) for number in SERVERS) >= 6.0

    def test_limit_holds_with_more_vms_than_requests(self):
        deployment = limited(SERVERS, 0.5, vms=24, keyed=False, per_s=48.0)
        since = deployment.now()
        deployment.cut(deployment.controller())
        deployment.run(12.0)
        for number in SERVERS:
            assert deployment.most_arrivals(number, since) <= allowed_arrivals(0.5)


class TestRequestsBeyondTheLimit:
    def test_are_refused_at_once_and_told_when_to_return(self):
        deployment = limited(SERVERS, 2.0, vms=4, keyed=True, per_s=60.0)
        answered = len(deployment.answers)
        deployment.run(4.0)
        refused = deployment.outcomes(answered)[codes.SERVER_RATE_LIMIT.number]
        assert refused >= 0.7 * 4.0 * 60.0
        waits_s = []
        for data, wait_s in deployment.answers[answered:]:
            if status_and_body(data)[0] == 503:
                assert b"Retry-After" in data
                waits_s.append(wait_s)
        assert sum(wait_s < 0.05 for wait_s in waits_s) >= 0.9 * len(waits_s)

    def test_go_to_other_servers_that_can_take_them(self):
        deployment = limited([11], 2.0, vms=4, keyed=False, per_s=60.0)
        answered = len(deployment.answers)
        deployment.run(4.0)
        assert deployment.outcomes(answered)[200] >= 0.97 * 4.0 * 60.0


class StubExchange:
    """A queued request whose refusal makes the VM send another one."""

    attempts = 0
    done = False
    give_up_at = 0.0

    def __init__(self, then=None):
        self.queued_at = 1.0
        self.refused = False
        self._then = then

    def refuse(self, code, retry_after_s):
        self.refused = self.done = True
        if self._then is not None:
            self._then.queued_at = None


class TestRequestThatWasSentMeanwhile:
    def test_is_not_refused(self):
        # Guards against "not run" for a request that the refusal of another one, whose
        # connection breaks, has let through.
        deployment = limited([11], 2.0, vms=1, keyed=True, per_s=20.0)
        dispatcher = deployment.nodes[0].dispatcher("stock")
        server = dispatcher.servers["s-11"]
        sent = StubExchange()
        refused = StubExchange(then=sent)
        server.waiting.clear()
        server.waiting.extend([(1, 1, refused), (1, 2, sent)])
        dispatcher.permit_queue.refuse_late(server.waiting, [server])
        assert refused.refused and not sent.refused


class TestKeysOfServerInNeed:
    def test_move_away_and_do_not_return(self):
        deployment = limited([11], 2.0, vms=4, keyed=True, per_s=60.0)
        deployment.run(6.0)
        keys = deployment.owned_keys("s-11")
        assert keys < 65_536 / 20
        deployment.run(4.0)
        assert deployment.owned_keys("s-11") <= keys
        since = deployment.now()
        deployment.name_limit(11, None)
        deployment.run(5.0)
        assert deployment.rate(11, since) <= 20.0

    def test_stay_if_all_servers_are_in_need(self):
        deployment = limited(SERVERS, 4.0, vms=4, keyed=True, per_s=60.0)
        before = [deployment.owned_keys(f"s-{number}") for number in SERVERS]
        deployment.run(5.0)
        after = [deployment.owned_keys(f"s-{number}") for number in SERVERS]
        assert after == before
