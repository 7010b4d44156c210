"""Messages between entry VMs and their strict CBOR encoding."""

from __future__ import annotations

import math
import re

import cbor2

from briarspoke.configuration.resources import ADDRESS_PATTERN
from briarspoke.errors import BriarspokeError

MAX_NAME_CHARS = 256
MAX_ADDRESS_CHARS = 64
MAX_MEMBERS_PER_MESSAGE = 64
MAX_MAP_ENTRIES = 4096
MAX_CONTENT_BYTES = 1_000_000
# Leaves room for the other fields of a document message in a frame of 1 MiB.
MAX_COMPRESSED_BYTES = 1_040_000
NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_UINT = 2**63 - 1
MAX_SECONDS = 86_400.0
# No message is nested deeper than a list of records with a map in one field.
MAX_NESTING_DEPTH = 8

classes_by_number: dict[int, type] = {}


class MalformedMessageError(BriarspokeError):
    """Raised for bytes that are not a valid message of this protocol version."""


# Field types. check() returns the validated value or raises MalformedMessageError.


class Uint:
    """An integer from 0 to ``maximum``."""

    __slots__ = ("maximum",)

    def __init__(self, maximum=MAX_UINT):
        self.maximum = maximum

    def check(self, value):
        """Returns the integer if it is within the bounds."""
        # isinstance() would accept bool, a subclass of int.
        if type(value) is not int or not 0 <= value <= self.maximum:
            raise MalformedMessageError(
                "an integer has the wrong type or is out of range"
            )
        return value


class Seconds:
    """A finite number of seconds from 0 to ``MAX_SECONDS``."""

    __slots__ = ()

    def check(self, value):
        """Returns the duration as a float if it is within the bounds."""
        if type(value) not in (int, float) or not 0 <= value <= MAX_SECONDS:
            raise MalformedMessageError(
                "a duration has the wrong type or is out of range"
            )
        if not math.isfinite(value):
            raise MalformedMessageError("a duration is not finite")
        return float(value)


class Text:
    """A string of ``minimum`` to ``maximum`` characters."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, maximum=MAX_NAME_CHARS, minimum=0):
        self.maximum = maximum
        self.minimum = minimum

    def check(self, value):
        """Returns the string if its length is within the bounds."""
        if type(value) is not str or not self.minimum <= len(value) <= self.maximum:
            raise MalformedMessageError("a string has the wrong type or length")
        return value


class Bytes:
    """A byte string of ``minimum`` to ``maximum`` bytes."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, maximum, minimum=0):
        self.maximum = maximum
        self.minimum = minimum

    def check(self, value):
        """Returns the byte string if its length is within the bounds."""
        if type(value) is not bytes or not self.minimum <= len(value) <= self.maximum:
            raise MalformedMessageError("a byte string has the wrong type or length")
        return value


class Address:
    """An IP address and port; the check rejects addresses that cannot be dialled."""

    __slots__ = ()
    _pattern = re.compile(ADDRESS_PATTERN)

    def check(self, value):
        """Returns the address if it has the form ``ip:port``."""
        if (
            type(value) is not str
            or len(value) > MAX_ADDRESS_CHARS
            or not self._pattern.fullmatch(value)
        ):
            raise MalformedMessageError("an address is not of the form ip:port")
        return value


class MapOf:
    """A map of at most ``maximum`` entries from strings to values of a field type."""

    __slots__ = ("key", "maximum", "value")

    def __init__(self, value, *, maximum=MAX_MAP_ENTRIES):
        self.key = Text(minimum=1)
        self.value = value
        self.maximum = maximum

    def check(self, value):
        """Returns the map if its keys, values and size are valid."""
        if type(value) is not dict or len(value) > self.maximum:
            raise MalformedMessageError("a map has the wrong type or too many entries")
        return {self.key.check(k): self.value.check(v) for k, v in value.items()}


class ListOf:
    """A list of at most ``maximum`` messages of one class."""

    __slots__ = ("maximum", "message_class")

    def __init__(self, message_class, *, maximum):
        self.message_class = message_class
        self.maximum = maximum

    def check(self, value):
        """Returns the decoded messages of the list."""
        if type(value) is not list or len(value) > self.maximum:
            raise MalformedMessageError("a list has the wrong type or too many items")
        return [self.message_class.from_fields(item) for item in value]


