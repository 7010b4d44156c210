"""The owners of all partitions, as this node knows them."""

from __future__ import annotations

from briarspoke.ownership.document import State


class Route:
    """Destination of the requests for one partition.

    :param server: name of the owning server, or None.
    :param epoch: epoch of the ownership.
    :param moving: whether the partition is being handed over.
    """

    __slots__ = ("epoch", "moving", "server")

    def __init__(self, *, server, epoch, moving):
        self.server = server
        self.epoch = epoch
        self.moving = moving

    def same_as(self, other):
        """Returns whether two routes have the same server, epoch and ``moving``."""
        return (self.server, self.epoch, self.moving) == (
            other.server,
            other.epoch,
            other.moving,
        )


class RoutingTable:
    """Ownership documents and routes by service; only newer documents are applied."""

    __slots__ = ("_routes_by_service", "documents_by_service")

    def __init__(self):
        self.documents_by_service = {}
        self._routes_by_service = {}

    def apply(self, document):
        """Applies a document if it is newer than the known one.

        :returns: whether the document was applied.
        """
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
        """Returns the version of the document known for a service, or 0."""
        document = self.documents_by_service.get(service_name)
        return document.version if document else 0
