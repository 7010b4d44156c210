"""Member table of a node: status of each member and choice of links."""

from __future__ import annotations

import enum

SUSPECT_AFTER_S = 1.5
# Heartbeats are sent every 0.5 s.
MAX_REACHABLE_SILENCE_S = 0.8
DOWN_AFTER_S = 3.0
# A new link target has time for connection and handshake before its silence counts.
FIRST_FRAME_TIMEOUT_S = 3.0
# A member that refuted a suspicion is alive but unreachable from this node. If it
# were suspected again immediately, its status would alternate.
REFUTED_SUSPECT_AFTER_S = 10.0
REMOVE_DOWN_AFTER_S = 600.0
# A longer gap between two ticks means that this node itself was paused.
MAX_TICK_GAP_S = 0.75
# A terminated VM does not come back, so its record is kept only until updates about
# it that are still in transit have arrived.
REMOVE_TERMINATED_AFTER_S = 30.0
MAX_FULL_MESH_NODES = 10
MAX_MEMBERS = 2048
# A restarted node receives one incarnation of its former process. More than this
# number within the window means that another process uses the same node id.
MAX_FOREIGN_INCARNATIONS = 3
FOREIGN_WINDOW_S = 10.0


class Status(enum.IntEnum):
    """Status of a member; of two updates with one incarnation the higher applies."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DOWN = 3


class Member:
    """An entry VM in the member table; addresses are ``host:port``.

    :param incarnation: number that only grows; the node raises it to refute a
        suspicion.
    :param instance: random identifier of the process.
    :param changed_at: monotonic time in seconds of the last change of status.
    """

    __slots__ = (
        "changed_at",
        "forward_address",
        "incarnation",
        "instance",
        "leaving",
        "link_address",
        "linked",
        "node_id",
        "silent_since",
        "status",
        "suspect_after_s",
        "terminated",
        "zone",
    )

    def __init__(
        self,
        *,
        node_id,
        zone,
        link_address,
        forward_address,
        incarnation=1,
        instance=bytes(8),
        status=Status.ALIVE,
        changed_at=0.0,
    ):
        self.node_id = node_id
        self.zone = zone
        self.link_address = link_address
        self.forward_address = forward_address
        self.incarnation = incarnation
        self.instance = instance
        self.status = status
        self.changed_at = changed_at
        # Whether the member announced that it leaves. The status does not show this
        # once the member is suspect.
        self.leaving = status is Status.LEAVING
        self.linked = False
        # Monotonic time of the last frame, or from which silence counts otherwise.
        # None while the member's silence does not count.
        self.silent_since = None
        self.suspect_after_s = FIRST_FRAME_TIMEOUT_S
        self.terminated = False

    @property
    def usable(self):
        """Whether the member takes new requests: alive or suspect, and not leaving."""
        return not self.leaving and self.status in (Status.ALIVE, Status.SUSPECT)

    def __repr__(self):
        return f"<Member {self.node_id}@{self.incarnation} {self.status.name}>"


# Events, passed to Members.handle().


class Update:
    """State of a member as received from another node.

    :param source: node id of the peer whose link delivered the update, or None.
    """

    __slots__ = (
        "forward_address",
        "incarnation",
        "instance",
        "link_address",
        "node_id",
        "source",
        "status",
        "zone",
    )

    def __init__(
        self,
        *,
        node_id,
        zone,
        link_address,
        forward_address,
        incarnation,
        instance,
        status,
        source=None,
    ):
        self.node_id = node_id
        self.zone = zone
        self.link_address = link_address
        self.forward_address = forward_address
        self.incarnation = incarnation
        self.instance = instance
        self.status = Status(status)
        self.source = source


class LinkUp:
    """An authenticated link was opened; ``update`` is the peer's own state."""

    __slots__ = ("update",)

    def __init__(self, *, update):
        self.update = update


class LinkDown:
    """The last link to a node was closed."""

    __slots__ = ("node_id",)

    def __init__(self, *, node_id):
        self.node_id = node_id


