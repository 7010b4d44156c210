"""When this node takes, keeps and gives up the lease of a zone."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import cbor2

from briarspoke.hashing import hash64, rendezvous
from briarspoke.ownership import events
from briarspoke.ownership.timing import KEEPALIVE_EVERY_S, LEASE_S

# Candidates try one after the other, so that few writes race.
RANK_DELAY_S = 0.1
OTHER_ZONE_DELAY_S = 0.3
LONGEST_DELAY_S = 2.0
# Watches and links tell of a vacancy at once; polls only make up for those that
# died silently. Shorter ones made 4 of the 5 store reads a second of 5 nodes.
POLL_EVERY_S = 60.0
WATCHER_POLL_EVERY_S = 10.0
RETRY_S = 0.3
# A holder from another zone hands back to a node of the zone that has been
# alive for this long.
HAND_BACK_AFTER_S = 15.0
# The zone's nodes were alive and did not take the lease: they may be without
# the store, and each vain attempt to hand back uses up grant time.
HAND_BACK_AGAIN_S = 60.0
# After giving up, others go first, but the servers' grants must not run out.
STAND_BACK_S = 0.6
# A node that loses the lease again soon is too slow to hold it; each takeover
# costs writes of all documents of the zone. The longest wait is one grant, so
# that the zone is not left without a controller when all nodes are slow.
BACK_OFF_S = 0.3
LONGEST_BACK_OFF_S = 2.0
STEADY_S = 30.0


@dataclass(slots=True, kw_only=True)
class GrantLease:
    """Ask the store for a lease."""


@dataclass(slots=True, kw_only=True)
class PutRecord:
    """Create the lease record, attached to a lease."""

    key: str
    value: bytes
    lease: str


@dataclass(slots=True, kw_only=True)
class ReadRecord:
    """Read the lease record."""

    key: str


@dataclass(slots=True, kw_only=True)
class KeepAlive:
    """Extend the lease."""

    lease: str


@dataclass(slots=True, kw_only=True)
class RevokeLease:
    """End the lease, which deletes the record."""

    lease: str


class StoreOutcome(enum.Enum):
    """How a call to the store ended."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class _Stage(enum.Enum):
    WATCHING = "watching"
    LEASING = "leasing"
    PUTTING = "putting"
    READING_BACK = "reading-back"
    HOLDING = "holding"


def record_value(node_id, nonce):
    """Returns the content of a lease record."""
    return cbor2.dumps([node_id, nonce])


def record_holder(value):
    """Returns the node that a lease record names, or None."""
    try:
        node_id, _ = cbor2.loads(value)
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    return node_id


