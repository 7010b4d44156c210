"""Index of an ownership document by owner, for zone controllers."""

from __future__ import annotations

from briarspoke.ownership.document import State


class StoredDocument:
    """A document with its store revision, indexed by owner.

    :param revision: store revision, 0 if the document does not exist.
    :param document: the ownership document, or None.
    """

    __slots__ = (
        "active_by_owner",
        "document",
        "moving_by_owner",
        "revision",
        "unowned",
    )

    def __init__(self, *, revision, document):
        self.revision = revision
        self.document = document
        self.active_by_owner = {}
        self.moving_by_owner = {}
        self.unowned = []
        if document is None:
            return
        for number, partition in enumerate(document.partitions):
            if partition.owner is None:
                self.unowned.append(number)
                continue
            if partition.state is State.MOVING:
                by_owner = self.moving_by_owner
            else:
                by_owner = self.active_by_owner
            by_owner.setdefault(partition.owner, {})[number] = partition.epoch

    def partitions_of(self, server_name):
        """Returns the partition numbers of a server, including ``moving`` ones."""
        return [
            *self.active_by_owner.get(server_name, ()),
            *self.moving_by_owner.get(server_name, ()),
        ]

    def owners(self):
        """Returns the names of all servers that own partitions."""
        return self.active_by_owner.keys() | self.moving_by_owner.keys()


def partition_name(service, number):
    """Returns the name of a partition in the grant protocol: ``service/partition``."""
    return f"{service}/{number}"