class VmsListed:
    """The platform's VM list was read; ``vms`` are :class:`Vm` of entry VMs."""

    __slots__ = ("vms",)

    def __init__(self, *, vms):
        self.vms = vms


class Vm:
    """One entry of the VM list; ``state`` is live, leaving or terminated."""

    __slots__ = ("address", "state", "vm_id", "zone")

    def __init__(self, *, vm_id, address, zone, state):
        self.vm_id = vm_id
        self.address = address
        self.zone = zone
        self.state = state


class Leave:
    """This node starts to leave."""

    __slots__ = ()


class Tick:
    """Time has passed."""

    __slots__ = ()


# Commands, returned by Members.handle().


class Announce:
    """Send the current state of a member over all links.

    :param except_peer: node id of a peer that does not need it, or None.
    """

    __slots__ = ("except_peer", "member")

    def __init__(self, *, member, except_peer=None):
        self.member = member
        self.except_peer = except_peer


class MemberChanged:
    """Notify observers that the state of a member changed.

    :param before: the former :class:`Status`, None for a new member.
    """

    __slots__ = ("before", "member")

    def __init__(self, *, member, before):
        self.member = member
        self.before = before


class MemberRemoved:
    """Report that a member was removed from the table."""

    __slots__ = ("member",)

    def __init__(self, *, member):
        self.member = member


class CloseLink:
    """Close the link to a member that is down."""

    __slots__ = ("node_id",)

    def __init__(self, *, node_id):
        self.node_id = node_id


class DuplicateNode:
    """Report that another process uses the id of this node."""

    __slots__ = ("node_id",)

    def __init__(self, *, node_id):
        self.node_id = node_id


