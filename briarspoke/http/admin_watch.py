"""Streams of configuration changes to operators."""

from __future__ import annotations

import collections
import json
import logging

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

log = logging.getLogger(__name__)

MAX_WATCHES = 64
HEARTBEAT_S = 5.0
# A reader that is this far behind is cut off and may start again with ``from``.
EVENTS_BUFFERED = 64


class Watches:
    """The open watches of one API.

    :param active_configuration: the :class:`ActiveConfiguration` whose versions are
        streamed.
    """

    def __init__(self, *, reactor, active_configuration):
        self.reactor = reactor
        self.active_configuration = active_configuration
        self.open = set()

    @property
    def is_full(self):
        """Whether no further watch may be opened."""
        return len(self.open) >= MAX_WATCHES

    def start(self, request, from_version):
        """Streams to a request until its connection closes."""
        watch = Watch(watches=self, request=request, from_version=from_version)
        self.open.add(watch)
        watch.start()

    def stop(self):
        """Ends every watch."""
        for watch in list(self.open):
            watch.end()


@implementer(IPushProducer)
class Watch:
    """One stream of JSON lines."""

    def __init__(self, *, watches, request, from_version):
        self.watches = watches
        self.request = request
        self.version = from_version
        self._buffer = collections.deque()
        self._is_paused = False
        self._is_ended = False
        self._heartbeat = None
        self._end_observation = None

    def start(self):
        """Sends what is newer than the version asked for, and goes on."""
        self.request.setHeader(b"Content-Type", b"application/jsonl; charset=utf-8")
        self.request.registerProducer(self, True)
        self.request.notifyFinish().addBoth(lambda _: self._closed())
        self._end_observation = self.watches.active_configuration.observe(
            lambda _: self._advance()
        )
        self._advance()
        self._beat()

    def end(self):
        """Closes the stream in an orderly way."""
        if self._is_ended:
            return
        self._closed()
        self.request.unregisterProducer()
        self.request.finish()

    def _advance(self):
        active_configuration = self.watches.active_configuration
        if active_configuration.document.version < self.version or self._is_ended:
            return
        transitions = active_configuration.transitions_since(self.version)
        if transitions is None:
            self._send(
                {
                    "event": "snapshot",
                    "version": active_configuration.document.version,
                    "resources": active_configuration.document.as_json(),
                }
            )
        for transition in transitions or ():
            self._send(
                {
                    "event": "change",
                    "from": transition.from_version,
                    "version": transition.version,
                    "changes": [d.as_json() for d in transition.differences],
                }
            )
        self.version = active_configuration.document.version

    def _beat(self):
        self._heartbeat = self.watches.reactor.callLater(HEARTBEAT_S, self._beat)
        if not self._is_paused:
            version = self.watches.active_configuration.document.version
            self._send({"event": "heartbeat", "version": version})

    def _send(self, event):
        line = json.dumps(event, separators=(",", ":")).encode() + b"\n"
        if not self._is_paused:
            self.request.write(line)
        elif len(self._buffer) < EVENTS_BUFFERED:
            self._buffer.append(line)
        elif not self._is_ended:
            log.warning("admin: a watch is too slow and is cut off")
            self._closed()
            self.request.transport.abortConnection()

    def _closed(self):
        self._is_ended = True
        self._buffer.clear()
        self.watches.open.discard(self)
        if self._heartbeat is not None and self._heartbeat.active():
            self._heartbeat.cancel()
        if self._end_observation is not None:
            self._end_observation()

    # IPushProducer.

    def pauseProducing(self):
        """Holds lines back while the connection's buffer is full."""
        self._is_paused = True

    def resumeProducing(self):
        """Sends the lines held back."""
        self._is_paused = False
        while self._buffer and not self._is_paused:
            self.request.write(self._buffer.popleft())

    def stopProducing(self):
        """Ends the watch; the connection is gone."""
        self._closed()
