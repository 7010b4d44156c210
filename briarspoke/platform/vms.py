"""Polls the platform's VM list."""

from __future__ import annotations

import logging
import re

from twisted.internet import defer

from briarspoke.configuration.resources import ADDRESS_PATTERN
from briarspoke.membership.members import Vm
from briarspoke.platform.store import StoreError

log = logging.getLogger(__name__)

# Nodes that watch the store need the list for decisions on lost controllers.
WATCHER_PERIOD_S = 5.0
# A list of 440 entry VMs has about 48 kB; every 5 s it would take more than the
# 8 KB/s that a node may spend on control in all.
LIST_BYTES_PER_S = 500.0
ENTRY_BYTES = 110
# Shortest and longest share of a period, so that nodes do not poll in step.
MIN_JITTER_FACTOR, MAX_JITTER_FACTOR = 0.8, 1.2
OTHER_PERIOD_S = 30.0
STATES = ("live", "leaving", "terminated")
_ADDRESS = re.compile(ADDRESS_PATTERN)


class VmPoller:
    """Hands the VM list to an observer now and then.

    :param observer: called with a list of :class:`Vm` of entry VMs and the
        whole list as the platform sent it.
    :param is_watcher: function that tells whether to poll at the short period.
    :param peer_port: port of links, for VMs whose address has none.
    """

    def __init__(self, *, reactor, store, observer, is_watcher, peer_port, rng):
        self._reactor = reactor
        self._store = store
        self._observer = observer
        self._is_watcher = is_watcher
        self._peer_port = peer_port
        self._rng = rng
        self._timer = None
        self._stopped = True
        self._listed = 0

    def start(self):
        """Polls at once and then again and again."""
        self._stopped = False
        self._poll().addErrback(
            lambda failure: log.error("vms: polling failed: %s", failure)
        )

    def poll_now(self):
        """Polls before the period is over, for a decision that needs the list."""
        if not self._stopped and self._timer is not None and self._timer.active():
            self._timer.cancel()
            self.start()

    def stop(self):
        """Ends polling."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @defer.inlineCallbacks
    def _poll(self):
        try:
            entries = yield self._store.vms()
        except StoreError as error:
            log.info("vms: the list is not available: %s", error)
        else:
            self._listed = len(entries)
            if not self._stopped:
                self._observer(self._entry_vms(entries), entries)
        if not self._stopped:
            self._timer = self._reactor.callLater(
                self._period_s()
                * self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR),
                self.start,
            )

    def _period_s(self):
        shortest_s = WATCHER_PERIOD_S if self._is_watcher() else OTHER_PERIOD_S
        return max(shortest_s, self._listed * ENTRY_BYTES / LIST_BYTES_PER_S)

    def _entry_vms(self, entries):
        vms = []
        for entry in entries:
            vm = self._vm(entry)
            if vm is not None:
                vms.append(vm)
        return vms

    def _vm(self, entry):
        if not isinstance(entry, dict) or entry.get("kind") != "entry":
            return None
        address = str(entry.get("address", ""))
        for candidate in (address, f"{address}:{self._peer_port}"):
            if _ADDRESS.fullmatch(candidate) and entry.get("state") in STATES:
                return Vm(
                    vm_id=str(entry.get("id")),
                    address=candidate,
                    zone=str(entry.get("zone")),
                    state=entry["state"],
                )
        log.warning("vms: an entry is not valid: %r", entry)
        return None
