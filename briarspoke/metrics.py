"""Counters and gauges of a node."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, render
from aioprometheus.collectors import Registry

# Name of the counter: name of its label, and its help text.
COUNTERS = {
    "requests_total": ("rank", "Requests accepted from callers, by rank."),
    "answers_total": ("rank", "Answers of servers passed on in whole, by rank."),
    "refusals_total": ("code", "Results made by briarspoke, by result code."),
    "retries_total": ("reason", "Attempts that were repeated, by reason."),
    "retries_denied_total": ("reason", "Failed attempts not repeated, by reason."),
    "first_attempts_total": ("", "Requests whose first attempt was started."),
    "attempts_total": ("outcome", "Attempts that ended, by outcome."),
    "handover_waits_total": (
        "code",
        "Waits of requests for an owner on the move, by the code they avoid.",
    ),
    "forwards_total": ("direction", "Requests forwarded between entry VMs."),
    "invariants_total": ("code", "Failed assertions inside the program."),
    "link_results_total": ("code", "Links and messages rejected, by result code."),
    "link_frames_total": ("direction", "Frames on links between entry VMs."),
    "grants_total": ("outcome", "Grants and releases of key ranges, by outcome."),
    "grant_bytes_total": ("direction", "Bytes of calls that grant partitions."),
    "link_bytes_total": ("direction", "Bytes on links between entry VMs."),
    "member_changes_total": ("status", "Changes of members, by new status."),
    "documents_taken_total": ("source", "Documents taken from store or links."),
    "store_calls_total": ("kind", "Calls to the platform's store, by kind."),
    "store_failures_total": ("kind", "Failed calls to the store, by kind."),
    "store_sent_bytes_total": ("kind", "Estimated bytes sent to the store."),
    "store_received_bytes_total": ("kind", "Estimated bytes received from the store."),
}

# Name of the gauge: name of its label, and its help text.
GAUGES = {
    "requests_in_flight": ("", "Requests accepted and not yet ended."),
    "requests_waiting": ("rank", "Requests that wait for a slot here, by rank."),
    "configuration_version": ("", "Version of the configuration in force."),
    "partitions_unowned": ("", "Partitions without an owner, as known here."),
    "partitions_moving": ("", "Partitions on the move, as known here."),
    "zones_controlled": ("", "Availability zones that this entry VM controls."),
    "members_live": ("", "Entry VMs known here as alive or suspect, this one too."),
    "store_reachable": ("", "1 if the last call to the store got an answer, else 0."),
}


class Metrics:
    """All metrics of one node, each in a registry of its own.

    The hot path counts into plain dictionaries; :meth:`render` copies them.

    :param node_id: label of every metric.
    """

    def __init__(self, *, node_id):
        self.registry = Registry()
        self._labels = {"node": node_id}
        self._counts = {}
        self._collectors = {}
        self._gauges = {}

    def count(self, name, label="", by=1):
        """Adds to a counter.

        :param name: key of :data:`COUNTERS`.
        :param label: value of the counter's own label.
        """
        key = (name, label)
        self._counts[key] = self._counts.get(key, 0) + by

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
                labels[label_name] = str(label)
            collector.set(labels, value)
        for name, read in self._gauges.items():
            label_name, help_text = GAUGES[name]
            collector = self._collector(name, help_text, Gauge)
            values = read() if label_name else {None: read()}
            for label, value in values.items():
                own = {} if label is None else {label_name: str(label)}
                collector.set({**self._labels, **own}, value)
        content, _ = render(self.registry, ["text/plain"])
        return content

    def _collector(self, name, help_text, kind):
        collector = self._collectors.get(name)
        if collector is None:
            collector = kind(f"briarspoke_{name}", help_text, registry=self.registry)
            self._collectors[name] = collector
        return collector
