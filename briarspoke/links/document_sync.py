"""Synchronises documents with linked nodes: digests, requests and updates."""

from __future__ import annotations

import logging
import zlib

from twisted.internet import defer

from briarspoke.errors import InvariantError
from briarspoke.links import messages, rejections
from briarspoke.links.messages import DocumentRequest, DocumentUpdate, Heartbeat
from briarspoke.links.rejections import LinkError

log = logging.getLogger(__name__)


class DocumentSync:
    """Keeps the documents of this node in sync with those of the linked nodes.

    Heartbeats carry the versions of changed documents; a node requests each document
    that a peer holds in a higher version.

    :param hub: the :class:`briarspoke.links.hub.LinkHub`.
    :param documents: the :class:`briarspoke.membership.documents.Documents`.
    """

    def __init__(self, *, hub, documents):
        self._hub = hub
        self._documents = documents
        self._compressed_by_key = {}
        self._announcement_call = None
        self._nodes_with_digest = set()
        self._sync_waiters = []
        documents.observe("", self._on_document_accepted)
        hub.on(DocumentUpdate, self._on_update)
        hub.on(DocumentRequest, self._on_request)

    def stop(self):
        """Cancels a pending announcement and ends the waits with False."""
        if self._announcement_call is not None and self._announcement_call.active():
            self._announcement_call.cancel()
        for waiter in list(self._sync_waiters):
            self._finish_wait(waiter, False)

    def forget_peer(self, node_id):
        """Removes the known versions of a node whose link was closed."""
        self._nodes_with_digest.discard(node_id)
        self._documents.forget_peer(node_id)

    def when_synced(self, timeout_s):
        """Waits until a peer has sent its digest and no peer holds a newer document.

        :returns: a Deferred of True, or of False after the timeout or :meth:`stop`.
        """
        waiter = defer.Deferred()
        self._sync_waiters.append(waiter)
        timer = self._hub.reactor.callLater(timeout_s, self._finish_wait, waiter, False)

        def finish(result):
            if timer.active():
                timer.cancel()
            return result

        waiter.addBoth(finish)
        self._check_synced()
        return waiter

    def send_heartbeat(self, link):
        """Sends a heartbeat with the versions changed since the previous one."""
        link.sent_heartbeats += 1
        digest = self._documents.changes_since(link.last_digest_change)
        link.last_digest_change = self._documents.change_count
        link.send(
            Heartbeat(
                sequence=link.sent_heartbeats,
                incarnation=self._hub.members.me.incarnation,
                digest=digest,
            )
        )

    def _on_document_accepted(self, document):
        source = document.source if document.source in ("store", "self") else "link"
        self._hub.metrics.count("documents_taken_total", source)
        if self._announcement_call is None and not self._hub.stopping:
            # Documents accepted in the same reactor turn are announced together.
            self._announcement_call = self._hub.reactor.callLater(
                0, self._announce_changes
            )

    def _announce_changes(self):
        self._announcement_call = None
        for link in list(self._hub.links_by_node.values()):
            self.send_heartbeat(link)
        self._check_synced()

    def on_heartbeat(self, link, message):
        """Processes the digest of a peer's heartbeat."""
        node_id = link.node_id
        if message.digest or message.sequence == 1:
            self._documents.record_peer_versions(node_id, message.digest)
            self._nodes_with_digest.add(node_id)
            self.request_missing()
            self._check_synced()

    def request_missing(self):
        """Requests the documents that a peer holds in a higher version."""
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
        if self._nodes_with_digest and not self._documents.is_behind():
            for waiter in list(self._sync_waiters):
                self._finish_wait(waiter, True)

    def _finish_wait(self, waiter, result):
        if waiter in self._sync_waiters:
            self._sync_waiters.remove(waiter)
            waiter.callback(result)


def decompress(compressed):
    """Returns the decompressed content of a document.

    :raises LinkError: if the content is too large, or the data is invalid, truncated
        or followed by other bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, messages.MAX_CONTENT_BYTES + 1)
    except zlib.error as error:
        raise LinkError(rejections.MALFORMED, str(error)) from error
    if len(content) > messages.MAX_CONTENT_BYTES:
        raise LinkError(rejections.OVERSIZED, "a document exceeds the maximum size")
    if not decompressor.eof or decompressor.unused_data:
        raise LinkError(
            rejections.MALFORMED, "a document is truncated or has trailing data"
        )
    return content
