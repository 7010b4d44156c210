from __future__ import annotations

from briarspoke.routing.handover import (
    MAX_WAITING_PER_PARTITION,
    WAKE_BATCH_SIZE,
    HandoverQueue,
)

PARTITION = ("s", 1)


def filled_queue(count, until=1.0):
    queue = HandoverQueue()
    assert all(queue.park(PARTITION, n, until, 0.0) for n in range(count))
    return queue


class TestHandoverQueue:
    def test_queued_requests_are_sent_in_batches(self):
        # Guards against a burst that fills the queue of a new owner, which caused 2
        # refusals with code 2001 in the bench takeover.
        queue = filled_queue(10)
        sent = queue.wake(PARTITION)
        assert sent == [0, 1, 2, 3]
        for now in (0.01, 0.02, 0.03):
            to_try, expired = queue.tick(now)
            assert len(to_try) <= WAKE_BATCH_SIZE
            assert not expired
            sent += to_try
        assert sent == list(range(10))
        assert not queue.is_waiting(PARTITION)

    def test_request_queued_again_delays_the_others(self):
        # Guards against a burst of requests at a server that has lost the partition
        # again.
        queue = filled_queue(10)
        queue.wake(PARTITION)
        queue.park(PARTITION, 0, 1.0, 0.005)
        assert queue.tick(0.01) == ([], [])
        to_try, _ = queue.tick(0.03)
        assert len(to_try) == 1

    def test_queue_and_waits_are_bounded(self):
        # Guards against memory and slots that are held forever by a move that does not
        # end.
        queue = filled_queue(MAX_WAITING_PER_PARTITION)
        assert not queue.park(PARTITION, "one more", 1.0, 0.0)
        _, expired = queue.tick(1.0)
        assert len(expired) == MAX_WAITING_PER_PARTITION
        assert not queue.is_waiting(PARTITION)
