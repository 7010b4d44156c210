"""Confirms the owners of a key map after the store was restored from a copy."""

from __future__ import annotations

from briarspoke.keyspace.keymap import UNOWNED, KeyMap, Owner


class OwnerConfirmation:
    """Repeats the grants of a former term, to learn which owners still hold their keys.

    An owner that accepts has seen no token of another controller for the range, so no
    other one has moved it: that takes a release by an owner that knows its token, or a
    wait that is longer than a controller renews grants without the store.

    :param key_map: the newest :class:`KeyMap` that this process knows.
    :param granter: the :class:`briarspoke.keyspace.granter.Granter` of the term that
        this process had when the store was restored, or None if it had none.
    """

    __slots__ = ("_key_map", "_sent_by_first")

    def __init__(self, *, key_map, granter):
        self._key_map = key_map
        self._sent_by_first = {}
        for first, last, owner in key_map.ranges():
            client = granter and granter.known_client(owner.server_instance)
            if client is not None:
                # The map may name an owner that has not had its first grant yet, so
                # each of these calls has a new token.
                self._sent_by_first[first] = granter.send(client, first, last, owner)

    @property
    def is_complete(self):
        """Whether all calls have ended."""
        return all(s.answered is not None for s in self._sent_by_first.values())

    def confirmed_map(self):
        """Returns the map with the confirmed owners; other ranges have none."""
        owners = [
            owner if self._is_confirmed(first) else _without_server(owner)
            for first, _, owner in self._key_map.ranges()
        ]
        return KeyMap(starts=list(self._key_map.starts), owners=owners)

    def _is_confirmed(self, first):
        sent = self._sent_by_first.get(first)
        return sent is not None and sent.accepted


def _without_server(owner):
    return Owner(server_id=UNOWNED, incarnation=0, fence=owner.fence)
