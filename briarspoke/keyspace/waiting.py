"""Expected waiting at a server, for loads from a quarter of its capacity on."""

from __future__ import annotations

# Requests per slot up to which the formula is used. Above, the queue has no mean, and
# the requests in excess wait for as long as the load lasts.
MAX_FORMULA_UTILISATION = 0.95


def waiting_requests(slots, busy_slots):
    """Returns the mean number of requests that wait at a server with a common queue.

    This is the formula of Erlang C for random arrivals. It is also the time in seconds
    that the requests of one second wait in all.

    :param slots: requests that the server runs at the same time.
    :param busy_slots: request rate times service time.
    """
    if busy_slots <= 0:
        return 0.0
    excess = busy_slots - MAX_FORMULA_UTILISATION * slots
    busy_slots = min(busy_slots, MAX_FORMULA_UTILISATION * slots)
    blocked = 1.0
    for slot in range(1, slots + 1):
        blocked = busy_slots * blocked / (slot + busy_slots * blocked)
    utilisation = busy_slots / slots
    delayed = blocked / (1 - utilisation * (1 - blocked))
    # The excess waits for as long as the load lasts. To compare two servers, it is
    # enough that the queue grows as steeply as at the end of the formula.
    slope = 1 / (1 - MAX_FORMULA_UTILISATION) ** 2
    return delayed * utilisation / (1 - utilisation) + slope * max(0.0, excess)
