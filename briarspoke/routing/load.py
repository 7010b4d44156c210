"""Load of each partition, counted at its gateway."""

from __future__ import annotations

from briarspoke.links.messages import LoadReport


class PartitionLoad:
    """Counts the requests sent to each server, by partition."""

    __slots__ = ("_counts_by_server",)

    def __init__(self):
        self._counts_by_server = {}

    def count(self, service_name, server_name, partition):
        """Counts one request sent to a server."""
        counts = self._counts_by_server.get((service_name, server_name))
        if counts is None:
            counts = self._counts_by_server[service_name, server_name] = {}
        counts[partition] = counts.get(partition, 0) + 1

    def take(self):
        """Returns ``{(service, server): {partition: count}}`` and resets them."""
        counts, self._counts_by_server = self._counts_by_server, {}
        return counts


class LoadReporter:
    """Sends the counts to the controller of each server's zone.

    :param load: the :class:`PartitionLoad`.
    :param control: the :class:`briarspoke.ownership.runner.ControlRunner`.
    """

    INTERVAL_S = 2.0

    def __init__(self, *, load, links, control):
        self._load = load
        self._links = links
        self._control = control

    def report(self):
        """Sends the counts since the last report."""
        for (service, server), counts in self._load.take().items():
            holder = self._control.holder_of_server(server)
            if holder is None:
                continue
            message = LoadReport(
                service=service,
                server=server,
                interval_s=self.INTERVAL_S,
                counts={str(number): count for number, count in counts.items()},
            )
            self._links.send(holder, message)
