"""The lease that makes one entry VM the controller of key ownership."""

from __future__ import annotations

import enum
import json
import logging
import random

from briarspoke.errors import BriarspokeError
from briarspoke.keyspace.granter import HOLD_S
from briarspoke.keyspace.grantlog import MAX_TRANSIT_S, expiry_time
from briarspoke.platform import grants
from briarspoke.platform.keyvalue import ConditionFailedError, LeaseExpiredError

log = logging.getLogger(__name__)

CONTROL_KEY = "briarspoke/control"
TERM_PREFIX = "briarspoke/terms/"
# Shorter than a grant, so that a new controller takes over before grants expire.
LEASE_S = 2.5
RENEWAL_INTERVAL_S = 0.8
# A controller without the store renews grants for this long after its last contact
# with it.
RENEWAL_WITHOUT_STORE_S = 10.0
# After this time without the store, about as long as its lease lasts, a controller
# sends longer grants, so that keys keep their owners if it ends before the store is
# back.
LONG_HOLD_AFTER_S = 2.4
# Spreads the takeover attempts of several entry VMs.
TAKEOVER_JITTER_S = 0.08
# Additional delay of the VM with the narrowest link; others wait in proportion. Grants
# and announcements of the controller should not queue behind callers' bodies.
NARROW_LINK_DELAY_S = 0.15
# Delay before a failed call is retried.
RETRY_INTERVAL_S = 0.2
# After the store was restored, other VMs leave control to the last controller for this
# long: it knows the owners, and all keys wait for expiry without it.
RESTORE_HEAD_START_S = 4.0
# The same for its deputies, which know the owners as well. Owners hold their keys until
# then: a grant lasts 4 s.
RESTORE_DEPUTY_START_S = 1.0


class PredecessorEnd(enum.Enum):
    """What is known about the end of the previous controller."""

    RESIGNED = "it has sent its last grant"
    UNKNOWN = "it may renew grants without the store"


class ControlRecord:
    """The entry VM that is the controller, as the store has it.

    :param process: random name of the process, new with each start.
    :param resigned: whether the controller has resigned.
    :param unsettled_s: seconds, from the time of the record, until the grants of the
        controllers before it and its own long grants have expired.
    :param era: era of the store in which the record was written, or None if the record
        does not tell.
    :param lease_id: number of the lease to which the record belongs, or None.
    """

    __slots__ = (
        "era",
        "host",
        "lease_id",
        "node",
        "port",
        "process",
        "resigned",
        "unsettled_s",
    )

    def __init__(
        self,
        *,
        node,
        process,
        host,
        port,
        resigned=False,
        unsettled_s=0.0,
        era=None,
        lease_id=None,
    ):
        self.node = node
        self.process = process
        self.host = host
        self.port = port
        self.resigned = resigned
        self.unsettled_s = unsettled_s
        self.era = era
        self.lease_id = lease_id

    def is_of_copy(self, era):
        """Returns whether the record is of an earlier era and came with a copy."""
        return self.era is not None and self.era < era

    def encode(self):
        """Returns the bytes of the record in the store."""
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        ).encode()


def decode(data):
    """Returns the :class:`ControlRecord` encoded in bytes, or None if unreadable."""
    try:
        body = json.loads(data)
        return ControlRecord(
            node=body["node"],
            process=body["process"],
            host=body["host"],
            port=int(body["port"]),
            resigned=bool(body["resigned"]),
            unsettled_s=float(body.get("unsettled_s", 0.0)),
            era=None if body.get("era") is None else int(body["era"]),
            lease_id=body.get("lease_id"),
        )
    except (ValueError, TypeError, KeyError) as error:
        log.warning("control: unreadable record error=%r", str(error))
        return None


class Term:
    """Time for which one process is the controller.

    :param process: random name of the process.
    :param era: era of the store.
    :param revision: revision of the control key. Revisions are given out again in later
        eras.
    """

    __slots__ = ("_key", "era", "revision")

    def __init__(self, *, process, era, revision):
        self.era = era
        self.revision = revision
        self._key = term_key(process, era)

    @property
    def expected(self):
        """``{key: revision}`` that the store must have for a write of this term.

        A write may be executed late, in an era in which the control key has the same
        revision. The key of the term does not exist there.
        """
        return {CONTROL_KEY: self.revision, self._key: self.revision}


def term_key(process, era):
    """Returns the key that is written with the control key, under the same lease."""
    return f"{TERM_PREFIX}{process}-{era}"


class InheritedTerm:
    """The term that a process had when the store was restored.

    :param term: the :class:`Term`.
    :param until: time until which its owners may be confirmed.
    :param was_replaceable: whether its lease may have expired before the restore, so
        that another process may have been the controller since.
    """

    __slots__ = ("term", "until", "was_replaceable")

    def __init__(self, *, term, until, was_replaceable):
        self.term = term
        self.until = until
        self.was_replaceable = was_replaceable


