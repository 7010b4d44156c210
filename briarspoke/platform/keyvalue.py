"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import json
import logging
from urllib.parse import quote

from twisted.internet import defer

from briarspoke.errors import BriarspokeError
from briarspoke.platform import headers
from briarspoke.platform.values import (
    DecodeError,
    format_duration,
    parse_duration_s,
    require_field,
)

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0
# Time without any byte of an answer after which a call that may be executed more than
# once is sent again, and interval between further copies.
RENEWAL_REPEAT_S = (0.4, 0.4)
# Key that probes read. It does not exist.
PROBE_KEY = "briarspoke/probe"
# A probe that is unanswered goes on for as long as a connection attempt, so that one of
# its copies begins soon after the end of an outage.
PROBE_TIMEOUT_S = 3.0
PROBE_REPEAT_S = (0.4, 0.8)
# A page of items may share a slow network connection with caller traffic.
READ_TIMEOUT_S = 3.0
READ_REPEAT_S = (0.8, 0.8)
# The store answers a watch at the end of its wait. If no answer has come this long
# after the wait, the connection may be silent and the watch is asked again.
WATCH_DOUBT_S = 0.3
WATCH_REPEAT_INTERVAL_S = 0.4
# Time after the wait at which a watch fails.
WATCH_LOST_S = 1.2
# Wait of a watch that is asked again, whose answer tells what the first has missed.
CATCH_UP_WAIT_S = 0.001
# Time that the answer to a watch takes on a path without trouble, with margin.
WATCH_GRACE_S = 0.6
# Statuses that tell something of the store's items or leases.
STATUSES_OF_STATE = (200, 404, 410, 412)


class StoreError(BriarspokeError):
    """A call to the store failed.

    :param outcome_unknown: whether a write may have taken effect or may still do so.
    """

    def __init__(self, message, *, outcome_unknown=False):
        super().__init__(message)
        self.outcome_unknown = outcome_unknown


class HistoryGoneError(StoreError):
    """The store no longer has the history that a watch requested."""


class CallAbandonedError(StoreError):
    """A call was given up because its answer is not needed any more."""


class StoreRestoredError(CallAbandonedError):
    """The store was restored from a copy, so revisions of before mean nothing."""


class LeaseExpiredError(StoreError):
    """The lease has expired, was ended or is of an earlier era of the store."""


class ConditionFailedError(StoreError):
    """A key does not have the revision that a transaction requires."""


class Item:
    """A key with its value.

    :param value: bytes, or None if the key was removed.
    :param revision: store revision of the key's last change.
    :param era: era of the store to which the revision belongs.
    """

    __slots__ = ("era", "key", "revision", "value")

    def __init__(self, *, key, value, revision, era):
        self.key = key
        self.value = value
        self.revision = revision
        self.era = era

    @property
    def position(self):
        """Position in the order of all changes, over all eras."""
        return (self.era, self.revision)


class Changes:
    """Items and the store revision, of one era, up to which they are complete.

    :param age_s: seconds since the watch was sent whose answer they are.
    :param is_repeated: whether the watch was asked again before that answer came.
    """

    __slots__ = ("age_s", "era", "is_repeated", "items", "revision")

    def __init__(self, *, items, revision, era, age_s=0.0, is_repeated=False):
        self.items = items
        self.revision = revision
        self.era = era
        self.age_s = age_s
        self.is_repeated = is_repeated


class Lease:
    """A lease of the store.

    :param lease_id: its number; it is given out again in a later era.
    :param era: era of the store in which the lease was created.
    """

    __slots__ = ("era", "lease_id")

    def __init__(self, *, lease_id, era):
        self.lease_id = lease_id
        self.era = era


def _decode_era(answer):
    """Returns the store's era in an answer, or None if it has none that is readable."""
    try:
        return max(0, int(answer.get(headers.STORE_ERA) or b""))
    except ValueError:
        return None


def _decode_item(body, era):
    if not isinstance(body, dict):
        raise DecodeError("an item is not a JSON object")
    if body.get("deleted"):
        value = None
    else:
        try:
            value = base64.b64decode(require_field(body, "value", str), validate=True)
        except ValueError as error:
            raise DecodeError("a value is not base64") from error
    return Item(
        key=require_field(body, "key", str),
        value=value,
        revision=require_field(body, "rev", int),
        era=era,
    )


