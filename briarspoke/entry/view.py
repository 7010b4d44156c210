"""The entry VM's view of the platform's store, kept current by one watch."""

from __future__ import annotations

import logging
import random

from twisted.internet import defer

from briarspoke.errors import BriarspokeError
from briarspoke.platform.keyvalue import HistoryGoneError

log = logging.getLogger(__name__)

# A configuration has 2 s to be in force, so a dead connection must show in less
# than the 3 s for which the platform allows for it.
WATCH_S = 3.0
# A relay answers for others, so it has to notice a lost store sooner.
RELAY_WATCH_S = 0.8
# Changes that come within this time after others are taken with one call. New owners
# of keys are announced beside the store, and the rest may take 2 s.
BATCH_S = 0.4
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8


class StoreView:
    """Items of the store as last seen.

    :param client: the :class:`briarspoke.platform.keyvalue.KeyValueClient`.
    :param sleep: returns a Deferred that fires after a number of seconds.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, client, sleep, clock):
        self.items = {}
        self.revision = None
        self.reachable = False
        self.last_contact = None
        # When the store answered again after an outage.
        self.regained_at = None
        self._client = client
        self._sleep = sleep
        self._clock = clock
        self._observers_by_prefix = {}
        # Called with changes of the store, and when contact is lost.
        self.listeners = []
        # Whether a relay feeds this view in place of the store.
        self.is_fed = False
        self._feed_ended = None
        # Whether others rely on this view.
        self.has_followers = lambda: False
        # Called before all items are read; may find a relay that feeds this view.
        self.find_relay = None

    def observe(self, prefix, observer):
        """Calls ``observer(key, item)`` for each change; item is None if removed."""
        self._observers_by_prefix[prefix] = observer

    def put(self, item):
        """Takes an item that this process has written."""
        self._take(item)

    # A relay in place of the store.

    def feed(self, changes):
        """Takes the whole view of a relay, which feeds this one from now on."""
        self.is_fed = True
        self._feed_ended = defer.Deferred()
        self._take_all(changes)

    def take_changes(self, changes):
        """Takes changes of the store or of a relay."""
        self._contact()
        for item in changes.items:
            self._take(item)
        self.revision = max(self.revision, changes.revision)
        if not self.is_fed:
            for listener in self.listeners:
                listener.changed(changes)

    def end_feed(self):
        """Goes back to the store."""
        self.is_fed = False
        ended, self._feed_ended = self._feed_ended, None
        ended.callback(None)

    async def read(self, prefix):
        """Takes the items whose keys begin with a prefix, before all are known.

        :raises BriarspokeError: if the store does not answer.
        """
        for item in (await self._client.read_all(prefix)).items:
            self._take(item)

    async def run(self):
        """Follows the store without end."""
        retry_s = FIRST_RETRY_S
        while True:
            if self.is_fed:
                await self._feed_ended
            try:
                await self._follow_once()
                retry_s = FIRST_RETRY_S
            except HistoryGoneError:
                log.info("store: history gone, reading all revision=%s", self.revision)
                self.revision = None
            except BriarspokeError as error:
                if self.is_fed:
                    continue
                self._lost(error)
                await self._sleep(retry_s * (0.75 + random.random() / 2))
                retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    async def _follow_once(self):
        if not self.reachable:
            # All changes of an outage can be far more than the current items, and
            # a small call shows sooner that the store is back.
            await self._client.probe()
            self.revision = None
        if self.revision is None and self.find_relay is not None:
            await self.find_relay()
            if self.is_fed:
                return
        if self.revision is None:
            changes = await self._client.read_all()
            self._take_all(changes)
            # Followers get the whole view when they come back.
            for listener in self.listeners:
                listener.lost()
            return
        wait_s = RELAY_WATCH_S if self.has_followers() else WATCH_S
        changes = await self._client.watch(self.revision, wait_s)
        if self.is_fed:
            return
        self.take_changes(changes)
        if changes.items:
            await self._sleep(BATCH_S)

    def _contact(self):
        now = self._clock()
        if not self.reachable:
            self.reachable = True
            self.regained_at = now
            log.info("store: reachable revision=%s", self.revision)
        self.last_contact = now

    def _lost(self, error):
        if self.reachable or self.last_contact is None:
            log.warning("store: not reachable error=%r", str(error))
        self.reachable = False
        for listener in self.listeners:
            listener.lost()

    def _take_all(self, changes):
        self._contact()
        by_key = {item.key: item for item in changes.items}
        for key in [key for key in self.items if key not in by_key]:
            self._remove(key)
        for item in by_key.values():
            self._take(item)
        self.revision = changes.revision

    def _take(self, item):
        if item.value is None:
            known = self.items.get(item.key)
            if known is not None and known.revision < item.revision:
                self._remove(item.key)
            return
        known = self.items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self.items[item.key] = item
        if known is None or known.value != item.value:
            self._notify(item.key, item)

    def _remove(self, key):
        del self.items[key]
        self._notify(key, None)

    def _notify(self, key, item):
        for prefix, observer in self._observers_by_prefix.items():
            if key.startswith(prefix):
                try:
                    observer(key, item)
                except Exception:
                    log.exception("store: cannot use the item key=%s", key)
