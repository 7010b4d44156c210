"""Which partitions of one service change state or owner next."""

from __future__ import annotations

from briarspoke.ownership import placement
from briarspoke.ownership.document import Partition, State
from briarspoke.ownership.index import partition_name
from briarspoke.ownership.timing import BUSY_MOVE_S


class Pending:
    """A move that this controller has begun.

    :param target: server chosen for a voluntary move, None for a forced one.
    :param since: when the partition was made ``moving``.
    """

    __slots__ = ("since", "target")

    def __init__(self, *, target, since):
        self.target = target
        self.since = since


class ServerView:
    """What the planning needs to know of one server of the zone.

    :param server: the :class:`Server` resource.
    :param fenced: whether it checks grants.
    :param free: whether it surely holds no grant and will get none.
    :param silent: whether it does not answer.
    :param leaving: whether an operator moves its partitions away.
    :param released: names of revoked partitions without requests in flight.
    """

    __slots__ = ("fenced", "free", "leaving", "released", "server", "silent")

    def __init__(self, *, server, fenced, free, silent, leaving, released):
        self.server = server
        self.fenced = fenced
        self.free = free
        self.silent = silent
        self.leaving = leaving
        self.released = released


class Handoff:
    """Plans the changes of one service.

    :param service: the :class:`Service` resource.
    :param stored: the :class:`StoredDocument`.
    :param views: :class:`ServerView` per name, of the zone's own servers.
    :param targets: servers that may take partitions.
    :param pending: :class:`Pending` per partition number.
    :param costs: cost per partition number.
    """

    __slots__ = ("costs", "now", "pending", "service", "stored", "targets", "views")

    def __init__(self, *, service, stored, views, targets, pending, costs, now):
        self.service = service
        self.stored = stored
        self.views = views
        self.targets = targets
        self.pending = pending
        self.costs = costs
        self.now = now

    def changes(self):
        """Returns the new :class:`Partition` per number."""
        changes = {}
        homeless = list(self.stored.unowned)
        for name, view in self.views.items():
            targets_elsewhere = any(t.name != name for t in self.targets)
            if view.free:
                if targets_elsewhere:
                    homeless.extend(self.stored.numbers_of(name))
                continue
            homeless.extend(self._finished(name, view, changes))
            if targets_elsewhere and self._must_leave(view):
                for number, epoch in self.stored.active_by_owner.get(name, {}).items():
                    changes[number] = Partition(
                        owner=name, epoch=epoch, state=State.MOVING
                    )
        self._place(homeless, changes)
        return changes

    def _must_leave(self, view):
        if view.fenced:
            return view.leaving and not view.silent
        return view.leaving or view.silent

    def _finished(self, name, view, changes):
        """Returns the released partitions and takes back moves that stall."""
        released = []
        for number, epoch in self.stored.moving_by_owner.get(name, {}).items():
            if partition_name(self.service.name, number) in view.released:
                released.append(number)
                continue
            # A move that an earlier controller began counts from here on.
            pending = self.pending.setdefault(
                number, Pending(target=None, since=self.now)
            )
            stalled = self.now - pending.since > BUSY_MOVE_S
            if stalled and not self._must_leave(view) and not view.silent:
                # The same owner at a new epoch: requests in flight may go on.
                changes[number] = Partition(owner=name, epoch=epoch + 1)
        return released

    def _place(self, homeless, changes):
        if not self.targets:
            return
        owners = [partition.owner for partition in self.stored.document.partitions]
        for number in homeless:
            owners[number] = None
        loads = placement.loads_of(owners, self.costs)
        by_name = {server.name: server for server in self.targets}
        undecided = []
        for number in homeless:
            pending = self.pending.get(number)
            if pending is not None and pending.target in by_name:
                changes[number] = self._owned_by(number, pending.target)
                loads[pending.target] = (
                    loads.get(pending.target, 0.0) + self.costs[number]
                )
            else:
                undecided.append(number)
        chosen = placement.assign(undecided, self.costs, self.targets, loads)
        for number, name in chosen.items():
            changes[number] = self._owned_by(number, name)

    def _owned_by(self, number, name):
        old = self.stored.document.partitions[number]
        return Partition(owner=name, epoch=old.epoch + 1)
