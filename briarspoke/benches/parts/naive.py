"""Simple queue and retry policies that the benches compare the router with."""

from __future__ import annotations

import collections

from briarspoke import codes
from briarspoke.admission.queue import Refuse, Start


class FifoQueue:
    """One queue for all ranks, in order of arrival."""

    def __init__(self, *, slots, places):
        self.slots = slots
        self.places = places
        self.in_flight = 0
        self._waiting = collections.OrderedDict()

    def fastest_s(self, rank):
        return 0.0

    def offer(self, ticket, now):
        """Starts, queues or refuses a new request; returns the commands for it."""
        if len(self._waiting) >= self.places:
            return [Refuse(ticket, codes.QUEUE_FULL)]
        self._waiting[ticket] = None
        return self._dispatch(now)

    def release(self, ticket, now, signal=None):
        """Releases the slot of a running ticket; returns the next commands."""
        ticket.running = False
        self.in_flight -= 1
        return self._dispatch(now)

    def cancel(self, ticket, now):
        """Removes a ticket whose caller has disconnected."""
        if ticket.running:
            return self.release(ticket, now)
        self._waiting.pop(ticket, None)
        return []

    def tick(self, now):
        return []

    def _dispatch(self, now):
        commands = []
        while self._waiting and self.in_flight < self.slots:
            ticket, _ = self._waiting.popitem(last=False)
            if ticket.deadline <= now:
                commands.append(Refuse(ticket, codes.DEADLINE_IN_QUEUE))
                continue
            ticket.running = True
            self.in_flight += 1
            commands.append(Start(ticket))
        return commands


class UnlimitedBudget:
    """A retry budget that always has a token."""

    ratio = 0.0

    def earn(self):
        """Does nothing, as the budget is unlimited."""

    def spend(self):
        return True


def use_fifo(router):
    """Gives each server one FIFO queue, as long as the queues of all ranks."""

    def queue_of(server_name, service):
        queue = router.queues_by_server.get(server_name)
        if queue is None:
            queue = router.queues_by_server[server_name] = FifoQueue(
                slots=router.configuration.servers_by_name[server_name].slots,
                places=sum(policy.queue for policy in service.ranks.values()),
            )
        return queue

    router.queue_of = queue_of


def use_naive_retries(router):
    """Allows all configured attempts, without a retry budget or backoff."""
    budget = UnlimitedBudget()
    router.budget_of = lambda service: budget
    router.backoff.cap_s = 0.0


VARIANTS = {"fifo": use_fifo, "naive-retries": use_naive_retries}
