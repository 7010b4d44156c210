"""Writes to transports that bypass the event loop."""

from __future__ import annotations


def write_immediately(transport, data):
    """Writes data, directly to the socket if the transport has nothing buffered.

    ``transport.write`` always waits until the event loop reports the socket as
    writable, which costs a registration, a wake-up and a removal per message.
    """
    if (
        not transport.dataBuffer
        and not transport._tempDataBuffer
        and (transport.connected and not transport.disconnecting)
    ):
        sent = transport.writeSomeData(data)
        if not isinstance(sent, int):
            # The connection is lost: the reader reports it, and write drops the data.
            transport.write(data)
            return
        if sent == len(data):
            return
        data = data[sent:]
    transport.write(data)
