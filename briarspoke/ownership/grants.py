"""A zone controller's state of one fenced server's grants."""

from __future__ import annotations

from briarspoke.hashing import hash64
from briarspoke.ownership.commands import SendGrants
from briarspoke.ownership.timing import (
    CLOCK_STOP_S,
    GRANT_S,
    GRANT_WAIT_S,
    MAX_CLOCK_RATIO,
    MAX_READING_AGE_S,
    RENEW_EVERY_S,
    UNREACHABLE_AFTER_S,
)

# A move waits for requests in flight, most of which end within this interval.
BUSY_POLL_S = 0.05


def grants_digest(grants):
    """Returns a digest of grants.

    :param grants: epoch per partition name.
    """
    parts = [f"{partition}={epoch}" for partition, epoch in sorted(grants.items())]
    return f"{hash64(*parts):016x}"


class _Call:
    __slots__ = ("call_id", "digest", "expires_by", "previous_granted_until", "revoke")

    def __init__(self, *, call_id, digest, revoke, previous_granted_until, expires_by):
        self.previous_granted_until = previous_granted_until
        self.call_id = call_id
        self.digest = digest
        self.revoke = revoke
        self.expires_by = expires_by


class ServerGrants:
    """Grants of one fenced server under one term.

    All times except ``clock_reading`` are on the controller's clock. A reading of
    the server's clock is only used to compute the expiry that is sent back; it is
    never compared with the local clock to decide about expiry.

    :param name: name of the server.
    :param known_since: time at which the controller began to monitor the server.
    :ivar accepted: whether the server's current incarnation has accepted the term.
    :ivar trusted: whether the lease was confirmed after that acceptance, which shows
        that this term was still the newest.
    :ivar verified: False from a pause of this process until the server accepts a call.
    :ivar granted_until: time by which all grants sent so far have expired; once the
        server has accepted the term, this includes the grants of earlier terms.
    :ivar unanswered_until: expiry of the last grants sent in a call without an answer.
    :ivar released: names of revoked partitions without requests in flight.
    :ivar busy: names of revoked partitions with requests in flight.
    """

    __slots__ = (
        "_call",
        "_next_call_id",
        "_sent_digest",
        "_sent_revoke",
        "accepted",
        "accepted_since",
        "busy",
        "clock_read_at",
        "clock_reading",
        "clock_stopped",
        "due_at",
        "ever_accepted",
        "granted_until",
        "incarnation",
        "last_answer_at",
        "name",
        "released",
        "server_digest",
        "trusted",
        "unanswered_until",
        "verified",
    )

    def __init__(self, *, name, known_since):
        self.name = name
        self.incarnation = None
        self.accepted = False
        self.accepted_since = None
        self.ever_accepted = False
        self.trusted = False
        self.verified = True
        self.clock_reading = None
        self.clock_read_at = None
        self.last_answer_at = known_since
        self.due_at = known_since
        self.granted_until = known_since
        self.unanswered_until = known_since
        self.server_digest = None
        self.released = frozenset()
        self.busy = frozenset()
        self.clock_stopped = False
        self._call = None
        self._next_call_id = 0
        self._sent_digest = None
        self._sent_revoke = frozenset()

    def is_due(self, now, wanted_digest, revoke, renew):
        """Returns whether a control call should be sent now.

        :param wanted_digest: digest of the grants that the server should hold.
        :param revoke: names of the partitions to revoke.
        :param renew: whether the call may contain grants.
        """
        if self._call is not None:
            return False
        if now >= self.due_at:
            return True
        return (
            renew
            and self.clock_reading is not None
            and (
                wanted_digest != self._sent_digest
                or not frozenset(revoke) <= self._sent_revoke
            )
        )

    def next_call(self, *, now, address, zone, term, wanted, digest, revoke, renew):
        """Returns the :class:`SendGrants` to send.

        :param wanted: epoch per partition that the server should hold.
        :param renew: False to only read the clock.
        """
        self._next_call_id += 1
        fresh = (
            self.clock_reading is not None
            and now - self.clock_read_at < MAX_READING_AGE_S
        )
        renew = renew and fresh
        expires_at = expires_by = None
        previous_granted_until = self.granted_until
        if renew:
            self._sent_digest = digest
            self._sent_revoke = frozenset(revoke)
            # A partition that may be granted again is not released for its next
            # move.
            self.released &= self._sent_revoke
            expires_at = self.clock_reading + GRANT_S
            expires_by = self.clock_read_at + GRANT_WAIT_S
            self.granted_until = max(self.granted_until, expires_by)
        self._call = _Call(
            call_id=self._next_call_id,
            digest=digest if renew else None,
            revoke=frozenset(revoke) if renew else frozenset(),
            previous_granted_until=previous_granted_until,
            expires_by=expires_by,
        )
        self.due_at = now + RENEW_EVERY_S
        return SendGrants(
            server=self.name,
            address=address,
            call_id=self._next_call_id,
            zone=zone,
            term=term,
            grants=dict(wanted) if renew and digest != self.server_digest else None,
            digest=digest if renew else "",
            revoke=tuple(sorted(revoke)) if renew else (),
            expires_at=expires_at,
            incarnation=self.incarnation if renew else None,
        )

    def answered(self, event, now):
        """Handles an answer; returns False if it is not to the call in flight."""
        call = self._pop_call(event.call_id)
        if call is None:
            return False
        self.last_answer_at = now
        if event.incarnation != self.incarnation:
            self._note_restart(event, now)
        if not event.accepted:
            self.due_at = now
            return True
        self._record_clock(event, now)
        if not self.accepted:
            self.accepted = self.ever_accepted = True
            self.accepted_since = now
            # The server refuses earlier terms from now on, so that their grants expire
            # at most one grant duration after this clock reading.
            self.granted_until = max(self.granted_until, now + GRANT_WAIT_S)
        self.verified = True
        if event.busy:
            self.due_at = min(self.due_at, now + BUSY_POLL_S)
        self.server_digest = event.digest
        self.busy = event.busy
        applied = call.digest is not None and event.digest == call.digest
        if applied and now >= self.unanswered_until:
            # An earlier call without an answer could still arrive and grant the
            # revoked partitions again, until the grants that it contains expire.
            self.released = call.revoke - event.busy
        return True

    def failed(self, event, now):
        """Handles the failure of the call in flight."""
        call = self._pop_call(event.call_id)
        if call is None or call.expires_by is None:
            return
        if event.refused:
            self.granted_until = call.previous_granted_until
            return
        self.unanswered_until = max(self.unanswered_until, call.expires_by)

    def paused(self, now):
        """Discards the clock reading, whose age is unknown after a pause."""
        # During the pause this node was the one that could not receive answers.
        self.last_answer_at = self.due_at = now
        call = self._call
        if call is not None and call.expires_by is not None:
            self.unanswered_until = max(self.unanswered_until, call.expires_by)
        self._call = None
        self.clock_reading = None
        self.verified = False

    def confirm(self, sent_at):
        """Trusts the incarnation if the lease was confirmed after it accepted the term.

        :param sent_at: sending time of the keepalive that confirmed the lease.
        """
        if self.accepted and sent_at >= self.accepted_since:
            self.trusted = True

    def is_unreachable(self, now):
        """Returns whether the server has not answered for ``UNREACHABLE_AFTER_S``."""
        return now - self.last_answer_at >= UNREACHABLE_AFTER_S

    def all_expired(self, now):
        """Returns whether every grant under this term has surely expired.

        False until the server has accepted the term, because the grants of earlier
        terms are unknown until then.
        """
        return (
            self.ever_accepted
            and self.is_unreachable(now)
            and now >= self.granted_until
        )

    def _pop_call(self, call_id):
        call = self._call
        if call is None or call.call_id != call_id:
            return None
        self._call = None
        return call

    def _record_clock(self, event, now):
        if self.clock_reading is not None:
            local = (now - self.clock_read_at) * MAX_CLOCK_RATIO
            if event.clock - self.clock_reading > local + CLOCK_STOP_S:
                self.clock_stopped = True
        self.clock_reading = event.clock
        self.clock_read_at = now

    def _note_restart(self, event, now):
        # A restarted server has lost the terms that it had received, so its answer
        # does not prove that this term is the newest.
        self.incarnation = event.incarnation
        self.accepted = False
        self.accepted_since = None
        self.trusted = False
        self.clock_reading = None
        self.server_digest = None
        self._sent_digest = None
        self._sent_revoke = frozenset()
        self.released = frozenset()
