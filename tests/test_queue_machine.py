from __future__ import annotations

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from profiles import stateful_settings

from briarspoke import codes
from briarspoke.admission.queue import LoadSignal, Refuse, ServerQueue, Start, Ticket
from briarspoke.configuration.resources import RANKS, RankPolicy

BOUNDS = {"lookup": 4, "booking": 3, "bulk": 3}
SHARES = {"lookup": 0.5, "booking": 0.3, "bulk": 0.1}


def policies(bounds):
    return {
        rank: RankPolicy(share=SHARES[rank], queue=bound, deadline_ms=1000)
        for rank, bound in bounds.items()
    }


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a model under random events.

    The model lists the waiting and running tickets and checks each command of the
    queue. Guards against lost or duplicate tickets, wrong order within a rank,
    exceeded bounds, late starts and idle slots.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.slots = 3
        self.bounds = dict(BOUNDS)
        self.queue = ServerQueue(slots=3, policies_by_rank=policies(BOUNDS))
        self.waiting = {rank: [] for rank in RANKS}
        self.running = []

    def apply(self, commands, offered=None):
        for command in commands:
            ticket = command.ticket
            waiting = self.waiting[ticket.rank]
            if isinstance(command, Start):
                assert waiting[0] is ticket, "not the oldest of its rank"
                assert ticket.deadline > self.now
                waiting.pop(0)
                self.running.append(ticket)
                continue
            assert isinstance(command, Refuse)
            self.check_refusal(command, offered)
            waiting.remove(ticket)

    def check_refusal(self, command, offered):
        ticket = command.ticket
        waiting = self.waiting[ticket.rank]
        if command.code is codes.DEADLINE_IN_QUEUE:
            assert ticket.deadline <= self.now
        elif command.code is codes.QUEUE_FULL and offered is not None:
            assert ticket is offered
            others = sum(map(len, self.waiting.values())) - 1
            full = others >= sum(self.bounds.values())
            assert full or len(waiting) > self.bounds[ticket.rank]
        elif command.code is codes.DISPLACED:
            less_urgent = RANKS.index(ticket.rank) > RANKS.index(offered.rank)
            assert less_urgent or len(waiting) > self.bounds[ticket.rank]
            assert waiting[-1] is ticket, "not the newest of its rank"
        elif command.code is codes.QUEUE_FULL:
            assert waiting[-1] is ticket
        else:
            assert command.code is codes.DEADLINE_UNREACHABLE
            assert self.running, "an idle server takes every request"

    @rule(rank=st.sampled_from(RANKS), patience=st.sampled_from((0.0, 0.05, 1.0, 9.0)))
    def offer(self, rank, patience):
        ticket = Ticket(rank=rank, deadline=self.now + patience)
        self.waiting[rank].append(ticket)
        self.apply(self.queue.offer(ticket, self.now), offered=ticket)

    @rule(
        index=st.integers(0, 9),
        signal=st.sampled_from(
            (
                LoadSignal.OK,
                LoadSignal.OK,
                LoadSignal.SHED,
                LoadSignal.FAILED,
                LoadSignal.NOT_SENT,
            )
        ),
    )
    def release(self, index, signal):
        if self.running:
            ticket = self.running.pop(index % len(self.running))
            self.apply(self.queue.release(ticket, self.now, signal))

    @rule(rank=st.sampled_from(RANKS), index=st.integers(0, 9))
    def cancel(self, rank, index):
        tickets = self.waiting[rank] + [t for t in self.running if t.rank == rank]
        if not tickets:
            return
        ticket = tickets[index % len(tickets)]
        (self.running if ticket.running else self.waiting[rank]).remove(ticket)
        self.apply(self.queue.cancel(ticket, self.now))
        assert self.queue.cancel(ticket, self.now) == []

    @rule(seconds=st.sampled_from((0.001, 0.02, 0.3, 2.0)))
    def tick(self, seconds):
        self.now += seconds
        self.apply(self.queue.tick(self.now))
        for waiting in self.waiting.values():
            assert all(ticket.deadline > self.now for ticket in waiting)

    @rule(slots=st.integers(1, 6), bulk=st.integers(0, 3))
    def reconfigure(self, slots, bulk):
        self.slots = slots
        self.bounds["bulk"] = bulk
        self.apply(
            self.queue.reconfigure(
                slots=slots, policies_by_rank=policies(self.bounds), now=self.now
            )
        )

    @rule()
    def warm_up(self):
        self.queue.warm_up(self.now)

    @invariant()
    def queues_match_lists(self):
        for rank, waiting in self.waiting.items():
            assert list(self.queue.queues_by_rank[rank]) == waiting
        assert self.queue.in_flight == len(self.running)

    @invariant()
    def work_never_waits_for_an_idle_server(self):
        waiting = sum(map(len, self.waiting.values()))
        assert self.running or not waiting
        if self.waiting["lookup"]:
            assert len(self.running) >= self.queue.limit.current(self.now)

    @invariant()
    def memory_is_bounded(self):
        assert self.queue.deadline_heap_size() <= 2 * self.queue.waiting_count() + 66


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = stateful_settings()
