from __future__ import annotations

import heapq
import itertools

import pytest

from briarspoke import codes
from briarspoke.admission.queue import LoadSignal, Refuse, ServerQueue, Start, Ticket
from briarspoke.configuration.resources import RANKS, RankPolicy
from briarspoke.errors import InvariantError

SHARES = {"lookup": 0.5, "booking": 0.3, "bulk": 0.1}


def policies(bound=32):
    return {
        rank: RankPolicy(share=share, queue=bound, deadline_ms=1000)
        for rank, share in SHARES.items()
    }


def make(slots=4, bound=32, **options):
    return ServerQueue(slots=slots, policies_by_rank=policies(bound), **options)


def ticket(rank="lookup", deadline=1e6):
    return Ticket(rank=rank, deadline=deadline)


def offer(queue, rank, count, now=0.0):
    tickets = [ticket(rank) for _ in range(count)]
    commands = [command for t in tickets for command in queue.offer(t, now)]
    return tickets, commands


def run_one(queue, now, seconds, signal=LoadSignal.OK):
    running = ticket()
    queue.offer(running, now)
    return queue.release(running, now + seconds, signal)


def simulate(queue, seconds_by_rank, rate_by_rank, until):
    """Simulates arrivals at fixed intervals; returns the slot seconds by rank."""
    number = itertools.count()
    events = [(0.0, next(number), rank, None) for rank in rate_by_rank]
    work = dict.fromkeys(RANKS, 0.0)
    while events:
        now, _, rank, ended = heapq.heappop(events)
        if now > until:
            break
        if ended is None:
            commands = queue.offer(ticket(rank), now)
            at = now + 1.0 / rate_by_rank[rank]
            heapq.heappush(events, (at, next(number), rank, None))
        else:
            commands = queue.release(ended, now)
        for command in commands:
            if isinstance(command, Start):
                rank = command.ticket.rank
                work[rank] += seconds_by_rank[rank]
                at = now + seconds_by_rank[rank]
                heapq.heappush(events, (at, next(number), rank, command.ticket))
    return work


class TestShares:
    @pytest.mark.parametrize("slots", [1, 2, 3, 6])
    @pytest.mark.parametrize("flooding", RANKS)
    def test_each_rank_keeps_its_share(self, slots, flooding):
        # Guards against a flood of one rank that starves another. With only one
        # protected request per slot, bulk got 0.06 of a share of 0.1 at one slot.
        seconds = {"lookup": 0.02, "booking": 0.04, "bulk": 0.08}
        rates = {
            rank: (10.0 if rank == flooding else 1.3 * SHARES[rank])
            * slots
            / seconds[rank]
            for rank in RANKS
        }
        work = simulate(make(slots), seconds, rates, until=30.0)
        total = sum(work.values())
        for rank, share in SHARES.items():
            # Allows one request of slack per slot at the end of the run.
            assert work[rank] >= share * total - slots * seconds[rank], (rank, work)

    def test_use_of_idle_capacity_adds_little_debt(self):
        # Guards against bulk requests that are blocked after they ran alone.
        queue = make(2)
        simulate(queue, {"bulk": 0.05}, {"bulk": 100.0}, until=20.0)
        assert queue.shares.credit_by_rank["bulk"] >= -0.2


class TestCaps:
    def test_one_slot_runs_every_rank(self):
        for rank in RANKS:
            _, commands = offer(make(1), rank, 1)
            assert isinstance(commands[0], Start)

    @pytest.mark.parametrize(("slots", "started"), [(2, 2), (3, 2), (6, 5)])
    def test_booking_leaves_a_slot_for_lookups(self, slots, started):
        queue = make(slots)
        offer(queue, "booking", 9)
        assert queue.in_flight == started
        queue = make(slots)
        offer(queue, "bulk", 9)
        assert queue.in_flight == slots - 1


