"""Plans the next state and owner changes of one service's partitions."""

from __future__ import annotations

from briarspoke.ownership import placement
from briarspoke.ownership.document import Partition, State
from briarspoke.ownership.index import partition_name
from briarspoke.ownership.timing import MAX_BUSY_MOVE_S


class PendingMove:
    """A move of a partition that has started and is not finished.

    :param target: server chosen for a voluntary move, None for a forced one.
    :param since: time at which this controller made or found it ``moving``.
    """

    __slots__ = ("since", "target")

    def __init__(self, *, target, since):
        self.target = target
        self.since = since


class ServerView:
    """State of one server of the zone, as the planning needs it.

    :param server: the :class:`Server` resource.
    :param fenced: whether the server checks grants.
    :param grants_expired: whether all its grants have surely expired and no
        controller will renew them.
    :param unreachable: whether it does not answer.
    :param leaving: whether its partitions have to move to other servers because
        it is drained, evacuated or removed from the configuration.
    :param released: names of revoked partitions without requests in flight.
    """

    __slots__ = (
        "fenced",
        "grants_expired",
        "leaving",
        "released",
        "server",
        "unreachable",
    )

    def __init__(
        self, *, server, fenced, grants_expired, unreachable, leaving, released
    ):
        self.server = server
        self.fenced = fenced
        self.grants_expired = grants_expired
        self.unreachable = unreachable
        self.leaving = leaving
        self.released = released


class Handoff:
    """Plans the next state and owner changes of one service's partitions.

    :param service: the :class:`Service` resource.
    :param stored: the :class:`StoredDocument`.
    :param views: :class:`ServerView` per name of the zone's servers.
    :param targets: servers that may receive partitions.
    :param pending: :class:`PendingMove` per partition number; moves that an earlier
        controller started are added to it.
    :param costs: cost per partition number.
    :param now: monotonic time in seconds.
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
        """Returns the changed :class:`Partition` objects by partition number."""
        changes = {}
        unassigned = list(self.stored.unowned)
        for name, view in self.views.items():
            targets_elsewhere = any(t.name != name for t in self.targets)
            if view.grants_expired:
                if targets_elsewhere:
                    unassigned.extend(self.stored.partitions_of(name))
                continue
            unassigned.extend(self._finished(name, view, changes))
            if targets_elsewhere and self._must_leave(view):
                for number, epoch in self.stored.active_by_owner.get(name, {}).items():
                    changes[number] = Partition(
                        owner=name, epoch=epoch, state=State.MOVING
                    )
        self._place(unassigned, changes)
        return changes

    def _must_leave(self, view):
        if view.fenced:
            return view.leaving and not view.unreachable
        return view.leaving or view.unreachable

    def _finished(self, name, view, changes):
        """Returns the released partitions and cancels stalled moves in ``changes``."""
        released = []
        for number, epoch in self.stored.moving_by_owner.get(name, {}).items():
            if partition_name(self.service.name, number) in view.released:
                released.append(number)
                continue
            # The time limit of a move started by an earlier controller counts from
            # now.
            pending = self.pending.setdefault(
                number, PendingMove(target=None, since=self.now)
            )
            stalled = self.now - pending.since > MAX_BUSY_MOVE_S
            if stalled and not self._must_leave(view) and not view.unreachable:
                # The owner stays, at a higher epoch, and requests in flight may
                # continue.
                changes[number] = Partition(owner=name, epoch=epoch + 1)
        return released

    def _place(self, unassigned, changes):
        if not self.targets:
            return
        owners = [partition.owner for partition in self.stored.document.partitions]
        for number in unassigned:
            owners[number] = None
        loads = placement.loads_of(owners, self.costs)
        by_name = {server.name: server for server in self.targets}
        undecided = []
        for number in unassigned:
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
