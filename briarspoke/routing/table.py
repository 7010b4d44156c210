"""The owners of all partitions, as this node knows them."""

from __future__ import annotations

from briarspoke.ownership.document import State


class Route:
    """Where requests for one partition go.

    :param server: name of the owning server, or None.
    :param epoch: epoch of the ownership.
    :param moving: True while the partition is handed over.
    """

    __slots__ = ("epoch", "moving", "server")

    def __init__(self, *, server, epoch, moving):
        self.server = server
        self.epoch = epoch
        self.moving = moving

    def same_as(self, other):
        """Returns whether two routes lead to the same server at one epoch."""
        return (self.server, self.epoch, self.moving) == (
            other.server,
            other.epoch,
            other.moving,
        )


class RoutingTable:
    """Ownership documents by service, applied upward only."""

    __slots__ = ("_routes_by_service", "documents_by_service")

    def __init__(self):
        self.documents_by_service = {}
        self._routes_by_service = {}

    def apply(self, document):
        """Takes a document and returns whether it was newer."""
        known = self.documents_by_service.get(document.service)
        if known is not None and known.version >= document.version:
            return False
        self.documents_by_service[document.service] = document
        self._routes_by_service[document.service] = [
            Route(
                server=partition.owner,
                epoch=partition.epoch,
                moving=partition.state is State.MOVING,
            )
            for partition in document.partitions
        ]
        return True

    def route(self, service_name, partition):
        """Returns the :class:`Route` of a partition, or None if unknown."""
        routes = self._routes_by_service.get(service_name)
        if routes is None or partition >= len(routes):
            return None
        return routes[partition]

    def version(self, service_name):
        """Returns the version known for a service, 0 if none."""
        document = self.documents_by_service.get(service_name)
        return document.version if document else 0
