"""What a zone controller knows of one fenced server's grants."""

from __future__ import annotations

from briarspoke.hashing import hash64
from briarspoke.ownership.commands import SendGrants
from briarspoke.ownership.timing import (
    CLOCK_RATE,
    CLOCK_STOP_S,
    GRANT_S,
    GRANT_WAIT_S,
    READING_USABLE_S,
    RENEW_EVERY_S,
    SILENT_AFTER_S,
)

# A move waits for requests in flight, most of which end within this time.
BUSY_POLL_S = 0.05


def grants_digest(grants):
    """Returns a digest of ``{partition: epoch}``."""
    parts = [f"{partition}={epoch}" for partition, epoch in sorted(grants.items())]
    return f"{hash64(*parts):016x}"


class _Call:
    __slots__ = ("before", "call_id", "digest", "revoke", "until")

    def __init__(self, *, call_id, digest, revoke, before, until):
        self.before = before
        self.call_id = call_id
        self.digest = digest
        self.revoke = revoke
        self.until = until


class ServerGrants:
    """Grants of one fenced server under one term.

    Local times are the controller's; the server's clock is only added to and
    sent back, never compared with the local one for a decision about expiry.

    :param known_since: when the controller began to watch the server.
    """

    __slots__ = (
        "_call",
        "_next_call_id",
        "_sent_digest",
        "_sent_revoke",
        "accepted",
        "accepted_since",
        "busy",
        "clock_stopped",
        "due_at",
        "ever_accepted",
        "granted_until",
        "incarnation",
        "last_answer_at",
        "name",
        "reading",
        "reading_at",
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
        self.reading = None
        self.reading_at = None
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

    # Sending.

    def is_due(self, now, wanted_digest, revoke, renew):
        """Returns whether a call should be sent now.

        :param renew: whether the call may carry grants.
        """
        if self._call is not None:
            return False
        if now >= self.due_at:
            return True
        return (
            renew
            and self.reading is not None
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
        fresh = self.reading is not None and now - self.reading_at < READING_USABLE_S
        renew = renew and fresh
        expires_at = until = None
        before = self.granted_until
        if renew:
            self._sent_digest = digest
            self._sent_revoke = frozenset(revoke)
            # What may be granted again is not released for its next move.
            self.released &= self._sent_revoke
            expires_at = self.reading + GRANT_S
            until = self.reading_at + GRANT_WAIT_S
            self.granted_until = max(self.granted_until, until)
        self._call = _Call(
            call_id=self._next_call_id,
            digest=digest if renew else None,
            revoke=frozenset(revoke) if renew else frozenset(),
            before=before,
            until=until,
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

    # Answers.

    def answered(self, event, now):
        """Takes the answer to the call in flight; returns False if it is stale."""
        call = self._take(event.call_id)
        if call is None:
            return False
        self.last_answer_at = now
        if event.incarnation != self.incarnation:
            self._restarted(event, now)
        if not event.accepted:
            self.due_at = now
            return True
        self._note_clock(event, now)
        if not self.accepted:
            self.accepted = self.ever_accepted = True
            self.accepted_since = now
            # Grants of earlier terms end at most one grant after this reading.
            self.granted_until = max(self.granted_until, now + GRANT_WAIT_S)
        self.verified = True
        if event.busy:
            self.due_at = min(self.due_at, now + BUSY_POLL_S)
        self.server_digest = event.digest
        self.busy = event.busy
        applied = call.digest is not None and event.digest == call.digest
        if applied and now >= self.unanswered_until:
            # An earlier call that was lost could still arrive and grant again
            # what is revoked, so the answer settles nothing before it expires.
            self.released = call.revoke - event.busy
        return True

    def failed(self, event, now):
        """Takes the failure of the call in flight."""
        call = self._take(event.call_id)
        if call is None or call.until is None:
            return
        if event.refused:
            self.granted_until = call.before
            return
        self.unanswered_until = max(self.unanswered_until, call.until)

    def paused(self, now):
        """Forgets the reading, which the pause has aged by an unknown time."""
        # The silence was this node's own.
        self.last_answer_at = self.due_at = now
        call = self._call
        if call is not None and call.until is not None:
            self.unanswered_until = max(self.unanswered_until, call.until)
        self._call = None
        self.reading = None
        self.verified = False

    def confirm(self, sent_at):
        """Trusts the incarnation if the lease was confirmed after it was met."""
        if self.accepted and sent_at >= self.accepted_since:
            self.trusted = True

    def is_unreachable(self, now):
        """Returns whether the server has not answered for too long."""
        return now - self.last_answer_at >= SILENT_AFTER_S

    def all_expired(self, now):
        """Returns whether every grant under this term has surely expired."""
        return (
            self.ever_accepted
            and self.is_unreachable(now)
            and now >= self.granted_until
        )

    def _take(self, call_id):
        call = self._call
        if call is None or call.call_id != call_id:
            return None
        self._call = None
        return call

    def _note_clock(self, event, now):
        if self.reading is not None:
            local = (now - self.reading_at) * CLOCK_RATE
            if event.clock - self.reading > local + CLOCK_STOP_S:
                self.clock_stopped = True
        self.reading = event.clock
        self.reading_at = now

    def _restarted(self, event, now):
        # A restarted server has forgotten the terms it has seen, so its answer
        # does not show that this term is the newest.
        self.incarnation = event.incarnation
        self.accepted = False
        self.accepted_since = None
        self.trusted = False
        self.reading = None
        self.server_digest = None
        self._sent_digest = None
        self._sent_revoke = frozenset()
        self.released = frozenset()
