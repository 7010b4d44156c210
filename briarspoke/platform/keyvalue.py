"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import json
from urllib.parse import quote

from briarspoke.errors import BriarspokeError
from briarspoke.platform.values import DecodeError, member, milliseconds, seconds

CALL_TIMEOUT_S = 1.0
# A probe has nothing to carry out and next to nothing to send.
PROBE_TIMEOUT_S = 0.5
# A page of items may have to share a slow link with callers.
READ_TIMEOUT_S = 3.0
# A key that does not exist.
PROBE_KEY = "briarspoke/probe"
# A watch answers after its wait; later than this much, its connection is dead.
WATCH_GRACE_S = 0.6


class StoreError(BriarspokeError):
    """A call to the store failed.

    :param unknown: whether a write may have been done or may still be done.
    """

    def __init__(self, message, *, unknown=False):
        super().__init__(message)
        self.unknown = unknown


class HistoryGoneError(StoreError):
    """The store no longer has the changes that a watch asks for."""


class LeaseExpiredError(StoreError):
    """The lease has ended."""


class ConditionFailedError(StoreError):
    """A key has not the revision that a transaction requires."""


class Item:
    """A key with its value.

    :param value: bytes, or None if the key was removed.
    :param revision: store revision of the last change.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, *, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class Changes:
    """Items with the store revision up to which they are complete."""

    __slots__ = ("items", "revision")

    def __init__(self, *, items, revision):
        self.items = items
        self.revision = revision


def _item(body):
    if body.get("deleted"):
        value = None
    else:
        try:
            value = base64.b64decode(member(body, "value", str), validate=True)
        except ValueError as error:
            raise DecodeError("a value is not base64") from error
    return Item(
        key=member(body, "key", str), value=value, revision=member(body, "rev", int)
    )


class KeyValueClient:
    """Calls of the store; each returns a Deferred or is a coroutine.

    :param http: the :class:`briarspoke.entry.httpclient.HttpClient` to the store.
    :param count: called with (kind, outcome, seconds) of each call.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, http, count, clock):
        self._http = http
        self._count = count
        self._clock = clock

    async def _call(self, kind, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
        data = b"" if body is None else json.dumps(body).encode()
        sent_at = self._clock()
        answer = await self._http.call(method, path, data, timeout_s=timeout_s)
        outcome = str(answer.status) if answer.status else answer.failure
        self._count(kind, outcome, self._clock() - sent_at)
        if answer.status is None:
            raise StoreError(f"{kind}: {answer.failure}", unknown=answer.sent)
        if answer.status == 410:
            raise HistoryGoneError(f"{kind}: the history is gone")
        if answer.status == 404 and kind != "probe":
            raise LeaseExpiredError(f"{kind}: the lease has ended")
        if answer.status == 412:
            raise ConditionFailedError(f"{kind}: a key was changed by another")
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise StoreError(f"{kind}: status {answer.status}")
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise StoreError(f"{kind}: unreadable answer", unknown=True) from error

    async def probe(self):
        """Returns if the store answers.

        :raises StoreError: if it does not.
        """
        path = f"/briarspoke/kv-key?key={PROBE_KEY}"
        await self._call("probe", b"GET", path, timeout_s=PROBE_TIMEOUT_S)

    async def read_all(self, prefix=""):
        """Returns :class:`Changes` with every item whose key begins with a prefix.

        Pages are no snapshot, so the revision is that of the first page: the
        watch from there repeats what changed between pages.
        """
        items = []
        revision = None
        after = ""
        while True:
            path = "/briarspoke/kv-range?prefix=" + quote(prefix, safe="")
            if after:
                path += "&after=" + quote(after, safe="")
            body = await self._call("range", b"GET", path, timeout_s=READ_TIMEOUT_S)
            items += [_item(entry) for entry in member(body, "items", list)]
            if revision is None:
                revision = member(body, "store_revision", int)
            if not body.get("has_more") or not items:
                return Changes(items=items, revision=revision)
            after = items[-1].key

    async def watch(self, after, wait_s):
        """Returns :class:`Changes` later than a revision, empty after the wait."""
        path = f"/briarspoke/kv-watch?prefix=&after={after}&wait_ms={int(wait_s * 1e3)}"
        body = await self._call("watch", b"GET", path, timeout_s=wait_s + WATCH_GRACE_S)
        items = [_item(event) for event in member(body, "events", list)]
        return Changes(items=items, revision=member(body, "store_revision", int))

    async def write(self, *, expected, puts=(), removals=(), lease=0):
        """Writes all or nothing and returns the new revision.

        :param expected: ``{key: revision}``; 0 means that the key must not exist.
        :param puts: ``{key: bytes}``.
        :param lease: lease that the written keys belong to, or 0.
        """
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
                        "lease": lease,
                    }
                    for key, value in dict(puts).items()
                ],
                "remove": list(removals),
            },
        )
        return member(body, "rev", int)

    async def create_lease(self, duration_s):
        """Returns (lease, seconds) of a new lease."""
        body = await self._call(
            "lease",
            b"POST",
            "/briarspoke/kv-lease",
            {"ttl_time": milliseconds(duration_s)},
        )
        return member(body, "lease", int), seconds(member(body, "ttl_time", str))

    async def renew_lease(self, lease):
        """Renews a lease.

        :raises LeaseExpiredError: if it has ended.
        """
        await self._call("renew", b"POST", f"/briarspoke/kv-keep/{lease}")

    async def end_lease(self, lease):
        """Ends a lease, which removes its keys."""
        await self._call("end-lease", b"DELETE", f"/briarspoke/kv-lease-end/{lease}")
