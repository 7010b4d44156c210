"""Fencing tokens of one term of the controller."""

from __future__ import annotations

# Number of tokens for the calls of one term.
TOKENS_PER_TERM = 1 << 22
# A term ends when fewer tokens are left.
MIN_TOKENS_LEFT = 1 << 16
# A copy from which the store was restored does not have the highest tokens, so each era
# of the store has its own ones. Up to 511 eras, tokens are exact in JSON.
TOKENS_PER_ERA = 1 << 44


class FencingTokens:
    """Issues the ascending fencing tokens of calls, and higher ones for the key map.

    Tokens of calls are not stored, so that new ones can be issued without the store.
    The map has a token of this term before any of them is used. It is above all that
    the term can issue for calls, so the next term begins above them.

    :param highest: highest token in the map of the term before.
    :param era: era of the store.
    """

    __slots__ = ("_first_of_map", "_next_of_call", "_next_of_map")

    def __init__(self, *, highest, era):
        self._next_of_call = max(highest + 1, era * TOKENS_PER_ERA)
        self._first_of_map = self._next_of_call + TOKENS_PER_TERM
        self._next_of_map = self._first_of_map

    def issue_for_call(self):
        """Returns a token that is higher than those of all earlier calls."""
        token = self._next_of_call
        self._next_of_call += 1
        return token

    def issue_for_map(self):
        """Returns a token that is higher than all others in the map."""
        token = self._next_of_map
        self._next_of_map += 1
        return token

    @property
    def is_used_up(self):
        """Whether the term has to end because it is running out of tokens for calls."""
        return self._first_of_map - self._next_of_call < MIN_TOKENS_LEFT
