"""Parts of the soak that run without processes."""

from __future__ import annotations

from entry_fakes import ServerSocket
from twisted.internet.testing import MemoryReactorClock

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
