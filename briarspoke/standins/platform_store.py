"""State of the stand-in for the platform's key-value store, without I/O."""

from __future__ import annotations

import base64
import json
from urllib.parse import parse_qs, urlsplit

from briarspoke.platform import headers

# Older changes are dropped, as after a compaction.
MAX_HISTORY_EVENTS = 5_000
PAGE_SIZE = 500


class Response:
    """Answer to a call.

    :param body: JSON value, None for no body.
    :param headers: list of (name in lower case, value) in bytes.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, body=None, *, headers):
        self.status = status
        self.body = body
        self.headers = headers

    def encode(self):
        """Returns the body encoded as JSON."""
        return b"" if self.body is None else json.dumps(self.body).encode()


class PendingWatch:
    """Watch call that is answered once a key changes or the time is over.

    :param after: revision after which changes are reported.
    :param expires_at: monotonic time at which it is answered without changes.
    """

    __slots__ = ("after", "expires_at", "prefix")

    def __init__(self, *, prefix, after, expires_at):
        self.prefix = prefix
        self.after = after
        self.expires_at = expires_at


class StoreCopy:
    """State of a store at one time, from which the store can be restored.

    :param leases: ``{lease: (seconds left, duration in seconds)}``.
    """

    __slots__ = (
        "history",
        "items",
        "leases",
        "next_lease",
        "oldest_revision",
        "revision",
    )

    def __init__(
        self, *, items, revision, history, oldest_revision, leases, next_lease
    ):
        self.items = items
        self.revision = revision
        self.history = history
        self.oldest_revision = oldest_revision
        self.leases = leases
        self.next_lease = next_lease


class StoreModel:
    """Items, leases and change history of the store.

    :param clock: function that returns the monotonic time in seconds.
    :param protected_prefixes: prefixes of keys that calls may not write; only
        :meth:`put` and :meth:`delete` do, on behalf of the operator and the servers.
    """

    def __init__(self, *, clock, protected_prefixes=("op/", "servers/")):
        self.era = 1
        self.revision = 1
        self.items = {}
        self.oldest_revision = 1
        self._clock = clock
        self._protected_prefixes = protected_prefixes
        self._history = []
        self._leases = {}
        self._next_lease = 100
        # Function that is called after each change.
        self.changed = lambda: None

    # Direct access for tests, the operator and the servers.

    def put(self, key, value, lease=0):
        """Writes an item.

        :param value: bytes.
        :param lease: identifier of the lease that the item is attached to, 0 for none.
        """
        self._apply([(key, value, lease)], [])

    def delete(self, key):
        """Deletes an item."""
        self._apply([], [key])

    def forget_history(self):
        """Drops the history; watches from an earlier revision then get status 410."""
        self._history.clear()
        self.oldest_revision = self.revision + 1

    def end_all_leases(self):
        """Ends every lease, as can happen in an outage of the store."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def extend_all_leases(self, seconds):
        """Extends every lease, as if leases had been paused in an outage."""
        self._leases = {
            lease: (expires_at + seconds, duration_s)
            for lease, (expires_at, duration_s) in self._leases.items()
        }

    def copy(self):
        """Returns a :class:`StoreCopy` of the present state."""
        now = self._clock()
        return StoreCopy(
            items=dict(self.items),
            revision=self.revision,
            history=list(self._history),
            oldest_revision=self.oldest_revision,
            leases={
                lease: (expires_at - now, duration_s)
                for lease, (expires_at, duration_s) in self._leases.items()
            },
            next_lease=self._next_lease,
        )

    def restore(self, copy):
        """Replaces the state by that of a copy, which begins a new era.

        Changes since the copy are lost, and their revisions and leases are given out
        again. Leases of the copy run on from now.
        """
        now = self._clock()
        self.era += 1
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.oldest_revision = copy.oldest_revision
        self._history = list(copy.history)
        self._leases = {
            lease: (now + left_s, duration_s)
            for lease, (left_s, duration_s) in copy.leases.items()
        }
        self._next_lease = copy.next_lease
        self.changed()

    @property
    def headers(self):
        """Headers of every answer, as (name in lower case, value) in bytes."""
        return [(headers.STORE_ERA, b"%d" % self.era)]

    def _response(self, status, body=None):
        return Response(status, body, headers=self.headers)

    def call(self, method, target, body):
        """Handles a call and returns its :class:`Response`.

        A watch without changes yet returns a :class:`PendingWatch`, which the caller
        passes to :meth:`poll_watch` until it is answered.

        :param target: path with query string.
        """
        self.expire()
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        path = parts.path.removeprefix("/briarspoke/")
        name, _, argument = path.partition("/")
        handler = self._handlers.get((method, name))
        if handler is None:
            return self._response(404)
        return handler(self, query, json.loads(body) if body else {}, argument)

    def _key(self, query, body, argument):
        item = self.items.get(query["key"])
        return (
            self._response(404)
            if item is None
            else self._response(200, self._item_json(item))
        )

    def _range(self, query, body, argument):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return self._response(
            200,
            {
                "items": [self._item_json(self.items[key]) for key in keys[:PAGE_SIZE]],
                "has_more": len(keys) > PAGE_SIZE,
                "store_revision": self.revision,
            },
        )

    def _watch(self, query, body, argument):
        watch = PendingWatch(
            prefix=query.get("prefix", ""),
            after=int(query["after"]),
            expires_at=self._clock() + int(query["wait_ms"]) / 1000,
        )
        return self.poll_watch(watch) or watch

    def poll_watch(self, watch):
        """Returns the :class:`Response` to a watch, or None if it is still pending."""
        if not self.oldest_revision <= watch.after + 1 <= self.revision + 1:
            return self._response(410)
        events = [
            event
            for event in self._history
            if event["rev"] > watch.after and event["key"].startswith(watch.prefix)
        ]
        if not events and self._clock() < watch.expires_at:
            return None
        return self._response(200, {"events": events, "store_revision": self.revision})

    def _txn(self, query, body, argument):
        preconditions = body.get("precondition", [])
        for precondition in preconditions:
            item = self.items.get(precondition["key"])
            if (item["rev"] if item else 0) != precondition["rev"]:
                found = [self.items.get(p["key"]) for p in preconditions]
                current = [self._item_json(item) for item in found if item]
                return self._response(412, {"items": current})
        puts = body.get("puts", [])
        keys = [put["key"] for put in puts] + list(body.get("remove", []))
        if any(key.startswith(self._protected_prefixes) for key in keys):
            return self._response(403)
        if any(put["lease"] and put["lease"] not in self._leases for put in puts):
            return self._response(404)
        self._apply(
            [(p["key"], base64.b64decode(p["value"]), p["lease"]) for p in puts],
            body.get("remove", []),
        )
        return self._response(200, {"rev": self.revision})

    def _grant_lease(self, query, body, argument):
        ttl = body["ttl_time"]
        duration_s = float(ttl[:-2]) / 1000
        self._next_lease += 1
        self._leases[self._next_lease] = (self._clock() + duration_s, duration_s)
        return self._response(200, {"lease": self._next_lease, "ttl_time": ttl})

    def _keep_alive(self, query, body, argument):
        lease = int(argument)
        if lease not in self._leases:
            return self._response(404)
        duration_s = self._leases[lease][1]
        self._leases[lease] = (self._clock() + duration_s, duration_s)
        return self._response(200, {"ttl_time": f"{round(duration_s * 1000)}ms"})

    def _revoke_lease(self, query, body, argument):
        if int(argument) not in self._leases:
            return self._response(404)
        self._end_lease(int(argument))
        return self._response(200, {})

    _handlers = {
        ("GET", "kv-key"): _key,
        ("GET", "kv-range"): _range,
        ("GET", "kv-watch"): _watch,
        ("POST", "kv-txn"): _txn,
        ("POST", "kv-lease"): _grant_lease,
        ("POST", "kv-keep"): _keep_alive,
        ("DELETE", "kv-lease-end"): _revoke_lease,
    }

    def expire(self):
        """Ends the expired leases and deletes their keys."""
        now = self._clock()
        for lease, (expires_at, _) in list(self._leases.items()):
            if now >= expires_at:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    def _apply(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            existing = self.items.get(key)
            item = {
                "key": key,
                "value": value,
                "rev": self.revision,
                "create_rev": existing["create_rev"] if existing else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self._history.append(self._item_json(item))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self._history.append(
                    {"key": key, "rev": self.revision, "deleted": True}
                )
        if len(self._history) > MAX_HISTORY_EVENTS:
            del self._history[: -MAX_HISTORY_EVENTS // 2]
            self.oldest_revision = self._history[0]["rev"]
        self.changed()

    def _item_json(self, item):
        return {**item, "value": base64.b64encode(item["value"]).decode()}
