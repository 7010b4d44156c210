"""Stand-in for the platform's key-value service and VM list, served over HTTP."""

from __future__ import annotations

import base64
import collections
import json

from twisted.web import resource, server

MAX_VALUE_BYTES = 1_000_000
MAX_EVENTS = 10_000
MAX_EVENT_BYTES = 32_000_000
# The platform allows several hundred writes/s and about 2,000 reads/s. Calls beyond
# that are queued in order of arrival for at most MAX_CALL_WAIT_S.
WRITES_PER_S = 500.0
READS_PER_S = 2000.0
MAX_CALL_WAIT_S = 1.0
BURST_S = 0.05
MAX_WATCH_WAIT_S = 60.0
MAX_LEASE_TTL_S = 3600.0


class Entry:
    """Stored value with the revision of its last write and its lease, or None."""

    __slots__ = ("lease", "revision", "value")

    def __init__(self, *, value, revision, lease):
        self.value = value
        self.revision = revision
        self.lease = lease


class Lease:
    """Lease with its time to live in seconds and the time at which it expires."""

    __slots__ = ("expires_at", "ttl_s")

    def __init__(self, *, ttl_s, expires_at):
        self.ttl_s = ttl_s
        self.expires_at = expires_at


class StoreState:
    """Keys, leases, VMs and change history of the stand-in, without I/O.

    Methods that depend on time take the monotonic time in seconds as ``now``.

    :param max_events: maximum number of changes in the history.
    """

    __slots__ = (
        "_event_bytes",
        "_max_events",
        "_next_lease",
        "compacted_revision",
        "entries",
        "events",
        "leases",
        "revision",
        "vms_by_id",
    )

    def __init__(self, *, max_events=MAX_EVENTS):
        self.revision = 0
        self.entries = {}
        self.leases = {}
        self.events = collections.deque()
        # Revision of the newest event that was dropped from the history.
        self.compacted_revision = 0
        self.vms_by_id = {}
        self._max_events = max_events
        self._event_bytes = 0
        self._next_lease = 0

    def expire(self, now):
        """Deletes expired leases and the keys attached to them."""
        for lease_id in [i for i, e in self.leases.items() if e.expires_at <= now]:
            self.revoke(lease_id)

    def revoke(self, lease_id):
        """Deletes a lease and the keys attached to it."""
        self.leases.pop(lease_id, None)
        for key in [k for k, e in self.entries.items() if e.lease == lease_id]:
            self._delete(key)

    def put(self, key, value, expected_revision, lease):
        """Writes a key if it is at the expected revision, 0 for a missing key.

        :returns: (whether the value was stored, current revision of the key).
        """
        entry = self.entries.get(key)
        current = entry.revision if entry else 0
        if current != expected_revision:
            return False, current
        self.revision += 1
        self.entries[key] = Entry(value=value, revision=self.revision, lease=lease)
        self._record(key, value)
        return True, self.revision

    def delete(self, key, expected_revision):
        """Deletes a key if it is at the expected revision.

        :returns: whether the key was deleted.
        """
        entry = self.entries.get(key)
        if entry is None or entry.revision != expected_revision:
            return False
        self._delete(key)
        return True

    def _delete(self, key):
        del self.entries[key]
        self.revision += 1
        self._record(key, None)

    def _record(self, key, value):
        self.events.append((self.revision, key, value))
        self._event_bytes += len(value or b"")
        while (
            len(self.events) > self._max_events or self._event_bytes > MAX_EVENT_BYTES
        ):
            self.compacted_revision, _, old = self.events.popleft()
            self._event_bytes -= len(old or b"")

    def grant_lease(self, ttl_s, now):
        """Creates a lease and returns its identifier."""
        self._next_lease += 1
        lease_id = f"lease-{self._next_lease}"
        self.leases[lease_id] = Lease(ttl_s=ttl_s, expires_at=now + ttl_s)
        return lease_id

    def keep_alive(self, lease_id, now):
        """Renews a lease and returns it, or None if it has expired."""
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.ttl_s
        return lease

    def next_expiry(self):
        """Returns the time at which the next lease expires, or None without leases."""
        return min((lease.expires_at for lease in self.leases.values()), default=None)

    def covers(self, revision):
        """Returns whether the history holds every event after a revision."""
        return self.compacted_revision <= revision <= self.revision

    def events_after(self, prefix, revision):
        """Returns the events after a revision for keys with a prefix, oldest first.

        :returns: list of (revision, key, value), where None stands for a deletion.
        """
        events = []
        for event in reversed(self.events):
            if event[0] <= revision:
                break
            if event[1].startswith(prefix):
                events.append(event)
        events.reverse()
        return events


