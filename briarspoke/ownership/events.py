"""Events that a zone controller handles."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class LeaseAcquired:
    """This node has created the zone's lease record.

    :param term: revision of the record.
    :param sent_at: time at which the lease was requested from the store.
    :param vacated_at: time at which the previous record was known not to exist.
    """

    term: int
    sent_at: float
    vacated_at: float


@dataclass(slots=True, kw_only=True)
class LeaseConfirmed:
    """The store has confirmed a keepalive.

    :param sent_at: time at which the keepalive was sent.
    """

    sent_at: float


@dataclass(slots=True, kw_only=True)
class LeaseLost:
    """The lease has expired in the store, or this node has released it."""


@dataclass(slots=True, kw_only=True)
class ConfigurationChanged:
    """A configuration has come into force."""

    configuration: object


@dataclass(slots=True, kw_only=True)
class DocumentRead:
    """A document was read from the store.

    :param revision: store revision, 0 if there is no document.
    :param document: the ownership document, or None.
    """

    service: str
    revision: int
    document: object


@dataclass(slots=True, kw_only=True)
class DocumentReadFailed:
    """A document could not be read."""

    service: str


@dataclass(slots=True, kw_only=True)
class VersionSeen:
    """A version of a document was read from the store or sent by another node."""

    service: str
    version: int


@dataclass(slots=True, kw_only=True)
class GrantAnswered:
    """A server has answered a control call.

    :param accepted: False if the server refused the term or incarnation.
    :param clock: the server's clock in seconds.
    :param term: highest term that the server has received.
    :param digest: digest of the grants that the server holds.
    :param busy: names of revoked partitions with requests in flight.
    """

    server: str
    call_id: int
    accepted: bool
    clock: float
    incarnation: str
    term: int
    digest: str = ""
    busy: frozenset = frozenset()


@dataclass(slots=True, kw_only=True)
class GrantFailed:
    """A control call received no valid answer.

    :param refused: True if the connection was refused, so that the call
        cannot have been delivered.
    """

    server: str
    call_id: int
    refused: bool


@dataclass(slots=True, kw_only=True)
class ProbeSettled:
    """The probe of an unfenced server has ended."""

    server: str
    reachable: bool


@dataclass(slots=True, kw_only=True)
class ServerReported:
    """A gateway has reported whether an unfenced server answers requests."""

    server: str
    reachable: bool


class WriteOutcome(enum.Enum):
    """Outcome of a compare-and-swap."""

    ACCEPTED = "taken"
    CONFLICT = "conflict"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class WriteSettled:
    """A compare-and-swap has ended.

    :param revision: new revision if the write was accepted, else 0.
    """

    service: str
    write_id: str
    outcome: WriteOutcome
    revision: int = 0


@dataclass(slots=True, kw_only=True)
class VmsListed:
    """The VM list was received.

    :param state_by_id: ``live``, ``leaving`` or ``terminated`` per VM.
    """

    state_by_id: dict


@dataclass(slots=True, kw_only=True)
class NodeReachable:
    """Another entry VM has been reachable until now."""

    node_id: str


@dataclass(slots=True, kw_only=True)
class PeerResigned:
    """The holder of a term has ended it and sends no more grants.

    :param remaining_s: seconds from sending until its last grant has expired.
    """

    term: int
    remaining_s: float


@dataclass(slots=True, kw_only=True)
class TermAsked:
    """A later holder asks whether a term of this node has ended.

    :param node_id: the entry VM that asks.
    :param incarnation: incarnation of the process that held the term.
    :param by_term: term of the controller that asks.
    """

    node_id: str
    term: int
    incarnation: int
    by_term: int


@dataclass(slots=True, kw_only=True)
class PeerSeen:
    """A link to an entry VM with this incarnation exists."""

    node_id: str
    incarnation: int


@dataclass(slots=True, kw_only=True)
class RoutingLeaseRequested:
    """An entry VM requests a routing lease.

    :param sent_at: sending time on the entry VM's clock, or the serial of the message
        if it came over a link; returned unchanged.
    :param version_by_service: ownership versions in force at the entry VM.
    :param in_flight: names ``service/partition`` with requests in flight.
    :param max_deadline_s: seconds after the expiry of the lease by which every
        request sent under it has ended.
    :param incarnation: incarnation of the entry VM's process.
    """

    node_id: str
    sent_at: float
    version_by_service: dict
    in_flight: frozenset = frozenset()
    max_deadline_s: float = 0.0
    incarnation: int = 0


@dataclass(slots=True, kw_only=True)
class Paused:
    """The event loop was blocked or the process was suspended."""

    length_s: float


@dataclass(slots=True, kw_only=True)
class LoadReported:
    """A gateway has reported the load of a server.

    :param rate_by_partition: requests per second per partition number.
    """

    service: str
    server: str
    rate_by_partition: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Tick:
    """Some time has passed; sent periodically."""


@dataclass(slots=True, kw_only=True)
class ZonesAlive:
    """The zones that have live entry VMs, to this node's knowledge."""

    zones: frozenset
