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
    "An owner change would not increase the partition's epoch.",
)


class State(enum.IntEnum):
    """Whether the owner of a partition accepts new requests for it."""

    ACTIVE = 0
    MOVING = 1


class Partition:
    """Owner, epoch and state of one partition; immutable by convention.

    :param owner: name of the owning server, or None.
    :param epoch: fencing token that increases with each owner change.
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


class Authority:
    """A term under which a zone's servers may hold grants.

    :param term: store revision at which the lease record was created.
    :param node_id: entry VM that holds or has held the lease.
    :param incarnation: incarnation of its process, 0 if unknown.
    :param move_after_s: seconds without the store after which the holder stops
        renewing grants of this service, or None if it renews them without limit.
    """

    __slots__ = ("incarnation", "move_after_s", "node_id", "term")

    def __init__(self, *, term, node_id, move_after_s, incarnation=0):
        self.incarnation = incarnation
        self.term = term
        self.node_id = node_id
        self.move_after_s = move_after_s

    def __eq__(self, other):
        if not isinstance(other, Authority):
            return NotImplemented
        return self.as_list() == other.as_list()

    def __hash__(self):
        return hash(tuple(self.as_list()))

    def as_list(self):
        """Returns the fields in the order of the encoding."""
        return [self.term, self.node_id, self.move_after_s, self.incarnation]

    def __repr__(self):
        return f"<Authority {self.node_id}@{self.term}>"


class OwnershipDocument:
    """Partitions of a service at one version; immutable by convention.

    :param service: name of the service.
    :param version: increases by one with each accepted write.
    :param write_ids: identifiers of the last writes, newest last.
    :param partitions: list of :class:`Partition`, by partition number.
    :param authorities_by_zone: tuple of :class:`Authority` per zone, the current
        controller's last; earlier ones may still renew grants.
    """

    __slots__ = (
        "authorities_by_zone",
        "partitions",
        "service",
        "version",
        "write_ids",
    )

    def __init__(
        self, *, service, version, write_ids, partitions, authorities_by_zone=None
    ):
        self.authorities_by_zone = authorities_by_zone or {}
        self.service = service
        self.version = version
        self.write_ids = tuple(write_ids)
        self.partitions = tuple(partitions)

    @classmethod
    def empty(cls, service, count):
        """Returns a document at version 0 without owners.

        :param count: number of partitions.
        """
        unowned = Partition()
        return cls(
            service=service, version=0, write_ids=(), partitions=[unowned] * count
        )

    def term_of(self, zone):
        """Returns the term of a zone's current controller, 0 if none."""
        authorities = self.authorities_by_zone.get(zone)
        return authorities[-1].term if authorities else 0

    def with_changes(self, changes_by_partition, write_id, *, zone=None, chain=None):
        """Returns the next version with some partitions replaced.

        :param changes_by_partition: new :class:`Partition` per number.
        :param write_id: unique identifier of this write.
        :param zone: zone whose authorities are replaced, or None.
        :param chain: the zone's new tuple of :class:`Authority`.
        :raises InvariantError: if an owner changes without an increase of the epoch.
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
        authorities_by_zone = self.authorities_by_zone
        if zone is not None:
            authorities_by_zone = {**authorities_by_zone, zone: tuple(chain)}
        return OwnershipDocument(
            authorities_by_zone=authorities_by_zone,
            service=self.service,
            version=self.version + 1,
            write_ids=(*self.write_ids, write_id)[-WRITE_IDS_KEPT:],
            partitions=partitions,
        )

    def owned_by(self, server_name):
        """Returns ``{partition number: epoch}`` of the partitions of a server."""
        return {
            number: partition.epoch
            for number, partition in enumerate(self.partitions)
            if partition.owner == server_name
        }

    def encode(self):
        """Returns the document encoded as CBOR, each server name stored once."""
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
                {
                    zone: [authority.as_list() for authority in chain]
                    for zone, chain in sorted(self.authorities_by_zone.items())
                },
            ]
        )

    @classmethod
    def decode(cls, data):
        """Returns the document that :meth:`encode` has encoded.

        :raises ValueError: if the data is not an encoded ownership document.
        """
        try:
            (
                service,
                version,
                write_ids,
                names,
                owners,
                epochs,
                moving,
                authorities,
            ) = cbor2.loads(data)
            moving = set(moving)
            authorities_by_zone = {
                zone: tuple(
                    Authority(
                        term=term,
                        node_id=node_id,
                        move_after_s=move_after_s,
                        incarnation=incarnation,
                    )
                    for term, node_id, move_after_s, incarnation in chain
                )
                for zone, chain in authorities.items()
            }
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
        except (
            AttributeError,
            IndexError,
            TypeError,
            ValueError,
            cbor2.CBORDecodeError,
        ) as error:
            raise ValueError(f"malformed ownership document: {error}") from error
        return cls(
            service=service,
            version=version,
            write_ids=write_ids,
            partitions=partitions,
            authorities_by_zone=authorities_by_zone,
        )
