"""Arithmetic of key ranges, both ends inclusive."""

from __future__ import annotations


def without(first, last, taken):
    """Returns the parts of a range that no other range overlaps."""
    pieces = [(first, last)]
    for other_first, other_last in taken:
        rest = []
        for a, b in pieces:
            if other_last < a or other_first > b:
                rest.append((a, b))
                continue
            if a < other_first:
                rest.append((a, other_first - 1))
            if b > other_last:
                rest.append((other_last + 1, b))
        pieces = rest
    return pieces
