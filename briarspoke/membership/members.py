"""Decides who the members are, who is suspect or down, and whom to link to."""

from __future__ import annotations

import enum

SUSPECT_AFTER_S = 1.5
# Heartbeats come every 0.5 s.
HEARD_WITHIN_S = 0.8
DOWN_AFTER_S = 3.0
# A new link target gets time for connection and handshake before its silence
# counts.
FIRST_FRAME_S = 3.0
# A node that refuted a suspicion is alive but unreachable from here; suspecting
# it again at once would make its status alternate.
REFUTED_SILENCE_S = 10.0
FORGET_AFTER_S = 600.0
# A longer gap between two ticks is a pause of this node itself.
PAUSE_S = 0.75
# A terminated VM does not come back, so its record is kept only long enough to
# outlive updates under way.
FORGET_TERMINATED_AFTER_S = 30.0
FULL_MESH_NODES = 10
MAX_MEMBERS = 2048
# A restarted node sees one incarnation of its former process; more than this
# within the window means that another process uses the same node id.
FOREIGN_INCARNATIONS = 3
FOREIGN_WINDOW_S = 10.0


class Status(enum.IntEnum):
    """State of a member; among updates of one incarnation the higher wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DOWN = 3


class Member:
    """An entry VM as this node knows it; addresses are ``host:port``.

    :param instance: random identifier of the process.
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
        "patience_s",
        "silent_since",
        "status",
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
        # Whether it announced that it leaves; a suspicion hides that status.
        self.leaving = status is Status.LEAVING
        self.linked = False
        self.silent_since = None
        self.patience_s = FIRST_FRAME_S
        self.terminated = False

    @property
    def usable(self):
        """Whether the member takes new work: alive or merely suspect."""
        return not self.leaving and self.status in (Status.ALIVE, Status.SUSPECT)

    def __repr__(self):
        return f"<Member {self.node_id}@{self.incarnation} {self.status.name}>"


# Events.


class Update:
    """A member's state as another node tells it.

    :param source: node id of the link it came over, or None.
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
    """An authenticated link came up; ``update`` is the peer's own state."""

    __slots__ = ("update",)

    def __init__(self, *, update):
        self.update = update


class LinkDown:
    """The last link to a node is closed."""

    __slots__ = ("node_id",)

    def __init__(self, *, node_id):
        self.node_id = node_id


class VmsListed:
    """The platform's VM list: :class:`Vm` objects of entry VMs."""

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
    """This node begins to leave."""

    __slots__ = ()


class Tick:
    """Time has passed."""

    __slots__ = ()


# Commands.


class Announce:
    """Send a member's present state over all links but one."""

    __slots__ = ("except_peer", "member")

    def __init__(self, *, member, except_peer=None):
        self.member = member
        self.except_peer = except_peer


class MemberChanged:
    """Tell observers of a member whose state changed.

    :param before: its :class:`Status` before, None for a new member.
    """

    __slots__ = ("before", "member")

    def __init__(self, *, member, before):
        self.member = member
        self.before = before


class MemberRemoved:
    """Tell observers of a member that was removed."""

    __slots__ = ("member",)

    def __init__(self, *, member):
        self.member = member


class CloseLink:
    """Close the link to a silent member."""

    __slots__ = ("node_id",)

    def __init__(self, *, node_id):
        self.node_id = node_id


class DuplicateNode:
    """Report that another process uses a node id."""

    __slots__ = ("node_id",)

    def __init__(self, *, node_id):
        self.node_id = node_id


