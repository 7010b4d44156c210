"""Writes changes of the configuration to the store."""

from __future__ import annotations

import enum
import logging
import random

from twisted.internet import defer

from briarspoke.configuration import codes
from briarspoke.configuration.changes import Change, plan
from briarspoke.configuration.document import STORE_KEY, ConfigurationDocument
from briarspoke.errors import CodedError
from briarspoke.platform.store import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

log = logging.getLogger(__name__)

# An operator waits this long for one change; then its outcome is unknown.
SETTLE_S = 5.0
RETRY_MIN_S = 0.01
RETRY_MAX_S = 0.25


class Status(enum.Enum):
    """How a change ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class WriteResult:
    """What became of a change.

    :param status: the :class:`Status`.
    :param code: result code of a refusal or an unknown outcome, else None.
    :param version: version that holds the change, or the version read last.
    :param base_version: version that the last attempt was based on.
    :param differences: what the change altered, empty if nothing.
    """

    __slots__ = (
        "base_version",
        "code",
        "conflicts",
        "detail",
        "differences",
        "document",
        "problems",
        "status",
        "store_calls",
        "version",
        "write_id",
    )

    def __init__(
        self,
        *,
        status,
        write_id,
        version,
        base_version,
        code=None,
        detail="",
        document=None,
        differences=(),
        problems=(),
        conflicts=(),
        store_calls=0,
    ):
        self.status = status
        self.write_id = write_id
        self.version = version
        self.base_version = base_version
        self.code = code
        self.detail = detail
        self.document = document
        self.differences = list(differences)
        self.problems = list(problems)
        self.conflicts = list(conflicts)
        self.store_calls = store_calls


class WriteState(enum.Enum):
    """What a look-up of a write identifier found."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not-accepted"
    PENDING = "pending"
    UNKNOWN = "unknown"


class _Stop(Exception):
    """Ends an attempt with a refusal code."""

    def __init__(self, code, detail="", **fields):
        super().__init__(code.name)
        self.code = code
        self.detail = detail or code.meaning
        self.fields = fields


class ConfigurationWriter:
    """Accepts changes by compare-and-swap.

    :param store: a :class:`briarspoke.platform.store.StoreClient`.
    :param holder: the :class:`ConfigurationHolder` that takes accepted versions.
    :param clock: function that returns monotonic seconds.
    :param sleep: function of seconds that returns a Deferred.
    """

    def __init__(self, *, store, holder, clock, sleep, seed=None):
        self.store = store
        self.holder = holder
        self.store_calls = 0
        self._clock = clock
        self._sleep = sleep
        self._random = random.Random(seed)
        self._lock = defer.DeferredLock()
        self._highest_version = 0

    def submit(self, change, *, dry_run=False, partitions_owned=None):
        """Applies a change.

        :param dry_run: True plans the change without writing it.
        :param partitions_owned: function that returns the number of partitions that
            a server, given by name, owns. None allows changes to owning servers.
        :returns: a Deferred of a :class:`WriteResult`, which does not fail.
        """
        attempt = _Attempt(
            writer=self, change=change, partitions_owned=partitions_owned
        )
        if dry_run:
            return attempt.run(dry_run=True)
        # Changes of one node would only conflict with each other in the store.
        return self._lock.run(attempt.run)

    @defer.inlineCallbacks
    def find_write(self, write_id, base_version=None):
        """Looks up a write identifier in the store.

        :param base_version: version that the write was based on, if known.
        :returns: (:class:`WriteState`, version that holds the write or None).
        :raises CodedError: if the configuration cannot be read.
        """
        try:
            document, _ = yield self.read()
        except _Stop as stop:
            raise CodedError(stop.code, stop.detail) from stop
        version = document.version_of_write(write_id)
        if version is not None:
            return WriteState.ACCEPTED, version
        if base_version is None:
            return WriteState.UNKNOWN, None
        if document.version <= base_version:
            return WriteState.PENDING, None
        # The compare-and-swap on an earlier version can no longer succeed.
        if document.remembers(base_version + 1):
            return WriteState.NOT_ACCEPTED, None
        return WriteState.UNKNOWN, None

    @defer.inlineCallbacks
    def read(self):
        """Returns (document, revision of its key); raises :exc:`_Stop`."""
        self.store_calls += 1
        # Taken before the call: a version that appears during it is no revert.
        highest = max(self._highest_version, self.holder.document.version)
        try:
            stored = yield self.store.get(STORE_KEY)
        except StoreError as error:
            log.warning("configuration: cannot read the store: %s", error)
            raise _Stop(codes.CONFIGURATION_STORE_UNAVAILABLE) from error
        if stored.value is None:
            document = ConfigurationDocument()
        else:
            try:
                document = ConfigurationDocument.decode(stored.value)
                document.share(self.holder.document)
                document.configuration()
            except (ValueError, CodedError) as error:
                log.error("configuration: cannot decode the stored one: %s", error)
                raise _Stop(codes.CONFIGURATION_UNREADABLE) from error
        if document.version < highest:
            detail = f"the store has version {document.version}, seen was {highest}"
            log.error("configuration: %s", detail)
            raise _Stop(codes.CONFIGURATION_REVERTED, detail)
        self._highest_version = max(self._highest_version, document.version)
        return document, stored.revision

    def pause(self, attempt):
        """Returns a Deferred that fires after a random, growing wait."""
        longest = min(RETRY_MAX_S, RETRY_MIN_S * 2**attempt)
        return self._sleep(self._random.uniform(RETRY_MIN_S / 2, longest))

    def now(self):
        """Returns monotonic seconds."""
        return self._clock()


