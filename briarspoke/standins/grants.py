"""Backend server's side of the grant protocol."""

from __future__ import annotations

from briarspoke.ownership.grants import grants_digest
from briarspoke.ownership.timing import GRANT_S


class Interval:
    """Time for which a server held a partition at one epoch, on the server's clock."""

    __slots__ = ("begin", "end", "epoch", "partition")

    def __init__(self, *, partition, epoch, begin, end):
        self.partition = partition
        self.epoch = epoch
        self.begin = begin
        self.end = end


class GrantTable:
    """Grants of one server, and a record of the intervals in which it held partitions.

    :param server: name of the server; calls that name another one are rejected.
    :param clock: function that returns the server's monotonic time in seconds.
    :param incarnation: identifier of this start of the server process.
    """

    def __init__(self, *, server, clock, incarnation="1"):
        self.server = server
        self.clock = clock
        self.incarnation = incarnation
        self.term = 0
        self.expires_at = 0.0
        self.held = {}
        self.intervals = []
        self.control_calls = 0
        self._open_intervals_by_partition = {}
        self._highest_epoch_by_partition = {}
        self._in_flight_by_partition = {}
        # Latest expiry time that any call has requested.
        self._latest_expiry = 0.0

    def restart(self, incarnation):
        """Drops all state except the recorded intervals, like a new process."""
        self._close_intervals()
        self.incarnation = incarnation
        self.term = 0
        self.expires_at = 0.0
        self.held = {}
        self._highest_epoch_by_partition = {}
        self._in_flight_by_partition = {}
        self._latest_expiry = 0.0

    def holds(self, partition, epoch):
        """Returns whether the partition is held at this epoch now."""
        return self.clock() < self.expires_at and self.held.get(partition) == epoch

    def fence_reason(self, headers):
        """Returns the reason why the grants forbid a request, or None.

        :param headers: header values by lower-case name, both in bytes.
        """
        partition = headers.get(b"briarspoke-partition", b"").decode()
        owner = headers.get(b"briarspoke-owner", b"").decode()
        try:
            epoch = int(headers.get(b"briarspoke-epoch", b""))
        except ValueError:
            return "no-epoch"
        if owner and owner != self.server:
            return "other-server"
        if self.clock() >= self.expires_at:
            return "expired"
        if partition not in self.held:
            return "not-held"
        if self.held[partition] != epoch:
            return "other-epoch"
        return None

    def request_started(self, partition):
        """Counts a request as in flight for its partition."""
        self._in_flight_by_partition[partition] = (
            self._in_flight_by_partition.get(partition, 0) + 1
        )

    def request_ended(self, partition):
        """Removes a request from the requests in flight."""
        remaining = self._in_flight_by_partition.get(partition, 0) - 1
        if remaining > 0:
            self._in_flight_by_partition[partition] = remaining
        else:
            self._in_flight_by_partition.pop(partition, None)

    def control(self, path, body):
        """Handles a call to the control endpoint and returns (status, JSON value)."""
        if path != "/_control/grants":
            return 404, {}
        self.control_calls += 1
        try:
            return self._handle_grants(body)
        except (AttributeError, KeyError, TypeError, ValueError):
            return 400, {}

    def _handle_grants(self, body):
        now = self.clock()
        if body["server"] != self.server:
            return 400, {}
        expires_at = body["expires_at"]
        # The monotonic clock may start again with the process, so an expiry time that
        # was computed for an earlier incarnation may lie far in the future.
        other_incarnation = (
            expires_at is not None and body["incarnation"] != self.incarnation
        )
        if body["term"] < self.term or other_incarnation:
            return 409, self._state(now)
        self.term = body["term"]
        value = self._state(now)
        # A call that a later one overtook must not restore revoked partitions.
        if (
            expires_at is not None
            and expires_at > now
            and expires_at >= self._latest_expiry
        ):
            self._latest_expiry = expires_at
            changed = self._apply(body, min(expires_at, now + GRANT_S))
            if changed:
                value["held"] = dict(self.held)
        value["busy"] = sorted(
            p for p in body["revoke"] if p in self._in_flight_by_partition
        )
        value["digest"] = grants_digest(self.held)
        return 200, value

    def _apply(self, body, expires_at):
        before = dict(self.held)
        if had_expired := self.clock() >= self.expires_at:
            self._close_intervals()
        for partition in body["revoke"]:
            self.held.pop(partition, None)
        if body["grants"] is not None:
            self.held = {
                partition: int(epoch)
                for partition, epoch in body["grants"].items()
                if int(epoch) >= self._highest_epoch_by_partition.get(partition, 0)
                and partition not in body["revoke"]
            }
            self._highest_epoch_by_partition.update(self.held)
        elif body["digest"] != grants_digest(self.held):
            # The controller expects other grants than the server holds, so none are
            # extended.
            self._update_intervals(expired=had_expired)
            return before != self.held
        self.expires_at = max(self.expires_at, expires_at)
        self._update_intervals(expired=self.clock() >= self.expires_at)
        return before != self.held

    def _state(self, now):
        return {"clock": now, "incarnation": self.incarnation, "term": self.term}

    def _update_intervals(self, *, expired):
        now = self.clock()
        held = {} if expired else self.held
        for partition, interval in list(self._open_intervals_by_partition.items()):
            if held.get(partition) != interval.epoch:
                interval.end = min(now, interval.end)
                del self._open_intervals_by_partition[partition]
        for partition, epoch in held.items():
            interval = self._open_intervals_by_partition.get(partition)
            if interval is None:
                interval = Interval(
                    partition=partition, epoch=epoch, begin=now, end=self.expires_at
                )
                self._open_intervals_by_partition[partition] = interval
                self.intervals.append(interval)
            interval.end = self.expires_at

    def _close_intervals(self):
        now = self.clock()
        for interval in self._open_intervals_by_partition.values():
            interval.end = min(now, interval.end)
        self._open_intervals_by_partition = {}
