"""One complete request of a caller."""

from __future__ import annotations

from briarspoke.platform import headers as header_names

# Subtracted from the caller's deadline for the network time of request and answer.
DEADLINE_MARGIN_S = 0.01
# Used for a request without a deadline header.
DEFAULT_DEADLINE_S = 30.0
# Bytes of the request line and of the headers that this VM adds, without the target.
ADDED_HEAD_BYTES = 150


class Request:
    """A complete request of a caller.

    :param method: HTTP method in bytes.
    :param target: path and query in bytes.
    :param headers: list of (name in lower case, value) in bytes.
    :param body: the :class:`briarspoke.entry.arriving.Body`.
    :param arrived_at: monotonic seconds of its first byte.
    :param completed_at: monotonic seconds of its last byte.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "closes_connection",
        "completed_at",
        "deadline_s",
        "fingerprint",
        "headers",
        "held_bytes",
        "host",
        "key",
        "method",
        "request_id",
        "target",
    )

    def __init__(self, *, method, target, headers, body, arrived_at, completed_at):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.completed_at = completed_at
        self.closes_connection = False
        # Bytes that the limit on held request bodies counts for this request.
        self.held_bytes = 0
        self.host = b""
        self.request_id = b""
        self.deadline_s = None
        self.key = None
        # See :class:`briarspoke.entry.fingerprints.Fingerprints`; computed when needed.
        self.fingerprint = None
        for name, value in headers:
            if name == b"host":
                self.host = value.split(b":")[0].strip().lower()
            elif name == header_names.REQUEST_ID:
                self.request_id = value
            elif name == header_names.DEADLINE_MS:
                if value.isdigit() and len(value) < 10:
                    self.deadline_s = int(value) / 1000
            elif name == header_names.KEY and value.isdigit() and len(value) < 6:
                self.key = int(value)

    @property
    def size_bytes(self):
        """Size of the request as it is sent to a server, in bytes."""
        head = sum(len(name) + len(value) + 4 for name, value in self.headers)
        return ADDED_HEAD_BYTES + len(self.target) + head + len(self.body)

    @property
    def path(self):
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0]

    def expires_at(self, route):
        """Returns the time at which the caller's or the route's time limit ends.

        :param route: the :class:`briarspoke.entry.routes.Route`.
        """
        wait_s = self.deadline_s or DEFAULT_DEADLINE_S
        if self.deadline_s is not None:
            wait_s -= DEADLINE_MARGIN_S
        if route.timeout_s is not None:
            wait_s = min(wait_s, route.timeout_s)
        return self.arrived_at + wait_s
