from __future__ import annotations

import pytest
from http_fakes import GET, OK, World, chunked, post

from briarspoke import codes
from briarspoke.configuration.snapshot import Configuration
from briarspoke.ownership.document import Partition, State
from briarspoke.ownership.routing_leases import RoutingLeaseHolder

LARGE = b"x" * 100_000


class TestAnswers:
    def test_answer_is_whole_and_the_connection_is_used_again(self):
        # Guards against a connect per request.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(OK)
        caller.send(GET)
        server.send(OK)
        assert caller.socket.take().count(b"\r\n\r\nok") == 2
        assert not world.connects

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ],
    )
    def test_cut_answer_is_cut_for_the_caller(self, answer):
        # Guards against a truncated answer that looks complete.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(answer)
        server.disconnect()
        assert caller.socket.aborted
        assert not caller.socket.take().endswith(b"0\r\n\r\n")
        assert not world.router.relays

    def test_answer_without_a_length_is_not_passed_on(self):
        # Guards against a cut that would pass for the end of the body.
        world = World()
        caller = world.caller()
        caller.send(post(b""))
        server = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
        result = caller.result()
        assert result["code"] == codes.ANSWER_MALFORMED.number
        assert result["run"] == "unknown"

    @pytest.mark.parametrize("surplus", [OK, b"stray"])
    def test_data_after_the_answer_ends_the_connection(self, surplus):
        # Guards against a stray answer given to the next request.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(OK + surplus)
        caller.send(GET)
        assert len(world.connects) == 1
        assert caller.socket.take().count(b"200 OK") == 1

    def test_interim_answer_and_bodyless_answers(self):
        # Guards against 100 Continue taken for the answer, and against waiting
        # for a body that HEAD and 204 do not have.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        caller.send(b"HEAD /s/k HTTP/1.1\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
        caller.send(GET)
        server.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        assert caller.socket.take().count(b"HTTP/1.1 20") == 3
        assert not world.connects
        assert not world.router.relays

    def test_servers_cannot_forge_results(self):
        # Guards against a server's answer that reads as a refusal of the router.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(OK.replace(b"\r\n\r\n", b"\r\nBriarspoke-Run: no\r\n\r\n"))
        assert b"riarspoke-run" not in caller.socket.take().lower()

    def test_full_caller_pauses_the_server(self):
        # Guards against a large answer held in memory for a slow caller.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
        caller.protocol.pauseProducing()
        assert server.socket.paused
        caller.protocol.resumeProducing()
        assert not server.socket.paused


