"""Writes configuration changes to the store."""

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

# Time limit of one change. If a write is unconfirmed by then, its outcome is unknown.
WRITE_TIMEOUT_S = 5.0
RETRY_MIN_S = 0.01
RETRY_MAX_S = 0.25


class Status(enum.Enum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class WriteResult:
    """Result of a change.

    :param status: the :class:`Status`.
    :param code: result code of a refusal or an unknown outcome, else None.
    :param version: version that contains the change, or the last known version.
    :param base_version: version that the last attempt was based on.
    :param differences: :class:`Difference` of each resource that the change modifies.
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
    """State of a write, as found by its write identifier."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not-accepted"
    PENDING = "pending"
    UNKNOWN = "unknown"


class _AttemptFailed(Exception):
    """An attempt failed with a result code."""

    def __init__(self, code, detail="", **fields):
        super().__init__(code.name)
        self.code = code
        self.detail = detail or code.meaning
        self.fields = fields


class ConfigurationWriter:
    """Writes changes to the store by compare-and-swap.

    :param store: a :class:`briarspoke.platform.store.StoreClient`.
    :param active_configuration: the :class:`ActiveConfiguration` that applies
        accepted versions.
    :param clock: function that returns monotonic seconds.
    :param sleep: function that returns a Deferred, which fires after given seconds.
    :param seed: seed of the backoff jitter, or None.
    """

    def __init__(self, *, store, active_configuration, clock, sleep, seed=None):
        self.store = store
        self.active_configuration = active_configuration
        self.store_calls = 0
        self._clock = clock
        self._sleep = sleep
        self._random = random.Random(seed)
        self._lock = defer.DeferredLock()
        self._highest_version = 0

    def submit(self, change, *, dry_run=False, partitions_owned=None):
        """Plans a change and writes it to the store.

        :param dry_run: True plans the change without writing it.
        :param partitions_owned: function that returns the number of partitions that
            a server, given by name, owns. None allows changes to owning servers.
        :returns: a Deferred of a :class:`WriteResult`, which does not fail.
        """
        submission = _Submission(
            writer=self, change=change, partitions_owned=partitions_owned
        )
        if dry_run:
            return submission.run(dry_run=True)
        # Concurrent changes of one node would conflict with each other in the store.
        return self._lock.run(submission.run)

    @defer.inlineCallbacks
    def find_write(self, write_id, base_version=None):
        """Looks up a write identifier in the store.

        :param base_version: version that the write was based on, if known.
        :returns: a Deferred of (:class:`WriteState`, version of the write or None).
        :raises CodedError: if the configuration cannot be read.
        """
        try:
            document, _ = yield self.read()
        except _AttemptFailed as failure:
            raise CodedError(failure.code, failure.detail) from failure
        version = document.version_of_write(write_id)
        if version is not None:
            return WriteState.ACCEPTED, version
        if base_version is None:
            return WriteState.UNKNOWN, None
        if document.version <= base_version:
            return WriteState.PENDING, None
        # The version has changed, so the compare-and-swap of the write can no longer
        # succeed.
        if document.retains_write(base_version + 1):
            return WriteState.NOT_ACCEPTED, None
        return WriteState.UNKNOWN, None

    @defer.inlineCallbacks
    def read(self):
        """Reads the document from the store.

        :returns: a Deferred of (document, revision of its key).
        :raises _AttemptFailed: if it cannot be read, is invalid or has reverted.
        """
        self.store_calls += 1
        # Taken before the call, because a version that this node sees during the call
        # can be newer than the answer without a revert of the store.
        highest_version = max(
            self._highest_version, self.active_configuration.document.version
        )
        try:
            stored = yield self.store.get(STORE_KEY)
        except StoreError as error:
            log.warning("configuration: cannot read the store: %s", error)
            raise _AttemptFailed(codes.CONFIGURATION_STORE_UNAVAILABLE) from error
        if stored.value is None:
            document = ConfigurationDocument()
        else:
            try:
                document = ConfigurationDocument.decode(stored.value)
                document.reuse_checked_resources(self.active_configuration.document)
                document.configuration()
            except (ValueError, CodedError) as error:
                log.error("configuration: cannot decode the stored document: %s", error)
                raise _AttemptFailed(codes.CONFIGURATION_UNREADABLE) from error
        if document.version < highest_version:
            detail = f"the store has version {document.version} after {highest_version}"
            log.error("configuration: %s", detail)
            raise _AttemptFailed(codes.CONFIGURATION_REVERTED, detail)
        self._highest_version = max(self._highest_version, document.version)
        return document, stored.revision

    def backoff(self, attempt):
        """Returns a Deferred that fires after an exponential backoff with jitter."""
        max_wait_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**attempt)
        return self._sleep(self._random.uniform(RETRY_MIN_S / 2, max_wait_s))

    def now(self):
        """Returns the monotonic time in seconds."""
        return self._clock()


