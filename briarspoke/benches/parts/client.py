"""HTTP client of the load generators."""

from __future__ import annotations

import asyncio

import httptools

from briarspoke.clock import monotonic


class Record:
    """When a request was due, when it ended, and its result.

    :param due_at: monotonic time at which the request was due. Latencies are
        measured from this time and not from sending, because a slow generator
        would otherwise hide waiting time.
    """

    __slots__ = ("code", "due_at", "ended_at", "status")

    def __init__(self, due_at):
        self.due_at = due_at
        self.ended_at = None
        self.status = None
        self.code = None

    def end(self, status, code):
        """Records the result; status and code are 0 without an answer."""
        self.ended_at = monotonic()
        self.status = status
        self.code = code


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    :param listener: object whose ``connection_idle(connection)`` is called when the
        connection can take the next request, and ``connection_closed(connection)``
        when it has closed.
    """

    def __init__(self, listener):
        self._listener = listener
        self._transport = None
        self._parser = None
        self._record = None
        self._code = 0

    def connection_made(self, transport):
        self._transport = transport

    def send(self, record, content):
        """Writes a complete request; its answer ends the record."""
        self._record = record
        self._code = 0
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(content)

    def data_received(self, data):
        if self._record is not None:
            self._parser.feed_data(data)

    def on_message_complete(self):
        record, self._record = self._record, None
        record.end(self._parser.get_status_code(), self._code)
        if self._parser.should_keep_alive():
            self._listener.connection_idle(self)
        else:
            self._transport.close()

    def connection_lost(self, error):
        self._listener.connection_closed(self)
        if self._record is not None:
            self._record.end(0, 0)

    def abort(self):
        """Closes the connection without flushing its buffer."""
        self._transport.abort()


class CodeConnection(Connection):
    """A connection that reads the result code of each answer.

    It is separate from :class:`Connection` because a callback per header costs
    too much when the maximum rate is measured.
    """

    def on_header(self, name, value):
        if name.lower() == b"briarspoke-code":
            self._code = int(value)


class Target:
    """One port, with a connection for each request in flight.

    :param max_connections: limit of open connections, or None. A request that
        would exceed it ends immediately without an answer.
    """

    def __init__(self, host, port, *, max_connections=None):
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._open = 0
        self._idle = []
        self._connecting = set()

    def send(self, record, content):
        """Sends a request on an idle connection, or opens a new one."""
        if self._idle:
            self._idle.pop().send(record, content)
        elif self._max_connections is None or self._open < self._max_connections:
            self._open += 1
            task = asyncio.ensure_future(self._connect(record, content))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        else:
            record.end(0, 0)

    async def _connect(self, record, content):
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: CodeConnection(self), self._host, self._port
            )
        except OSError:
            self._open -= 1
            record.end(0, 0)
            return
        connection.send(record, content)

    def connection_idle(self, connection):
        """Keeps a connection for the next request."""
        self._idle.append(connection)

    def connection_closed(self, connection):
        """Removes a connection that has closed."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
