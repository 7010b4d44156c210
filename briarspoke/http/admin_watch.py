"""Streams configuration changes to operators."""

from __future__ import annotations

import collections
import json
import logging

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

log = logging.getLogger(__name__)

MAX_WATCHES = 64
HEARTBEAT_INTERVAL_S = 5.0
# If a reader falls further behind, its connection is aborted. It can reconnect and
# continue after its last version with ``from``.
MAX_BUFFERED_EVENTS = 64


class Watches:
    """The open watches of an API.

    :param active_configuration: the :class:`ActiveConfiguration` whose versions
        are streamed.
    """

    def __init__(self, *, reactor, active_configuration):
        self.reactor = reactor
        self.active_configuration = active_configuration
        self.open = set()

    @property
    def is_full(self):
        """Whether the maximum number of watches is open."""
        return len(self.open) >= MAX_WATCHES

    def start(self, request, from_version):
        """Streams changes in response to a request until its connection closes.

        :param from_version: version that the client already has.
        """
        watch = Watch(watches=self, request=request, from_version=from_version)
        self.open.add(watch)
        watch.start()

    def stop(self):
        """Ends every watch."""
        for watch in list(self.open):
            watch.end()


@implementer(IPushProducer)
class Watch:
    """A stream of events, each one line of JSON."""

    def __init__(self, *, watches, request, from_version):
        self.watches = watches
        self.request = request
        self.version = from_version
        self._buffer = collections.deque()
        self._is_paused = False
        self._is_ended = False
        self._heartbeat_call = None
        self._stop_observing = None

    def start(self):
        """Sends all changes after the requested version, then each new change.

        If some of these changes are no longer known, a snapshot replaces them.
        """
        self.request.setHeader(b"Content-Type", b"application/jsonl; charset=utf-8")
        self.request.registerProducer(self, True)
        self.request.notifyFinish().addBoth(lambda _: self._clean_up())
        self._stop_observing = self.watches.active_configuration.observe(
            lambda _: self._send_changes()
        )
        self._send_changes()
        self._send_heartbeat()

    def end(self):
        """Finishes the response, so that the client sees a complete stream."""
        if self._is_ended:
            return
        self._clean_up()
        self.request.unregisterProducer()
        self.request.finish()

    def _send_changes(self):
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

    def _send_heartbeat(self):
        self._heartbeat_call = self.watches.reactor.callLater(
            HEARTBEAT_INTERVAL_S, self._send_heartbeat
        )
        if not self._is_paused:
            version = self.watches.active_configuration.document.version
            self._send({"event": "heartbeat", "version": version})

    def _send(self, event):
        line = json.dumps(event, separators=(",", ":")).encode() + b"\n"
        if not self._is_paused:
            self.request.write(line)
        elif len(self._buffer) < MAX_BUFFERED_EVENTS:
            self._buffer.append(line)
        elif not self._is_ended:
            log.warning("admin: closed a watch whose reader is too slow")
            self._clean_up()
            self.request.transport.abortConnection()

    def _clean_up(self):
        self._is_ended = True
        self._buffer.clear()
        self.watches.open.discard(self)
        if self._heartbeat_call is not None and self._heartbeat_call.active():
            self._heartbeat_call.cancel()
        if self._stop_observing is not None:
            self._stop_observing()

    def pauseProducing(self):
        """Buffers events while the transport's buffer is full."""
        self._is_paused = True

    def resumeProducing(self):
        """Sends the buffered events."""
        self._is_paused = False
        while self._buffer and not self._is_paused:
            self.request.write(self._buffer.popleft())

    def stopProducing(self):
        """Ends the watch after its connection was lost."""
        self._clean_up()
