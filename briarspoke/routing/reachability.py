"""Tracks the servers to which connections have recently failed."""

from __future__ import annotations

# An unreachable server is probed with one request at this interval; all other
# requests for it are refused immediately instead of waiting for a slot.
PROBE_INTERVAL_S = 0.25
# A server that has answered within this time is reachable, even if a new connection
# fails: on a busy machine single connects time out.
RECENT_ANSWER_S = 0.5
# Older failures are ignored. While requests arrive for an unreachable server, their
# probes fail more often than this.
MAX_FAILURE_AGE_S = 1.0


class Reachability:
    """Records failed connections by server; times are monotonic seconds."""

    __slots__ = (
        "_answered_at_by_server",
        "_failed_at_by_server",
        "_probe_at_by_server",
    )

    def __init__(self):
        self._answered_at_by_server = {}
        self._failed_at_by_server = {}
        self._probe_at_by_server = {}

    def failed(self, server_name, now):
        """Records a failed connection; returns whether that made it unreachable."""
        answered_at = self._answered_at_by_server.get(server_name)
        if answered_at is not None and now - answered_at < RECENT_ANSWER_S:
            return False
        was_reachable = server_name not in self._probe_at_by_server
        self._failed_at_by_server[server_name] = now
        self._probe_at_by_server[server_name] = now + PROBE_INTERVAL_S
        return was_reachable

    def answered(self, server_name, now):
        """Records an answer; returns whether the server was unreachable before."""
        self._answered_at_by_server[server_name] = now
        if not self._probe_at_by_server:
            return False
        return self._probe_at_by_server.pop(server_name, None) is not None

    def may_try(self, server_name, now):
        """Returns whether a request may be sent to a server.

        For an unreachable server, one call in ``PROBE_INTERVAL_S`` returns True.
        """
        if not self._probe_at_by_server:
            return True
        probe_at = self._probe_at_by_server.get(server_name)
        if probe_at is None:
            return True
        if now - self._failed_at_by_server[server_name] > MAX_FAILURE_AGE_S:
            del self._probe_at_by_server[server_name]
            return True
        if now < probe_at:
            return False
        self._probe_at_by_server[server_name] = now + PROBE_INTERVAL_S
        return True

    def forget(self, server_name):
        """Removes a server that is no longer configured."""
        self._answered_at_by_server.pop(server_name, None)
        self._probe_at_by_server.pop(server_name, None)