class Message:
    """Base class of all messages; subclasses declare their fields in ``FIELDS``.

    The order of ``FIELDS`` is the order on the wire.
    """

    __slots__ = ()
    NUMBER = 0
    FIELDS: dict = {}

    def __init__(self, **values):
        for name in self.FIELDS:
            setattr(self, name, values.pop(name))
        if values:
            raise TypeError(f"{type(self).__name__} has no fields {sorted(values)}")

    def __eq__(self, other):
        return type(self) is type(other) and self.as_fields() == other.as_fields()

    __hash__ = None

    def __repr__(self):
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.FIELDS)
        return f"<{type(self).__name__} {values}>"

    def as_fields(self):
        """Returns the field values in wire order, with nested messages as lists."""
        values = []
        for name, field in self.FIELDS.items():
            value = getattr(self, name)
            if isinstance(field, ListOf):
                value = [item.as_fields() for item in value]
            values.append(value)
        return values

    @classmethod
    def from_fields(cls, values):
        """Returns the message with a list of field values.

        :param values: unchecked values in wire order.
        :raises MalformedMessageError: if the number of values is wrong, or a value is
            invalid.
        """
        if type(values) is not list or len(values) != len(cls.FIELDS):
            raise MalformedMessageError(f"{cls.__name__}: wrong number of fields")
        return cls(
            **{
                name: field.check(value)
                for (name, field), value in zip(cls.FIELDS.items(), values, strict=True)
            }
        )


def register(number):
    """Returns a decorator that registers a message class under its type number.

    :raises ValueError: if the number is taken.
    """

    def decorate(cls):
        if number in classes_by_number:
            raise ValueError(f"message type {number} is already registered")
        cls.NUMBER = number
        classes_by_number[number] = cls
        return cls

    return decorate


def encode(message):
    """Returns the CBOR encoding of a message."""
    return cbor2.dumps([message.NUMBER, *message.as_fields()])


def decode(data):
    """Returns the decoded message, or None if its type is unknown.

    :raises MalformedMessageError: if the bytes are not a valid message.
    """
    number, values = decode_unchecked(data)
    cls = classes_by_number.get(number)
    return None if cls is None else cls.from_fields(values)


