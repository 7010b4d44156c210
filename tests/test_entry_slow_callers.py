"""Callers that read their answers slowly or not at all."""

from __future__ import annotations

import pytest
from entry_fakes import World, answer, configuration, request, route
from http_fakes import Kernel
from test_entry_closing import Servers, close_after
from twisted.internet import defer

LOOKUP = {"key": None, "deadline": 9000}
ANSWER_BYTES = 30_000
# Requests that may begin on one connection: 16, and those of one piece of input.
MOST_BEGUN = 16 + 8192 // 90


class AnsweringServers(Servers):
    """Answers each request at once with a large body."""

    def answer_all(self):
        self.step()
        while self._pending:
            peer, request_id = self._pending.pop(0)
            if not peer.socket.aborted:
                peer.send(answer(request_id=request_id, body=b"x" * ANSWER_BYTES))
                self.step()


@pytest.fixture
def world():
    world = World()
    routes = {"lookup": route("stock", timeout="9000ms")}
    services = {"stock": {"health_path": "/h", "max_conns": 110}}
    world.store.put("op/config", configuration(routes=routes, services=services))
    for number in (11, 12):
        world.add_server("stock", number, slots=40)
    world.node = world.add_node()
    world.advance(1.0)
    world.answering = AnsweringServers(world)
    return world


def pipeline(world, caller, first, count):
    """Sends requests one behind the other, and lets servers answer them."""
    for number in range(first, first + count):
        caller.send(request(request_id=f"r{number}", **LOOKUP))
        world.answering.answer_all()


class TestCallerThatReadsNothing:
    """Guards against a process that ends because a caller sends requests and does not
    read the answers: each answer was kept for it.
    """

    def test_its_requests_wait(self, world):
        caller = world.caller(world.node)
        caller.socket.stalled = True
        pipeline(world, caller, 0, 300)
        assert len(world.answering.received) <= MOST_BEGUN
        assert caller.socket.paused
        most_bytes = (MOST_BEGUN + 1) * ANSWER_BYTES
        assert world.node.held_output.total_bytes <= most_bytes

    def test_they_are_served_once_it_reads(self, world):
        caller = world.caller(world.node)
        caller.socket.stalled = True
        pipeline(world, caller, 0, 40)
        caller.socket.stalled = False
        got = b""
        for _ in range(60):
            caller.socket.drain()
            world.answering.answer_all()
            got += caller.take()
        ids = [line for line in got.split(b"\r\n") if line.startswith(b"request-id: ")]
        assert ids == [b"request-id: r%d" % number for number in range(40)]
        assert not caller.socket.paused
        assert world.node.held_output.total_bytes == 0

    def test_many_of_them_stay_within_the_limit(self, world):
        held = world.node.held_output
        held.limit_bytes = 1_000_000
        callers = [world.caller(world.node) for _ in range(20)]
        for caller in callers:
            caller.socket.stalled = True
            pipeline(world, caller, 0, 20)
        assert held.total_bytes <= held.limit_bytes
        assert any(caller.socket.aborted for caller in callers)

    def test_it_is_reset_after_the_idle_timeout(self, world):
        caller = world.caller(world.node)
        caller.socket.stalled = True
        pipeline(world, caller, 0, 20)
        world.advance(14.0, 0.1)
        assert not caller.socket.aborted
        world.advance(2.0, 0.1)
        assert caller.socket.aborted

    def test_one_segment_with_many_requests(self, world):
        caller = world.caller(world.node)
        data = b"".join(request(request_id=f"r{n}", **LOOKUP) for n in range(400))
        caller.send(data)
        world.answering.step()
        assert len(world.answering.received) <= MOST_BEGUN


class TestSlowReaderOfTheLastAnswer:
    """Guards against a connection that is reset one second after its last answer, while
    its caller still reads it.
    """

    def test_it_is_read_to_its_end(self, world):
        caller = world.caller(world.node)
        caller.socket.stalled = True
        caller.send(close_after(request(request_id="r1", **LOOKUP)))
        world.answering.answer_all()
        for _ in range(5):
            world.advance(1.0, 0.1)
            caller.socket._tempDataLen -= 2000
        assert not caller.socket.aborted
        caller.socket.drain()
        world.advance(2.0, 0.1)
        assert caller.socket.closed


@pytest.fixture
def kernel(monkeypatch):
    return Kernel(monkeypatch)


def end_by_stop(world, caller):
    defer.ensureDeferred(world.node.stop())
    caller.send(request(request_id="r1", **LOOKUP))
    world.answering.answer_all()


def end_by_caller(world, caller):
    caller.send(close_after(request(request_id="r1", **LOOKUP)))
    world.answering.answer_all()


def end_by_second_answer(world, caller):
    caller.send(request(request_id="r1", **LOOKUP))
    world.answering.answer_all()
    end_by_caller(world, caller)


def end_by_refused_upload(world, caller):
    caller.send(
        b"POST /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Content-Length: 99999999\r\n\r\npart"
    )


def end_by_large_head(world, caller):
    caller.send(request(request_id="x" * 20_000, **LOOKUP))


def end_by_stop_of_idle(world, caller):
    caller.send(request(request_id="r1", **LOOKUP))
    world.answering.answer_all()
    defer.ensureDeferred(world.node.stop())
    world.advance(2.3, 0.05)


