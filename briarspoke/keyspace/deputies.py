"""Lets other entry VMs know the key maps as the controller does.

After the store was restored from a copy, its key maps may be older than what servers
hold. A controller that lives through it knows the owners. So that they are known if it
is lost at the same moment, it lends its knowledge to a few other VMs, its deputies.

A deputy knows for a bounded time that its own copy of a map names the owners, but for
ranges that are about to change. The controller changes the owner of a range only when
each deputy has confirmed that it knows of the change, or the deputy's time is over. A
deputy whose time is not over when it learns of the restore therefore knows all owners.
"""

from __future__ import annotations

import math

# Deputies of a controller. Each move waits for a message to each of them and back.
DEPUTIES = 3
# Time for which a deputy knows the maps after the message to the controller whose
# answer says so. A move waits as long for a deputy that has just been lost, and the
# controller may be lost for nearly as long when the store is restored.
KNOWLEDGE_S = 3.0
# A VM's clock may run up to 2% slow.
CLOCK_DRIFT_FACTOR = 1.02
# Interval between two notices to a VM that has nothing new to confirm.
NOTICE_INTERVAL_S = 0.4
# A deputy that has confirmed nothing for this long gets no further time.
SILENCE_S = 1.0


class MapNotice:
    """What the controller says of the key maps.

    :param term: (era, revision) of the controller's term.
    :param number: rises with each change of what it says.
    :param state_by_service: ``{service: (highest token of the map that was written
        last, [(first, last)] of ranges that may have another owner)}``.
    :param receipt: (process, time by the clock of the VM in seconds) of the VM's last
        receipt, from which its knowledge counts; None to a VM that is no deputy.
    """

    __slots__ = ("number", "receipt", "state_by_service", "term")

    def __init__(self, *, term, number, state_by_service, receipt=None):
        self.term = term
        self.number = number
        self.state_by_service = state_by_service
        self.receipt = receipt


class MapReceipt:
    """A VM's answer to a :class:`MapNotice`.

    :param node: name of the VM.
    :param process: random name of its process.
    :param term: term of the notice.
    :param number: number of the notice.
    :param sent_at: time by the VM's clock in seconds.
    """

    __slots__ = ("node", "number", "process", "sent_at", "term")

    def __init__(self, *, node, process, term, number, sent_at):
        self.node = node
        self.process = process
        self.term = term
        self.number = number
        self.sent_at = sent_at


class Deputies:
    """The controller's side, for one term.

    :param term: (era, revision) of the term.
    :param earlier_end_at: time at which the knowledge of all deputies of earlier
        controllers has ended.
    :param send: called with (name of a VM, :class:`MapNotice`).
    """

    __slots__ = (
        "_earlier_end_at",
        "_extended_at_by_node",
        "_number",
        "_number_by_range",
        "_predecessor_by_service",
        "_receipt_by_node",
        "_received_at_by_node",
        "_send",
        "_sent_at_by_node",
        "_state_by_service",
        "_term",
        "_unconfirmed",
    )

    def __init__(self, *, term, earlier_end_at, send):
        self._term = term
        self._earlier_end_at = earlier_end_at
        self._send = send
        # VMs that may believe an earlier controller, or None before the first tick.
        self._unconfirmed = None
        # Names of the VMs that wrote the maps which this term has replaced.
        self._predecessor_by_service = {}
        self._number = 0
        self._state_by_service = {}
        # Number of the notice that first named a range, by (service, first, last).
        self._number_by_range = {}
        self._receipt_by_node = {}
        self._received_at_by_node = {}
        self._sent_at_by_node = {}
        # VMs that may have knowledge, and the last time at which each got more of it.
        self._extended_at_by_node = {}

    def tick(self, now, *, link_by_node, required, fence_by_service, may_extend):
        """Sends the notices that are due.

        :param link_by_node: ``{name: (availability zone, bandwidth in Mbit/s)}`` of the
            other VMs.
        :param required: names of the VMs that may believe an earlier controller.
        :param fence_by_service: ``{service: highest token of the map}``.
        :param may_extend: whether the lease of this controller is certainly valid.
        """
        self._expire(now)
        if now >= self._earlier_end_at:
            required = set()
        self._unconfirmed = required - self._receipt_by_node.keys()
        self._update_state(fence_by_service)
        live = self._live(now, link_by_node)
        deputies = self._choose(live, link_by_node) if may_extend else set()
        needs_more = len(deputies) < min(DEPUTIES, len(link_by_node))
        for node in link_by_node:
            if (
                node in deputies
                or node in self._extended_at_by_node
                or needs_more
                or self._unconfirmed
            ):
                self._notify(node, now, is_deputy=node in deputies)

    def _expire(self, now):
        after_s = KNOWLEDGE_S * CLOCK_DRIFT_FACTOR
        self._extended_at_by_node = {
            node: extended_at
            for node, extended_at in self._extended_at_by_node.items()
            if now < extended_at + after_s
        }

    def _update_state(self, fence_by_service):
        """Raises the number if there is something new to say."""
        state_by_service = {
            service: (
                fence,
                sorted(
                    (first, last)
                    for name, first, last in self._number_by_range
                    if name == service
                ),
            )
            for service, fence in fence_by_service.items()
        }
        new = [
            key
            for key, number in self._number_by_range.items()
            if number is None and key[0] in state_by_service
        ]
        if state_by_service == self._state_by_service and not new:
            return
        self._state_by_service = state_by_service
        self._number += 1
        for key in new:
            self._number_by_range[key] = self._number

    def _live(self, now, link_by_node):
        return {
            node
            for node, received_at in self._received_at_by_node.items()
            if now - received_at <= SILENCE_S and node in link_by_node
        }

    def _choose(self, live, link_by_node):
        """Returns the deputies: of different zones, with the widest links.

        Moves wait for their receipts, which wait behind bodies on narrow links.
        """
        chosen = set()
        zones = set()

        def rank(name):
            zone, mbps = link_by_node[name]
            is_deputy = name in self._extended_at_by_node
            return (zone in zones, -mbps, not is_deputy, name)

        while len(chosen) < DEPUTIES and len(chosen) < len(live):
            node = min(live - chosen, key=rank)
            chosen.add(node)
            zones.add(link_by_node[node][0])
        return chosen

    def _notify(self, node, now, *, is_deputy):
        receipt = self._receipt_by_node.get(node)
        is_due = now >= self._sent_at_by_node.get(node, -math.inf) + NOTICE_INTERVAL_S
        if not is_due and receipt is not None and receipt.number >= self._number:
            return
        self._sent_at_by_node[node] = now
        if is_deputy:
            self._extended_at_by_node[node] = now
        notice = MapNotice(
            term=self._term,
            number=self._number,
            state_by_service=self._state_by_service,
            receipt=(receipt.process, receipt.sent_at) if is_deputy else None,
        )
        self._send(node, notice)

    def names(self):
        """Returns the names of the VMs that may know the owners."""
        return self._extended_at_by_node.keys()

    def received(self, receipt, now):
        """Takes a VM's receipt.

        :returns: whether it confirms more than the VM has confirmed before.
        """
        if receipt.term != self._term:
            return False
        known = self._receipt_by_node.get(receipt.node)
        if known is not None and receipt.number < known.number:
            return False
        self._receipt_by_node[receipt.node] = receipt
        self._received_at_by_node[receipt.node] = now
        return known is None or receipt.number > known.number

    def may_change(self, service, first, last, now):
        """Returns whether a range may get another owner.

        If not, it may later: the deputies are told that it is about to change.
        """
        key = (service, first, last)
        if key not in self._number_by_range:
            self._number_by_range[key] = None
        number = self._number_by_range[key]
        predecessor = self._predecessor_by_service.get(service)
        if self._unconfirmed is None or self._unconfirmed - {predecessor}:
            return False
        self._expire(now)
        return all(
            number is not None and self._receipt_by_node[node].number >= number
            for node in self._extended_at_by_node
        )

    def replaced_map(self, service, writer):
        """Notes whose map the first one of this term has replaced.

        That VM knows no owners from other controllers: it has forgotten them when it
        became the controller, and none has written a map since.

        :param writer: name of the VM, or None if it is not known.
        """
        self._predecessor_by_service[service] = writer

    def changed(self, service, first, last):
        """Notes that a range has the owner that the map written last names."""
        self._number_by_range.pop((service, first, last), None)


