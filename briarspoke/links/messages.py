"""Messages between entry VMs and their strict CBOR encoding."""

from __future__ import annotations

import math
import re

import cbor2

from briarspoke.configuration.resources import ADDRESS_PATTERN
from briarspoke.errors import BriarspokeError

MAX_NAME = 256
MAX_ADDRESS = 64
MAX_MEMBERS_PER_MESSAGE = 64
MAX_ENTRIES = 4096
MAX_CONTENT_BYTES = 1_000_000
# Room for the other fields of a document message within a frame of 1 MiB.
MAX_COMPRESSED_BYTES = 1_040_000
NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_UINT = 2**63 - 1
MAX_SECONDS = 86_400.0
# No message nests deeper than a list of records with a map in one field.
MAX_DEPTH = 8

by_number: dict[int, type] = {}


class MalformedMessageError(BriarspokeError):
    """The bytes are not a message of this protocol version."""


# Kinds of fields. check() returns the value or raises MalformedMessageError.


class Uint:
    """A whole number of at least 0."""

    __slots__ = ("maximum",)

    def __init__(self, maximum=MAX_UINT):
        self.maximum = maximum

    def check(self, value):
        """Returns the number."""
        # type() because bool is a subclass of int.
        if type(value) is not int or not 0 <= value <= self.maximum:
            raise MalformedMessageError("a number is out of bounds")
        return value


class Seconds:
    """A finite number of seconds of at least 0."""

    __slots__ = ()

    def check(self, value):
        """Returns the number as a float."""
        if type(value) not in (int, float) or not 0 <= value <= MAX_SECONDS:
            raise MalformedMessageError("a duration is out of bounds")
        if not math.isfinite(value):
            raise MalformedMessageError("a duration is not finite")
        return float(value)


class Text:
    """A text of bounded length."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, maximum=MAX_NAME, minimum=0):
        self.maximum = maximum
        self.minimum = minimum

    def check(self, value):
        """Returns the text."""
        if type(value) is not str or not self.minimum <= len(value) <= self.maximum:
            raise MalformedMessageError("a text is out of bounds")
        return value


class Bytes:
    """A byte string of bounded length."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, maximum, minimum=0):
        self.maximum = maximum
        self.minimum = minimum

    def check(self, value):
        """Returns the bytes."""
        if type(value) is not bytes or not self.minimum <= len(value) <= self.maximum:
            raise MalformedMessageError("a byte string is out of bounds")
        return value


class Address:
    """IP number and port; an address that cannot be dialled is rejected here."""

    __slots__ = ()
    _pattern = re.compile(ADDRESS_PATTERN)

    def check(self, value):
        """Returns the address."""
        if (
            type(value) is not str
            or len(value) > MAX_ADDRESS
            or not self._pattern.fullmatch(value)
        ):
            raise MalformedMessageError("an address is not IP number and port")
        return value


class MapOf:
    """A map of bounded size from texts to another kind of field."""

    __slots__ = ("key", "maximum", "value")

    def __init__(self, value, *, maximum=MAX_ENTRIES):
        self.key = Text(minimum=1)
        self.value = value
        self.maximum = maximum

    def check(self, value):
        """Returns the map."""
        if type(value) is not dict or len(value) > self.maximum:
            raise MalformedMessageError("a map is out of bounds")
        return {self.key.check(k): self.value.check(v) for k, v in value.items()}


class ListOf:
    """A list of bounded length of messages of one class."""

    __slots__ = ("maximum", "message_class")

    def __init__(self, message_class, *, maximum):
        self.message_class = message_class
        self.maximum = maximum

    def check(self, value):
        """Returns a list of messages."""
        if type(value) is not list or len(value) > self.maximum:
            raise MalformedMessageError("a list is out of bounds")
        return [self.message_class.from_fields(item) for item in value]


