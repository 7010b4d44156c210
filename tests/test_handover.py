from __future__ import annotations

from briarspoke.routing.handover import (
    MAX_WAITING_PER_PARTITION,
    SENT_AT_ONCE,
    HandoverQueue,
)

PARTITION = ("s", 1)


def parked(count, until=1.0):
    handovers = HandoverQueue()
    assert all(handovers.park(PARTITION, n, until, 0.0) for n in range(count))
    return handovers


class TestHandovers:
    def test_requests_follow_a_few_at_a_time(self):
        # Guards against a burst that fills the queue of a new owner: 2 refusals
        # with 2001 in the bench takeover.
        handovers = parked(10)
        sent = handovers.wake(PARTITION)
        assert sent == [0, 1, 2, 3]
        for now in (0.01, 0.02, 0.03):
            to_try, expired = handovers.tick(now)
            assert len(to_try) <= SENT_AT_ONCE
            assert not expired
            sent += to_try
        assert sent == list(range(10))
        assert not handovers.is_waiting(PARTITION)

    def test_request_that_waits_again_holds_the_others_back(self):
        # Guards against a storm on a server that lost the partition again.
        handovers = parked(10)
        handovers.wake(PARTITION)
        handovers.park(PARTITION, 0, 1.0, 0.005)
        assert handovers.tick(0.01) == ([], [])
        to_try, _ = handovers.tick(0.03)
        assert len(to_try) == 1

    def test_waits_are_bounded(self):
        # Guards against memory and slots that a stuck move takes for ever.
        handovers = parked(MAX_WAITING_PER_PARTITION)
        assert not handovers.park(PARTITION, "one more", 1.0, 0.0)
        _, expired = handovers.tick(1.0)
        assert len(expired) == MAX_WAITING_PER_PARTITION
        assert not handovers.is_waiting(PARTITION)
