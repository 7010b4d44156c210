from __future__ import annotations

import random

import pytest
from entry_fakes import SETTINGS, World, configuration, request, route
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
    """

    def __init__(self, *, work_s, keyed):
        self.world = World()
        service = {"health_path": "/h", "max_conns": 110, "sharded": keyed}
        booking = route(
            "stock",
            prefix="/book/",
            route_type="unsafe",
            timeout="9000ms",
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
        served = [entry for entry in vm.answers if entry[2] == 200]
        # The VM still serves what can end within the grace time.
        assert max(sent for sent, *_ in served) > LAST_EXCUSED_S

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
