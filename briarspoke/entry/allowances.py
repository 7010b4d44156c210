"""Admits the allowed fraction of the requests for keys of overloaded owners."""

from __future__ import annotations

import random

# Allowances that the controller does not repeat end after this time.
EXPIRY_S = 2.5


class Gate:
    """Admits a fraction of the requests for one key, evenly over time.

    The first request is admitted at a random point, so that the gates of many entry
    VMs do not admit their requests together.
    """

    __slots__ = ("_credit", "expires_at", "fraction")

    def __init__(self, *, fraction, credit):
        self.fraction = fraction
        self.expires_at = 0.0
        self._credit = credit

    def admits(self):
        """Returns whether the next request is admitted."""
        self._credit += self.fraction
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


class Gates:
    """Gates of one service, by key and for the other keys of an owner.

    :param uniform: function that returns a random number from 0 to 1.
    """

    __slots__ = ("_by_key", "_by_server", "_uniform")

    def __init__(self, *, uniform=random.random):
        self._by_key = {}
        self._by_server = {}
        self._uniform = uniform

    def update(self, admission, now):
        """Replaces the fractions by those that the controller has announced.

        :param admission: the :class:`briarspoke.keyspace.allowance.Admission`.
        """
        self._by_key = self._updated(self._by_key, admission.by_key, now)
        self._by_server = self._updated(self._by_server, admission.by_server, now)

    def _updated(self, gates, fraction_by_name, now):
        kept = {}
        for name, fraction in fraction_by_name.items():
            gate = gates.get(name)
            if gate is None:
                gate = Gate(fraction=fraction, credit=self._uniform())
            gate.fraction = min(1.0, max(0.0, fraction))
            gate.expires_at = now + EXPIRY_S
            kept[name] = gate
        return kept

    def are_active(self, now):
        """Returns whether any key is limited."""
        return any(
            now < gate.expires_at
            for gates in (self._by_key, self._by_server)
            for gate in gates.values()
        )

    def gate(self, key, server_id, now):
        """Returns the :class:`Gate` of a key, or None if the key is not limited.

        :param server_id: identifier of the owner of the key, or None if it has none.
        """
        gate = self._by_key.get(key) or self._by_server.get(server_id)
        return gate if gate is not None and now < gate.expires_at else None
