"""Durations that exclusive key ownership depends on, in seconds."""

from __future__ import annotations

GRANT_S = 2.0
# The clock rates of two machines differ by at most 2%, so an interval on one
# clock may be longer by this factor on another.
MAX_CLOCK_RATIO = 1 / 0.98
GRANT_WAIT_S = GRANT_S * MAX_CLOCK_RATIO
RENEW_EVERY_S = 0.4
UNREACHABLE_AFTER_S = 0.8
# An older clock reading leaves too little of a grant's duration to be useful.
MAX_READING_AGE_S = 1.5

LEASE_S = 0.9
KEEPALIVE_EVERY_S = 0.3
# The holder's clock may run slower than the store's.
AUTHORITY_S = LEASE_S / MAX_CLOCK_RATIO

# A server's clock may appear ahead of the holder's by the delay of one answer; if
# it is further ahead, the holder's clock has stopped for a while.
CLOCK_STOP_S = 0.5
TERMINATED_SILENT_S = 3.0

ROUTING_LEASE_S = 2.0
ROUTING_REQUEST_EVERY_S = 0.5
# A server measures a request's deadline from its arrival.
TRANSIT_S = 0.1

RESIGN_EVERY_S = 1.0
RESIGN_COUNT = 10

# A voluntary move is cancelled if requests keep the partition busy for longer.
MAX_BUSY_MOVE_S = 1.0


def move_after_wait_s(move_after_s):
    """Returns for how many seconds grants may outlast the lease of their holder.

    :param move_after_s: seconds for which the holder renews grants without the store.
    """
    return move_after_s * MAX_CLOCK_RATIO + GRANT_WAIT_S + CLOCK_STOP_S
