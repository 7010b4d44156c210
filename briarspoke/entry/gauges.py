"""Gauges of an entry VM on its metrics page."""

from __future__ import annotations

from briarspoke.entry import logs, room


class LoopLag:
    """Largest delay of a periodic call since the last call of :meth:`take`.

    :param period_s: seconds between two calls on an idle loop.
    :ivar largest_s: that delay in seconds.
    """

    __slots__ = ("_called_at", "_period_s", "largest_s")

    def __init__(self, *, period_s):
        self._period_s = period_s
        self._called_at = None
        self.largest_s = 0.0

    def record_call(self, now):
        """Records that the periodic call ran at a monotonic time."""
        if self._called_at is not None:
            delay_s = now - self._called_at - self._period_s
            self.largest_s = max(self.largest_s, delay_s)
        self._called_at = now

    def take(self):
        """Returns the largest delay in seconds, and resets it."""
        largest_s, self.largest_s = self.largest_s, 0.0
        return largest_s


def _none_to_nan(value):
    return float("nan") if value is None else value


def _age(now, since):
    # NaN and not 0 if the event has never happened.
    return float("nan") if since is None else now - since


def _limited_servers(node):
    return {
        dispatcher.name: sum(s.limit.per_s is not None for s in servers)
        for dispatcher in node.dispatchers()
        if (servers := dispatcher.servers.values())
    }


def _owner_limits(node):
    counts = dict.fromkeys(room.REASONS, 0)
    if node.routing_table is not None:
        for dispatcher in node.dispatchers():
            if dispatcher.keyed:
                for server in dispatcher.servers.values():
                    counts[dispatcher.selection.owner_limits.limit(server)[1]] += 1
    return counts


def _capacity_shares(node):
    return {
        dispatcher.name: dispatcher.selection.share
        for dispatcher in node.dispatchers()
        if node.routing_table is not None and not dispatcher.keyed
    }


def _hedge_delays(node):
    return {
        dispatcher.name: dispatcher.copies.last_delay_s
        for dispatcher in node.dispatchers()
        if dispatcher.copies.last_delay_s is not None
    }


def register(node, loop_lag):
    """Registers the gauges of an entry VM with its metrics.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param loop_lag: the :class:`LoopLag` of its event loop.
    """
    gauge = node.metrics.gauge
    view = node.view
    maps = node.key_maps.by_service
    gauge("configuration_version", lambda: node.configuration_version)
    gauge(
        "configuration_age_seconds", lambda: _age(node.now(), node.configuration_since)
    )
    gauge("store_reachable", lambda: int(view.reachable))
    gauge("store_age_seconds", lambda: _age(node.now(), view.last_contact))
    gauge("servers_known", lambda: sum(1 for _ in node.all_records()))
    gauge("servers_limited", lambda: _limited_servers(node))
    gauge("owner_limits", lambda: _owner_limits(node))
    news = node.division.news
    gauge("room_news_age_seconds", lambda: _none_to_nan(news.age_s(node.now())))
    gauge("capacity_shares", lambda: _capacity_shares(node))
    gauge("zones_evacuated", node.evacuations.zones_with_servers)
    gauge("keys_evacuating", node.evacuations.keys_to_move)
    gauge("servers_cold", node.coldness.counts_by_service)
    gauge("hedge_delay_seconds", lambda: _hedge_delays(node))
    gauge("connections_open", lambda: len(node.callers))
    gauge("key_ranges", lambda: {name: len(m.starts) for name, m in maps.items()})
    gauge("key_ranges_moving", node.control.moves_by_service)
    gauge("controls", lambda: int(node.control.is_leader))
    gauge("loop_lag_seconds", loop_lag.take)
    gauge("requests_held_back", lambda: len(node.crashes.suspects.held_back()))
    gauge("time_of_day_steps", lambda: node.time_of_day.steps)
    gauge("log_lines_dropped", logs.dropped_lines)