class KnownMaps:
    """A VM's side: what it knows of the owners, and until when.

    :param node: name of this VM.
    :param process: random name of this process.
    :param highest_fence: function that returns the highest token of this VM's copy of
        the map of a service, or None without a map.
    """

    __slots__ = (
        "_highest_fence",
        "_inherited",
        "_known_until",
        "_node",
        "_number",
        "_process",
        "_ranges_by_service",
        "_term",
    )

    def __init__(self, *, node, process, highest_fence):
        self._node = node
        self._process = process
        self._highest_fence = highest_fence
        self._term = (0, 0)
        self._number = 0
        self._known_until = -math.inf
        # Ranges that may have another owner than in this VM's copy of the map.
        self._ranges_by_service = {}
        # (era, ranges by service) known when the store was restored, or None.
        self._inherited = None

    def receive(self, notice, now, *, era, may_extend):
        """Takes a notice of the controller.

        :param era: era of the store that this VM knows.
        :param may_extend: whether this VM is in touch with the store and goes on.
        :returns: the :class:`MapReceipt`, or None if the notice is not used.
        """
        if notice.term[0] != era or notice.term < self._term:
            return None
        if notice.term > self._term:
            self.begin_term(notice.term)
        if notice.number < self._number:
            return None
        self._number = notice.number
        if now > self._known_until:
            self._ranges_by_service = {}
        for service, (fence, ranges) in notice.state_by_service.items():
            own_fence = self._highest_fence(service)
            if own_fence is not None and own_fence >= fence:
                self._ranges_by_service[service] = set(ranges)
            elif service in self._ranges_by_service:
                self._ranges_by_service[service].update(ranges)
        if may_extend and notice.receipt is not None:
            process, sent_at = notice.receipt
            if process == self._process:
                self._known_until = max(self._known_until, sent_at + KNOWLEDGE_S)
        return MapReceipt(
            node=self._node,
            process=self._process,
            term=notice.term,
            number=notice.number,
            sent_at=now,
        )

    def begin_term(self, term):
        """Forgets what is known, since the controller of a new term may change it.

        What earlier controllers say from then on is not used.

        :param term: (era, revision) of a term, also of one of this VM.
        """
        self._term = term
        self._forget()

    def _forget(self):
        self._number = 0
        self._known_until = -math.inf
        self._ranges_by_service = {}

    def era_rose(self, era, now):
        """Keeps what is known now for the era that has begun.

        What was known of the era before may have changed in one that was missed.
        """
        self._inherited = None
        if now <= self._known_until and self._ranges_by_service:
            self._inherited = (era, self._ranges_by_service)
        self._forget()

    def uncertain_ranges(self, service, era):
        """Returns the ranges whose owners are not known since a restore.

        :param era: era that began with the restore.
        :returns: set of (first, last), or None if no owner is known.
        """
        if not self.knows_owners(era):
            return None
        return self._inherited[1].get(service)

    def knows_owners(self, era):
        """Returns whether the owners in this VM's maps are known since a restore."""
        return self._inherited is not None and self._inherited[0] == era
