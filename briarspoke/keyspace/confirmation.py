"""Confirms the owners of a key map after the store was restored from a copy."""

from __future__ import annotations

from briarspoke.keyspace.keymap import UNOWNED, KeyMap, Owner


class OwnerConfirmation:
    """Repeats the grants of a former term, to learn which owners still hold their keys.

    An owner that accepts has seen no token of another controller for the range, so no
    other one has moved it: that takes a release by an owner that knows its token, or a
    wait that is longer than a controller renews grants without the store. It has to be
    the same process, since a new one knows no tokens.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param key_map: the newest :class:`KeyMap` that this process knows.
    :param granter: the :class:`briarspoke.keyspace.granter.Granter` of the term that
        this process had when the store was restored, or None if it had none.
    :param only_same_process: whether another process may have been the controller.
    """

    __slots__ = (
        "_confirmed_firsts",
        "_granter",
        "_key_map",
        "_node",
        "_only_same_process",
        "_pending",
    )

    def __init__(self, *, node, key_map, granter, only_same_process):
        self._node = node
        self._key_map = key_map
        self._granter = granter
        self._only_same_process = only_same_process
        self._confirmed_firsts = set()
        self._pending = 0
        ranges_by_instance = {}
        for first, last, owner in key_map.ranges():
            ranges = ranges_by_instance.setdefault(owner.server_instance, [])
            ranges.append((first, last, owner))
        for instance, ranges in ranges_by_instance.items():
            client = granter and granter.known_client(instance)
            if client is not None:
                self._pending += 1
                node.spawn(self._confirm(client, ranges))

    async def _confirm(self, client, ranges):
        """Asks one server, one call after the other on a kept connection."""
        try:
            for first, last, owner in ranges:
                accepted = await self._granter.confirm(
                    client,
                    first,
                    last,
                    owner,
                    only_same_process=self._only_same_process,
                )
                if accepted:
                    self._confirmed_firsts.add(first)
        finally:
            self._pending -= 1
            self._node.wake_control()

    @property
    def is_complete(self):
        """Whether all calls have ended."""
        return self._pending == 0

    def confirmed_map(self):
        """Returns the map with the confirmed owners; other ranges have none."""
        owners = [
            owner if first in self._confirmed_firsts else _without_server(owner)
            for first, _, owner in self._key_map.ranges()
        ]
        return KeyMap(starts=list(self._key_map.starts), owners=owners)


def _without_server(owner):
    return Owner(server_id=UNOWNED, incarnation=0, fence=owner.fence)
