"""The controller of key ownership, which runs in one entry VM at a time."""

from __future__ import annotations

import logging

from twisted.internet import task

from briarspoke.keyspace.deputies import (
    CLOCK_DRIFT_FACTOR,
    KNOWLEDGE_S,
    Deputies,
)
from briarspoke.keyspace.keymap import KEY_MAP_PREFIX
from briarspoke.keyspace.leadership import (
    CONTROL_KEY,
    LEASE_S,
    ControlRecord,
    Leadership,
)
from briarspoke.keyspace.load import LoadEstimate
from briarspoke.keyspace.range_manager import KeyRangeManager
from briarspoke.platform.keyvalue import Item

log = logging.getLogger(__name__)

CONTROL_TICK_INTERVAL_S = 0.1
# Collects changes that arrive together, so that they are handled in one tick.
WAKE_DELAY_S = 0.005


class Control:
    """Runs a :class:`KeyRangeManager` per keyed service while this VM is controller.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        self._range_managers_by_service = {}
        # The managers of the last term that has ended.
        self._former_managers_by_service = {}
        self._former_term = None
        self._estimates_by_service = {}
        self._term = None
        # Names of the deputies, for the log.
        self._deputy_names = ()
        # The :class:`Deputies` of the term, or None.
        self._deputies = None
        self._wake_call = None
        self._loop = task.LoopingCall(self._tick_logged)
        self._loop.clock = node.reactor
        self.leadership = Leadership(
            client=node.store,
            view=node.view,
            own_record=ControlRecord(
                node=node.settings.node,
                process=node.process,
                host=node.settings.ip,
                port=node.settings.internal_port,
            ),
            clock=node.now,
            sleep=node.sleep,
            wider_fraction=node.registry.wider_fraction,
            knows_owners=lambda era: node.known_maps.knows_owners(era),
        )
        node.view.observe(CONTROL_KEY, self._record_changed)

    @property
    def is_leader(self):
        """Whether this process is the controller."""
        return self.leadership.is_leader

    def controller(self):
        """Returns the :class:`ControlRecord` of the controller, or None."""
        holder = self.leadership.holder()
        return None if holder is None or holder.resigned else holder

    def _record_changed(self, key, item):
        self.leadership.record_changed()

    def add_load(self, service, counts):
        """Adds an entry VM's load report, if this process is the controller.

        :param counts: the :class:`briarspoke.keyspace.load.LoadCounts`.
        """
        if self.is_leader and self._node.knows_service(service):
            self.load_estimate(service).add(counts, self._node.now())

    def load_estimate(self, service):
        """Returns the :class:`LoadEstimate` of a service, creating it if needed."""
        return self._estimates_by_service.setdefault(service, LoadEstimate())

    def full_owners(self, service, planned_after):
        """Returns the identifiers of owners without free capacity.

        :param planned_after: time since which they must have been determined.
        :returns: a frozenset, or None if they are not known.
        """
        range_manager = self._range_managers_by_service.get(service)
        if range_manager is None or range_manager.full_owners_at < planned_after:
            return None
        return range_manager.full_owners

    def moves_by_service(self):
        """Returns ``{service: number of ranges that are moving}``.

        It is empty unless this process is the controller.
        """
        return {
            service: len(range_manager.moves)
            for service, range_manager in self._range_managers_by_service.items()
        }

    def start(self):
        """Starts to compete for the controller's lease."""
        self._node.spawn(self.leadership.run())
        self._loop.start(CONTROL_TICK_INTERVAL_S, now=False)

    async def stop(self):
        """Resigns as controller.

        If the store does not answer, this process stays the controller and renews
        grants until it ends.
        """
        if await self.leadership.resign() and self._loop.running:
            self._loop.stop()

    def wake(self):
        """Schedules a tick after ``WAKE_DELAY_S`` if this process is the controller."""
        if self.is_leader and (self._wake_call is None or not self._wake_call.active()):
            self._wake_call = self._node.reactor.callLater(
                WAKE_DELAY_S, self._tick_logged
            )

    def _tick_logged(self):
        # A LoopingCall ends for good when its function raises, and with it the renewal
        # of all grants.
        try:
            self._tick()
        except Exception:
            log.exception("control: a tick failed")
            self._node.metrics.count("internal_errors_total", "control")

    def _tick(self):
        leadership = self.leadership
        if not leadership.is_leader or self._node.routing_table is None:
            self._end_term()
            return
        if self._term is not leadership.term:
            self._end_term()
            self._term = leadership.term
            self._deputies = self._new_deputies()
            inherited = leadership.inherited
            if inherited is None or inherited.term is not self._former_term:
                self._former_managers_by_service = {}
            # The loads of an earlier term are out of date.
            self._estimates_by_service = {}
        now = self._node.now()
        for service in self._node.routing_table.services.values():
            if not service.keyed:
                continue
            range_manager = self._range_managers_by_service.get(service.name)
            if range_manager is None:
                range_manager = KeyRangeManager(
                    node=self._node,
                    leadership=leadership,
                    service=service.name,
                    deputies=self._deputies,
                    former=self._former_managers_by_service.get(service.name),
                )
                self._range_managers_by_service[service.name] = range_manager
            range_manager.tick(now)
        self._tell_deputies(now)

    def _new_deputies(self):
        node = self._node
        term = (self._term.era, self._term.revision)
        node.known_maps.begin_term(term)
        # An earlier controller tells its deputies that the maps are known until its
        # lease has expired.
        known_s = (LEASE_S + KNOWLEDGE_S) * CLOCK_DRIFT_FACTOR
        return Deputies(
            term=term,
            earlier_end_at=node.now() + known_s,
            send=self._send_map_notice,
        )

    def _send_map_notice(self, name, notice):
        record = self._node.registry.others()[name]
        self._node.datagrams.send_map_notice(notice, (record.host, record.port))

    def _tell_deputies(self, now):
        node = self._node
        fence_by_service = {
            service: node.key_maps.by_service[service].highest_fence
            for service, manager in self._range_managers_by_service.items()
            if manager.has_written_map
        }
        others = node.registry.others()
        self._deputies.tick(
            now,
            link_by_node={
                name: (record.zone, record.link_mbps) for name, record in others.items()
            },
            required=node.registry.lately_registered(),
            fence_by_service=fence_by_service,
            may_extend=not self.leadership.may_be_replaced(now),
        )
        names = tuple(sorted(self._deputies.names()))
        if names != self._deputy_names:
            self._deputy_names = names
            log.info("control: deputies names=%s", ",".join(names) or "-")

    def map_receipt_received(self, receipt):
        """Takes an entry VM's answer to what this VM has said of the key maps.

        :param receipt: the :class:`briarspoke.keyspace.deputies.MapReceipt`.
        """
        if (
            self.is_leader
            and self._deputies is not None
            and self._deputies.received(receipt, self._node.now())
        ):
            self.wake()

    def _end_term(self):
        if self._term is not None:
            self._former_term = self._term
            self._former_managers_by_service = self._range_managers_by_service
            self._range_managers_by_service = {}
            self._term = None
            self._deputies = None

    async def write_key_map(self, service, key_map, term):
        """Writes a key map to the store and to this VM's view of it.

        :param term: the :class:`briarspoke.keyspace.leadership.Term` of this VM.
        :raises ConditionFailedError: if another VM has written the control key or the
            map has changed.
        """
        node = self._node
        key = KEY_MAP_PREFIX + service
        known = node.view.items.get(key)
        data = key_map.encode(term.era, node.settings.node)
        revision = await node.store.write(
            expected={**term.expected, key: known.revision if known else 0},
            puts={key: data},
            era=term.era,
        )
        node.view.put(Item(key=key, value=data, revision=revision, era=term.era))