class Members:
    """The member table of one node.

    :param me: this node's own :class:`Member`.
    :param seeds: link addresses that are dialled to find the first members.
    """

    def __init__(self, *, me, seeds=()):
        self.me = me
        self.by_id = {me.node_id: me}
        # Grows with each change of a member's status, identity or existence.
        self.change_count = 0
        self._seeds = tuple(seeds)
        self._vms_by_id = {}
        self._foreign = []
        self._reported_at = None
        self._ticked_at = None
        self._targets = None
        self._handlers = {
            Update: self._on_update,
            LinkUp: self._on_link_up,
            LinkDown: self._on_link_down,
            VmsListed: self._on_vms,
            Leave: self._on_leave,
            Tick: self._on_tick,
        }

    def handle(self, event, now):
        """Takes an event at a monotonic time and returns a list of commands."""
        commands = []
        self._handlers[type(event)](event, now, commands)
        return commands

    def frame_received(self, node_id, now):
        """Notes a frame on a link; separate from events because it is frequent."""
        member = self.by_id.get(node_id)
        if member is not None:
            member.silent_since = now
            member.patience_s = SUSPECT_AFTER_S

    # Views.

    def reachable_zones(self, now):
        """Returns the zones of members that are alive and not silent just now.

        A partition that is moved to a zone which was cut off a moment ago would
        stay without service until the cut heals.
        """
        return {
            member.zone
            for member in self.by_id.values()
            if member.status is Status.ALIVE
            and not member.leaving
            and (
                not member.linked
                or member.silent_since is None
                or now - member.silent_since < HEARD_WITHIN_S
            )
        }

    def usable(self):
        """Returns the members that take new work, sorted by node id."""
        return [m for _, m in sorted(self.by_id.items()) if m.usable]

    def present(self):
        """Returns the node ids on the ring: every member that is not down."""
        return sorted(i for i, m in self.by_id.items() if m.status is not Status.DOWN)

    def link_targets(self):
        """Returns the node ids to which this node keeps links."""
        if self._targets is None:
            self._targets = self._choose_targets()
        return self._targets

    def seed_addresses(self):
        """Returns addresses worth dialling that no present member has."""
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

        Controllers watch, and the first usable member of each zone that is none;
        so the members need no agreement and the choice moves only when that one
        goes.

        :param controller_ids: node ids of the present zone controllers.
        """
        mine = self.me.node_id
        if mine in controller_ids:
            return True
        others = (
            m.node_id
            for m in self.usable()
            if m.zone == self.me.zone and m.node_id not in controller_ids
        )
        return next(others, None) == mine

    def next_hop(self, target, linked):
        """Returns the linked node that is nearest before a target on the ring.

        :param linked: node ids to choose from; None is returned if it is empty
            or the target is no member.
        """
        if target not in self.by_id:
            return None
        ring = sorted({*self.present(), *linked, target})
        position = {node_id: number for number, node_id in enumerate(ring)}
        at = position[target]
        return min(
            linked, key=lambda i: ((at - position[i]) % len(ring), i), default=None
        )

    def _choose_targets(self):
        ring = self.present()
        mine = self.me.node_id
        if len(ring) <= FULL_MESH_NODES:
            return frozenset(set(ring) - {mine})
        at = ring.index(mine)
        targets = set()
        distance = 1
        while distance < len(ring):
            targets.add(ring[(at + distance) % len(ring)])
            distance *= 2
        return frozenset(targets - {mine})

    # Events.

    def _on_update(self, event, now, commands):
        if event.node_id == self.me.node_id:
            self._on_update_of_me(event, now, commands)
            return
        member = self.by_id.get(event.node_id)
        if member is None:
            # A member known only as down would be kept for nothing.
            if event.status is Status.DOWN or len(self.by_id) >= MAX_MEMBERS:
                return
            member = self._add(event, now)
            self._changed(member, None, event.source, commands)
            return
        if (event.incarnation, event.status) <= (member.incarnation, member.status):
            return
        before = member.status
        if event.incarnation > member.incarnation:
            self._take_identity(member, event, now)
        member.incarnation = event.incarnation
        self._set_status(member, event.status, now)
        self._changed(member, before, event.source, commands)

    def _take_identity(self, member, event, now):
        member.zone = event.zone
        member.link_address = event.link_address
        member.forward_address = event.forward_address
        member.instance = event.instance
        member.leaving = event.status is Status.LEAVING
        if member.status is Status.SUSPECT:
            member.silent_since = now
            member.patience_s = REFUTED_SILENCE_S
        elif member.status is Status.DOWN:
            # Silence from before it came back does not count.
            member.silent_since = None

    def _on_update_of_me(self, event, now, commands):
        me = self.me
        is_foreign = event.instance != me.instance and event.status < Status.SUSPECT
        if event.incarnation < me.incarnation or (
            event.incarnation == me.incarnation
            and not is_foreign
            and event.status <= me.status
        ):
            return
        if is_foreign:
            self._note_foreign(now, commands)
        me.incarnation = event.incarnation + 1
        commands.append(Announce(member=me))

    def _note_foreign(self, now, commands):
        recent = [t for t in self._foreign if now - t < FOREIGN_WINDOW_S]
        self._foreign = [*recent, now][-FOREIGN_INCARNATIONS - 1 :]
        if len(self._foreign) <= FOREIGN_INCARNATIONS:
            return
        if self._reported_at is None or now - self._reported_at >= FOREIGN_WINDOW_S:
            self._reported_at = now
            commands.append(DuplicateNode(node_id=self.me.node_id))

    def _on_link_up(self, event, now, commands):
        update = event.update
        self._on_update(update, now, commands)
        member = self.by_id.get(update.node_id)
        if member is None:
            # Known nowhere, or forgotten here: its own word makes it a member.
            member = self._add(update, now)
            self._changed(member, None, update.source, commands)
        member.linked = True
        self.frame_received(update.node_id, now)

    def _on_link_down(self, event, now, commands):
        member = self.by_id.get(event.node_id)
        if member is not None:
            member.linked = False

    def _on_vms(self, event, now, commands):
        self._vms_by_id = {vm.vm_id: vm for vm in event.vms}
        for vm in event.vms:
            member = self.by_id.get(vm.vm_id)
            if member is None or member is self.me:
                continue
            # The list lags: it does not overrule frames that still arrive.
            member.terminated = vm.state == "terminated"

    def _on_leave(self, event, now, commands):
        me = self.me
        if me.leaving:
            return
        before = me.status
        me.leaving = True
        me.status = Status.LEAVING
        me.incarnation += 1
        self._changed(me, before, None, commands)

    def _on_tick(self, event, now, commands):
        last, self._ticked_at = self._ticked_at, now
        if last is not None and now - last > PAUSE_S:
            self._restart_silence(now)
            return
        targets = self.link_targets()
        for member in list(self.by_id.values()):
            if member is self.me:
                continue
            if member.status is Status.DOWN:
                self._maybe_forget(member, now, commands)
            elif member.status is Status.SUSPECT:
                if now - member.changed_at >= DOWN_AFTER_S - SUSPECT_AFTER_S:
                    self._transition(member, Status.DOWN, now, commands)
            elif member.linked or member.node_id in targets:
                if member.silent_since is None:
                    member.silent_since = now
                    member.patience_s = FIRST_FRAME_S
                elif now - member.silent_since >= member.patience_s:
                    self._transition(member, Status.SUSPECT, now, commands)
            else:
                member.silent_since = None

    def _restart_silence(self, now):
        # Frames that arrived during this node's own pause are not read yet.
        for member in self.by_id.values():
            if member.silent_since is not None:
                member.silent_since = now
            if member.status is Status.SUSPECT:
                member.changed_at = now

    def _maybe_forget(self, member, now, commands):
        if member.linked:
            return
        limit = FORGET_TERMINATED_AFTER_S if member.terminated else FORGET_AFTER_S
        if now - member.changed_at >= limit:
            del self.by_id[member.node_id]
            self._targets = None
            self.change_count += 1
            commands.append(MemberRemoved(member=member))

    # Helpers.

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

    def _transition(self, member, status, now, commands):
        before = member.status
        self._set_status(member, status, now)
        self._changed(member, before, None, commands)
        if status is Status.DOWN and member.linked:
            commands.append(CloseLink(node_id=member.node_id))

    def _changed(self, member, before, source, commands):
        self._targets = None
        self.change_count += 1
        commands.append(Announce(member=member, except_peer=source))
        commands.append(MemberChanged(member=member, before=before))
