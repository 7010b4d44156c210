"""Stand-in for the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins import http11

PAGE_ITEMS = 500
PREFIX = "/briarspoke/"
PROTECTED_PREFIXES = ("op/", "servers/")


def _duration_s(text):
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


def _is_write(call):
    return call.start[1].startswith((f"{PREFIX}kv-txn", f"{PREFIX}kv-lease"))


class Store:
    """Key-value store with leases and watches, served over HTTP on loopback."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.port = None
        # Returns whether the answer to the next write is lost.
        self.loses_answer = lambda: False
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Opens a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Writes an item for the operator or a server."""
        self._apply([(key, value, lease)], [])

    def delete(self, key):
        """Removes an item for the operator or a server."""
        if key in self.items:
            self._apply([], [key])

    def _apply(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "create_rev": old["create_rev"] if old else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "rev": self.revision, "deleted": True}
                self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire(self):
        now = time.monotonic()
        for lease, (expires_at, _) in list(self._leases.items()):
            if now >= expires_at:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def _serve(self, reader, writer):
        try:
            while (call := await http11.read_message(reader)) is not None:
                status, body = await self._handle(call)
                if call.start[0] == "POST" and _is_write(call) and self.loses_answer():
                    # Nothing further comes on this connection.
                    await reader.read()
                    return
                data = json.dumps(body).encode()
                headers = {
                    "Content-Type": "application/json",
                    "Content-Length": len(data),
                }
                writer.write(http11.encode(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, call):
        self._expire()
        method, target, _ = call.start
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        name, _, argument = parts.path.removeprefix(PREFIX).partition("/")
        body = json.loads(call.body) if call.body else {}
        if (method, name) == ("GET", "kv-key"):
            item = self.items.get(query["key"])
            found = {**item, "store_revision": self.revision} if item else {}
            return (200 if item else 404), found
        if (method, name) == ("GET", "kv-range"):
            return 200, self._range(query)
        if (method, name) == ("GET", "kv-watch"):
            return await self._watch(query)
        if (method, name) == ("POST", "kv-txn"):
            return self._transaction(body)
        if (method, name) == ("POST", "kv-lease"):
            self._next_lease += 1
            duration_s = _duration_s(body["ttl_time"])
            expires_at = time.monotonic() + duration_s
            self._leases[self._next_lease] = (expires_at, duration_s)
            return 200, {"lease": self._next_lease, "ttl_time": body["ttl_time"]}
        if (method, name) == ("POST", "kv-keep"):
            return self._renew(int(argument))
        if (method, name) == ("DELETE", "kv-lease-end"):
            if int(argument) not in self._leases:
                return 404, {}
            self._end_lease(int(argument))
            return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            events = [
                event
                for event in self.events
                if event["rev"] > after
                and event["key"].startswith(query.get("prefix", ""))
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            # Leases are checked several times a second.
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.1))
            except TimeoutError:
                continue

    def _transaction(self, body):
        conditions = body.get("precondition", [])
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                found = [self.items.get(other["key"]) for other in conditions]
                return 412, {"items": [item for item in found if item]}
        puts, removals = body.get("puts", []), body.get("remove", [])
        keys = [put["key"] for put in puts] + list(removals)
        if any(key.startswith(PROTECTED_PREFIXES) for key in keys):
            return 403, {}
        if any(put["lease"] and put["lease"] not in self._leases for put in puts):
            return 404, {}
        self._apply(
            [(p["key"], base64.b64decode(p["value"]), p["lease"]) for p in puts],
            removals,
        )
        return 200, {"rev": self.revision}

    def _renew(self, lease):
        if lease not in self._leases:
            return 404, {}
        duration_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + duration_s, duration_s)
        return 200, {"ttl_time": f"{round(duration_s * 1000)}ms"}
