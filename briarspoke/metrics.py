"""Counters, gauges and latency histograms of a node."""

from __future__ import annotations

import bisect
import itertools

from aioprometheus import Counter, Gauge, Histogram, render
from aioprometheus.collectors import Registry

# Label (empty for none) and help text of each counter by name.
COUNTERS = {
    "requests_total": ("rank", "Requests accepted from callers, by rank."),
    "answers_total": ("rank", "Complete answers passed on from servers, by rank."),
    "refusals_total": (
        "code",
        "Results that briarspoke itself returned, by result code.",
    ),
    "retries_total": ("reason", "Attempts that were retried, by reason."),
    "server_crashes_total": (
        "service",
        "Servers that ended while they ran requests of this entry VM, by service.",
    ),
    "intake_closed_total": (
        "source",
        "Servers that take nothing new, by who said so: store, answer, peer, asked.",
    ),
    "evacuations_total": (
        "event",
        "Evacuations of availability zones with servers, by event: begins, ends.",
    ),
    "retries_denied_total": (
        "reason",
        "Failed attempts that were not retried, by reason.",
    ),
    "withheld_answers_total": (
        "status",
        "Answers of servers, by their status, that callers did not get, because the "
        "status would promise that the request has not run.",
    ),
    "hedges_total": (
        "outcome",
        "Second copies of slow requests: sent; won and lost, the copies with which the "
        "copy or the first one was answered first.",
    ),
    "hedges_denied_total": (
        "reason",
        "Second copies of slow requests that were due and not sent, by reason. "
        "Capacity is short with queue, busy and rejected.",
    ),
    "first_attempts_total": ("", "Requests whose first attempt was started."),
    "attempts_total": ("outcome", "Attempts that ended, by outcome."),
    "handover_waits_total": (
        "code",
        "Waits of requests for an owner change, by the result code avoided.",
    ),
    "forwards_total": (
        "direction",
        "Requests forwarded between entry VMs, by direction.",
    ),
    "internal_errors_total": (
        "part",
        "Unexpected errors that ended one task or request, by part.",
    ),
    "invariants_total": ("code", "Failed invariants of the program, by result code."),
    "link_results_total": ("code", "Links and messages rejected, by result code."),
    "link_frames_total": (
        "direction",
        "Frames on links between entry VMs, by direction.",
    ),
    "grants_total": ("outcome", "Grants and releases of key ranges, by outcome."),
    "grant_bytes_total": (
        "direction",
        "Bytes of calls that grant partitions, by direction.",
    ),
    "link_bytes_total": (
        "direction",
        "Bytes on links between entry VMs, by direction.",
    ),
    "member_changes_total": ("status", "Status changes of members, by new status."),
    "documents_taken_total": ("source", "Documents accepted, by source."),
    "registrations_not_used_total": (
        "reason",
        "Registrations of servers that were read and are not used, by reason.",
    ),
    "limited_sends_total": (
        "service",
        "Requests sent to servers while they named a rate limit, by service.",
    ),
    "loads_not_usable_total": (
        "service",
        "Answers whose report of the server's load cannot be read, by service.",
    ),
    "permits_total": (
        "service",
        "Permits that the controller gave for servers with a rate limit, by service.",
    ),
    "cold_spells_total": (
        "source",
        "Times at which a server began to count as cold, by where it was learned.",
    ),
    "cold_asks_denied_total": (
        "service",
        "Requests for permits of cold servers that were put off, by service.",
    ),
    "store_calls_total": ("kind", "Calls to the platform's store, by kind."),
    "store_failures_total": ("kind", "Failed calls to the store, by kind."),
    "store_sent_bytes_total": ("kind", "Estimated bytes sent to the store, by kind."),
    "store_received_bytes_total": (
        "kind",
        "Estimated bytes received from the store, by kind.",
    ),
}

# Label (empty for none) and help text of each gauge by name.
GAUGES = {
    "requests_in_flight": ("", "Requests accepted and not yet finished."),
    "requests_waiting": (
        "rank",
        "Requests that wait for a slot at this entry VM, by rank.",
    ),
    "configuration_version": ("", "Version of the configuration in force."),
    "partitions_unowned": (
        "",
        "Partitions without an owner, as known to this entry VM.",
    ),
    "partitions_moving": (
        "",
        "Partitions that are being moved, as known to this entry VM.",
    ),
    "zones_controlled": ("", "Availability zones that this entry VM controls."),
    "members_live": (
        "",
        "Entry VMs that this one considers alive or suspect, itself included.",
    ),
    "configuration_age_seconds": (
        "",
        "Seconds since the configuration came into force.",
    ),
    "store_age_seconds": (
        "",
        "Seconds since the copy of the store was certainly current.",
    ),
    "servers_known": ("", "Servers that this entry VM may use."),
    "servers_cold": ("service", "Servers that count as cold, by service."),
    "servers_limited": ("service", "Servers that name a rate limit, by service."),
    "owner_limits": (
        "reason",
        "Owners of keys by the reason for this VM's limit on requests in flight; free: "
        "the limit is more than the equal share.",
    ),
    "room_news_age_seconds": (
        "",
        "Seconds since the controller's last message about shares and owners' room.",
    ),
    "capacity_shares": (
        "service",
        "Share of a service without keys relative to the equal share, by service.",
    ),
    "zones_evacuated": ("", "Evacuated availability zones that have servers."),
    "keys_evacuating": (
        "service",
        "Keys that servers of evacuated availability zones still own, by service.",
    ),
    "connections_open": ("", "Open connections from callers."),
    "key_ranges": ("service", "Key ranges of the key map, by service."),
    "key_ranges_moving": (
        "service",
        "Key ranges that are being moved, as known to the controller, by service.",
    ),
    "hedge_delay_seconds": (
        "service",
        "Time after which the latest request would get a second copy, by service.",
    ),
    "controls": ("", "1 if this entry VM is the controller of key ownership, else 0."),
    "loop_lag_seconds": ("", "Largest delay of the event loop since the last scrape."),
    "requests_held_back": (
        "",
        "Different requests that are held back because servers ended under them.",
    ),
    "time_of_day_steps": (
        "",
        "Times that the time of day was set while the process ran.",
    ),
    "log_lines_dropped": ("", "Log lines dropped because standard output was full."),
    "store_reachable": ("", "1 if the last call to the store got an answer, else 0."),
}

