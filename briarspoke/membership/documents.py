"""The highest version of each document that this node knows."""

from __future__ import annotations

import logging

from briarspoke import codes
from briarspoke.errors import invariant

log = logging.getLogger(__name__)

# A peer answers a request within milliseconds; after this another is asked.
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
    """One document at one version.

    :param version: store revision of the key; only grows.
    :param content: bytes; empty if the key was deleted at this version.
    :param source: where it was learned: a node id, ``"store"`` or ``"self"``.
    """

    __slots__ = ("content", "key", "source", "version")

    def __init__(self, *, key, version, content, source):
        self.key = key
        self.version = version
        self.content = content
        self.source = source


class Request:
    """Asks a peer for a document that is newer than the version held."""

    __slots__ = ("held", "key", "peer")

    def __init__(self, *, peer, key, held):
        self.peer = peer
        self.key = key
        self.held = held

    def __repr__(self):
        return f"<Request {self.key}>{self.held} of {self.peer}>"


class Documents:
    """Documents by key; versions only grow."""

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
        # Counts accepted offers; changes_since() uses it as a mark.
        self.change_count = 0
        self._changes_by_key = {}
        self._observers = []
        self._versions_by_peer = {}
        self._pending_by_key = {}

    def observe(self, prefix, observer):
        """Calls ``observer(document)`` for each accepted document of a prefix."""
        self._observers.append((prefix, observer))

    def version(self, key):
        """Returns the version held of a key, 0 if none."""
        held = self.by_key.get(key)
        return held.version if held else 0

    def offer(self, key, version, content, source="self"):
        """Takes a document if it is newer than the one held.

        :returns: whether it was taken.
        :raises InvariantError: if another content has the same version.
        """
        held = self.by_key.get(key)
        if held is not None and version <= held.version:
            invariant(
                version < held.version or content == held.content,
                f"{key} at {version}: {source} and {held.source} differ",
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
        # A failing observer must keep neither the others nor the spread of the
        # document from going on.
        try:
            observer(document)
        except Exception:
            log.exception("documents: an observer failed on %s", document.key)

    # Digests of peers.

    def digest(self):
        """Returns ``{key: version}`` of everything held."""
        return {key: document.version for key, document in self.by_key.items()}

    def changes_since(self, change_count):
        """Returns ``{key: version}`` of what changed after a mark.

        :param change_count: an earlier value of :attr:`change_count`; 0 returns
            everything.
        """
        if change_count == self.change_count:
            return {}
        return {
            key: self.by_key[key].version
            for key, number in self._changes_by_key.items()
            if number > change_count
        }

    def record_peer_versions(self, peer, versions_by_key):
        """Notes which versions a peer holds."""
        known = self._versions_by_peer.setdefault(peer, {})
        for key, version in versions_by_key.items():
            if key in known or len(known) < MAX_DOCUMENTS:
                known[key] = max(version, known.get(key, 0))

    def forget_peer(self, peer):
        """Forgets a peer; what it was asked for may be asked of another."""
        self._versions_by_peer.pop(peer, None)
        for key, (asked, _) in list(self._pending_by_key.items()):
            if asked == peer:
                del self._pending_by_key[key]

    def is_behind(self):
        """Returns whether a peer holds a newer version of a document."""
        return any(
            version > self.version(key)
            for versions in self._versions_by_peer.values()
            for key, version in versions.items()
        )

    def requests(self, now):
        """Returns the requests to send now.

        Each newer document is asked of one peer at a time, so that a large one
        does not arrive once per link.
        """
        best_by_key = {}
        for peer, versions in self._versions_by_peer.items():
            for key, version in versions.items():
                if version > self.version(key):
                    best_by_key.setdefault(key, []).append((version, peer))
        requests = []
        for key, candidates in best_by_key.items():
            asked, sent_at = self._pending_by_key.get(key, (None, None))
            if asked is not None and now - sent_at < REQUEST_TIMEOUT_S:
                continue
            # The peer that did not answer in time comes last.
            _, peer = max(candidates, key=lambda c: (c[1] != asked, c[0], c[1]))
            self._pending_by_key[key] = (peer, now)
            requests.append(Request(peer=peer, key=key, held=self.version(key)))
        return requests
