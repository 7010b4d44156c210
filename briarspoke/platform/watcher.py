"""Watches the store and passes its documents on to the document table."""

from __future__ import annotations

import logging

from twisted.internet import defer

from briarspoke.errors import InvariantError
from briarspoke.platform.store import StoreError, StoreHistoryGoneError

log = logging.getLogger(__name__)

PREFIXES = ("config", "ownership/", "controllers/")
# A watch costs one call however long it waits, so long waits are cheaper. A
# connection that dies silently is noticed only after this time.
WATCH_WAIT_S = 20.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class StoreWatcher:
    """Watches the documents in the store while it is active.

    :param store: the :class:`briarspoke.platform.store.StoreClient`.
    :param documents: :class:`briarspoke.membership.documents.Documents`; a
        deleted key becomes an empty document.
    :param rng: a ``random.Random`` for the jitter of the backoff.
    :param version_of: function of (key, store revision, content) that returns the
        version of a document, or None to ignore the document. By default the
        version is the store revision.
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

    def set_active(self, active):
        """Starts or stops watching."""
        if active and not self._watches:
            log.info("store: watching started")
            self._watches = [_PrefixWatch(watcher=self, prefix=p) for p in PREFIXES]
            for watch in self._watches:
                watch.start()
        elif not active and self._watches:
            log.info("store: watching stopped")
            watches, self._watches = self._watches, []
            for watch in watches:
                watch.stop()

    def offer(self, key, revision, content):
        """Offers one document of the store to the documents of this node."""
        version = self._version_of(key, revision, content)
        if version is None:
            return
        try:
            self._documents.offer(key, version, content, "store")
        except InvariantError as error:
            log.error("store: %s", error)

    def offer_listing(self, prefix, revision, entries):
        """Offers all documents of a prefix.

        A known document that is not listed and is older than the listing is offered
        as deleted.

        :param revision: store revision of the listing.
        :param entries: list of :class:`briarspoke.platform.store.StoredValue`.
        """
        listed = set()
        for entry in entries:
            if _matches(entry.key, prefix):
                listed.add(entry.key)
                self.offer(entry.key, entry.revision, entry.value)
        for key, document in list(self._documents.by_key.items()):
            if (
                _matches(key, prefix)
                and key not in listed
                and document.content
                and document.version < revision
            ):
                self.offer(key, revision, b"")


class _PrefixWatch:
    """Watches one prefix: lists it, then waits for events in a loop."""

    def __init__(self, *, watcher, prefix):
        self._watcher = watcher
        self._prefix = prefix
        self._backoff_s = INITIAL_BACKOFF_S
        self._backoff_wait = None
        self._store_call = None
        self._stopped = False

    def start(self):
        self._run().addErrback(self._log_failure)

    def _log_failure(self, failure):
        log.error(
            "store: the watch of %s stopped after an unexpected error: %s",
            self._prefix,
            failure,
        )

    def stop(self):
        self._stopped = True
        if self._store_call is not None:
            self._store_call.cancel()
        if self._backoff_wait is not None:
            self._backoff_wait.cancel()

    @defer.inlineCallbacks
    def _run(self):
        while not self._stopped:
            try:
                yield self._list_and_watch()
            except defer.CancelledError:
                return
            except StoreHistoryGoneError:
                log.info(
                    "store: listing %s again, the watch history is gone", self._prefix
                )
            except StoreError as error:
                if self._stopped:
                    return
                log.warning(
                    "store: watch of %s failed, retrying: %s", self._prefix, error
                )
                yield self._back_off()

    @defer.inlineCallbacks
    def _list_and_watch(self):
        store = self._watcher._store
        self._store_call = store.list(self._prefix)
        revision, entries = yield self._store_call
        if self._stopped:
            return
        self._watcher.offer_listing(self._prefix, revision, entries)
        self._backoff_s = INITIAL_BACKOFF_S
        while not self._stopped:
            self._store_call = store.watch(
                self._prefix, after=revision, wait_s=WATCH_WAIT_S
            )
            revision, events = yield self._store_call
            for event in events:
                if not self._stopped and _matches(event.key, self._prefix):
                    self._watcher.offer(event.key, event.revision, event.value or b"")

    @defer.inlineCallbacks
    def _back_off(self):
        delay_s = self._backoff_s * self._watcher._rng.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        self._backoff_wait = defer.Deferred()
        timer = self._watcher._reactor.callLater(
            delay_s, self._backoff_wait.callback, None
        )
        try:
            yield self._backoff_wait
        except defer.CancelledError:
            timer.cancel()
        self._backoff_wait = None


def _matches(key, prefix):
    # A prefix without a slash, such as "config", is a single key.
    return key.startswith(prefix) if prefix.endswith("/") else key == prefix
