"""Polls the platform's VM list."""

from __future__ import annotations

import logging
import re

from twisted.internet import defer

from briarspoke.configuration.resources import ADDRESS_PATTERN
from briarspoke.membership.members import Vm
from briarspoke.platform.store import StoreError

log = logging.getLogger(__name__)

# Nodes that watch the store need a recent list to decide about lost controllers.
WATCHER_POLL_PERIOD_S = 5.0
# A list of 440 entry VMs has about 48 kB. Polled every 5 s, it would exceed the
# 8 KB/s that a node may use for all of its control traffic.
LIST_BYTES_PER_S = 500.0
ENTRY_BYTES = 110
# Range of the random factor on the period. It keeps nodes from polling together.
MIN_JITTER_FACTOR, MAX_JITTER_FACTOR = 0.8, 1.2
DEFAULT_POLL_PERIOD_S = 30.0
VM_STATES = ("live", "leaving", "terminated")
_ADDRESS = re.compile(ADDRESS_PATTERN)


class VmPoller:
    """Polls the VM list periodically and passes it to an observer.

    :param store: the :class:`briarspoke.platform.store.StoreClient`.
    :param observer: called with a list of :class:`Vm` for the entry VMs and the
        whole list as the platform sent it.
    :param is_watcher: function that returns whether this node watches the store and
        so polls with the shorter period.
    :param peer_port: port for links, used if the address of a VM has no port.
    :param rng: a ``random.Random`` for the jitter of the period.
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
        self._entry_count = 0

    def start(self):
        """Polls immediately and then periodically."""
        self._stopped = False
        self._poll().addErrback(
            lambda failure: log.error(
                "vms: polling stopped after an unexpected error: %s", failure
            )
        )

    def poll_now(self):
        """Polls immediately, for a decision that needs a recent list."""
        if not self._stopped and self._timer is not None and self._timer.active():
            self._timer.cancel()
            self.start()

    def stop(self):
        """Stops polling."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @defer.inlineCallbacks
    def _poll(self):
        try:
            entries = yield self._store.vms()
        except StoreError as error:
            log.info("vms: the VM list is not available: %s", error)
        else:
            self._entry_count = len(entries)
            if not self._stopped:
                self._observer(self._entry_vms(entries), entries)
        if not self._stopped:
            self._timer = self._reactor.callLater(
                self._period_s()
                * self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR),
                self.start,
            )

    def _period_s(self):
        min_period_s = (
            WATCHER_POLL_PERIOD_S if self._is_watcher() else DEFAULT_POLL_PERIOD_S
        )
        return max(min_period_s, self._entry_count * ENTRY_BYTES / LIST_BYTES_PER_S)

    def _entry_vms(self, entries):
        vms = []
        for entry in entries:
            vm = self._decode_vm(entry)
            if vm is not None:
                vms.append(vm)
        return vms

    def _decode_vm(self, entry):
        if not isinstance(entry, dict) or entry.get("kind") != "entry":
            return None
        address = str(entry.get("address", ""))
        for link_address in (address, f"{address}:{self._peer_port}"):
            if _ADDRESS.fullmatch(link_address) and entry.get("state") in VM_STATES:
                return Vm(
                    vm_id=str(entry.get("id")),
                    address=link_address,
                    zone=str(entry.get("zone")),
                    state=entry["state"],
                )
        log.warning("vms: ignored an invalid entry: %r", entry)
        return None
