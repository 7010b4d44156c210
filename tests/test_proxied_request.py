from __future__ import annotations

import pytest
from http_fakes import GET, OK, World, chunked, post

from briarspoke import codes
from briarspoke.configuration.snapshot import Configuration
from briarspoke.ownership.document import Partition, State
from briarspoke.ownership.routing_leases import RoutingLeaseHolder

LARGE = b"x" * 100_000
SHED = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nBriarspoke-Shed: 1\r\n\r\n"
FENCED = b"HTTP/1.1 409 X\r\nContent-Length: 0\r\nBriarspoke-Fence: expired\r\n\r\n"


class TestAnswers:
    def test_answer_is_complete_and_the_connection_is_reused(self):
        # Guards against a new connection for each request.
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
    def test_truncated_answer_aborts_the_connection_of_the_caller(self, answer):
        # Guards against a truncated answer that the caller takes for complete.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(answer)
        server.disconnect()
        assert caller.socket.aborted
        assert not caller.socket.take().endswith(b"0\r\n\r\n")
        assert not world.router.proxied_requests

    def test_answer_without_a_length_is_not_passed_on(self):
        # Guards against a lost connection that is taken for the end of the body.
        world = World()
        caller = world.caller()
        caller.send(post(b""))
        server = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
        result = caller.result()
        assert result["code"] == codes.ANSWER_MALFORMED.number
        assert result["run"] == "unknown"

    @pytest.mark.parametrize("surplus", [OK, b"stray"])
    def test_surplus_data_after_the_answer_closes_the_connection(self, surplus):
        # Guards against surplus data that becomes the answer to the next request.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(OK + surplus)
        caller.send(GET)
        assert len(world.connects) == 1
        assert caller.socket.take().count(b"200 OK") == 1

    def test_interim_answer_and_bodyless_answers(self):
        # Guards against treating 100 Continue as the answer, and against waiting
        # for the body of an answer to HEAD or with status 204, which has none.
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
        assert not world.router.proxied_requests

    def test_servers_cannot_forge_results(self):
        # Guards against the answer of a server that looks like a result of the router.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(OK.replace(b"\r\n\r\n", b"\r\nBriarspoke-Run: no\r\n\r\n"))
        assert b"riarspoke-run" not in caller.socket.take().lower()

    def test_full_write_buffer_to_the_caller_pauses_the_server(self):
        # Guards against buffering a large answer in memory for a slow caller.
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
        # Guards against slow callers that occupy the slots of a server.
        world = World()
        caller = world.caller()
        caller.send(post(b"half", length=8))
        assert not world.connects
        caller.send(b"half")
        assert world.accept().socket.take().endswith(b"\r\n\r\nhalfhalf")

    def test_small_chunked_body_gets_a_length(self):
        # Guards against a buffered body that cannot be sent again in a retry.
        world = World()
        world.caller().send(chunked(b"ab", b"cd"))
        sent = world.accept().socket.take()
        assert b"Content-Length: 4\r\n" in sent and sent.endswith(b"abcd")

    @pytest.mark.parametrize("request_", [post(LARGE), chunked(LARGE)])
    def test_full_write_buffer_to_the_server_pauses_the_caller(self, request_):
        # Guards against buffering an upload in memory for a slow server.
        world = World()
        caller = world.caller()
        caller.send(request_[:90_000])
        assert caller.socket.paused
        server = world.accept()
        assert not caller.socket.paused
        server.socket.producer.pauseProducing()
        assert caller.socket.paused
        # The drained write buffer to the caller must not resume the body.
        caller.protocol.resumeProducing()
        assert caller.socket.paused
        server.socket.producer.resumeProducing()
        caller.send(request_[90_000:])
        assert server.socket.take().count(b"x") >= len(LARGE)

    def test_upload_on_a_connection_whose_last_upload_ended_while_paused(self):
        # Guards against an upload that is never read, because the transport keeps
        # producerPaused from the previous upload.
        world = World()
        caller = world.caller()
        caller.send(post(LARGE))
        server = world.accept()
        server.socket.producerPaused = True
        server.send(OK)
        caller.send(post(LARGE[:70_000], length=len(LARGE)))
        assert not caller.socket.paused

    @pytest.mark.parametrize("request_", [post(LARGE), chunked(LARGE)])
    def test_truncated_body_aborts_the_connection_to_the_server(self, request_):
        # Guards against a truncated upload that the server takes for complete.
        world = World(slots=1)
        caller = world.caller()
        caller.send(request_[:90_000])
        server = world.accept()
        caller.disconnect()
        assert server.socket.aborted
        assert not server.socket.take().endswith(b"0\r\n\r\n")
        assert world.refusal_count(codes.CALLER_GONE) == 1
        assert world.router.queues_by_server["s-1"].in_flight == 0

    def test_invalid_chunk_in_a_streamed_body_has_an_unknown_outcome(self):
        # Guards against "not run" for a request that the server may have started.
        world = World()
        caller = world.caller()
        caller.send(chunked(LARGE, end=False))
        server = world.accept()
        caller.send(b"zz\r\n")
        result = caller.result()
        assert result["code"] == codes.REQUEST_INTERRUPTED.number
        assert result["run"] == "unknown"
        assert server.socket.aborted

    def test_answer_before_the_end_of_the_body_closes_both_connections(self):
        # Guards against reuse of a connection in the middle of a request.
        world = World()
        caller = world.caller()
        caller.send(post(LARGE[:70_000], length=len(LARGE)))
        server = world.accept()
        server.send(OK)
        answer = caller.socket.take()
        assert answer.endswith(b"ok") and b"connection: close" not in answer
        assert server.socket.aborted
        assert caller.socket.write_ended

    def test_chunked_body_beyond_the_limit_is_refused(self):
        # Guards against a chunked body that bypasses the limit of the operator.
        world = World(max_body_bytes=80_000)
        caller = world.caller()
        caller.send(chunked(LARGE, end=False))
        assert caller.result()["code"] == codes.BODY_TOO_LARGE.number


