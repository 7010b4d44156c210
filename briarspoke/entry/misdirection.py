"""Remembers owners that answered that they do not hold their keys.

The load that this answers: an owner whose grants have expired, for example because it
is cut off from the controller, while entry VMs still reach it. It rejects every
request, and each rejection is a retry that other requests then lack in the budget.
"""

from __future__ import annotations

# Time after which an owner is tried again. It doubles with each rejected try.
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 1.6
# An owner that was not tried for this long is forgotten.
FORGET_S = 10.0


class _State:
    __slots__ = ("delay_s", "is_tried", "try_at", "updated_at")

    def __init__(self, now):
        self.delay_s = FIRST_DELAY_S
        # Whether a request was sent to the owner after its last rejection.
        self.is_tried = False
        self.try_at = now + FIRST_DELAY_S
        self.updated_at = now


class MisdirectedOwners:
    """Owners of one service that hold none of their keys at present.

    An owner counts as another one as soon as its incarnation or its fencing token has
    changed.
    """

    __slots__ = ("_state_by_owner",)

    def __init__(self):
        self._state_by_owner = {}

    def record_misdirected(self, owner, now):
        """Records that an owner rejected a request because it lacks the key."""
        state = self._state_by_owner.get(_identity(owner))
        if state is None:
            self._state_by_owner[_identity(owner)] = _State(now)
        elif state.is_tried:
            # Other rejections are of requests that were sent before the first one.
            state.is_tried = False
            state.delay_s = min(MAX_DELAY_S, 2 * state.delay_s)
            state.try_at = now + state.delay_s
            state.updated_at = now

    def may_try(self, owner, now):
        """Returns whether a request may be sent to an owner."""
        if not self._state_by_owner or owner is None:
            return True
        state = self._state_by_owner.get(_identity(owner))
        return state is None or now >= state.try_at

    def record_try(self, owner, now):
        """Records that a request is sent, so that others wait for its answer."""
        state = self._state_by_owner.get(_identity(owner))
        if state is not None:
            state.is_tried = True
            state.try_at = now + state.delay_s
            state.updated_at = now

    def record_answer(self, owner):
        """Records that an owner has run a request."""
        if owner is not None and self._state_by_owner:
            self._state_by_owner.pop(_identity(owner), None)

    def expire(self, now):
        """Forgets owners that were not tried for a long time."""
        for identity, state in list(self._state_by_owner.items()):
            if now - state.updated_at > FORGET_S:
                del self._state_by_owner[identity]


def _identity(owner):
    return (owner.server_instance, owner.fence)