class Message:
    """Base of all messages; subclasses name their fields in ``FIELDS``."""

    __slots__ = ()
    NUMBER = 0
    FIELDS: dict = {}

    def __init__(self, **values):
        for name in self.FIELDS:
            setattr(self, name, values.pop(name))
        if values:
            raise TypeError(f"{type(self).__name__} has no {sorted(values)}")

    def __eq__(self, other):
        return type(self) is type(other) and self.as_fields() == other.as_fields()

    __hash__ = None

    def __repr__(self):
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.FIELDS)
        return f"<{type(self).__name__} {values}>"

    def as_fields(self):
        """Returns the values of the fields, nested messages as lists."""
        values = []
        for name, field in self.FIELDS.items():
            value = getattr(self, name)
            if isinstance(field, ListOf):
                value = [item.as_fields() for item in value]
            values.append(value)
        return values

    @classmethod
    def from_fields(cls, values):
        """Returns the message of a list of values.

        :raises MalformedMessageError: if a value is missing or out of bounds.
        """
        if type(values) is not list or len(values) != len(cls.FIELDS):
            raise MalformedMessageError(f"{cls.__name__}: wrong number of fields")
        return cls(
            **{
                name: field.check(value)
                for (name, field), value in zip(cls.FIELDS.items(), values, strict=True)
            }
        )


def message(number):
    """Registers a message class under its type number.

    :raises ValueError: if the number is taken.
    """

    def decorate(cls):
        if number in by_number:
            raise ValueError(f"message type {number} is already registered")
        cls.NUMBER = number
        by_number[number] = cls
        return cls

    return decorate


def encode(item):
    """Returns a message as bytes."""
    return cbor2.dumps([item.NUMBER, *item.as_fields()])


def decode(data):
    """Returns the message of some bytes, or None if its type is unknown.

    :raises MalformedMessageError: if the bytes are not a message.
    """
    number, values = split(data)
    cls = by_number.get(number)
    return None if cls is None else cls.from_fields(values)


