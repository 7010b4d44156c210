"""A stand-in for the platform's key-value service and VM list."""

from __future__ import annotations

import base64
import collections
import json

from twisted.web import resource, server

MAX_VALUE_BYTES = 1_000_000
EVENTS_KEPT = 10_000


class Entry:
    """A stored value."""

    __slots__ = ("lease", "revision", "value")

    def __init__(self, *, value, revision, lease):
        self.value = value
        self.revision = revision
        self.lease = lease


class Lease:
    """A lease with its time to live in seconds."""

    __slots__ = ("expires_at", "ttl_s")

    def __init__(self, *, ttl_s, expires_at):
        self.ttl_s = ttl_s
        self.expires_at = expires_at


class StoreState:
    """The data of the stand-in, without I/O.

    Every method takes the monotonic time in seconds.
    """

    __slots__ = ("_next_lease", "entries", "events", "leases", "revision", "vms_by_id")

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.leases = {}
        self.events = collections.deque(maxlen=EVENTS_KEPT)
        self.vms_by_id = {}
        self._next_lease = 0

    def expire(self, now):
        """Deletes lapsed leases and the keys attached to them."""
        for lease_id in [i for i, e in self.leases.items() if e.expires_at <= now]:
            self.revoke(lease_id)

    def revoke(self, lease_id):
        """Deletes a lease and its keys."""
        self.leases.pop(lease_id, None)
        for key in [k for k, e in self.entries.items() if e.lease == lease_id]:
            self._delete(key)

    def put(self, key, value, expected_revision, lease):
        """Compares and swaps; returns (taken, revision of the key)."""
        entry = self.entries.get(key)
        current = entry.revision if entry else 0
        if current != expected_revision:
            return False, current
        self.revision += 1
        self.entries[key] = Entry(value=value, revision=self.revision, lease=lease)
        self.events.append((self.revision, key, value))
        return True, self.revision

    def delete(self, key, expected_revision):
        """Deletes a key at a revision; returns whether it did."""
        entry = self.entries.get(key)
        if entry is None or entry.revision != expected_revision:
            return False
        self._delete(key)
        return True

    def _delete(self, key):
        del self.entries[key]
        self.revision += 1
        self.events.append((self.revision, key, None))

    def grant_lease(self, ttl_s, now):
        """Returns the identifier of a new lease."""
        self._next_lease += 1
        lease_id = f"lease-{self._next_lease}"
        self.leases[lease_id] = Lease(ttl_s=ttl_s, expires_at=now + ttl_s)
        return lease_id

    def keep_alive(self, lease_id, now):
        """Extends a lease and returns it, or None if it has lapsed."""
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.ttl_s
        return lease

    def events_after(self, prefix, revision):
        """Returns the events of a prefix that are newer than a revision."""
        return [e for e in self.events if e[0] > revision and e[1].startswith(prefix)]


class Faults:
    """Faults that the stand-in injects.

    :param down: refuse every call by closing its connection.
    :param delay_s: wait before every call takes effect.
    :param lose_answers: number of coming writes that take effect without an
        answer.
    """

    __slots__ = ("delay_s", "down", "lose_answers")

    def __init__(self):
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0


class _Watch:
    __slots__ = ("after", "prefix", "request", "timer")

    def __init__(self, *, request, prefix, after, timer):
        self.request = request
        self.prefix = prefix
        self.after = after
        self.timer = timer


