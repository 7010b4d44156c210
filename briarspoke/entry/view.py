"""The entry VM's copy of the platform's store, kept current by one watch."""

from __future__ import annotations

import logging
import math

from twisted.internet import defer

from briarspoke.entry import logs
from briarspoke.entry.pauses import Pause
from briarspoke.entry.repeating import draw_spread
from briarspoke.errors import BriarspokeError
from briarspoke.platform.keyvalue import CallAbandonedError, HistoryGoneError

log = logging.getLogger(__name__)

# A watch ends this long after the last proof that the copy is current. One that is
# still unanswered ``WATCH_DOUBT_S`` later is asked again. A configuration has to be in
# force 2 s after it was written, on VMs whose path to the store has been sound for 3 s.
MAX_PROOF_INTERVAL_S = 1.6
# A VM in touch has a proof that is younger. One whose proof is older may lack a change
# that is in force.
MAX_VIEW_AGE_S = 2.0
# Followers bound the age of their relay's proof, so a relay needs proofs more often.
MAX_RELAY_PROOF_INTERVAL_S = 0.8
MIN_WATCH_WAIT_S = 0.2
# Pause after a watch that returned changes, so that the next one returns several at
# once. New owners of keys are also announced directly; other changes may take 2 s.
BATCH_DELAY_S = 0.4
# Interval between the beginnings of two tries to reach a store that refuses, at first
# and at most, on average; at most ``MAX_SPREAD`` times that.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# A longer time without a proof that the copy is current is logged when it ends.
LATE_PROOF_S = MAX_PROOF_INTERVAL_S + 0.2
# Pause of a loop whose last try took longer than the interval between two.
MIN_PAUSE_S = 0.02


def _answer_age_s(changes, wait_s):
    """Returns the longest time for which the answer to a watch can be out of date.

    The store sends an empty answer at the end of the wait, and one with changes at any
    time since the watch was sent.

    :param changes: the :class:`Changes`.
    :param wait_s: seconds for which the watch waited.
    """
    if changes.items or changes.is_repeated:
        return changes.age_s
    return max(0.0, changes.age_s - wait_s)


