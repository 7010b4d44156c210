"""What a controller knows of a service's document and of unfenced servers."""

from __future__ import annotations

from briarspoke.ownership.timing import SILENT_AFTER_S


class Write:
    """A compare-and-swap whose outcome is not settled."""

    __slots__ = ("changes", "document", "expected_revision", "in_flight", "write_id")

    def __init__(self, *, write_id, document, expected_revision, changes):
        self.write_id = write_id
        self.document = document
        self.expected_revision = expected_revision
        self.changes = changes
        self.in_flight = True


class ProbedServer:
    """An unfenced server."""

    __slots__ = ("due_at", "in_flight", "reachable_at", "reported_silent")

    def __init__(self, *, known_since):
        self.due_at = known_since
        self.in_flight = False
        self.reachable_at = known_since
        self.reported_silent = False

    def is_unreachable(self, now):
        return now - self.reachable_at >= SILENT_AFTER_S


class ServiceState:
    """What the controller knows of one service's document."""

    __slots__ = (
        "balance_at",
        "digests",
        "moved_at",
        "moving_known",
        "newest_version",
        "pending",
        "plan_at",
        "read_at",
        "reading",
        "stale",
        "stored",
        "write_at",
        "writes",
    )

    def __init__(self):
        self.stored = None
        # True until the store is read back after an unsettled write.
        self.stale = True
        self.moving_known = frozenset()
        self.reading = False
        self.read_at = 0.0
        self.write_at = 0.0
        self.balance_at = 0.0
        # No change can be due earlier unless an event resets this.
        self.plan_at = 0.0
        self.newest_version = 0
        self.writes = []
        self.pending = {}
        self.moved_at = {}
        self.digests = {}

    @property
    def write_in_flight(self):
        return any(write.in_flight for write in self.writes)
