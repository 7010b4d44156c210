"""A controller's state of a service's document and of unfenced servers."""

from __future__ import annotations

from briarspoke.ownership.timing import UNREACHABLE_AFTER_S


class Write:
    """A compare-and-swap whose outcome is not known yet.

    :param reassigned: numbers of the partitions whose owner it changes.
    """

    __slots__ = ("document", "expected_revision", "in_flight", "reassigned", "write_id")

    def __init__(self, *, write_id, document, expected_revision, reassigned):
        self.write_id = write_id
        self.document = document
        self.expected_revision = expected_revision
        self.reassigned = reassigned
        self.in_flight = True


class ProbedServer:
    """An unfenced server, whose reachability is probed.

    :param known_since: time at which the controller found it in the configuration.
    """

    __slots__ = ("due_at", "in_flight", "reachable_at", "reported_unreachable")

    def __init__(self, *, known_since):
        self.due_at = known_since
        self.in_flight = False
        self.reachable_at = known_since
        self.reported_unreachable = False

    def is_unreachable(self, now):
        """Returns whether it was not reachable for ``UNREACHABLE_AFTER_S``."""
        return now - self.reachable_at >= UNREACHABLE_AFTER_S


class ServiceState:
    """The known document of one service and the changes planned for it."""

    __slots__ = (
        "digests",
        "known_moving",
        "moved_at",
        "newest_version",
        "next_balance_at",
        "next_plan_at",
        "next_read_at",
        "next_write_at",
        "pending",
        "reading",
        "stale",
        "stored",
        "writes",
    )

    def __init__(self):
        self.stored = None
        # Whether the document has to be read from the store: at the start, after a
        # write that was not confirmed, and when a newer version exists.
        self.stale = True
        self.known_moving = frozenset()
        self.reading = False
        self.next_read_at = 0.0
        self.next_write_at = 0.0
        self.next_balance_at = 0.0
        # No change is due before this time unless an event resets it.
        self.next_plan_at = 0.0
        self.newest_version = 0
        self.writes = []
        self.pending = {}
        self.moved_at = {}
        self.digests = {}

    @property
    def write_in_flight(self):
        """Whether the store's response to a write is pending."""
        return any(write.in_flight for write in self.writes)