class StoreView:
    """Copy of the store's items, with observers of their changes.

    :param client: the :class:`briarspoke.platform.keyvalue.KeyValueClient`.
    :param sleep: returns a Deferred that fires after a number of seconds.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, *, client, sleep, clock):
        self.items = {}
        # Revision up to which the items are complete, or None while they are not.
        self.revision = None
        # Era of the store to which the revision belongs.
        self.era = 0
        self.reachable = False
        # Latest time of which it is certain that the items were current then: not the
        # arrival of an answer, which may have been on its way for seconds.
        self.last_contact = None
        # Earliest time at which the changes that observers are told of can have been
        # acknowledged by the store; minus infinity for those of the first view.
        self.changes_since = -math.inf
        # Time of the first answer at the start or after the last outage.
        self.recovered_at = None
        self._client = client
        self._sleep = sleep
        self._clock = clock
        self._observers_by_prefix = {}
        # Prefixes of items that are applied before others which arrive with them.
        self._first_prefixes = ()
        # Objects whose ``store_changed(changes)`` is called with changes that come from
        # the store, ``view_replaced()`` after all items were read from it again, and
        # ``view_abandoned()`` when this view begins to follow a relay.
        self.listeners = []
        # Whether changes come from a relay instead of the store.
        self.uses_relay = False
        self._relay_ended = None
        # Returns whether followers get their changes from this view, or may soon.
        self.is_relay = lambda: False
        # Coroutine function that runs before all items are read. It may connect to a
        # relay, which makes reading them unnecessary, also after it has returned.
        self.find_relay = None
        # The call to the store that the view waits for, or None.
        self._asking = None
        self._pause = Pause(sleep=sleep)
        client.era_observers.append(self._era_rose)

    def observe(self, prefix, observer, *, first=False):
        """Calls ``observer(key, item)`` for each change; item is None if removed.

        :param first: whether these items are applied before others that arrive with
            them.
        """
        self._observers_by_prefix[prefix] = observer
        if first:
            self._first_prefixes += (prefix,)

    def put(self, item):
        """Adds an item that this process has written, before the watch returns it."""
        self._apply(item)

    def now(self):
        """Returns monotonic seconds."""
        return self._clock()

    def proof_age_s(self):
        """Returns the seconds since the items were certainly current.

        Infinity before the first answer with all items.
        """
        if self.last_contact is None:
            return math.inf
        return self._clock() - self.last_contact

    def may_lack_changes(self):
        """Returns whether a change may be in force that the items do not have."""
        return self.proof_age_s() > MAX_VIEW_AGE_S

    @property
    def position(self):
        """Era and revision up to which the items are complete, or None if unknown."""
        return None if self.revision is None else (self.era, self.revision)

    def rely_on_relay(self):
        """Stops watching the store, since a relay sends changes in time."""
        self._note_reachable()
        self.uses_relay = True
        self._relay_ended = defer.Deferred()
        for listener in self.listeners:
            listener.view_abandoned()
        self._abandon_call()

    def replace(self, changes, proof_age_s=0.0):
        """Replaces all items by those of a relay.

        A reading of all items that goes on ends, since it is not needed any more.

        :param changes: :class:`Changes` with all items of the relay.
        :param proof_age_s: seconds since they were certainly current.
        """
        was_reading = self.revision is None
        if not self.reachable:
            # Registrations may have expired in the outage.
            self.recovered_at = self._clock()
        self._replace_all(changes, proof_age_s)
        if was_reading:
            self._abandon_call()

    def _abandon_call(self):
        if self._asking is not None:
            self._asking.cancel()

    def replace_from_relay(self, changes, proof_age_s=0.0):
        """Replaces all items by those that the relay has read again.

        The relay may have had an outage of the store that this view knows nothing of,
        so registrations that are missing get the time to return, as after an outage.
        """
        self.recovered_at = self._clock()
        self.replace(changes, proof_age_s)

    def apply_changes(self, changes, proof_age_s=0.0):
        """Applies :class:`Changes` that came from the store or from a relay.

        Changes up to the revision of the items are passed over: a late frame of a relay
        must not bring back an item that has been removed since.

        :param proof_age_s: seconds since they were certainly complete.
        """
        known = self.position
        self._note_proof(proof_age_s)
        for item in self._in_order(changes.items):
            if item.position > known:
                self._apply(item)
        self.revision = max(self.revision, changes.revision)
        if not self.uses_relay:
            for listener in self.listeners:
                listener.store_changed(changes)

    def switch_to_store(self):
        """Watches the store again after the connection to the relay has ended."""
        self.uses_relay = False
        ended, self._relay_ended = self._relay_ended, None
        ended.callback(None)

    @property
    def has_store_era(self):
        """Whether the items are of the highest era of the store that is known."""
        return self.era == self._client.era

    def _era_rose(self):
        # A view that follows a relay takes its revision from there.
        if not self.has_store_era and not self.uses_relay:
            self.revision = None
            self._pause.end()

    async def read_prefix(self, prefix):
        """Reads the items whose keys begin with a prefix, before all others.

        :raises BriarspokeError: if the store does not answer.
        """
        for item in (await self._client.read_all(prefix)).items:
            self._apply(item)

    async def run(self):
        """Keeps the view current; never returns."""
        retry_s = FIRST_RETRY_S
        while True:
            if self.uses_relay:
                await self._relay_ended
            began_at = self._clock()
            try:
                await self._update_once()
                retry_s = FIRST_RETRY_S
            except HistoryGoneError:
                if self.uses_relay:
                    continue
                log.info("store: history gone, reading all revision=%s", self.revision)
                self.revision = None
            except CallAbandonedError:
                # If the store was restored, the next call reads all items, since they
                # are not of its era.
                continue
            except BriarspokeError as error:
                if self.uses_relay:
                    continue
                self._contact_failed(error)
                next_at = began_at + draw_spread(retry_s)
                await self._pause.wait(max(MIN_PAUSE_S, next_at - self._clock()))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
            except Exception:
                # The process would never hear of a change again if this loop ended.
                log.exception("store: unexpected error")
                await self._sleep(MAX_RETRY_S)

    async def _update_once(self):
        if not self.reachable:
            # After an outage all items are read again, since the changes made during
            # the outage can be far more data than the items. The probe is small, so it
            # detects the end of the outage sooner than reading all items.
            await self._ask(self._client.probe())
            self.revision = None
        if not self.has_store_era:
            self.revision = None
        if self.revision is None and self.find_relay is not None:
            await self.find_relay()
            if self.uses_relay:
                return
        if self.revision is None:
            asked_at = self._clock()
            changes = await self._ask(self._client.read_all())
            # Changes that are made while the pages arrive follow with the next watch.
            self._note_reachable()
            self._replace_all(changes, self._clock() - asked_at)
            for listener in self.listeners:
                listener.view_replaced()
            return
        interval_s = (
            MAX_RELAY_PROOF_INTERVAL_S if self.is_relay() else MAX_PROOF_INTERVAL_S
        )
        wait_s = max(MIN_WATCH_WAIT_S, interval_s - self.proof_age_s())
        changes = await self._ask(
            self._client.watch(
                self.revision, wait_s, self.era, on_doubt=self._watch_doubted
            )
        )
        if changes.is_repeated:
            # Registrations may have expired if the store was away for a moment.
            self.recovered_at = self._clock()
        self._note_reachable()
        self.apply_changes(changes, _answer_age_s(changes, wait_s))
        if changes.items:
            left_s = interval_s - self.proof_age_s()
            await self._pause.wait(min(BATCH_DELAY_S, max(MIN_PAUSE_S, left_s)))

    async def _ask(self, call):
        """Waits for a call to the store.

        :raises CallAbandonedError: if a relay has sent its view meanwhile.
        """
        self._asking = defer.ensureDeferred(call)
        try:
            return await self._asking
        finally:
            self._asking = None

    def _watch_doubted(self, description):
        log.info(
            "store: watch lost age_ms=%d error=%r",
            round(self.proof_age_s() * 1e3),
            description,
        )

    def _in_order(self, items):
        return sorted(
            items, key=lambda item: not item.key.startswith(self._first_prefixes)
        )

    def _note_reachable(self):
        """Notes an answer of the store with changes or all items."""
        if not self.reachable:
            self.reachable = True
            self.recovered_at = self._clock()
            log.info("store: reachable revision=%s", self.revision)

    def _note_proof(self, proof_age_s):
        """Notes that the items, with those that follow, were current at a time."""
        proven_at = self._clock() - proof_age_s
        before = self.last_contact
        self.changes_since = -math.inf if before is None else before
        self.last_contact = proven_at if before is None else max(before, proven_at)
        if before is not None and proven_at - before > LATE_PROOF_S:
            log.info(
                "store: proof of being current age_ms=%d source=%s revision=%s",
                round((proven_at - before) * 1e3),
                "relay" if self.uses_relay else "store",
                self.revision,
            )

    def _contact_failed(self, error):
        if self.reachable or self.last_contact is None:
            log.warning("store: not reachable error=%r", str(error))
        # The relay's heartbeats end, so its followers soon watch the store themselves.
        self.reachable = False

    def _replace_all(self, changes, proof_age_s):
        self._note_proof(proof_age_s)
        if changes.era != self.era:
            # Earlier proofs were of other items.
            self.last_contact = self._clock() - proof_age_s
            # Registrations that the copy lacks get the time to return.
            self.recovered_at = self._clock()
            self.era = changes.era
            self._client.learn_era(changes.era)
        by_key = {item.key: item for item in changes.items}
        for key in [key for key in self.items if key not in by_key]:
            self._remove(key)
        for item in self._in_order(by_key.values()):
            self._apply(item)
        self.revision = changes.revision

    def _apply(self, item):
        if item.era < self.era:
            return
        if item.value is None:
            known = self.items.get(item.key)
            if known is not None and known.position < item.position:
                self._remove(item.key)
            return
        known = self.items.get(item.key)
        if known is not None and known.position >= item.position:
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
                    log.exception("store: cannot use the item key=%s", logs.field(key))