class TestBodies:
    def test_small_body_is_complete_before_a_slot_is_taken(self):
        # Guards against slow callers that occupy the server's slots.
        world = World()
        caller = world.caller()
        caller.send(post(b"half", length=8))
        assert not world.connects
        caller.send(b"half")
        assert world.accept().socket.take().endswith(b"\r\n\r\nhalfhalf")

    def test_small_chunked_body_gets_a_length(self):
        # Guards against a held body that could not be repeated.
        world = World()
        world.caller().send(chunked(b"ab", b"cd"))
        sent = world.accept().socket.take()
        assert b"Content-Length: 4\r\n" in sent and sent.endswith(b"abcd")

    @pytest.mark.parametrize("request_", [post(LARGE), chunked(LARGE)])
    def test_full_server_pauses_the_caller(self, request_):
        # Guards against an upload held in memory for a slow server.
        world = World()
        caller = world.caller()
        caller.send(request_[:90_000])
        assert caller.socket.paused
        server = world.accept()
        assert not caller.socket.paused
        server.socket.producer.pauseProducing()
        assert caller.socket.paused
        # A drained answer buffer must not override the server's pause.
        caller.protocol.resumeProducing()
        assert caller.socket.paused
        server.socket.producer.resumeProducing()
        caller.send(request_[90_000:])
        assert server.socket.take().count(b"x") >= len(LARGE)

    def test_connection_whose_last_upload_ended_while_paused(self):
        # Guards against an upload that is never read: the transport keeps
        # producerPaused from the upload before.
        world = World()
        caller = world.caller()
        caller.send(post(LARGE))
        server = world.accept()
        server.socket.producerPaused = True
        server.send(OK)
        caller.send(post(LARGE[:70_000], length=len(LARGE)))
        assert not caller.socket.paused

    @pytest.mark.parametrize("request_", [post(LARGE), chunked(LARGE)])
    def test_cut_body_is_cut_for_the_server(self, request_):
        # Guards against a partial upload that is stored as complete.
        world = World(slots=1)
        caller = world.caller()
        caller.send(request_[:90_000])
        server = world.accept()
        caller.disconnect()
        assert server.socket.aborted
        assert not server.socket.take().endswith(b"0\r\n\r\n")
        assert world.refusal_count(codes.CALLER_GONE) == 1
        assert world.router.queues_by_server["s-1"].in_flight == 0

    def test_bad_chunk_in_a_streamed_body(self):
        # Guards against a refusal that denies a run that has begun.
        world = World()
        caller = world.caller()
        caller.send(chunked(LARGE, end=False))
        server = world.accept()
        caller.send(b"zz\r\n")
        result = caller.result()
        assert result["code"] == codes.REQUEST_INTERRUPTED.number
        assert result["run"] == "unknown"
        assert server.socket.aborted

    def test_early_answer_ends_both_connections(self):
        # Guards against a connection that is used again in mid-request.
        world = World()
        caller = world.caller()
        caller.send(post(LARGE[:70_000], length=len(LARGE)))
        server = world.accept()
        server.send(OK)
        answer = caller.socket.take()
        assert answer.endswith(b"ok") and b"connection: close" not in answer
        assert server.socket.aborted
        assert caller.socket.write_ended

    def test_large_chunked_body_beyond_the_limit(self):
        # Guards against a chunked body that evades the operator's bound.
        world = World(max_body_bytes=80_000)
        caller = world.caller()
        caller.send(chunked(LARGE, end=False))
        assert caller.result()["code"] == codes.BODY_TOO_LARGE.number


