"""The load that servers report, and when a request at a server would be done.

The load that this answers: many VMs, of which each sees few of the requests at a
server, and servers of different and changing speed. A value is used for a second, and
counts less the older it is.
"""

from __future__ import annotations

import logging

from briarspoke.platform.load import USUAL_PERCENT, decode_load
from briarspoke.platform.values import DecodeError

log = logging.getLogger(__name__)

# A value is not used when it is older. By then a server of 6 slots and 400 ms has taken
# 15 other requests.
MAX_AGE_S = 1.0
# The speed of a machine changes after about this time.
SPEED_AGE_S = 0.4
# Limits of the speed that is believed, relative to the usual one.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 10.0
# Weight of a request that waits at a server against one that runs, since it also makes
# the next one wait.
QUEUE_WEIGHT = 2.0
# Part of a server's deviation from the usual load of the service that counts. Other VMs
# send requests that this one does not see, so with all of it many VMs choose the same
# servers (tests/test_room_load.py, 300 VMs).
LOAD_WEIGHT = 0.5
# Weight of the latest report in the usual load of the service.
LEVEL_WEIGHT = 0.05
# The estimate is at least this part of that by this VM's own requests.
MIN_RATIO = 0.1


class LoadLevel:
    """The usual load of a service's servers, as their reports show it to this VM.

    :ivar usual: moving average of :func:`load_per_slot`, or None before a report.
    """

    __slots__ = ("usual",)

    def __init__(self):
        self.usual = None

    def record(self, load):
        """Adds a :class:`briarspoke.platform.load.Load`."""
        per_slot = load_per_slot(load, load.running + load.waiting)
        if self.usual is None:
            self.usual = per_slot
        self.usual += LEVEL_WEIGHT * (per_slot - self.usual)


def load_per_slot(load, present):
    """Returns requests per slot, those that have to wait weighted.

    :param load: a :class:`briarspoke.platform.load.Load`.
    :param present: requests at the server.
    """
    waiting = max(0, present + 1 - load.slots)
    return (present + QUEUE_WEIGHT * waiting) / load.slots


class ServerLoad:
    """The last load that a server has reported, and what this VM has sent it since."""

    __slots__ = ("_load", "_recorded_at", "sent_since", "unusable_logged")

    def __init__(self):
        self._load = None
        self._recorded_at = 0.0
        self.sent_since = 0
        # Whether the log has a line about the unusable values that arrive at present.
        self.unusable_logged = False

    def record(self, load, now):
        """Records a :class:`briarspoke.platform.load.Load` that has just arrived."""
        self._load = load
        self._recorded_at = now
        self.sent_since = 0

    def request_sent(self):
        """Counts a request that the last value does not contain."""
        self.sent_since += 1

    def age_s(self, now):
        """Returns the age of the value in seconds, or None without a usable one."""
        if self._load is None:
            return None
        age_s = now - self._recorded_at
        return age_s if age_s <= MAX_AGE_S else None

    def current(self, now):
        """Returns the last :class:`briarspoke.platform.load.Load` if it is usable."""
        return None if self.age_s(now) is None else self._load

    def free_slots(self, now, slots):
        """Returns the slots that no request takes, below 0 with a queue; or None.

        :param slots: slots of the server's registration.
        """
        load = self.current(now)
        if load is None:
            return None
        taken = load.running + load.waiting + self.sent_since
        return min(slots, load.slots) - taken


def record_answer(node, dispatcher, server, answer):
    """Records the load that an answer reports, if any.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param dispatcher: the :class:`briarspoke.entry.dispatch.Dispatcher`.
    :param server: the :class:`briarspoke.entry.servers.Server` that has answered.
    :param answer: the :class:`briarspoke.entry.connections.Answer`.
    """
    state = server.load
    try:
        load = decode_load(answer.headers)
    except DecodeError as error:
        node.metrics.count("loads_not_usable_total", dispatcher.name)
        if not state.unusable_logged:
            state.unusable_logged = True
            log.warning(
                "servers: load not usable id=%s service=%s error=%r",
                server.record.server_id,
                dispatcher.name,
                str(error),
            )
        return
    if load is not None:
        state.unusable_logged = False
        state.record(load, node.now())
        dispatcher.load_level.record(load)
        server.room.load_reported(load, node.now())


def expected_done_s(server, now, usual):
    """Returns an estimate of how long a request sent to a server now would take.

    It orders servers; only ratios count. The service time that this VM has measured,
    and its own requests in flight, count in any case, so that a server that reports too
    little does not attract requests for long. The estimate is higher or lower by what a
    server has reported about its load and its speed, the less the older it is.

    :param server: a :class:`briarspoke.entry.servers.Server`.
    :param usual: the service's :attr:`LoadLevel.usual`.
    """
    own_s = server.expected_s(now) * (1 + server.in_flight)
    age_s = server.load.age_s(now)
    if age_s is None or usual is None:
        return own_s
    load = server.load.current(now)
    present = max(
        server.in_flight, load.running + load.waiting + server.load.sent_since
    )
    ratio = 1 + LOAD_WEIGHT * (load_per_slot(load, present) - usual)
    slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, load.percent / USUAL_PERCENT))
    ratio *= 1 + (slowness - 1) * max(0.0, 1 - age_s / SPEED_AGE_S)
    return own_s * (1 + (1 - age_s / MAX_AGE_S) * (max(MIN_RATIO, ratio) - 1))
