"""Table of the newest known version of each document."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.errors import invariant

log = logging.getLogger(__name__)

# A peer answers a request within milliseconds. After this time the document is
# requested from another peer.
REQUEST_TIMEOUT_S = 0.5
MAX_DOCUMENTS = 4096

DOCUMENT_CONFLICT = codes.register(
    7301,
    "document-conflict",
    codes.Kind.INTERNAL,
    500,
    "Two different contents of a document have the same version.",
)


class Document:
    """One version of a document.

    :param version: store revision of the key; only grows.
    :param content: bytes; empty if the key was deleted at this version.
    :param source: where the version came from: a node id, ``"store"`` or ``"self"``.
    """

    __slots__ = ("content", "key", "source", "version")

    def __init__(self, *, key, version, content, source):
        self.key = key
        self.version = version
        self.content = content
        self.source = source


class Request:
    """Request to a peer for a newer version of a document.

    :param held: version that this node holds, 0 if none.
    """

    __slots__ = ("held", "key", "peer")

    def __init__(self, *, peer, key, held):
        self.peer = peer
        self.key = key
        self.held = held

    def __repr__(self):
        return f"<Request {self.key}>{self.held} of {self.peer}>"


class Documents:
    """Documents by key, with the versions that peers hold.

    A document is replaced only by a higher version.
    """

    __slots__ = (
        "_changes_by_key",
        "_observers",
        "_pending_by_key",
        "_versions_by_peer",
        "by_key",
        "change_count",
    )

    def __init__(self):
        self.by_key = {}
        # Number of accepted offers. changes_since() takes an earlier value.
        self.change_count = 0
        self._changes_by_key = {}
        self._observers = []
        self._versions_by_peer = {}
        self._pending_by_key = {}

    def observe(self, prefix, observer):
        """Calls ``observer(document)`` for each accepted document with a key prefix."""
        self._observers.append((prefix, observer))

    def version(self, key):
        """Returns the version held for a key, 0 if none."""
        held = self.by_key.get(key)
        return held.version if held else 0

    def offer(self, key, version, content, source="self"):
        """Accepts a document if it is newer than the one held.

        :returns: whether the document was accepted.
        :raises InvariantError: if the version is held with other content.
        """
        held = self.by_key.get(key)
        if held is not None and version <= held.version:
            invariant(
                version < held.version or content == held.content,
                f"{key} at {version}: contents from {source} and {held.source} differ",
                DOCUMENT_CONFLICT,
            )
            return False
        if version <= 0 or (held is None and len(self.by_key) >= MAX_DOCUMENTS):
            return False
        document = Document(key=key, version=version, content=content, source=source)
        self.by_key[key] = document
        self.change_count += 1
        self._changes_by_key[key] = self.change_count
        self._pending_by_key.pop(key, None)
        for prefix, observer in list(self._observers):
            if key.startswith(prefix):
                self._notify(observer, document)
        return True

    def _notify(self, observer, document):
        # A failing observer must not stop the other observers or the spreading of
        # the document.
        try:
            observer(document)
        except Exception:
            log.exception("documents: an observer failed on %s", document.key)

    def digest(self):
        """Returns ``{key: version}`` of all documents."""
        return {key: document.version for key, document in self.by_key.items()}

    def changes_since(self, change_count):
        """Returns ``{key: version}`` of the documents accepted after a change count.

        :param change_count: an earlier value of :attr:`change_count`; 0 returns
            everything.
        """
        if change_count == self.change_count:
            return {}
        return {
            key: self.by_key[key].version
            for key, count in self._changes_by_key.items()
            if count > change_count
        }

    def record_peer_versions(self, peer, versions_by_key):
        """Records which versions a peer holds."""
        known = self._versions_by_peer.setdefault(peer, {})
        for key, version in versions_by_key.items():
            if key in known or len(known) < MAX_DOCUMENTS:
                known[key] = max(version, known.get(key, 0))

    def forget_peer(self, peer):
        """Removes a peer; its pending requests may go to other peers."""
        self._versions_by_peer.pop(peer, None)
        for key, (asked_peer, _) in list(self._pending_by_key.items()):
            if asked_peer == peer:
                del self._pending_by_key[key]

    def is_behind(self):
        """Returns whether a peer holds a newer version of a document."""
        return any(
            version > self.version(key)
            for versions in self._versions_by_peer.values()
            for key, version in versions.items()
        )

    def requests(self, now):
        """Returns the requests to send now and records them as pending.

        A document is requested from one peer at a time, so that a large document
        does not arrive over every link.

        :param now: monotonic time in seconds.
        """
        candidates_by_key = {}
        for peer, versions in self._versions_by_peer.items():
            for key, version in versions.items():
                if version > self.version(key):
                    candidates_by_key.setdefault(key, []).append((version, peer))
        requests = []
        for key, candidates in candidates_by_key.items():
            asked_peer, sent_at = self._pending_by_key.get(key, (None, None))
            if asked_peer is not None and now - sent_at < REQUEST_TIMEOUT_S:
                continue
            # The peer that did not answer in time is used only if no other has it.
            _, peer = max(candidates, key=lambda c: (c[1] != asked_peer, c[0], c[1]))
            self._pending_by_key[key] = (peer, now)
            requests.append(Request(peer=peer, key=key, held=self.version(key)))
        return requests
