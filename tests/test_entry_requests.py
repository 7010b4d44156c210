from __future__ import annotations

import json
import re

import pytest
from entry_fakes import (
    LIMITS,
    World,
    answer,
    configuration,
    registration,
    request,
    route,
)

from briarspoke.keyspace.allowance import Admission

ORDER = {"method": "POST", "path": "/order/1", "body": b"two crates", "key": None}


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("orders", 21)
    world.add_server("orders", 22)
    for number in (11, 12):
        world.add_server("stock", number)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def status_of(data):
    return int(data.split(b" ", 2)[1])


def header(data, name):
    match = re.search(rb"(?i)\r\n" + name + rb": ([^\r]*)", data)
    return match and match[1]


class TestForwarding:
    def test_request_and_answer_pass_unchanged(self, world):
        # Guards against changes to the target, body, request identifier or signature.
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, address = world.accept()
        sent = server.take()
        assert sent.startswith(b"POST /order/1 HTTP/1.1\r\n")
        assert sent.endswith(b"\r\n\r\ntwo crates")
        assert header(sent, b"request-id") == b"r1"
        assert header(sent, b"target-instance") == b"s-%d" % int(
            address[0].rsplit(".", 1)[1]
        )
        assert 900 <= int(header(sent, b"deadline-ms")) <= 1000
        server.send(answer(body=b"booked"))
        got = caller.take()
        assert status_of(got) == 200
        assert got.endswith(b"\r\n\r\nbooked")
        assert header(got, b"response-signature") == b"sig"

    def test_key_goes_to_its_owner(self, world):
        # Guards against a request sent to a server that does not own its key.
        for key in (7, 60_000):
            caller = world.caller(world.node)
            caller.send(request(key=key))
            server, address = world.accept()
            assert world.servers[address].holds(key)
            server.send(answer())
            assert status_of(caller.take()) == 200

    def test_unknown_path_gets_404(self, world):
        caller = world.caller(world.node)
        caller.send(request(path="/other/1"))
        assert status_of(caller.take()) == 404

    def test_without_configuration_nothing_runs(self):
        # Guards against a 404 from an entry VM that has not read the routes yet.
        world = World()
        node = world.add_node()
        world.advance(0.1)
        caller = world.caller(node)
        caller.send(request())
        assert status_of(caller.take()) == 503

    def test_pipelined_answers_keep_their_order(self, world):
        # Guards against an answer that is sent for the wrong request.
        caller = world.caller(world.node)
        caller.send(request(request_id="a") + request(request_id="b"))
        first, _ = world.accept()
        second, _ = world.accept()
        second.send(answer(request_id="b", body=b"second"))
        assert caller.take() == b""
        first.send(answer(request_id="a", body=b"first"))
        got = caller.take()
        assert got.index(b"first") < got.index(b"second")