class TestRefusalWrittenTwice:
    """A server writes a refusal once more, which is taken for the next answer."""

    @pytest.mark.parametrize("refusal", [SHED, FENCED], ids=["shed", "fenced"])
    def test_does_not_refuse_the_repeat_of_a_booking(self, refusal):
        world = World()
        caller = world.caller()
        caller.send(post(b"body"))
        server = world.accept()
        server.send(refusal)
        world.wait(0.03)
        server.send(refusal)
        world.accept().send(OK)
        assert b"200 OK" in caller.socket.take()

    def test_does_not_refuse_the_next_booking(self):
        world = World()
        service = world.router.configuration.services_by_name["s"]
        world.router.budget_of(service).tokens = 0.0
        refused = world.caller()
        refused.send(post(b"refused"))
        server = world.accept()
        server.send(SHED)
        caller = world.caller()
        caller.send(post(b"body"))
        server.send(SHED)
        world.accept().send(OK)
        assert b"200 OK" in caller.socket.take()

    def test_does_not_refuse_a_booking_that_waits_for_a_connection(self):
        world = World(slots=3)
        lookup = world.caller()
        lookup.send(GET)
        server = world.accept()
        booking = world.caller()
        booking.send(post(b"body"))
        server.send(SHED)
        server.send(SHED)
        world.accept().send(OK)
        assert b"200 OK" in booking.socket.take()


