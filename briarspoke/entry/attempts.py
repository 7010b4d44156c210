"""One sending of a request to one server."""

from __future__ import annotations


class Attempt:
    """A request that has been sent to a server and is not answered yet.

    Creating an attempt counts it as in flight at its server; it is counted until it is
    taken out with :meth:`end` or :meth:`abandon`, each of which works once.

    :param exchange: the :class:`briarspoke.entry.exchange.Exchange`.
    :param server: the :class:`briarspoke.entry.servers.Server`.
    :param sent_at: monotonic seconds.
    :param is_copy: whether another attempt was running at that time.
    """

    __slots__ = (
        "exchange",
        "is_copy",
        "is_running",
        "sent_at",
        "server",
        "upstream_request",
    )

    def __init__(self, *, exchange, server, sent_at, is_copy=False):
        self.exchange = exchange
        self.server = server
        self.sent_at = sent_at
        self.is_copy = is_copy
        # The :class:`briarspoke.entry.servers.UpstreamRequest`.
        self.upstream_request = None
        self.is_running = True
        server.in_flight += 1

    def handle_answer(self, answer):
        """Passes an answer, or the reason why there is none, to the exchange."""
        self.exchange.handle_answer(self, answer)

    def on_timer(self, now):
        """Called when the request is due for a copy, if it still runs."""
        self.exchange.dispatcher.copies.send_due(self)

    @property
    def may_have_run(self):
        """Whether any of the request was written to the server."""
        return self.upstream_request is not None and self.upstream_request.written

    def end(self):
        """Notes that the server has answered or that the attempt has failed."""
        if self.is_running:
            self.is_running = False
            self.server.in_flight -= 1

    def abandon(self):
        """Closes the connection, so that the server stops working on the request."""
        if self.is_running:
            self.end()
            if self.upstream_request is not None:
                self.upstream_request.abandon()
