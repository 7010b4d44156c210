"""Datagrams that tell the controller which keys are busy."""

from __future__ import annotations

import logging

import cbor2
from twisted.internet import protocol

log = logging.getLogger(__name__)

REPORT_S = 0.25
# A datagram holds at most about this many buckets.
MAX_BUCKETS = 400


class LoadReports(protocol.DatagramProtocol):
    """Sends and receives load by key.

    :param received: called with (service, ``{bucket: requests}``).
    """

    def __init__(self, received):
        self._received = received

    def datagramReceived(self, data, address):
        try:
            service, counts = cbor2.loads(data)
            counts = {int(bucket): int(count) for bucket, count in counts.items()}
        except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
            log.warning(
                "keys: unreadable report from=%s error=%r", address[0], str(error)
            )
            return
        self._received(str(service), counts)

    def send(self, taken, host, port):
        """Sends counts.

        :param taken: ``{service: {bucket: requests}}``.
        """
        for service, counts in taken.items():
            pairs = list(counts.items())
            for start in range(0, len(pairs), MAX_BUCKETS):
                part = dict(pairs[start : start + MAX_BUCKETS])
                self.transport.write(cbor2.dumps([service, part]), (host, port))