def split(data):
    """Returns (type number, list of unchecked values) of a message."""
    try:
        value = cbor2.loads(
            data,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    # The decoder calls constructors of tagged values, which raise anything.
    except Exception as error:
        raise MalformedMessageError(f"not CBOR: {type(error).__name__}") from error
    if type(value) is not list or not value or type(value[0]) is not int:
        raise MalformedMessageError("not a list that begins with a type number")
    return value[0], value[1:]


@message(1)
class Hello(Message):
    """First message of each side; unauthenticated until the proofs are checked.

    :ivar instance: random identifier of the process, to tell a restart from
        two processes with one node id.
    """

    FIELDS = {
        "version": Uint(65_535),
        "node_id": Text(minimum=1),
        "zone": Text(minimum=1),
        "link_address": Address(),
        "forward_address": Address(),
        "incarnation": Uint(),
        "instance": Bytes(8, 8),
        "nonce": Bytes(NONCE_BYTES, NONCE_BYTES),
    }
    __slots__ = tuple(FIELDS)


@message(2)
class Proof(Message):
    """Proves that the sender has the cluster key."""

    FIELDS = {"mac": Bytes(PROOF_BYTES, PROOF_BYTES)}
    __slots__ = tuple(FIELDS)


@message(3)
class Heartbeat(Message):
    """Shows that the sender is alive and which documents it holds.

    :ivar digest: version per document key, only of the documents that changed
        since the last heartbeat on the same link; the first one has all.
    """

    FIELDS = {"sequence": Uint(), "incarnation": Uint(), "digest": MapOf(Uint())}
    __slots__ = tuple(FIELDS)


@message(4)
class MemberUpdate(Message):
    """State of one entry VM.

    :ivar status: number of a :class:`briarspoke.membership.members.Status`.
    """

    FIELDS = {
        "node_id": Text(minimum=1),
        "link_address": Address(),
        "forward_address": Address(),
        "zone": Text(minimum=1),
        "incarnation": Uint(),
        "instance": Bytes(8, 8),
        "status": Uint(3),
    }
    __slots__ = tuple(FIELDS)


@message(5)
class MemberSync(Message):
    """A part of the sender's members, sent when a link comes up."""

    FIELDS = {"updates": ListOf(MemberUpdate, maximum=MAX_MEMBERS_PER_MESSAGE)}
    __slots__ = tuple(FIELDS)


@message(6)
class DocumentUpdate(Message):
    """The complete content of a document, compressed with zlib."""

    FIELDS = {
        "key": Text(minimum=1),
        "version": Uint(),
        "compressed": Bytes(MAX_COMPRESSED_BYTES),
    }
    __slots__ = tuple(FIELDS)


@message(7)
class DocumentRequest(Message):
    """Asks for a document that is newer than the version held."""

    FIELDS = {"key": Text(minimum=1), "held": Uint()}
    __slots__ = tuple(FIELDS)


@message(8)
class Flood(Message):
    """A message to all members, passed on by each at its first arrival."""

    FIELDS = {
        "origin": Text(minimum=1),
        "instance": Bytes(8, 8),
        "sequence": Uint(),
        "hops_left": Uint(64),
        "payload": Bytes(65_536),
    }
    __slots__ = tuple(FIELDS)


@message(9)
class Relay(Message):
    """A message to one member without a direct link, passed along the ring."""

    FIELDS = {
        "origin": Text(minimum=1),
        "target": Text(minimum=1),
        "hops_left": Uint(64),
        "payload": Bytes(65_536),
    }
    __slots__ = tuple(FIELDS)


@message(16)
class Resign(Message):
    """A zone controller gave up its term.

    :ivar remaining_s: seconds from sending until its last grant has expired.
    """

    FIELDS = {"zone": Text(minimum=1), "term": Uint(), "remaining_s": Seconds()}
    __slots__ = tuple(FIELDS)


@message(17)
class RoutingLeaseRequest(Message):
    """Asks a zone controller for leave to route to its unfenced servers.

    :ivar serial: number chosen by the sender, repeated in the answer.
    :ivar versions: ownership version in force per service.
    :ivar instance: random number of the sender's process.
    :ivar in_flight: number of requests in flight per ``service/partition``.
    :ivar longest_s: longest remaining deadline of these requests.
    """

    FIELDS = {
        "zone": Text(minimum=1),
        "serial": Uint(),
        "instance": Uint(),
        "versions": MapOf(Uint()),
        "in_flight": MapOf(Uint()),
        "longest_s": Seconds(),
    }
    __slots__ = tuple(FIELDS)


@message(18)
class RoutingLease(Message):
    """Grants a routing lease, counted from when its request was sent.

    :ivar versions: lowest ownership version to send by, per service.
    """

    FIELDS = {
        "zone": Text(minimum=1),
        "serial": Uint(),
        "term": Uint(),
        "duration_s": Seconds(),
        "versions": MapOf(Uint()),
    }
    __slots__ = tuple(FIELDS)


@message(19)
class InForce(Message):
    """Tells which configuration version a node has in force.

    It is sent to the node that asked by :class:`InForceRequest`; if every node
    flooded it after each change, 440 nodes would exceed their budget of bytes.
    """

    FIELDS = {"node_id": Text(minimum=1), "version": Uint()}
    __slots__ = tuple(FIELDS)


@message(20)
class InForceRequest(Message):
    """Asks every node which configuration version it has in force."""

    FIELDS = {}
    __slots__ = ()


@message(21)
class AskTerm(Message):
    """Asks the holder of an earlier term whether that term has ended.

    :ivar incarnation: incarnation of the process that held the term.
    :ivar by_term: the term of the controller that asks.
    """

    FIELDS = {
        "zone": Text(minimum=1),
        "term": Uint(),
        "incarnation": Uint(),
        "by_term": Uint(),
    }
    __slots__ = tuple(FIELDS)


@message(22)
class LoadReport(Message):
    """Tells the controllers how much work a gateway sent to a server.

    :ivar interval_s: time over which the requests were counted.
    :ivar counts: requests by partition number, as text.
    """

    FIELDS = {
        "service": Text(minimum=1),
        "server": Text(minimum=1),
        "interval_s": Seconds(),
        "counts": MapOf(Uint()),
    }
    __slots__ = tuple(FIELDS)
