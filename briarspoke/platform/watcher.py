"""Watches the store and offers what it sees to the documents."""

from __future__ import annotations

import logging

from twisted.internet import defer

from briarspoke.errors import InvariantError
from briarspoke.platform.store import StoreError, StoreHistoryGoneError

log = logging.getLogger(__name__)

PREFIXES = ("config", "ownership/", "controllers/")
# A waiting watch counts as one call, so longer waits are cheaper; a connection
# that died silently is noticed only after this.
WATCH_WAIT_S = 20.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class StoreWatcher:
    """Follows the documents in the store while it is told to.

    :param documents: :class:`briarspoke.membership.documents.Documents`; a
        deleted key is an empty document.
    :param rng: a ``random.Random`` for the jitter of the backoff.
    :param version_of: function from (key, store revision, content) to the version
        of a document, or None to pass over it; without it the version is the
        store revision.
    """

    def __init__(self, *, reactor, store, documents, rng, version_of=None):
        self._reactor = reactor
        self._store = store
        self._documents = documents
        self._rng = rng
        self._version_of = version_of or (lambda key, revision, content: revision)
        self._watches = []

    @property
    def is_active(self):
        """Whether the store is being watched."""
        return bool(self._watches)

    def set_active(self, wanted):
        """Begins or ends watching."""
        if wanted and not self._watches:
            log.info("store: begins to watch")
            self._watches = [_Watch(watcher=self, prefix=p) for p in PREFIXES]
            for watch in self._watches:
                watch.start()
        elif not wanted and self._watches:
            log.info("store: ends watching")
            watches, self._watches = self._watches, []
            for watch in watches:
                watch.stop()

    def offer(self, key, revision, content):
        """Offers one document as seen in the store."""
        version = self._version_of(key, revision, content)
        if version is None:
            return
        try:
            self._documents.offer(key, version, content, "store")
        except InvariantError as error:
            log.error("store: %s", error)

    def offer_listing(self, prefix, revision, entries):
        """Offers a complete listing; a document that is not in it is deleted."""
        listed = set()
        for entry in entries:
            if _belongs(entry.key, prefix):
                listed.add(entry.key)
                self.offer(entry.key, entry.revision, entry.value)
        for key, document in list(self._documents.by_key.items()):
            if (
                _belongs(key, prefix)
                and key not in listed
                and document.content
                and document.version < revision
            ):
                self.offer(key, revision, b"")


class _Watch:
    """The loop of one prefix: list, then wait for events again and again."""

    def __init__(self, *, watcher, prefix):
        self._watcher = watcher
        self._prefix = prefix
        self._backoff_s = FIRST_BACKOFF_S
        self._sleep = None
        self._call = None
        self._stopped = False

    def start(self):
        self._run().addErrback(self._report)

    def _report(self, failure):
        log.error("store: the watch of %s failed: %s", self._prefix, failure)

    def stop(self):
        self._stopped = True
        if self._call is not None:
            self._call.cancel()
        if self._sleep is not None:
            self._sleep.cancel()

    @defer.inlineCallbacks
    def _run(self):
        while not self._stopped:
            try:
                yield self._follow()
            except defer.CancelledError:
                return
            except StoreHistoryGoneError:
                log.info("store: lists %s again, history is gone", self._prefix)
            except StoreError as error:
                if self._stopped:
                    return
                log.warning("store: watch of %s: %s", self._prefix, error)
                yield self._back_off()

    @defer.inlineCallbacks
    def _follow(self):
        store = self._watcher._store
        self._call = store.list(self._prefix)
        revision, entries = yield self._call
        if self._stopped:
            return
        self._watcher.offer_listing(self._prefix, revision, entries)
        self._backoff_s = FIRST_BACKOFF_S
        while not self._stopped:
            self._call = store.watch(self._prefix, after=revision, wait_s=WATCH_WAIT_S)
            revision, events = yield self._call
            for event in events:
                if not self._stopped and _belongs(event.key, self._prefix):
                    self._watcher.offer(event.key, event.revision, event.value or b"")

    @defer.inlineCallbacks
    def _back_off(self):
        delay_s = self._backoff_s * self._watcher._rng.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        self._sleep = defer.Deferred()
        timer = self._watcher._reactor.callLater(delay_s, self._sleep.callback, None)
        try:
            yield self._sleep
        except defer.CancelledError:
            timer.cancel()
        self._sleep = None


def _belongs(key, prefix):
    # "config" is one key, not the prefix of others.
    return key.startswith(prefix) if prefix.endswith("/") else key == prefix