class Candidate:
    """Decides about one zone's lease on one node.

    Each method takes the monotonic time ``now`` in seconds and returns a list
    of commands for the store and of events for the zone's controller.

    :param zone: the zone whose lease it is.
    :param node_id: this entry VM.
    :param node_zone: this entry VM's zone.
    :param nonce_prefix: differs between processes with one node identifier.
    """

    __slots__ = (
        "_acquired_at",
        "_confirmed_at",
        "_keepalive_due_at",
        "_keepalive_sent_at",
        "_lapses",
        "_last_holder",
        "_lease",
        "_members",
        "_nonce",
        "_nonce_count",
        "_nonce_prefix",
        "_order",
        "_own_alive_since",
        "_rank",
        "_read_at",
        "_retry_at",
        "_sent_at",
        "_stage",
        "_vacant_since",
        "holder",
        "node_id",
        "node_zone",
        "zone",
    )

    def __init__(self, *, zone, node_id, node_zone, nonce_prefix=""):
        self.zone = zone
        self.node_id = node_id
        self.node_zone = node_zone
        self.holder = None
        self._nonce_prefix = nonce_prefix
        self._nonce_count = 0
        self._nonce = ""
        self._stage = _Stage.WATCHING
        self._lease = None
        self._sent_at = 0.0
        self._acquired_at = 0.0
        # Leases that lapsed one soon after the other.
        self._lapses = 0
        self._confirmed_at = 0.0
        self._keepalive_sent_at = None
        self._keepalive_due_at = 0.0
        self._vacant_since = None
        self._own_alive_since = None
        self._members = None
        self._order = []
        self._rank = None
        self._last_holder = None
        self._read_at = 0.0
        self._retry_at = 0.0

    @property
    def key(self):
        """The store key of the lease record."""
        return f"controllers/{self.zone}"

    @property
    def holding(self):
        """Whether this node holds the lease as far as it knows."""
        return self._stage is _Stage.HOLDING

    @property
    def needs_watch(self):
        """Whether this node should watch the store for the zone's sake."""
        return self.holding or (self._rank is not None and self._rank <= 1)

    # Time and members.

    def tick(self, now, members):
        """Takes the time and the live entry VMs.

        :param members: zone per node identifier.
        """
        delay_s = self._note_members(members, now)
        if self._stage is _Stage.HOLDING:
            if self._should_hand_back(now):
                return self.give_up(now)
            if now >= self._keepalive_due_at:
                return self.keep_alive(now)
            return []
        if self._stage is not _Stage.WATCHING:
            return []
        if self._vacant_since is None:
            every_s = WATCHER_POLL_EVERY_S if self.needs_watch else POLL_EVERY_S
            if now < self._read_at:
                return []
            self._read_at = now + every_s
            return [ReadRecord(key=self.key)]
        if now < max(self._vacant_since + delay_s, self._retry_at):
            return []
        self._stage = _Stage.LEASING
        self._sent_at = now
        return [GrantLease()]

    def _note_members(self, members, now):
        """Notes rank and the zone's own nodes; returns the delay of a try."""
        foreign = self.node_zone != self.zone
        # The caller passes the same object until something changes.
        if members is not self._members and members != self._members:
            self._members = members
            self._rank_members(foreign, now)
        before = self._order[: self._rank]
        # The last holder has just lost the lease and is probably gone.
        rank = sum(node != self._last_holder for node in before)
        delay_s = RANK_DELAY_S * rank + (OTHER_ZONE_DELAY_S if foreign else 0.0)
        return min(delay_s, LONGEST_DELAY_S)

    def _rank_members(self, foreign, now):
        members = {**self._members, self.node_id: self.node_zone}
        own = [node for node, zone in members.items() if zone == self.zone]
        others = [node for node in members if members[node] != self.zone]
        order = rendezvous(self.zone, dict.fromkeys(own, 1.0))
        order += rendezvous(self.zone, dict.fromkeys(others, 1.0))
        self._order = order
        self._rank = order.index(self.node_id)
        if own and foreign:
            if self._own_alive_since is None:
                self._own_alive_since = now
        else:
            self._own_alive_since = None

    def _should_hand_back(self, now):
        # Without the store nobody could take the lease, and the zone's grants
        # would expire.
        return (
            self._own_alive_since is not None
            and now - self._own_alive_since >= HAND_BACK_AFTER_S
            and now - self._confirmed_at < LEASE_S
        )

    # The record, as the store or another node shows it.

    def record_seen(self, value, now):
        """Takes the content of the record, None if there is none."""
        if self._stage is _Stage.HOLDING:
            return []
        if value is None:
            self.holder = None
            if self._vacant_since is None:
                self._vacant_since = now
        else:
            self.holder = self._last_holder = record_holder(value)
            self._vacant_since = None
            self._read_at = max(self._read_at, now + WATCHER_POLL_EVERY_S)
        return []

    # Answers of the store.

    def lease_granted(self, lease, now):
        """Takes a new lease."""
        if self._stage is not _Stage.LEASING:
            return [RevokeLease(lease=lease)]
        self._lease = lease
        self._stage = _Stage.PUTTING
        self._nonce_count += 1
        self._nonce = f"{self._nonce_prefix}{self._nonce_count}"
        value = record_value(self.node_id, self._nonce)
        return [PutRecord(key=self.key, value=value, lease=lease)]

    def lease_failed(self, now):
        """Takes the failure to get a lease."""
        self._watch_again(now)
        return []

    def put_settled(self, settled, revision, now):
        """Takes the outcome of creating the record.

        :param revision: revision of the record, if created.
        """
        if self._stage is not _Stage.PUTTING:
            return []
        if settled is StoreOutcome.DONE:
            return self._acquired(revision, now)
        if settled is StoreOutcome.REFUSED:
            lease = self._lease
            self._vacant_since = None
            self._read_at = now
            self._watch_again(now)
            return [RevokeLease(lease=lease)]
        self._stage = _Stage.READING_BACK
        return [ReadRecord(key=self.key)]

    def record_read(self, value, revision, now):
        """Takes the record as read from the store on this node's request."""
        if self._stage is not _Stage.READING_BACK:
            return self.record_seen(value, now)
        if value == record_value(self.node_id, self._nonce):
            return self._acquired(revision, now)
        lease = self._lease
        self._watch_again(now)
        self.record_seen(value, now)
        # A record that is still on its way must not take effect unnoticed.
        return [RevokeLease(lease=lease)]

    def read_failed(self, now):
        """Takes the failure to read the record."""
        if self._stage is _Stage.READING_BACK:
            lease = self._lease
            self._watch_again(now)
            return [RevokeLease(lease=lease)]
        return []

    def _acquired(self, revision, now):
        self._stage = _Stage.HOLDING
        self.holder = self.node_id
        self._confirmed_at = self._acquired_at = now
        self._vacant_since = None
        self._keepalive_sent_at = None
        self._keepalive_due_at = self._sent_at + KEEPALIVE_EVERY_S
        if self._own_alive_since is not None:
            self._own_alive_since = now + HAND_BACK_AGAIN_S - HAND_BACK_AFTER_S
        return [
            # An earlier sighting of a vacant lease may be out of date; the
            # record cannot have existed when this one was created.
            events.LeaseAcquired(term=revision, sent_at=self._sent_at, vacated_at=now)
        ]

    # Keeping it.

    def keep_alive(self, now):
        """Returns a keepalive unless one is in flight."""
        if self._stage is not _Stage.HOLDING or self._keepalive_sent_at is not None:
            return []
        self._keepalive_sent_at = now
        self._keepalive_due_at = now + KEEPALIVE_EVERY_S
        return [KeepAlive(lease=self._lease)]

    def keepalive_settled(self, settled, now):
        """Takes the outcome of the keepalive in flight."""
        sent_at, self._keepalive_sent_at = self._keepalive_sent_at, None
        if self._stage is not _Stage.HOLDING or sent_at is None:
            return []
        if settled is StoreOutcome.DONE:
            self._confirmed_at = now
            return [events.LeaseConfirmed(sent_at=sent_at)]
        if settled is StoreOutcome.REFUSED:
            self._vacant_since = None
            self._read_at = now
            self._watch_again(now)
            self._back_off(now)
            return [events.LeaseLost()]
        # Without the store nobody else can take the lease either; the
        # controller decides per service how long it goes on.
        return []

    def _back_off(self, now):
        """Leaves the lease to others for longer each time that it lapses."""
        if now - self._acquired_at >= STEADY_S:
            self._lapses = 0
        self._lapses += 1
        if not any(node != self.node_id for node in self._members or ()):
            return
        wait_s = min(BACK_OFF_S * 2 ** (self._lapses - 1), LONGEST_BACK_OFF_S)
        # Nodes that a common cause has slowed down do not return together.
        share = hash64(self.node_id, self.zone, str(self._lapses)) % 1000 / 1000
        self._retry_at = max(self._retry_at, now + wait_s * (0.75 + share / 2))

    def paused(self, now):
        """Confirms the lease after a pause."""
        if self._stage is _Stage.HOLDING:
            return [events.Paused(length_s=0.0), *self.keep_alive(now)]
        return []

    def give_up(self, now):
        """Ends the lease; the controller resigns."""
        if self._stage is not _Stage.HOLDING:
            return []
        lease = self._lease
        self._watch_again(now)
        self._retry_at = now + STAND_BACK_S
        self._vacant_since = None
        self._read_at = now + RETRY_S
        return [events.LeaseLost(), RevokeLease(lease=lease)]

    def _watch_again(self, now):
        self._stage = _Stage.WATCHING
        self._lease = None
        self._keepalive_sent_at = None
        self._retry_at = now + RETRY_S