class Leadership:
    """Acquires, renews and gives up the lease of the controller.

    :param client: the :class:`briarspoke.platform.keyvalue.KeyValueClient`.
    :param view: the :class:`briarspoke.entry.view.StoreView`.
    :param own_record: the :class:`ControlRecord` of this process.
    :param clock: function that returns monotonic seconds.
    :param sleep: coroutine function that waits for a number of seconds.
    :param wider_fraction: function that returns the fraction of the entry VMs whose
        network links are wider than this VM's.
    :param knows_owners: function that returns whether this VM has known the owners of
        keys since the restore with which an era began.
    """

    def __init__(
        self,
        *,
        client,
        view,
        own_record,
        clock,
        sleep,
        wider_fraction,
        knows_owners=lambda era: False,
    ):
        self.own_record = own_record
        # The :class:`Term` while this process is the controller, else None.
        self.term = None
        # The last :class:`InheritedTerm`, or None.
        self._inherited = None
        self.predecessor = PredecessorEnd.UNKNOWN
        # Time at which the grants of all controllers before this term have expired.
        self.previous_grants_expire_at = 0.0
        # Time at which the grants of all earlier controllers and the own long ones have
        # expired.
        self.settled_at = 0.0
        self._client = client
        self._view = view
        self._clock = clock
        self._sleep = sleep
        self._wider_fraction = wider_fraction
        self._knows_owners = knows_owners
        self._lease = None
        self._attempted_lease = None
        self._renewed_at = None
        self._resigned = False
        # Time since which the era of the store is known, and whether it has risen.
        self._era_known_at = clock()
        self._has_era_risen = False
        client.era_observers.append(self._era_rose)

    def _era_rose(self):
        now = self._clock()
        self._attempted_lease = None
        self._era_known_at = now
        self._has_era_risen = True
        if self.is_leader:
            self._inherited = InheritedTerm(
                term=self.term,
                until=self._renewed_at + RENEWAL_WITHOUT_STORE_S,
                was_replaceable=self.may_be_replaced(now),
            )
        self.step_down("the store was restored")

    @property
    def is_leader(self):
        """Whether this process is the controller as far as it knows."""
        return self.term is not None

    def may_renew_grants(self, now):
        """Returns whether grants may be renewed, even if the store is unreachable."""
        return self.is_leader and now - self._renewed_at < RENEWAL_WITHOUT_STORE_S

    def may_be_replaced(self, now):
        """Returns whether the lease may have expired, as far as this process knows."""
        return now - self._renewed_at >= LEASE_S

    @property
    def inherited(self):
        """The :class:`InheritedTerm` whose owners may be confirmed now, or None."""
        if self._inherited is None or self._clock() >= self._inherited.until:
            return None
        return self._inherited

    def has_lost_store(self, now):
        """Returns whether the store has been lost for ``LONG_HOLD_AFTER_S``."""
        return now - self._renewed_at >= LONG_HOLD_AFTER_S

    def hold_s(self, now, normal_s, longest_s):
        """Returns the hold of a grant that is sent now, in seconds.

        Every grant expires at the latest ``RENEWAL_WITHOUT_STORE_S`` plus one normal
        hold after the last contact with the store; the next controller relies on that.

        :param normal_s: hold while the store is reachable.
        :param longest_s: upper bound of the hold.
        """
        if not self.has_lost_store(now):
            return min(normal_s, longest_s)
        left_s = RENEWAL_WITHOUT_STORE_S + normal_s - (now - self._renewed_at)
        return max(0.0, min(longest_s, left_s))

    def record_long_grant(self, expires_at):
        """Records a grant for longer than the normal hold.

        :param expires_at: time at which it has certainly expired.
        """
        self.settled_at = max(self.settled_at, expires_at)

    def holder(self):
        """Returns the :class:`ControlRecord` in the store, or None."""
        item = self._view.items.get(CONTROL_KEY)
        return None if item is None else decode(item.value)

    def record_changed(self):
        """Steps down if another process is the controller in the store."""
        holder = self.holder()
        if (
            self.is_leader
            and holder is not None
            and holder.process != self.own_record.process
            and not holder.is_of_copy(self.term.era)
        ):
            self.step_down(f"{holder.node} has taken over")

    def step_down(self, reason):
        """Stops acting as the controller."""
        if self.is_leader:
            log.warning(
                "control: lost revision=%d reason=%r", self.term.revision, reason
            )
        self.term = None
        self._lease = None

    async def run(self):
        """Acquires and renews the lease until this process resigns."""
        while not self._resigned:
            try:
                if self.is_leader:
                    await self._sleep(RENEWAL_INTERVAL_S)
                    await self._renew()
                else:
                    await self._sleep(
                        0.02
                        + TAKEOVER_JITTER_S * random.random()
                        + NARROW_LINK_DELAY_S * self._wider_fraction()
                    )
                    await self._try_to_acquire()
            except (ConditionFailedError, LeaseExpiredError) as error:
                self.step_down(str(error))
            except BriarspokeError as error:
                log.info("control: call failed error=%r", str(error))
                await self._sleep(RETRY_INTERVAL_S)
            except Exception:
                log.exception("control: unexpected error")
                await self._sleep(RETRY_INTERVAL_S)

    async def _renew(self):
        if not self.is_leader:
            return
        sent_at = self._clock()
        await self._client.renew_lease(self._lease)
        self._renewed_at = sent_at

    async def _try_to_acquire(self):
        view = self._view
        if not view.reachable or not view.has_store_era:
            return
        era = view.era
        sent_at = self._clock()
        item = view.items.get(CONTROL_KEY)
        holder = None if item is None else decode(item.value)
        is_of_copy = holder is not None and holder.is_of_copy(era)
        if is_of_copy:
            holder = None
        if (
            holder is None
            and (is_of_copy or self._has_era_risen)
            and self.inherited is None
            and sent_at < self._era_known_at + self._head_start_s(era)
        ):
            return
        is_free = (
            holder is None
            or holder.resigned
            or (
                holder.node == self.own_record.node
                and holder.process != self.own_record.process
            )
        )
        if self._resigned:
            return
        if holder is not None and holder.process == self.own_record.process:
            # The answer to the write was lost; a renewal shows whether the lease of
            # the write is valid. The record may also be that of an earlier attempt.
            lease = self._attempted_lease
            if (
                lease is not None
                and lease.lease_id == holder.lease_id
                and not holder.resigned
            ):
                await self._client.renew_lease(self._attempted_lease)
                self._became_leader(
                    self._term_of(era, item.revision),
                    self._attempted_lease,
                    sent_at,
                    PredecessorEnd.UNKNOWN,
                )
            return
        if not is_free:
            return
        lease, _ = await self._client.create_lease(LEASE_S)
        if lease.era != era:
            return
        self._attempted_lease = lease
        expected = 0 if item is None else item.revision
        self.own_record.era = era
        self.own_record.lease_id = lease.lease_id
        revision = await self._client.write(
            expected={CONTROL_KEY: expected},
            puts={
                CONTROL_KEY: self.own_record.encode(),
                term_key(self.own_record.process, era): b"{}",
            },
            lease=lease,
            era=era,
        )
        # A former process of this VM may have taken over just before it ended, from a
        # controller that still renews grants.
        predecessor = PredecessorEnd.UNKNOWN
        unsettled_s = 0.0
        if holder is not None and holder.resigned:
            predecessor = PredecessorEnd.RESIGNED
            unsettled_s = holder.unsettled_s
        term = self._term_of(era, revision)
        self._became_leader(term, lease, sent_at, predecessor, unsettled_s)

    def _head_start_s(self, era):
        """Returns for how long others go first after a restore, in seconds."""
        if self._knows_owners(era):
            return RESTORE_DEPUTY_START_S
        return RESTORE_HEAD_START_S

    def _term_of(self, era, revision):
        return Term(process=self.own_record.process, era=era, revision=revision)

    def _became_leader(self, term, lease, sent_at, predecessor, unsettled_s=0.0):
        now = self._clock()
        # The last grant calls of the predecessor can arrive after their timeout.
        arrived_at = now + grants.GRANT_TIMEOUT_S + MAX_TRANSIT_S
        if predecessor is PredecessorEnd.UNKNOWN:
            arrived_at += RENEWAL_WITHOUT_STORE_S
        self.previous_grants_expire_at = max(
            expiry_time(arrived_at, HOLD_S), now + unsettled_s
        )
        self.settled_at = max(self.settled_at, self.previous_grants_expire_at)
        self._lease = lease
        self._renewed_at = sent_at
        self.term = term
        self.predecessor = predecessor
        log.info(
            "control: taken revision=%d era=%d before=%r",
            term.revision,
            term.era,
            predecessor.value,
        )

    async def resign(self):
        """Resigns, so that another entry VM can take over immediately.

        :returns: False if the store does not answer; this process then remains the
            controller, since no other entry VM could take over.
        """
        if not self.is_leader:
            self._resigned = True
            return True
        try:
            # Check that the store answers: if the answer to the write below were lost,
            # it would be unknown which process is the controller.
            await self._renew()
        except BriarspokeError as error:
            if self.is_leader:
                log.warning(
                    "control: kept, the store does not answer error=%r", str(error)
                )
                return False
        self._resigned = True
        if not self.is_leader:
            return True
        term, self.term = self.term, None
        record = ControlRecord(
            node=self.own_record.node,
            process=self.own_record.process,
            host=self.own_record.host,
            port=self.own_record.port,
            resigned=True,
            unsettled_s=max(0.0, self.settled_at - self._clock()),
            era=term.era,
        )
        try:
            await self._client.write(
                expected=term.expected,
                puts={CONTROL_KEY: record.encode()},
                era=term.era,
            )
            log.info("control: resigned")
        except BriarspokeError as error:
            log.warning("control: cannot resign error=%r", str(error))
        return True
