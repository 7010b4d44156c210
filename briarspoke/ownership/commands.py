"""Commands that a zone controller issues."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class SendGrants:
    """Call a server's control endpoint.

    :param grants: epoch per ``service/partition``, or None if unchanged.
    :param digest: digest of the grants that the server should hold.
    :param revoke: names of the partitions to revoke.
    :param expires_at: expiry on the server's clock in seconds, None to only read
        the clock.
    :param incarnation: the server's incarnation whose clock ``expires_at`` uses.
    """

    server: str
    address: str
    call_id: int
    zone: str
    term: int
    grants: dict | None
    digest: str
    revoke: tuple
    expires_at: float | None
    incarnation: str | None

    def body(self):
        """Returns the body of the call as a dict to be encoded as JSON."""
        return {
            "zone": self.zone,
            "term": self.term,
            "server": self.server,
            "grants": self.grants,
            "digest": self.digest,
            "revoke": list(self.revoke),
            "expires_at": self.expires_at,
            "incarnation": self.incarnation,
        }


@dataclass(slots=True, kw_only=True)
class ProbeServer:
    """Test whether an unfenced server accepts a connection."""

    server: str
    address: str


@dataclass(slots=True, kw_only=True)
class WriteDocument:
    """Replace an ownership document by a compare-and-swap."""

    service: str
    document: object
    expected_revision: int
    write_id: str


@dataclass(slots=True, kw_only=True)
class ReadDocument:
    """Read an ownership document from the store."""

    service: str


@dataclass(slots=True, kw_only=True)
class ConfirmLease:
    """Send a keepalive now instead of at the next interval."""


@dataclass(slots=True, kw_only=True)
class Resign:
    """Notify one entry VM or all of them that a term has ended.

    :param node_id: the entry VM to notify, None for all.
    :param remaining_s: seconds until the last grant of the term has expired.
    """

    zone: str
    term: int
    remaining_s: float
    node_id: str | None = None


@dataclass(slots=True, kw_only=True)
class AskTerm:
    """Ask the holder of an earlier term whether that term has ended.

    :param incarnation: incarnation of the process that held the term.
    :param by_term: term of the controller that asks.
    """

    node_id: str
    zone: str
    term: int
    incarnation: int
    by_term: int


@dataclass(slots=True, kw_only=True)
class GiveUpLease:
    """Release the lease because a newer term exists."""


@dataclass(slots=True, kw_only=True)
class GrantRoutingLease:
    """Grant an entry VM the routing lease that it requested.

    :param sent_at: ``sent_at`` of the request, returned unchanged.
    :param duration_s: seconds for which the lease is valid after the request was sent.
    :param version_by_service: minimum ownership version by which the entry VM may
        route requests, per service that the lease covers.
    """

    node_id: str
    zone: str
    term: int
    sent_at: float
    duration_s: float
    version_by_service: dict


@dataclass(slots=True, kw_only=True)
class RequestRoutingLease:
    """Request a routing lease from a zone's controller.

    :param request: the :class:`events.RoutingLeaseRequested`.
    """

    zone: str
    request: object
