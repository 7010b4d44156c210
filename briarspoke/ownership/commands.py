"""What a zone controller wants done."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class SendGrants:
    """Call a server's control endpoint.

    :param grants: epoch per ``service/partition``, or None if unchanged.
    :param expires_at: seconds of the server's clock, None to only read it.
    :param incarnation: the incarnation whose clock ``expires_at`` refers to.
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
        """Returns the body of the call as a JSON object."""
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
    """Try whether an unfenced server accepts a connection."""

    server: str
    address: str


@dataclass(slots=True, kw_only=True)
class WriteDocument:
    """Compare and swap an ownership document."""

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
    """Tell one entry VM, or all, that a term has ended.

    :param node_id: the entry VM to tell, None for all.
    :param remaining_s: seconds until the last grant of the term has expired.
    """

    zone: str
    term: int
    remaining_s: float
    node_id: str | None = None


@dataclass(slots=True, kw_only=True)
class AskTerm:
    """Ask the holder of an earlier term whether that term has ended.

    :param by_term: the term of the controller that asks.
    """

    node_id: str
    zone: str
    term: int
    incarnation: int
    by_term: int


@dataclass(slots=True, kw_only=True)
class GiveUpLease:
    """Stop holding the lease: another term has been seen."""


@dataclass(slots=True, kw_only=True)
class GrantRoutingLease:
    """Answer an entry VM's request for a routing lease.

    :param version_by_service: lowest ownership version with which the entry
        VM may send requests, per service that the lease covers.
    """

    node_id: str
    zone: str
    term: int
    sent_at: float
    duration_s: float
    version_by_service: dict


@dataclass(slots=True, kw_only=True)
class RequestRoutingLease:
    """Ask a zone's controller for a routing lease.

    :param request: the :class:`events.RoutingLeaseRequested`.
    """

    zone: str
    request: object