ENDS = [
    end_by_stop,
    end_by_caller,
    end_by_second_answer,
    end_by_refused_upload,
    end_by_large_head,
    end_by_stop_of_idle,
]


class TestCallerThatReadsFromTheKernel:
    """Guards against a reset that discards the part of an answer that the kernel has
    taken and the caller has not read.
    """

    @pytest.mark.parametrize("end", ENDS)
    def test_its_connection_is_not_reset(self, world, kernel, end):
        caller = world.caller(world.node)
        kernel.hold(caller.socket, ANSWER_BYTES)
        end(world, caller)
        for count in range(ANSWER_BYTES - 1_000, 0, -1_000):
            kernel.hold(caller.socket, count)
            world.advance(0.1, 0.05)
            assert not caller.socket.aborted
            assert not caller.socket.disconnecting
        kernel.hold(caller.socket, 0)
        world.advance(2.0, 0.05)
        # The process may have ended before, and its kernel closes the connection.
        assert caller.socket.closed or world.node.stopping

    @pytest.mark.parametrize("end", ENDS[1:5])
    def test_it_is_reset_if_it_reads_nothing(self, world, kernel, end):
        caller = world.caller(world.node)
        kernel.hold(caller.socket, ANSWER_BYTES)
        end(world, caller)
        world.advance(14.0, 0.1)
        assert not caller.socket.aborted
        world.advance(2.0, 0.1)
        assert caller.socket.aborted

    def test_input_behind_the_last_answer_is_read(self, world, kernel):
        caller = world.caller(world.node)
        kernel.hold(caller.socket, ANSWER_BYTES)
        end_by_caller(world, caller)
        caller.send(request(request_id="r2", **LOOKUP) * 30)
        assert not caller.socket.paused
        assert world.answering.received == ["r1"]

    def test_it_is_not_idle_while_it_reads(self, world, kernel):
        caller = world.caller(world.node)
        kernel.hold(caller.socket, ANSWER_BYTES)
        caller.send(request(request_id="r1", **LOOKUP))
        world.answering.answer_all()
        for count in range(ANSWER_BYTES, 0, -1_000):
            kernel.hold(caller.socket, count)
            world.advance(1.0, 0.1)
            assert not caller.socket.aborted
            assert not caller.socket.disconnecting
        kernel.hold(caller.socket, 0)
        world.advance(14.0, 0.1)
        assert not caller.socket.disconnecting
        world.advance(2.0, 0.1)
        assert caller.socket.closed

    def test_slow_progress_in_the_kernel_is_no_standstill(self, world, kernel):
        caller = world.caller(world.node)
        caller.socket.stalled = True
        kernel.hold(caller.socket, 2 * ANSWER_BYTES)
        pipeline(world, caller, 0, 20)
        for count in range(2 * ANSWER_BYTES, ANSWER_BYTES, -1_000):
            kernel.hold(caller.socket, count)
            world.advance(1.0, 0.1)
        assert not caller.socket.aborted
        world.advance(16.0, 0.1)
        assert caller.socket.aborted


class TestEndOfTheProcess:
    """Guards against answers that wait in the process when it ends, while their caller
    still reads.
    """

    def test_final_answers_are_not_reset(self, world, kernel):
        caller = world.caller(world.node)
        kernel.hold(caller.socket, ANSWER_BYTES)
        stopped = defer.ensureDeferred(world.node.stop())
        caller.send(request(request_id="r1", **LOOKUP))
        world.advance(6.0, 0.05)
        assert stopped.called
        assert caller.socket.write_ended
        assert not caller.socket.aborted

    def test_the_kernel_gets_all_of_them(self, world, kernel):
        caller = world.caller(world.node)
        kernel.hold(caller.socket, ANSWER_BYTES)
        caller.socket.stalled = True
        lookups = [request(request_id=f"r{number}", **LOOKUP) for number in range(6)]
        caller.send(b"".join(lookups))
        world.answering.answer_all()
        defer.ensureDeferred(world.node.stop())
        handed_over = []
        caller.socket.doWrite = lambda: handed_over.append(caller.socket.take())
        world.advance(5.8, 0.05)
        assert b"".join(handed_over).count(b"HTTP/1.1 200") == 6
        assert not caller.socket.aborted
        assert not caller.socket.paused


class TestAnswerThatWasWritten:
    """Guards against answers that the timers hold until the time limit of a request."""

    def held_bytes(self, world):
        """Returns the bytes of answers that the timers refer to."""
        return sum(item.answer_bytes for _, _, item in world.node.timers._heap)

    def test_it_is_not_held(self, world):
        caller = world.caller(world.node)
        pipeline(world, caller, 0, 10)
        assert len(caller.take()) > 10 * ANSWER_BYTES
        assert len(world.node.timers._heap) >= 10
        assert self.held_bytes(world) == 0

    def test_it_is_not_held_for_a_caller_that_has_gone(self, world):
        caller = world.caller(world.node)
        for request_id in ("r1", "r2"):
            caller.send(request(request_id=request_id, **LOOKUP))
        world.answering.step()
        peer, request_id = world.answering._pending.pop()
        peer.send(answer(request_id=request_id, body=b"x" * ANSWER_BYTES))
        assert self.held_bytes(world) == ANSWER_BYTES
        caller.reset()
        assert self.held_bytes(world) == 0
