"""Writes that go to the socket at once."""

from __future__ import annotations


def write_immediately(transport, data):
    """Writes data, directly to the socket if nothing is buffered.

    ``transport.write`` always waits for the event loop to report the socket as
    writable, which costs a registration, a wake-up and a removal per message.
    """
    if (
        not transport.dataBuffer
        and not transport._tempDataBuffer
        and (transport.connected and not transport.disconnecting)
    ):
        sent = transport.writeSomeData(data)
        if not isinstance(sent, int):
            # The reader reports a lost connection; write drops the data.
            transport.write(data)
            return
        if sent == len(data):
            return
        data = data[sent:]
    transport.write(data)