class TestOverflow:
    def test_newest_bulk_is_displaced(self):
        # Guards against lookups that are refused while bulk requests wait.
        queue = make(1, bound=4)
        offer(queue, "lookup", 1)
        bulk, _ = offer(queue, "bulk", 4)
        _, commands = offer(queue, "lookup", 7)
        displaced = [c.ticket for c in commands if c.code is codes.DISPLACED]
        assert displaced == [bulk[3], bulk[2]]
        assert commands[-1].code is codes.QUEUE_FULL
        assert commands[-1].retry_after_ms >= 100

    def test_queue_bound_of_zero_still_serves(self):
        queue = make(2, bound=0)
        _, commands = offer(queue, "lookup", 3)
        kinds = [type(command) for command in commands]
        assert kinds == [Start, Start, Refuse]


class TestDeadlines:
    def test_unreachable_deadline_is_refused_immediately(self):
        # Guards against sending requests that cannot be answered in time.
        queue = make(1)
        run_one(queue, 0.0, 0.5)
        offer(queue, "lookup", 2, now=1.0)
        (command,) = queue.offer(ticket(deadline=1.4), 1.0)
        assert command.code is codes.DEADLINE_UNREACHABLE

    def test_idle_server_corrects_a_high_estimate(self):
        # Guards against refusing all requests after a single very slow one.
        queue = make(1)
        run_one(queue, 0.0, 5.0)
        (command,) = queue.offer(ticket(deadline=11.0), 10.0)
        assert isinstance(command, Start)

    def test_expired_ticket_is_refused_by_tick(self):
        queue = make(1)
        offer(queue, "lookup", 1)
        late = ticket("booking", deadline=1.0)
        queue.offer(late, 0.0)
        (command,) = queue.tick(1.0)
        assert (command.ticket, command.code) == (late, codes.DEADLINE_IN_QUEUE)


class TestSlotLimit:
    def test_limit_is_halved_at_most_once_a_second(self):
        # Guards against halving the limit several times for a single overload.
        queue = make(8)
        for _ in range(3):
            run_one(queue, 0.0, 0.1, LoadSignal.SHED)
        assert queue.limit.current(0.2) == 4
        run_one(queue, 1.2, 0.1, LoadSignal.SHED)
        assert queue.limit.current(1.3) == 2

    def test_slow_request_halves_the_limit_while_it_runs(self):
        # Guards against a stalled server that keeps all its slots.
        queue = make(8)
        for number in range(10):
            run_one(queue, number, 0.05)
        offer(queue, "lookup", 1, now=20.0)
        queue.tick(20.1)
        assert queue.limit.current(20.1) == 8
        queue.tick(20.2)
        assert queue.limit.current(20.2) == 4

    def test_slow_bulk_is_no_sign_of_overload(self):
        # Guards against large uploads that reduce the slots of lookups.
        queue = make(8)
        for seconds in [0.05] * 10 + [9.0]:
            bulk = ticket("bulk")
            queue.offer(bulk, 0.0)
            queue.release(bulk, seconds)
        assert queue.limit.current(9.0) == 8

    def test_successes_restore_the_limit(self):
        queue = make(8)
        run_one(queue, 0.0, 0.05, LoadSignal.SHED)
        for number in range(40):
            run_one(queue, 1.0 + number, 0.05)
        assert queue.limit.current(50.0) == 8

    def test_new_server_warms_up(self):
        queue = make(6, warmup_s=2.0)
        queue.warm_up(10.0)
        limits = [queue.limit.current(10.0 + at) for at in (0.0, 1.0, 2.0)]
        assert limits == [1, 3, 6]

    def test_fewer_slots_let_running_requests_end(self):
        queue = make(4)
        running, _ = offer(queue, "lookup", 6)
        queue.reconfigure(slots=2, policies_by_rank=policies(), now=0.0)
        assert queue.in_flight == 4
        assert queue.release(running[0], 0.1) == []
        assert queue.release(running[1], 0.1) == []
        assert len(queue.release(running[2], 0.1)) == 1


class TestTickets:
    def test_second_release_is_an_error(self):
        # Guards against a slot that is released twice.
        queue = make()
        (running,), _ = offer(queue, "lookup", 1)
        queue.release(running, 0.1)
        with pytest.raises(InvariantError):
            queue.release(running, 0.2)