class Members:
    """The member table of one node.

    :param me: this node's own :class:`Member`.
    :param seeds: link addresses to dial in order to find the first members.
    """

    def __init__(self, *, me, seeds=()):
        self.me = me
        self.by_id = {me.node_id: me}
        # Number of changes of status or identity, additions and removals of members.
        self.change_count = 0
        self._seeds = tuple(seeds)
        self._vms_by_id = {}
        self._foreign_updates_at = []
        self._duplicate_reported_at = None
        self._last_tick_at = None
        self._link_targets = None
        self._handlers = {
            Update: self._on_update,
            LinkUp: self._on_link_up,
            LinkDown: self._on_link_down,
            VmsListed: self._on_vms_listed,
            Leave: self._on_leave,
            Tick: self._on_tick,
        }

    def handle(self, event, now):
        """Handles an event and returns a list of commands.

        :param event: one of the events of this module.
        :param now: monotonic time in seconds.
        """
        commands = []
        self._handlers[type(event)](event, now, commands)
        return commands

    def frame_received(self, node_id, now):
        """Records a frame on a link. Frames are too frequent to be events."""
        member = self.by_id.get(node_id)
        if member is not None:
            member.silent_since = now
            member.suspect_after_s = SUSPECT_AFTER_S

    def reachable_zones(self, now):
        """Returns the zones of the members that are alive and not silent.

        A partition that is moved to a zone which has just been cut off would have no
        service until the zone is reachable again.
        """
        return {
            member.zone
            for member in self.by_id.values()
            if member.status is Status.ALIVE
            and not member.leaving
            and (
                not member.linked
                or member.silent_since is None
                or now - member.silent_since < MAX_REACHABLE_SILENCE_S
            )
        }

    def usable(self):
        """Returns the members that take new requests, sorted by node id."""
        return [m for _, m in sorted(self.by_id.items()) if m.usable]

    def ring_node_ids(self):
        """Returns the sorted node ids on the ring: all members that are not down."""
        return sorted(i for i, m in self.by_id.items() if m.status is not Status.DOWN)

    def link_targets(self):
        """Returns the node ids to which this node keeps links."""
        if self._link_targets is None:
            self._link_targets = self._compute_link_targets()
        return self._link_targets

    def seed_addresses(self):
        """Returns link addresses to dial to reach nodes that are not members.

        They come from the seeds, the live VMs of the VM list and the members that
        are down. Addresses of terminated members are left out.
        """
        known = {
            m.link_address
            for m in self.by_id.values()
            if m.status is not Status.DOWN or m.terminated
        }
        listed = {v.address for v in self._vms_by_id.values() if v.state == "live"}
        listed |= {
            m.link_address for m in self.by_id.values() if m.status is Status.DOWN
        }
        return sorted((listed | set(self._seeds)) - known)

    def watches_store(self, controller_ids):
        """Returns whether this node watches the store.

        The controllers watch it, and in each zone the first usable member that is
        not a controller. This choice needs no agreement between members and changes
        only when that member leaves.

        :param controller_ids: node ids of the current zone controllers.
        """
        own_id = self.me.node_id
        if own_id in controller_ids:
            return True
        candidates = (
            m.node_id
            for m in self.usable()
            if m.zone == self.me.zone and m.node_id not in controller_ids
        )
        return next(candidates, None) == own_id

    def next_hop(self, target, linked):
        """Returns the linked node that precedes a target most closely on the ring.

        :param target: node id of the destination.
        :param linked: node ids to choose from.
        :returns: a node id, or None if ``linked`` is empty or the target is not a
            member.
        """
        if target not in self.by_id:
            return None
        ring = sorted({*self.ring_node_ids(), *linked, target})
        positions_by_id = {node_id: position for position, node_id in enumerate(ring)}
        target_position = positions_by_id[target]
        return min(
            linked,
            key=lambda i: ((target_position - positions_by_id[i]) % len(ring), i),
            default=None,
        )

    def _compute_link_targets(self):
        ring = self.ring_node_ids()
        own_id = self.me.node_id
        if len(ring) <= MAX_FULL_MESH_NODES:
            return frozenset(set(ring) - {own_id})
        own_position = ring.index(own_id)
        targets = set()
        distance = 1
        while distance < len(ring):
            targets.add(ring[(own_position + distance) % len(ring)])
            distance *= 2
        return frozenset(targets - {own_id})

    def _on_update(self, event, now, commands):
        if event.node_id == self.me.node_id:
            self._on_own_update(event, now, commands)
            return
        member = self.by_id.get(event.node_id)
        if member is None:
            # A node that is first heard of as down needs no record.
            if event.status is Status.DOWN or len(self.by_id) >= MAX_MEMBERS:
                return
            member = self._add(event, now)
            self._announce_change(member, None, event.source, commands)
            return
        if (event.incarnation, event.status) <= (member.incarnation, member.status):
            return
        before = member.status
        if event.incarnation > member.incarnation:
            self._replace_identity(member, event, now)
        member.incarnation = event.incarnation
        self._set_status(member, event.status, now)
        self._announce_change(member, before, event.source, commands)

    def _replace_identity(self, member, event, now):
        member.zone = event.zone
        member.link_address = event.link_address
        member.forward_address = event.forward_address
        member.instance = event.instance
        member.leaving = event.status is Status.LEAVING
        if member.status is Status.SUSPECT:
            member.silent_since = now
            member.suspect_after_s = REFUTED_SUSPECT_AFTER_S
        elif member.status is Status.DOWN:
            # Silence before the member came back does not count.
            member.silent_since = None

    def _on_own_update(self, event, now, commands):
        me = self.me
        is_foreign = event.instance != me.instance and event.status < Status.SUSPECT
        if event.incarnation < me.incarnation or (
            event.incarnation == me.incarnation
            and not is_foreign
            and event.status <= me.status
        ):
            return
        if is_foreign:
            self._record_foreign_update(now, commands)
        me.incarnation = event.incarnation + 1
        commands.append(Announce(member=me))

    def _record_foreign_update(self, now, commands):
        recent = [t for t in self._foreign_updates_at if now - t < FOREIGN_WINDOW_S]
        self._foreign_updates_at = [*recent, now][-MAX_FOREIGN_INCARNATIONS - 1 :]
        if len(self._foreign_updates_at) <= MAX_FOREIGN_INCARNATIONS:
            return
        if (
            self._duplicate_reported_at is None
            or now - self._duplicate_reported_at >= FOREIGN_WINDOW_S
        ):
            self._duplicate_reported_at = now
            commands.append(DuplicateNode(node_id=self.me.node_id))

    def _on_link_up(self, event, now, commands):
        update = event.update
        self._on_update(update, now, commands)
        member = self.by_id.get(update.node_id)
        if member is None:
            # An unknown or removed member is added by its own authenticated state.
            member = self._add(update, now)
            self._announce_change(member, None, update.source, commands)
        member.linked = True
        self.frame_received(update.node_id, now)

    def _on_link_down(self, event, now, commands):
        member = self.by_id.get(event.node_id)
        if member is not None:
            member.linked = False

    def _on_vms_listed(self, event, now, commands):
        self._vms_by_id = {vm.vm_id: vm for vm in event.vms}
        for vm in event.vms:
            member = self.by_id.get(vm.vm_id)
            if member is None or member is self.me:
                continue
            # The VM list may be outdated, so it does not change the status: a member
            # whose frames still arrive is alive.
            member.terminated = vm.state == "terminated"

    def _on_leave(self, event, now, commands):
        me = self.me
        if me.leaving:
            return
        before = me.status
        me.leaving = True
        me.status = Status.LEAVING
        me.incarnation += 1
        self._announce_change(me, before, None, commands)

    def _on_tick(self, event, now, commands):
        previous_tick_at, self._last_tick_at = self._last_tick_at, now
        if previous_tick_at is not None and now - previous_tick_at > MAX_TICK_GAP_S:
            self._reset_silence(now)
            return
        targets = self.link_targets()
        for member in list(self.by_id.values()):
            if member is self.me:
                continue
            if member.status is Status.DOWN:
                self._remove_if_expired(member, now, commands)
            elif member.status is Status.SUSPECT:
                if now - member.changed_at >= DOWN_AFTER_S - SUSPECT_AFTER_S:
                    self._change_status(member, Status.DOWN, now, commands)
            elif member.linked or member.node_id in targets:
                if member.silent_since is None:
                    member.silent_since = now
                    member.suspect_after_s = FIRST_FRAME_TIMEOUT_S
                elif now - member.silent_since >= member.suspect_after_s:
                    self._change_status(member, Status.SUSPECT, now, commands)
            else:
                member.silent_since = None

    def _reset_silence(self, now):
        # Frames that arrived while this node was paused have not been read yet.
        for member in self.by_id.values():
            if member.silent_since is not None:
                member.silent_since = now
            if member.status is Status.SUSPECT:
                member.changed_at = now

    def _remove_if_expired(self, member, now, commands):
        if member.linked:
            return
        remove_after_s = (
            REMOVE_TERMINATED_AFTER_S if member.terminated else REMOVE_DOWN_AFTER_S
        )
        if now - member.changed_at >= remove_after_s:
            del self.by_id[member.node_id]
            self._link_targets = None
            self.change_count += 1
            commands.append(MemberRemoved(member=member))

    def _add(self, event, now):
        member = Member(
            node_id=event.node_id,
            zone=event.zone,
            link_address=event.link_address,
            forward_address=event.forward_address,
            incarnation=event.incarnation,
            instance=event.instance,
            status=event.status,
            changed_at=now,
        )
        self.by_id[member.node_id] = member
        return member

    def _set_status(self, member, status, now):
        if status is not member.status:
            member.changed_at = now
        member.status = status
        member.leaving = member.leaving or status is Status.LEAVING

    def _change_status(self, member, status, now, commands):
        before = member.status
        self._set_status(member, status, now)
        self._announce_change(member, before, None, commands)
        if status is Status.DOWN and member.linked:
            commands.append(CloseLink(node_id=member.node_id))

    def _announce_change(self, member, before, source, commands):
        self._link_targets = None
        self.change_count += 1
        commands.append(Announce(member=member, except_peer=source))
        commands.append(MemberChanged(member=member, before=before))