class RateLimiter:
    """Delays calls to keep them within a rate, in order of arrival.

    :param calls_per_s: maximum rate of calls.
    """

    __slots__ = ("_next_call_at", "calls_per_s")

    def __init__(self, *, calls_per_s):
        self.calls_per_s = calls_per_s
        self._next_call_at = 0.0

    def delay(self, now):
        """Returns the delay of a call in seconds, or None if it would be too long."""
        next_call_at = max(self._next_call_at, now - BURST_S)
        wait_s = max(0.0, next_call_at - now)
        if wait_s > MAX_CALL_WAIT_S:
            return None
        self._next_call_at = next_call_at + 1.0 / self.calls_per_s
        return wait_s


class Faults:
    """Faults that the stand-in injects.

    :param down: whether the connection of every call is aborted.
    :param delay_s: delay in seconds before each call takes effect.
    :param read_delay_s: additional delay in seconds of reads other than watches.
    :param lose_answers: number of next writes that take effect without an answer.
    :param lose_lease_answers: number of next lease grants and keepalives that take
        effect without an answer.
    :param fail_writes: number of next writes and lease calls that are answered with
        status 503 and have no effect.
    :param stale_vms: VM list that is served instead of the current one, or None.
    """

    __slots__ = (
        "delay_s",
        "down",
        "fail_writes",
        "lose_answers",
        "lose_lease_answers",
        "read_delay_s",
        "stale_vms",
    )

    def __init__(self):
        self.down = False
        self.delay_s = 0.0
        self.read_delay_s = 0.0
        self.lose_answers = 0
        self.lose_lease_answers = 0
        self.fail_writes = 0
        self.stale_vms = None


class _Watch:
    __slots__ = ("after", "prefix", "request", "timer")

    def __init__(self, *, request, prefix, after, timer):
        self.request = request
        self.prefix = prefix
        self.after = after
        self.timer = timer


