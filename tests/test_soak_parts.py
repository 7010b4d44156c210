"""Parts of the soak that run without processes."""

from __future__ import annotations

import random
from types import SimpleNamespace

from entry_fakes import ServerSocket
from twisted.internet.testing import MemoryReactorClock

from briarspoke.soak.arrivals import SETTLING_S, Arrival, Arrivals
from briarspoke.soak.checks import Checks
from briarspoke.soak.coldness import ColdChecks
from briarspoke.soak.demand import Demand
from briarspoke.soak.evacuations import EvacuationChecks
from briarspoke.soak.intake import IntakeChecks
from briarspoke.soak.limits import LimitChecks
from briarspoke.soak.run import Caller


class TestCaller:
    def test_request_is_sent_and_answered(self):
        # Guards against a soak that sends nothing because its connections need other
        # parts than the entry VM's.
        reactor = MemoryReactorClock()
        caller = Caller(reactor=reactor, port=8000)
        answers = []
        caller.send(b"GET / HTTP/1.1\r\n\r\n", answers.append)
        factory = reactor.tcpClients[0][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(ServerSocket())
        assert b"GET /" in connection.transport.take()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert [(a.status, a.body) for a in answers] == [(200, b"ok")]
        assert not caller.busy


class TestServerGetsMoreThanItsLimit:
    """Checks of a limit of 1 request a second: 11 requests in 4 s are allowed."""

    def start(self):
        self.now = 100.0
        self.violations = []
        self.checks = LimitChecks(
            clock=lambda: self.now,
            add_violation=lambda *violation: self.violations.append(violation),
        )
        self.count = 0

    def send(self, node, *, arrives=True):
        self.count += 1
        self.checks.request_sent(self.count, node)
        if arrives:
            self.checks.request_arrived("s", self.count)
        return self.count

    def tell(self, *nodes):
        """Lets the server name its limit to entry VMs, and waits until it counts."""
        for node in nodes:
            request_id = self.send(node, arrives=False)
            self.checks.limit_named("s", request_id, 1.0)
            self.checks.request_served(request_id)
        self.now += 3.0

    def test_arrivals_of_all_vms_add_up(self):
        self.start()
        self.tell("a", "b")
        for _ in range(6):
            assert not self.violations
            self.send("a")
            self.send("b")
        assert len(self.violations) == 1

    def test_window_slides(self):
        self.start()
        self.tell("a")
        for _ in range(40):
            self.now += 0.4
            self.send("a")
        assert not self.violations

    def test_vms_that_were_not_told_do_not_count(self):
        self.start()
        self.tell("a")
        for _ in range(20):
            self.send("b")
        assert not self.violations

    def test_disturbed_vms_do_not_count(self):
        self.start()
        self.tell("a")
        self.checks.disturbed("a")
        for _ in range(20):
            self.send("a")
        self.checks.undisturbed("a")
        for _ in range(20):
            self.send("a")
        assert not self.violations
        self.now += 3.0
        for _ in range(12):
            self.send("a")
        assert self.violations

    def test_limit_that_has_ended_is_not_checked(self):
        self.start()
        self.tell("a")
        self.checks.limit_ended("s")
        for _ in range(20):
            self.send("a")
        assert not self.violations


class TestServerThatTakesNothingNew:
    """Guards against a soak that misses requests to a leaving or paused server."""

    def start(self):
        self.now = 100.0
        self.violations = []
        self.checks = IntakeChecks(
            clock=lambda: self.now,
            add_violation=lambda *violation: self.violations.append(violation),
        )

    def test_request_after_the_time_to_drain(self):
        self.start()
        request_id = b"first"
        self.checks.request_sent(request_id, "a")
        self.checks.leaving_said("s", request_id)
        self.checks.request_served(request_id)
        for at, node, violations in [
            (101.9, "a", 0),
            (102.1, "b", 0),
            (102.1, "a", 1),
        ]:
            self.now = at
            request_id = b"%s-%d" % (node.encode(), round(at * 10))
            self.checks.request_sent(request_id, node)
            self.checks.request_arrived("s", request_id)
            assert len(self.violations) == violations

    def test_third_request_in_a_pause(self):
        self.start()
        self.checks.request_sent(b"first", "a")
        self.checks.pause_asked("s", b"first", 3.0)
        for number, violations in enumerate([0, 0, 1]):
            self.now = 101.0 + number / 10
            request_id = b"r%d" % number
            self.checks.request_sent(request_id, "a")
            self.checks.request_arrived("s", request_id)
            assert len(self.violations) == violations

    def test_restarted_vm_is_excused(self):
        self.start()
        self.checks.request_sent(b"first", "a")
        self.checks.leaving_said("s", b"first")
        self.checks.request_served(b"first")
        self.checks.disturbed("a")
        self.checks.undisturbed("a")
        self.now += 10.0
        self.checks.request_sent(b"later", "a")
        self.checks.request_arrived("s", b"later")
        assert not self.violations


class TestRequestArrivesInAnEvacuatedZone:
    """Guards against a soak that misses requests to an evacuated zone, or reports
    those that are allowed; the bound is 3 s."""

    def start(self):
        self.now = 100.0
        self.violations = []
        self.checks = EvacuationChecks(
            clock=lambda: self.now,
            add_violation=lambda *violation: self.violations.append(violation),
        )
        self.checks.process_started("s", "a")
        self.checks.process_started("other", "b")

    def arrives(self, at, *, node="n", process="s"):
        """Returns whether the arrival of a request is a violation."""
        count = len(self.violations)
        self.checks.request_sent(b"r", node)
        self.checks.arrived(Arrival(at=at, process=process, request_id=b"r"))
        return len(self.violations) > count

    def test_only_late_arrivals_in_the_zone_are_reported(self):
        self.start()
        self.checks.zone_evacuated("a")
        assert not self.arrives(102.9)
        assert not self.arrives(103.1, process="other")
        assert self.arrives(103.1)

    def test_withdrawn_evacuation_counts_until_its_end(self):
        self.start()
        self.checks.zone_evacuated("a")
        self.now = 105.0
        self.checks.zone_returned("a")
        assert self.arrives(104.9)
        assert not self.arrives(105.1)

    def test_restarted_vm_has_no_excuse(self):
        # It reads the evacuations before it sends anything, so the check has no
        # exception for it, unlike those of limits and pauses.
        checks = Checks(clock=lambda: self.now)
        self.now = 100.0
        checks.evacuations.process_started("s", "a")
        checks.evacuations.zone_evacuated("a")
        checks.disturbed("n")
        checks.undisturbed("n")
        self.now = 104.0
        checks.evacuations.request_sent(b"r", "n")
        checks.request_arrived("s", b"r")
        checks.arrivals.settle()
        assert not checks.violations
        self.now += SETTLING_S
        checks.arrivals.settle()
        assert len(checks.violations) == 1

    def test_vm_that_was_cut_off_before_is_excused_until_it_is_told(self):
        self.start()
        self.checks.path_broken("n")
        self.checks.path_broken("n")
        self.checks.zone_evacuated("a")
        self.now = 102.0
        self.checks.path_restored("n")
        assert not self.arrives(109.0)
        assert self.arrives(109.0, node="m")
        self.now = 110.0
        self.checks.path_restored("n")
        assert not self.arrives(112.4)
        assert self.arrives(112.6)

    def test_vm_that_was_told_is_not_excused_by_a_later_cut(self):
        self.start()
        self.checks.zone_evacuated("a")
        self.now = 102.6
        self.checks.path_broken("n")
        assert self.arrives(103.1)


class TestColdServerGetsMoreThanItTolerates:
    """Guards against a soak that misses too many requests at a cold server; the bound
    is 8 in any second."""

    def start(self, *, is_serving=False):
        self.now = 100.0
        self.violations = []
        self.checks = ColdChecks(
            clock=lambda: self.now,
            add_violation=lambda *violation: self.violations.append(violation),
        )
        self.checks.cold_began("s", is_serving=is_serving)

    def arrive(self, *times):
        for at in times:
            self.checks.arrived(Arrival(at=at, process="s", request_id=b"r"))

    def test_arrivals_in_one_second_add_up(self):
        self.start()
        self.arrive(*[100.0 + n / 10 for n in range(8)])
        assert not self.violations
        self.arrive(100.9)
        assert len(self.violations) == 1

    def test_window_slides(self):
        self.start()
        self.arrive(*[100.0 + n / 8 for n in range(24)])
        assert not self.violations

    def test_time_after_the_spell_does_not_count(self):
        self.start()
        self.arrive(*[103.1] * 20)
        assert not self.violations

    def test_server_that_serves_has_a_time_to_be_known(self):
        self.start(is_serving=True)
        self.arrive(*[100.9] * 20)
        assert not self.violations
        self.arrive(*[101.1] * 9)
        assert self.violations

    def test_longer_spell_needs_not_be_learned_again(self):
        self.start()
        self.now = 101.5
        self.checks.cold_began("s", is_serving=True)
        self.arrive(*[104.0] * 9)
        assert self.violations

    def test_store_that_fails_before_the_spell_is_known(self):
        self.start(is_serving=True)
        self.now = 100.5
        self.checks.store_failed()
        self.arrive(*[102.0] * 9)
        assert not self.violations

    def test_store_that_fails_later_is_no_excuse(self):
        self.start(is_serving=True)
        self.now = 101.0
        self.checks.store_failed()
        self.arrive(*[102.0] * 9)
        assert self.violations


class TestMisdirectedRequestsCount:
    """Guards against violations from requests that a server answers 421."""

    def test_only_the_misdirected_attempt_is_left_out(self):
        self.now = 100.0
        passed_on = []
        arrivals = Arrivals(clock=lambda: self.now, listeners=[passed_on.append])
        arrivals.arrived("s", b"r")
        self.now += 0.5
        arrivals.arrived("s", b"r")
        arrivals.misdirected("s", b"r")
        self.now += 0.6
        arrivals.settle()
        assert [a.at for a in passed_on] == [100.0]
        self.now += 1.0
        arrivals.settle()
        assert [a.at for a in passed_on] == [100.0]


class TestDemandIsEven:
    """Guards against a soak whose load is even although it should not be."""

    def start(self):
        self.demand = Demand(random=random.Random(1))

    def test_surge(self):
        self.start()
        assert {self.demand.count() for _ in range(100)} == {1}
        self.demand.factor = 1.7
        assert 1650 < sum(self.demand.count() for _ in range(1000)) < 1750

    def test_hot_key(self):
        self.start()
        self.demand.hot_key = 7
        assert 300 < [self.demand.key() for _ in range(1000)].count(7) < 400

    def test_callers_that_moved(self):
        self.start()
        nodes = [SimpleNamespace(zone=zone) for zone in "abab"]
        assert {self.demand.node(nodes).zone for _ in range(100)} == {"a", "b"}
        self.demand.zone = "b"
        assert {self.demand.node(nodes).zone for _ in range(100)} == {"b"}