class TestRetries:
    def test_shed_request_is_repeated_on_the_same_connection(self):
        # Guards against a connect per shed request and against a lost body.
        world = World()
        caller = world.caller()
        caller.send(post(b"body"))
        server = world.accept()
        server.send(
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nBriarspoke-Shed: 1\r\n\r\n"
        )
        world.wait(0.02)
        assert server.socket.take().count(b"\r\n\r\nbody") == 2
        server.send(OK)
        assert caller.socket.take().endswith(b"ok")

    @pytest.mark.parametrize(
        ("tokens", "code"),
        [(0.0, codes.RETRY_BUDGET_SPENT), (9.0, codes.SERVER_SHED)],
    )
    def test_code_says_why_a_shed_request_was_not_repeated(self, tokens, code):
        # Guards against a service short of retries that looks like one full server.
        world = World()
        service = world.router.configuration.services_by_name["s"]
        world.router.budget_of(service).tokens = tokens
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        while caller.socket.value() == b"":
            server.send(
                b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nBriarspoke-Shed: 1\r\n\r\n"
            )
            world.wait(0.3)
        result = caller.result()
        assert (result["code"], result["run"]) == (code.number, "no")

    def test_lost_booking_is_not_repeated(self):
        # Guards against a second run of a non-idempotent request.
        world = World()
        caller = world.caller()
        caller.send(post(b"body"))
        world.accept().disconnect()
        world.wait(0.1)
        assert not world.connects
        assert caller.result()["run"] == "unknown"

    def test_result_after_an_unknown_attempt_is_unknown(self):
        # Guards against "not run" after an attempt that may have run.
        world = World()
        caller = world.caller()
        caller.send(GET)
        world.accept().disconnect()
        world.wait(0.05)
        world.refuse_connect()
        world.wait(0.05)
        result = caller.result()
        assert result["run"] == "unknown"
        assert result["code"] == codes.OUTCOME_UNKNOWN.number

    def test_deadline_while_a_repeat_waits(self):
        # Guards against "deadline in queue, not run" after a lost attempt.
        world = World(slots=1)
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        blocker = world.caller()
        blocker.send(GET)
        server.disconnect()
        world.wait(0.05)
        world.wait(5)
        assert caller.result()["run"] == "unknown"
        assert blocker.result()["run"] == "no"

    def test_long_queue_that_fails_at_once(self):
        # Guards against recursion as deep as the queue is long.
        world = World(slots=1, ranks={"lookup": {"queue": 3000}})
        callers = [world.caller() for _ in range(2000)]
        for caller in callers:
            caller.send(GET)
        world.router.pools_by_server["s-1"].maximum = 0
        world.accept().disconnect()
        for _ in range(10):
            world.wait(0.05)
        codes_seen = {caller.result()["code"] for caller in callers[1:]}
        assert codes_seen == {codes.NO_CONNECTION_FREE.number}
        assert not world.router.relays

    def test_long_queue_of_an_unreachable_server(self):
        # Guards against load refusals, and recursion, where no server answers.
        world = World(slots=1, ranks={"lookup": {"queue": 3000}})
        callers = [world.caller() for _ in range(2000)]
        for caller in callers:
            caller.send(GET)
        world.refuse_connect()
        world.wait(0.05)
        codes_seen = {caller.result()["code"] for caller in callers}
        assert codes_seen == {codes.OWNER_UNREACHABLE.number}
        assert not world.router.relays

    def test_unreachable_server_is_tried_again(self):
        # Guards against refusals that go on after the server is back.
        world = World()
        world.caller().send(GET)
        world.refuse_connect()
        world.wait(0.1)
        refused = world.caller()
        refused.send(GET)
        assert refused.result()["code"] == codes.OWNER_UNREACHABLE.number
        assert not world.connects
        world.wait(0.25)
        caller = world.caller()
        caller.send(GET)
        world.accept().send(OK)
        assert caller.socket.take().endswith(b"ok")


class TestHandover:
    FENCED = b"HTTP/1.1 409 X\r\nContent-Length: 0\r\nBriarspoke-Fence: expired\r\n\r\n"

    def test_fenced_request_waits_for_the_grant(self):
        # Guards against refusals between the write of an owner and its grant.
        world = World()
        caller = world.caller()
        caller.send(post(b"body"))
        server = world.accept()
        server.send(self.FENCED)
        server.socket.take()
        world.wait(0.03)
        assert server.socket.take().endswith(b"\r\n\r\nbody")
        server.send(OK)
        assert caller.socket.take().endswith(b"ok")

    def test_waiting_earns_no_retries(self):
        # Guards against a retry budget that grows with each wait for a grant.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        for _ in range(5):
            server.send(self.FENCED)
            world.wait(0.03)
        assert world.router.metrics.value("first_attempts_total") == 1

    def test_fenced_request_is_refused_in_the_end(self):
        # Guards against requests that wait for a grant that never comes.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        for _ in range(50):
            server.send(self.FENCED)
            world.wait(0.03)
            if not world.router.relays:
                break
        result = caller.result()
        assert (result["code"], result["run"]) == (codes.OWNER_FENCED.number, "no")

    def test_only_one_of_many_waiting_requests_tries(self):
        # Guards against a storm on a server that has lost its grants.
        world = World(slots=4)
        callers = [world.caller() for _ in range(4)]
        for caller in callers:
            caller.send(GET)
        servers = [world.accept() for _ in callers]
        for server in servers:
            server.send(self.FENCED)
            server.socket.take()
        world.wait(0.03)
        assert sum(bool(server.socket.take()) for server in servers) == 1

    def test_moving_partition_is_sent_to_its_new_owner(self):
        # Guards against a refusal of requests that arrive during a move.
        world = World()
        document = world.router.table.documents_by_service["s"]
        moving = {
            n: Partition(owner="s-1", epoch=1, state=State.MOVING) for n in range(256)
        }
        document = document.with_changes(moving, "w1")
        world.router.apply_ownership(document)
        caller = world.caller()
        caller.send(GET)
        world.wait(0.5)
        assert not world.connects
        owned = {n: Partition(owner="s-1", epoch=2) for n in range(256)}
        world.router.apply_ownership(document.with_changes(owned, "w2"))
        world.wait(0.0)
        server = world.accept()
        assert b"Briarspoke-Epoch: 2" in server.socket.take()

    def test_partition_that_left_a_lost_server(self):
        # Guards against refusals of keys that another server owns by now.
        world = World(slots=1)
        value = world.router.configuration.as_json()
        value["servers"].append(
            {**value["servers"][0], "name": "s-2", "address": "127.0.0.1:2"}
        )
        world.router.apply_configuration(Configuration.from_json(value, [], version=2))
        callers = [world.caller() for _ in range(3)]
        for caller in callers:
            caller.send(GET)
        document = world.router.table.documents_by_service["s"]
        newer = {n: Partition(owner="s-2", epoch=2) for n in range(256)}
        world.router.apply_ownership(document.with_changes(newer, "w"))
        world.refuse_connect()
        server = world.accept()
        for _ in callers:
            assert b"Briarspoke-Owner: s-2" in server.socket.take()
            server.send(OK)
        assert all(c.socket.take().endswith(b"ok") for c in callers)

    def test_owner_that_changed_while_the_request_was_queued(self):
        # Guards against work for an old owner that does not check epochs.
        world = World(slots=1)
        first, second = world.caller(), world.caller()
        first.send(GET)
        second.send(GET)
        server = world.accept()
        server.socket.take()
        document = world.router.table.documents_by_service["s"]
        newer = {n: Partition(owner="s-1", epoch=2) for n in range(256)}
        world.router.apply_ownership(document.with_changes(newer, "w"))
        server.send(OK)
        world.wait(0.03)
        assert b"Briarspoke-Epoch: 2" in server.socket.take()