class StoreStandIn(resource.Resource):
    """Store stand-in as a ``twisted.web`` resource.

    :param clock: function that returns the monotonic time in seconds.
    """

    isLeaf = True

    def __init__(
        self,
        *,
        reactor,
        clock,
        writes_per_s=WRITES_PER_S,
        reads_per_s=READS_PER_S,
        max_events=MAX_EVENTS,
    ):
        super().__init__()
        self.reactor = reactor
        self.clock = clock
        self.state = StoreState(max_events=max_events)
        self.faults = Faults()
        self.calls_by_kind = collections.Counter()
        self._watches = []
        self._writes = RateLimiter(calls_per_s=writes_per_s)
        self._reads = RateLimiter(calls_per_s=reads_per_s)
        self._expiry_timer = None

    def render(self, request):
        """Handles a call with the rate limits and the injected faults."""
        body = request.content.read()
        if request.path == b"/_faults":
            self._reply(request, [], *self._handle_faults(request, body))
            return server.NOT_DONE_YET
        if self.faults.down:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        disconnected = []
        request.notifyFinish().addErrback(lambda _: disconnected.append(True))
        is_read = request.method == b"GET"
        delay_s = (self._reads if is_read else self._writes).delay(self.clock())
        if delay_s is None:
            self.calls_by_kind["limited"] += 1
            self._reply(request, disconnected, 429, {})
            return server.NOT_DONE_YET
        delay_s += self.faults.delay_s
        if is_read and not request.path.startswith(b"/v1/watch"):
            delay_s += self.faults.read_delay_s
        self.reactor.callLater(delay_s, self._handle, request, body, disconnected)
        return server.NOT_DONE_YET

    def _handle(self, request, body, disconnected):
        if self.faults.down:
            if not disconnected:
                request.transport.abortConnection()
            return
        if disconnected and request.method == b"GET":
            return
        self.state.expire(self.clock())
        path = request.path.decode().removeprefix("/v1/")
        method = request.method.decode()
        kind, _, rest = path.partition("/")
        handler = getattr(self, f"_{kind}_{method.lower()}", None)
        if handler is None:
            self._reply(request, disconnected, 404, {})
            return
        if method != "GET" and self.faults.fail_writes > 0:
            self.faults.fail_writes -= 1
            self.calls_by_kind["failed"] += 1
            self._reply(request, disconnected, 503, {})
            return
        try:
            value = json.loads(body) if body else {}
            reply = handler(request, rest, value)
        except (ValueError, KeyError, TypeError):
            reply = 400, {}
        self._state_changed()
        if reply is None:
            return
        if self._loses_answer(method):
            if not disconnected:
                request.transport.abortConnection()
            return
        self._reply(request, disconnected, *reply)

    def _loses_answer(self, method):
        if method in ("PUT", "DELETE") and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        if method == "POST" and self.faults.lose_lease_answers > 0:
            self.faults.lose_lease_answers -= 1
            return True
        return False

    def _reply(self, request, disconnected, status, value):
        if disconnected:
            return
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        request.write(json.dumps(value).encode())
        request.finish()

    def _state_changed(self):
        self._notify_watches()
        # A timer expires leases on time, not only when the next call arrives.
        if self._expiry_timer is not None and self._expiry_timer.active():
            self._expiry_timer.cancel()
        self._expiry_timer = None
        expires_at = self.state.next_expiry()
        if expires_at is not None:
            delay_s = max(0.0, expires_at - self.clock())
            self._expiry_timer = self.reactor.callLater(delay_s, self._expire)

    def _expire(self):
        self.state.expire(self.clock())
        self._state_changed()

    def set_down(self, down):
        """Starts or ends an outage; its start also aborts the pending watches."""
        self.faults.down = down
        if down:
            for watch in list(self._watches):
                self._drop_watch(watch)
                watch.request.transport.abortConnection()

    def expire_leases(self, lease_ids=None):
        """Expires leases before their time to live is over.

        :param lease_ids: identifiers of the leases, or None for all.
        """
        for lease_id in list(self.state.leases) if lease_ids is None else lease_ids:
            self.state.revoke(lease_id)
        self._state_changed()

    def freeze_vm_list(self, frozen):
        """Keeps serving the current VM list despite changes, or stops doing so."""
        vms = list(self.state.vms_by_id.values())
        self.faults.stale_vms = vms if frozen else None

    def _handle_faults(self, request, body):
        if request.method not in (b"GET", b"POST"):
            return 405, {}
        if request.method == b"POST":
            try:
                self._set_faults(json.loads(body))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                return 400, {"error": str(error)}
        return 200, {
            "faults": {name: getattr(self.faults, name) for name in Faults.__slots__},
            "calls_by_kind": dict(self.calls_by_kind),
            "leases": sorted(self.state.leases),
            "revision": self.state.revision,
            "watches": len(self._watches),
        }

    def _set_faults(self, changes):
        handlers = {
            "down": lambda value: self.set_down(bool(value)),
            "stale_vms": lambda value: self.freeze_vm_list(bool(value)),
            "lapse_leases": lambda value: self.expire_leases(
                None if value is True else value
            ),
            "vms": self._set_vms,
        }
        for name in ("delay_s", "read_delay_s"):
            handlers[name] = lambda value, n=name: setattr(self.faults, n, float(value))
        for name in ("lose_answers", "lose_lease_answers", "fail_writes"):
            handlers[name] = lambda value, n=name: setattr(self.faults, n, int(value))
        unknown = sorted(changes.keys() - handlers.keys())
        if unknown:
            raise ValueError(f"unknown faults: {', '.join(unknown)}")
        for name, value in changes.items():
            handlers[name](value)

    def _set_vms(self, vms):
        self.state.vms_by_id = {vm["id"]: vm for vm in vms}

    def _kv_get(self, request, key, body):
        self.calls_by_kind["get" if key else "list"] += 1
        if not key:
            prefix = _query_argument(request, "prefix", "")
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
        stored, revision = self.state.put(key, value, body["expected_revision"], lease)
        return (200 if stored else 409), {"revision": revision}

    def _kv_delete(self, request, key, body):
        self.calls_by_kind["delete"] += 1
        expected = int(_query_argument(request, "expected_revision", "0"))
        return (200 if self.state.delete(key, expected) else 409), {}

    def _leases_post(self, request, rest, body):
        lease_id = rest.partition("/")[0]
        if not lease_id:
            self.calls_by_kind["lease"] += 1
            ttl_s = min(float(body["ttl_s"]), MAX_LEASE_TTL_S)
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
        if self.faults.stale_vms is not None:
            return 200, {"vms": self.faults.stale_vms}
        return 200, {"vms": list(self.state.vms_by_id.values())}

    def _watch_get(self, request, rest, body):
        self.calls_by_kind["watch"] += 1
        prefix = _query_argument(request, "prefix", "")
        after = int(_query_argument(request, "after", "0"))
        wait_s = min(float(_query_argument(request, "wait_s", "30")), MAX_WATCH_WAIT_S)
        if not self.state.covers(after):
            return 410, {"revision": self.state.revision}
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


def _query_argument(request, name, default):
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
    """Returns a ``twisted.web`` site that serves a :class:`StoreStandIn`."""
    factory = server.Site(stand_in)
    factory.noisy = False
    factory.displayTracebacks = False
    return factory
