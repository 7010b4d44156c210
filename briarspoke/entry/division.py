"""Reports this VM's demand, and divides capacity while this VM is the controller.

The load that this answers: see :mod:`briarspoke.keyspace.demand`. A VM sends a report
twice a second, the controller one message to all VMs twice a second; both only while
some service is shared by so many VMs that a server gives each less than two requests.
"""

from __future__ import annotations

import logging

from briarspoke.entry import shares
from briarspoke.entry.sharenews import News, ServiceNews, ShareNews
from briarspoke.keyspace.demand import HOLD_S, DemandEstimate, Divider

log = logging.getLogger(__name__)

INTERVAL_S = 0.5
# A plan of the range manager is used for this long: two of its intervals.
MAX_PLAN_AGE_S = 1.0


class Division:
    """Messages about demand, shares and owners without room.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :ivar news: the :class:`briarspoke.entry.sharenews.ShareNews` of this VM.
    """

    __slots__ = (
        "_demand",
        "_divided_services",
        "_dividers_by_service",
        "_node",
        "_number",
        "_term",
        "_term_since",
        "news",
    )

    def __init__(self, *, node):
        self._node = node
        self.news = ShareNews(node=node.settings.node)
        self._number = 0
        self._term = None
        self._begin_term(0.0)

    def _begin_term(self, now):
        self._term_since = now
        self._demand = DemandEstimate()
        self._dividers_by_service = {}
        self._divided_services = set()

    def tick(self):
        """Sends this VM's report and, as controller, the message to all VMs."""
        node = self._node
        now = node.now()
        self.news.check(now)
        if node.routing_table is None:
            return
        self._number += 1
        self._report(now)
        self._plan(now)

    def _is_scarce(self, dispatcher):
        vms = self._node.node_count
        return any(
            shares.is_scarce(server.record.slots, vms)
            for server in dispatcher.servers.values()
        )

    def _report(self, now):
        node = self._node
        counts = {}
        for dispatcher in node.dispatchers():
            if dispatcher.keyed or not self._is_scarce(dispatcher):
                continue
            counts[dispatcher.name] = dispatcher.arrived
        if not counts:
            return
        report = (node.settings.node, node.process, self._number, counts)
        if node.control.is_leader:
            self.demand_reported(*report)
            return
        controller = node.control.controller()
        if controller is not None:
            address = (controller.host, controller.port)
            node.datagrams.send_demand(*report, address)

    def demand_reported(self, name, process, number, count_by_service):
        """Adds a VM's report, if this process is the controller."""
        if self._node.control.is_leader:
            self._demand.add(name, process, number, count_by_service, self._node.now())

    def _plan(self, now):
        node = self._node
        leadership = node.control.leadership
        if not leadership.is_leader or leadership.has_lost_store(now):
            # Another VM may be the controller.
            self._log_end("-")
            return
        if self._term is not leadership.term:
            self._term = leadership.term
            self._begin_term(now)
        by_service = {}
        for dispatcher in node.dispatchers():
            if not self._is_scarce(dispatcher):
                continue
            if dispatcher.keyed:
                full = node.control.full_owners(dispatcher.name, now - MAX_PLAN_AGE_S)
                if full is not None:
                    by_service[dispatcher.name] = ServiceNews.of_names(
                        share_by_node={}, full_server_ids=full
                    )
                continue
            share_by_node = self._divide(dispatcher, now)
            if share_by_node:
                by_service[dispatcher.name] = ServiceNews.of_names(
                    share_by_node=share_by_node, full_server_ids=None
                )
        if not by_service:
            return
        news = News(
            controller=node.process,
            number=self._number,
            sent_at=now,
            vms=node.node_count,
            by_service=by_service,
        )
        node.datagrams.send_shares(news, node.registry.addresses())
        self.news.receive(news, now)

    def _divide(self, dispatcher, now):
        if now - self._term_since < HOLD_S:
            # Shares that the controller before has given may still be in force.
            return {}
        node, name = self._node, dispatcher.name
        rate_by_node = self._demand.rate_by_node(name, now)
        slots = sum(server.record.slots for server in dispatcher.servers.values())
        busy_slots = sum(rate_by_node.values()) * dispatcher.expected_latency_s()
        utilisation = busy_slots / slots
        divider = self._dividers_by_service.setdefault(name, Divider())
        share_by_node = divider.divide(
            rate_by_node, vms=node.node_count, utilisation=utilisation, now=now
        )
        if not share_by_node:
            self._log_end(name)
        elif name not in self._divided_services:
            self._divided_services.add(name)
            log.info(
                "room: shares begin service=%s vms=%d largest_percent=%d "
                "busy_percent=%d",
                name,
                len(share_by_node),
                round(100 * max(share_by_node.values())),
                round(100 * utilisation),
            )
        return share_by_node

    def _log_end(self, name):
        ended = [name] if name != "-" else sorted(self._divided_services)
        for service in ended:
            if service in self._divided_services:
                self._divided_services.remove(service)
                log.info("room: shares end service=%s", service)

    def shares_received(self, news):
        """Takes a message of the controller."""
        controller = self._node.control.controller()
        self.news.receive(
            news,
            self._node.now(),
            controller=None if controller is None else controller.process,
        )
