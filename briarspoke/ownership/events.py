"""What a zone controller is told."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class LeaseAcquired:
    """This node has created the zone's lease record.

    :param term: revision of the record.
    :param sent_at: when the lease was last confirmed, by its sending time.
    :param vacated_at: since when the previous record is known to be gone.
    """

    term: int
    sent_at: float
    vacated_at: float


@dataclass(slots=True, kw_only=True)
class LeaseConfirmed:
    """The store has confirmed a keepalive that was sent at this time."""

    sent_at: float


@dataclass(slots=True, kw_only=True)
class LeaseLost:
    """The store no longer has the lease, or this node has given it up."""


@dataclass(slots=True, kw_only=True)
class ConfigurationChanged:
    """A configuration has come into force."""

    configuration: object


@dataclass(slots=True, kw_only=True)
class DocumentRead:
    """A document as the store holds it.

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
    """A version of a document was received from another node."""

    service: str
    version: int


@dataclass(slots=True, kw_only=True)
class GrantAnswered:
    """A server has answered a control call.

    :param accepted: False if the server refused the term or incarnation.
    :param clock: the server's clock in seconds.
    :param term: highest term that the server has seen.
    :param busy: revoked partitions with requests in flight.
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
    """A control call got no answer.

    :param refused: True if the connection was refused, so that the call
        cannot have been delivered.
    """

    server: str
    call_id: int
    refused: bool


@dataclass(slots=True, kw_only=True)
class ProbeSettled:
    """A connection to an unfenced server was tried."""

    server: str
    reachable: bool


@dataclass(slots=True, kw_only=True)
class ServerReported:
    """A gateway reports whether a server answers requests."""

    server: str
    reachable: bool


class WriteOutcome(enum.Enum):
    """What is known of a compare-and-swap."""

    TAKEN = "taken"
    CONFLICT = "conflict"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class WriteSettled:
    """A compare-and-swap has ended.

    :param revision: new revision when taken, else 0.
    """

    service: str
    write_id: str
    outcome: WriteOutcome
    revision: int = 0


@dataclass(slots=True, kw_only=True)
class VmsListed:
    """The VM list, as last seen.

    :param state_by_id: ``live``, ``leaving`` or ``terminated`` per VM.
    """

    state_by_id: dict


@dataclass(slots=True, kw_only=True)
class NodeHeard:
    """Another entry VM has sent something."""

    node_id: str


@dataclass(slots=True, kw_only=True)
class PeerResigned:
    """The holder of a term has ended it and will send no grant any more.

    :param remaining_s: time from sending until its last grant has expired.
    """

    term: int
    remaining_s: float


@dataclass(slots=True, kw_only=True)
class TermAsked:
    """A later holder asks whether a term of this node has ended.

    :param node_id: the entry VM that asks.
    :param incarnation: incarnation of the process that held the term.
    """

    node_id: str
    term: int
    incarnation: int
    by_term: int


@dataclass(slots=True, kw_only=True)
class PeerSeen:
    """An entry VM is linked with this incarnation."""

    node_id: str
    incarnation: int


@dataclass(slots=True, kw_only=True)
class RoutingLeaseRequested:
    """An entry VM asks for a routing lease.

    :param sent_at: sending time on the entry VM's clock, returned to it.
    :param version_by_service: ownership versions in force at the entry VM.
    :param in_flight: names ``service/partition`` with requests in flight.
    :param longest_deadline_s: no request that the entry VM sends under this
        lease lasts longer than this after the lease has expired.
    """

    node_id: str
    sent_at: float
    version_by_service: dict
    in_flight: frozenset = frozenset()
    longest_deadline_s: float = 0.0
    incarnation: int = 0


@dataclass(slots=True, kw_only=True)
class Paused:
    """The event loop did not run for a while."""

    length_s: float


@dataclass(slots=True, kw_only=True)
class LoadReported:
    """A gateway reports the load of a server.

    :param rate_by_partition: requests per second per partition number.
    """

    service: str
    server: str
    rate_by_partition: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True, kw_only=True)
class ZonesAlive:
    """The zones that have live entry VMs, as this node knows them."""

    zones: frozenset
