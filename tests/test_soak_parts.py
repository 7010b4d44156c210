"""Parts of the soak that run without processes."""

from __future__ import annotations

from entry_fakes import ServerSocket
from twisted.internet.testing import MemoryReactorClock

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
