"""Datagrams between entry VMs: load for the controller, owners from it."""

from __future__ import annotations

import logging

import cbor2
from twisted.internet import protocol

from briarspoke.keyspace.keymap import Owner
from briarspoke.keyspace.load import LoadCounts

log = logging.getLogger(__name__)

REPORT_S = 0.25
# A datagram holds at most about this many rows.
MAX_ROWS = 400
# First member of a datagram.
LOAD = 1
OWNERS = 2


class Datagrams(protocol.DatagramProtocol):
    """Sends and receives what other entry VMs should know soon.

    A lost datagram does no harm: load is reported again, and owners come with the
    key map in the store.

    :param take_load: called with (service, :class:`LoadCounts`).
    :param take_owners: called with (service, [(first, last, :class:`Owner`)]).
    """

    def __init__(self, *, take_load, take_owners):
        self._take_load = take_load
        self._take_owners = take_owners

    def datagramReceived(self, data, address):
        try:
            kind, service, *rest = cbor2.loads(data)
            take, decoded = self._decode(kind, rest)
        except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
            log.warning(
                "keys: unreadable datagram from=%s error=%r", address[0], str(error)
            )
            return
        take(str(service), decoded)

    def _decode(self, kind, rest):
        if kind == LOAD:
            counts, latencies = rest
            load = LoadCounts(
                requests={int(key): int(count) for key, count in counts.items()},
                latencies={
                    str(server_id): (int(count), total_ms / 1000)
                    for server_id, (count, total_ms) in latencies.items()
                },
            )
            return self._take_load, load
        if kind != OWNERS:
            raise ValueError(f"unknown kind {kind!r}")
        changes = [
            (
                int(first),
                int(last),
                Owner(server_id=str(s), incarnation=int(i), fence=int(fence)),
            )
            for first, last, s, i, fence in rest[0]
        ]
        return self._take_owners, changes

    def send_load(self, service, counts, address):
        """Sends the :class:`LoadCounts` of a service to the controller."""
        pairs = list(counts.requests.items())
        latencies = {
            server_id: [count, round(total_s * 1000)]
            for server_id, (count, total_s) in counts.latencies.items()
        }
        for start in range(0, len(pairs) or 1, MAX_ROWS):
            part = dict(pairs[start : start + MAX_ROWS])
            self.transport.write(cbor2.dumps([LOAD, service, part, latencies]), address)
            latencies = {}

    def send_owners(self, service, changes, addresses):
        """Tells entry VMs which ranges have a new owner.

        :param changes: [(first, last, :class:`Owner`)].
        """
        rows = [
            [first, last, owner.server_id, owner.incarnation, owner.fence]
            for first, last, owner in changes
        ]
        data = cbor2.dumps([OWNERS, service, rows])
        for address in addresses:
            self.transport.write(data, address)