class _Attempt:
    """Takes one change from its first read to its end."""

    def __init__(self, *, writer, change, partitions_owned):
        self.writer = writer
        self.change = change
        self.partitions_owned = partitions_owned
        self.pinned = None
        self.base = ConfigurationDocument()
        self.unsettled_base = None
        self.calls_before = 0
        # Time spent waiting for other changes of this node counts too.
        self.deadline = writer.now() + SETTLE_S

    @defer.inlineCallbacks
    def run(self, dry_run=False):
        """Returns the :class:`WriteResult`."""
        self.calls_before = self.writer.store_calls
        attempt = 0
        result = None
        while result is None and self.writer.now() < self.deadline:
            if attempt > 0:
                yield self.writer.pause(attempt)
            attempt += 1
            try:
                result = yield self._once(dry_run)
            except _Stop as stop:
                result = self._stopped(stop)
        if result is None:
            code = codes.CHANGE_CONTENDED
            if self.unsettled_base is not None:
                code = codes.WRITE_OUTCOME_UNKNOWN
            result = self._ended(code, code.meaning)
        self._log(result, dry_run)
        return result

    @defer.inlineCallbacks
    def _once(self, dry_run):
        document, revision = yield self.writer.read()
        self.base = document
        version = document.version_of_write(self.change.write_id)
        if version is not None:
            self.writer.holder.apply(document)
            return self._accepted(document, version)
        if self.unsettled_base is not None and document.version > self.unsettled_base:
            if not document.remembers(self.unsettled_base + 1):
                raise _Stop(codes.WRITE_OUTCOME_UNKNOWN)
            self.unsettled_base = None
        planned = self._plan(document)
        if planned.document is document or dry_run:
            return self._accepted(document, document.version, planned.differences)
        return (yield self._put(planned, revision))

    def _plan(self, document):
        is_first = self.pinned is None
        if is_first:
            self.pinned = _pin(self.change, document)
        try:
            planned = plan(
                document, self.pinned, partitions_owned=self.partitions_owned
            )
            if planned.document is not None:
                planned.document.encode()
        except CodedError as error:
            raise _Stop(error.code, error.detail) from error
        if planned.conflicts:
            code = codes.PRECONDITION_FAILED if is_first else codes.CONCURRENT_CHANGE
            raise _Stop(code, conflicts=planned.conflicts)
        if planned.problems:
            detail = f"{len(planned.problems)} problem(s)"
            raise _Stop(codes.CONFIGURATION_INVALID, detail, problems=planned.problems)
        if planned.owning:
            raise _Stop(
                codes.SERVER_OWNS_PARTITIONS,
                problems=planned.owning,
                differences=planned.differences,
            )
        return planned

    @defer.inlineCallbacks
    def _put(self, planned, revision):
        document = planned.document
        self.writer.store_calls += 1
        try:
            yield self.writer.store.put(
                STORE_KEY, document.encode(), expected_revision=revision
            )
        except StoreConflictError:
            return None
        except StoreUnavailableError as error:
            raise _Stop(codes.CONFIGURATION_STORE_UNAVAILABLE) from error
        except StoreError:
            # An answer such as status 500 does not tell either what happened.
            log.info(
                "configuration: write %s has no clear answer, reading back",
                self.change.write_id,
            )
            self.unsettled_base = self.base.version
            return None
        self.writer.holder.apply(document)
        return self._accepted(document, document.version, planned.differences)

    def _stopped(self, stop):
        if self.unsettled_base is None:
            return self._ended(stop.code, stop.detail, **stop.fields)
        # A refusal would claim that nothing changed, which is not known yet.
        if stop.code is codes.CONFIGURATION_STORE_UNAVAILABLE:
            return None
        code = codes.WRITE_OUTCOME_UNKNOWN
        return self._ended(code, code.meaning)

    def _accepted(self, document, version, differences=()):
        return WriteResult(
            status=Status.ACCEPTED,
            write_id=self.change.write_id,
            version=version,
            base_version=self.base.version,
            document=document,
            differences=differences,
            store_calls=self.writer.store_calls - self.calls_before,
        )

    def _ended(self, code, detail, **fields):
        is_unknown = code is codes.WRITE_OUTCOME_UNKNOWN
        base = self.base.version
        if is_unknown and self.unsettled_base is not None:
            base = self.unsettled_base
        return WriteResult(
            status=Status.UNKNOWN if is_unknown else Status.REFUSED,
            write_id=self.change.write_id,
            version=max(self.base.version, self.writer.holder.document.version),
            base_version=base,
            code=code,
            detail=detail,
            store_calls=self.writer.store_calls - self.calls_before,
            **fields,
        )

    def _log(self, result, dry_run):
        log.info(
            "configuration: write %s %s%s at version %d%s",
            result.write_id,
            "would be " if dry_run else "",
            result.status.value,
            result.version,
            f" ({result.code.number} {result.code.name})" if result.code else "",
        )


def _pin(change, document):
    # What the operator saw at the first read must still hold at the write.
    expected = {
        (kind, name): document.changed_at(kind, name)
        for kind, name in change.touched(document)
    }
    expected.update(change.expected)
    expected_version = change.expected_version
    if change.replace and expected_version is None:
        expected_version = document.version
    return Change(
        write_id=change.write_id,
        puts=change.puts,
        deletes=change.deletes,
        expected=expected,
        replace=change.replace,
        expected_version=expected_version,
    )
