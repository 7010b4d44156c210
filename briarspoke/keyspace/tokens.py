"""Fencing tokens of one term of the controller."""

from __future__ import annotations

# A term has its own block of tokens, so that it can issue new ones without the store.
TOKENS_PER_TERM = 1 << 22
# A term ends when fewer tokens are left.
MIN_TOKENS_LEFT = 1 << 16


class FencingTokens:
    """Issues ascending fencing tokens above those of all earlier terms.

    The first token has to be in the store before any of them is used: the next term
    begins with the block above the highest token in the store.

    :param highest: highest token in the store.
    """

    __slots__ = ("_end", "_next")

    def __init__(self, *, highest):
        self._next = (highest // TOKENS_PER_TERM + 1) * TOKENS_PER_TERM
        self._end = self._next + TOKENS_PER_TERM

    def issue(self):
        """Returns a token that is higher than all issued before."""
        token = self._next
        self._next += 1
        return token

    @property
    def is_used_up(self):
        """Whether the term has to end because it is running out of tokens."""
        return self._end - self._next < MIN_TOKENS_LEFT