class KeyValueClient:
    """Calls the key-value store; every call is a coroutine.

    The store's era rises each time that the store is restored from a copy. Revisions
    and leases are then given out again, so those of an earlier era are never sent.

    :param http: the :class:`briarspoke.entry.httpclient.HttpClient` to the store.
    :param count: called with (kind, outcome, seconds) after each call.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, http, count, clock):
        self._http = http
        self._count = count
        self._clock = clock
        # Highest era known; 0 also for a store that has none.
        self.era = 0
        self._is_era_known = False
        # Functions that are called without arguments after the era has risen.
        self.era_observers = []
        # HTTP calls of the watches that wait for an answer.
        self._watches = set()

    def learn_era(self, era):
        """Notes an era of the store and calls the observers if it has risen.

        Watches that are pending then fail with :class:`StoreRestoredError`.
        """
        if not self._is_era_known:
            self._is_era_known = True
            self.era = era
        if era <= self.era:
            return
        log.warning("store: restored from a copy era=%d before=%d", era, self.era)
        self.era = era
        for observer in self.era_observers:
            try:
                observer()
            except Exception:
                log.exception("store: an observer of the era failed")
        for watch in list(self._watches):
            watch.cancel()

    async def _call(self, kind, method, path, body=None):
        """Makes a call that must not be repeated.

        :returns: the JSON value of the answer, which is of the era that is known when
            the call returns.
        """
        data = b"" if body is None else json.dumps(body).encode()
        pending = self._http.call(method, path, data, timeout_s=CALL_TIMEOUT_S)
        _, value = await self._value_of(kind, pending)
        return value

    async def _call_repeatedly(
        self, kind, method, path, *, timeout_s, repeat_s, repeat_path=None, **options
    ):
        """Makes a call that may be executed more than once.

        :param repeat_s: (seconds until the first copy, seconds between further ones).
        :param repeat_path: path of the copies; None for the same.
        :returns: (the :class:`briarspoke.entry.connections.Answer`, its JSON value).
        """
        pending = self._http.call_repeatedly(
            method,
            path,
            repeat_path=repeat_path or path,
            timeout_s=timeout_s,
            repeat_s=repeat_s,
            **options,
        )
        return await self._value_of(kind, pending)

    async def _value_of(self, kind, pending):
        sent_at = self._clock()
        era_before = self.era
        if kind == "watch":
            self._watches.add(pending)
        try:
            answer = await pending
        except defer.CancelledError as error:
            self._count(kind, "abandoned", self._clock() - sent_at)
            if self.era != era_before:
                raise StoreRestoredError(f"{kind}: the store was restored") from error
            raise CallAbandonedError(f"{kind}: not needed any more") from error
        finally:
            self._watches.discard(pending)
        outcome = str(answer.status) if answer.status else answer.failure
        self._count(kind, outcome, self._clock() - sent_at)
        if answer.status is None:
            detail = (
                f" after {answer.received_bytes} bytes" if answer.received_bytes else ""
            )
            if answer.detail:
                detail += f" ({answer.detail})"
            raise StoreError(
                f"{kind}: {answer.failure}{detail}", outcome_unknown=answer.sent
            )
        era = _decode_era(answer)
        if era is not None:
            self.learn_era(era)
        if (era or 0) < self.era and answer.status in STATUSES_OF_STATE:
            raise StoreError(
                f"{kind}: the answer is of the earlier era {era}", outcome_unknown=True
            )
        if answer.status == 410:
            raise HistoryGoneError(
                f"{kind}: the requested history is no longer available"
            )
        if answer.status == 404 and kind != "probe":
            raise LeaseExpiredError(f"{kind}: the lease has expired")
        if answer.status == 412:
            raise ConditionFailedError(
                f"{kind}: a key does not have the required revision"
            )
        if answer.status == 404:
            return answer, None
        if answer.status != 200:
            raise StoreError(f"{kind}: status {answer.status}")
        try:
            return answer, json.loads(answer.body)
        except (ValueError, RecursionError) as error:
            raise StoreError(
                f"{kind}: the answer is not valid JSON", outcome_unknown=True
            ) from error

    async def probe(self):
        """Waits for an answer of the store, of which it transfers almost no data.

        :raises StoreError: if the store refuses or ``PROBE_TIMEOUT_S`` have passed.
        """
        await self._call_repeatedly(
            "probe",
            b"GET",
            f"/briarspoke/kv-key?key={PROBE_KEY}",
            timeout_s=PROBE_TIMEOUT_S,
            repeat_s=PROBE_REPEAT_S,
        )

    async def read_all(self, prefix=""):
        """Returns :class:`Changes` with every item whose key begins with a prefix.

        The pages are not one snapshot, so the result has the revision of the first
        page. A watch from that revision returns the changes made between pages.

        :raises StoreRestoredError: if the store was restored between pages.
        """
        items = []
        revision = era = None
        after = ""
        while True:
            path = "/briarspoke/kv-range?prefix=" + quote(prefix, safe="")
            if after:
                path += "&after=" + quote(after, safe="")
            _, body = await self._call_repeatedly(
                "range",
                b"GET",
                path,
                timeout_s=READ_TIMEOUT_S,
                repeat_s=READ_REPEAT_S,
            )
            if revision is None:
                revision = require_field(body, "store_revision", int)
                era = self.era
            self._require_era(era, "range")
            items += [
                _decode_item(entry, era) for entry in require_field(body, "items", list)
            ]
            if not body.get("has_more") or not items:
                return Changes(items=items, revision=revision, era=era)
            after = items[-1].key

    def _require_era(self, era, kind):
        if era != self.era:
            raise StoreRestoredError(f"{kind}: the store was restored")

    def _require_lease(self, lease, kind):
        if lease.era != self.era:
            raise LeaseExpiredError(f"{kind}: the store was restored")

    async def watch(self, after, wait_s, era, on_doubt=None):
        """Waits for changes after a store revision.

        :param after: store revision.
        :param wait_s: seconds to wait if there are no changes yet.
        :param era: era to which the store revision belongs.
        :param on_doubt: called with a description of the call if it is asked again.
        :returns: the :class:`Changes`, without items if the wait ended first.
        :raises HistoryGoneError: if the store's history begins later.
        :raises StoreRestoredError: if the store has a later era, also as soon as
            another call shows it.
        """
        self._require_era(era, "watch")
        path = f"/briarspoke/kv-watch?prefix=&after={after}&wait_ms="
        answer, body = await self._call_repeatedly(
            "watch",
            b"GET",
            f"{path}{int(wait_s * 1e3)}",
            repeat_path=f"{path}{int(CATCH_UP_WAIT_S * 1e3)}",
            timeout_s=wait_s + WATCH_LOST_S,
            repeat_s=(wait_s + WATCH_DOUBT_S, WATCH_REPEAT_INTERVAL_S),
            on_doubt=on_doubt,
        )
        self._require_era(era, "watch")
        return Changes(
            items=[
                _decode_item(event, era)
                for event in require_field(body, "events", list)
            ],
            revision=require_field(body, "store_revision", int),
            era=era,
            age_s=answer.age_s,
            is_repeated=answer.is_repeated,
        )

    async def write(self, *, expected, puts=(), removals=(), lease=None, era=None):
        """Runs a transaction and returns its store revision.

        :param expected: ``{key: revision}`` that the store must have; 0 means that
            the key must not exist.
        :param puts: ``{key: bytes}`` to write.
        :param removals: keys to remove.
        :param lease: :class:`Lease` to which the written keys belong, or None.
        :param era: era to which the expected revisions belong; None if the
            transaction expects none.
        :raises ConditionFailedError: if a key has another revision, or the store is
            known to have another era; nothing is written.
        :raises LeaseExpiredError: if the lease has ended; nothing is written.
        :raises StoreError: with an unknown outcome, if the answer shows that the store
            has been restored.
        """
        if lease is not None:
            self._require_lease(lease, "write")
            era = lease.era if era is None else era
        if era is not None and era != self.era:
            raise ConditionFailedError("write: the store was restored")
        body = await self._call(
            "write",
            b"POST",
            "/briarspoke/kv-txn",
            {
                "precondition": [
                    {"key": key, "rev": revision} for key, revision in expected.items()
                ],
                "puts": [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode(),
                        "lease": 0 if lease is None else lease.lease_id,
                    }
                    for key, value in dict(puts).items()
                ],
                "remove": list(removals),
            },
        )
        if era is not None and era != self.era:
            raise StoreError("write: the store was restored", outcome_unknown=True)
        return require_field(body, "rev", int)

    async def create_lease(self, duration_s):
        """Returns a new :class:`Lease` and the seconds until it expires."""
        body = await self._call(
            "lease",
            b"POST",
            "/briarspoke/kv-lease",
            {"ttl_time": format_duration(duration_s)},
        )
        return (
            Lease(lease_id=require_field(body, "lease", int), era=self.era),
            parse_duration_s(require_field(body, "ttl_time", str)),
        )

    async def renew_lease(self, lease):
        """Renews a :class:`Lease`.

        :raises LeaseExpiredError: if it has expired or was ended.
        """
        self._require_lease(lease, "renew")
        await self._call_repeatedly(
            "renew",
            b"POST",
            f"/briarspoke/kv-keep/{lease.lease_id}",
            timeout_s=CALL_TIMEOUT_S,
            repeat_s=RENEWAL_REPEAT_S,
        )
        self._require_lease(lease, "renew")

    async def end_lease(self, lease):
        """Ends a :class:`Lease`; the store removes its keys.

        :raises LeaseExpiredError: if it has ended before.
        """
        self._require_lease(lease, "end-lease")
        await self._call(
            "end-lease", b"DELETE", f"/briarspoke/kv-lease-end/{lease.lease_id}"
        )
