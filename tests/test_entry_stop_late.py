"""Requests that come late in a stop: they end well or are refused, never cut off."""

from __future__ import annotations

import random

import pytest
from entry_fakes import SETTINGS, World, answer, configuration, request, route
from limit_fakes import STEP_S, AnsweringServers, status_and_body
from twisted.internet import defer

from briarspoke import codes

GRACE_S = float(SETTINGS["grace_s"].rstrip("s"))
# Requests that are sent later than this after the signal may not be cut off.
LAST_EXCUSED_S = 3.0


class StoppingVm:
    """An entry VM under load that gets SIGTERM.

    :param work_s: function that returns the seconds of work of the next request.
    :param keyed: whether the service has keys.
    :param timeout_ms: the timeout of the route.
    """

    def __init__(self, *, work_s, keyed, timeout_ms=9000):
        self.world = World()
        service = {"health_path": "/h", "max_conns": 110, "sharded": keyed}
        booking = route(
            "stock",
            prefix="/book/",
            route_type="unsafe",
            timeout=f"{timeout_ms}ms",
            target_latency="4000ms",
        )
        self.world.store.put(
            "op/config",
            configuration(routes={"book": booking}, services={"stock": service}),
        )
        for number in (11, 12):
            self.world.add_server("stock", number, slots=8)
        self.node = self.world.add_node()
        self.servers = AnsweringServers(self.world, work_s=work_s)
        self.world.advance(3.0)
        self._open = []
        self._count = 0
        # Of each answer: when its request was sent and the answer came, after the
        # signal, the status and the result code, or None if a server answered.
        self.answers = []
        self._signal_at = None

    def run(self, seconds):
        """Sends a request on a new connection every 0.1 s."""
        steps_per_request = round(0.1 / STEP_S)
        for step in range(round(seconds / STEP_S)):
            if step % steps_per_request == 0:
                self._send()
            self.world.advance(STEP_S)
            self.servers.step()
            self._collect()

    def _send(self):
        self._count += 1
        caller = self.world.caller(self.node)
        caller.send(
            request(
                "POST",
                "/book/1",
                request_id=f"r{self._count}",
                deadline=9000,
                body=b"x",
                key=self._count * 977 % 65_536,
            )
        )
        self._open.append((caller, self.world.reactor.seconds()))

    def _collect(self):
        waiting = []
        for caller, sent_at in self._open:
            data = caller.take()
            if not data:
                waiting.append((caller, sent_at))
                continue
            caller.close()
            if self._signal_at is not None:
                status, body = status_and_body(data)
                self.answers.append(
                    (
                        sent_at - self._signal_at,
                        self.world.reactor.seconds() - self._signal_at,
                        status,
                        None if body is None else body["code"],
                    )
                )
        self._open = waiting

    def stop(self):
        """Sends the signal and goes on with the load until the process has ended."""
        self._signal_at = self.world.reactor.seconds()
        stopped = defer.ensureDeferred(self.node.stop())
        while not stopped.called:
            self.run(0.1)

    def cut(self):
        """Returns the answers to late requests that ran and got no server's answer."""
        return [
            entry
            for entry in self.answers
            if entry[0] > LAST_EXCUSED_S
            and entry[3] not in (None, codes.SHUTTING_DOWN.number)
        ]


@pytest.mark.parametrize("keyed", [True, False])
class TestStopCutsLateRequests:
    def test_servers_that_work_long(self, keyed):
        vm = StoppingVm(work_s=lambda: 1.2, keyed=keyed)
        vm.run(5.0)
        vm.stop()
        assert vm.cut() == []
        # Nothing bounds the time of the slowest server, so what is sent later runs only
        # if its time limit ends within the grace time.
        late = [entry for entry in vm.answers if entry[0] > LAST_EXCUSED_S]
        assert {entry[3] for entry in late} == {codes.SHUTTING_DOWN.number}

    def test_requests_that_end_within_the_grace_time_are_served(self, keyed):
        vm = StoppingVm(work_s=lambda: 1.2, keyed=keyed, timeout_ms=2000)
        vm.run(5.0)
        vm.stop()
        assert vm.cut() == []
        served = [entry for entry in vm.answers if entry[2] == 200]
        assert max(sent for sent, *_ in served) > LAST_EXCUSED_S

    def test_server_that_becomes_slow_during_the_stop(self, keyed):
        # Guards against requests that are admitted by the usual time of earlier ones.
        vm = StoppingVm(work_s=lambda: 0.1, keyed=keyed)
        vm.run(5.0)
        vm.servers.work_s = lambda: 4.0
        vm.stop()
        assert vm.cut() == []

    def test_servers_whose_times_vary(self, keyed):
        draw = random.Random(7)
        vm = StoppingVm(work_s=lambda: draw.uniform(0.3, 1.5), keyed=keyed)
        vm.run(8.0)
        vm.stop()
        assert vm.cut() == []

    def test_what_cannot_end_in_time_is_refused_at_once(self, keyed):
        vm = StoppingVm(work_s=lambda: 1.2, keyed=keyed)
        vm.run(5.0)
        vm.stop()
        refused = [e for e in vm.answers if e[3] == codes.SHUTTING_DOWN.number]
        assert len(refused) >= 10
        late = [entry for entry in refused if entry[0] > GRACE_S - 1.5]
        assert all(ended - sent < 0.1 for sent, ended, *_ in late)


