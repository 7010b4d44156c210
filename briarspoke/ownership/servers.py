"""Calls of the servers' control endpoint over pooled HTTP."""

from __future__ import annotations

import json

from twisted.internet import defer, endpoints, error, protocol
from twisted.web import client, http_headers

from briarspoke.configuration.snapshot import split_address
from briarspoke.ownership import events
from briarspoke.platform.store import BytesProducer

# Below the interval of renewals, so that one call is in flight per server.
CALL_TIMEOUT_S = 0.35


class ServerCalls:
    """Sends grants and probes; results go to ``settled(zone, event)``."""

    def __init__(self, *, reactor, settled):
        self._reactor = reactor
        self._settled = settled
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = 1
        # A repeated call could deliver an older grant after a newer one.
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, pool=self._pool, connectTimeout=CALL_TIMEOUT_S
        )

    def close(self):
        """Closes the pooled connections."""
        return self._pool.closeCachedConnections()

    @defer.inlineCallbacks
    def send_grants(self, zone, command):
        """Sends a :class:`commands.SendGrants`."""
        request = self._agent.request(
            b"POST",
            f"http://{command.address}/_control/grants".encode(),
            http_headers.Headers({"Content-Type": ["application/json"]}),
            BytesProducer(json.dumps(command.body()).encode()),
        )
        request.addTimeout(CALL_TIMEOUT_S, self._reactor)
        try:
            response = yield request
            reading = client.readBody(response)
            reading.addTimeout(CALL_TIMEOUT_S, self._reactor)
            content = yield reading
            event = _answer(command, response.code, json.loads(content))
        except (error.ConnectError, error.ConnectingCancelledError):
            event = _failure(command, refused=True)
        except Exception:
            event = _failure(command, refused=False)
        self._settled(zone, event)

    @defer.inlineCallbacks
    def probe(self, zone, command):
        """Tries a connection for a :class:`commands.ProbeServer`."""
        host, port = split_address(command.address)
        endpoint = endpoints.HostnameEndpoint(
            self._reactor, host, port, timeout=CALL_TIMEOUT_S
        )
        factory = protocol.Factory.forProtocol(protocol.Protocol)
        factory.noisy = False
        try:
            connected = yield endpoint.connect(factory)
        except error.ConnectError:
            reachable = False
        else:
            reachable = True
            connected.transport.loseConnection()
        self._settled(
            zone, events.ProbeSettled(server=command.server, reachable=reachable)
        )


def _answer(command, status, value):
    if status not in (200, 409):
        return _failure(command, refused=False)
    return events.GrantAnswered(
        server=command.server,
        call_id=command.call_id,
        accepted=status == 200,
        clock=float(value["clock"]),
        incarnation=value["incarnation"],
        term=int(value["term"]),
        digest=value.get("digest", ""),
        busy=frozenset(value.get("busy", ())),
    )


def _failure(command, *, refused):
    return events.GrantFailed(
        server=command.server, call_id=command.call_id, refused=refused
    )
