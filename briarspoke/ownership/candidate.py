"""Acquires, renews and releases the lease of a zone's controller."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import cbor2

from briarspoke.hashing import hash64, rendezvous
from briarspoke.ownership import events
from briarspoke.ownership.timing import KEEPALIVE_EVERY_S, LEASE_S

# Each candidate waits this long per candidate that precedes it in the rendezvous
# order, so that few writes compete.
POSITION_DELAY_S = 0.1
OTHER_ZONE_DELAY_S = 0.3
MAX_DELAY_S = 2.0
# Watches and links report a vacant lease immediately; polling covers watches and
# links that failed without notice. With a shorter interval, polling caused 4 of the 5
# store reads per second in a cluster of 5 nodes.
POLL_EVERY_S = 60.0
WATCHER_POLL_EVERY_S = 10.0
RETRY_S = 0.3
# A holder from another zone hands the lease back once a node of the zone has been
# alive for this long.
HAND_BACK_AFTER_S = 15.0
# If the zone's nodes were alive and did not take the lease, they may be unable to
# reach the store, and each failed handback uses up the remaining grant time.
HAND_BACK_RETRY_S = 60.0
# After a release the other candidates go first, but the servers' grants must not
# expire in the meantime.
RELEASE_PAUSE_S = 0.6
# A node that soon loses the lease again is too slow to hold it, and each takeover
# rewrites all documents of the zone. The backoff is capped at the duration of a
# grant, so that the zone has a controller even when all nodes are slow.
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
STABLE_AFTER_S = 30.0


@dataclass(slots=True, kw_only=True)
class GrantLease:
    """Request a lease from the store."""


@dataclass(slots=True, kw_only=True)
class PutRecord:
    """Create the lease record, which the store deletes with its lease."""

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
    """Revoke the lease, which deletes the record."""

    lease: str


class StoreOutcome(enum.Enum):
    """Outcome of a call to the store."""

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
    """Returns the content of a lease record.

    :param nonce: distinguishes the records that one node has written.
    """
    return cbor2.dumps([node_id, nonce])


def record_holder(value):
    """Returns the node named in a lease record, or None if it is malformed."""
    try:
        node_id, _ = cbor2.loads(value)
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    return node_id


class Candidate:
    """State machine of one node's candidacy for the lease of one zone.

    Each method takes the monotonic time ``now`` in seconds and returns a list
    of commands for the store and of events for the zone's controller.

    :param zone: name of the zone that the lease controls.
    :param node_id: identifier of this entry VM.
    :param node_zone: zone of this entry VM.
    :param nonce_prefix: differs between processes with the same node identifier.
    """

    __slots__ = (
        "_acquired_at",
        "_confirmed_at",
        "_expiries",
        "_keepalive_due_at",
        "_keepalive_sent_at",
        "_last_holder",
        "_lease",
        "_local_alive_since",
        "_members",
        "_next_attempt_at",
        "_next_read_at",
        "_nonce",
        "_nonce_count",
        "_nonce_prefix",
        "_order",
        "_position",
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
        # Consecutive leases that expired soon after they were acquired.
        self._expiries = 0
        self._confirmed_at = 0.0
        self._keepalive_sent_at = None
        self._keepalive_due_at = 0.0
        self._vacant_since = None
        self._local_alive_since = None
        self._members = None
        self._order = []
        self._position = None
        self._last_holder = None
        self._next_read_at = 0.0
        self._next_attempt_at = 0.0

    @property
    def key(self):
        """The store key of the lease record."""
        return f"controllers/{self.zone}"

    @property
    def holding(self):
        """Whether this node holds the lease, to its own knowledge."""
        return self._stage is _Stage.HOLDING

    @property
    def needs_watch(self):
        """Whether this node should watch the lease record in the store."""
        return self.holding or (self._position is not None and self._position <= 1)

    def tick(self, now, members):
        """Advances the state machine to the time ``now``.

        :param members: ``{node_id: zone}`` of the live entry VMs.
        """
        delay_s = self._update_members(members, now)
        if self._stage is _Stage.HOLDING:
            if self._should_hand_back(now):
                return self.give_up(now)
            if now >= self._keepalive_due_at:
                return self.keep_alive(now)
            return []
        if self._stage is not _Stage.WATCHING:
            return []
        if self._vacant_since is None:
            interval_s = WATCHER_POLL_EVERY_S if self.needs_watch else POLL_EVERY_S
            if now < self._next_read_at:
                return []
            self._next_read_at = now + interval_s
            return [ReadRecord(key=self.key)]
        if now < max(self._vacant_since + delay_s, self._next_attempt_at):
            return []
        self._stage = _Stage.LEASING
        self._sent_at = now
        return [GrantLease()]

    def _update_members(self, members, now):
        """Updates the order of candidates and returns the delay of the next attempt."""
        is_remote = self.node_zone != self.zone
        # The identity check is enough until the members change: the caller passes
        # the same object.
        if members is not self._members and members != self._members:
            self._members = members
            self._order_members(is_remote, now)
        earlier = self._order[: self._position]
        # The last holder has just lost the lease and has probably failed.
        position = sum(node != self._last_holder for node in earlier)
        delay_s = POSITION_DELAY_S * position + (
            OTHER_ZONE_DELAY_S if is_remote else 0.0
        )
        return min(delay_s, MAX_DELAY_S)

    def _order_members(self, is_remote, now):
        members = {**self._members, self.node_id: self.node_zone}
        local = [node for node, zone in members.items() if zone == self.zone]
        remote = [node for node in members if members[node] != self.zone]
        order = rendezvous(self.zone, dict.fromkeys(local, 1.0))
        order += rendezvous(self.zone, dict.fromkeys(remote, 1.0))
        self._order = order
        self._position = order.index(self.node_id)
        if local and is_remote:
            if self._local_alive_since is None:
                self._local_alive_since = now
        else:
            self._local_alive_since = None

    def _should_hand_back(self, now):
        # If the store is unreachable, no node can take the lease, and the zone's
        # grants would expire.
        return (
            self._local_alive_since is not None
            and now - self._local_alive_since >= HAND_BACK_AFTER_S
            and now - self._confirmed_at < LEASE_S
        )

    def record_seen(self, value, now):
        """Handles the content of the record as reported by a watch or another node.

        :param value: content of the record, None if it does not exist.
        """
        if self._stage is _Stage.HOLDING:
            return []
        if value is None:
            self.holder = None
            if self._vacant_since is None:
                self._vacant_since = now
        else:
            self.holder = self._last_holder = record_holder(value)
            self._vacant_since = None
            self._next_read_at = max(self._next_read_at, now + WATCHER_POLL_EVERY_S)
        return []

    def lease_granted(self, lease, now):
        """Handles a lease granted by the store."""
        if self._stage is not _Stage.LEASING:
            return [RevokeLease(lease=lease)]
        self._lease = lease
        self._stage = _Stage.PUTTING
        self._nonce_count += 1
        self._nonce = f"{self._nonce_prefix}{self._nonce_count}"
        value = record_value(self.node_id, self._nonce)
        return [PutRecord(key=self.key, value=value, lease=lease)]

    def lease_failed(self, now):
        """Handles the failure to obtain a lease."""
        self._resume_watching(now)
        return []

    def put_settled(self, outcome, revision, now):
        """Handles the outcome of creating the record.

        :param revision: revision of the record if it was created.
        """
        if self._stage is not _Stage.PUTTING:
            return []
        if outcome is StoreOutcome.DONE:
            return self._acquired(revision, now)
        if outcome is StoreOutcome.REFUSED:
            lease = self._lease
            self._vacant_since = None
            self._next_read_at = now
            self._resume_watching(now)
            return [RevokeLease(lease=lease)]
        self._stage = _Stage.READING_BACK
        return [ReadRecord(key=self.key)]

    def record_read(self, value, revision, now):
        """Handles the response to this node's read of the record."""
        if self._stage is not _Stage.READING_BACK:
            return self.record_seen(value, now)
        if value == record_value(self.node_id, self._nonce):
            return self._acquired(revision, now)
        lease = self._lease
        self._resume_watching(now)
        self.record_seen(value, now)
        # The write of the record may still be in transit. Revoking its lease prevents
        # it from taking effect unnoticed.
        return [RevokeLease(lease=lease)]

    def read_failed(self, now):
        """Handles the failure to read the record."""
        if self._stage is _Stage.READING_BACK:
            lease = self._lease
            self._resume_watching(now)
            return [RevokeLease(lease=lease)]
        return []

    def _acquired(self, revision, now):
        self._stage = _Stage.HOLDING
        self.holder = self.node_id
        self._confirmed_at = self._acquired_at = now
        self._vacant_since = None
        self._keepalive_sent_at = None
        self._keepalive_due_at = self._sent_at + KEEPALIVE_EVERY_S
        if self._local_alive_since is not None:
            self._local_alive_since = now + HAND_BACK_RETRY_S - HAND_BACK_AFTER_S
        return [
            # The time at which the lease was last seen vacant may be out of date.
            # No earlier record can have existed when this one was created.
            events.LeaseAcquired(term=revision, sent_at=self._sent_at, vacated_at=now)
        ]

    def keep_alive(self, now):
        """Returns a keepalive unless one is in flight."""
        if self._stage is not _Stage.HOLDING or self._keepalive_sent_at is not None:
            return []
        self._keepalive_sent_at = now
        self._keepalive_due_at = now + KEEPALIVE_EVERY_S
        return [KeepAlive(lease=self._lease)]

    def keepalive_settled(self, outcome, now):
        """Handles the outcome of the keepalive in flight."""
        sent_at, self._keepalive_sent_at = self._keepalive_sent_at, None
        if self._stage is not _Stage.HOLDING or sent_at is None:
            return []
        if outcome is StoreOutcome.DONE:
            self._confirmed_at = now
            return [events.LeaseConfirmed(sent_at=sent_at)]
        if outcome is StoreOutcome.REFUSED:
            self._vacant_since = None
            self._next_read_at = now
            self._resume_watching(now)
            self._back_off(now)
            return [events.LeaseLost()]
        # While the store is unreachable, no other node can take the lease either;
        # the controller decides per service how long it continues.
        return []

    def _back_off(self, now):
        """Delays the next attempt, longer after each consecutive expiry.

        Without other members the attempt is not delayed further, because no other node
        could take the lease.
        """
        if now - self._acquired_at >= STABLE_AFTER_S:
            self._expiries = 0
        self._expiries += 1
        if not any(node != self.node_id for node in self._members or ()):
            return
        wait_s = min(INITIAL_BACKOFF_S * 2 ** (self._expiries - 1), MAX_BACKOFF_S)
        # The jitter spreads the attempts of nodes slowed down by a common cause.
        jitter = hash64(self.node_id, self.zone, str(self._expiries)) % 1000 / 1000
        self._next_attempt_at = max(
            self._next_attempt_at, now + wait_s * (0.75 + jitter / 2)
        )

    def paused(self, now):
        """Reports a pause of this process and checks the lease with the store."""
        if self._stage is _Stage.HOLDING:
            return [events.Paused(length_s=0.0), *self.keep_alive(now)]
        return []

    def give_up(self, now):
        """Releases the lease, after which the controller resigns."""
        if self._stage is not _Stage.HOLDING:
            return []
        lease = self._lease
        self._resume_watching(now)
        self._next_attempt_at = now + RELEASE_PAUSE_S
        self._vacant_since = None
        self._next_read_at = now + RETRY_S
        return [events.LeaseLost(), RevokeLease(lease=lease)]

    def _resume_watching(self, now):
        self._stage = _Stage.WATCHING
        self._lease = None
        self._keepalive_sent_at = None
        self._next_attempt_at = now + RETRY_S