def decode_unchecked(data):
    """Returns (type number, list of unchecked field values) of an encoded message.

    :raises MalformedMessageError: if the bytes are not CBOR of this form.
    """
    try:
        value = cbor2.loads(
            data,
            max_depth=MAX_NESTING_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    # The decoder calls the constructors of tagged values, which may raise any
    # exception.
    except Exception as error:
        raise MalformedMessageError(f"not CBOR: {type(error).__name__}") from error
    if type(value) is not list or not value or type(value[0]) is not int:
        raise MalformedMessageError("not a list that starts with a type number")
    return value[0], value[1:]


@register(1)
class Hello(Message):
    """The first message of each side; unauthenticated until the proofs are checked.

    :ivar instance: random identifier of the process, which distinguishes a restart
        from two processes with the same node id.
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


@register(2)
class Proof(Message):
    """Proves that the sender has the cluster key."""

    FIELDS = {"mac": Bytes(PROOF_BYTES, PROOF_BYTES)}
    __slots__ = tuple(FIELDS)


@register(3)
class Heartbeat(Message):
    """Reports that the sender is alive and which documents it holds.

    :ivar digest: version per key of the documents that changed since the previous
        heartbeat on the same link; the first heartbeat contains all documents.
    """

    FIELDS = {"sequence": Uint(), "incarnation": Uint(), "digest": MapOf(Uint())}
    __slots__ = tuple(FIELDS)


@register(4)
class MemberUpdate(Message):
    """The state of one entry VM.

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


@register(5)
class MemberSync(Message):
    """Some of the members that the sender knows, sent when a link becomes ready."""

    FIELDS = {"updates": ListOf(MemberUpdate, maximum=MAX_MEMBERS_PER_MESSAGE)}
    __slots__ = tuple(FIELDS)


@register(6)
class DocumentUpdate(Message):
    """The complete content of a document, compressed with zlib."""

    FIELDS = {
        "key": Text(minimum=1),
        "version": Uint(),
        "compressed": Bytes(MAX_COMPRESSED_BYTES),
    }
    __slots__ = tuple(FIELDS)


@register(7)
class DocumentRequest(Message):
    """Requests a document in a higher version than the one held.

    :ivar held: version that the sender holds, 0 if none.
    """

    FIELDS = {"key": Text(minimum=1), "held": Uint()}
    __slots__ = tuple(FIELDS)


@register(8)
class Flood(Message):
    """A message to all members, which each forwards when it first receives it.

    :ivar sequence: number of the flood, counted by the origin's process.
    :ivar payload: the encoded inner message.
    """

    FIELDS = {
        "origin": Text(minimum=1),
        "instance": Bytes(8, 8),
        "sequence": Uint(),
        "hops_left": Uint(64),
        "payload": Bytes(65_536),
    }
    __slots__ = tuple(FIELDS)


@register(9)
class Relay(Message):
    """A message to one member without a direct link, forwarded along the ring.

    :ivar payload: the encoded inner message.
    """

    FIELDS = {
        "origin": Text(minimum=1),
        "target": Text(minimum=1),
        "hops_left": Uint(64),
        "payload": Bytes(65_536),
    }
    __slots__ = tuple(FIELDS)


@register(16)
class Resign(Message):
    """Announces that a zone controller resigned its term.

    :ivar remaining_s: seconds from sending until its last grant has expired.
    """

    FIELDS = {"zone": Text(minimum=1), "term": Uint(), "remaining_s": Seconds()}
    __slots__ = tuple(FIELDS)


@register(17)
class RoutingLeaseRequest(Message):
    """Requests a routing lease for the unfenced servers of a zone controller.

    :ivar serial: number chosen by the sender, which the answer contains too.
    :ivar versions: ownership version in force per service.
    :ivar instance: random number of the sender's process.
    :ivar in_flight: a key ``service/partition`` for each partition with requests in
        flight; the values have no meaning.
    :ivar longest_s: seconds after the expiry of the lease by which every request sent
        under it has ended.
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


@register(18)
class RoutingLease(Message):
    """Grants a routing lease, which starts at the time its request was sent.

    :ivar versions: lowest ownership version that may be used for routing, per
        service.
    """

    FIELDS = {
        "zone": Text(minimum=1),
        "serial": Uint(),
        "term": Uint(),
        "duration_s": Seconds(),
        "versions": MapOf(Uint()),
    }
    __slots__ = tuple(FIELDS)


@register(19)
class InForce(Message):
    """Reports which configuration version a node has in force.

    It is sent only to nodes that requested it by :class:`InForceRequest`. If every
    node flooded it after each change, 440 nodes would exceed the limit on bytes for
    control traffic.
    """

    FIELDS = {"node_id": Text(minimum=1), "version": Uint()}
    __slots__ = tuple(FIELDS)


@register(20)
class InForceRequest(Message):
    """Asks every node which configuration version it has in force."""

    FIELDS = {}
    __slots__ = ()


@register(21)
class AskTerm(Message):
    """Asks the holder of an earlier term whether that term has ended.

    :ivar incarnation: incarnation of the process that held the term.
    :ivar by_term: term of the controller that asks.
    """

    FIELDS = {
        "zone": Text(minimum=1),
        "term": Uint(),
        "incarnation": Uint(),
        "by_term": Uint(),
    }
    __slots__ = tuple(FIELDS)


@register(22)
class LoadReport(Message):
    """Reports to a zone controller how many requests a gateway sent to a server.

    :ivar interval_s: period in which the requests were counted, in seconds.
    :ivar counts: number of requests by partition number in decimal digits.
    """

    FIELDS = {
        "service": Text(minimum=1),
        "server": Text(minimum=1),
        "interval_s": Seconds(),
        "counts": MapOf(Uint()),
    }
    __slots__ = tuple(FIELDS)
