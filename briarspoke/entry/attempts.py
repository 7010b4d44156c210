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
    :ivar may_have_run: whether any of the request had been written to the server when
        the attempt was abandoned.
    """

    __slots__ = (
        "exchange",
        "is_copy",
        "is_running",
        "may_have_run",
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
        self.may_have_run = False
        server.request_sent(self)

    @property
    def request(self):
        """The :class:`briarspoke.entry.request.Request`."""
        return self.exchange.request

    def handle_answer(self, answer):
        """Passes an answer, or the reason why there is none, to the exchange."""
        self.exchange.handle_answer(self, answer)

    def on_timer(self, now):
        """Called when the request is due for a copy, if it still runs."""
        self.exchange.dispatcher.copies.send_due(self)

    def may_write(self):
        """Returns whether the request is written to a connection that is ready.

        The server may leave, or its zone may be evacuated, while it is opened.
        """
        exchange = self.exchange
        size_bytes = self.request.size_bytes
        selection = exchange.dispatcher.selection
        if not selection.can_arrive(self.server, size_bytes, connects=False):
            return False
        exchange.node.link.record_write(size_bytes)
        return True

    def end(self):
        """Notes that the server has answered or that the attempt has failed."""
        if self.is_running:
            self.is_running = False
            self.server.request_ended(self)

    def abandon(self):
        """Closes the connection, so that the server stops working on the request."""
        if self.is_running:
            self.end()
            if self.upstream_request is None:
                # Sending it has failed, so it is not known what was written.
                self.may_have_run = True
                return
            # A closed connection does not tell what it had sent.
            self.may_have_run = self.upstream_request.written
            self.upstream_request.abandon()