class TestUnfencedServers:
    def test_without_a_routing_lease_nothing_is_sent(self):
        # Guards against two owners where only the entry VM can prevent them.
        world = World(fenced=False)
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        world.wait(1.1)
        assert not server.socket.take()
        assert caller.result()["code"] == codes.NO_ROUTING_LEASE.number

    def test_work_counts_as_in_flight_until_its_deadline(self):
        # Guards against a new owner while the old one may still run a request.
        world = World(fenced=False)
        leases = RoutingLeaseHolder(node_id="n1", incarnation=7)
        world.router.owner_checks.routing_leases = leases
        sent_at = leases.request("z1", {"s": 1}, world.seconds()).sent_at
        leases.granted(
            zone="z1",
            term=1,
            sent_at=sent_at,
            duration_s=2.0,
            version_by_service={"s": 0},
        )
        caller = world.caller()
        caller.send(GET)
        world.accept().disconnect()
        world.wait(0.001)
        assert leases.request("z1", {}, world.seconds()).in_flight
        world.wait(2.1)
        assert not leases.request("z1", {}, world.seconds()).in_flight


class TestShutdown:
    def test_requests_in_flight_are_finished(self):
        # Guards against a shutdown that cuts answers off.
        world = World()
        caller, idle = world.caller(), world.caller()
        caller.send(GET)
        server = world.accept()
        left = []
        world.router.drain(10).addCallback(left.append)
        world.wait(1.5)
        assert idle.socket.write_ended
        idle.disconnect()
        server.send(OK)
        assert b"connection: close" in caller.socket.take()
        caller.disconnect()
        world.pump([0.1] * 5)
        assert left == [0]

    def test_requests_left_at_the_timeout(self):
        # Guards against a shutdown that waits for ever.
        world = World()
        caller = world.caller()
        caller.send(post(b"x"))
        world.accept()
        left = []
        world.router.drain(2).addCallback(left.append)
        world.pump([0.1] * 25)
        assert caller.result()["run"] == "unknown"
        caller.disconnect()
        world.pump([0.1] * 2)
        assert left == [1]
