"""Which servers could not be connected to just now."""

from __future__ import annotations

# A server that refuses connections is tried again this often; all other
# requests for it are refused at once instead of waiting for a slot.
PROBE_EVERY_S = 0.25
# A server that has answered within this time is reachable, even though a new
# connection failed: on a busy machine single connects time out.
ANSWER_COUNTS_S = 0.5
# A failure this old says nothing any more; while requests come, their probes fail
# more often than that.
FAILURE_COUNTS_S = 1.0


class Reachability:
    """Remembers failed connections per server; times are monotonic seconds."""

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
        """Notes a failed connection; returns whether the server just got lost."""
        answered_at = self._answered_at_by_server.get(server_name)
        if answered_at is not None and now - answered_at < ANSWER_COUNTS_S:
            return False
        was_reachable = server_name not in self._probe_at_by_server
        self._failed_at_by_server[server_name] = now
        self._probe_at_by_server[server_name] = now + PROBE_EVERY_S
        return was_reachable

    def answered(self, server_name, now):
        """Notes an answer; returns whether the server was unreachable."""
        self._answered_at_by_server[server_name] = now
        if not self._probe_at_by_server:
            return False
        return self._probe_at_by_server.pop(server_name, None) is not None

    def may_try(self, server_name, now):
        """Returns whether a request may be sent towards a server.

        Where a server is unreachable, one caller in ``PROBE_EVERY_S`` gets True.
        """
        if not self._probe_at_by_server:
            return True
        probe_at = self._probe_at_by_server.get(server_name)
        if probe_at is None:
            return True
        if now - self._failed_at_by_server[server_name] > FAILURE_COUNTS_S:
            del self._probe_at_by_server[server_name]
            return True
        if now < probe_at:
            return False
        self._probe_at_by_server[server_name] = now + PROBE_EVERY_S
        return True

    def forget(self, server_name):
        """Drops a server that is no longer configured."""
        self._answered_at_by_server.pop(server_name, None)
        self._probe_at_by_server.pop(server_name, None)