class _Submission:
    """Retries one change until it has a result.

    The resources that the change affects must stay at their versions of the first
    attempt. ``unconfirmed_base_version`` is the version that a write without a clear
    answer was based on, or None.
    """

    def __init__(self, *, writer, change, partitions_owned):
        self.writer = writer
        self.change = change
        self.partitions_owned = partitions_owned
        self.pinned_change = None
        self.base_document = ConfigurationDocument()
        self.unconfirmed_base_version = None
        self.store_calls_before = 0
        # The time limit includes the wait for other changes of this node.
        self.deadline = writer.now() + WRITE_TIMEOUT_S

    @defer.inlineCallbacks
    def run(self, dry_run=False):
        """Returns a Deferred of the :class:`WriteResult`."""
        self.store_calls_before = self.writer.store_calls
        attempt = 0
        result = None
        while result is None and self.writer.now() < self.deadline:
            if attempt > 0:
                yield self.writer.backoff(attempt)
            attempt += 1
            try:
                result = yield self._try_once(dry_run)
            except _AttemptFailed as failure:
                result = self._result_of_failure(failure)
        if result is None:
            code = codes.CHANGE_CONTENDED
            if self.unconfirmed_base_version is not None:
                code = codes.WRITE_OUTCOME_UNKNOWN
            result = self._error_result(code, code.meaning)
        self._log(result, dry_run)
        return result

    @defer.inlineCallbacks
    def _try_once(self, dry_run):
        document, revision = yield self.writer.read()
        self.base_document = document
        version = document.version_of_write(self.change.write_id)
        if version is not None:
            self.writer.active_configuration.apply(document)
            return self._accepted_result(document, version)
        if (
            self.unconfirmed_base_version is not None
            and document.version > self.unconfirmed_base_version
        ):
            if not document.retains_write(self.unconfirmed_base_version + 1):
                raise _AttemptFailed(codes.WRITE_OUTCOME_UNKNOWN)
            self.unconfirmed_base_version = None
        planned = self._plan(document)
        if planned.document is document or dry_run:
            return self._accepted_result(
                document, document.version, planned.differences
            )
        return (yield self._put(planned, revision))

    def _plan(self, document):
        is_first = self.pinned_change is None
        if is_first:
            self.pinned_change = _pin_versions(self.change, document)
        try:
            planned = plan(
                document, self.pinned_change, partitions_owned=self.partitions_owned
            )
            if planned.document is not None:
                planned.document.encode()
        except CodedError as error:
            raise _AttemptFailed(error.code, error.detail) from error
        if planned.conflicts:
            code = codes.PRECONDITION_FAILED if is_first else codes.CONCURRENT_CHANGE
            raise _AttemptFailed(code, conflicts=planned.conflicts)
        if planned.problems:
            detail = f"{len(planned.problems)} problem(s)"
            raise _AttemptFailed(
                codes.CONFIGURATION_INVALID, detail, problems=planned.problems
            )
        if planned.ownership_problems:
            raise _AttemptFailed(
                codes.SERVER_OWNS_PARTITIONS,
                problems=planned.ownership_problems,
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
            raise _AttemptFailed(codes.CONFIGURATION_STORE_UNAVAILABLE) from error
        except StoreError:
            # The write may have taken effect, also after an answer with status 500.
            log.info(
                "configuration: write %s has an unknown outcome, reading it back",
                self.change.write_id,
            )
            self.unconfirmed_base_version = self.base_document.version
            return None
        self.writer.active_configuration.apply(document)
        return self._accepted_result(document, document.version, planned.differences)

    def _result_of_failure(self, failure):
        if self.unconfirmed_base_version is None:
            return self._error_result(failure.code, failure.detail, **failure.fields)
        # A refusal would state that nothing changed, but an earlier write may still
        # take effect.
        if failure.code is codes.CONFIGURATION_STORE_UNAVAILABLE:
            return None
        code = codes.WRITE_OUTCOME_UNKNOWN
        return self._error_result(code, code.meaning)

    def _accepted_result(self, document, version, differences=()):
        return WriteResult(
            status=Status.ACCEPTED,
            write_id=self.change.write_id,
            version=version,
            base_version=self.base_document.version,
            document=document,
            differences=differences,
            store_calls=self.writer.store_calls - self.store_calls_before,
        )

    def _error_result(self, code, detail, **fields):
        is_unknown = code is codes.WRITE_OUTCOME_UNKNOWN
        base_version = self.base_document.version
        if is_unknown and self.unconfirmed_base_version is not None:
            base_version = self.unconfirmed_base_version
        return WriteResult(
            status=Status.UNKNOWN if is_unknown else Status.REFUSED,
            write_id=self.change.write_id,
            version=max(
                self.base_document.version,
                self.writer.active_configuration.document.version,
            ),
            base_version=base_version,
            code=code,
            detail=detail,
            store_calls=self.writer.store_calls - self.store_calls_before,
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


def _pin_versions(change, document):
    # The affected resources must not change between the first read and the write.
    expected = {
        (kind, name): document.changed_at(kind, name)
        for kind, name in change.affected_resources(document)
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