class TestRetries:
    def test_shed_lookup_is_retried_on_the_same_connection(self):
        # Guards against a new connection for each shed request.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        server.send(SHED)
        world.wait(0.02)
        assert server.socket.take().count(b"GET ") == 2
        server.send(OK)
        assert caller.socket.take().endswith(b"ok")
        assert not world.connects

    def test_shed_booking_is_retried_with_its_body(self):
        # Guards against a lost body.
        world = World()
        caller = world.caller()
        caller.send(post(b"body"))
        world.accept().send(SHED)
        world.wait(0.02)
        server = world.accept()
        assert server.socket.take().endswith(b"\r\n\r\nbody")
        server.send(OK)
        assert caller.socket.take().endswith(b"ok")

    @pytest.mark.parametrize(
        ("tokens", "code"),
        [(0.0, codes.RETRY_BUDGET_SPENT), (9.0, codes.SERVER_SHED)],
    )
    def test_code_tells_why_a_shed_request_was_not_retried(self, tokens, code):
        # Guards against a spent retry budget reported as a single full server.
        world = World()
        service = world.router.configuration.services_by_name["s"]
        world.router.budget_of(service).tokens = tokens
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        while caller.socket.value() == b"":
            server.send(SHED)
            world.wait(0.3)
        result = caller.result()
        assert (result["code"], result["run"]) == (code.number, "no")

    def test_lost_booking_is_not_retried(self):
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

    def test_deadline_while_a_retry_is_queued(self):
        # Guards against "deadline in queue, not run" after a connection was lost.
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

    def test_long_queue_without_free_connections(self):
        # Guards against recursion as deep as the queue is long, when each request
        # fails as soon as it gets a slot.
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
        assert not world.router.proxied_requests

    def test_long_queue_of_an_unreachable_server(self):
        # Guards against recursion, and against load refusals of an unreachable server.
        world = World(slots=1, ranks={"lookup": {"queue": 3000}})
        callers = [world.caller() for _ in range(2000)]
        for caller in callers:
            caller.send(GET)
        world.refuse_connect()
        world.wait(0.05)
        codes_seen = {caller.result()["code"] for caller in callers}
        assert codes_seen == {codes.OWNER_UNREACHABLE.number}
        assert not world.router.proxied_requests

    def test_unreachable_server_is_tried_again(self):
        # Guards against refusals that continue after the server is reachable.
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
    def test_fenced_request_waits_for_the_grant(self):
        # Guards against refusals after an owner change was stored and before the new
        # owner has received its grant.
        world = World()
        caller = world.caller()
        caller.send(post(b"body"))
        world.accept().send(FENCED)
        world.wait(0.03)
        server = world.accept()
        assert server.socket.take().endswith(b"\r\n\r\nbody")
        server.send(OK)
        assert caller.socket.take().endswith(b"ok")

    def test_waiting_request_is_credited_to_the_retry_budget_once(self):
        # Guards against a retry budget that earns tokens with each wait for a grant.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        for _ in range(5):
            server.send(FENCED)
            world.wait(0.03)
        assert world.router.metrics.value("first_attempts_total") == 1

    def test_fenced_request_is_refused_after_the_maximum_wait(self):
        # Guards against waiting for a grant that never arrives.
        world = World()
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        for _ in range(50):
            server.send(FENCED)
            world.wait(0.03)
            if not world.router.proxied_requests:
                break
        result = caller.result()
        assert (result["code"], result["run"]) == (codes.OWNER_FENCED.number, "no")

    def test_only_one_of_many_waiting_requests_is_retried(self):
        # Guards against a burst of retries on a server that has lost its grants.
        world = World(slots=4)
        callers = [world.caller() for _ in range(4)]
        for caller in callers:
            caller.send(GET)
        servers = [world.accept() for _ in callers]
        for server in servers:
            server.send(FENCED)
            server.socket.take()
        world.wait(0.03)
        assert sum(bool(server.socket.take()) for server in servers) == 1

    def test_moving_partition_is_sent_to_its_new_owner(self):
        # Guards against refusing requests that arrive while a partition moves.
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

    def test_queued_requests_follow_a_partition_from_an_unreachable_server(self):
        # Guards against refusing requests for keys that another server owns by now.
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

    def test_queued_request_is_sent_with_the_epoch_of_the_current_owner(self):
        # Guards against sending a request to a former owner that checks no epochs.
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
        # Guards against two owners, which only the entry VM can prevent here.
        world = World(fenced=False)
        caller = world.caller()
        caller.send(GET)
        server = world.accept()
        world.wait(1.1)
        assert not server.socket.take()
        assert caller.result()["code"] == codes.NO_ROUTING_LEASE.number

    def test_lost_request_counts_as_in_flight_until_its_deadline(self):
        # Guards against a new owner while the former one may still run a request.
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
        # Guards against a shutdown that interrupts answers.
        world = World()
        caller, idle = world.caller(), world.caller()
        caller.send(GET)
        server = world.accept()
        remaining = []
        world.router.drain(10).addCallback(remaining.append)
        world.wait(1.5)
        assert idle.socket.write_ended
        idle.disconnect()
        server.send(OK)
        assert b"connection: close" in caller.socket.take()
        caller.disconnect()
        world.pump([0.1] * 5)
        assert remaining == [0]

    def test_requests_in_flight_at_the_timeout_are_ended(self):
        # Guards against a shutdown that never ends.
        world = World()
        caller = world.caller()
        caller.send(post(b"x"))
        world.accept()
        remaining = []
        world.router.drain(2).addCallback(remaining.append)
        world.pump([0.1] * 25)
        assert caller.result()["run"] == "unknown"
        caller.disconnect()
        world.pump([0.1] * 2)
        assert remaining == [1]