class StoreStandIn(resource.Resource):
    """The stand-in as a ``twisted.web`` resource.

    :param clock: function that returns monotonic seconds.
    """

    isLeaf = True

    def __init__(self, *, reactor, clock):
        super().__init__()
        self.reactor = reactor
        self.clock = clock
        self.state = StoreState()
        self.faults = Faults()
        self.calls_by_kind = collections.Counter()
        self._watches = []

    def render(self, request):
        """Answers one call, faults included."""
        if self.faults.down:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        body = request.content.read()
        gone = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))
        self.reactor.callLater(self.faults.delay_s, self._handle, request, body, gone)
        return server.NOT_DONE_YET

    def _handle(self, request, body, gone):
        if self.faults.down:
            if not gone:
                request.transport.abortConnection()
            return
        self.state.expire(self.clock())
        path = request.path.decode().removeprefix("/v1/")
        method = request.method.decode()
        kind, _, rest = path.partition("/")
        handler = getattr(self, f"_{kind}_{method.lower()}", None)
        if handler is None:
            self._reply(request, gone, 404, {})
            return
        try:
            value = json.loads(body) if body else {}
            reply = handler(request, rest, value)
        except (ValueError, KeyError, TypeError):
            reply = 400, {}
        self._notify_watches()
        if reply is None:
            return
        if method in ("PUT", "DELETE") and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            if not gone:
                request.transport.abortConnection()
            return
        self._reply(request, gone, *reply)

    def _reply(self, request, gone, status, value):
        if gone:
            return
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        request.write(json.dumps(value).encode())
        request.finish()

    # Key-value calls.

    def _kv_get(self, request, key, body):
        self.calls_by_kind["get"] += 1
        if not key:
            prefix = _argument(request, "prefix", "")
            entries = [
                _entry_json(name, entry)
                for name, entry in sorted(self.state.entries.items())
                if name.startswith(prefix)
            ]
            return 200, {"revision": self.state.revision, "entries": entries}
        entry = self.state.entries.get(key)
        if entry is None:
            return 404, {"revision": self.state.revision}
        return 200, _entry_json(key, entry)

    def _kv_put(self, request, key, body):
        self.calls_by_kind["put"] += 1
        value = base64.b64decode(body["value"])
        if len(value) > MAX_VALUE_BYTES:
            return 413, {}
        lease = body.get("lease")
        if lease is not None and lease not in self.state.leases:
            return 404, {}
        taken, revision = self.state.put(key, value, body["expected_revision"], lease)
        return (200 if taken else 409), {"revision": revision}

    def _kv_delete(self, request, key, body):
        self.calls_by_kind["delete"] += 1
        expected = int(_argument(request, "expected_revision", "0"))
        return (200 if self.state.delete(key, expected) else 409), {}

    def _leases_post(self, request, rest, body):
        lease_id = rest.partition("/")[0]
        if not lease_id:
            self.calls_by_kind["lease"] += 1
            ttl_s = float(body["ttl_s"])
            lease_id = self.state.grant_lease(ttl_s, self.clock())
            return 200, {"lease": lease_id, "ttl_s": ttl_s}
        self.calls_by_kind["keepalive"] += 1
        lease = self.state.keep_alive(lease_id, self.clock())
        return (200, {"ttl_s": lease.ttl_s}) if lease else (404, {})

    def _leases_delete(self, request, lease_id, body):
        self.calls_by_kind["lease"] += 1
        self.state.revoke(lease_id)
        return 200, {}

    def _vms_get(self, request, rest, body):
        self.calls_by_kind["vms"] += 1
        return 200, {"vms": list(self.state.vms_by_id.values())}

    # Watches.

    def _watch_get(self, request, rest, body):
        self.calls_by_kind["watch"] += 1
        prefix = _argument(request, "prefix", "")
        after = int(_argument(request, "after", "0"))
        wait_s = min(float(_argument(request, "wait_s", "30")), 60.0)
        events = self.state.events_after(prefix, after)
        if events:
            return 200, self._events_json(events)
        watch = _Watch(request=request, prefix=prefix, after=after, timer=None)
        watch.timer = self.reactor.callLater(wait_s, self._end_watch, watch, [])
        self._watches.append(watch)
        request.notifyFinish().addErrback(lambda _: self._drop_watch(watch))
        return None

    def _notify_watches(self):
        for watch in list(self._watches):
            events = self.state.events_after(watch.prefix, watch.after)
            if events:
                self._end_watch(watch, events)

    def _end_watch(self, watch, events):
        self._drop_watch(watch)
        self._reply(watch.request, [], 200, self._events_json(events))

    def _drop_watch(self, watch):
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer.active():
            watch.timer.cancel()

    def _events_json(self, events):
        return {
            "revision": self.state.revision,
            "events": [
                {
                    "key": key,
                    "revision": revision,
                    "value": None
                    if value is None
                    else base64.b64encode(value).decode(),
                }
                for revision, key, value in events
            ],
        }


def _argument(request, name, default):
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def _entry_json(key, entry):
    return {
        "key": key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "lease": entry.lease,
    }


def site(stand_in):
    """Returns a ``twisted.web`` site that serves the stand-in."""
    factory = server.Site(stand_in)
    factory.noisy = False
    factory.displayTracebacks = False
    return factory
