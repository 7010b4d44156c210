"""Spreads documents over the links: announces, requests and answers."""

from __future__ import annotations

import logging
import zlib

from twisted.internet import defer

from briarspoke.errors import InvariantError
from briarspoke.links import messages, rejections
from briarspoke.links.messages import DocumentRequest, DocumentUpdate, Heartbeat
from briarspoke.links.rejections import LinkError

log = logging.getLogger(__name__)


class DocumentSpread:
    """Exchanges documents with the linked nodes.

    :param hub: the :class:`briarspoke.links.hub.LinkHub`.
    :param documents: the :class:`briarspoke.membership.documents.Documents`.
    """

    def __init__(self, *, hub, documents):
        self._hub = hub
        self._documents = documents
        self._compressed_by_key = {}
        self._spread_call = None
        self._synced_nodes = set()
        self._sync_waiters = []
        documents.observe("", self._document_taken)
        hub.on(DocumentUpdate, self._on_update)
        hub.on(DocumentRequest, self._on_request)

    def stop(self):
        """Ends announcements and the waits for documents."""
        if self._spread_call is not None and self._spread_call.active():
            self._spread_call.cancel()
        for waiter in list(self._sync_waiters):
            self._end_wait(waiter, False)

    def node_gone(self, node_id):
        """Forgets what a node without a link has."""
        self._synced_nodes.discard(node_id)
        self._documents.forget_peer(node_id)

    def when_synced(self, timeout_s):
        """Waits until a peer's digest is known and every document in it is held.

        :returns: a Deferred of True, or of False after the timeout.
        """
        waiter = defer.Deferred()
        self._sync_waiters.append(waiter)
        timer = self._hub.reactor.callLater(timeout_s, self._end_wait, waiter, False)

        def finish(result):
            if timer.active():
                timer.cancel()
            return result

        waiter.addBoth(finish)
        self._check_synced()
        return waiter

    def heartbeat(self, link):
        """Sends a heartbeat with the documents changed since the last one."""
        link.heartbeats += 1
        digest = self._documents.changes_since(link.digest_mark)
        link.digest_mark = self._documents.change_count
        link.send(
            Heartbeat(
                sequence=link.heartbeats,
                incarnation=self._hub.members.me.incarnation,
                digest=digest,
            )
        )

    def _document_taken(self, document):
        source = document.source if document.source in ("store", "self") else "link"
        self._hub.metrics.count("documents_taken_total", source)
        if self._spread_call is None and not self._hub.stopping:
            # Several documents taken at once are announced together.
            self._spread_call = self._hub.reactor.callLater(0, self._spread)

    def _spread(self):
        self._spread_call = None
        for link in list(self._hub.links_by_node.values()):
            self.heartbeat(link)
        self._check_synced()

    def on_heartbeat(self, link, message):
        """Takes a heartbeat of a peer."""
        node_id = link.node_id
        if message.digest or message.sequence == 1:
            self._documents.record_peer_versions(node_id, message.digest)
            self._synced_nodes.add(node_id)
            self.request_missing()
            self._check_synced()

    def request_missing(self):
        """Requests the documents that a peer has in a higher version."""
        for request in self._documents.requests(self._hub.now()):
            link = self._hub.links_by_node.get(request.peer)
            if link is not None:
                link.send(DocumentRequest(key=request.key, held=request.held))

    def _on_request(self, node_id, message):
        document = self._documents.by_key.get(message.key)
        link = self._hub.links_by_node.get(node_id)
        if document is None or link is None or document.version <= message.held:
            return
        version, compressed = self._compressed_by_key.get(message.key, (0, b""))
        if version != document.version:
            compressed = zlib.compress(document.content)
            self._compressed_by_key[message.key] = document.version, compressed
        link.send(
            DocumentUpdate(
                key=message.key, version=document.version, compressed=compressed
            )
        )

    def _on_update(self, node_id, message):
        content = decompress(message.compressed)
        try:
            self._documents.offer(message.key, message.version, content, node_id)
        except InvariantError as error:
            log.error("document: %s", error)

    def _check_synced(self):
        if self._synced_nodes and not self._documents.is_behind():
            for waiter in list(self._sync_waiters):
                self._end_wait(waiter, True)

    def _end_wait(self, waiter, result):
        if waiter in self._sync_waiters:
            self._sync_waiters.remove(waiter)
            waiter.callback(result)


def decompress(compressed):
    """Returns the content of a document.

    :raises LinkError: if it is too large or not whole.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, messages.MAX_CONTENT_BYTES + 1)
    except zlib.error as error:
        raise LinkError(rejections.MALFORMED, str(error)) from error
    if len(content) > messages.MAX_CONTENT_BYTES:
        raise LinkError(rejections.OVERSIZED, "a document is too large")
    if not decompressor.eof or decompressor.unused_data:
        raise LinkError(rejections.MALFORMED, "a document is not whole")
    return content
