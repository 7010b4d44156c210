"""The port on which an entry VM receives requests forwarded by other entry VMs."""

from __future__ import annotations

from briarspoke.errors import Refusal
from briarspoke.http.callers import CallerChannel, CallerFactory
from briarspoke.http.exchange import request_id_of
from briarspoke.http.forward import verify
from briarspoke.http.proxied_request import ProxiedRequest


class PeerChannel(CallerChannel):
    """One connection of another entry VM."""

    def new_proxied_request(self, exchange, head, length):
        router = self.router
        forward = refusal = None
        try:
            forward = verify(
                head.headers,
                router.forward_key,
                method=self._command,
                target=self._path,
                node_id=router.node_id,
            )
            request_id = forward.request_id
        except Refusal as error:
            refusal = error
            request_id = request_id_of(head)
        return ProxiedRequest(
            router=router,
            exchange=exchange,
            head=head,
            raw_headers=exchange.requestHeaders.pairs,
            length=length,
            request_id=request_id,
            forward=forward,
            refusal=refusal,
        )


class PeerFactory(CallerFactory):
    """Creates a channel for each connection of another entry VM.

    The node listens with it on the address of the setting ``forward_listen``.
    """

    channel_class = PeerChannel
