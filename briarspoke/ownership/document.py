"""The ownership document of one service."""

from __future__ import annotations

import enum

import cbor2

from briarspoke import codes
from briarspoke.errors import invariant

WRITE_IDS_KEPT = 16

EPOCH_NOT_GROWING = codes.register(
    7101,
    "epoch-not-growing",
    codes.Kind.INTERNAL,
    500,
    "A change of owner would not raise the partition's epoch.",
)


class State(enum.IntEnum):
    """Whether a partition takes work."""

    ACTIVE = 0
    MOVING = 1


class Partition:
    """Owner, epoch and state of one partition; never changed in place.

    :param owner: name of the owning server, or None.
    :param epoch: grows with each change of owner.
    """

    __slots__ = ("epoch", "owner", "state")

    def __init__(self, *, owner=None, epoch=0, state=State.ACTIVE):
        self.owner = owner
        self.epoch = epoch
        self.state = state

    def __eq__(self, other):
        if not isinstance(other, Partition):
            return NotImplemented
        return (self.owner, self.epoch, self.state) == (
            other.owner,
            other.epoch,
            other.state,
        )

    def __hash__(self):
        return hash((self.owner, self.epoch, self.state))

    def __repr__(self):
        return f"<Partition {self.owner}@{self.epoch} {self.state.name}>"


class OwnershipDocument:
    """Partitions of a service at one version; never changed in place.

    :param service: name of the service.
    :param version: grows by one with each accepted write.
    :param write_ids: identifiers of the last writes, newest last.
    :param partitions: list of :class:`Partition`, by partition number.
    """

    __slots__ = ("partitions", "service", "version", "write_ids")

    def __init__(self, *, service, version, write_ids, partitions):
        self.service = service
        self.version = version
        self.write_ids = tuple(write_ids)
        self.partitions = tuple(partitions)

    @classmethod
    def empty(cls, service, count):
        """Returns a document at version 0 in which nothing is owned."""
        unowned = Partition()
        return cls(
            service=service, version=0, write_ids=(), partitions=[unowned] * count
        )

    def with_changes(self, changes_by_partition, write_id):
        """Returns the next version with some partitions replaced.

        :param changes_by_partition: new :class:`Partition` per number.
        :param write_id: unique identifier of this write.
        :raises InvariantError: if an owner changes and the epoch does not grow.
        """
        partitions = list(self.partitions)
        for number, new in changes_by_partition.items():
            old = partitions[number]
            invariant(
                new.epoch > old.epoch
                or (new.epoch == old.epoch and new.owner == old.owner),
                f"{self.service}/{number}: {old!r} to {new!r}",
                EPOCH_NOT_GROWING,
            )
            partitions[number] = new
        return OwnershipDocument(
            service=self.service,
            version=self.version + 1,
            write_ids=(*self.write_ids, write_id)[-WRITE_IDS_KEPT:],
            partitions=partitions,
        )

    def owned_by(self, server_name):
        """Returns ``{partition: epoch}`` of what a server owns."""
        return {
            number: partition.epoch
            for number, partition in enumerate(self.partitions)
            if partition.owner == server_name
        }

    def encode(self):
        """Returns the document as CBOR; server names are stored once."""
        names = sorted({p.owner for p in self.partitions if p.owner is not None})
        index_by_name = {name: index for index, name in enumerate(names)}
        return cbor2.dumps(
            [
                self.service,
                self.version,
                list(self.write_ids),
                names,
                [index_by_name.get(p.owner, -1) for p in self.partitions],
                [p.epoch for p in self.partitions],
                [n for n, p in enumerate(self.partitions) if p.state is State.MOVING],
            ]
        )

    @classmethod
    def decode(cls, data):
        """Returns the document of :meth:`encode`.

        :raises ValueError: if the data is not such a document.
        """
        try:
            service, version, write_ids, names, owners, epochs, moving = cbor2.loads(
                data
            )
            moving = set(moving)
            partitions = [
                Partition(
                    owner=names[owner] if owner >= 0 else None,
                    epoch=epoch,
                    state=State.MOVING if number in moving else State.ACTIVE,
                )
                for number, (owner, epoch) in enumerate(
                    zip(owners, epochs, strict=True)
                )
            ]
        except (cbor2.CBORDecodeError, TypeError, IndexError) as error:
            raise ValueError(f"not an ownership document: {error}") from error
        return cls(
            service=service, version=version, write_ids=write_ids, partitions=partitions
        )
