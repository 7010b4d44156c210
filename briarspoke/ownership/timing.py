"""Durations on which the exclusive ownership of keys rests, in seconds."""

from __future__ import annotations

GRANT_S = 2.0
# Clock rates of two machines differ by at most 2%, so a clock may need this
# much longer than another one for the same interval.
CLOCK_RATE = 1 / 0.98
GRANT_WAIT_S = GRANT_S * CLOCK_RATE
RENEW_EVERY_S = 0.4
SILENT_AFTER_S = 0.8
# A reading this old leaves too little of a grant to be worth sending.
READING_USABLE_S = 1.5

LEASE_S = 0.9
KEEPALIVE_EVERY_S = 0.3
# The holder's clock may be slower than the store's.
AUTHORITY_S = LEASE_S / CLOCK_RATE

# A server's clock may run ahead of the holder's by the delay of one answer;
# beyond that, the holder's clock has stood still.
CLOCK_STOP_S = 0.5
TERMINATED_SILENT_S = 3.0

ROUTING_LEASE_S = 2.0
ROUTING_REQUEST_EVERY_S = 0.5
# A server counts a request's deadline from its arrival.
TRANSIT_S = 0.1

RESIGN_EVERY_S = 1.0
RESIGN_TIMES = 10

# A voluntary move is called off when requests keep the partition busy longer.
BUSY_MOVE_S = 1.0


def move_after_wait_s(move_after_s):
    """Returns how long after a lease has lapsed its holder's grants may last.

    :param move_after_s: seconds that the holder renews without the store.
    """
    return move_after_s * CLOCK_RATE + GRANT_WAIT_S + CLOCK_STOP_S
