"""HTTP client of the load parts: records, connections and targets."""

from __future__ import annotations

import asyncio

import httptools

from briarspoke.clock import monotonic


class Record:
    """One request and its end.

    :param due_at: monotonic time at which the request was due. Durations count
        from here, not from sending; otherwise a slow generator would hide
        waiting time.
    """

    __slots__ = ("code", "due_at", "ended_at", "status")

    def __init__(self, due_at):
        self.due_at = due_at
        self.ended_at = None
        self.status = None
        self.code = None

    def end(self, status, code):
        """Notes the answer; a request without one ends with 0 and 0."""
        self.ended_at = monotonic()
        self.status = status
        self.code = code


class Connection(asyncio.Protocol):
    """A connection with one exchange at a time.

    :param owner: object whose ``free(connection)`` is called when the connection
        can take a request again, and ``lost(connection)`` when it has closed.
    """

    def __init__(self, owner):
        self._owner = owner
        self._transport = None
        self._parser = None
        self._record = None
        self._code = 0

    def connection_made(self, transport):
        self._transport = transport

    def send(self, record, content):
        """Writes a whole request, whose answer ends the record."""
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
            self._owner.free(self)
        else:
            self._transport.close()

    def connection_lost(self, error):
        self._owner.lost(self)
        if self._record is not None:
            self._record.end(0, 0)

    def abort(self):
        """Closes the connection at once."""
        self._transport.abort()


class CodeConnection(Connection):
    """A connection that reads the result code of each answer.

    A callback per header costs too much in measurements of the highest rate.
    """

    def on_header(self, name, value):
        if name.lower() == b"briarspoke-code":
            self._code = int(value)


class Target:
    """One port, with as many connections as there are requests in flight.

    :param max_connections: a request beyond them ends at once without an answer;
        None for no limit.
    """

    def __init__(self, host, port, *, max_connections=None):
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._open = 0
        self._idle = []
        self._connecting = set()

    def send(self, record, content):
        """Sends a request on an idle connection or on a new one."""
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

    def free(self, connection):
        """Keeps a connection for the next request."""
        self._idle.append(connection)

    def lost(self, connection):
        """Forgets a connection that has closed."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