# Label and help text of each histogram by name.
HISTOGRAMS = {
    "receive_seconds": (
        "rank",
        "Time from a request's first byte to its last, by rank.",
    ),
    "queue_seconds": (
        "rank",
        "Time from a complete request to its first send to a server, by rank.",
    ),
    "server_seconds": (
        "service",
        "Time from a send to the server's answer, by service.",
    ),
    "request_seconds": (
        "rank",
        "Time from a request's first byte to its answer, by rank.",
    ),
    "store_seconds": ("kind", "Duration of calls to the platform's store, by kind."),
}
# Upper bounds in seconds. The latency objectives are between 0.25 and 4 s.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)


def _label_value(value):
    """Returns the value of a label, escaped for the text format.

    aioprometheus writes it as it is.
    """
    text = str(value).encode(errors="backslashreplace").decode()
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Distribution:
    """Durations counted by bucket, with the attributes that aioprometheus renders."""

    __slots__ = ("_counts", "observations", "sum")

    def __init__(self):
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self.observations = 0
        self.sum = 0.0

    def observe(self, seconds):
        """Adds a duration."""
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.observations += 1
        self.sum += seconds

    @property
    def buckets(self):
        """Cumulative counts as ``{upper bound in seconds: count}``."""
        bounds = (*BUCKETS_S, float("inf"))
        return dict(zip(bounds, itertools.accumulate(self._counts), strict=True))


class Metrics:
    """All metrics of one node, in a registry of its own.

    The request path updates plain dictionaries; :meth:`render` copies their values to
    the registry.

    :param node_id: value of the label ``node`` of every metric.
    """

    def __init__(self, *, node_id):
        self.registry = Registry()
        self._labels = {"node": node_id}
        self._counts = {}
        self._distributions = {}
        self._collectors = {}
        self._gauges = {}

    def count(self, name, label="", by=1):
        """Adds to a counter.

        :param name: key of :data:`COUNTERS`.
        :param label: value of the counter's label, apart from ``node``.
        :param by: number to add.
        """
        key = (name, label)
        self._counts[key] = self._counts.get(key, 0) + by

    def observe(self, name, label, seconds):
        """Adds a duration to a histogram.

        :param name: key of :data:`HISTOGRAMS`.
        :param label: value of the histogram's label, apart from ``node``.
        """
        key = (name, label)
        distribution = self._distributions.get(key)
        if distribution is None:
            distribution = self._distributions[key] = Distribution()
        distribution.observe(seconds)

    def gauge(self, name, read):
        """Registers a function that reads a gauge of :data:`GAUGES`.

        :param read: returns the value, or ``{label: value}`` if it has a label.
        """
        self._gauges[name] = read

    def value(self, name, label=""):
        """Returns the value of a counter."""
        return self._counts.get((name, label), 0)

    def values(self, name):
        """Returns ``{label: value}`` of a counter."""
        return {
            label: value
            for (counter, label), value in self._counts.items()
            if counter == name
        }

    def render(self):
        """Returns the metrics as bytes of the Prometheus text format."""
        for (name, label), value in self._counts.items():
            label_name, help_text = COUNTERS[name]
            collector = self._collector(name, help_text, Counter)
            labels = dict(self._labels)
            if label_name:
                labels[label_name] = _label_value(label)
            collector.set(labels, value)
        for (name, label), distribution in self._distributions.items():
            label_name, help_text = HISTOGRAMS[name]
            collector = self._collector(name, help_text, Histogram)
            collector.set_value(
                {**self._labels, label_name: _label_value(label)}, distribution
            )
        for name, read in self._gauges.items():
            label_name, help_text = GAUGES[name]
            collector = self._collector(name, help_text, Gauge)
            values = read() if label_name else {None: read()}
            for label, value in values.items():
                gauge_label = {} if label is None else {label_name: _label_value(label)}
                collector.set({**self._labels, **gauge_label}, value)
        content, _ = render(self.registry, ["text/plain"])
        return content

    def _collector(self, name, help_text, kind):
        collector = self._collectors.get(name)
        if collector is None:
            collector = kind(f"briarspoke_{name}", help_text, registry=self.registry)
            self._collectors[name] = collector
        return collector