class PipeliningCaller:
    """Sends a lookup every 0.03 s, also while earlier ones have no answer.

    :ivar answers: of each answer: when its request was sent, its status and its result
        code, or None if a server answered.
    """

    def __init__(self, world, node):
        self.answers = []
        self._world = world
        self._node = node
        self._peer = world.caller(node)
        self._sent_at = []
        self._count = 0
        self._data = b""

    @property
    def is_closed(self):
        return self._peer.socket.write_ended or self._peer.socket.disconnecting

    def step(self):
        """Sends a request if the connection is open, and reads the answers."""
        if not self.is_closed:
            self._count += 1
            self._sent_at.append(self._world.reactor.seconds())
            self._peer.send(
                request(request_id=f"p{self._count}", deadline=9000, key=None)
            )
        self._data += self._peer.take()
        while self._data:
            head, _, rest = self._data.partition(b"\r\n\r\n")
            length = int(head.lower().rpartition(b"content-length:")[2].split()[0])
            data, self._data = head + b"\r\n\r\n" + rest[:length], rest[length:]
            status, body = status_and_body(data)
            code = None if body is None else body["code"]
            self.answers.append((self._sent_at.pop(0), status, code))


class TestConnectionsThatAreNeverIdle:
    """Guards against requests that are cut off because a stopping process goes on
    reading from a connection for as long as one of its requests is open.
    """

    def stop(self, work_s):
        """Stops a VM under a pipelining caller; returns the caller and the signal."""
        world = World()
        routes = {"lookup": route("stock", timeout="9000ms", target_latency="4000ms")}
        services = {"stock": {"health_path": "/h", "max_conns": 110}}
        world.store.put("op/config", configuration(routes=routes, services=services))
        for number in (11, 12):
            world.add_server("stock", number, slots=8)
        node = world.add_node()
        servers = AnsweringServers(world, work_s=work_s(world))
        world.advance(3.0)
        caller = PipeliningCaller(world, node)
        for _ in range(100):
            self.step(world, servers, caller)
        signal_at = world.reactor.seconds()
        stopped = defer.ensureDeferred(node.stop())
        while not stopped.called:
            self.step(world, servers, caller)
        return caller, signal_at

    def step(self, world, servers, caller):
        for _ in range(3):
            world.advance(STEP_S)
            servers.step()
        caller.step()

    def test_reading_ends_before_work_could_be_cut_off(self):
        def work_s(world):
            # The last requests that were read would still be at work at the end.
            return lambda: 3.0 if world.reactor.seconds() > 107.5 else 0.3

        caller, signal_at = self.stop(work_s)
        late = [a for a in caller.answers if a[0] - signal_at > LAST_EXCUSED_S]
        assert late == []
        assert caller.is_closed
        assert caller.answers[-1][1] == 200

    def test_everything_that_was_read_is_answered(self):
        caller, signal_at = self.stop(lambda world: lambda: 0.3)
        assert {status for _, status, _ in caller.answers} == {200}
        last_sent_at = caller.answers[-1][0] - signal_at
        assert 1.5 < last_sent_at < LAST_EXCUSED_S


class TestUploadThatArrivesDuringAStop:
    """Guards against uploads that are read for seconds and cut off after all."""

    HEAD = (
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u1\r\n"
        b"Deadline-Ms: %d\r\nContent-Length: 100000\r\n\r\n"
    )

    def begin(self, deadline_ms, timeout="9000ms"):
        world = World()
        routes = {
            "order": route(
                "orders", prefix="/order/", route_type="unsafe", timeout=timeout
            )
        }
        world.store.put("op/config", configuration(routes=routes))
        world.add_server("orders", 21)
        node = world.add_node()
        world.advance(3.0)
        caller = world.caller(node)
        defer.ensureDeferred(node.stop())
        world.advance(1.9)
        caller.send(self.HEAD % deadline_ms + b"x" * 1000)
        return world, node, caller

    def test_one_that_may_not_end_in_time_is_refused_before_it_has_arrived(self):
        world, _, caller = self.begin(9000)
        world.advance(0.5)
        status, body = status_and_body(caller.take())
        assert (status, body["code"]) == (503, codes.SHUTTING_DOWN.number)
        assert caller.socket.write_ended

    def test_one_that_ends_in_time_is_served(self):
        world, _, caller = self.begin(2000)
        world.advance(0.5)
        caller.send(b"x" * 99_000)
        server, _ = world.accept()
        server.send(answer(request_id="u1"))
        assert status_and_body(caller.take())[0] == 200

    def test_one_that_is_opened_late_is_refused_at_its_head(self):
        world, node, _ = self.begin(9000)
        world.advance(1.0)
        late = world.caller(node)
        late.send(self.HEAD % 9000)
        assert status_and_body(late.take())[0] == 503

    def test_one_that_stalls_is_answered_at_the_end(self):
        world, _, caller = self.begin(3000)
        world.advance(4.0)
        assert status_and_body(caller.take())[0] in (408, 503)