class TestUnusableAnswers:
    @pytest.mark.parametrize(
        "data",
        [
            answer(signature=None),
            answer(extra="Content-Encoding: gzip"),
            b"garbage\r\n\r\n",
            answer(length=50) + b"\x00",
        ],
        ids=["unsigned", "encoded", "garbage", "cut"],
    )
    def test_order_is_answered_with_unknown_outcome(self, world, data):
        # Guards against forwarding an altered or incomplete answer, and against an
        # answer that says whether a request has run when that is unknown.
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        server.send(data)
        if not server.socket.aborted:
            server.close()
        got = caller.take()
        assert status_of(got) == 502
        assert header(got, b"response-signature") is None
        assert not world.reactor.tcpClients

    def test_late_answer_to_another_request_is_skipped(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        server.send(answer(request_id="older", body=b"wrong"))
        server.send(answer(body=b"right"))
        assert caller.take().endswith(b"right")

    def test_answer_without_length_ends_with_its_connection(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n"
        server.send(head + b"all of it")
        server.close()
        got = caller.take()
        assert header(got, b"content-length") == b"9"
        assert got.endswith(b"all of it")

    def test_reset_answer_without_length_is_not_complete(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n"
        server.send(head + b"part of")
        server.reset()
        assert status_of(caller.take()) == 502


class TestRetries:
    def test_lookup_is_retried_after_a_lost_answer(self, world):
        caller = world.caller(world.node)
        caller.send(request())
        server, _ = world.accept()
        server.reset()
        again, _ = world.accept()
        again.send(answer())
        assert status_of(caller.take()) == 200

    def test_order_is_not_retried_after_a_lost_answer(self, world):
        # Guards against running a non-idempotent request twice.
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        server.reset()
        assert not world.reactor.tcpClients
        assert status_of(caller.take()) == 502

    def test_shed_order_is_retried_at_another_server(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, first = world.accept()
        server.send(answer(503, extra="Not-Executed: 1", signature=None))
        again, second = world.accept()
        assert first != second
        again.send(answer())
        assert status_of(caller.take()) == 200

    def test_request_is_refused_after_the_last_attempt(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        for _ in range(2):
            server, _ = world.accept()
            server.send(answer(503, extra="Not-Executed: 1", signature=None))
        assert not world.reactor.tcpClients
        got = caller.take()
        assert status_of(got) == 503
        assert float(header(got, b"retry-after")) < 1

    def test_refused_connection_costs_no_attempt(self, world):
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        world.refuse()
        server, _ = world.accept()
        server.send(answer())
        assert status_of(caller.take()) == 200


class TestTimeouts:
    def test_route_timeout_ends_a_request_that_was_sent(self, world):
        # Guards against a request that stays pending after its route's timeout.
        caller = world.caller(world.node)
        caller.send(request(**ORDER, deadline=2500))
        server, _ = world.accept()
        world.advance(1.05)
        assert status_of(caller.take()) == 504
        assert server.socket.aborted

    def test_disconnected_caller_cancels_the_request(self, world):
        # Guards against servers that process requests of disconnected callers.
        caller = world.caller(world.node)
        caller.send(request())
        server, _ = world.accept()
        caller.close()
        assert server.socket.aborted


class TestMisdirected:
    def test_same_owner_is_not_retried_immediately(self, world):
        # Guards against a burst of 421 answers while a key changes owner, which spent
        # the retry budget within milliseconds.
        caller = world.caller(world.node)
        caller.send(request())
        server, _ = world.accept()
        server.send(answer(421, signature=None))
        server.take()
        assert caller.take() == b"" and not world.reactor.tcpClients
        world.advance(0.2)
        repeat, _ = world.accept()
        assert b"GET" in repeat.take()
        assert server.take() == b""
        repeat.send(answer())
        assert status_of(caller.take()) == 200

    def test_new_owner_is_tried_immediately(self, world):
        caller = world.caller(world.node)
        caller.send(request(key=7))
        server, first = world.accept()
        server.send(answer(421, signature=None))
        number = int(first[0].rsplit(".", 1)[1])
        world.store.put(
            f"servers/s-{number}", registration("stock", number, state="draining")
        )
        world.advance(0.1)
        moved, second = world.accept()
        assert second != first
        moved.send(answer())
        assert status_of(caller.take()) == 200


class TestOwnerWithoutItsKeys:
    def test_other_requests_do_not_follow_a_rejected_one(self, world):
        # Guards against an owner whose grants have expired and that rejects thousands
        # of requests, each up to four times.
        arrivals = 0
        callers = []
        servers = []
        for number in range(40):
            caller = world.caller(world.node)
            caller.send(request(request_id=f"r{number}"))
            callers.append(caller)
            world.advance(0.05)
            while world.reactor.tcpClients:
                servers.append(world.accept()[0])
            for server in servers:
                for sent in re.findall(rb"request-id: (r\d+)", server.take()):
                    arrivals += 1
                    server.send(answer(421, request_id=sent.decode(), signature=None))
        assert arrivals <= 8
        world.advance(1.0)
        assert all(status_of(caller.take()) == 503 for caller in callers)

    def test_requests_follow_once_the_owner_runs_one(self, world):
        caller = world.caller(world.node)
        caller.send(request(request_id="r0"))
        server, _ = world.accept()
        server.take()
        server.send(answer(421, request_id="r0", signature=None))
        second = world.caller(world.node)
        second.send(request(request_id="r1"))
        assert server.take() == b"" and not world.reactor.tcpClients
        world.advance(0.15)
        assert server.take() == b""
        repeat, _ = world.accept()
        sent = re.findall(rb"request-id: (r\d+)", repeat.take())
        assert sent == [b"r0"] and not world.reactor.tcpClients
        repeat.send(answer(request_id="r0"))
        third = world.caller(world.node)
        third.send(request(request_id="r2"))
        assert b"r2" in repeat.take()


class TestTrafficSplit:
    def test_each_service_gets_its_weight(self):
        world = World()
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        routes = {"order": route("a", prefix="/order/", traffic_split=split)}
        services = {
            name: {"health_path": "/h", "max_conns": 110} for name in ("a", "b")
        }
        world.store.put("op/config", configuration(routes=routes, services=services))
        node = world.add_node()
        world.advance(0.5)
        chosen = node.routing_table.find(b"shop.example", b"/order/1")
        names = [chosen.next_service() for _ in range(100)]
        assert names.count("b") == 10
        assert "b" in names[:10]


class TestStop:
    def test_pending_requests_finish_and_the_connection_closes(self, world):
        # Guards against requests that a planned stop interrupts.
        from twisted.internet import defer

        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        stopped = defer.ensureDeferred(world.node.stop())
        world.advance(0.3)
        assert world.node._ready_page()[0] == 503
        server.send(answer())
        got = caller.take()
        assert status_of(got) == 200
        assert header(got, b"connection") == b"close"
        caller.close()
        world.advance(5.0)
        assert stopped.called

    def test_ready_answer_behind_a_pending_one_is_sent_before_the_stop(self, world):
        # Guards against ready answers that are lost when the process ends, because an
        # earlier request on the same connection has no answer yet.
        from twisted.internet import defer

        routes = {"lookup": route("stock", timeout="9000ms")}
        world.store.put("op/config", configuration(5, routes=routes))
        world.advance(0.5)
        caller = world.caller(world.node)
        caller.send(request(request_id="r1", key=7, deadline=9000))
        caller.send(request(request_id="r2", key=60_000, deadline=9000))
        world.accept()
        ready, _ = world.accept()
        ready.send(answer(request_id="r2", body=b"ready"))
        stopped = defer.ensureDeferred(world.node.stop())
        world.advance(5.3)
        assert caller.take() == b""
        world.advance(0.7)
        got = caller.take()
        assert status_of(got) in (502, 504)
        assert got.endswith(b"ready")
        assert b"connection: close" in got.rsplit(b"HTTP/1.1", 1)[1].lower()
        assert stopped.called

    def test_idle_connections_close_after_the_balancer_removed_the_vm(self, world):
        from twisted.internet import defer

        caller = world.caller(world.node)
        defer.ensureDeferred(world.node.stop())
        world.advance(1.0)
        assert not caller.socket.disconnecting
        world.advance(2.0)
        # Guards against a half close, after which a caller's next request would hang.
        assert caller.socket.disconnecting


class TestIdleCallers:
    def test_shorter_idle_timeout_closes_the_whole_connection(self, world):
        # Guards against a request that the caller sends while the connection closes
        # and that waits a second without an answer. Only a full close resets it
        # immediately.
        caller = world.caller(world.node)
        world.advance(6.0)
        assert not caller.socket.disconnecting
        limits = {**LIMITS, "idle_timeout": "5000ms"}
        world.store.put("op/config", configuration(5, limits=limits))
        world.advance(1.0)
        assert caller.socket.disconnecting
        assert not caller.socket.write_ended


class TestReusedAddress:
    def test_answer_of_another_server_stops_requests_to_the_address(self, world):
        # Guards against retries to an address that now belongs to another service.
        # Such retries counted three times for each request.
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, first = world.accept()
        server.send(answer(421, extra="Instance-Id: s-99", signature=None))
        for _ in range(3):
            world.advance(0.1)
            while world.reactor.tcpClients:
                other, address = world.accept()
                assert address != first
                other.send(answer())
        assert status_of(caller.take()) == 200

    def test_new_registration_removes_the_old_server(self, world):
        servers = world.node.dispatcher("orders").servers
        assert "s-21" in servers
        taken = registration("stock", 31, address="10.0.9.21:80")
        world.store.put("servers/s-31", taken)
        world.advance(0.1)
        assert "s-21" not in servers


@pytest.fixture
def many_vms(world):
    """Registers entry VMs until the share of each is less than one request."""
    body = {"zone": "cwb", "ip": "10.0.3.1", "port": 9000, "link_mbps": 10}
    for number in range(33):
        world.store.put(f"briarspoke/nodes/far-{number}", json.dumps(body).encode())
    world.advance(0.5)
    assert world.node.node_count == 34
    return world


class TestFewServersForManyVMs:
    def send(self, world, count):
        callers = [world.caller(world.node) for _ in range(count)]
        for number, caller in enumerate(callers):
            caller.send(request(**{**ORDER, "request_id": f"r{number}"}))
        return callers

    def test_a_vm_keeps_to_its_share_of_all_servers(self, many_vms):
        # Guards against servers that reject uploads, or lose them in a reset, because
        # each of many VMs has a request in flight at every one of them.
        for number in range(23, 33):
            many_vms.add_server("orders", number)
        many_vms.advance(0.5)
        assert len(many_vms.node.dispatcher("orders").servers) == 12
        callers = self.send(many_vms, 12)
        # 12 servers of 4 slots, two requests a slot, 34 VMs, and half as much again.
        assert len(many_vms.reactor.tcpClients) == 5
        server, _ = many_vms.accept()
        server.send(answer(request_id="r0", extra="Connection: close"))
        assert status_of(callers[0].take()) == 200
        assert len(many_vms.reactor.tcpClients) == 5

    def test_few_vms_use_every_server(self, world):
        self.send(world, 8)
        assert len(world.reactor.tcpClients) == 8


class TestLimitedKeys:
    def limit(self, world, fraction_by_key):
        admission = Admission(by_key=fraction_by_key, by_server={})
        world.node.announce_allowances("stock", admission)

    def test_requests_beyond_the_fraction_are_refused_at_once(self, world):
        # Guards against callers that wait for an owner that cannot run their requests.
        self.limit(world, {7: 0.0})
        caller = world.caller(world.node)
        caller.send(request(key=7))
        got = caller.take()
        assert status_of(got) == 503
        assert header(got, b"briarspoke-code") == b"2008"
        # The objective is 0.3 s; callers return within it.
        assert 0 < float(header(got, b"retry-after")) < 0.35
        other = world.caller(world.node)
        other.send(request(key=8))
        assert len(world.reactor.tcpClients) == 1

    def test_limits_leave_the_shares_of_few_vms_unchanged(self, world):
        # Guards against longer queues at all owners of a small deployment while one
        # key is limited.
        dispatcher = world.node.dispatcher("stock")
        server = dispatcher.servers["s-11"]
        before = dispatcher.selection.in_flight_limit(server)
        self.limit(world, {7: 0.5})
        assert dispatcher.selection.in_flight_limit(server) == before > 2

    def test_many_vms_may_have_two_requests_at_an_owner(self, many_vms):
        dispatcher = many_vms.node.dispatcher("stock")
        server = dispatcher.servers["s-11"]
        assert dispatcher.selection.in_flight_limit(server) == 1
        self.limit(many_vms, {7: 0.5})
        assert dispatcher.selection.in_flight_limit(server) == 2

    def test_other_vms_hear_of_the_limits(self, world):
        other = world.add_node("front-poa-2", 2)
        world.advance(1.0)
        self.limit(world, {7: 0.25})
        world.advance(0.1)
        gates = other.dispatcher("stock").gates
        assert gates.gate(7, None, other.now()).fraction == 0.25


class TestOverloadedOwner:
    def serve(self, world, number, seconds):
        """Sends a lookup that takes some seconds; returns the status of the answer."""
        caller = world.caller(world.node)
        caller.send(request(request_id=f"r{number}"))
        if not world.reactor.tcpClients:
            return status_of(caller.take() or b"HTTP/1.1 0 ")
        server, _ = world.accept()
        world.advance(seconds)
        server.send(answer(request_id=f"r{number}", extra="Connection: close"))
        return status_of(caller.take())

    def test_slow_owner_is_paused(self, many_vms):
        # Guards against an overflowing queue at a server that never answers the
        # requests that exceed it: 34 entry VMs with one request each are more than
        # the 20 that it holds.
        for number in range(3):
            self.serve(many_vms, number, 0.29)
        assert self.serve(many_vms, 4, 0.29) != 200
        many_vms.advance(2.5)
        assert self.serve(many_vms, 5, 0.05) == 200

    def test_one_slow_answer_does_not_pause_the_owner(self, many_vms):
        for number, seconds in enumerate((0.05, 0.29, 0.05, 0.05)):
            assert self.serve(many_vms, number, seconds) == 200


class TestLostAnswers:
    def test_owner_that_loses_answers_still_gets_requests(self, world):
        # Guards against refusing requests for all keys of a server after two lost
        # answers, although the server runs and answers other requests.
        for number in range(4):
            caller = world.caller(world.node)
            caller.send(request(request_id=f"r{number}", method="POST"))
            while world.reactor.tcpClients:
                server, _ = world.accept()
                server.reset()
            assert status_of(caller.take()) == 502
        caller = world.caller(world.node)
        caller.send(request())
        server, _ = world.accept()
        server.send(answer())
        assert status_of(caller.take()) == 200

    def test_requests_to_an_unreachable_owner_are_refused_immediately(self, world):
        # Guards against requests that stay queued for an unreachable server.
        for _ in range(2):
            caller = world.caller(world.node)
            caller.send(request())
            world.refuse()
        caller = world.caller(world.node)
        caller.send(request())
        assert status_of(caller.take()) == 503

    def test_retry_after_equals_the_duration_of_the_outage(self, world):
        # Guards against callers that use up their retries while an availability zone is
        # unreachable, and against requests that stay queued without being sent.
        def refused():
            caller = world.caller(world.node)
            caller.send(request())
            while world.reactor.tcpClients:
                world.refuse()
            return float(header(caller.take(), b"retry-after"))

        caller = world.caller(world.node)
        caller.send(request())
        world.refuse()
        assert refused() < 0.5
        for _ in range(20):
            world.advance(0.1)
            again = refused()
        assert 1.8 < again < 2.3

    def test_orders_avoid_a_server_that_loses_answers(self, world):
        losing = None
        for number in range(8):
            caller = world.caller(world.node)
            caller.send(request(**ORDER, request_id=f"r{number}"))
            server, address = world.accept()
            losing = losing or address
            if address == losing:
                server.reset()
            else:
                server.send(answer(request_id=f"r{number}", extra="Connection: close"))
        assert address != losing


class TestUnknownOutcome:
    def test_lookup_that_may_have_run_is_not_answered_as_not_run(self, world):
        # Guards against an answer that says "not run" because a retry was shed,
        # although the attempt before it may have run.
        caller = world.caller(world.node)
        caller.send(request())
        server, _ = world.accept()
        server.reset()
        again, _ = world.accept()
        again.send(answer(503, extra="Not-Executed: 1", signature=None))
        assert status_of(caller.take()) == 502
